"""Tests of the learned concurrency limit, without a network."""

from heapq import heappop
from heapq import heappush
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.proxy.policy.concurrency import ConcurrencyLimit
from flamingosail.proxy.policy.concurrency import MachineSpeed
from flamingosail.proxy.policy.concurrency import parse_server_load
from flamingosail.proxy.policy.concurrency import ServerLoad
from flamingosail.proxy.transport.hop import Outcome
from tests.proxyfakes import FakePool
from tests.proxyfakes import make_gate
from tests.proxyfakes import make_job
from tests.proxyfakes import make_report
from tests.proxyfakes import make_response

__all__ = []

SHARED = ServerLoad(
    running=0, waiting=0, slots=40, machine_slowness=1.0, shares_machine=True
)


def always(value: float):
    """Return a function of the time that is constant."""
    return lambda now: value


OVERLOAD = always(1.2)
USUAL = always(1.0)


class FakeServer:
    """A server behind a limit, with random arrivals and run times.

    ``utilization`` is the offered load relative to all slots, ``factor`` the
    slowness of a request by the number of running requests, and
    ``machine_slowness`` that of the machine, both of the server's model. The
    machine's slowness is stated only if ``states_slowness``.
    """

    SLOTS = 40
    MEAN_SECONDS = 0.05

    def __init__(
        self,
        *,
        utilization=OVERLOAD,
        factor=lambda running: 1.0,
        machine_slowness=USUAL,
        states_slowness: bool = True,
        rejects_above: int = 1000,
    ):
        self.clock = Clock()
        self.random = Random(4)
        self.limit = ConcurrencyLimit(clock=self.clock)
        self.limit.record_load(SHARED)
        self.utilization = utilization
        self.factor = factor
        self.machine_slowness = machine_slowness
        self.states_slowness = states_slowness
        self.rejects_above = rejects_above
        self.ends: list[tuple[float, float, int]] = []
        self.next_arrival = 0.0
        self.waiting = 0
        self.served = 0

    @property
    def slots_in_use(self) -> int:
        return self.limit.limit_now(self.SLOTS)

    def run(self, seconds: float):
        """Run the server for a time."""
        end = self.clock.seconds() + seconds
        while True:
            ended = self.ends[0][0] if self.ends else end
            now = min(self.next_arrival, ended)
            if now >= end:
                break
            self.clock.advance(max(0.0, now - self.clock.seconds()))
            if now == ended:
                self.finish()
            else:
                rate = self.utilization(now) * self.SLOTS / self.MEAN_SECONDS
                self.next_arrival += self.random.expovariate(rate)
                self.waiting = min(self.waiting + 1, 50)
            while self.waiting and len(self.ends) < self.slots_in_use:
                self.waiting -= 1
                self.start()
        self.clock.advance(max(0.0, end - self.clock.seconds()))

    def start(self):
        now = self.clock.seconds()
        running = len(self.ends) + 1
        self.limit.record_use(running, self.SLOTS)
        if running > self.rejects_above:
            self.limit.record_rejected(concurrency=running, slots=self.SLOTS)
            return
        seconds = (
            self.MEAN_SECONDS
            * self.random.lognormvariate(0.0, 0.5)
            * self.factor(running)
            * self.machine_slowness(now)
        )
        heappush(self.ends, (now + seconds, now, running))

    def finish(self):
        now, started, running = heappop(self.ends)
        self.served += 1
        if self.states_slowness:
            # A single figure is noise around the slowness of the machine.
            self.limit.record_load(
                ServerLoad(
                    running=0,
                    waiting=0,
                    slots=self.SLOTS,
                    machine_slowness=self.machine_slowness(now)
                    * self.random.uniform(0.7, 1.4),
                )
            )
        self.limit.record_served(
            1,
            seconds=now - started,
            own_seconds=now - started,
            concurrency=(running + len(self.ends) + 1) / 2,
            slots=self.SLOTS,
        )


def knee(share: float, slowness: float):
    """Return the factor of a server that is slow above a share of slots."""
    return lambda running: (
        slowness if running > share * FakeServer.SLOTS else 1.0
    )


