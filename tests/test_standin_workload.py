"""Tests of the stand-in backend server's work, on a fake clock."""

import json
from random import Random

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.defer import fail
from twisted.internet.task import Clock

from standins.wire import WireAnswer
from standins.wire import WireError
from standins.wire import WireRequest
from standins.workload import check_answer
from standins.workload import KindTable
from standins.workload import Step
from standins.workload import Workload

KINDS = {
    "charge": KindTable(idempotent=False),
    "renew": KindTable(
        steps=(Step(kind="check"), Step(kind="charge", key="charge"))
    ),
    "status": KindTable(
        parallel=True, steps=(Step(kind="a"), Step(kind="b", target="/b"))
    ),
}


class WorkloadTest(TestCase):
    """Guards against a stand-in that hides or invents faults of a node."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.calls = []
        self.cancelled = []
        self.workload = self.build()

    def build(self, **options) -> Workload:
        defaults = {
            "clock": self.clock,
            "random": Random(3),
            "service": "cashier",
            "slots": 2,
            "service_ms": 100,
            "distribution": "fixed",
            "kinds": KINDS,
            "call": self.call,
        }
        return Workload(**{**defaults, **options})

    def call(self, **request) -> Deferred:
        deferred = Deferred(lambda _: self.cancelled.append(request["target"]))
        self.calls.append((request, deferred))
        return self.calls[-1][1]

    def serve(self, kind: str, target: str = "/r", **headers) -> list:
        """Serve a request; the list gets its answer."""
        names = {"flamingosail-kind": kind}
        for name, value in headers.items():
            names[name.replace("_", "-")] = value
        answers = []
        request = WireRequest("POST", target, names, b"body")
        self.workload.serve(request).addCallback(answers.append)
        return answers

    def answer_call(self, number: int):
        """Answer a step's request as its server would."""
        request, deferred = self.calls[number]
        server = self.build(service_ms=0, kinds={})
        headers = {k.lower(): v for k, v in request["headers"].items()}
        answer = server.serve(
            WireRequest(request["method"], request["target"], headers, b"")
        )
        self.clock.advance(0)
        answer.addCallback(deferred.callback)

    def test_serves_at_most_slots_requests_in_order(self):
        answers = [self.serve("x", f"/{number}") for number in range(5)]
        self.assertEqual({"in_flight": 2, "queued": 3}, self.workload.load())
        self.clock.advance(0.1)
        self.assertEqual([1, 1, 0, 0, 0], [len(found) for found in answers])
        self.clock.pump([0.1, 0.1])
        self.assertEqual([1] * 5, [len(found) for found in answers])
        self.assertEqual(2, self.workload.stats()["most_in_flight"])

    def test_the_answer_shows_whose_it_is_and_that_it_is_whole(self):
        self.workload = self.build(padding_bytes=100)
        answers = self.serve("x", "/mine")
        self.clock.advance(0.1)
        body = answers[0].body
        self.assertTrue(check_answer(body, "/mine"))
        self.assertFalse(check_answer(body, "/other"))
        self.assertFalse(check_answer(body[:-1], "/mine"))
        self.assertFalse(check_answer(body.replace(b"xx", b"x"), "/mine"))
        self.assertFalse(check_answer(b"", "/mine"))
        self.assertFalse(check_answer(b"[]", "/mine"))

    def test_takes_steps_in_sequence_with_context_and_key(self):
        answers = self.serve(
            "renew",
            "/renew/7",
            flamingosail_context="token",
            flamingosail_timeout_ms="1000",
        )
        self.clock.advance(0.1)
        self.assertEqual(1, len(self.calls))
        request = self.calls[0][0]
        self.assertEqual("/renew/7", request["target"])
        self.assertAlmostEqual(0.9, request["timeout"])
        self.assertEqual(
            {
                "Flamingosail-Kind": "check",
                "Flamingosail-Timeout-Ms": "900",
                "Flamingosail-Context": "token",
            },
            request["headers"],
        )
        self.answer_call(0)
        key = self.calls[1][0]["headers"]["Idempotency-Key"]
        self.assertRegex(key, r"^charge-[0-9a-f]{16}$")
        self.assertEqual([], answers)
        self.answer_call(1)
        self.assertEqual(200, answers[0].status)

    def test_keys_differ_between_roots_and_repeat_within_one(self):
        keys = []
        for target in ("/1", "/2", "/1"):
            self.calls.clear()
            self.serve("renew", target)
            self.clock.advance(0.1)
            self.answer_call(0)
            keys.append(self.calls[1][0]["headers"]["Idempotency-Key"])
            self.answer_call(1)
        self.assertEqual(keys[0], keys[2])
        self.assertNotEqual(keys[0], keys[1])

    def test_takes_steps_in_parallel(self):
        answers = self.serve("status")
        self.clock.advance(0.1)
        self.assertEqual(
            ["/r", "/b"], [request["target"] for request, _ in self.calls]
        )
        self.answer_call(1)
        self.assertEqual([], answers)
        self.answer_call(0)
        self.assertEqual(200, answers[0].status)

    def test_a_failed_step_fails_the_request_and_cancels_the_others(self):
        answers = self.serve("status")
        self.clock.advance(0.1)
        self.calls[0][1].callback(WireAnswer(503))
        self.assertEqual(502, answers[0].status)
        self.assertIn(b"step a: status 503", answers[0].body)
        self.assertEqual(["/b"], self.cancelled)

    def test_notices_a_foreign_answer_of_a_step(self):
        answers = self.serve("renew")
        self.clock.advance(0.1)
        body = json.dumps({"path": "/other"}).encode()
        self.calls[0][1].callback(WireAnswer(200, body))
        self.assertEqual(502, answers[0].status)
        self.assertEqual(1, self.workload.counts["foreign"])

    def test_a_lost_connection_of_a_step_fails_the_request(self):
        self.workload = self.build(call=lambda **_: fail(WireError("lost")))
        answers = self.serve("renew")
        self.clock.advance(0.1)
        self.assertEqual(502, answers[0].status)

    def test_cancels_queued_and_running_requests(self):
        answers = [
            self.serve(
                "charge", f"/{number}", flamingosail_context=f"t{number}"
            )
            for number in range(3)
        ]
        self.assertTrue(self.workload.cancel("t2"))
        self.assertEqual(503, answers[2][0].status)
        self.assertEqual(
            "not-run", dict(answers[2][0].headers)["Flamingosail-Verdict"]
        )
        self.assertTrue(self.workload.cancel("t0"))
        self.assertEqual(499, answers[0][0].status)
        self.assertFalse(self.workload.cancel("t0"))
        self.assertEqual({"in_flight": 1, "queued": 0}, self.workload.load())
        self.assertEqual(2, sum(self.workload.runs.values()))

    def test_cancels_the_open_step(self):
        answers = self.serve("renew", flamingosail_context="t")
        self.clock.advance(0.1)
        self.assertTrue(self.workload.cancel("t"))
        self.assertEqual(["/r"], self.cancelled)
        self.assertEqual(499, answers[0].status)

    def test_counts_each_start_of_a_request_that_is_not_idempotent(self):
        self.serve("charge", "/1", idempotency_key="k")
        self.serve("charge", "/1", idempotency_key="k")
        self.serve("charge", "/1")
        self.serve("x", "/1")
        self.assertEqual({"charge k /1": 2}, dict(self.workload.runs))
        self.clock.advance(0.1)
        self.assertEqual([2, 1], sorted(self.workload.runs.values())[::-1])

    def test_counts_arrivals_and_starts_of_every_target(self):
        for target in ("/a", "/b", "/b"):
            self.serve("x", target)
        self.assertEqual(
            {"x /a": [1, 1], "x /b": [2, 1]}, self.workload.targets
        )
        self.clock.advance(0.1)
        self.assertEqual([2, 2], self.workload.targets["x /b"])

    def test_starts_and_answers_nothing_while_frozen(self):
        first = self.serve("x")
        self.workload.frozen = True
        second = self.serve("x")
        self.clock.advance(10)
        self.assertEqual(([], []), (first, second))
        self.workload.frozen = False
        self.workload.thaw()
        self.assertEqual(200, first[0].status)
        self.clock.advance(0.1)
        self.assertEqual(200, second[0].status)

    def test_fails_fast_without_starting(self):
        self.workload.failing = True
        answers = self.serve("charge")
        self.assertEqual(500, answers[0].status)
        self.assertEqual({}, dict(self.workload.runs))

    def test_exponential_times_have_the_mean_and_repeat_with_the_seed(self):
        def times() -> list[float]:
            workload = self.build(distribution="exponential")
            work = type("Work", (), {"kind": "x"})
            return [workload._service_seconds(work) for _ in range(4000)]

        first = times()
        self.assertEqual(first, times())
        self.assertAlmostEqual(0.1, sum(first) / len(first), delta=0.01)
