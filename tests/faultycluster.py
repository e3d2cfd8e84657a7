"""A Cluster whose network, nodes and backend servers can be made to fail."""

from collections import Counter
from collections import deque
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from random import Random
from unittest.mock import patch

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from flamingosail.backend import Backend
from flamingosail.childcalls import ChildCalls
from flamingosail.codec import encode
from flamingosail.egress import Attempt
from flamingosail.errors import SendFailed
from flamingosail.node import add_call_path
from flamingosail.request import Answer
from flamingosail.request import Request
from tests.fakes import Cluster
from tests.fakes import NETWORK_SECONDS


class Gate:
    """Holds back all that would run in a frozen process.

    In a dead process nothing runs any more.
    """

    def __init__(self):
        self.frozen = False
        self.dead = False
        self.held = deque()

    def run(self, function, *args):
        """Run now, when the process is resumed, or never."""
        if self.dead:
            return
        if self.frozen:
            self.held.append((function, args))
        else:
            function(*args)

    def resume(self):
        self.frozen = False
        while self.held and not self.frozen:
            function, args = self.held.popleft()
            function(*args)

    def kill(self):
        self.dead = True
        self.held.clear()


class GatedCall:
    """A delayed call that can still be cancelled while it is held."""

    def __init__(self, clock, delay, gate, function, args):
        self.function = function
        self.args = args
        self.done = False
        self.call = clock.callLater(delay, gate.run, self.fire)

    def fire(self):
        if not self.done:
            self.done = True
            self.function(*self.args)

    def active(self) -> bool:
        return not self.done

    def cancel(self):
        self.done = True
        if self.call.active():
            self.call.cancel()


class GatedClock:
    """The clock of one process."""

    def __init__(self, clock: Clock, gate: Gate):
        self.clock = clock
        self.gate = gate

    def seconds(self) -> float:
        return self.clock.seconds()

    def callLater(self, delay, function, *args):  # noqa: N802
        return GatedCall(self.clock, delay, self.gate, function, args)


class GatedBackend(Backend):
    """The backend server as a process that may be frozen sees it."""

    def __init__(self, backend: Backend, gate: Gate):
        self.backend = backend
        self.gate = gate

    def connect(self, announcement):
        self.backend.connect(announcement)

    def serve(self, **arguments) -> Deferred:
        done = Deferred()
        served = self.backend.serve(**arguments)
        served.addCallback(lambda answer: self.gate.run(done.callback, answer))
        return done

    def cancel(self, token):
        self.backend.cancel(token)


class GatedMembers:
    """The member table as a process that may be frozen sees it."""

    def __init__(self, members, gate: Gate):
        self.members = members
        self.gate = gate
        self.servers = members.servers
        self.find = members.find
        self.listeners = self

    def append(self, listener):
        self.members.listeners.append(
            lambda changed: self.gate.run(listener, changed)
        )


@dataclass
class Submission:
    """One request with the times and answers seen by its sender."""

    request: Request
    node: str
    gate: Gate
    sent_at: float | None = None
    ended_at: list[float] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    runs_when_answered: list[int] = field(default_factory=list)
    cancelled: bool = False
    done: Deferred | None = None


class ChildEntrance:
    """The listener through which a backend server calls others.

    The target of a call starts with that of the request it belongs to, so
    that every run can be told apart.
    """

    def __init__(self, cluster, name, entrance, gate):
        self.cluster = cluster
        self.name = name
        self.entrance = entrance
        self.gate = gate

    def submit_child(self, request: Request, token: str) -> Deferred:
        done = Deferred()
        submission = Submission(request=request, node="", gate=self.gate)
        self.cluster.children.append(submission)
        self.gate.run(self.submit, submission, token, done)
        return done

    def submit(self, submission, token, done):
        work = self.entrance.ingress.serving.get(token)
        if work is not None:
            parent = work.request.target
            request = submission.request
            submission.request = replace(
                request, target=f"{parent}{request.target}"
            )
        self.cluster.watch(
            submission, self.entrance.submit_child(submission.request, token)
        )
        submission.done.addCallback(
            lambda answer: done.callback(answer) or answer
        )


