"""Tests of pause detection and of calls that arrived during a pause."""

from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.errors import RefusalCode
from flamingosail.messages import Call
from flamingosail.messages import CallAnswer
from flamingosail.pause import PauseMonitor
from flamingosail.verdict import Verdict
from tests.fakes import Cluster


class PauseMonitorTest(TestCase):
    """Guards against missed pauses and against normal delays taken for pauses.

    A clock that jumps stands for a frozen process.
    """

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.monitor = PauseMonitor(clock=self.clock)
        self.monitor.start()

    def test_a_normal_delay_is_not_a_pause(self):
        for _ in range(20):
            self.clock.advance(0.15)
            self.assertEqual(0.0, self.monitor.read_delay())

    def test_messages_read_after_a_pause_have_waited(self):
        self.clock.advance(0.05)
        self.clock.advance(3.0)
        self.assertAlmostEqual(2.95, self.monitor.read_delay(), 6)
        for _ in range(10):
            self.clock.advance(0.05)
        self.assertEqual(0.0, self.monitor.read_delay())

    def test_messages_read_before_the_timer_runs_have_waited(self):
        self.clock.rightNow += 3.0
        self.assertAlmostEqual(2.95, self.monitor.read_delay(), 6)


class FrozenIngressTest(TestCase):
    """Guards against starting a call after its sender has given up."""

    def test_call_read_after_its_deadline_passed_in_a_freeze_is_refused(self):
        cluster = Cluster({"histbook": 1, "retire-svc": 1})
        node = cluster.nodes["retire-svc-0"]
        captured = []

        def delay(source, destination, message):
            if isinstance(message, Call):
                captured.append(message)
                return None
            return 0.001

        cluster.delay = delay
        answers = cluster.send(
            "histbook-0",
            "retire",
            "/1",
            key=cluster.nodes["histbook-0"].entrance.issue_key(),
        )
        sent = []
        transport = node.kernel.get("ingress").transport
        transport.send = lambda address, message: sent.append(message)
        # The node reads the call only after a freeze of 3 s.
        node.kernel.get("pause").last_tick -= 3.0
        node.ingress.on_call(captured[0])
        cluster.advance(0.1)
        self.assertEqual(0, cluster.runs[("retire", "/1")])
        [answer] = [m for m in sent if isinstance(m, CallAnswer)]
        self.assertEqual(Verdict.NOT_RUN, Verdict(answer.verdict))
        self.assertEqual(
            RefusalCode.DEADLINE_EXCEEDED, RefusalCode(answer.refusal)
        )
        self.assertEqual([], answers)
