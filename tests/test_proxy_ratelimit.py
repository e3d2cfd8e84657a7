"""Tests of what a backend server asks of its callers in its responses."""

from testtools import TestCase
from twisted.internet.testing import MemoryReactorClock

from flamingosail.proxy.policy.ratelimit import RAISE_DELAY_SECONDS
from flamingosail.proxy.transport.hop import Outcome
from flamingosail.proxy.transport.hop import ServerTerms
from tests.proxyfakes import FakePool
from tests.proxyfakes import make_gate
from tests.proxyfakes import make_job
from tests.proxyfakes import make_report
from tests.proxyfakes import make_response

LIMIT_PER_SECOND = 12.0
# The platform tolerates this many times the limit, and this many more
# requests, in each window, once the server has stated it for long enough.
TOLERATED_RATIO = 1.5
TOLERATED_REQUESTS = 5
WINDOW_SECONDS = 4.0
STABILITY_SECONDS = 3.0
DRAIN_SECONDS = 2.0
STEP_SECONDS = 0.01


def most_in_window(times: list[float]) -> int:
    """Return the largest number of times within WINDOW_SECONDS."""
    return max(
        (
            sum(start <= time < start + WINDOW_SECONDS for time in times)
            for start in times
        ),
        default=0,
    )


class LimitedServerCase(TestCase):
    """A gate whose server answers each request after a fixed time."""

    service_seconds = 0.25

    def setUp(self):
        super().setUp()
        self.clock = MemoryReactorClock()
        self.pool = FakePool()
        self.gate = make_gate(self.clock, pool=self.pool)
        self.gate.server.handle_report(make_report(slots=50))
        self.addCleanup(self.gate.stop)
        self.ends = []
        self.sent_at = []
        self.answers = {"rate_limit": None, "leaving": False}
        self.answered = 0

    def run_load(self, seconds: float, per_second: float):
        """Submit requests at a rate and answer them in time."""
        arrivals = 0.0
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            now = self.clock.seconds()
            arrivals += per_second * STEP_SECONDS
            while arrivals >= 1:
                arrivals -= 1
                self.submit()
            while len(self.sent_at) < len(self.pool.sent):
                self.sent_at.append(now)
            while (
                self.answered < len(self.sent_at)
                and self.sent_at[self.answered] + self.service_seconds <= now
            ):
                request = self.pool.sent[self.answered]
                self.answered += 1
                if not request.done:
                    request.finish(make_response(**self.answers))

    def submit(self, **changes):
        number = len(self.ends) + len(self.gate.running) + self.gate.waiting
        self.gate.submit(
            make_job(
                self.ends,
                **{
                    "request_id": b"%d.%f" % (number, self.clock.seconds()),
                    "deadline": self.clock.seconds() + 1.0,
                    **changes,
                },
            )
        )

    def sent_after(self, start: float) -> list[float]:
        """Return the times of the requests sent from ``start`` on."""
        return [time for time in self.sent_at if time >= start]


