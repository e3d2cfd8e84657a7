"""Call path with round robin, fixed timeouts and three attempts per hop.

It has no admission control and treats every call as idempotent, as services
commonly do without an overload control layer. It is part of the repository
so that every guarantee can be shown to fail without the package's decisions.
"""

from itertools import count
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from flamingosail.errors import RefusalCode
from flamingosail.errors import SendFailed
from flamingosail.exchange import answer_message
from flamingosail.exchange import Exchange
from flamingosail.kernel import Kernel
from flamingosail.kernel import Service
from flamingosail.manifest import KindSpec
from flamingosail.messages import Call
from flamingosail.messages import MemberRecord
from flamingosail.node import NodePlace
from flamingosail.request import Answer
from flamingosail.request import refuse
from flamingosail.request import Request
from flamingosail.transport import Transport
from flamingosail.verdict import Verdict

__all__ = [
    "NaiveEgress",
    "NaiveEntrance",
    "NaiveIngress",
    "add_naive_path",
]

MAX_ATTEMPTS_PER_HOP = 3
ATTEMPT_TIMEOUT_SECONDS = 1.0


class NaiveIngress(Service):
    """Sends every call to the backend server at once, without a queue."""

    name = "ingress"

    def __init__(
        self,
        *,
        clock: IReactorTime,
        transport: Transport,
        incarnation: str,
        backend,
    ):
        self.clock = clock
        self.transport = transport
        self.incarnation = incarnation
        self.backend = backend
        self.tokens = count(1)
        self.in_flight = 0
        self.announcement = None
        self.draining = False
        self.closed = False
        self.announcement = None
        transport.add_handler(Call, self.on_call)

    def announce(self, announcement):
        """Connect to the backend server that announced itself."""
        self.announcement = announcement
        self.backend.connect(announcement)

    def mark_server_lost(self):
        """Do nothing; later calls fail when they connect."""

    def on_call(self, message: Call):
        """Serve a call; duplicates are served again."""
        request = Request(
            kind=message.kind,
            method=message.method,
            target=message.path,
            headers=message.headers,
            body=message.body,
        )
        self.in_flight += 1
        done = self.backend.serve(
            request=request,
            token=f"{next(self.tokens):x}",
            timeout=ATTEMPT_TIMEOUT_SECONDS * MAX_ATTEMPTS_PER_HOP,
        )
        done.addCallback(self.send_answer, message)

    def send_answer(self, answer: Answer, message: Call):
        """Send an answer to the calling node; a failed send is ignored."""
        self.in_flight -= 1
        reply = answer_message(
            answer,
            sender=self.incarnation,
            to=message.sender,
            call_id=message.call_id,
            draining=False,
        )
        try:
            self.transport.send(message.reply_to, reply)
        except SendFailed:
            return

    def dump(self) -> dict:
        """Return the number of calls in flight."""
        return {"in_flight": self.in_flight}


