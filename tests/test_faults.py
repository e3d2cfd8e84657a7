"""Regression tests of faults found in the decision core."""

from random import Random

from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.codec import decode
from flamingosail.codec import encode
from flamingosail.errors import CodecError
from flamingosail.errors import RefusalCode
from flamingosail.keys import Key
from flamingosail.keys import KeyTable
from flamingosail.messages import Call
from flamingosail.messages import Forward
from flamingosail.messages import RetryGrant
from flamingosail.messages import RetryRequest
from flamingosail.replay import ReplayWindow
from flamingosail.request import Answer
from flamingosail.request import Request
from flamingosail.retrypool import RetryPool
from flamingosail.routing import CONSECUTIVE_FAILURES_TO_EJECT
from flamingosail.transport import LoopbackNetwork
from flamingosail.verdict import Verdict
from tests.fakes import Cluster
from tests.fakes import MANIFEST

BROWSE = Request(kind="browse", method="GET", target="/h")


class KeyVerdictTest(TestCase):
    """Guards against the verdict not-run for a key whose request ran."""

    def cluster_with_used_key(self):
        """Return a cluster and a key of it whose request ran once."""
        cluster = Cluster({"histbook": 2, "retire-svc": 1})
        key = cluster.nodes["histbook-0"].entrance.issue_key()
        cluster.send("histbook-0", "retire", "/1", key=key)
        cluster.advance(0.1)
        self.assertEqual(1, cluster.runs[("retire", "/1")])
        return cluster, key

    def test_closed_owner_returns_the_stored_answer(self):
        cluster, key = self.cluster_with_used_key()
        cluster.nodes["histbook-0"].entrance.closed = True
        [answer] = cluster.send("histbook-0", "retire", "/1", key=key)
        self.assertEqual(Verdict.RAN, answer.verdict)
        self.assertEqual(b"/1", answer.body)

    def test_closed_node_does_not_refuse_keys_of_others_as_not_run(self):
        cluster, key = self.cluster_with_used_key()
        cluster.nodes["histbook-1"].entrance.closed = True
        [answer] = cluster.send("histbook-1", "retire", "/1", key=key)
        self.assertEqual(RefusalCode.SHUTTING_DOWN, answer.refusal.code)
        self.assertEqual(Verdict.MAY_HAVE_RUN, answer.verdict)

    def test_closed_owner_refuses_a_fresh_key_as_not_run(self):
        cluster, _ = self.cluster_with_used_key()
        entrance = cluster.nodes["histbook-0"].entrance
        key = entrance.issue_key()
        entrance.closed = True
        [answer] = cluster.send("histbook-0", "retire", "/2", key=key)
        self.assertEqual(RefusalCode.SHUTTING_DOWN, answer.refusal.code)
        self.assertEqual(Verdict.NOT_RUN, answer.verdict)

    def test_used_key_of_a_removed_kind_is_not_refused_as_not_run(self):
        cluster, key = self.cluster_with_used_key()
        manifest = cluster.manifest.current
        kinds = {k: v for k, v in manifest.kinds.items() if k != "retire"}
        object.__setattr__(manifest, "kinds", kinds)
        [answer] = cluster.send("histbook-0", "retire", "/1", key=key)
        self.assertEqual(Verdict.RAN, answer.verdict)
        [answer] = cluster.send("histbook-1", "retire", "/1", key=key)
        self.assertEqual(RefusalCode.UNKNOWN_KIND, answer.refusal.code)
        self.assertEqual(Verdict.MAY_HAVE_RUN, answer.verdict)


class DeadlineTest(TestCase):
    """Guards against an answer after the caller's own deadline.

    A repeat of a key joins a run that may have a later deadline.
    """

    def test_repeat_that_joins_a_run_keeps_its_own_timeout(self):
        cluster = Cluster({"histbook": 1, "retire-svc": 1})
        cluster.nodes["retire-svc-0"].backend.behaviour.seconds = 1.5
        key = cluster.nodes["histbook-0"].entrance.issue_key()
        first = cluster.send("histbook-0", "retire", "/1", key=key)
        second = cluster.send(
            "histbook-0", "retire", "/1", key=key, timeout_ms=100
        )
        cluster.advance(0.2)
        [answer] = second
        self.assertEqual(RefusalCode.DEADLINE_EXCEEDED, answer.refusal.code)
        self.assertEqual(Verdict.MAY_HAVE_RUN, answer.verdict)
        cluster.advance(1.5)
        self.assertTrue(first[0].succeeded)
        self.assertEqual(1, cluster.runs[("retire", "/1")])


