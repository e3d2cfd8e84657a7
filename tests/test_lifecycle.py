"""Tests of the node's start and shutdown."""

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.defer import fail
from twisted.internet.task import Clock

from flamingosail.lifecycle import Lifecycle


class LifecycleTest(TestCase):
    """Guards against a shutdown that interrupts requests or never ends."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.calls = []
        self.in_flight = 0
        self.flushed = None
        self.lifecycle = self.build()

    def build(self, **steps) -> Lifecycle:
        defaults = {
            name: lambda name=name: self.record_call(name)
            for name in (
                "announce_draining",
                "drain_connections",
                "refuse_requests",
                "flush",
            )
        }
        return Lifecycle(
            clock=self.clock,
            in_flight=lambda: self.in_flight,
            stop_timeout_seconds=30,
            **{**defaults, **steps},
        )

    def record_call(self, name):
        self.calls.append((name, round(self.clock.seconds(), 3)))

    def advance(self, seconds: float):
        self.clock.pump([0.01] * round(seconds * 100))

    def called_steps(self) -> list[str]:
        return [name for name, _ in self.calls]

    def test_drain_runs_its_steps_in_order(self):
        self.assertEqual("starting", self.lifecycle.state)
        self.lifecycle.begin_serving()
        self.assertEqual("serving", self.lifecycle.state)
        self.in_flight = 2
        self.lifecycle.drain()
        self.assertEqual("draining", self.lifecycle.state)
        self.advance(0.9)
        self.assertEqual(
            ["announce_draining", "drain_connections"], self.called_steps()
        )
        self.advance(4.1)
        self.assertEqual("refuse_requests", self.called_steps()[-1])
        self.assertEqual(2, self.lifecycle.dump()["in_flight"])
        self.assertAlmostEqual(
            26, self.lifecycle.dump()["seconds_left"], delta=0.1
        )
        self.in_flight = 0
        self.advance(0.1)
        self.assertEqual("flush", self.called_steps()[-1])
        self.assertEqual("stopped", self.lifecycle.state)
        self.assertTrue(self.lifecycle.stopped.called)
        self.assertEqual(0, self.lifecycle.interrupted)

    def test_an_idle_node_still_serves_for_the_grace_period(self):
        self.lifecycle.begin_serving()
        self.lifecycle.drain()
        self.advance(0.95)
        self.assertFalse(self.lifecycle.stopped.called)
        self.advance(0.1)
        self.assertTrue(self.lifecycle.stopped.called)

    def test_stops_at_the_timeout_and_reports_interrupted_calls(self):
        self.lifecycle.begin_serving()
        self.lifecycle.drain()
        self.in_flight = 3
        self.advance(30.9)
        self.assertEqual("draining", self.lifecycle.state)
        self.advance(0.2)
        self.assertEqual("stopped", self.lifecycle.state)
        self.assertEqual(3, self.lifecycle.interrupted)

    def test_a_request_accepted_in_the_grace_period_keeps_its_timeout(self):
        self.lifecycle.drain()
        self.advance(0.98)
        self.in_flight = 1
        self.advance(29.9)
        self.assertEqual("draining", self.lifecycle.state)
        self.in_flight = 0
        self.advance(0.2)
        self.assertEqual(0, self.lifecycle.interrupted)

    def test_waits_for_the_flush(self):
        written = Deferred()
        lifecycle = self.build(flush=lambda: written)
        lifecycle.drain()
        self.advance(2)
        self.assertEqual("draining", lifecycle.state)
        written.callback(None)
        self.assertEqual("stopped", lifecycle.state)

    def test_a_flush_that_never_ends_cannot_prevent_the_stop(self):
        lifecycle = self.build(flush=Deferred)
        lifecycle.drain()
        self.in_flight = 1
        self.advance(31.5)
        self.assertEqual("draining", lifecycle.state)
        self.advance(1)
        self.assertEqual("stopped", lifecycle.state)

    def test_a_failing_step_does_not_prevent_the_others(self):
        lifecycle = self.build(announce_draining=lambda: 1 / 0)
        lifecycle.begin_serving()
        lifecycle.drain()
        self.advance(1.1)
        self.assertEqual(
            ["drain_connections", "refuse_requests", "flush"],
            self.called_steps(),
        )
        self.assertEqual("stopped", lifecycle.state)

    def test_a_failing_flush_does_not_prevent_the_stop(self):
        lifecycle = self.build(flush=lambda: fail(OSError("closed")))
        lifecycle.drain()
        self.advance(1.1)
        self.assertEqual("stopped", lifecycle.state)

    def test_a_second_drain_or_a_late_start_has_no_effect(self):
        self.lifecycle.drain()
        self.lifecycle.drain()
        self.lifecycle.begin_serving()
        self.assertEqual("draining", self.lifecycle.state)
        self.advance(2)
        self.lifecycle.drain()
        self.advance(2)
        self.assertEqual(4, len(self.calls))
        self.assertEqual("stopped", self.lifecycle.state)
