"""A request that crashes servers must be found, and only that one refused."""

import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from testtools import TestCase
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from flamingosail.proxy.policy.quarantine import MAX_CLEARANCES
from flamingosail.proxy.policy.quarantine import MAX_CRASHES
from flamingosail.proxy.policy.quarantine import MAX_REQUESTS
from flamingosail.proxy.policy.quarantine import Quarantine
from flamingosail.proxy.policy.quarantine import QUARANTINE_SECONDS
from flamingosail.proxy.policy.quarantine import SUSPICION_SECONDS
from flamingosail.proxy.policy.quarantine import Verdict
from flamingosail.proxy.transport.backendserver import CONNECTION_LOST
from flamingosail.proxy.transport.hop import encode_frame
from flamingosail.proxy.transport.hop import FrameBuffer
from flamingosail.proxy.transport.hop import Outcome
from flamingosail.proxy.transport.hop import Ping
from tests.proxyfakes import FakePool
from tests.proxyfakes import make_gate
from tests.proxyfakes import make_job
from tests.proxyfakes import make_report
from tests.proxyfakes import make_response

DEADLY = b"GET /deadly HTTP/1.1\r\n"


class GateQuarantineTest(TestCase):
    """One suspect at a time runs, until it is cleared or blamed."""

    def setUp(self):
        super().setUp()
        self.clock = MemoryReactorClock()
        self.pool = FakePool()
        self.gate = make_gate(self.clock, pool=self.pool)
        self.ends = []
        self.starts = self.requests = 0
        self.start_server()

    def start_server(self):
        self.starts += 1
        self.pool.refuses = False
        self.gate.server.handle_report(
            make_report(start_ms=1000 + self.starts, slots=20)
        )

    def submit(self, name: bytes, **options):
        line = DEADLY if name == b"deadly" else b"GET /%b HTTP/1.1\r\n" % name
        self.requests += 1
        number = b"-%d" % self.requests
        job = make_job(
            self.ends,
            request_id=name + number,
            request_line=line,
            deadline=self.clock.seconds() + 1.0,
            **options,
        )
        self.gate.submit(job)
        return job

    def crash(self):
        self.pool.refuses = True
        while self.pool.sent:
            self.pool.sent.pop(0).finish(None, CONNECTION_LOST)
        self.clock.advance(0.5)
        self.start_server()

    def answer(self, index=0):
        request = self.pool.sent.pop(index)
        request.finish(make_response())

    def outcomes(self) -> list:
        outcomes = [end[1] for end in self.ends]
        self.ends.clear()
        return outcomes

    def test_a_request_that_crashes_a_second_server_is_not_sent_again(self):
        """Guards against one request that ends server after server."""
        for name in (b"a", b"deadly", b"b"):
            self.submit(name)
        self.crash()
        self.submit(b"deadly")
        self.submit(b"c")
        self.crash()
        self.outcomes()
        self.submit(b"deadly")
        self.assertEqual([Outcome.QUARANTINED], self.outcomes())
        self.assertEqual([], self.pool.sent)
        # The others that were there are suspects, and are answered.
        for name in (b"a", b"b", b"c"):
            self.submit(name)
            self.answer()
        self.assertEqual([Outcome.ANSWERED] * 3, self.outcomes())
        self.assertEqual(1, len(self.gate.quarantine.suspects))

    def test_suspects_run_one_after_the_other(self):
        """Guards against blaming a request that ran beside another one."""
        self.submit(b"a")
        self.submit(b"deadly")
        self.crash()
        for name in (b"a", b"deadly", b"new"):
            self.submit(name)
        self.assertEqual(2, len(self.pool.sent))  # a and the new one
        self.answer()
        self.assertEqual(2, len(self.pool.sent))  # the new one and deadly
        self.crash()
        self.submit(b"a")
        self.submit(b"new")
        self.assertNotIn(Outcome.QUARANTINED, self.outcomes())

    def test_a_request_that_many_ask_for_is_cleared_at_once(self):
        """Guards against blaming a request that is always there."""
        for _ in range(5):
            self.submit(b"popular")
            self.submit(b"deadly%d" % self.starts)
            self.crash()
            self.submit(b"popular")
            self.answer()
        self.submit(b"popular")
        self.assertNotIn(Outcome.QUARANTINED, self.outcomes())

    def test_only_an_answer_of_the_server_clears(self):
        """Guards against a refusal, or a 504, that hides a request."""
        self.submit(b"deadly")
        self.crash()
        for response in (
            make_response(status=504),
            make_response(status=429, not_executed=True),
            make_response(signature=b""),
        ):
            self.submit(b"deadly")
            self.pool.sent.pop().finish(response)
            self.assertEqual(1, len(self.gate.quarantine.suspects))

    def test_a_request_whose_client_left_before_the_crash_is_a_suspect(self):
        self.submit(b"a")
        self.gate.cancel(self.submit(b"deadly"))
        self.pool.sent = [
            request for request in self.pool.sent if not request.done
        ]
        self.crash()
        self.assertEqual(2, len(self.gate.quarantine.suspects))

    def test_a_crash_after_all_clients_have_left_is_noticed(self):
        """Guards against a request whose clients never wait for the crash."""
        for _ in range(2):
            self.gate.cancel(self.submit(b"deadly"))
            self.pool.refuses = True
            self.submit(b"a")
            request = self.pool.sent.pop()
            request.written = False
            request.finish(None, "connecting failed")
            self.pool.sent.clear()
            self.clock.advance(0.5)
            self.start_server()
        self.outcomes()
        self.submit(b"deadly")
        self.assertEqual([Outcome.QUARANTINED], self.outcomes())

    def test_the_suspect_that_waits_is_not_sent_to_a_crashed_server(self):
        """Guards against two suspects among the requests of one crash."""
        for name in (b"a", b"deadly"):
            self.submit(name)
        self.crash()
        self.submit(b"deadly")
        self.submit(b"a")
        self.crash()
        self.outcomes()
        self.submit(b"deadly")
        self.assertEqual([Outcome.QUARANTINED], self.outcomes())

    def test_a_suspect_beside_one_whose_client_left_is_not_blamed(self):
        """Guards against blaming a request for the crash by another one.

        The server still ran the one whose connection had been closed.
        """
        for name in (b"a", b"deadly"):
            self.submit(name)
        self.crash()
        left = self.submit(b"deadly")
        self.submit(b"a")
        self.gate.cancel(left)
        self.pool.sent = [
            request for request in self.pool.sent if not request.done
        ]
        self.crash()
        self.outcomes()
        self.submit(b"a")
        self.answer()
        self.assertEqual([Outcome.ANSWERED], self.outcomes())

    def test_a_quarantined_request_is_to_blame_for_the_next_crash(self):
        """Guards against blaming a suspect that ran beside it."""
        self.submit(b"a")
        self.crash()
        deadly = self.submit(b"deadly")
        for instance in ("i-8", "i-9"):
            self.gate.quarantine.record_crash(
                (instance, 5), [deadly.identify()], deadly.identify()
            )
        self.submit(b"a")
        self.crash()
        self.outcomes()
        self.submit(b"a")
        self.answer()
        self.assertEqual([Outcome.ANSWERED], self.outcomes())

    def test_held_suspects_end_at_their_deadline_or_with_their_client(self):
        names = (b"a", b"b", b"c")
        for name in names:
            self.submit(name)
        self.crash()
        self.outcomes()
        _, second, _ = [self.submit(name) for name in names]
        self.gate.cancel(second)
        self.clock.pump([0.1] * 10)
        self.assertEqual([Outcome.REFUSED], self.outcomes())
        self.assertEqual(([], 0), (self.gate.held, self.gate.waiting))

    def test_held_suspects_are_refused_when_the_node_stops(self):
        for name in (b"a", b"b"):
            self.submit(name)
        self.crash()
        self.outcomes()
        for name in (b"a", b"b"):
            self.submit(name)
        self.gate.refuse_queued("the node stops")
        self.assertEqual([Outcome.REFUSED], self.outcomes())

    def test_a_queued_request_is_refused_when_it_is_found_to_crash(self):
        """Guards against a path that passes by what is known."""
        self.submit(b"deadly")
        self.crash()
        for number in range(19):
            self.submit(b"other%d" % number)
        queued = self.submit(b"deadly")
        self.assertEqual(1, self.gate.waiting)
        self.gate.quarantine.record_crash(
            ("i-9", 5), [queued.identify()], queued.identify()
        )
        self.outcomes()
        self.answer()
        self.assertIn(Outcome.QUARANTINED, self.outcomes())


