"""Tests of the admission at the first node, under load without a network."""

from random import Random

from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.proxy.overload import Admission
from flamingosail.proxy.overload import LoadMeter
from flamingosail.proxy.overload import LoadReport
from flamingosail.proxy.overload import route_key

READ, CHECK = route_key("r-read"), route_key("r-check")
PRIORITIES = {READ: 2, CHECK: 1}
STEP = 0.05


class DeepServiceModel:
    """Reads cause four calls at a deep service that checks use as well.

    A read is thrown away if one of its calls waits longer than 0.7 s; the
    deep service has ``slots`` slots and takes 20 ms for each call.
    """

    def __init__(self, *, slots: int, admission: bool):
        self.clock = Clock()
        self.random = Random(7)
        self.slots = slots
        self.meter = LoadMeter(clock=self.clock)
        self.admission = Admission(clock=self.clock) if admission else None
        self.queue = []
        self.done = {READ: 0, CHECK: 0}
        self.asked = {READ: 0, CHECK: 0}
        self.spent_calls = 0

    def run(self, *, seconds: float, rates: dict[int, float]):
        """Let requests come at the given rates a second."""
        reported = 0.0
        credit = dict.fromkeys(rates, 0.0)
        for _ in range(round(seconds / STEP)):
            for key, rate in rates.items():
                credit[key] += rate * STEP
                while credit[key] >= 1:
                    credit[key] -= 1
                    self.arrive(key)
            self.serve()
            self.clock.advance(STEP)
            reported += STEP
            if self.admission is not None and reported >= 0.5:
                reported = 0.0
                report = self.meter.report("deep", self.slots, len(self.queue))
                self.admission.compute([report], PRIORITIES)

    def arrive(self, key: int):
        """Admit a request and queue its calls, those of checks first."""
        self.asked[key] += 1
        admitted = self.admission is None or self.admission.admits(key)
        self.meter.began(key, admitted=admitted)
        if admitted:
            request = {"key": key, "left": 4 if key == READ else 1}
            now = self.clock.seconds()
            self.queue.append((PRIORITIES[key], now, request))

    def serve(self):
        """Serve what fits into a step; late calls end their request."""
        now = self.clock.seconds()
        self.queue.sort(key=lambda call: call[:2])
        for _ in range(round(self.slots * STEP / 0.02)):
            while self.queue and now - self.queue[0][1] > 0.7:
                _, _, request = self.queue.pop(0)
                self.meter.ended(request["key"], served=False)
            if not self.queue:
                return
            _, _, request = self.queue.pop(0)
            self.spent_calls += 1
            self.meter.used_slot(request["key"], 0.02)
            request["left"] -= 1
            if request["left"]:
                # The next call follows when the one before is answered.
                self.queue.append((PRIORITIES[request["key"]], now, request))
            else:
                self.done[request["key"]] += 1
                self.meter.ended(request["key"], served=True)


def steady(rates: dict, *, room: int, waiting: int = 0, **used) -> LoadReport:
    """Return the report of a node whose requests all end and are served."""
    return LoadReport(
        "deep", room, waiting, rates, rates, rates, rates, **used
    )


