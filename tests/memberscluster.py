"""A simulated cluster of nodes with only the membership services."""

from functools import partial
from random import Random

from twisted.internet.defer import fail
from twisted.internet.defer import succeed

from experiments.heapclock import HeapClock
from flamingosail.errors import LogUnavailable
from flamingosail.gossip import Gossip
from flamingosail.identity import new_incarnation
from flamingosail.logservice import LogPage
from flamingosail.logservice import LogRecord
from flamingosail.logservice import LogService
from flamingosail.membership import MemberTable
from flamingosail.messages import MemberRecord
from flamingosail.transport import LoopbackNetwork

DOMAINS = ("west/n", "west/s", "west/h", "gulf/a", "gulf/b")
STEP_S = 0.01


class InMemoryLog(LogService):
    """A log in memory that can be made unavailable or trimmed."""

    def __init__(self):
        self.entries: list[bytes] = []
        self.first = 0
        self.unavailable = False
        self.reads = 0

    def append(self, *, stream, data):
        if self.unavailable:
            return fail(LogUnavailable("down"))
        self.entries.append(data)
        return succeed(len(self.entries) - 1)

    def read(self, *, stream, offset, limit):
        self.reads += 1
        if self.unavailable:
            return fail(LogUnavailable("down"))
        start = max(offset, self.first)
        records = tuple(
            LogRecord(offset=start + index, data=data)
            for index, data in enumerate(self.entries[start : start + limit])
        )
        end = len(self.entries)
        return succeed(LogPage(first=self.first, end=end, records=records))


class PausableClock:
    """The clock of one node; while ``paused``, its due calls are deferred."""

    def __init__(self, clock):
        self.clock = clock
        self.paused = False
        self.deferred = []

    def seconds(self):
        return self.clock.seconds()

    def callLater(self, delay, function, *args):  # noqa: N802
        return self.clock.callLater(delay, self.run, function, *args)

    def run(self, function, *args):
        if self.paused:
            self.deferred.append(partial(function, *args))
        else:
            function(*args)

    def resume(self):
        self.paused = False
        deferred_calls, self.deferred = self.deferred, []
        for call in deferred_calls:
            call()


class MemberNode:
    """One node; while frozen it defers its timers and received messages."""

    def __init__(self, *, cluster, index, name, seeds):
        random = cluster.random
        self.region, _ = DOMAINS[index % len(DOMAINS)].split("/")
        self.address = f"10.0.{index // 250}.{index % 250}:7000"
        self.clock = PausableClock(cluster.clock)
        self.transport = cluster.network.attach(self.address)
        self.receive = self.transport.receive
        self.transport.receive = partial(self.clock.run, self.receive)
        own = MemberRecord(
            node=name,
            incarnation=str(new_incarnation(name, random)),
            version=1,
            address=self.address,
            failure_domain=DOMAINS[index % len(DOMAINS)],
            region=self.region,
            service=f"service-{index % 7}",
            state="ready",
        )
        self.table = MemberTable(own_record=own, clock=self.clock)
        self.gossip = Gossip(
            table=self.table,
            transport=self.transport,
            clock=self.clock,
            random=Random(random.getrandbits(32)),
            log=cluster.log,
            seeds=seeds,
        )


class Cluster:
    """Nodes on one clock and a network with faults.

    ``blocked(source, address)`` says whether that link drops messages.
    ``loss`` and ``duplication`` are probabilities for each message.
    """

    def __init__(self, *, seed=1, log=None):
        self.clock = HeapClock()
        self.random = Random(seed)
        self.log = log
        self.loss = 0.0
        self.duplication = 0.0
        self.blocked = lambda source, address: False
        self.network = LoopbackNetwork(clock=self.clock, delay=self.delay)
        self.nodes: dict[str, MemberNode] = {}
        self.stranger = 0

    def delay(self, source, address, message):
        if self.blocked(source, address) or self.random.random() < self.loss:
            return None
        delay = self.random.uniform(0.001, 0.02)
        if self.random.random() < self.duplication:
            self.clock.callLater(
                2 * delay, self.deliver_again, address, message
            )
        return delay

    def deliver_again(self, address, message):
        transport = self.network.transports.get(address)
        if transport is not None:
            handler = transport.handlers[type(message)]
            handler(message)

    def start(self, index, *, name=None, seeds=()):
        name = name or f"vm-{index}"
        node = MemberNode(cluster=self, index=index, name=name, seeds=seeds)
        self.nodes[name] = node
        node.gossip.start()
        return node

    def start_many(self, count):
        seeds = [f"10.0.0.{index}:7000" for index in range(min(3, count))]
        return [self.start(index, seeds=seeds) for index in range(count)]

    def kill(self, node):
        node.clock.paused = True
        node.transport.receive = lambda data: None
        self.network.detach(node.address)
        del self.nodes[node.table.own_record.node]

    def freeze(self, node):
        node.clock.paused = True

    def unfreeze(self, node):
        node.clock.resume()

    def run(self, seconds, step=STEP_S):
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self.clock.advance(min(step, end - self.clock.seconds() + 1e-9))

    def run_until(self, condition, timeout, step=STEP_S):
        """Return the seconds until the condition held, None on timeout."""
        start = self.clock.seconds()
        while not condition():
            if self.clock.seconds() - start > timeout:
                return None
            self.clock.advance(step)
        return self.clock.seconds() - start

    def members_of(self, node):
        return {record.node for record in node.table.live()}

    def complete(self, nodes=None):
        """Return whether the live members of each table are these nodes."""
        nodes = list(self.nodes.values()) if nodes is None else nodes
        names = {node.table.own_record.node for node in nodes}
        return all(self.members_of(node) == names for node in nodes)

    def converged(self):
        """Return whether all tables are equal and hold all nodes."""
        hashes = {node.table.table_hash for node in self.nodes.values()}
        return len(hashes) == 1 and self.complete()
