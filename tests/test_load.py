"""Tests of the load generator on a fake clock."""

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from flamingosail.httpclient import BadResponse
from flamingosail.httpclient import HttpResponse
from flamingosail.load import LoadGenerator
from flamingosail.load import LoadKind
from flamingosail.load import Phase

JSON = (b"Content-Type", b"application/problem+json")


class FakeNode:
    """Records requests; the test fires their Deferreds."""

    def __init__(self):
        self.requests: list[tuple[bytes, Deferred]] = []
        self.cancelled = 0

    def request(self, data: bytes) -> Deferred:
        def cancel(deferred):
            self.cancelled += 1

        done = Deferred(cancel)
        self.requests.append((data, done))
        return done

    @property
    def targets(self) -> list[str]:
        return [target_of(data) for data, _ in self.requests]

    def respond(self, index: int = -1, body: bytes | None = None):
        """Respond with the target of the request, or another body."""
        data, done = self.requests[index]
        target = target_of(data).encode()
        done.callback(HttpResponse(200, (), target if body is None else body))

    def issue_key(self, key: bytes, index: int = -1):
        self.requests[index][1].callback(
            HttpResponse(201, ((b"Idempotency-Key", key),), b"")
        )

    def refuse(self, code: str, verdict: bytes, index: int = -1):
        self.requests[index][1].callback(
            HttpResponse(
                503,
                (JSON, (b"Flamingosail-Verdict", verdict)),
                b'{"type": "urn:flamingosail:%s"}' % code.encode(),
            )
        )


def target_of(data: bytes) -> str:
    return data.split(b" ")[1].decode()


def check(body: bytes, target: str) -> bool:
    return body == target.encode()


