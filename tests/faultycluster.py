"""A Cluster with fault injection in network, nodes and backend servers."""

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


class SuspendableProcess:
    """A simulated process that can be frozen, resumed and killed.

    Calls into a frozen process are deferred until it is resumed; calls into
    a dead one are dropped.
    """

    def __init__(self):
        self.frozen = False
        self.dead = False
        self.deferred_calls = deque()

    def run(self, function, *args):
        """Call the function now, when the process is resumed, or never."""
        if self.dead:
            return
        if self.frozen:
            self.deferred_calls.append((function, args))
        else:
            function(*args)

    def resume(self):
        self.frozen = False
        while self.deferred_calls and not self.frozen:
            function, args = self.deferred_calls.popleft()
            function(*args)

    def kill(self):
        self.dead = True
        self.deferred_calls.clear()


class SuspendableCall:
    """A delayed call that can still be cancelled while it is deferred."""

    def __init__(self, clock, delay, process, function, args):
        self.function = function
        self.args = args
        self.done = False
        self.call = clock.callLater(delay, process.run, self.fire)

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


class SuspendableClock:
    """The clock of one simulated process."""

    def __init__(self, clock: Clock, process: SuspendableProcess):
        self.clock = clock
        self.process = process

    def seconds(self) -> float:
        return self.clock.seconds()

    def callLater(self, delay, function, *args):  # noqa: N802
        return SuspendableCall(self.clock, delay, self.process, function, args)


class SuspendableBackend(Backend):
    """Backend client whose answers are deferred while its node is frozen."""

    def __init__(self, backend: Backend, process: SuspendableProcess):
        self.backend = backend
        self.process = process

    def connect(self, announcement):
        self.backend.connect(announcement)

    def serve(self, **arguments) -> Deferred:
        done = Deferred()
        served = self.backend.serve(**arguments)
        served.addCallback(
            lambda answer: self.process.run(done.callback, answer)
        )
        return done

    def cancel(self, token):
        self.backend.cancel(token)


class SuspendableMembers:
    """Member table whose changes are deferred while its node is frozen."""

    def __init__(self, members, process: SuspendableProcess):
        self.members = members
        self.process = process
        self.servers = members.servers
        self.find = members.find
        self.listeners = self

    def append(self, listener):
        self.members.listeners.append(
            lambda changed: self.process.run(listener, changed)
        )


@dataclass
class Submission:
    """One request with its send time and the answers that its sender got."""

    request: Request
    node: str
    process: SuspendableProcess
    sent_at: float | None = None
    ended_at: list[float] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    runs_when_answered: list[int] = field(default_factory=list)
    cancelled: bool = False
    done: Deferred | None = None


class ChildEntrance:
    """The listener at which a backend server submits its child calls.

    The parent's target is prepended to the target of each child call, so
    that every run has a distinct target.
    """

    def __init__(self, cluster, name, entrance, process):
        self.cluster = cluster
        self.name = name
        self.entrance = entrance
        self.process = process

    def submit_child(self, request: Request, token: str) -> Deferred:
        done = Deferred()
        submission = Submission(request=request, node="", process=self.process)
        self.cluster.child_submissions.append(submission)
        self.process.run(self.submit, submission, token, done)
        return done

    def submit(self, submission, token, done):
        work = self.entrance.ingress.serving.get(token)
        if work is not None:
            parent = work.request.target
            request = submission.request
            submission.request = replace(
                request, target=f"{parent}{request.target}"
            )
        self.cluster.record_answers(
            submission, self.entrance.submit_child(submission.request, token)
        )
        submission.done.addCallback(
            lambda answer: done.callback(answer) or answer
        )


