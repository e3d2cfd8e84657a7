"""Tests of admission at the entry node, under simulated load."""

from random import Random

from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.proxy.policy.overload import Admission
from flamingosail.proxy.policy.overload import LoadMeter
from flamingosail.proxy.policy.overload import LoadReport
from flamingosail.proxy.policy.overload import route_key

READ, CHECK = route_key("r-read"), route_key("r-check")
PRIORITIES = {READ: 2, CHECK: 1}
STEP = 0.05


class DeepServiceModel:
    """Simulates a deep service that two routes call.

    A read makes four calls one after the other, a check makes one. A request
    fails if one of its calls is queued longer than 0.7 s. The service has
    ``slots`` slots and takes 20 ms for each call.
    """

    def __init__(self, *, slots: int, admission: bool):
        self.clock = Clock()
        self.random = Random(7)
        self.slots = slots
        self.meter = LoadMeter(clock=self.clock)
        self.admission = Admission(clock=self.clock) if admission else None
        self.queue = []
        self.completed = {READ: 0, CHECK: 0}
        self.offered = {READ: 0, CHECK: 0}
        self.calls_served = 0

    def run(self, *, seconds: float, rates: dict[int, float]):
        """Simulate arrivals at ``rates`` requests per second by route."""
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
                self.admission.compute_shares([report], PRIORITIES)

    def arrive(self, key: int):
        """Count an arrival and, if it is admitted, queue its first call."""
        self.offered[key] += 1
        admitted = self.admission is None or self.admission.admit(key)
        self.meter.record_arrival(key, admitted=admitted)
        if admitted:
            request = {"key": key, "left": 4 if key == READ else 1}
            now = self.clock.seconds()
            self.queue.append((PRIORITIES[key], now, request))

    def serve(self):
        """Serve one step's capacity of calls, checks first.

        Calls that were queued too long fail their request.
        """
        now = self.clock.seconds()
        self.queue.sort(key=lambda call: call[:2])
        for _ in range(round(self.slots * STEP / 0.02)):
            while self.queue and now - self.queue[0][1] > 0.7:
                _, _, request = self.queue.pop(0)
                self.meter.record_end(request["key"], completed=False)
            if not self.queue:
                return
            _, _, request = self.queue.pop(0)
            self.calls_served += 1
            self.meter.record_call(request["key"], 0.02)
            request["left"] -= 1
            if request["left"]:
                # The next call is made when the previous one is answered.
                self.queue.append((PRIORITIES[request["key"]], now, request))
            else:
                self.completed[request["key"]] += 1
                self.meter.record_end(request["key"], completed=True)


def report_of_successes(
    rates: dict, *, capacity: int, waiting: int = 0, **used
) -> LoadReport:
    """Return the report of a node where every request succeeds."""
    return LoadReport(
        "deep", capacity, waiting, rates, rates, rates, rates, **used
    )


