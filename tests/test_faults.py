"""Regression tests of faults found in the decision core, one by one."""

from testtools import TestCase

from flamingosail.replay import ReplayWindow


class ReplayWindowTest(TestCase):
    """Guards against a replay after its sender was forgotten."""

    def test_forgotten_sender_is_refused(self):
        window = ReplayWindow(max_senders=2)
        for sender in ("a~1", "b~1", "c~1"):
            self.assertTrue(window.accept(sender, 1))
        self.assertFalse(window.accept("a~1", 1))
        self.assertFalse(window.accept("a~1", 2))
        self.assertTrue(window.accept("b~1", 2))
        self.assertEqual(2, len(window.senders))