class LoadTestCase(TestCase):
    """Runs a generator with fake nodes and a fake clock."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.nodes = [FakeNode(), FakeNode()]
        self.ended = []

    def start(self, *kinds, rate=10.0, seconds=1.0, nodes=1, **options):
        self.generator = LoadGenerator(
            clock=self.clock,
            clients=self.nodes[:nodes],
            kinds=kinds,
            phases=[Phase(seconds, {kind.name: rate for kind in kinds})],
            check=check,
            on_end=self.ended.append,
            **options,
        )
        self.done = self.generator.start()
        return self.generator.results

    def start_to_first_request(self, kind, **options):
        """Start a run and advance to its first request."""
        results = self.start(kind, **options)
        while not self.nodes[0].requests and not self.nodes[1].requests:
            self.clock.advance(0.001)
        return results.kinds[kind.name]


class OpenLoopTest(LoadTestCase):
    """Guards against a generator that waits for responses (closed loop)."""

    def test_sends_on_time_without_any_response(self):
        kind = LoadKind("a")
        results = self.start(kind, rate=100.0, seconds=2.0)
        planned_times = []
        planner = LoadGenerator(
            clock=self.clock,
            clients=self.nodes,
            kinds=[kind],
            phases=[Phase(2.0, {"a": 100.0})],
            check=check,
        )
        at = planner.next_arrival(kind, 0.0)
        while at is not None:
            planned_times.append(at)
            at = planner.next_arrival(kind, at)
        sent_counts = []
        for _ in range(2000):
            self.clock.advance(0.001)
            sent_counts.append(len(self.nodes[0].requests))
        due_counts = [
            sum(at <= (i + 1) / 1000 for at in planned_times)
            for i in range(2000)
        ]
        # Rounding in the sum of the clock's steps may shift a request by one
        # step.
        self.assertTrue(
            all(
                abs(a - b) <= 1
                for a, b in zip(sent_counts, due_counts, strict=True)
            )
        )
        self.assertEqual(len(planned_times), results.kinds["a"].sent)
        self.assertGreater(len(planned_times), 150)

    def test_the_seed_determines_the_times_regardless_of_responses(self):
        def times(seed):
            load = LoadGenerator(
                clock=self.clock,
                clients=self.nodes,
                kinds=[kind],
                phases=[Phase(1.0, {"a": 50.0})],
                check=check,
                seed=seed,
            )
            load.random.random()
            at, found = 0.0, []
            while (at := load.next_arrival(kind, at)) is not None:
                found.append(at)
            return found

        kind = LoadKind("a")
        self.assertEqual(times(1), times(1))
        self.assertNotEqual(times(1), times(2))

    def test_phases_set_the_rates(self):
        kind = LoadKind("a")
        load = LoadGenerator(
            clock=self.clock,
            clients=self.nodes,
            kinds=[kind],
            phases=[
                Phase(10.0, {"a": 10.0}),
                Phase(10.0, {}),
                Phase(10.0, {"a": 100.0}),
            ],
            check=check,
        )
        at, counts = 0.0, [0, 0, 0]
        while (at := load.next_arrival(kind, at)) is not None:
            counts[int(at / 10)] += 1
        self.assertEqual(0, counts[1])
        self.assertTrue(60 < counts[0] < 140, counts)
        self.assertTrue(850 < counts[2] < 1150, counts)

    def test_overdue_requests_are_sent_after_a_stall(self):
        results = self.start(LoadKind("a"), rate=100.0, seconds=1.0)
        self.clock.advance(5.0)
        self.assertGreater(results.kinds["a"].sent, 60)


class LatencyTest(LoadTestCase):
    """Guards against latency that omits delays in the generator."""

    def test_counts_from_the_intended_time(self):
        kind_results = self.start(LoadKind("a", timeout=10.0)).kinds["a"]
        self.clock.advance(3.0)
        self.nodes[0].respond(0)
        intended = self.ended[0].intended
        self.assertLess(intended, 1.0)
        self.assertEqual(1, kind_results.latency.get_total_count())
        measured = kind_results.latency.get_max_value() / 1e6
        self.assertAlmostEqual(3.0 - intended, measured, delta=0.01)

    def test_a_request_past_its_timeout_is_counted_as_timed_out(self):
        kind_results = self.start(LoadKind("a", timeout=1.0)).kinds["a"]
        self.clock.advance(5.0)
        self.assertGreater(kind_results.sent, 1)
        self.assertEqual(kind_results.sent, kind_results.timeouts)
        self.assertEqual([], self.nodes[0].requests)


class CountTest(LoadTestCase):
    """Guards against outcomes that are counted twice or not at all."""

    def test_complete_responses(self):
        kind = LoadKind("a", importance="critical")
        kind_results = self.start_to_first_request(kind)
        self.nodes[0].respond()
        self.assertEqual(
            (1, 1), (kind_results.sent, kind_results.whole_in_time)
        )
        results = self.generator.results
        self.assertEqual(1, sum(results.good["critical"]))
        self.assertEqual(1, sum(results.goodput["critical"]))
        self.assertEqual(1, sum(results.offered["critical"]))

    def test_responses_to_other_requests_are_wrong(self):
        kind_results = self.start_to_first_request(LoadKind("a"))
        self.nodes[0].respond(body=b"/other")
        self.assertEqual(
            (1, 0), (kind_results.wrong, kind_results.whole_in_time)
        )

    def test_truncated_responses_are_wrong(self):
        kind_results = self.start_to_first_request(LoadKind("a"))
        self.nodes[0].requests[0][1].errback(BadResponse("truncated"))
        self.assertEqual(
            (1, 0), (kind_results.wrong, kind_results.whole_in_time)
        )

    def test_refusals_by_code_and_verdict(self):
        kind_results = self.start_to_first_request(LoadKind("a"))
        self.nodes[0].refuse("overloaded", b"not-run")
        self.assertEqual({("overloaded", "not-run"): 1}, kind_results.refused)
        self.assertEqual("not-run", self.ended[0].last_outcome.verdict)

    def test_a_refusal_without_problem_details(self):
        kind_results = self.start_to_first_request(LoadKind("a"))
        self.nodes[0].requests[0][1].callback(HttpResponse(500, (), b"oops"))
        self.assertEqual({("status-500", "none"): 1}, kind_results.refused)

    def test_timeouts_and_errors(self):
        kind_results = self.start_to_first_request(
            LoadKind("a", timeout=1.0), seconds=0.3
        )
        self.nodes[0].requests[0][1].errback(ConnectionRefusedError())
        self.assertEqual({"ConnectionRefusedError": 1}, kind_results.errors)
        for _ in range(20):
            self.clock.advance(0.1)
        self.assertEqual(kind_results.sent, kind_results.timeouts + 1)
        self.assertEqual(kind_results.timeouts, self.nodes[0].cancelled)

    def test_ends_when_the_last_request_has_ended(self):
        self.start(LoadKind("a", timeout=1.0), seconds=0.5)
        results = []
        self.done.addCallback(results.append)
        for _ in range(6):
            self.clock.advance(0.1)
        self.assertEqual([], results)
        for _ in range(15):
            self.clock.advance(0.1)
        self.assertEqual([self.generator.results], results)
        found = results[0].as_dict()["kinds"]["a"]
        self.assertEqual(found["sent"], found["timeouts"])


class KeyTest(LoadTestCase):
    """Guards against requests without the key that their kind needs."""

    def test_fetches_a_key_and_sends_it(self):
        kind_results = self.start_to_first_request(
            LoadKind("a", needs_key=True)
        )
        node = self.nodes[0]
        self.assertEqual(["/flamingosail/keys"], node.targets)
        node.issue_key(b"k-1")
        self.assertIn(b"Idempotency-Key: k-1\r\n", node.requests[1][0])
        node.respond()
        self.assertEqual(
            (1, 1), (kind_results.whole_in_time, kind_results.attempts)
        )

    def test_a_refused_key_ends_the_request(self):
        kind_results = self.start_to_first_request(
            LoadKind("a", needs_key=True)
        )
        self.nodes[0].refuse("shutting-down", b"not-run")
        self.assertEqual(
            {("shutting-down", "not-run"): 1}, kind_results.refused
        )


class RetryTest(LoadTestCase):
    """Guards against callers that retry less than configured."""

    def test_retries_at_once_at_the_next_node_with_the_same_key(self):
        kind = LoadKind("a", needs_key=True)
        kind_results = self.start_to_first_request(kind, nodes=2, retries=2)
        first, second = self.nodes
        if not first.requests:
            first, second = second, first
        first.issue_key(b"k-1")
        target = first.targets[1]
        first.refuse("overloaded", b"not-run")
        self.assertEqual([target], second.targets)
        self.assertIn(b"Idempotency-Key: k-1\r\n", second.requests[0][0])
        second.refuse("overloaded", b"not-run")
        self.assertEqual(target, first.targets[-1])
        first.refuse("no-server", b"not-run")
        self.assertEqual({("no-server", "not-run"): 1}, kind_results.refused)
        self.assertEqual(3, kind_results.attempts)
        self.assertEqual(1, len(self.ended))

    def test_an_attempt_without_a_response_times_out(self):
        kind = LoadKind("a", timeout=1.0)
        kind_results = self.start_to_first_request(
            kind, nodes=2, retries=9, attempt_timeout=0.4, rate=2.0
        )
        for _ in range(11):
            self.clock.advance(0.1)
        attempts = sum(len(node.requests) for node in self.nodes)
        self.assertGreaterEqual(attempts, 3)
        self.assertEqual(1, kind_results.timeouts)

    def test_a_complete_response_ends_the_retries(self):
        kind_results = self.start_to_first_request(
            LoadKind("a"), retries=5, rate=1.0
        )
        self.nodes[0].refuse("overloaded", b"not-run")
        self.nodes[0].respond()
        self.assertEqual(
            (2, 1), (kind_results.attempts, kind_results.whole_in_time)
        )
        self.assertEqual(2, len(self.nodes[0].requests))
