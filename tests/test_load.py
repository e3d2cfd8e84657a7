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
    """Collects requests; the test answers them."""

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

    def answer(self, index: int = -1, body: bytes | None = None):
        """Answer a request with its target, or with another body."""
        data, done = self.requests[index]
        whole = target_of(data).encode()
        done.callback(HttpResponse(200, (), whole if body is None else body))

    def issue(self, key: bytes, index: int = -1):
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
    """A generator, fake nodes and a fake clock."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.nodes = [FakeNode(), FakeNode()]
        self.ended = []

    def start(self, *kinds, rate=10.0, seconds=1.0, nodes=1, **options):
        self.load = LoadGenerator(
            clock=self.clock,
            clients=self.nodes[:nodes],
            kinds=kinds,
            phases=[Phase(seconds, {kind.name: rate for kind in kinds})],
            check=check,
            on_end=self.ended.append,
            **options,
        )
        self.done = self.load.start()
        return self.load.results

    def first(self, kind, **options):
        """Start, and advance to the first request of the only kind."""
        results = self.start(kind, **options)
        while not self.nodes[0].requests and not self.nodes[1].requests:
            self.clock.advance(0.001)
        return results.kinds[kind.name]


class OpenLoopTest(LoadTestCase):
    """Guards against a generator that waits for answers (closed loop)."""

    def test_sends_on_time_without_any_answer(self):
        kind = LoadKind("a")
        results = self.start(kind, rate=100.0, seconds=2.0)
        planned = []
        plan = LoadGenerator(
            clock=self.clock,
            clients=self.nodes,
            kinds=[kind],
            phases=[Phase(2.0, {"a": 100.0})],
            check=check,
        )
        at = plan.next_arrival(kind, 0.0)
        while at is not None:
            planned.append(at)
            at = plan.next_arrival(kind, at)
        sent = []
        for _ in range(2000):
            self.clock.advance(0.001)
            sent.append(len(self.nodes[0].requests))
        due = [
            sum(at <= (i + 1) / 1000 for at in planned) for i in range(2000)
        ]
        # The clock's sum of steps may differ from the plan in the last bit.
        self.assertTrue(
            all(abs(a - b) <= 1 for a, b in zip(sent, due, strict=True))
        )
        self.assertEqual(len(planned), results.kinds["a"].sent)
        self.assertGreater(len(planned), 150)

    def test_the_seed_decides_the_times_whatever_is_answered(self):
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

    def test_a_late_start_of_the_process_sends_what_is_due(self):
        results = self.start(LoadKind("a"), rate=100.0, seconds=1.0)
        self.clock.advance(5.0)
        self.assertGreater(results.kinds["a"].sent, 60)


class LatencyTest(LoadTestCase):
    """Guards against latency that leaves out waiting in the generator."""

    def test_counts_from_the_intended_time(self):
        found = self.start(LoadKind("a", timeout=10.0)).kinds["a"]
        self.clock.advance(3.0)
        self.nodes[0].answer(0)
        intended = self.ended[0].intended
        self.assertLess(intended, 1.0)
        self.assertEqual(1, found.latency.get_total_count())
        measured = found.latency.get_max_value() / 1e6
        self.assertAlmostEqual(3.0 - intended, measured, delta=0.01)

    def test_an_answer_past_the_timeout_is_not_in_time(self):
        found = self.start(LoadKind("a", timeout=1.0)).kinds["a"]
        self.clock.advance(5.0)
        self.assertGreater(found.sent, 1)
        self.assertEqual(found.sent, found.timeouts)
        self.assertEqual([], self.nodes[0].requests)


class CountTest(LoadTestCase):
    """Guards against results that count an outcome twice or not at all."""

    def test_whole_answers(self):
        kind = LoadKind("a", importance="critical")
        found = self.first(kind)
        self.nodes[0].answer()
        self.assertEqual((1, 1), (found.sent, found.whole))
        results = self.load.results
        self.assertEqual(1, sum(results.good["critical"]))
        self.assertEqual(1, sum(results.goodput["critical"]))
        self.assertEqual(1, sum(results.offered["critical"]))

    def test_answers_of_other_requests_are_wrong(self):
        found = self.first(LoadKind("a"))
        self.nodes[0].answer(body=b"/other")
        self.assertEqual((1, 0), (found.wrong, found.whole))

    def test_damaged_answers_are_wrong(self):
        found = self.first(LoadKind("a"))
        self.nodes[0].requests[0][1].errback(BadResponse("truncated"))
        self.assertEqual((1, 0), (found.wrong, found.whole))

    def test_refusals_by_code_and_verdict(self):
        found = self.first(LoadKind("a"))
        self.nodes[0].refuse("overloaded", b"not-run")
        self.assertEqual({("overloaded", "not-run"): 1}, found.refused)
        self.assertEqual("not-run", self.ended[0].last.verdict)

    def test_a_refusal_without_problem_details(self):
        found = self.first(LoadKind("a"))
        self.nodes[0].requests[0][1].callback(HttpResponse(500, (), b"oops"))
        self.assertEqual({("status-500", "none"): 1}, found.refused)

    def test_timeouts_and_errors(self):
        found = self.first(LoadKind("a", timeout=1.0), seconds=0.3)
        self.nodes[0].requests[0][1].errback(ConnectionRefusedError())
        self.assertEqual({"ConnectionRefusedError": 1}, found.errors)
        for _ in range(20):
            self.clock.advance(0.1)
        self.assertEqual(found.sent, found.timeouts + 1)
        self.assertEqual(found.timeouts, self.nodes[0].cancelled)

    def test_ends_when_the_last_request_has_ended(self):
        self.start(LoadKind("a", timeout=1.0), seconds=0.5)
        results = []
        self.done.addCallback(results.append)
        for _ in range(6):
            self.clock.advance(0.1)
        self.assertEqual([], results)
        for _ in range(15):
            self.clock.advance(0.1)
        self.assertEqual([self.load.results], results)
        found = results[0].as_dict()["kinds"]["a"]
        self.assertEqual(found["sent"], found["timeouts"])


class KeyTest(LoadTestCase):
    """Guards against requests without the key that their kind needs."""

    def test_fetches_a_key_and_sends_it(self):
        found = self.first(LoadKind("a", needs_key=True))
        node = self.nodes[0]
        self.assertEqual(["/flamingosail/keys"], node.targets)
        node.issue(b"k-1")
        self.assertIn(b"Idempotency-Key: k-1\r\n", node.requests[1][0])
        node.answer()
        self.assertEqual((1, 1), (found.whole, found.attempts))

    def test_a_refused_key_ends_the_request(self):
        found = self.first(LoadKind("a", needs_key=True))
        self.nodes[0].refuse("shutting-down", b"not-run")
        self.assertEqual({("shutting-down", "not-run"): 1}, found.refused)


class RetryTest(LoadTestCase):
    """Guards against callers that retry less hard than they are meant to."""

    def test_repeats_at_once_at_the_next_node_with_the_same_key(self):
        kind = LoadKind("a", needs_key=True)
        found = self.first(kind, nodes=2, retries=2)
        first, second = self.nodes
        if not first.requests:
            first, second = second, first
        first.issue(b"k-1")
        target = first.targets[1]
        first.refuse("overloaded", b"not-run")
        self.assertEqual([target], second.targets)
        self.assertIn(b"Idempotency-Key: k-1\r\n", second.requests[0][0])
        second.refuse("overloaded", b"not-run")
        self.assertEqual(target, first.targets[-1])
        first.refuse("no-server", b"not-run")
        self.assertEqual({("no-server", "not-run"): 1}, found.refused)
        self.assertEqual(3, found.attempts)
        self.assertEqual(1, len(self.ended))

    def test_gives_up_a_silent_attempt(self):
        kind = LoadKind("a", timeout=1.0)
        found = self.first(
            kind, nodes=2, retries=9, attempt_timeout=0.4, rate=2.0
        )
        for _ in range(11):
            self.clock.advance(0.1)
        attempts = sum(len(node.requests) for node in self.nodes)
        self.assertGreaterEqual(attempts, 3)
        self.assertEqual(1, found.timeouts)

    def test_a_whole_answer_ends_the_repeats(self):
        found = self.first(LoadKind("a"), retries=5, rate=1.0)
        self.nodes[0].refuse("overloaded", b"not-run")
        self.nodes[0].answer()
        self.assertEqual((2, 1), (found.attempts, found.whole))
        self.assertEqual(2, len(self.nodes[0].requests))