class RateLimitTest(LimitedServerCase):
    """Guards against overloading a server that states its rate limit."""

    def test_a_server_gets_no_more_requests_than_its_stated_limit(self):
        """It got all requests that found a free slot."""
        self.run_load(2.0, 30.0)
        self.answers["rate_limit"] = LIMIT_PER_SECOND
        self.run_load(12.0, 30.0)
        sent = self.sent_after(2.0 + STABILITY_SECONDS)
        self.assertLessEqual(
            most_in_window(sent),
            TOLERATED_RATIO * LIMIT_PER_SECOND * WINDOW_SECONDS
            + TOLERATED_REQUESTS,
        )
        self.assertGreater(len(sent), 0.9 * 9.0 * LIMIT_PER_SECOND)

    def test_a_response_that_is_not_signed_does_not_lift_the_limit(self):
        self.answers["rate_limit"] = LIMIT_PER_SECOND
        self.run_load(1.0, 30.0)
        self.answers["rate_limit"] = None
        self.answers["signature"] = b""
        self.run_load(1.0, 30.0)
        self.assertEqual(LIMIT_PER_SECOND, self.gate.server.limiter.rate)
        del self.answers["signature"]
        self.run_load(1.0, 30.0)
        self.assertIsNone(self.gate.server.limiter.rate)

    def test_a_server_that_recovers_gets_more_after_a_delay(self):
        """It got 155 requests in 4 s after it had stated 18.7 a second."""
        self.answers["rate_limit"] = LIMIT_PER_SECOND
        self.run_load(1.0, 60.0)
        self.answers["rate_limit"] = 3 * LIMIT_PER_SECOND
        self.run_load(RAISE_DELAY_SECONDS - 1.0, 60.0)
        self.assertLessEqual(
            most_in_window(self.sent_after(STABILITY_SECONDS)),
            TOLERATED_RATIO * LIMIT_PER_SECOND * WINDOW_SECONDS
            + TOLERATED_REQUESTS,
        )
        self.run_load(2.0, 60.0)
        self.assertEqual(3 * LIMIT_PER_SECOND, self.gate.server.limiter.rate)
        self.answers["rate_limit"] = LIMIT_PER_SECOND
        self.run_load(1.0, 60.0)
        self.assertEqual(LIMIT_PER_SECOND, self.gate.server.limiter.rate)
        self.answers["rate_limit"] = None
        self.run_load(1.0, 60.0)
        self.assertIsNone(self.gate.server.limiter.rate)

    def test_a_limit_of_zero_lets_single_requests_ask_for_more(self):
        self.answers["rate_limit"] = 0.0
        self.run_load(10.0, 30.0)
        sent = self.sent_after(STABILITY_SECONDS)
        self.assertGreater(len(sent), 1)
        self.assertLessEqual(most_in_window(sent), TOLERATED_REQUESTS)

    def test_the_queue_keeps_its_order_under_a_limit(self):
        self.answers["rate_limit"] = 4.0
        self.run_load(1.0, 10.0)
        self.submit(request_id=b"order", rank=0, deadline=9.0)
        sent = len(self.pool.sent)
        self.run_load(0.3, 0.0)
        self.assertEqual(b"order", self.pool.sent[sent].request_id)

    def test_others_are_told_what_the_server_takes(self):
        changes = []
        self.gate.server.on_change = lambda: changes.append(1)
        self.answers["rate_limit"] = LIMIT_PER_SECOND
        self.run_load(6.0, 30.0)
        self.assertEqual(1, len(changes))
        # 12 requests a second of 0.25 s each.
        self.assertEqual(3, self.gate.capacity)

    def test_a_limit_in_some_responses_only_causes_few_messages(self):
        """Each response caused a message to all nodes."""
        changes = []
        self.gate.server.on_change = lambda: changes.append(1)
        for _ in range(100):
            for rate in (50.0, None):
                self.answers["rate_limit"] = rate
                self.run_load(0.02, 100.0)
        self.assertLessEqual(len(changes), 6)


