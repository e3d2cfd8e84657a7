"""Tests of the return of refused clients."""

from random import Random

from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.proxy.policy.overload import Admission
from flamingosail.proxy.policy.returns import MAX_RESERVATIONS
from flamingosail.proxy.policy.returns import ReturningClients

KEY = 7


class ReturningClientsTest(TestCase):
    """Guards against clients that are refused twice in favour of new ones."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.returns = ReturningClients(clock=self.clock, random=Random(1))

    def test_a_refused_client_is_admitted_when_it_returns(self):
        """Load: one request in ten is refused."""
        wait = self.returns.invite(KEY, 1, share=0.9, remaining=2.0)
        self.assertLessEqual(wait, 2.0 / 3)
        self.clock.advance(wait + 0.1)
        admission = Admission(clock=self.clock)
        admission.shares = {KEY: 0.5}
        admission.credits = {KEY: 0.0}
        self.assertTrue(admission.admit(KEY, returning=self.returns.redeem(1)))
        # A new arrival pays for it.
        self.assertEqual(
            [False, False, True],
            [admission.admit(KEY) for _ in range(3)],
        )

    def test_a_refusal_admits_one_request(self):
        """Load: a client that sends its refused request many times."""
        wait = self.returns.invite(KEY, 1, share=0.9, remaining=2.0)
        self.assertFalse(self.returns.redeem(1), "too early")
        self.assertFalse(self.returns.redeem(2), "another request")
        self.clock.advance(wait)
        self.assertEqual(
            [True, False, False], [self.returns.redeem(1) for _ in range(3)]
        )

    def test_reservations_stay_within_the_room_of_the_route(self):
        """Load: five times the room; most refused clients find none later."""
        for fingerprint in range(1000):
            self.returns.invite(KEY, fingerprint, share=0.2, remaining=3.0)
        # 1000 refusals mean 250 admissions, of which half are reserved.
        self.assertAlmostEqual(125, len(self.returns), delta=1)

    def test_returns_spread_over_the_time_that_clients_wait(self):
        """Load: a burst of refusals in one moment."""
        waits = [
            self.returns.invite(KEY, i, share=0.9, remaining=3.0)
            for i in range(300)
        ]
        self.assertLess(max(waits), 1.0 + 1e-9)
        for part in range(3, 10):
            count = sum(part <= 10 * wait < part + 1 for wait in waits)
            self.assertGreater(count, 20)

    def test_clients_return_within_the_time_they_expect_an_answer(self):
        """Load: half of a route is refused that should be answered in 1 s."""
        waits = [
            self.returns.invite(KEY, i, share=0.5, remaining=5.0, target=1.0)
            for i in range(100)
        ]
        self.assertLess(max(waits), 0.61)
        scarce = self.returns.invite(
            KEY, 1, share=0.02, remaining=5.0, target=1.0
        )
        self.assertGreater(scarce, 0.9)

    def test_the_memory_is_bounded_and_freed(self):
        """Load: more refusals than are kept, and clients that never return."""
        for fingerprint in range(MAX_RESERVATIONS + 500):
            self.returns.invite(KEY, fingerprint, share=0.99, remaining=3.0)
        self.assertEqual(MAX_RESERVATIONS, len(self.returns))
        self.clock.advance(5.0)
        self.returns.expire()
        self.assertEqual(0, len(self.returns))
        self.assertEqual({}, self.returns.by_fingerprint)
