"""Fakes of the interfaces that the decision core uses.

``Cluster`` runs several nodes in one process on a paused clock, without
sockets. Members and manifest change only if a test changes them.
"""

import json
from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from random import Random

from msgspec.structs import replace
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from experiments.heapclock import HeapClock
from flamingosail.backend import Announcement
from flamingosail.backend import Backend
from flamingosail.errors import RefusalCode
from flamingosail.kernel import Kernel
from flamingosail.manifest import parse_manifest
from flamingosail.messages import MemberRecord
from flamingosail.node import add_call_path
from flamingosail.node import NodePlace
from flamingosail.request import Answer
from flamingosail.request import refuse
from flamingosail.request import Request
from flamingosail.transport import LoopbackNetwork
from flamingosail.verdict import Verdict

MANIFEST = {
    "services": {"histbook": {}, "gatekeeper": {}, "retire-svc": {}},
    "kinds": {
        "browse": {
            "service": "histbook",
            "importance": "normal",
            "idempotent": True,
            "timeout_ms": 2000,
        },
        "gate-check": {
            "service": "gatekeeper",
            "importance": "critical",
            "idempotent": True,
            "timeout_ms": 2000,
        },
        "retire": {
            "service": "retire-svc",
            "importance": "critical",
            "idempotent": False,
            "timeout_ms": 2000,
            "trust_refusal": True,
        },
    },
}
NETWORK_SECONDS = 0.001


class FixedManifest:
    """A manifest service whose manifest is set by the test."""

    def __init__(self, document: dict):
        self.current = parse_manifest(json.dumps(document).encode(), version=1)
        self.listeners = []

    def change(self, document: dict):
        """Replace the manifest and notify the listeners."""
        body = json.dumps(document).encode()
        version = self.current.version + 1
        self.current = parse_manifest(body, version=version)
        for listener in self.listeners:
            listener(self.current)


class FixedMembers:
    """A member table whose records are set by the test."""

    def __init__(self, records: dict[str, MemberRecord]):
        self.records = records
        self.listeners = []

    def servers(self, service: str) -> tuple[MemberRecord, ...]:
        return tuple(
            record
            for record in self.records.values()
            if record.service == service and record.state == "ready"
        )

    def find(self, incarnation: str) -> MemberRecord | None:
        for record in self.records.values():
            if record.incarnation == incarnation:
                return record
        return None


@dataclass
class Behaviour:
    """How a fake backend server handles the next requests.

    ``seconds`` is the time before the first child call, or before the answer
    if there is none. ``refuse`` refuses each request as not-run, ``silent``
    never answers. ``steps`` maps a kind to the child requests made in turn
    before the answer, each at most ``repeats`` times.
    """

    seconds: float = 0.01
    status: int = 200
    refuse: bool = False
    silent: bool = False
    steps: dict[str, list[Request]] = field(default_factory=dict)
    repeats: int = 1


class FakeBackend(Backend):
    """A backend server that answers with the target of the request.

    It serves ``slots`` requests at a time; others wait in order of arrival. A
    request that has timed out is still served, unless it was cancelled.
    """

    def __init__(self, *, clock: Clock, runs: Counter, slots: int):
        self.clock = clock
        self.slots = slots
        self.waiting = deque()
        self.runs = runs
        self.entrance = None
        self.behaviour = Behaviour()
        self.cancelled = set()
        self.max_active = 0
        self.active = 0

    def connect(self, announcement: Announcement):
        self.announcement = announcement

    def serve(
        self, *, request: Request, token: str, timeout: float
    ) -> Deferred:
        done = Deferred()
        if self.behaviour.refuse:
            done.callback(
                refuse(
                    RefusalCode.OVERLOADED,
                    Verdict.NOT_RUN,
                    "the backend server is busy",
                )
            )
            return done
        expiry = self.clock.callLater(timeout, self.expire, done)
        done.addBoth(self.stop_timer, expiry)
        self.waiting.append((done, request, token))
        self.start_waiting()
        return done

    def start_waiting(self):
        while self.waiting and self.active < self.slots:
            done, request, token = self.waiting.popleft()
            if token not in self.cancelled:
                self.start(done, request, token)

    def start(self, done, request, token):
        self.runs[(request.kind, request.target)] += 1
        self.active += 1
        self.max_active = max(self.max_active, self.active)
        if not self.behaviour.silent:
            steps = list(self.behaviour.steps.get(request.kind, ()))
            self.clock.callLater(
                self.behaviour.seconds,
                self.run_steps,
                done,
                request,
                token,
                steps,
            )

    def stop_timer(self, result, expiry):
        if expiry.active():
            expiry.cancel()
        return result

    def expire(self, done):
        if not done.called:
            done.callback(
                refuse(
                    RefusalCode.DEADLINE_EXCEEDED,
                    Verdict.MAY_HAVE_RUN,
                    "no answer in time",
                )
            )

    def run_steps(self, done, request, token, steps, tries=1):
        if token in self.cancelled:
            self.expire(done)
            self.release_slot()
            return
        if not steps:
            self.reply(done, request, self.behaviour.status)
            return
        child = self.entrance.submit_child(steps[0], token)
        child.addCallback(self.on_child, done, request, token, steps, tries)

    def on_child(self, answer, done, request, token, steps, tries):
        if answer.succeeded:
            self.run_steps(done, request, token, steps[1:])
        elif tries < self.behaviour.repeats:
            self.run_steps(done, request, token, steps, tries + 1)
        else:
            self.reply(done, request, 500)

    def release_slot(self):
        self.active -= 1
        self.start_waiting()

    def reply(self, done, request, status):
        self.release_slot()
        if not done.called:
            done.callback(
                Answer(
                    verdict=Verdict.RAN,
                    status=status,
                    body=request.target.encode(),
                )
            )

    def cancel(self, token: str):
        self.cancelled.add(token)


