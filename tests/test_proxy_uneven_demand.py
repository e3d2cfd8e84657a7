"""Tests of the choice of servers that tell their run times.

Servers differ in speed up to three times, and the demand of the failure
domains rises and falls at different times.
"""

from collections import Counter
from heapq import heappop
from heapq import heappush
from math import pi
from math import sin
from random import Random

from testtools import TestCase
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from flamingosail.proxy.forwarding import ForwardedRequest
from flamingosail.proxy.policy.balance import LoadBalancer
from flamingosail.proxy.policy.balance import RequestNeeds
from flamingosail.proxy.policy.balance import ServerGroup
from flamingosail.proxy.shared.servers import RemoteServer
from flamingosail.proxy.transport.hop import encode_frame
from flamingosail.proxy.transport.hop import FrameBuffer
from flamingosail.proxy.transport.hop import Pong
from tests.proxyfakes import make_gate
from tests.proxyfakes import make_report
from tests.proxyfakes import make_route

__all__ = []

REPORT_SECONDS = 0.5
STEP_SECONDS = 0.005
REPORT_TICKS = int(REPORT_SECONDS / STEP_SECONDS)
RELAXED = RequestNeeds(slack_seconds=1.5)


class Server(RemoteServer):
    """A server as one node knows it."""

    usable = True

    def __init__(
        self,
        failure_domain: str = "fd-a",
        *,
        slowness: float = 1.0,
        run_seconds: float = 0.2,
        running: int = 0,
    ):
        super().__init__()
        self.failure_domain = failure_domain
        self.state = "ready"
        self.capacity = 20
        self.running = running
        self.slowness = slowness
        self.run_seconds = run_seconds * slowness


def make_balancer(failure_domain: str = "fd-a", seed: int = 3):
    """Return the balancer of a node."""
    return LoadBalancer(
        clock=Clock(), random=Random(seed), failure_domain=failure_domain
    )


class RandomChoice:
    """A balancer that knows nothing."""

    def __init__(self):
        self.random = Random(3)

    def choose(self, group, excluded, needs):
        return self.random.choice(group.same_domain)


class FakeBackend:
    """A server with slots, a queue and its speed."""

    def __init__(self, *, slowness: float, failure_domain: str):
        self.slowness = slowness
        self.failure_domain = failure_domain
        self.capacity = 20
        self.load = 0
        self.waiting: list[tuple[float, float]] = []
        self.starts = 0


class FakeCluster:
    """Nodes that send requests to servers of which they hear now and then.

    Each node hears from each server every REPORT_SECONDS and with each reply,
    and knows the calls that it has sent there itself. ``rate`` returns the
    requests per second that enter in a failure domain at a time.
    """

    RUN_SECONDS = 0.2

    def __init__(self, *, slownesses, domains, nodes: int, rate):
        self.random = Random(8)
        self.rate = rate
        self.domains = domains
        self.backends = [
            FakeBackend(slowness=slowness, failure_domain=domain)
            for domain in domains
            for slowness in slownesses
        ]
        self.nodes = []
        for domain in domains:
            for number in range(nodes):
                views = [
                    Server(
                        backend.failure_domain,
                        slowness=backend.slowness,
                        run_seconds=self.RUN_SECONDS,
                    )
                    for backend in self.backends
                ]
                self.nodes.append(
                    (domain, make_balancer(domain, number), views)
                )
        self.waits: list[float] = []
        self.latencies: list[float] = []
        self.crossed = 0
        self.imbalance = 0.0

    def run(self, seconds: float, needs: RequestNeeds = RELAXED):
        """Play the arrivals of a time."""
        step = STEP_SECONDS
        ends: list = []
        groups = [
            ServerGroup(views, domain) for domain, _, views in self.nodes
        ]
        by_view = {
            view: backend
            for _, _, views in self.nodes
            for view, backend in zip(views, self.backends, strict=True)
        }
        for tick in range(int(seconds / step)):
            now = tick * step
            while ends and ends[0][0] <= now:
                _, _, view = heappop(ends)
                view.calls_in_flight -= 1
                by_view[view].load -= 1
                # A reply carries the load of the server, as reports do.
                view.update_load(by_view[view].load, 0, 20)
            for index, (domain, balancer, views) in enumerate(self.nodes):
                # Reports reach the nodes at different times.
                if tick % REPORT_TICKS == index * 7 % REPORT_TICKS:
                    for view in views:
                        view.update_load(by_view[view].load, 0, 20)
                rate = self.rate(domain, now) * len(self.domains)
                if self.random.random() < rate * step / len(self.nodes):
                    view = balancer.choose(groups[index], (), needs)
                    self.send(now, view, by_view[view], domain, ends)
            loads = [backend.load for backend in self.backends]
            self.imbalance += max(loads) - sum(loads) / len(loads)

    def send(self, now, view, backend, domain, ends):
        mean = self.RUN_SECONDS * backend.slowness
        backend.load += 1
        backend.starts += 1
        ahead = max(0, backend.load - backend.capacity)
        wait = ahead * mean / backend.capacity
        end = now + wait + mean * self.random.uniform(0.5, 1.5)
        view.calls_in_flight += 1
        heappush(ends, (end, self.random.random(), view))
        self.waits.append(wait)
        self.latencies.append(end - now)
        self.crossed += backend.failure_domain != domain