class FaultyCluster(Cluster):
    """A Cluster with faults; ``seed`` decides the fate of each message.

    The rates are probabilities for each message. Cut pairs of addresses
    lose their messages without a failed send, as a silent connection does.
    """

    def __init__(self, servers, *, seed, add_path=add_call_path, **fields):
        self.gates: dict[str, Gate] = {}
        self.backend_gates: dict[str, Gate] = {}
        self.frozen_spans: dict[Gate, list[list[float]]] = {}
        self.submissions: list[Submission] = []
        self.children: list[Submission] = []
        self.attempts = Counter()
        self.repeated = Counter()
        self.fates = Random(seed)
        self.loss = self.duplication = self.damage = 0.0
        self.max_delay = NETWORK_SECONDS
        self.cut: set[tuple[str, str]] = set()
        self.real_path = add_path
        self.nonces = 1
        super().__init__(
            servers, seed=seed, add_path=self.add_gated_path, **fields
        )
        self.network.transmit = self.carry

    def add_gated_path(self, kernel, *, clock, backend, members, **fields):
        """Add a call path whose process can be frozen or killed."""
        name = fields["transport"].address
        gate = self.gates[name] = Gate()
        server_gate = self.backend_gates[name] = Gate()
        self.frozen_spans[gate] = []
        backend.clock = GatedClock(clock, server_gate)
        entrance = self.real_path(
            kernel,
            clock=GatedClock(clock, gate),
            backend=GatedBackend(backend, gate),
            members=GatedMembers(members, gate),
            **fields,
        )
        return ChildEntrance(self, name, entrance, gate)

    def add_node(self, name: str, service: str, nonce: str = "1"):
        node = super().add_node(name, service, nonce)
        if self.real_path is add_call_path:
            node.kernel.get("ingress").limit.limit = float(self.slots)
        return node

    # Messages

    def carry(self, source: str, address: str, message) -> int:
        """Lose, delay, duplicate or damage a message."""
        if address not in self.network.transports:
            raise SendFailed(f"no transport at {address}")
        data = encode(message)
        if (source, address) in self.cut:
            return len(data)
        copies = 2 if self.fates.random() < self.duplication else 1
        for _ in range(copies):
            if self.fates.random() < self.loss:
                continue
            delay = self.fates.uniform(NETWORK_SECONDS, self.max_delay)
            self.clock.callLater(
                delay, self.deliver, address, self.maybe_damaged(data)
            )
        return len(data)

    def maybe_damaged(self, data: bytes) -> bytes:
        """Return the data, or a copy with one bit flipped or cut short."""
        if self.fates.random() >= self.damage:
            return data
        position = self.fates.randrange(len(data))
        if self.fates.random() < 0.3:
            return data[:position]
        flipped = bytearray(data)
        flipped[position] ^= 1 << self.fates.randrange(8)
        return bytes(flipped)

    def deliver(self, address: str, data: bytes):
        """Hand a message to whatever process has the address now."""
        transport = self.network.transports.get(address)
        if transport is not None:
            self.gates[address].run(transport.receive, data)

    # Faults of nodes

    def freeze(self, name: str):
        gate = self.gates[name]
        if not gate.frozen:
            gate.frozen = True
            self.frozen_spans[gate].append([self.clock.seconds()])

    def resume(self, name: str):
        gate = self.gates[name]
        if gate.frozen:
            self.frozen_spans[gate][-1].append(self.clock.seconds())
            gate.resume()

    def replace_node(self, name: str):
        """Kill a VM and start another one of the same name."""
        service = self.nodes[name].record.service
        self.gates[name].kill()
        self.backend_gates[name].kill()
        self.kill(name)
        self.nonces += 1
        node = self.add_node(name, service, nonce=str(self.nonces))
        self.notify(node.record)

    def remove_by_mistake(self, name: str):
        if name in self.members.records:
            self.remove(name)

    def put_back(self, name: str):
        record = self.nodes[name].record
        self.members.records[name] = record
        self.notify(record)

    def notify(self, record):
        for listener in list(self.members.listeners):
            listener((record,))

    def partition(self, half: set[str]):
        """Cut all connections between a set of nodes and the others."""
        self.cut = {
            (a, b)
            for a in self.nodes
            for b in self.nodes
            if (a in half) != (b in half)
        }

    def heal(self):
        """End all faults of network and nodes."""
        self.cut = set()
        self.loss = self.duplication = self.damage = 0.0
        self.max_delay = NETWORK_SECONDS
        for name in self.nodes:
            self.resume(name)
            self.put_back(name)

    # Requests

    def submit(self, name: str, request: Request) -> Submission:
        """Hand a request to a node as a caller does."""
        submission = Submission(
            request=request, node=name, gate=self.gates[name]
        )
        self.submissions.append(submission)
        entrance = self.nodes[name].kernel.get("entrance")
        submission.gate.run(
            lambda: self.watch(submission, entrance.submit(request))
        )
        return submission

    def watch(self, submission: Submission, done: Deferred):
        """Note the answers that a submission gets."""
        submission.sent_at = self.clock.seconds()
        submission.done = done
        target = (submission.request.kind, submission.request.target)

        def answered(answer):
            submission.answers.append(answer)
            submission.ended_at.append(self.clock.seconds())
            submission.runs_when_answered.append(self.runs[target])
            return answer

        done.addCallback(answered)

    @contextmanager
    def counting(self):
        """Count the attempts of each root and those beyond the first."""
        start = Attempt.start
        run_child = ChildCalls.run_child
        begun = set()

        def counted_start(attempt):
            root = attempt.call.context.root
            self.attempts[root] += 1
            self.repeated[root] += attempt.call in begun
            begun.add(attempt.call)
            start(attempt)

        def counted_child(children, request, kind, parent):
            if request.digest() in parent.failed_digests:
                self.repeated[parent.context.root] += 1
            return run_child(children, request, kind, parent)

        with (
            patch.object(Attempt, "start", counted_start),
            patch.object(ChildCalls, "run_child", counted_child),
        ):
            yield