class AdmissionTest(TestCase):
    """Guards against wasted work and priority inversion under overload."""

    def test_requests_complete_at_three_times_the_capacity(self):
        rates = {READ: 300.0, CHECK: 100.0}
        naive = DeepServiceModel(slots=10, admission=False)
        naive.run(seconds=20, rates=rates)
        model = DeepServiceModel(slots=10, admission=True)
        model.run(seconds=20, rates=rates)
        # The service can serve 100 reads per second beside the checks.
        self.assertGreater(model.completed[READ], 0.75 * 20 * 100)
        self.assertGreater(model.completed[READ], naive.completed[READ])

    def test_more_important_requests_are_served_first(self):
        model = DeepServiceModel(slots=10, admission=True)
        model.run(seconds=20, rates={READ: 300.0, CHECK: 100.0})
        share = {
            key: model.completed[key] / model.offered[key]
            for key in model.completed
        }
        self.assertGreater(share[CHECK], 0.95)
        self.assertGreater(share[CHECK], share[READ])

    def test_the_least_important_route_is_not_starved(self):
        """Load: more urgent requests alone need more than all slots.

        Of equal cuts each route would get 0.35; the floor is half of that.
        """
        served = {}
        for floors in (False, True):
            model = DeepServiceModel(slots=10, admission=True)
            model.admission.has_floors = floors
            model.run(seconds=8, rates={READ: 150.0, CHECK: 700.0})
            before = dict(model.completed)
            model.run(seconds=20, rates={READ: 150.0, CHECK: 700.0})
            served[floors] = {
                key: (model.completed[key] - before[key]) / 20
                for key in before
            }
        self.assertLess(served[False][READ], 0.05 * 150)
        self.assertGreater(served[True][READ], 0.15 * 150)
        self.assertGreater(
            served[True][CHECK] / 700, 2 * served[True][READ] / 150
        )

    def test_the_queue_drains_soon_after_losing_servers(self):
        """A standing queue delays every request and serves no more of them."""
        rates = {READ: 100.0, CHECK: 50.0}
        model = DeepServiceModel(slots=10, admission=True)
        model.run(seconds=8, rates=rates)
        model.slots = 6
        model.run(seconds=4, rates=rates)
        completed_before = model.completed[READ]
        for _ in range(6):
            model.run(seconds=1, rates=rates)
            # At most 0.1 s of queueing for each call.
            self.assertLess(len(model.queue), 0.1 * 6 / 0.02)
        # The remaining slots can serve 62 reads per second beside the checks.
        self.assertGreater(
            model.completed[READ] - completed_before, 0.85 * 6 * 62
        )

    def test_all_requests_are_admitted_soon_after_the_overload(self):
        model = DeepServiceModel(slots=10, admission=True)
        model.run(seconds=10, rates={READ: 400.0, CHECK: 100.0})
        self.assertIn(READ, model.admission.shares)
        model.run(seconds=5, rates={READ: 60.0, CHECK: 50.0})
        self.assertEqual({}, model.admission.shares)

    def test_no_request_is_rejected_below_the_capacity(self):
        model = DeepServiceModel(slots=10, admission=True)
        # 80 * 4 + 50 = 370 calls of 20 ms per second occupy 7.4 of 10 slots.
        model.run(seconds=10, rates={READ: 80.0, CHECK: 50.0})
        self.assertEqual({}, model.admission.shares)
        self.assertGreater(model.completed[READ], 0.97 * model.offered[READ])

    def test_routes_that_do_not_call_the_full_service_are_admitted(self):
        clock = Clock()
        admission = Admission(clock=clock)
        meter = LoadMeter(clock=clock)
        other = route_key("r-other")
        for _ in range(100):
            clock.advance(0.1)
            for _ in range(10):
                for key in (READ, other):
                    admitted = admission.admit(key)
                    meter.record_arrival(key, admitted=admitted)
                    if admitted:
                        meter.record_end(key, completed=True)
                meter.record_call(READ, 0.1)
            report = meter.report("deep", 4, 20)
            admission.compute_shares([report], {READ: 2, other: 2})
        self.assertIn(READ, admission.shares)
        self.assertNotIn(other, admission.shares)

    def test_costs_rise_at_once_when_the_fast_server_leaves(self):
        """A smoothed call time let a queue of several seconds build up."""
        clock = Clock()
        admission = Admission(clock=clock)

        calls = {READ: 2000}
        fast = LoadReport("deep", 10, usage={READ: 200}, calls=calls)
        slow = report_of_successes(
            {READ: 1000}, capacity=10, usage={READ: 600}, calls=calls
        )
        for _ in range(20):
            clock.advance(0.5)
            admission.compute_shares([fast, slow], PRIORITIES)
        self.assertEqual({}, admission.shares)
        clock.advance(0.5)
        admission.compute_shares([slow], PRIORITIES)
        # 100 requests with four calls of 30 ms need 12 slots, 9.2 are usable.
        self.assertLess(admission.shares[READ], 0.95)

    def test_queued_low_priority_calls_do_not_limit_other_routes(self):
        """After a restart the most important route got a share of 0.02."""
        clock = Clock()
        admission = Admission(clock=clock)
        rates = {READ: 1000, CHECK: 1000}
        full = report_of_successes(
            rates,
            capacity=10,
            waiting=400,
            usage={READ: 600, CHECK: 300},
            calls={READ: 3000, CHECK: 1000},
        )
        for _ in range(4):
            clock.advance(0.5)
            admission.compute_shares([full], PRIORITIES)
        self.assertNotIn(CHECK, admission.shares)
        self.assertLess(admission.shares[READ], 0.1)

    def test_calls_per_request_are_kept_while_no_server_is_up(self):
        clock = Clock()
        admission = Admission(clock=clock)
        rates = {READ: 1000}
        usual = report_of_successes(
            rates, capacity=10, usage={READ: 800}, calls={READ: 4000}
        )
        clock.advance(0.5)
        admission.compute_shares([usual], PRIORITIES)
        gone = report_of_successes(rates, capacity=0)
        for _ in range(20):
            clock.advance(0.5)
            admission.compute_shares([gone], PRIORITIES)
        self.assertAlmostEqual(
            4.0, admission.calls_per_request[(READ, "deep")]
        )

    def test_nothing_is_begun_that_needs_a_service_without_servers(self):
        """In a failure domain that is cut off, the only server leaves."""
        clock = Clock()
        admission = Admission(clock=clock)
        rates = {READ: 500}

        def compute(capacity: int, completed: int):
            clock.advance(0.5)
            admission.compute_shares(
                [
                    LoadReport(
                        "deep",
                        capacity,
                        0,
                        rates,
                        rates,
                        rates,
                        {READ: completed},
                        {READ: 400} if capacity else {},
                        {READ: 2000} if capacity else {},
                    )
                ],
                PRIORITIES,
            )

        for _ in range(8):
            compute(20, 500)
        self.assertEqual({}, admission.shares)
        compute(0, 50)
        self.assertLess(admission.shares[READ], 0.1)
        self.assertEqual({READ: "deep"}, admission.limiting_services)
        # The route does not call the service any more.
        compute(0, 400)
        self.assertEqual({}, admission.shares)

    def test_a_route_that_moved_is_not_limited_by_its_former_service(self):
        """Stale costs would reject its requests without need."""
        clock = Clock()
        admission = Admission(clock=clock)
        rates = {READ: 1000}
        calling = report_of_successes(
            rates, capacity=2, usage={READ: 400}, calls={READ: 2000}
        )
        for _ in range(4):
            clock.advance(0.5)
            admission.compute_shares([calling], PRIORITIES)
        self.assertIn(READ, admission.shares)
        moved = report_of_successes(rates, capacity=2)
        for _ in range(20):
            clock.advance(0.5)
            admission.compute_shares([moved], PRIORITIES)
        self.assertEqual({}, admission.shares)

    def test_requests_complete_after_a_start_under_overload(self):
        """While all failed, no cost was known and all were admitted."""
        model = DeepServiceModel(slots=2, admission=True)
        model.run(seconds=12, rates={READ: 300.0, CHECK: 20.0})
        completed_before = model.completed[READ]
        model.run(seconds=10, rates={READ: 300.0, CHECK: 20.0})
        # The slots can serve 20 reads per second beside the checks.
        self.assertGreater(
            model.completed[READ] - completed_before, 0.6 * 10 * 20
        )

    def test_all_nodes_compute_the_same_shares(self):
        """Each node computes the shares for itself, from the same reports."""
        model = DeepServiceModel(slots=10, admission=True)
        other = Admission(clock=model.clock)
        model.run(seconds=5, rates={READ: 300.0})
        for _ in range(40):
            model.clock.advance(0.5)
            report = model.meter.report("deep", 10, 0)
            model.admission.compute_shares([report], PRIORITIES)
            other.compute_shares([report], PRIORITIES)
        self.assertEqual(model.admission.shares, other.shares)

    def test_a_start_under_ordinary_load_refuses_nobody(self):
        """After all nodes were killed, half of the requests were rejected.

        Calls end before the requests that made them, so that the first
        reports show calls but few completed requests.
        """
        clock = Clock()
        admission = Admission(clock=clock)
        meter = LoadMeter(clock=clock)
        for step in range(100):
            clock.advance(0.05)
            for _ in range(2):
                meter.record_arrival(READ, admitted=True)
                meter.record_call(READ, 0.08)
                if step >= 20:
                    meter.record_end(READ, completed=True)
            if step % 10 == 9:
                # 40 requests per second of 80 ms occupy 3.2 of 5 slots.
                report = meter.report("deep", 5, 0)
                admission.compute_shares([report], PRIORITIES)
                self.assertEqual({}, admission.shares, f"step {step}")
