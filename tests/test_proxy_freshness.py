"""Tests of the lease on the configuration, with and without connections."""

from dataclasses import dataclass
from random import Random

from flamingosail_platform.store import Position
from flamingosail_platform.store import Record
from flamingosail_platform.store import StoreUnavailable
from flamingosail_platform.watch import ConfigWatch
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from testtools import TestCase
from twisted.internet.defer import fail
from twisted.internet.task import deferLater
from twisted.internet.testing import MemoryReactorClock

from flamingosail.proxy.shared.configspread import ConfigSource
from flamingosail.proxy.shared.freshness import Freshness
from flamingosail.proxy.shared.storeera import StoreEra
from flamingosail.settings import Address
from tests.proxyfakes import ClosingTransport
from tests.proxyfakes import make_node
from tests.proxyfakes import make_table

REVOCATION_SECONDS = 5.0
# A node that is cut off from the store goes on for this share of the time.
OWED_SHARE = 0.6
APPLY_SECONDS = 2.5
# Of messages and of pauses in the model; some exceed the lease.
DELAYS = (0.0, 0.0, 0.0, 1.0, 3.0, 4.0, 7.0)


@dataclass
class LeaseHolder:
    """A node of the model: a version and the lease on it."""

    version: int
    freshness: Freshness


class LeaseTest(TestCase):
    """No order of messages may make a revoked key acceptable for longer."""

    def setUp(self):
        super().setUp()
        self.now = 100.0

    def holder(self, version: int = 1) -> LeaseHolder:
        """Return a node without a proof."""
        holder = LeaseHolder(version=version, freshness=None)
        holder.freshness = Freshness(
            seconds=lambda: self.now,
            config_version=lambda: holder.version,
            revocation_seconds=REVOCATION_SECONDS,
        )
        return holder

    def apply(self, holder: LeaseHolder, version: int):
        """Put a version in force if it is newer."""
        if version > holder.version:
            holder.version = version
            holder.freshness.config_changed()

    def test_a_node_without_a_proof_has_no_lease(self):
        self.assertFalse(self.holder().freshness.is_current())

    def test_without_a_time_to_revoke_no_lease_is_needed(self):
        freshness = Freshness(seconds=lambda: 0.0, config_version=lambda: 0)
        self.assertTrue(freshness.is_current())
        self.assertIsNone(freshness.age_ms())

    def test_a_lease_ends_before_the_time_to_revoke(self):
        """Guards against a node that serves what lay in its buffers.

        Its clock counts the time for which it was frozen.
        """
        freshness = self.holder().freshness
        freshness.observe(1, self.now)
        self.assertTrue(freshness.is_current())
        self.now += REVOCATION_SECONDS
        self.assertFalse(freshness.is_current())

    def test_a_proof_for_a_newer_version_waits_for_it(self):
        """Guards against an old version on a lease of the new one."""
        holder = self.holder()
        holder.freshness.observe_age(2, 1000, self.now)
        self.assertFalse(holder.freshness.is_current())
        self.apply(holder, 2)
        self.assertEqual(1.0, holder.freshness.age_seconds())

    def test_a_proof_does_not_hold_for_a_version_in_between(self):
        """Guards against a lease on a version that was already replaced."""
        holder = self.holder()
        holder.freshness.observe(3, self.now)
        self.apply(holder, 2)
        self.assertFalse(holder.freshness.is_current())
        self.apply(holder, 3)
        self.assertTrue(holder.freshness.is_current())

    def test_an_impossible_age_is_no_proof(self):
        freshness = self.holder().freshness
        freshness.observe_age(1, -5000, self.now)
        freshness.observe_age(1, None, self.now)
        self.assertFalse(freshness.is_current())

    @settings(max_examples=500)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("write", "read", "ask", "pull", "restart")),
                st.integers(0, 2),
                st.integers(0, 2),
                st.sampled_from(DELAYS),
                st.sampled_from(DELAYS),
                st.sampled_from(DELAYS),
            ),
            max_size=25,
        )
    )
    def test_no_key_is_accepted_past_the_bound(self, steps):
        """Guards against a proof that gets younger on its way.

        Reads, questions to other nodes and copies of the configuration take
        any time there and back and overtake each other, as in delays, freezes
        and cuts. Wherever the lease allows requests with keys, each version
        that was written longer ago than the bound must be in force.
        """
        self.now = 100.0
        written = [(1, 0.0)]
        nodes = [self.holder() for _ in range(3)]
        for node in nodes:
            node.freshness.observe(1, self.now)
        events = []

        def later(delay, function, *arguments):
            events.append((self.now + delay, len(events), function, arguments))

        def store_answers(reader, read_at, delay):
            later(delay, handle_read, reader, read_at, written[-1][0])

        def handle_read(reader, read_at, version):
            self.apply(reader, version)
            reader.freshness.observe(reader.version, read_at)

        def peer_answers(asking, asked, asked_at, delay):
            proof = (asked.version, asked.freshness.age_ms(), asked_at)
            later(delay, asking.freshness.observe_age, *proof)

        def peer_sends(asked, receiver, delay):
            later(delay, self.apply, receiver, asked.version)

        for action, one, other, there, back, pause in steps:
            node = nodes[one]
            if action == "write":
                written.append((written[-1][0] + 1, self.now))
            elif action == "read":
                later(there, store_answers, node, self.now, back)
            elif action == "ask":
                later(there, peer_answers, node, nodes[other], self.now, back)
            elif action == "pull":
                later(there, peer_sends, nodes[other], node, back)
            else:
                nodes[one] = self.holder(version=0)
            end = self.now + pause
            while True:
                due = [event for event in events if event[0] <= self.now]
                for event in sorted(due, key=lambda event: event[:2]):
                    events.remove(event)
                    event[2](*event[3])
                bound = max(
                    version
                    for version, at in written
                    if at < self.now - REVOCATION_SECONDS
                )
                for holder in nodes:
                    if holder.freshness.is_current():
                        self.assertGreaterEqual(holder.version, bound)
                if self.now >= end and not due:
                    break
                if not due:
                    self.now = min(end, self.now + 0.5)


