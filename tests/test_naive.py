"""The same faults against the naive version and the package."""

from collections import Counter

from testtools import TestCase

from baseline.naive import add_naive_path
from flamingosail.messages import CallAnswer
from flamingosail.node import add_call_path
from flamingosail.request import Request
from flamingosail.verdict import Verdict
from tests.fakes import Cluster

STEP_SECONDS = 0.002
PATHS = {"naive": add_naive_path, "ours": add_call_path}


def call(kind, target):
    return Request(kind=kind, method="GET", target=target)


def kind_of(service, importance="normal", **fields):
    return {
        "service": service,
        "importance": importance,
        "idempotent": True,
        "timeout_ms": 2000,
        **fields,
    }


def document(kinds):
    services = {kind["service"]: {} for kind in kinds.values()}
    return {"services": services, "kinds": kinds}


def on_both(experiment):
    """Return the results of an experiment by version."""
    return {name: experiment(path) for name, path in PATHS.items()}


def lost_answers(source, destination, message):
    return None if isinstance(message, CallAnswer) else 0.001


class BoundedAttemptsTest(TestCase):
    """Guards guarantee 1 against retries that multiply at every hop."""

    def runs(self, path):
        kinds = {f"hop{i}": kind_of(f"s{i}") for i in range(4)}
        cluster = Cluster(
            {"edge": 1, **{f"s{i}": 3 for i in range(4)}},
            manifest=document(kinds),
            add_path=path,
        )
        for node in cluster.nodes.values():
            behaviour = node.backend.behaviour
            behaviour.seconds = 0.002
            behaviour.repeats = 2
            behaviour.steps = {
                f"hop{i}": [call(f"hop{i + 1}", "/")] for i in range(3)
            }
            if node.record.service == "s3":
                behaviour.status = 500
        cluster.send("edge-0", "hop0")
        cluster.advance(2, STEP_SECONDS)
        return cluster.runs[("hop3", "/")]

    def test_failing_service_four_deep(self):
        runs = on_both(self.runs)
        self.assertGreater(runs["naive"], 81, runs)
        # max_retries is 3 by default.
        self.assertLessEqual(runs["ours"], 1 + 3, runs)


class KeyTest(TestCase):
    """Guards guarantees 4 and 5 against a lost answer."""

    def outcome(self, path):
        cluster = Cluster({"histbook": 2, "retire-svc": 3}, add_path=path)
        cluster.delay = lost_answers
        key = cluster.nodes["histbook-0"].entrance.issue_key()
        first = cluster.send("histbook-0", "retire", "/1", key=key)
        cluster.advance(3.5, 0.01)
        cluster.send("histbook-0", "retire", "/1", key=key)
        cluster.advance(3.5, 0.01)
        return cluster.runs[("retire", "/1")], first[0].verdict

    def test_lost_answer_and_repeat_by_the_caller(self):
        outcomes = on_both(self.outcome)
        self.assertEqual((6, Verdict.NOT_RUN), outcomes["naive"])
        self.assertEqual((1, Verdict.MAY_HAVE_RUN), outcomes["ours"])


class DuplicateTest(TestCase):
    """Guards guarantee 5 against messages that arrive twice."""

    def runs(self, path):
        cluster = Cluster({"histbook": 1, "retire-svc": 1}, add_path=path)
        carry = cluster.network.transmit

        def carry_twice(source, address, message):
            carry(source, address, message)
            return carry(source, address, message)

        cluster.network.transmit = carry_twice
        key = cluster.nodes["histbook-0"].entrance.issue_key()
        cluster.send("histbook-0", "retire", "/1", key=key)
        cluster.advance(0.1)
        return cluster.runs[("retire", "/1")]

    def test_duplicated_messages(self):
        self.assertEqual({"naive": 2, "ours": 1}, on_both(self.runs))


