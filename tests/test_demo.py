"""Tests of the checks by which the demo passes or fails."""

import json

from testtools import TestCase

from experiments.demo import guarantees_kept
from experiments.demo import ResponseCounts
from standins.wire import WireRequest
from standins.workload import success_response

PROBLEM = {"type": "urn:flamingosail:overloaded", "verdict": "not-run"}
REFUSAL = {
    "content-type": "application/problem+json",
    "flamingosail-verdict": "not-run",
}
GOOD = {
    "wrong_answers": 0,
    "non_idempotent_duplicates": 0,
    "unclear": 0,
    "whole_answers": 9,
    "non_idempotent_runs": 4,
    "manifest_seconds": 6.0,
    "drain_seconds": 3.0,
    "repeats_agree": True,
    "load_until_end": True,
}


class DemoTest(TestCase):
    """Guards against a demo that passes although a guarantee is violated."""

    def count(self, status, headers, body) -> ResponseCounts:
        count = ResponseCounts()
        count.record(status, headers, body, "/mine")
        self.assertEqual(1, count.sent)
        return count

    def test_counts_responses_by_their_body(self):
        request = WireRequest("POST", "/mine", {}, b"")
        body = success_response(request, "histbook", 0).body
        self.assertEqual(1, self.count(200, {}, body).complete)
        self.assertEqual(1, self.count(200, {}, body[:-1]).wrong)
        other = WireRequest("POST", "/other", {}, b"")
        other_body = success_response(other, "histbook", 0).body
        self.assertEqual(1, self.count(200, {}, other_body).wrong)

    def test_only_problem_details_with_a_verdict_are_refusals(self):
        body = json.dumps(PROBLEM).encode()
        refused = self.count(503, REFUSAL, body)
        self.assertEqual({PROBLEM["type"]: 1}, dict(refused.refusals))
        for headers, content in (
            ({}, body),
            (REFUSAL, b""),
            (REFUSAL, b"[]"),
            ({**REFUSAL, "flamingosail-verdict": "ran"}, body),
            (REFUSAL, json.dumps({**PROBLEM, "type": "x"}).encode()),
        ):
            self.assertEqual(1, self.count(503, headers, content).unclear)
        self.assertEqual(1, self.count(0, {}, b"connection reset").unclear)

    def test_any_violated_guarantee_fails_the_demo(self):
        self.assertTrue(guarantees_kept(GOOD))
        for name, value in (
            ("wrong_answers", 1),
            ("non_idempotent_duplicates", 1),
            ("unclear", 1),
            ("whole_answers", 0),
            ("non_idempotent_runs", 0),
            ("manifest_seconds", 6.01),
            ("drain_seconds", 3.01),
            ("repeats_agree", False),
            ("load_until_end", False),
        ):
            self.assertFalse(guarantees_kept({**GOOD, name: value}), name)
