"""Tests of the admission threshold."""

from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.admission import AdmissionControl
from flamingosail.admission import MAX_INCREASE
from flamingosail.priority import PRIORITY_RANGE


class AdmissionTest(TestCase):
    """Guards against idle slots and against a growing queue."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.admission = AdmissionControl(clock=self.clock)
        self.admission.service_seconds = 0.1
        self.admission.slots = 4.0

    def run_window(self, *, priorities=(), completions=0, queued=(0, 0, 0, 0)):
        """Let one window pass and return the threshold."""
        for priority in priorities:
            self.admission.admits(priority)
        for _ in range(completions):
            self.admission.record_dispatch()
            self.admission.record_completion()
        self.admission.queued = queued
        self.clock.advance(0.101)
        self.admission.update_threshold()
        return self.admission.threshold

    def test_two_waiting_calls_per_slot_are_not_overload(self):
        spread = range(0, PRIORITY_RANGE, 32)
        threshold = self.run_window(
            priorities=spread, completions=4, queued=(2, 2, 2, 2)
        )
        self.assertEqual(PRIORITY_RANGE, threshold)

    def test_backlog_lowers_the_threshold_to_the_completion_rate(self):
        spread = range(0, PRIORITY_RANGE, 32)
        threshold = self.run_window(
            priorities=spread, completions=4, queued=(9, 0, 0, 0)
        )
        self.assertEqual(3 * 32, threshold)

    def test_levels_without_backlog_are_not_refused(self):
        spread = range(0, PRIORITY_RANGE, 32)
        threshold = self.run_window(
            priorities=spread, completions=2, queued=(2, 0, 9, 0)
        )
        self.assertEqual(2 * 128, threshold)

    def test_a_server_that_completes_nothing_is_overloaded(self):
        self.admission.service_seconds = 0.0
        threshold = self.run_window(
            priorities=[0, 200, 300], queued=(1, 1, 1, 0)
        )
        self.assertLess(threshold, PRIORITY_RANGE)

    def test_first_increase_admits_a_tenth_of_the_completions(self):
        self.admission.threshold = 256
        arrivals = [*range(224, 256)] * 10
        threshold = self.run_window(priorities=arrivals, completions=40)
        self.assertEqual(256 + 1, threshold)

    def test_increases_double_until_a_backlog_forms(self):
        self.admission.threshold = 128
        arrivals = [*range(96, 128)] * 10
        increases = [
            self.run_window(priorities=arrivals, completions=40)
            for _ in range(4)
        ]
        self.assertGreater(
            increases[3] - increases[2], increases[1] - increases[0]
        )
        before = self.run_window(
            priorities=arrivals, completions=40, queued=(9, 0, 0, 0)
        )
        after = self.run_window(priorities=arrivals, completions=40)
        self.assertLess(after - before, increases[3] - increases[2])

    def test_largest_increase_without_arrivals(self):
        self.admission.threshold = 256
        self.assertEqual(256 + MAX_INCREASE, self.run_window())