class OverloadTest(TestCase):
    """Guards guarantee 2 and goodput under and after overload.

    One server with 4 slots of 40 ms serves 100 requests a second. The naive
    version runs for a shorter time, since its work grows without bound.
    """

    CAPACITY = 100
    SECONDS = {add_naive_path: 1.2, add_call_path: 3.0}
    KINDS = {
        "check": kind_of("shop", "critical", timeout_ms=500),
        "browse": kind_of("shop", "low", timeout_ms=500),
    }

    def start(self, path):
        cluster = Cluster(
            {"edge": 1, "shop": 1},
            manifest=document(self.KINDS),
            slots=4,
            add_path=path,
        )
        cluster.nodes["shop-0"].backend.behaviour.seconds = 0.04
        self.sent = []
        return cluster

    def load(self, cluster, seconds, browse_rate, check_rate=20):
        """Send requests at fixed rates for some seconds."""
        due = Counter()
        for _ in range(round(seconds / STEP_SECONDS)):
            for kind, rate in (("check", check_rate), ("browse", browse_rate)):
                due[kind] += rate * STEP_SECONDS
                while due[kind] >= 1:
                    due[kind] -= 1
                    self.submit(cluster, kind)
            cluster.advance(STEP_SECONDS, STEP_SECONDS)

    def submit(self, cluster, kind):
        target = f"/{len(self.sent)}"
        started = cluster.clock.seconds()
        ended = []
        done = cluster.nodes["edge-0"].entrance.submit(call(kind, target))
        done.addCallback(
            lambda answer: ended.append((answer, cluster.clock.seconds()))
        )
        self.sent.append((kind, started, ended))

    def good(self, kinds, since=0.0, until=99.0):
        """Return sent and good requests; good ones are whole and in time."""
        chosen = [
            (started, ended)
            for kind, started, ended in self.sent
            if kind in kinds and since <= started < until
        ]
        good = sum(
            bool(ended)
            and ended[0][0].succeeded
            and ended[0][1] - started <= 0.5
            for started, ended in chosen
        )
        return len(chosen), good

    def overload(self, path, factor):
        cluster = self.start(path)
        seconds = self.SECONDS[path]
        self.load(cluster, seconds, factor * self.CAPACITY - 20)
        cluster.advance(0.6, STEP_SECONDS)
        _, good = self.good(("check", "browse"), since=0.7, until=seconds)
        checks, good_checks = self.good(("check",))
        share = good / ((seconds - 0.7) * self.CAPACITY)
        return round(share, 3), round(good_checks / checks, 3)

    def compare(self, factor):
        naive, ours = (self.overload(p, factor) for p in PATHS.values())
        figures = f"naive {naive}, ours {ours}"
        self.assertLess(naive[0], 0.5, figures)
        self.assertLess(naive[1], 0.5, figures)
        self.assertGreaterEqual(ours[0], 0.95, figures)
        self.assertGreaterEqual(ours[1], 0.999, figures)

    def test_twice_the_capacity(self):
        self.compare(2)

    def test_four_times_the_capacity(self):
        self.compare(4)

    def test_ten_times_the_capacity(self):
        self.compare(10)

    def after_trigger(self, path):
        cluster = self.start(path)
        self.load(cluster, 1, 4 * self.CAPACITY)
        ended = cluster.clock.seconds()
        self.load(cluster, 3, 0.7 * self.CAPACITY)
        cluster.advance(0.6, STEP_SECONDS)
        sent, good = self.good(("check", "browse"), ended + 2, ended + 3)
        return good / sent

    def test_recovers_within_two_seconds_of_the_trigger(self):
        shares = on_both(self.after_trigger)
        self.assertLess(shares["naive"], 0.5, shares)
        self.assertGreaterEqual(shares["ours"], 0.99, shares)


class FastFailureTest(TestCase):
    """Guards against a server that fails fast and draws the traffic."""

    def attempts_at_broken(self, path):
        cluster = Cluster({"edge": 1, "gatekeeper": 4}, add_path=path)
        for node in cluster.nodes.values():
            node.backend.behaviour.seconds = 0.02
        broken = cluster.nodes["gatekeeper-0"].backend
        broken.behaviour.seconds, broken.behaviour.status = 0.001, 500
        broken.runs = Counter()
        for number in range(400):
            cluster.send("edge-0", "gate-check", f"/{number}")
            cluster.advance(0.004, STEP_SECONDS)
        cluster.advance(1, 0.01)
        return sum(broken.runs.values())

    def test_fast_failures_do_not_draw_traffic(self):
        attempts = on_both(self.attempts_at_broken)
        self.assertGreaterEqual(attempts["naive"], 100, attempts)
        self.assertLessEqual(attempts["ours"], 20, attempts)


class SlowDeepServiceTest(TestCase):
    """Guards goodput of other requests when a deep service is slow."""

    KINDS = {
        "page": kind_of("front", "low", timeout_ms=500),
        "deep": kind_of("deep", "low", timeout_ms=500),
        "light": kind_of("front", "high", timeout_ms=500),
    }

    def outcome(self, path):
        cluster = Cluster(
            {"edge": 1, "front": 1, "deep": 1},
            manifest=document(self.KINDS),
            slots=8,
            add_path=path,
        )
        front = cluster.nodes["front-0"].backend.behaviour
        front.seconds, front.steps = 0.005, {"page": [call("deep", "/")]}
        cluster.nodes["deep-0"].backend.behaviour.seconds = 0.4
        lights = []
        for tick in range(1500):
            if tick % 5 == 0:
                cluster.send("edge-0", "page", f"/{tick}")
            if tick % 10 == 0:
                sent = cluster.clock.seconds()
                ended = []
                request = call("light", f"/{tick}")
                done = cluster.nodes["edge-0"].entrance.submit(request)
                done.addCallback(
                    lambda a, ended=ended, sent=sent: ended.append(
                        a.succeeded and cluster.clock.seconds() - sent <= 0.5
                    )
                )
                if tick >= 500:
                    lights.append(ended)
            cluster.advance(STEP_SECONDS, STEP_SECONDS)
        cluster.advance(0.6, STEP_SECONDS)
        good = sum(ended == [True] for ended in lights)
        return round(good / len(lights), 3), cluster.runs[("deep", "/")]

    def test_light_requests_pass_by_a_slow_deep_service(self):
        outcomes = on_both(self.outcome)
        self.assertLess(outcomes["naive"][0], 0.5, outcomes)
        self.assertGreaterEqual(outcomes["ours"][0], 0.95, outcomes)


class LeavingServerTest(TestCase):
    """Guards guarantee 6 while the member tables still call it ready."""

    def runs(self, path):
        cluster = Cluster({"edge": 1, "gatekeeper": 3}, add_path=path)
        leaving = cluster.nodes["gatekeeper-0"]
        leaving.ingress.draining = True
        leaving.backend.runs = Counter()
        for number in range(300):
            cluster.send("edge-0", "gate-check", f"/{number}")
            cluster.advance(0.004, STEP_SECONDS)
        return sum(leaving.backend.runs.values())

    def test_answers_of_a_leaving_server_end_its_traffic(self):
        runs = on_both(self.runs)
        self.assertEqual(100, runs["naive"], runs)
        self.assertLessEqual(runs["ours"], 10, runs)