class AllowanceTest(TestCase):
    """Guards against child calls that no allowance or retry covers."""

    def submit_parent(self, cluster):
        """Submit a gate check and return the call in service."""
        cluster.nodes["gatekeeper-0"].backend.behaviour.silent = True
        cluster.send("histbook-0", "gate-check", timeout_ms=500)
        cluster.advance(0.01)
        [work] = cluster.nodes["gatekeeper-0"].ingress.serving.values()
        return work

    def test_retry_granted_after_the_request_ended_is_not_sent(self):
        cluster = Cluster({"histbook": 1, "gatekeeper": 1})
        node = cluster.nodes["gatekeeper-0"]
        node.backend.behaviour.seconds = 0.1
        cluster.send("histbook-0", "gate-check")
        cluster.advance(0.05)
        [work] = node.ingress.serving.values()
        work.failed_digests.add(BROWSE.digest())
        cluster.delay = lambda source, destination, message: (
            0.2 if isinstance(message, RetryGrant) else 0.001
        )
        answers = []
        done = node.entrance.submit_child(BROWSE, work.token)
        done.addCallback(answers.append)
        cluster.advance(0.5)
        self.assertEqual(0, cluster.runs[("browse", "/h")])
        self.assertEqual(Verdict.NOT_RUN, answers[0].verdict)

    def test_call_for_an_ended_request_is_refused(self):
        cluster = Cluster({"histbook": 1, "gatekeeper": 1})
        work = self.submit_parent(cluster)
        cluster.advance(0.6)
        node = cluster.nodes["gatekeeper-0"]
        self.assertEqual({}, node.ingress.serving)
        answers = []
        done = node.entrance.submit_child(BROWSE, work.token)
        done.addCallback(answers.append)
        cluster.advance(0.1)
        self.assertEqual(0, cluster.runs[("browse", "/h")])
        self.assertEqual(RefusalCode.NOT_ALLOWED, answers[0].refusal.code)
        self.assertEqual(Verdict.NOT_RUN, answers[0].verdict)

    def test_cancelling_a_granted_retry_cancels_the_call(self):
        cluster = Cluster({"histbook": 1, "gatekeeper": 1})
        work = self.submit_parent(cluster)
        work.failed_digests.add(BROWSE.digest())
        cluster.nodes["histbook-0"].backend.behaviour.silent = True
        node = cluster.nodes["gatekeeper-0"]
        answers = []
        done = node.entrance.submit_child(BROWSE, work.token)
        done.addCallback(answers.append)
        cluster.advance(0.05)
        self.assertEqual(1, len(node.egress.calls))
        done.cancel()
        self.assertEqual(set(), node.egress.calls)
        self.assertEqual(RefusalCode.CANCELLED, answers[0].refusal.code)


