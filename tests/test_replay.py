"""Tests of the detection of duplicate calls."""

from testtools import TestCase

from flamingosail.replay import ReplayWindow


class ReplayWindowTest(TestCase):
    """Guards against a duplicated message that runs a call twice."""

    def test_accepts_each_id_once_in_any_order(self):
        window = ReplayWindow(width=8)
        self.assertTrue(window.accept("a~1", 3))
        self.assertTrue(window.accept("a~1", 1))
        self.assertFalse(window.accept("a~1", 3))
        self.assertFalse(window.accept("a~1", 1))

    def test_refuses_ids_below_the_window(self):
        window = ReplayWindow(width=8)
        self.assertTrue(window.accept("a~1", 100))
        self.assertFalse(window.accept("a~1", 92))
        self.assertTrue(window.accept("a~1", 93))

    def test_each_sender_has_its_own_window(self):
        window = ReplayWindow(width=8)
        self.assertTrue(window.accept("a~1", 5))
        self.assertTrue(window.accept("a~2", 5))

    def test_a_large_gap_clears_the_window(self):
        window = ReplayWindow(width=8)
        self.assertTrue(window.accept("a~1", 1))
        self.assertTrue(window.accept("a~1", 10_000_000))
        self.assertFalse(window.accept("a~1", 2))