class LinkTransport(ClosingTransport):
    """One end of a connection between two nodes."""

    def __init__(self, *, clock, reachable):
        super().__init__()
        self.clock = clock
        self.reachable = reachable
        self.other = None

    def write(self, data):
        self.clock.callLater(0.001, self.deliver, data)

    def deliver(self, data):
        if self.reachable():
            self.other.dataReceived(data)

    def abortConnection(self):  # noqa: N802 - named by twisted
        super().abortConnection()
        self.clock.callLater(0.0, self.protocol.connectionLost)


class LinkReactor(MemoryReactorClock):
    """Connects the nodes in ``nodes`` to each other, in memory."""

    def __init__(self):
        super().__init__()
        self.nodes = {}
        self.cut = set()

    def connectTCP(  # noqa: N802 - named by twisted
        self, host, port, factory, timeout=30, bind_address=None
    ):
        self.callLater(0.001, self.connect, host, factory)

    def connect(self, host, factory):
        own = str(factory.peer.table.own_address.host)

        def reachable():
            return not {own, host} & self.cut

        if not reachable():
            factory.clientConnectionFailed(None, None)
            return
        ends = [
            LinkTransport(clock=self, reachable=reachable) for _ in range(2)
        ]
        dialling = factory.buildProtocol(None)
        accepting = self.nodes[host].peers.buildProtocol(None)
        ends[0].other, ends[1].other = accepting, dialling
        ends[0].protocol, ends[1].protocol = dialling, accepting
        accepting.makeConnection(ends[1])
        dialling.makeConnection(ends[0])


class HoldingStore:
    """A store that holds reads for their whole time and turns some away."""

    def __init__(self, *, clock, refused):
        self.clock = clock
        self.refused = refused
        self.era = StoreEra()
        self.calls = 0

    def read_newest(self, topic):
        return self.hold([Record(key="config", value=b"1")], 0.0)

    def read(self, topic, position, wait_seconds):
        return self.hold([], wait_seconds)

    def hold(self, records, seconds):
        self.calls += 1
        if self.refused():
            return fail(StoreUnavailable("status 503"))
        position = Position(era=0, offset=1, at_end=True)
        return deferLater(
            self.clock, 0.005 + seconds, lambda: (records, position)
        )