class ConcurrencyLimitTest(TestCase):
    """Load patterns of one server under demand of its own."""

    def test_knee_far_below_the_slots(self):
        """Sustained overload of a server that is 3 times slower above 60%."""
        server = FakeServer(factor=knee(0.6, 3.0))
        server.run(20)
        self.assertLess(server.slots_in_use, 0.75 * server.SLOTS)
        self.assertGreater(server.slots_in_use, 0.45 * server.SLOTS)
        server.served = 0
        server.run(10)
        # All slots together serve a third of their number.
        self.assertGreater(
            server.served * server.MEAN_SECONDS / 10, server.SLOTS / 3 * 1.15
        )

    def test_knee_near_the_slots(self):
        """Sustained overload of a server that is 1.5 times slower at 95%."""
        server = FakeServer(factor=knee(0.95, 1.5))
        server.run(20)
        self.assertLessEqual(server.slots_in_use, 0.95 * server.SLOTS)
        self.assertGreater(server.slots_in_use, 0.6 * server.SLOTS)

    def test_a_server_without_a_knee_keeps_its_slots(self):
        """Sustained overload; the probes cost little."""
        server = FakeServer()
        server.run(30)
        self.assertEqual(1.0, server.limit.share)
        ideal = 30 * server.SLOTS / (server.MEAN_SECONDS * 1.133)
        self.assertGreater(server.served, 0.95 * ideal)

    def test_spells_of_a_slow_machine_are_no_knee(self):
        """Requests pile up during spells of 0.6 s, at high utilization."""
        for states_slowness in (True, False):
            server = FakeServer(
                utilization=always(0.7),
                machine_slowness=lambda now: (
                    2.5 if int(now / 0.6) % 6 == 5 else 1.0
                ),
                states_slowness=states_slowness,
            )
            server.run(30)
            self.assertGreaterEqual(server.limit.share, 0.8)

    def test_the_limit_recovers_after_trouble(self):
        """A machine is 4 times slower for 6 s, without stating it."""
        server = FakeServer(
            utilization=always(0.6),
            machine_slowness=lambda now: 4.0 if 8 < now < 14 else 1.0,
            states_slowness=False,
        )
        server.run(30)
        self.assertGreaterEqual(server.limit.share, 0.95)

    def test_a_knee_that_goes_away_is_forgotten(self):
        """Another program on the machine ends; demand stays high."""
        server = FakeServer(factor=knee(0.6, 3.0))
        server.run(20)
        self.assertLess(server.slots_in_use, 0.75 * server.SLOTS)
        server.factor = lambda running: 1.0
        server.run(15)
        self.assertEqual(server.SLOTS, server.slots_in_use)

    def test_low_demand_does_not_lower_the_limit(self):
        """A tenth of the load, then a burst that needs all slots."""
        server = FakeServer(utilization=lambda now: 0.1 if now < 20 else 0.95)
        server.run(20)
        self.assertEqual(server.SLOTS, server.slots_in_use)

    def test_rejections_that_come_with_concurrency_lower_the_limit(self):
        """A server rejects what it gets beyond half of its slots."""
        server = FakeServer(rejects_above=20, utilization=always(0.8))
        server.run(15)
        self.assertLess(server.slots_in_use, 30)

    def test_a_cold_start_is_no_knee(self):
        """A restarted server is slow at any concurrency, under overload."""
        server = FakeServer(
            machine_slowness=lambda now: 3.0 if now < 4 else 1.0,
            states_slowness=False,
        )
        server.limit.reset(cold_until=4.0)
        server.run(4)
        self.assertEqual(0.0, sum(x.served for x in server.limit.levels))
        server.run(20)
        self.assertEqual(1.0, server.limit.share)

    def test_nothing_is_learnt_where_no_server_shares_its_machine(self):
        """Deployments whose servers state three figures, or none."""
        server = FakeServer(factor=knee(0.6, 3.0), states_slowness=False)
        server.limit.enabled = False
        server.limit.record_load(ServerLoad(running=1, waiting=0, slots=40))
        server.run(20)
        self.assertEqual(server.SLOTS, server.slots_in_use)
        self.assertEqual(0.0, server.limit.run_seconds)

    @given(
        st.lists(
            st.tuples(
                st.floats(0.0, 1e6),
                st.floats(0.0, 1e5),
                st.floats(0.0, 10.0),
                st.booleans(),
            ),
            max_size=60,
        ),
        st.integers(1, 300),
    )
    def test_the_limit_stays_between_one_and_the_slots(self, requests, slots):
        """Whatever a faulty server does."""
        clock = Clock()
        limit = ConcurrencyLimit(clock=clock)
        limit.record_load(SHARED)
        for seconds, concurrency, pause, served in requests:
            clock.advance(pause)
            limit.record_use(int(concurrency), slots)
            if served:
                limit.record_served(
                    1,
                    seconds=seconds,
                    own_seconds=seconds / 2,
                    concurrency=concurrency,
                    slots=slots,
                )
            else:
                limit.record_rejected(concurrency=concurrency, slots=slots)
            self.assertTrue(1 <= limit.limit(slots) <= slots)


