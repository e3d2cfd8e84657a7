"""Tests of the stand-in backend server's workload, on a fake clock."""

import json
from random import Random

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.defer import fail
from twisted.internet.task import Clock

from standins.wire import WireError
from standins.wire import WireRequest
from standins.wire import WireResponse
from standins.workload import is_valid_response
from standins.workload import KindConfig
from standins.workload import Step
from standins.workload import Workload

KINDS = {
    "charge": KindConfig(idempotent=False),
    "renew": KindConfig(
        steps=(Step(kind="check"), Step(kind="charge", key="charge"))
    ),
    "status": KindConfig(
        parallel=True, steps=(Step(kind="a"), Step(kind="b", target="/b"))
    ),
}


class WorkloadTest(TestCase):
    """Guards against a stand-in that hides a node's faults or adds its own."""

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
        """Serve a request and return a list to which its response is added."""
        header_values = {"flamingosail-kind": kind}
        for name, value in headers.items():
            header_values[name.replace("_", "-")] = value
        responses = []
        request = WireRequest("POST", target, header_values, b"body")
        self.workload.serve(request).addCallback(responses.append)
        return responses

    def respond_to_call(self, number: int):
        """Complete a step's request with the response of another workload."""
        request, deferred = self.calls[number]
        server = self.build(service_ms=0, kinds={})
        headers = {k.lower(): v for k, v in request["headers"].items()}
        served = server.serve(
            WireRequest(request["method"], request["target"], headers, b"")
        )
        self.clock.advance(0)
        served.addCallback(deferred.callback)

    def test_serves_at_most_slots_requests_in_order(self):
        responses = [self.serve("x", f"/{number}") for number in range(5)]
        self.assertEqual({"in_flight": 2, "queued": 3}, self.workload.load())
        self.clock.advance(0.1)
        self.assertEqual(
            [1, 1, 0, 0, 0], [len(received) for received in responses]
        )
        self.clock.pump([0.1, 0.1])
        self.assertEqual([1] * 5, [len(received) for received in responses])
        self.assertEqual(2, self.workload.stats()["most_in_flight"])

    def test_detects_responses_of_other_requests_and_truncated_ones(self):
        self.workload = self.build(padding_bytes=100)
        responses = self.serve("x", "/mine")
        self.clock.advance(0.1)
        body = responses[0].body
        self.assertTrue(is_valid_response(body, "/mine"))
        self.assertFalse(is_valid_response(body, "/other"))
        self.assertFalse(is_valid_response(body[:-1], "/mine"))
        self.assertFalse(is_valid_response(body.replace(b"xx", b"x"), "/mine"))
        self.assertFalse(is_valid_response(b"", "/mine"))
        self.assertFalse(is_valid_response(b"[]", "/mine"))

    def test_runs_steps_in_sequence_with_context_and_key(self):
        responses = self.serve(
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
        self.respond_to_call(0)
        key = self.calls[1][0]["headers"]["Idempotency-Key"]
        self.assertRegex(key, r"^charge-[0-9a-f]{16}$")
        self.assertEqual([], responses)
        self.respond_to_call(1)
        self.assertEqual(200, responses[0].status)

    def test_step_keys_are_derived_from_the_target(self):
        keys = []
        for target in ("/1", "/2", "/1"):
            self.calls.clear()
            self.serve("renew", target)
            self.clock.advance(0.1)
            self.respond_to_call(0)
            keys.append(self.calls[1][0]["headers"]["Idempotency-Key"])
            self.respond_to_call(1)
        self.assertEqual(keys[0], keys[2])
        self.assertNotEqual(keys[0], keys[1])

    def test_runs_steps_in_parallel(self):
        responses = self.serve("status")
        self.clock.advance(0.1)
        self.assertEqual(
            ["/r", "/b"], [request["target"] for request, _ in self.calls]
        )
        self.respond_to_call(1)
        self.assertEqual([], responses)
        self.respond_to_call(0)
        self.assertEqual(200, responses[0].status)

    def test_a_failed_step_fails_the_request_and_cancels_the_others(self):
        responses = self.serve("status")
        self.clock.advance(0.1)
        self.calls[0][1].callback(WireResponse(503))
        self.assertEqual(502, responses[0].status)
        self.assertIn(b"step a: status 503", responses[0].body)
        self.assertEqual(["/b"], self.cancelled)

    def test_detects_a_step_response_of_another_request(self):
        responses = self.serve("renew")
        self.clock.advance(0.1)
        body = json.dumps({"path": "/other"}).encode()
        self.calls[0][1].callback(WireResponse(200, body))
        self.assertEqual(502, responses[0].status)
        self.assertEqual(1, self.workload.counts["foreign"])

    def test_a_lost_connection_of_a_step_fails_the_request(self):
        self.workload = self.build(call=lambda **_: fail(WireError("lost")))
        responses = self.serve("renew")
        self.clock.advance(0.1)
        self.assertEqual(502, responses[0].status)

    def test_cancels_queued_and_running_requests(self):
        responses = [
            self.serve(
                "charge", f"/{number}", flamingosail_context=f"t{number}"
            )
            for number in range(3)
        ]
        self.assertTrue(self.workload.cancel("t2"))
        self.assertEqual(503, responses[2][0].status)
        self.assertEqual(
            "not-run", dict(responses[2][0].headers)["Flamingosail-Verdict"]
        )
        self.assertTrue(self.workload.cancel("t0"))
        self.assertEqual(499, responses[0][0].status)
        self.assertFalse(self.workload.cancel("t0"))
        self.assertEqual({"in_flight": 1, "queued": 0}, self.workload.load())
        self.assertEqual(2, sum(self.workload.runs.values()))

    def test_cancels_the_step_in_progress(self):
        responses = self.serve("renew", flamingosail_context="t")
        self.clock.advance(0.1)
        self.assertTrue(self.workload.cancel("t"))
        self.assertEqual(["/r"], self.cancelled)
        self.assertEqual(499, responses[0].status)

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
        responses = self.serve("charge")
        self.assertEqual(500, responses[0].status)
        self.assertEqual({}, dict(self.workload.runs))

    def test_exponential_times_have_the_mean_and_repeat_with_the_seed(self):
        def times() -> list[float]:
            workload = self.build(distribution="exponential")
            inbound = type("InboundRequest", (), {"kind": "x"})
            return [workload._service_seconds(inbound) for _ in range(4000)]

        first = times()
        self.assertEqual(first, times())
        self.assertAlmostEqual(0.1, sum(first) / len(first), delta=0.01)
