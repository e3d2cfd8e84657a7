"""Tests of quotas over all nodes, under load and under failure."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from testtools import TestCase

from flamingosail.proxy.policy.quota import node_id
from flamingosail.proxy.shared.quotas import Draw
from flamingosail.proxy.shared.tenants import Tenant
from tests.quotacluster import Cluster
from tests.quotacluster import largest_window
from tests.quotacluster import Node
from tests.quotacluster import window_bound

DOMAINS = {"a": 21, "b": 20, "c": 20}
START_SECONDS = 6.0


def make_tenant(rate: float, burst: float, name: str = "t") -> Tenant:
    """Return a tenant with a limit."""
    return Tenant(name=name, rate=rate, burst=burst)


def zipf_tenants() -> tuple[list[Tenant], dict[str, float]]:
    """Return 73 tenants of very unequal size, and their demand."""
    weights = [1 / (i + 1) ** 1.2 for i in range(73)]
    demand = {
        f"t{i}": 2064 * weight / sum(weights)
        for i, weight in enumerate(weights)
    }
    return [
        make_tenant(rate / 0.6, rate / 0.6, name)
        for name, rate in demand.items()
    ], demand


class LoadTest(TestCase):
    """61 nodes in three failure domains."""

    def make_cluster(self, tenants: list[Tenant]) -> Cluster:
        cluster = Cluster(domains=DOMAINS, tenants=tenants)
        cluster.advance(START_SECONDS)
        return cluster

    def assert_kept(self, cluster: Cluster):
        """Check that no tenant has exceeded its quota."""
        for name, times in cluster.sent.items():
            bound = window_bound(cluster.tenants[name])
            self.assertLessEqual(largest_window(times), bound, name)

    def test_tenants_within_their_quotas_are_served(self):
        """Load: 73 tenants at 0.6 of their quotas, over all nodes.

        A holder that starts empty, or a domain that gets more than its part
        of the demand, would refuse requests that the quota allows.
        """
        tenants, demand = zipf_tenants()
        cluster = self.make_cluster(tenants)
        cluster.play(demand, 6.0)
        sent = sum(map(len, cluster.sent.values()))
        self.assertLess(cluster.total_refused(), 0.002 * sent)
        self.assert_kept(cluster)

    def test_a_tenant_far_over_its_quota_gets_all_of_it(self):
        """Load: a tenant sends seven times its quota over all nodes."""
        cluster = self.make_cluster([make_tenant(300, 300)])
        cluster.play({"t": 2100}, 10.0)
        self.assertGreaterEqual(
            len(cluster.sent["t"]), 0.95 * (300 * 10 + 300)
        )
        self.assertEqual(0, cluster.refused["t", Draw.UNKNOWN])
        self.assert_kept(cluster)

    def test_a_hot_tenant_does_not_take_the_quota_of_others(self):
        """Load: one of 73 tenants sends seven times its usual."""
        tenants, demand = zipf_tenants()
        cluster = self.make_cluster(tenants)
        demand["t2"] *= 7
        cluster.play(demand, 6.0)
        others = sum(
            count
            for (name, _), count in cluster.refused.items()
            if name != "t2"
        )
        self.assertLess(others, 0.002 * sum(demand.values()) * 6)
        self.assert_kept(cluster)

    def test_one_node_may_use_the_whole_quota(self):
        """Load: all clients of a tenant send to the same node."""
        cluster = self.make_cluster([make_tenant(120, 60)])
        cluster.play({"t": 110}, 10.0, nodes=cluster.nodes[:1])
        self.assertLess(cluster.total_refused(), 0.02 * 1100)
        self.assert_kept(cluster)

    def test_one_node_far_over_the_quota_gets_nearly_all_of_it(self):
        """Load: all clients at one node, seven times the quota."""
        cluster = self.make_cluster([make_tenant(120, 60)])
        cluster.play({"t": 840}, 10.0, nodes=cluster.nodes[:1])
        self.assertGreaterEqual(len(cluster.sent["t"]), 0.95 * (120 * 10 + 60))
        self.assert_kept(cluster)

    def test_a_small_tenant_may_use_its_quota(self):
        """Load: a quota of less than a token a second in each domain."""
        cluster = self.make_cluster([make_tenant(1.5, 1.0)])
        cluster.play({"t": 1.0}, 40.0)
        self.assertLess(cluster.total_refused(), 0.1 * 40)
        self.assert_kept(cluster)

    def test_a_cut_off_domain_uses_only_its_part(self):
        """Failure: a failure domain is cut off under seven times the quota.

        Both sides of the cut go on; a side that took the whole quota would
        exceed it together with the other.
        """
        cluster = self.make_cluster([make_tenant(300, 300)])
        cluster.play({"t": 600}, 4.0)
        cluster.cut_domains = {"b"}
        cluster.play({"t": 2100}, 8.0)
        self.assert_kept(cluster)
        own = [node for node in cluster.nodes if node.failure_domain == "b"]
        cluster.sent.clear()
        cluster.play({"t": 300}, 5.0, nodes=own)
        self.assertGreaterEqual(len(cluster.sent["t"]), 0.95 * 100 * 5)

    def test_the_quota_is_available_again_when_its_holder_has_died(self):
        """Failure: the holder of a tenant in each domain is lost for good."""
        cluster = self.make_cluster([make_tenant(300, 300)])
        holders = {
            node.quotas.holder_of(cluster.tenants["t"])
            for node in cluster.nodes
        }
        for node in cluster.nodes:
            node.cut = node_id(node.address) in holders
        alive = [node for node in cluster.nodes if not node.cut]
        cluster.play({"t": 180}, 6.0, nodes=alive)
        cluster.sent.clear()
        cluster.refused.clear()
        cluster.play({"t": 180}, 6.0, nodes=alive)
        self.assertLess(cluster.total_refused(), 0.01 * 180 * 6)
        self.assert_kept(cluster)

    def test_a_cut_off_holder_and_its_successor_share_the_quota(self):
        """Failure: the holders are cut off and go on serving clients.

        A holder that went on with the shares of all nodes would exceed the
        quota together with the one that takes its place.
        """
        cluster = Cluster(
            domains={"a": 3, "b": 3}, tenants=[make_tenant(600, 60)]
        )
        cluster.advance(START_SECONDS)
        cluster.play({"t": 2400}, 2.0)
        holders = {
            node.quotas.holder_of(cluster.tenants["t"])
            for node in cluster.nodes
        }
        for node in cluster.nodes:
            node.cut = node_id(node.address) in holders
        cluster.play({"t": 2400}, 8.0)
        for node in cluster.nodes:
            node.cut = False
        cluster.play({"t": 2400}, 6.0)
        self.assert_kept(cluster)

    def test_a_restarted_holder_refuses_nothing_within_the_quota(self):
        """Failure: a holder starts again before the others have noticed.

        It has no tokens and does not know the other domains yet, which says
        nothing about the quota.
        """
        cluster = self.make_cluster([make_tenant(300, 300)])
        cluster.play({"t": 180}, 2.1)
        tenant = cluster.tenants["t"]
        holder = cluster.nodes[0].quotas.holder_of(tenant)
        for node in cluster.nodes:
            if node_id(node.address) == holder:
                cluster.start(node)
        cluster.play({"t": 180}, 4.0)
        self.assertLess(cluster.total_refused(), 0.01 * 180 * 4)
        self.assert_kept(cluster)

    def restart_without_members(self) -> tuple[Cluster, list[Node]]:
        """Return a cluster and the nodes of a domain that restarted in it."""
        cluster = Cluster(
            domains={"a": 4, "b": 4, "c": 4}, tenants=[make_tenant(60, 60)]
        )
        cluster.advance(START_SECONDS)
        restarted = cluster.nodes[:4]
        for node in restarted:
            node.knows_members = False
            cluster.start(node)
        cluster.advance(START_SECONDS)
        return cluster, restarted

    def test_nodes_that_do_not_know_each_other_mint_nothing(self):
        """Failure: a domain restarts and cannot read the members.

        Each of its nodes took itself for the only one of its domain.
        """
        cluster, restarted = self.restart_without_members()
        cluster.play({"t": 240}, 8.0, nodes=restarted)
        self.assert_kept(cluster)
        # The tenant lives on what the other two domains mint.
        self.assertGreaterEqual(len(cluster.sent["t"]), 0.5 * 60 * 8)

    def test_nodes_that_learn_of_each_other_late_share_the_quota(self):
        """Failure: the members become readable at different times."""
        cluster, restarted = self.restart_without_members()
        for node in restarted:
            cluster.play({"t": 240}, 0.7, nodes=restarted)
            node.knows_members = True
        cluster.play({"t": 240}, 10.0, nodes=restarted)
        self.assert_kept(cluster)
        now = cluster.clock.seconds()
        shares = [node.quotas.book.share("t", now) for node in restarted]
        self.assertEqual(1.0, sum(shares))

    def test_a_lower_limit_binds_at_once(self):
        """Failure: a full bucket and its surplus would exceed a lower limit.

        Tokens at first nodes are from before the change; they expire.
        """
        cluster = self.make_cluster([make_tenant(300, 300)])
        cluster.play({"t": 150}, 2.0)
        lower = make_tenant(30, 10)
        cluster.set_tenants([lower])
        cluster.advance(0.25)
        cluster.sent.clear()
        cluster.play({"t": 300}, 7.0)
        self.assert_kept(cluster)

    def test_messages_do_not_grow_with_the_number_of_nodes(self):
        """Load: a node asks for tokens only when it has requests."""
        counts = []
        for size in (7, 21):
            cluster = Cluster(
                domains={"a": size, "b": size, "c": size},
                tenants=[make_tenant(600, 600)],
            )
            cluster.advance(START_SECONDS)
            cluster.play({"t": 5.0 * len(cluster.nodes)}, 3.0)
            total = sum(cluster.messages.values())
            counts.append(total / len(cluster.nodes))
        self.assertLess(counts[1], 1.3 * counts[0])

    def test_a_refused_request_is_told_when_there_is_room(self):
        """Load: clients that return at once would be refused again."""
        cluster = self.make_cluster([make_tenant(6, 3)])
        for _ in range(9):
            cluster.request(cluster.nodes[0], "t")
            cluster.advance(0.01)
        for _ in range(10):
            cluster.advance(0.02)
        waits = [wait for wait in cluster.retry_after if wait]
        self.assertTrue(waits)
        self.assertGreaterEqual(max(waits), 0.5)
        self.assertLessEqual(max(waits), 1.0)

    def test_a_request_that_is_not_sent_gives_its_token_back(self):
        """Failure: requests that admission refuses would use the quota up."""
        cluster = self.make_cluster([make_tenant(30, 30)])
        tenant = cluster.tenants["t"]
        refused = []

        def decided(request, draw, retry_after):
            if draw is Draw.GRANTED:
                node.quotas.refund(tenant)
            else:
                refused.append(draw)

        for node in cluster.nodes:
            node.quotas.on_decision = decided
        for _ in range(10):
            for node in cluster.nodes[:3]:
                request = type("Request", (), {"done": False})()
                if node.quotas.draw(tenant, request) is Draw.GRANTED:
                    node.quotas.refund(tenant)
            cluster.advance(0.01)
        self.assertEqual([], refused)

    def test_a_node_that_was_suspended_has_no_tokens(self):
        """Failure: a holder is suspended, and wakes with a full bucket."""
        cluster = self.make_cluster([make_tenant(300, 300)])
        tenant = cluster.tenants["t"]
        for node in cluster.nodes:
            if node.quotas.holder_of(tenant) == node_id(node.address):
                break
        before = node.quotas.book.bucket(tenant, cluster.clock.seconds())
        self.assertGreater(before.tokens, 90.0)
        node.quotas.boot_time = lambda: cluster.clock.seconds() + 5.0
        node.quotas.check_suspended(cluster.clock.seconds())
        after = node.quotas.book.bucket(tenant, cluster.clock.seconds())
        self.assertLess(after.tokens, 1.0)


SMALL = {"a": 3, "b": 2}
nodes = st.integers(0, sum(SMALL.values()) - 1)
events = st.lists(
    st.one_of(
        st.tuples(st.just("advance"), st.floats(0.01, 3.0)),
        st.tuples(st.just("spend"), nodes, st.integers(1, 400)),
        st.tuples(st.just("play"), st.floats(0.1, 3.0)),
        st.tuples(st.just("cut node"), nodes),
        st.tuples(st.just("cut link"), nodes, nodes),
        st.tuples(st.just("cut domain"), st.sampled_from(list(SMALL))),
        st.tuples(st.just("heal")),
        st.tuples(st.just("restart"), nodes),
        st.tuples(st.just("restart without members"), nodes),
        st.tuples(st.just("read members"), nodes),
        st.tuples(st.just("loss"), st.sampled_from([0.0, 0.1, 0.5])),
        st.tuples(st.just("delay"), st.sampled_from([0.0, 0.05, 0.4])),
        st.tuples(st.just("duplicate"), st.sampled_from([0.0, 0.5])),
    ),
    max_size=30,
)


class AnyOrderTest(TestCase):
    """Any order of events on a few nodes."""

    def make_cluster(self) -> Cluster:
        cluster = Cluster(domains=SMALL, tenants=[make_tenant(200, 100)])
        cluster.advance(START_SECONDS)
        return cluster

    def apply(self, cluster: Cluster, name: str, *arguments):
        """Let one event happen."""
        if name == "advance":
            cluster.advance(*arguments)
        elif name == "spend":
            node, count = arguments
            for _ in range(count):
                cluster.request(cluster.nodes[node], "t")
            cluster.advance(0.01)
        elif name == "play":
            cluster.play({"t": 1000}, *arguments)
        elif name == "cut node":
            cluster.nodes[arguments[0]].cut = True
        elif name == "cut link":
            cluster.cut_links.add(
                frozenset(cluster.nodes[i].address for i in arguments)
            )
        elif name == "cut domain":
            cluster.cut_domains.add(*arguments)
        elif name == "heal":
            cluster.cut_domains.clear()
            cluster.cut_links.clear()
            for node in cluster.nodes:
                node.cut = False
        elif name == "restart":
            cluster.start(cluster.nodes[arguments[0]])
        elif name == "restart without members":
            cluster.nodes[arguments[0]].knows_members = False
            cluster.start(cluster.nodes[arguments[0]])
        elif name == "read members":
            cluster.nodes[arguments[0]].knows_members = True
        elif name == "loss":
            cluster.loss = arguments[0]
        elif name == "delay":
            cluster.delay = arguments[0]
        elif name == "duplicate":
            cluster.duplication = arguments[0]

    @settings(max_examples=100, deadline=None)
    @given(events)
    def test_no_share_is_lent_to_two_holders(self, order):
        """Failure: nodes that reach different others choose two holders.

        A share that counted at both would be minted twice.
        """
        cluster = Cluster(
            domains={"a": 5},
            tenants=[make_tenant(200, 100, f"t{i}") for i in range(5)],
        )
        cluster.advance(START_SECONDS)
        for event in order:
            if event[0] not in ("spend", "play"):
                self.apply(cluster, *event)
            for _ in range(4):
                cluster.advance(0.15)
                now = cluster.clock.seconds()
                for name in cluster.tenants:
                    total = sum(
                        node.quotas.book.share(name, now)
                        for node in cluster.nodes
                    )
                    self.assertLessEqual(total, 1.0 + 1e-9)

    @settings(max_examples=150, deadline=None)
    @given(events)
    def test_no_order_of_failures_exceeds_the_quota(self, order):
        """Failure: cuts, restarts, lost and late messages, in any order."""
        cluster = self.make_cluster()
        for event in order:
            self.apply(cluster, *event)
        times = cluster.sent.get("t", [])
        self.assertLessEqual(
            largest_window(times), window_bound(cluster.tenants["t"])
        )

    @settings(max_examples=50, deadline=None)
    @given(events, events)
    def test_a_lower_limit_binds_in_any_order(self, before, after):
        """Failure: the limit is lowered during cuts and restarts."""
        cluster = self.make_cluster()
        for event in before:
            self.apply(cluster, *event)
        cluster.set_tenants([make_tenant(20, 10)])
        cluster.advance(0.5)
        cluster.sent.clear()
        for event in after:
            self.apply(cluster, *event)
        times = cluster.sent.get("t", [])
        self.assertLessEqual(
            largest_window(times), window_bound(cluster.tenants["t"])
        )