class NaiveEgress(Service):
    """Retries failed calls at the next server in turn, idempotent or not."""

    name = "egress"

    def __init__(
        self,
        *,
        clock: IReactorTime,
        transport: Transport,
        incarnation: str,
        members,
        exchange: Exchange,
    ):
        self.clock = clock
        self.transport = transport
        self.incarnation = incarnation
        self.members = members
        self.exchange = exchange
        self.server_indexes = count()
        self.attempts = 0
        self.in_flight = 0

    def call(self, request: Request, kind: KindSpec) -> Deferred[Answer]:
        """Send a call, with retries, and return its answer."""
        done: Deferred[Answer] = Deferred(lambda deferred: None)
        self.in_flight += 1
        done.addBoth(self.record_end)
        self.send_attempt(request, kind, done, 1)
        return done

    def record_end(self, result):
        """Decrement the calls in flight and pass the result on."""
        self.in_flight -= 1
        return result

    def send_attempt(
        self,
        request: Request,
        kind: KindSpec,
        done: Deferred,
        attempt_number: int,
    ):
        """Send the call to the next server in turn."""
        servers = self.members.servers(kind.service)
        if not servers:
            self.complete(done, failed_answer("no server is known"))
            return
        server = servers[next(self.server_indexes) % len(servers)]
        self.attempts += 1

        def on_answer(answer: Answer):
            if timer.active():
                timer.cancel()
            if answer.succeeded or attempt_number == MAX_ATTEMPTS_PER_HOP:
                self.complete(done, answer)
            else:
                self.send_attempt(request, kind, done, attempt_number + 1)

        def on_timeout():
            self.exchange.close_call(call_id)
            on_answer(failed_answer("no answer in time"))

        timer = self.clock.callLater(ATTEMPT_TIMEOUT_SECONDS, on_timeout)
        call_id = self.exchange.open_call(server.incarnation, on_answer)
        try:
            message = self.make_call_message(request, server, call_id)
            self.transport.send(server.address, message)
        except SendFailed as error:
            self.exchange.close_call(call_id)
            on_answer(failed_answer(str(error)))

    def make_call_message(
        self, request: Request, server: MemberRecord, call_id: int
    ) -> Call:
        """Return the message for one attempt."""
        return Call(
            sender=self.incarnation,
            reply_to=self.transport.address,
            call_id=call_id,
            target=server.incarnation,
            root="",
            root_address="",
            kind=request.kind,
            priority=0,
            remaining_ms=ATTEMPT_TIMEOUT_SECONDS * 1000,
            calls=0,
            depth=0,
            idempotent=True,
            method=request.method,
            path=request.target,
            headers=request.headers,
            body=request.body,
        )

    def complete(self, done: Deferred, answer: Answer):
        """Fire the Deferred of a call, unless it was cancelled."""
        if not done.called:
            done.callback(answer)

    def dump(self) -> dict:
        """Return the number of attempts."""
        return {"attempts": self.attempts}


class NaiveEntrance(Service):
    """Forwards requests; keys and context tokens have no effect."""

    name = "entrance"

    def __init__(self, *, random: Random, manifest, egress: NaiveEgress):
        self.random = random
        self.manifest = manifest
        self.egress = egress
        self.in_flight = 0
        self.closed = False

    def issue_key(self) -> str:
        """Return a random key, which is never checked."""
        return f"{self.random.getrandbits(64):x}"

    def submit(self, request: Request) -> Deferred[Answer]:
        """Forward a caller's request and return its answer."""
        kind = self.manifest.current.kinds[request.kind]
        return self.egress.call(request, kind)

    def submit_child(
        self, request: Request, token: str | None
    ) -> Deferred[Answer]:
        """Forward a call of the node's own backend server."""
        return self.submit(request)


def failed_answer(detail: str) -> Answer:
    """Return the refusal for a failed attempt.

    Its verdict is not-run even if the attempt may have run.
    """
    return refuse(RefusalCode.CONNECTION_LOST, Verdict.NOT_RUN, detail)


def add_naive_path(
    kernel: Kernel,
    *,
    clock: IReactorTime,
    random: Random,
    transport: Transport,
    place: NodePlace,
    backend,
    members,
    manifest,
    **ignored,
) -> NaiveEntrance:
    """Add the naive services and return the entrance.

    The arguments are those of ``flamingosail.node.add_call_path``; tuning
    is ignored.
    """
    exchange = kernel.add(
        Exchange(
            transport=transport,
            incarnation=place.incarnation,
            on_draining=lambda incarnation: None,
        )
    )
    kernel.add(
        NaiveIngress(
            clock=clock,
            transport=transport,
            incarnation=place.incarnation,
            backend=backend,
        )
    )
    egress = kernel.add(
        NaiveEgress(
            clock=clock,
            transport=transport,
            incarnation=place.incarnation,
            members=members,
            exchange=exchange,
        )
    )
    return kernel.add(
        NaiveEntrance(random=random, manifest=manifest, egress=egress)
    )