class ServerLoadTest(TestCase):
    """The header in which servers state their load."""

    def test_three_or_four_figures(self):
        load = parse_server_load(b"3, 0,8")
        self.assertEqual((3, 0, 8), (load.running, load.waiting, load.slots))
        self.assertFalse(load.shares_machine)
        load = parse_server_load(b"3,0,8,240")
        self.assertEqual(2.4, load.machine_slowness)
        self.assertTrue(load.shares_machine)

    def test_figures_of_a_faulty_server_do_not_count(self):
        for value in (b"3,0,8,0", b"3,0,8,64000"):
            load = parse_server_load(value)
            self.assertIsNone(load.machine_slowness)
            self.assertTrue(load.shares_machine)
        for value in (b"", b"3,0", b"3,0,x", b"3,0,8,-1", b"1,2,3,4,5"):
            self.assertIsNone(parse_server_load(value))

    @given(st.binary(max_size=40))
    def test_any_value_is_parsed(self, value):
        parse_server_load(value)

    def test_an_outlier_hardly_changes_the_smoothed_slowness(self):
        clock = Clock()
        machine = MachineSpeed(clock=clock)
        for number in range(200):
            clock.advance(0.01)
            machine.record(10.0 if number == 199 else 1.0)
        self.assertLess(machine.slowness, 2.0)


class GateConcurrencyTest(TestCase):
    """What the gate hands to the limit."""

    def setUp(self):
        super().setUp()
        self.pool = FakePool()
        self.gate = make_gate(pool=self.pool)
        self.gate.server.handle_report(make_report(slots=40))
        self.limit = self.gate.server.concurrency
        self.limit.record_load(SHARED)

    def test_the_time_of_child_calls_is_left_out(self):
        """A knee of a deep service is no knee of its callers."""
        for own, child in ((0.1, 0.0), (0.1, 0.2)):
            job = make_job([], deadline=1e6)
            self.gate.submit(job)
            job.child_call_started(self.gate.clock.seconds())
            job.child_call_started(self.gate.clock.seconds())
            self.gate.clock.advance(child)
            job.child_call_ended(self.gate.clock.seconds())
            job.child_call_ended(self.gate.clock.seconds())
            self.gate.clock.advance(own)
            self.pool.sent[-1].finish(make_response(load=SHARED))
        level = self.limit.level(1, self.gate.usable_slots)
        self.assertEqual(2.0, level.served)
        self.assertAlmostEqual(0.0, level.total)

    def test_a_probe_is_no_loss_of_capacity(self):
        """All servers of an overloaded service probe at the same time."""
        self.limit.start_probe(self.gate.clock.seconds())
        for number in range(40):
            job = make_job([], request_id=b"%d" % number)
            self.gate.submit(job)
        self.assertEqual(32, len(self.pool.sent))
        self.assertEqual(38, self.gate.capacity)
        self.gate.clock.advance(0.2)
        self.pool.sent[0].finish(make_response())
        self.assertEqual(39, len(self.pool.sent))

    def test_requests_above_the_learned_limit_wait(self):
        self.limit.share = 0.5
        ends = []
        for number in range(30):
            self.gate.submit(make_job(ends, request_id=b"%d" % number))
        self.assertEqual(19, len(self.pool.sent))
        self.assertEqual(11, self.gate.waiting)
        self.assertEqual(19, self.gate.capacity)
        self.assertEqual([], ends)
        self.gate.refuse_queued("the node stops")
        self.assertEqual({Outcome.REFUSED}, {end[1] for end in ends})