class UnequalSpeedTest(TestCase):
    """Servers of one service that differ in speed up to three times."""

    def test_fast_servers_get_more_and_nobody_waits_below_capacity(self):
        """Sustained demand of 70% of what all servers together complete."""
        slownesses = (1.5, 1.5, 0.6)
        capacity = sum(20 / (0.2 * slowness) for slowness in slownesses) * 2
        cluster = FakeCluster(
            slownesses=slownesses * 2,
            domains=("fd-a",),
            nodes=8,
            rate=lambda domain, now: 0.7 * capacity,
        )
        cluster.run(10)
        starts = Counter()
        for backend in cluster.backends:
            starts[backend.slowness] += backend.starts / (
                1 if backend.slowness < 1 else 2
            )
        self.assertGreater(starts[0.6], 2 * starts[1.5])
        self.assertLess(sum(cluster.waits) / len(cluster.waits), 0.01)

    def test_many_nodes_do_not_choose_the_same_server(self):
        """A herd of 24 nodes, whose figures are up to half a second old.

        Figures that are old must not be worse than none.
        """
        informed, random = (
            FakeCluster(
                slownesses=(1.0,) * 10,
                domains=("fd-a",),
                nodes=24,
                rate=lambda domain, now: 0.6 * 10 * 20 / 0.2,
            )
            for _ in range(2)
        )
        for _, balancer, _ in random.nodes:
            balancer.choose = RandomChoice().choose
        informed.run(6)
        random.run(6)
        self.assertLess(informed.imbalance, random.imbalance)
        self.assertLess(sum(informed.waits), sum(random.waits))

    def test_a_server_that_fails_at_once_is_not_fast(self):
        grey = Server(slowness=0.4)
        for _ in range(10):
            grey.record_outcome(True)
        other = Server(running=12)
        group = ServerGroup([grey, other], "fd-a")
        self.assertIs(other, make_balancer().choose(group, (), RELAXED))

    def test_a_server_that_has_just_started_gets_less(self):
        cold, warm = Server(running=8), Server(running=8)
        cold.cold_until = 5.0
        group = ServerGroup([cold, warm], "fd-a")
        balancer = make_balancer()
        chosen = Counter(
            balancer.choose(group, (), RELAXED) for _ in range(100)
        )
        self.assertGreater(chosen[warm], 90)

    def test_a_draining_server_is_the_last_choice(self):
        draining, full = Server(), Server(running=60)
        draining.state = "draining"
        group = ServerGroup([draining, full], "fd-a")
        self.assertIs(full, make_balancer().choose(group, (), RELAXED))


