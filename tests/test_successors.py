"""Tests of successors, the keys offered after a proven not-run."""

from testtools import TestCase

from flamingosail.errors import RefusalCode
from flamingosail.verdict import Verdict
from tests.fakes import Cluster


class SuccessorTest(TestCase):
    """Guards against runs after a not-run and against too many attempts."""

    def setUp(self):
        super().setUp()
        self.cluster = Cluster({"histbook": 2, "retire-svc": 1})
        self.server = self.cluster.nodes["retire-svc-0"]
        self.server.backend.behaviour.refuse = True

    def send(self, node: str, key: str, target: str = "/1"):
        answers = self.cluster.send(node, "retire", target, key=key)
        self.cluster.advance(0.1)
        return answers[0]

    def send_refused(self):
        key = self.cluster.nodes["histbook-0"].entrance.issue_key()
        answer = self.send("histbook-0", key)
        self.assertEqual(Verdict.NOT_RUN, answer.verdict)
        return key, answer

    def test_a_refused_key_never_runs(self):
        key, refusal = self.send_refused()
        self.server.backend.behaviour.refuse = False
        for node in ("histbook-0", "histbook-1"):
            answer = self.send(node, key)
            self.assertEqual(refusal.refusal, answer.refusal)
            self.assertEqual(refusal.key, answer.key)
        self.assertEqual(0, self.cluster.runs[("retire", "/1")])

    def test_the_successor_runs_once_at_any_node(self):
        _, refusal = self.send_refused()
        self.server.backend.behaviour.refuse = False
        for node in ("histbook-1", "histbook-0"):
            self.assertTrue(self.send(node, refusal.key).succeeded)
        self.assertEqual(1, self.cluster.runs[("retire", "/1")])

    def test_the_successor_belongs_to_the_same_request(self):
        _, refusal = self.send_refused()
        answer = self.send("histbook-0", refusal.key, target="/2")
        self.assertEqual(RefusalCode.KEY_REUSED, answer.refusal.code)

    def test_successors_share_the_retries_of_the_root(self):
        attempts = self.count_attempts()
        _, answer = self.send_refused()
        for _ in range(20):
            answer = self.send("histbook-0", answer.key)
        self.assertEqual(RefusalCode.ATTEMPTS_EXHAUSTED, answer.refusal.code)
        max_retries = 3
        self.assertEqual(1 + max_retries, len(attempts))

    def count_attempts(self) -> list:
        attempts = []
        serve = self.server.backend.serve

        def counting_serve(**arguments):
            attempts.append(arguments)
            return serve(**arguments)

        self.server.backend.serve = counting_serve
        return attempts

    def test_a_full_table_does_not_claim_not_run(self):
        keys = self.cluster.nodes["histbook-0"].kernel.get("keys")
        keys.max_keys = 0
        answer = self.send("histbook-0", keys.issue())
        self.assertEqual(RefusalCode.OVERLOADED, answer.refusal.code)
        self.assertEqual(Verdict.MAY_HAVE_RUN, answer.verdict)