class CalmClusterTest(TestCase):
    """Twelve nodes in three failure domains, with their readers."""

    def setUp(self):
        super().setUp()
        self.reactor = LinkReactor()
        self.refused = set()
        self.stores = []
        for number in range(12):
            self.start_node(f"10.{number % 3}.0.{number}", "abc"[number % 3])
        for node in self.reactor.nodes.values():
            for host in self.reactor.nodes:
                node.peers.add(Address(host, 80))
            node.peers.start()
        self.watches = [self.watch(node) for node in self.reactor.nodes]
        self.advance(8.0)

    def start_node(self, host: str, failure_domain: str):
        """Add a node with a lease."""
        self.reactor.nodes[host] = make_node(
            self.reactor,
            lambda document: make_table(int(document)),
            failure_domain=failure_domain,
            advertised=Address(host, 80),
            revocation_seconds=REVOCATION_SECONDS,
        )

    def watch(self, host: str) -> ConfigWatch:
        """Follow the store at a node as far as it is a reader."""
        node = self.reactor.nodes[host]
        store = HoldingStore(
            clock=self.reactor, refused=lambda: host in self.refused
        )
        self.stores.append(store)
        watch = ConfigWatch(
            clock=self.reactor,
            random=Random(host),
            store=store,
            is_reader=node.peers.is_store_reader,
            on_reachable=node.peers.set_reaches_store,
            on_document=lambda document: node.apply_config(
                document, ConfigSource.STORE
            ),
            apply_seconds=APPLY_SECONDS,
            revocation_seconds=REVOCATION_SECONDS,
            on_current=node.configuration_current,
        )
        watch.run()
        return watch

    def advance(self, seconds: float) -> dict[str, float]:
        """Advance the clock; return the greatest age of each node's proof."""
        ages = dict.fromkeys(self.reactor.nodes, 0.0)
        for _ in range(round(seconds / 0.02)):
            self.reactor.advance(0.02)
            for host, node in self.reactor.nodes.items():
                age = node.freshness.age_seconds()
                ages[host] = max(ages[host], age)
        return ages

    def assert_owed_time_left(self, ages: dict[str, float]):
        """Each node could lose the store and go on for the owed time."""
        lease = self.reactor.nodes["10.0.0.0"].freshness.lease_seconds
        self.assertLess(
            max(ages.values()), lease - OWED_SHARE * REVOCATION_SECONDS
        )

    def hosts(self, domain: int) -> set[str]:
        return {
            host
            for host in self.reactor.nodes
            if host.startswith(f"10.{domain}.")
        }

    def test_a_calm_cluster_keeps_its_lease(self):
        """Guards against refusals in calm, and against a call for each node.

        Two readers in each failure domain read less than twice a second.
        """
        calls = sum(store.calls for store in self.stores)
        self.assert_owed_time_left(self.advance(40.0))
        calls = sum(store.calls for store in self.stores) - calls
        self.assertLess(calls / 40.0, 3 * 2 * 2)

    def test_a_domain_that_the_store_refuses_gets_proofs_of_others(self):
        """Guards against a store that turns the nodes of one domain away."""
        self.refused |= self.hosts(1)
        self.assert_owed_time_left(self.advance(20.0))

    def test_a_frozen_reader_is_replaced(self):
        """Guards against a lease that hangs on one reader's connections."""
        self.reactor.cut |= {"10.0.0.0", "10.1.0.1"}
        ages = self.advance(10.0)
        lease = self.reactor.nodes["10.0.0.0"].freshness.lease_seconds
        for host in self.reactor.nodes.keys() - self.reactor.cut:
            self.assertLess(ages[host], lease)

    def test_the_lease_is_back_soon_after_the_store(self):
        """Guards against keyed requests refused while knowledge is at hand.

        A reader asks a store that was down again within 1.2 s; the others get
        its proof with the next tick.
        """
        self.refused |= self.reactor.nodes.keys()
        self.advance(8.0)
        leases = [node.freshness for node in self.reactor.nodes.values()]
        self.assertFalse(any(lease.is_current() for lease in leases))
        self.refused.clear()
        self.advance(1.2 + 0.6)
        self.assertTrue(all(lease.is_current() for lease in leases))

    def test_a_node_that_is_cut_off_goes_on_and_stops_in_time(self):
        self.reactor.cut.add("10.2.0.11")
        self.refused.add("10.2.0.11")
        freshness = self.reactor.nodes["10.2.0.11"].freshness
        self.advance(OWED_SHARE * REVOCATION_SECONDS - 0.1)
        self.assertTrue(freshness.is_current())
        self.advance(REVOCATION_SECONDS * (1 - OWED_SHARE) + 0.1)
        self.assertFalse(freshness.is_current())
        self.reactor.cut.clear()
        self.advance(5.0)
        self.assertTrue(freshness.is_current())