class RetryPoolTest(TestCase):
    """Guards the retry limit against stray and duplicated messages."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        network = LoopbackNetwork(clock=self.clock, delay=lambda *args: 0.001)
        self.root_transport = network.attach("root")
        self.hop_transport = network.attach("hop")
        self.root = RetryPool(
            clock=self.clock,
            transport=self.root_transport,
            incarnation="root~1",
        )
        self.hop = RetryPool(
            clock=self.clock,
            transport=self.hop_transport,
            incarnation="hop~2",
        )

    def test_grant_for_an_earlier_incarnation_grants_nothing(self):
        self.root.open("r", 3)
        earlier_request = RetryRequest(
            sender="hop~1", reply_to="hop", ticket=1, root="r"
        )
        decisions = []
        self.root_transport.handlers[RetryRequest](earlier_request)
        self.hop.request_retry("root", "without retries", decisions.append)
        self.clock.advance(0.001)
        self.clock.advance(0.001)
        self.assertEqual([False], decisions)

    def test_duplicated_request_spends_one_retry(self):
        self.root.open("r", 3)
        request = RetryRequest(
            sender="hop~2", reply_to="hop", ticket=1, root="r"
        )
        for _ in range(5):
            self.root_transport.handlers[RetryRequest](request)
        self.assertTrue(self.root.try_spend("r"))
        self.assertTrue(self.root.try_spend("r"))
        self.assertFalse(self.root.try_spend("r"))


class ReplayWindowTest(TestCase):
    """Guards against a replay from a sender dropped from the window."""

    def test_forgotten_sender_is_refused(self):
        window = ReplayWindow(max_senders=2)
        for sender in ("a~1", "b~1", "c~1"):
            self.assertTrue(window.accept(sender, 1))
        self.assertFalse(window.accept("a~1", 1))
        self.assertFalse(window.accept("a~1", 2))
        self.assertTrue(window.accept("b~1", 2))
        self.assertEqual(2, len(window.senders))


class KeyTableBoundTest(TestCase):
    """Guards the memory limit of stored answers."""

    def test_headers_count_as_answer_bytes(self):
        table = KeyTable(
            clock=Clock(),
            random=Random(1),
            incarnation="a~1",
            max_answer_bytes=1000,
        )
        _, entry = table.get_or_create(Key.parse(table.issue()), "digest")
        entry.start_run()
        headers = ((b"x-large", b"x" * 2000),)
        answer = Answer(verdict=Verdict.RAN, status=200, headers=headers)
        table.finish(answer, entry)
        self.assertEqual((), entry.answer.headers)
        self.assertEqual(Verdict.RAN, entry.answer.verdict)


class CodecTest(TestCase):
    """Guards against a damaged message that is decoded as an intact one."""

    def test_every_flipped_bit_is_detected(self):
        data = encode(
            Call(
                sender="a~1",
                reply_to="a",
                call_id=1,
                target="b~1",
                root="r",
                root_address="a",
                kind="retire",
                priority=1,
                remaining_ms=100.0,
                calls=3,
                depth=1,
                idempotent=False,
                method="POST",
                path="/1",
                headers=(),
                body=b"x",
            )
        )
        for position in range(len(data)):
            for bit in range(8):
                damaged = bytearray(data)
                damaged[position] ^= 1 << bit
                self.assertRaises(CodecError, decode, bytes(damaged))


class RouterTest(TestCase):
    """Guards against a healthy server that gets no more calls."""

    def test_refused_trial_does_not_exclude_a_server_permanently(self):
        cluster = Cluster({"histbook": 1, "gatekeeper": 2})
        router = cluster.nodes["histbook-0"].router
        server = cluster.members.records["gatekeeper-0"]
        for _ in range(CONSECUTIVE_FAILURES_TO_EJECT):
            router.record_sent(server)
            router.record_finished(
                server, seconds=0.1, failed=True, refused=False
            )
        self.assertFalse(router.is_usable(server, cluster.clock.seconds()))
        cluster.advance(2, step=0.1)
        router.record_sent(server)
        router.record_finished(server, seconds=0.1, failed=True, refused=True)
        self.assertTrue(router.is_usable(server, cluster.clock.seconds()))

    def test_cancelled_calls_do_not_eject_a_server(self):
        cluster = Cluster({"histbook": 1, "gatekeeper": 2})
        for node in cluster.nodes.values():
            node.backend.behaviour.seconds = 1.0
        entrance = cluster.nodes["histbook-0"].entrance
        request = Request(kind="gate-check", method="GET", target="/")
        for _ in range(4 * CONSECUTIVE_FAILURES_TO_EJECT):
            done = entrance.submit(request)
            cluster.advance(0.01)
            done.cancel()
        router = cluster.nodes["histbook-0"].router
        ejected = [s for s in router.stats.values() if s.ejected_until]
        self.assertEqual([], ejected)


class ReplacementTest(TestCase):
    """Guards against abandoning a slow attempt that cannot be replaced."""

    def test_slow_answer_is_accepted_when_no_calls_are_left(self):
        kind = {**MANIFEST["kinds"]["gate-check"], "max_calls": 8}
        manifest = {**MANIFEST, "kinds": {"gate-check": kind}}
        cluster = Cluster({"histbook": 1, "gatekeeper": 2}, manifest=manifest)
        for node in cluster.nodes.values():
            node.backend.behaviour.seconds = 1.5
        answers = cluster.send("histbook-0", "gate-check", "/g")
        cluster.advance(2.5, step=0.01)
        self.assertTrue(answers[0].succeeded, answers[0])
        self.assertEqual(1, cluster.runs[("gate-check", "/g")])


class LateForwardTest(TestCase):
    """Guards against a run after the verdict not-run.

    The run comes from a Forward message that arrives late, or twice.
    """

    def test_delayed_forward_does_not_run_after_a_not_run(self):
        cluster = Cluster({"histbook": 2, "retire-svc": 1})
        key = cluster.nodes["histbook-0"].entrance.issue_key()
        cluster.delay = lambda source, destination, message: (
            1.0 if isinstance(message, Forward) else 0.001
        )
        first = cluster.send(
            "histbook-1", "retire", "/1", key=key, timeout_ms=100
        )
        cluster.advance(0.2)
        self.assertEqual(Verdict.MAY_HAVE_RUN, first[0].verdict)
        cluster.remove("retire-svc-0")
        second = cluster.send("histbook-0", "retire", "/1", key=key)
        cluster.advance(0.1)
        self.assertEqual(Verdict.NOT_RUN, second[0].verdict)
        record = cluster.nodes["retire-svc-0"].record
        cluster.members.records["retire-svc-0"] = record
        cluster.advance(1.5)
        self.assertEqual(0, cluster.runs[("retire", "/1")])

    def test_duplicated_forward_does_not_run_after_its_not_run(self):
        cluster = Cluster({"histbook": 2, "retire-svc": 1})
        key = cluster.nodes["histbook-0"].entrance.issue_key()
        cluster.remove("retire-svc-0")
        carry = cluster.network.transmit

        def carry_with_late_duplicate(source, address, message):
            if isinstance(message, Forward):
                cluster.clock.callLater(0.5, carry, source, address, message)
            return carry(source, address, message)

        cluster.network.transmit = carry_with_late_duplicate
        answers = cluster.send("histbook-1", "retire", "/1", key=key)
        cluster.advance(0.1)
        self.assertEqual(Verdict.NOT_RUN, answers[0].verdict)
        record = cluster.nodes["retire-svc-0"].record
        cluster.members.records["retire-svc-0"] = record
        cluster.advance(1)
        self.assertEqual(0, cluster.runs[("retire", "/1")])