class RestartTest(LimitedServerCase):
    """Guards against a gate that forgets the terms of its server.

    The nodes that passed them on to their clients are still bound by them.
    """

    def restart(self, terms: ServerTerms):
        """Replace the gate; another node connects before its requests."""
        self.pool = FakePool()
        self.gate = make_gate(self.clock, pool=self.pool)
        self.addCleanup(self.gate.stop)
        self.gate.server.recall(terms)

    def report(self, **changes):
        self.gate.server.handle_report(make_report(slots=50, **changes))

    def test_a_limit_holds_from_the_first_request_after_a_restart(self):
        """The server got as many requests as it has slots."""
        self.restart(ServerTerms("i-1", 1000, LIMIT_PER_SECOND, None))
        self.report()
        self.service_seconds = 2.0
        self.run_load(1.0, 30.0)
        self.assertLessEqual(len(self.sent_at), LIMIT_PER_SECOND + 1)

    def test_what_the_server_says_itself_takes_precedence(self):
        self.restart(ServerTerms("i-1", 1000, LIMIT_PER_SECOND, None))
        self.report()
        self.run_load(1.0, 30.0)
        self.assertIsNone(self.gate.server.limiter.rate)
        self.gate.server.recall(ServerTerms("i-1", 1000, 1.0, None))
        self.assertIsNone(self.gate.server.limiter.rate)

    def test_another_start_of_the_server_has_no_limit(self):
        self.restart(ServerTerms("i-1", 1000, LIMIT_PER_SECOND, -1.0))
        self.report(start_ms=2000)
        self.assertIsNone(self.gate.server.limiter.rate)
        self.assertEqual("ready", self.gate.server.state)

    def test_a_leaving_server_gets_nothing_after_a_restart(self):
        self.restart(ServerTerms("i-1", 1000, None, -0.5))
        self.report()
        self.submit()
        self.assertEqual([], self.pool.sent)

    def test_an_older_start_that_left_does_not_hide_a_newer_one(self):
        """A delayed report of the newer start made it ready again."""
        self.gate = make_gate(self.clock, pool=self.pool)
        self.gate.server.handle_deregistration("i-1", 2000)
        self.gate.server.recall(ServerTerms("i-1", 1000, None, -9.0))
        self.report(start_ms=2000)
        self.assertNotEqual("ready", self.gate.server.state)

    def test_many_nodes_that_recall_a_draining_cause_few_messages(self):
        """Each recall with an earlier time caused a message to all nodes."""
        self.restart(ServerTerms("i-1", 1000, None, 0.5))
        changes = []
        self.gate.server.on_change = lambda: changes.append(1)
        self.report()
        for number in range(400):
            remaining = 0.5 - number / 10_000
            self.gate.server.recall(ServerTerms("i-1", 1000, None, remaining))
        self.assertLessEqual(len(changes), 2)

    def test_a_leaving_server_is_drained_for_the_rest_of_its_time(self):
        self.restart(ServerTerms("i-1", 1000, None, 0.5))
        self.report()
        self.assertEqual("draining", self.gate.server.state)
        self.clock.advance(0.6)
        self.assertEqual("absent", self.gate.server.state)


class LeavingServerTest(LimitedServerCase):
    """Guards against requests to a server that said that it leaves."""

    def test_a_server_that_leaves_gets_nothing_after_its_drain_time(self):
        """Only what it reported to its node counted, not its responses."""
        self.run_load(2.0, 30.0)
        self.answers["leaving"] = True
        self.run_load(6.0, 30.0)
        first_answer = 2.0 + STEP_SECONDS
        self.assertEqual([], self.sent_after(first_answer + DRAIN_SECONDS))
        self.assertEqual(Outcome.REFUSED, self.ends[-1][1])

    def test_a_later_report_does_not_undo_that_it_leaves(self):
        self.answers["leaving"] = True
        self.run_load(1.0, 30.0)
        self.gate.server.handle_report(make_report(slots=50, sequence=2))
        self.assertEqual("draining", self.gate.server.state)

    def test_the_successor_of_a_server_that_leaves_is_used(self):
        """A response of the former server arrives after its successor's."""
        self.submit()
        self.gate.server.handle_report(make_report(start_ms=2000))
        self.pool.sent[0].finish(make_response(leaving=True, rate_limit=1.0))
        self.assertEqual("ready", self.gate.server.state)
        self.assertIsNone(self.gate.server.limiter.rate)

    def test_the_server_that_has_taken_over_the_address_does_not_count(self):
        self.submit()
        self.pool.sent[0].finish(make_response(status=421, leaving=True))
        self.assertEqual("ready", self.gate.server.state)