@dataclass
class FakeNode:
    """A node of a Cluster; attributes name the services of its kernel."""

    record: MemberRecord
    kernel: Kernel
    backend: FakeBackend

    def __getattr__(self, name):
        return self.kernel.get(name)


class Cluster:
    """Nodes on a LoopbackNetwork, one per fake backend server.

    ``servers`` maps a service to its number of nodes. A test may replace
    ``delay``, which returns the delay in seconds of a message, or None to drop
    it, from source, destination and message. ``runs`` counts the runs of each
    kind and target.
    """

    def __init__(
        self,
        servers: dict[str, int],
        *,
        manifest=MANIFEST,
        slots=20,
        seed=1,
        add_path=add_call_path,
    ):
        self.add_path = add_path
        self.clock = HeapClock()
        self.random = Random(seed)
        self.runs = Counter()
        self.slots = slots
        self.manifest = FixedManifest(manifest)
        self.members = FixedMembers({})
        self.delay = lambda source, destination, message: NETWORK_SECONDS
        self.network = LoopbackNetwork(
            clock=self.clock, delay=lambda *args: self.delay(*args)
        )
        self.nodes: dict[str, FakeNode] = {}
        self.kernels: list[Kernel] = []
        for service, number in servers.items():
            for index in range(number):
                self.add_node(f"{service}-{index}", service)

    def add_node(self, name: str, service: str, nonce: str = "1"):
        """Start a node; it replaces an earlier one of the same name."""
        record = MemberRecord(
            node=name,
            incarnation=f"{name}~{nonce}",
            version=1,
            address=name,
            failure_domain="kolkata-n",
            region="west-bengal",
            service=service,
            state="ready",
        )
        kernel = Kernel()
        backend = FakeBackend(
            clock=self.clock, runs=self.runs, slots=self.slots
        )
        backend.entrance = self.add_path(
            kernel,
            clock=self.clock,
            random=Random(self.random.getrandbits(32)),
            transport=self.network.attach(name),
            place=NodePlace(
                incarnation=record.incarnation,
                failure_domain=record.failure_domain,
                region=record.region,
            ),
            backend=backend,
            members=self.members,
            manifest=self.manifest,
        )
        kernel.start()
        self.kernels.append(kernel)
        node = FakeNode(record=record, kernel=kernel, backend=backend)
        kernel.get("ingress").announce(
            Announcement(
                service=service,
                host="127.0.0.1",
                port=1,
                slots=self.slots,
                connections=10 * self.slots,
            )
        )
        if self.add_path is add_call_path:
            # Skip the slow start of a newly announced server.
            kernel.get("ingress").limit.limit = float(self.slots)
        self.members.records[name] = record
        self.nodes[name] = node
        return node

    def kill(self, name: str):
        """Kill a node without notice; members still list it."""
        self.network.detach(name)
        del self.nodes[name]

    def remove(self, name: str):
        """Remove a node from the member table and notify the listeners."""
        record = replace(self.members.records.pop(name), state="removed")
        for listener in self.members.listeners:
            listener((record,))

    def advance(self, seconds: float, step: float = 0.001):
        """Advance the clock by ``seconds`` in steps of ``step`` seconds."""
        for _ in range(round(seconds / step)):
            self.clock.advance(step)

    def send(self, name: str, kind: str, target="/", **fields) -> list:
        """Submit a request at a node; return a list that gets the answer."""
        answers = []
        request = Request(kind=kind, method="POST", target=target, **fields)
        done = self.nodes[name].entrance.submit(request)
        done.addCallback(answers.append)
        return answers