class QuarantineTest(TestCase):
    """The evidence of all nodes adds up, in any order and within bounds."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.clock.advance(100.0)

    def node(self) -> Quarantine:
        return Quarantine(clock=self.clock, on_change=lambda news: None)

    def tell(self, sender: Quarantine, receiver: Quarantine):
        """Deliver the evidence as the hop encodes it."""
        frame = encode_frame(Ping(1, None, 0, 0, sender.evidence()))
        message = FrameBuffer().feed(frame)[0]
        if message.evidence is not None:
            receiver.merge(message.evidence)

    def test_evidence_of_two_nodes_adds_up_at_a_third(self):
        first, second, third = (self.node() for _ in range(3))
        first.record_crash(("i-1", 1), [7, 8], None)
        self.tell(first, second)
        second.record_crash(("i-2", 1), [7, 9], 7)
        self.tell(second, third)
        self.tell(second, first)
        for node in (first, second, third):
            self.assertIs(Verdict.QUARANTINED, node.verdict(7))
            self.assertIs(Verdict.SUSPECT, node.verdict(8))
            self.assertIs(Verdict.CLEAR, node.verdict(1))
            self.assertEqual(first.digest, node.digest)

    def test_a_late_report_of_a_crash_does_not_undo_a_clearance(self):
        first, second = self.node(), self.node()
        first.record_crash(("i-1", 1), [7], None)
        self.tell(first, second)
        late = first.evidence()
        self.clock.advance(1.0)
        second.clear(7, reason="answered")
        late.crashes[0].age_ms += 1000
        second.merge(late)
        self.assertIs(Verdict.CLEAR, second.verdict(7))
        self.tell(second, first)
        self.assertIs(Verdict.CLEAR, first.verdict(7))
        self.assertEqual(first.digest, second.digest)

    def test_a_verdict_ends_and_the_next_crash_doubles_it(self):
        """Guards against a wrong verdict for ever."""
        node = self.node()
        node.record_crash(("i-1", 1), [7], None)
        node.record_crash(("i-2", 1), [7], 7)
        self.clock.advance(QUARANTINE_SECONDS + 1)
        node.expire()
        self.assertIs(Verdict.SUSPECT, node.verdict(7))
        node.record_crash(("i-3", 1), [7], 7)
        self.clock.advance(2 * QUARANTINE_SECONDS - 1)
        node.expire()
        self.assertIs(Verdict.QUARANTINED, node.verdict(7))

    def test_a_suspicion_expires(self):
        node = self.node()
        node.record_crash(("i-1", 1), [7], None)
        node.clear(8, reason="answered")
        self.clock.advance(SUSPICION_SECONDS + 1)
        node.expire()
        self.assertEqual((set(), {}), (node.suspects, node.clearances))
        self.assertEqual(0, node.digest)
        self.assertIsNone(node.evidence())

    def test_the_evidence_is_bounded_and_verdicts_stay(self):
        """Guards against a client that fills the memory to hide a request."""
        node = self.node()
        node.record_crash(("i-1", 1), [7], None)
        node.record_crash(("i-2", 1), [7], 7)
        for number in range(0, 2 * MAX_REQUESTS, 256):
            crash = range(1000 + number, 1256 + number)
            node.record_crash((f"j-{number}", 1), crash, None)
        self.assertEqual(MAX_REQUESTS, len(node.suspects))
        self.assertIs(Verdict.QUARANTINED, node.verdict(7))
        for fingerprint in list(node.suspects):
            node.clear(fingerprint, reason="answered")
        for fingerprint in range(2 * MAX_CLEARANCES):
            node.add_clearance(fingerprint, self.clock.seconds())
        self.assertLessEqual(len(node.clearances), MAX_CLEARANCES)

    def test_a_request_in_many_crashes_can_still_be_blamed(self):
        """Guards against a table that is full when the verdict comes."""
        node = self.node()
        for number in range(2 * MAX_CRASHES):
            self.clock.advance(1.0)
            node.record_crash((f"i-{number}", 1), [7], None)
        node.record_crash(("i-last", 1), [7], 7)
        self.assertIs(Verdict.QUARANTINED, node.verdict(7))
        self.assertEqual(MAX_CRASHES, len(node.involvements[7]))
        other = self.node()
        self.tell(node, other)
        self.assertEqual(node.digest, other.digest)

    def test_clearances_of_others_do_not_lift_a_quarantine(self):
        """Guards against a full table of clearances that hides a verdict."""
        node = self.node()
        node.record_crash(("i-1", 1), [7], None)
        node.clear(7, reason="answered")
        self.clock.advance(1.0)
        node.record_crash(("i-2", 1), [7], None)
        node.record_crash(("i-3", 1), [7], 7)
        for fingerprint in range(100, 101 + MAX_CLEARANCES):
            node.add_clearance(fingerprint, self.clock.seconds())
        self.assertEqual(MAX_CLEARANCES, len(node.clearances))
        self.assertIs(Verdict.QUARANTINED, node.verdict(7))

    @settings(max_examples=150)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    ("crash", "blame", "clear", "tell", "delay", "wait")
                ),
                st.integers(0, 2),
                st.integers(0, 2),
                st.integers(1, 4),
            ),
            max_size=30,
        )
    )
    def test_nodes_agree_once_they_have_told_each_other(self, steps):
        """Guards against verdicts that depend on the order of messages."""
        nodes = [self.node() for _ in range(3)]
        delayed = []
        for number, (action, one, other, fingerprint) in enumerate(steps):
            node = nodes[one]
            if action == "tell":
                self.tell(node, nodes[other])
            elif action == "delay":
                delayed.append((node.evidence(), nodes[other]))
            elif action == "clear":
                node.clear(fingerprint, reason="answered")
            elif action == "wait":
                self.clock.advance(0.5)
            else:
                node.record_crash(
                    (f"i-{number}", 1),
                    [fingerprint, fingerprint + 1],
                    fingerprint if action == "blame" else None,
                )
        self.clock.advance(0.5)
        for evidence, receiver in delayed:
            if evidence is not None:
                receiver.merge(evidence)
        for _ in range(2):
            for sender in nodes:
                for receiver in nodes:
                    self.tell(sender, receiver)
        for node in nodes[1:]:
            self.assertEqual(nodes[0].digest, node.digest)
            for fingerprint in range(1, 6):
                verdicts = {
                    each.verdict(fingerprint) is Verdict.QUARANTINED
                    for each in (nodes[0], node)
                }
                self.assertEqual(1, len(verdicts))

    def test_the_list_for_operators_is_json(self):
        node = self.node()
        node.record_crash(("i-1", 1), [7], None)
        node.record_crash(("i-2", 1), [7], 7)
        entry = json.loads(json.dumps(node.entries()))[0]
        self.assertEqual("quarantined", entry["verdict"])
        self.assertEqual("0000000000000007", entry["fingerprint"])
        self.assertEqual(2, len(entry["crashes"]))