class FaultyCluster(Cluster):
    """A Cluster with fault injection, reproducible from ``seed``.

    ``loss``, ``duplication`` and ``damage`` are probabilities per message.
    ``blocked_links`` holds (source, destination) addresses between which
    messages are lost without a failed send, as on a silent connection.
    """

    def __init__(self, servers, *, seed, add_path=add_call_path, **fields):
        self.processes: dict[str, SuspendableProcess] = {}
        self.backend_processes: dict[str, SuspendableProcess] = {}
        self.freeze_intervals: dict[SuspendableProcess, list[list[float]]] = {}
        self.submissions: list[Submission] = []
        self.child_submissions: list[Submission] = []
        self.attempts = Counter()
        self.retries = Counter()
        self.fault_random = Random(seed)
        self.loss = self.duplication = self.damage = 0.0
        self.max_delay = NETWORK_SECONDS
        self.blocked_links: set[tuple[str, str]] = set()
        self.add_real_path = add_path
        self.last_nonce = 1
        super().__init__(
            servers, seed=seed, add_path=self.add_suspendable_path, **fields
        )
        self.network.transmit = self.carry

    def add_suspendable_path(
        self, kernel, *, clock, backend, members, **fields
    ):
        """Add a call path that runs in a suspendable process."""
        name = fields["transport"].address
        process = self.processes[name] = SuspendableProcess()
        server_process = self.backend_processes[name] = SuspendableProcess()
        self.freeze_intervals[process] = []
        backend.clock = SuspendableClock(clock, server_process)
        entrance = self.add_real_path(
            kernel,
            clock=SuspendableClock(clock, process),
            backend=SuspendableBackend(backend, process),
            members=SuspendableMembers(members, process),
            **fields,
        )
        return ChildEntrance(self, name, entrance, process)

    def add_node(self, name: str, service: str, nonce: str = "1"):
        node = super().add_node(name, service, nonce)
        if self.add_real_path is add_call_path:
            node.kernel.get("ingress").limit.limit = float(self.slots)
        return node

    # Messages

    def carry(self, source: str, address: str, message) -> int:
        """Lose, delay, duplicate or damage a message."""
        if address not in self.network.transports:
            raise SendFailed(f"no transport at {address}")
        data = encode(message)
        if (source, address) in self.blocked_links:
            return len(data)
        copies = 2 if self.fault_random.random() < self.duplication else 1
        for _ in range(copies):
            if self.fault_random.random() < self.loss:
                continue
            delay = self.fault_random.uniform(NETWORK_SECONDS, self.max_delay)
            self.clock.callLater(
                delay, self.deliver, address, self.apply_damage(data)
            )
        return len(data)

    def apply_damage(self, data: bytes) -> bytes:
        """Return the data, or with probability ``damage`` a damaged copy.

        The copy is truncated or has one bit flipped.
        """
        if self.fault_random.random() >= self.damage:
            return data
        position = self.fault_random.randrange(len(data))
        if self.fault_random.random() < 0.3:
            return data[:position]
        flipped = bytearray(data)
        flipped[position] ^= 1 << self.fault_random.randrange(8)
        return bytes(flipped)

    def deliver(self, address: str, data: bytes):
        """Deliver a message to the process that now has the address."""
        transport = self.network.transports.get(address)
        if transport is not None:
            self.processes[address].run(transport.receive, data)

    # Faults of nodes

    def freeze(self, name: str):
        process = self.processes[name]
        if not process.frozen:
            process.frozen = True
            self.freeze_intervals[process].append([self.clock.seconds()])

    def resume(self, name: str):
        process = self.processes[name]
        if process.frozen:
            self.freeze_intervals[process][-1].append(self.clock.seconds())
            process.resume()

    def replace_node(self, name: str):
        """Kill a VM and start a new one of the same name."""
        service = self.nodes[name].record.service
        self.processes[name].kill()
        self.backend_processes[name].kill()
        self.kill(name)
        self.last_nonce += 1
        node = self.add_node(name, service, nonce=str(self.last_nonce))
        self.notify(node.record)

    def remove_live_member(self, name: str):
        if name in self.members.records:
            self.remove(name)

    def restore_member(self, name: str):
        record = self.nodes[name].record
        self.members.records[name] = record
        self.notify(record)

    def notify(self, record):
        for listener in list(self.members.listeners):
            listener((record,))

    def partition(self, group: set[str]):
        """Block all links between a set of nodes and the others."""
        self.blocked_links = {
            (a, b)
            for a in self.nodes
            for b in self.nodes
            if (a in group) != (b in group)
        }

    def heal(self):
        """End all faults of network and nodes."""
        self.blocked_links = set()
        self.loss = self.duplication = self.damage = 0.0
        self.max_delay = NETWORK_SECONDS
        for name in self.nodes:
            self.resume(name)
            self.restore_member(name)

    # Requests

    def submit(self, name: str, request: Request) -> Submission:
        """Submit a request to a node as a caller does."""
        submission = Submission(
            request=request, node=name, process=self.processes[name]
        )
        self.submissions.append(submission)
        entrance = self.nodes[name].kernel.get("entrance")
        submission.process.run(
            lambda: self.record_answers(submission, entrance.submit(request))
        )
        return submission

    def record_answers(self, submission: Submission, done: Deferred):
        """Record the answers to a submission, with time and run count."""
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
    def count_attempts(self):
        """Count the attempts and the retries of each root request."""
        start = Attempt.start
        start_child_call = ChildCalls.start_child_call
        started_calls = set()

        def counted_start(attempt):
            root = attempt.call.context.root
            self.attempts[root] += 1
            self.retries[root] += attempt.call in started_calls
            started_calls.add(attempt.call)
            start(attempt)

        def counted_child(children, request, kind, parent):
            if request.digest() in parent.failed_digests:
                self.retries[parent.context.root] += 1
            return start_child_call(children, request, kind, parent)

        with (
            patch.object(Attempt, "start", counted_start),
            patch.object(ChildCalls, "start_child_call", counted_child),
        ):
            yield