class UnevenDemandTest(TestCase):
    """Waves of demand that are out of step between failure domains."""

    def wave(self, domain: str, now: float) -> float:
        phase = {"fd-a": 0.0, "fd-b": 0.5}[domain]
        capacity = 4 * 20 / 0.2
        return capacity * (0.7 + 0.55 * 0.7 * sin(2 * pi * (now / 8 + phase)))

    def test_a_full_domain_spills_over_and_returns(self):
        cluster = FakeCluster(
            slownesses=(1.0,) * 4,
            domains=("fd-a", "fd-b"),
            nodes=6,
            rate=self.wave,
        )
        cluster.run(16)
        waits = sorted(cluster.waits)
        self.assertLess(waits[int(0.99 * len(waits))], 0.2)
        # The excess over the capacity of the own domain is about 3%.
        self.assertLess(cluster.crossed / len(waits), 0.10)
        self.assertGreater(cluster.crossed, 0)

    def test_a_wait_that_clients_do_not_notice_is_no_reason_to_cross(self):
        own, other = Server(running=24), Server("fd-b")
        group = ServerGroup([own, other], "fd-a")
        balancer = make_balancer()
        self.assertIs(
            own,
            balancer.choose(group, (), RequestNeeds(slack_seconds=1.5)),
        )
        self.assertIs(
            other,
            balancer.choose(group, (), RequestNeeds(slack_seconds=0.3)),
        )

    def test_large_bodies_wait_longer_than_small_requests(self):
        own, other = Server(running=36), Server("fd-b")
        group = ServerGroup([own, other], "fd-a")
        balancer = make_balancer()
        self.assertIs(other, balancer.choose(group, (), RELAXED))
        upload = RequestNeeds(slack_seconds=1.5, body_bytes=60_000)
        self.assertIs(own, balancer.choose(group, (), upload))

    def test_large_bodies_cross_when_their_server_fails(self):
        """A fifth of the calls of the only server of the domain fail."""
        own, other = Server(), Server("fd-b")
        own.failure_rate = 0.25
        group = ServerGroup([own, other], "fd-a")
        upload = RequestNeeds(slack_seconds=1.0, body_bytes=60_000)
        self.assertIs(other, make_balancer().choose(group, (), upload))
        own.failure_rate = 0.1
        self.assertIs(own, make_balancer().choose(group, (), upload))

    def test_large_bodies_cross_when_they_would_come_late(self):
        own, other = Server(running=200), Server("fd-b")
        group = ServerGroup([own, other], "fd-a")
        upload = RequestNeeds(slack_seconds=1.0, body_bytes=60_000)
        self.assertIs(other, make_balancer().choose(group, (), upload))


class MixedReleaseTest(TestCase):
    """Some nodes run an older release, which tells no run time."""

    def test_servers_of_older_nodes_are_used_as_announced(self):
        old, new = Server(run_seconds=0.0, running=10), Server(running=10)
        group = ServerGroup([old, new], "fd-a")
        balancer = make_balancer()
        chosen = Counter()
        for _ in range(400):
            server = balancer.choose(group, (), RELAXED)
            server.running += 1
            chosen[server] += 1
            if sum(s.running for s in group) > 35:
                for server in group:
                    server.running = 10
        self.assertGreater(min(chosen[old], chosen[new]), 50)

    def test_a_pong_of_an_older_node_tells_no_run_time(self):
        frame = encode_frame(Pong(1, 2, 3, 4))
        self.assertEqual(0, FrameBuffer().feed(frame)[0].run_ms)


class NeedsTest(TestCase):
    """How much time a request has to spare."""

    def request(self, **changes) -> ForwardedRequest:
        class Exchange:
            arrived_at = 10.0
            body = b"x" * 5

        request = ForwardedRequest(
            exchange=Exchange(), route=make_route(**changes), service="s"
        )
        request.deadline = 12.0
        return request

    def test_the_expected_latency_of_the_route_counts(self):
        needs = self.request(target_seconds=1.2).needs(10.2)
        self.assertAlmostEqual(1.0, needs.slack_seconds)
        self.assertEqual(5, needs.body_bytes)

    def test_without_one_half_of_the_time_left_counts(self):
        self.assertAlmostEqual(0.9, self.request().needs(10.2).slack_seconds)

    def test_a_late_request_has_no_slack(self):
        needs = self.request(target_seconds=1.2).needs(11.5)
        self.assertEqual(0.0, needs.slack_seconds)
        # It crosses to leave a queue, but not from a free server.
        self.assertAlmostEqual(0.05, needs.wait_seconds(0.2))
        group = ServerGroup([Server(running=12), Server("fd-b")], "fd-a")
        chosen = make_balancer().choose(group, (), needs)
        self.assertEqual("fd-a", chosen.failure_domain)


class RestartTest(TestCase):
    """A server restarts in place, cold."""

    def test_nothing_old_counts(self):
        clock = MemoryReactorClock()
        gate = make_gate(clock)
        gate.server.handle_report(make_report(slots=40))
        limit = gate.server.concurrency
        limit.enabled = True
        limit.share = 0.3
        limit.run_seconds = 0.2
        self.assertEqual(11, gate.capacity)
        gate.server.handle_report(
            make_report(slots=40, start_ms=2000, cold_until=4.0)
        )
        self.assertEqual(38, gate.capacity)
        self.assertEqual(0.0, limit.run_seconds)
        self.assertTrue(limit.enabled)
