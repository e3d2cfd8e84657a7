"""Tests of admission while servers reject calls at random."""

from random import Random

from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.proxy.policy.budget import RetryBudget
from flamingosail.proxy.policy.feasibility import CallDemand
from flamingosail.proxy.policy.feasibility import coverable_shares
from flamingosail.proxy.policy.overload import Admission
from flamingosail.proxy.policy.overload import LoadMeter
from flamingosail.proxy.policy.overload import route_key

BOOK, FETCH, SHEET = (route_key(name) for name in ("book", "fetch", "sheet"))
PRIORITIES = {BOOK: 0, FETCH: 1, SHEET: 2}
RATES = {BOOK: 40.0, FETCH: 120.0, SHEET: 25.0}
CALLS = {BOOK: 8, FETCH: 8, SHEET: 1}
RATIO, MINIMUM = 0.2, 20.0
STEP = 0.05
CALL_SECONDS = 0.04


class RejectingServiceModel:
    """Simulates a service that begins to reject calls at random.

    A request makes its calls one after the other, one in each step. It fails
    with the first rejected call for which the retry budget has no token, and
    ``wasted`` counts the calls that had been made for it. ``limited`` is
    whether rejected calls are reported.
    """

    def __init__(self, *, limited: bool):
        self.clock = Clock()
        self.random = Random(3)
        self.limited = limited
        self.meter = LoadMeter(clock=self.clock)
        self.budget = RetryBudget(
            clock=self.clock, ratio=RATIO, minimum=MINIMUM
        )
        self.admission = Admission(
            clock=self.clock, retry_ratio=RATIO, retry_minimum=MINIMUM
        )
        self.rejected_share = 0.0
        self.running = []
        self.reset()

    def reset(self):
        """Count from now on."""
        self.completed = dict.fromkeys(RATES, 0)
        self.failed = dict.fromkeys(RATES, 0)
        self.wasted = 0

    def run(self, seconds: float):
        """Simulate the arrivals and the calls of some seconds."""
        credit = dict.fromkeys(RATES, 0.0)
        for step in range(round(seconds / STEP)):
            self.clock.advance(STEP)
            for key, rate in RATES.items():
                credit[key] += rate * STEP
                while credit[key] >= 1:
                    credit[key] -= 1
                    admitted = self.admission.admit(key)
                    self.meter.record_arrival(key, admitted=admitted)
                    if admitted:
                        self.running.append([key, CALLS[key]])
            self.running = [each for each in self.running if self.call(each)]
            if step % 10 == 9:
                self.budget.update(1)
                report = self.meter.report("deep", 60, 0)
                self.admission.compute_shares([report], PRIORITIES)

    def call(self, request: list) -> bool:
        """Make the next call; return whether others are left."""
        key, left = request
        self.budget.record_request("deep")
        while self.random.random() < self.rejected_share:
            self.meter.record_call(key, 0.0)
            if self.limited:
                self.meter.record_rejection()
            if not self.budget.try_spend(
                "deep", priority=PRIORITIES[key], progressed=left < CALLS[key]
            ):
                self.failed[key] += 1
                self.wasted += 1 + CALLS[key] - left
                self.meter.record_end(key, completed=False)
                return False
        self.meter.record_call(key, CALL_SECONDS)
        request[1] -= 1
        if not request[1]:
            self.completed[key] += 1
            self.meter.record_end(key, completed=True)
        return request[1] > 0


class FeasibilityTest(TestCase):
    """Guards against work that is begun and cannot end."""

    def test_little_is_begun_in_vain_while_half_of_the_calls_are_rejected(
        self,
    ):
        """Load: every server of the deepest service rejects 55% for 8.5 s."""
        results = []
        for limited in (False, True):
            model = RejectingServiceModel(limited=limited)
            model.run(15)
            model.rejected_share = 0.55
            # Reports of all nodes take about a second.
            model.run(1.5)
            model.reset()
            model.run(7)
            results.append(model)
        plain, model = results
        self.assertLess(
            sum(model.failed.values()), 0.5 * sum(plain.failed.values())
        )
        self.assertLess(model.wasted, 0.5 * plain.wasted)
        self.assertGreaterEqual(model.completed[BOOK], plain.completed[BOOK])
        self.assertGreaterEqual(
            sum(model.completed.values()), sum(plain.completed.values())
        )

    def test_all_are_admitted_soon_after_the_rejections_end(self):
        """Load: the rejections end after 8.5 s."""
        model = RejectingServiceModel(limited=True)
        model.run(15)
        self.assertEqual({}, model.admission.shares)
        model.rejected_share = 0.55
        model.run(8.5)
        self.assertIn(FETCH, model.admission.shares)
        model.rejected_share = 0.0
        model.run(2)
        self.assertEqual({}, model.admission.shares)

    def test_requests_with_one_call_are_still_admitted(self):
        """Load: 55% are rejected; a single call ends nearly half the time."""
        demands = [CallDemand(key=SHEET, priority=2, rate=25.0, calls=1.0)]
        self.assertEqual({}, coverable_shares(demands, 0.45, 0.0))

    def test_requests_that_end_by_chance_are_admitted(self):
        """Load: 55% are rejected; of four calls all succeed one time in 24.

        Refusing most of such requests halved the number that ended.
        """
        demands = [CallDemand(key=BOOK, priority=0, rate=25.0, calls=4.0)]
        self.assertEqual({}, coverable_shares(demands, 0.45, 0.0))

    def test_retries_go_to_the_most_important_requests(self):
        """Load: 55% are rejected, and the budget covers one route."""
        demands = [
            CallDemand(key=key, priority=PRIORITIES[key], rate=10.0, calls=8.0)
            for key in (FETCH, BOOK)
        ]
        shares = coverable_shares(demands, 0.45, 110.0)
        self.assertEqual(1.0, shares[BOOK])
        self.assertLess(shares[FETCH], 0.2)

    def test_few_rejections_limit_nothing(self):
        """Load: 5% are rejected, which the budget covers."""
        model = RejectingServiceModel(limited=True)
        model.rejected_share = 0.05
        model.run(15)
        self.assertEqual({}, model.admission.shares)
