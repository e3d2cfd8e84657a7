"""Round robin, fixed timeouts and three tries per hop, without admission.

This is what services commonly do without an overload control layer. It
stands in the tree so that every guarantee can be shown to fail without the
decisions of the package.
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

TRIES_PER_HOP = 3
TRY_TIMEOUT_SECONDS = 1.0


class NaiveIngress(Service):
    """Hands every call to the backend server at once."""

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
        """Use the backend server that announced itself."""
        self.announcement = announcement
        self.backend.connect(announcement)

    def mark_server_lost(self):
        """Go on as before: calls fail at the connection."""

    def on_call(self, message: Call):
        """Serve a call, also one that was served before."""
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
            timeout=TRY_TIMEOUT_SECONDS * TRIES_PER_HOP,
        )
        done.addCallback(self.send_answer, message)

    def send_answer(self, answer: Answer, message: Call):
        """Send an answer to the node that made the call."""
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
    """Tries three servers in turn, whatever the call is."""

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
        self.turns = count()
        self.attempts = 0
        self.in_flight = 0

    def call(self, request: Request, kind: KindSpec) -> Deferred[Answer]:
        """Carry out one call and return its answer."""
        done: Deferred[Answer] = Deferred(lambda deferred: None)
        self.in_flight += 1
        done.addBoth(self.ended)
        self.attempt(request, kind, done, 1)
        return done

    def ended(self, result):
        """Count the end of a call."""
        self.in_flight -= 1
        return result

    def attempt(
        self, request: Request, kind: KindSpec, done: Deferred, tries: int
    ):
        """Send the call to the next server in turn."""
        servers = self.members.servers(kind.service)
        if not servers:
            self.finish(done, failure("no server is known"))
            return
        server = servers[next(self.turns) % len(servers)]
        self.attempts += 1

        def on_answer(answer: Answer):
            if timer.active():
                timer.cancel()
            if answer.succeeded or tries == TRIES_PER_HOP:
                self.finish(done, answer)
            else:
                self.attempt(request, kind, done, tries + 1)

        def on_timeout():
            self.exchange.close_call(call_id)
            on_answer(failure("no answer in time"))

        timer = self.clock.callLater(TRY_TIMEOUT_SECONDS, on_timeout)
        call_id = self.exchange.open_call(server.incarnation, on_answer)
        try:
            message = self.message(request, server, call_id)
            self.transport.send(server.address, message)
        except SendFailed as error:
            self.exchange.close_call(call_id)
            on_answer(failure(str(error)))

    def message(
        self, request: Request, server: MemberRecord, call_id: int
    ) -> Call:
        """Return the message for one try."""
        return Call(
            sender=self.incarnation,
            reply_to=self.transport.address,
            call_id=call_id,
            target=server.incarnation,
            root="",
            root_address="",
            kind=request.kind,
            priority=0,
            remaining_ms=TRY_TIMEOUT_SECONDS * 1000,
            calls=0,
            depth=0,
            idempotent=True,
            method=request.method,
            path=request.target,
            headers=request.headers,
            body=request.body,
        )

    def finish(self, done: Deferred, answer: Answer):
        """Give the answer, if it is still wanted."""
        if not done.called:
            done.callback(answer)

    def dump(self) -> dict:
        """Return the number of attempts."""
        return {"attempts": self.attempts}


class NaiveEntrance(Service):
    """Passes requests on; keys and contexts have no effect."""

    name = "entrance"

    def __init__(self, *, random: Random, manifest, egress: NaiveEgress):
        self.random = random
        self.manifest = manifest
        self.egress = egress
        self.in_flight = 0
        self.closed = False

    def issue_key(self) -> str:
        """Return a random key."""
        return f"{self.random.getrandbits(64):x}"

    def submit(self, request: Request) -> Deferred[Answer]:
        """Serve a caller's request."""
        kind = self.manifest.current.kinds[request.kind]
        return self.egress.call(request, kind)

    def submit_child(
        self, request: Request, token: str | None
    ) -> Deferred[Answer]:
        """Carry a call that the own backend server makes."""
        return self.submit(request)


def failure(detail: str) -> Answer:
    """Return the refusal for a failed try, which claims not-run."""
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
    """Add the naive services; arguments as in node.add_call_path."""
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
