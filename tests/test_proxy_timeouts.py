"""Tests of the shared timer."""

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
        self.timeouts = Timeouts(clock=self.clock, on_due=self.fired)

    def fired(self, item):
        item.over = True
        self.due.append((item.name, round(self.clock.seconds(), 2)))

    def add(self, name: str, when: float):
        item = SimpleNamespace(name=name, over=False)
        self.timeouts.add(when, item)
        return item

    def test_a_nearer_timeout_does_not_wait_for_an_earlier_added_one(self):
        self.add("far", 5.0)
        self.add("near", 0.4)
        self.clock.pump([0.01] * 45)
        self.assertEqual(["near"], [name for name, _ in self.due])
        self.assertLess(self.due[0][1], 0.44)

    def test_items_that_are_over_are_not_reported(self):
        self.add("over", 0.2).over = True
        self.add("due", 0.3)
        self.clock.pump([0.01] * 50)
        self.assertEqual(["due"], [name for name, _ in self.due])
        self.assertEqual([], self.clock.getDelayedCalls())
