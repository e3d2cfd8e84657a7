"""Tests of timeouts on a shared timer."""

from types import SimpleNamespace

from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.proxy.timeouts import Timeouts


class TimeoutsTest(TestCase):
    """Guards against timeouts that fire late or twice."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.due = []
        self.timeouts = Timeouts(clock=self.clock, on_due=self.timed_out)

    def timed_out(self, item):
        item.done = True
        self.due.append((item.name, round(self.clock.seconds(), 2)))

    def add(self, name: str, when: float):
        item = SimpleNamespace(name=name, done=False)
        self.timeouts.add(when, item)
        return item

    def test_an_early_timeout_does_not_wait_for_a_late_one_added_before(self):
        self.add("late", 5.0)
        self.add("early", 0.4)
        self.clock.pump([0.01] * 45)
        self.assertEqual(["early"], [name for name, _ in self.due])
        self.assertLess(self.due[0][1], 0.44)

    def test_items_that_are_done_do_not_time_out(self):
        self.add("done", 0.2).done = True
        self.add("due", 0.3)
        self.clock.pump([0.01] * 50)
        self.assertEqual(["due"], [name for name, _ in self.due])
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_an_error_in_one_timeout_does_not_delay_the_others(self):
        self.add("broken", 0.2).name = None
        self.add("next", 0.2)
        self.add("last", 0.4)

        def time_out(item):
            item.done = True
            self.due.append(item.name.upper())

        self.timeouts.on_due = time_out
        self.clock.pump([0.01] * 50)
        self.assertEqual(["NEXT", "LAST"], self.due)