class AdmissionTest(TestCase):
    """Guards against work that is thrown away and against inversion."""

    def test_whole_requests_survive_three_times_the_load(self):
        rates = {READ: 300.0, CHECK: 100.0}
        naive = DeepServiceModel(slots=10, admission=False)
        naive.run(seconds=20, rates=rates)
        model = DeepServiceModel(slots=10, admission=True)
        model.run(seconds=20, rates=rates)
        # The service can do 100 reads a second beside the checks.
        self.assertGreater(model.done[READ], 0.75 * 20 * 100)
        self.assertGreater(model.done[READ], naive.done[READ])

    def test_more_urgent_requests_are_served_no_less(self):
        model = DeepServiceModel(slots=10, admission=True)
        model.run(seconds=20, rates={READ: 300.0, CHECK: 100.0})
        share = {key: model.done[key] / model.asked[key] for key in model.done}
        self.assertGreater(share[CHECK], 0.95)
        self.assertGreater(share[CHECK], share[READ])

    def test_the_queue_is_soon_short_when_servers_are_lost(self):
        """A standing queue makes all requests late and serves none more."""
        rates = {READ: 100.0, CHECK: 50.0}
        model = DeepServiceModel(slots=10, admission=True)
        model.run(seconds=8, rates=rates)
        model.slots = 6
        model.run(seconds=4, rates=rates)
        served = model.done[READ]
        for _ in range(6):
            model.run(seconds=1, rates=rates)
            # 0.1 s of waiting for each call.
            self.assertLess(len(model.queue), 0.1 * 6 / 0.02)
        # The slots that are left can do 62 reads a second beside the checks.
        self.assertGreater(model.done[READ] - served, 0.85 * 6 * 62)

    def test_all_are_admitted_again_soon_after_the_overload(self):
        model = DeepServiceModel(slots=10, admission=True)
        model.run(seconds=10, rates={READ: 400.0, CHECK: 100.0})
        self.assertIn(READ, model.admission.shares)
        model.run(seconds=5, rates={READ: 60.0, CHECK: 50.0})
        self.assertEqual({}, model.admission.shares)

    def test_nobody_is_refused_below_the_capacity(self):
        model = DeepServiceModel(slots=10, admission=True)
        model.run(seconds=10, rates={READ: 80.0, CHECK: 50.0})
        self.assertEqual({}, model.admission.shares)
        self.assertGreater(model.done[READ], 0.97 * model.asked[READ])

    def test_routes_without_calls_there_are_never_refused(self):
        clock = Clock()
        admission = Admission(clock=clock)
        meter = LoadMeter(clock=clock)
        other = route_key("r-other")
        for _ in range(100):
            clock.advance(0.1)
            for _ in range(10):
                for key in (READ, other):
                    admitted = admission.admits(key)
                    meter.began(key, admitted=admitted)
                    if admitted:
                        meter.ended(key, served=True)
                meter.used_slot(READ, 0.1)
            report = meter.report("deep", 4, 20)
            admission.compute([report], {READ: 2, other: 2})
        self.assertIn(READ, admission.shares)
        self.assertNotIn(other, admission.shares)

    def test_costs_rise_at_once_when_the_fast_server_leaves(self):
        """It took seconds, in which a queue of several seconds built up."""
        clock = Clock()
        admission = Admission(clock=clock)

        calls = {READ: 2000}
        fast = LoadReport("deep", 10, usage={READ: 200}, calls=calls)
        slow = steady({READ: 1000}, room=10, usage={READ: 600}, calls=calls)
        for _ in range(20):
            clock.advance(0.5)
            admission.compute([fast, slow], PRIORITIES)
        self.assertEqual({}, admission.shares)
        clock.advance(0.5)
        admission.compute([slow], PRIORITIES)
        # 100 requests with four calls of 30 ms need 12 slots, 9.2 are left.
        self.assertLess(admission.shares[READ], 0.95)

    def test_a_queue_of_the_least_urgent_takes_nothing_from_others(self):
        """After a restart the most urgent route got a share of 0.02."""
        clock = Clock()
        admission = Admission(clock=clock)
        rates = {READ: 1000, CHECK: 1000}
        full = steady(
            rates,
            room=10,
            waiting=400,
            usage={READ: 600, CHECK: 300},
            calls={READ: 3000, CHECK: 1000},
        )
        for _ in range(4):
            clock.advance(0.5)
            admission.compute([full], PRIORITIES)
        self.assertNotIn(CHECK, admission.shares)
        self.assertLess(admission.shares[READ], 0.1)

    def test_calls_are_not_forgotten_while_no_server_is_there(self):
        clock = Clock()
        admission = Admission(clock=clock)
        rates = {READ: 1000}
        usual = steady(rates, room=10, usage={READ: 800}, calls={READ: 4000})
        clock.advance(0.5)
        admission.compute([usual], PRIORITIES)
        gone = steady(rates, room=0)
        for _ in range(20):
            clock.advance(0.5)
            admission.compute([gone], PRIORITIES)
        self.assertAlmostEqual(4.0, admission.calls[(READ, "deep")])

    def test_a_route_that_moved_costs_nothing_at_its_former_service(self):
        """With costs that stay, it would be refused for no reason."""
        clock = Clock()
        admission = Admission(clock=clock)
        rates = {READ: 1000}
        calling = steady(rates, room=2, usage={READ: 400}, calls={READ: 2000})
        for _ in range(4):
            clock.advance(0.5)
            admission.compute([calling], PRIORITIES)
        self.assertIn(READ, admission.shares)
        moved = steady(rates, room=2)
        for _ in range(20):
            clock.advance(0.5)
            admission.compute([moved], PRIORITIES)
        self.assertEqual({}, admission.shares)

    def test_a_start_under_overload_ends_in_requests_that_are_served(self):
        """While all failed no cost was learnt, and all were let in."""
        model = DeepServiceModel(slots=2, admission=True)
        model.run(seconds=12, rates={READ: 300.0, CHECK: 20.0})
        served = model.done[READ]
        model.run(seconds=10, rates={READ: 300.0, CHECK: 20.0})
        # Beside the checks, the slots can do 20 reads a second.
        self.assertGreater(model.done[READ] - served, 0.6 * 10 * 20)

    def test_all_nodes_compute_the_same_shares(self):
        """Nodes that disagree would refuse different parts of a request."""
        model = DeepServiceModel(slots=10, admission=True)
        other = Admission(clock=model.clock)
        model.run(seconds=5, rates={READ: 300.0})
        for _ in range(40):
            model.clock.advance(0.5)
            report = model.meter.report("deep", 10, 0)
            model.admission.compute([report], PRIORITIES)
            other.compute([report], PRIORITIES)
        self.assertEqual(model.admission.shares, other.shares)

    def test_a_start_under_ordinary_load_refuses_nobody(self):
        """After all nodes were killed, half of the requests were refused.

        Calls are served while the requests that made them still run.
        """
        clock = Clock()
        admission = Admission(clock=clock)
        meter = LoadMeter(clock=clock)
        for step in range(100):
            clock.advance(0.05)
            for _ in range(2):
                meter.began(READ, admitted=True)
                meter.used_slot(READ, 0.08)
                if step >= 20:
                    meter.ended(READ, served=True)
            if step % 10 == 9:
                # 40 requests a second of 80 ms take 3.2 of 5 slots.
                report = meter.report("deep", 5, 0)
                admission.compute([report], PRIORITIES)
                self.assertEqual({}, admission.shares, f"step {step}")
