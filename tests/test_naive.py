"""Runs the same faults against the naive version and the package.

The assertions on the naive version show that each fault does harm.
"""

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


def make_kind(service, importance="normal", **fields):
    return {
        "service": service,
        "importance": importance,
        "idempotent": True,
        "timeout_ms": 2000,
        **fields,
    }


def make_manifest(kinds):
    services = {kind["service"]: {} for kind in kinds.values()}
    return {"services": services, "kinds": kinds}


def run_on_both(experiment):
    """Return the result of an experiment for each version by name."""
    return {name: experiment(path) for name, path in PATHS.items()}


def drop_answers(source, destination, message):
    return None if isinstance(message, CallAnswer) else 0.001


class BoundedAttemptsTest(TestCase):
    """Guards guarantee 1: attempts multiply if every hop retries."""

    def count_runs(self, path):
        kinds = {f"hop{i}": make_kind(f"s{i}") for i in range(4)}
        cluster = Cluster(
            {"edge": 1, **{f"s{i}": 3 for i in range(4)}},
            manifest=make_manifest(kinds),
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
        runs = run_on_both(self.count_runs)
        self.assertGreater(runs["naive"], 81, runs)
        # One attempt and max_retries, 3 by default.
        self.assertLessEqual(runs["ours"], 1 + 3, runs)


class KeyTest(TestCase):
    """Guards guarantees 4 and 5 when the network drops all answers."""

    def run_scenario(self, path):
        cluster = Cluster({"histbook": 2, "retire-svc": 3}, add_path=path)
        cluster.delay = drop_answers
        key = cluster.nodes["histbook-0"].entrance.issue_key()
        first = cluster.send("histbook-0", "retire", "/1", key=key)
        cluster.advance(3.5, 0.01)
        cluster.send("histbook-0", "retire", "/1", key=key)
        cluster.advance(3.5, 0.01)
        return cluster.runs[("retire", "/1")], first[0].verdict

    def test_lost_answer_and_retry_by_the_caller(self):
        outcomes = run_on_both(self.run_scenario)
        self.assertEqual((6, Verdict.NOT_RUN), outcomes["naive"])
        self.assertEqual((1, Verdict.MAY_HAVE_RUN), outcomes["ours"])


class DuplicateTest(TestCase):
    """Guards guarantee 5 when every message is delivered twice."""

    def count_runs(self, path):
        cluster = Cluster({"histbook": 1, "retire-svc": 1}, add_path=path)
        transmit = cluster.network.transmit

        def send_twice(source, address, message):
            transmit(source, address, message)
            return transmit(source, address, message)

        cluster.network.transmit = send_twice
        key = cluster.nodes["histbook-0"].entrance.issue_key()
        cluster.send("histbook-0", "retire", "/1", key=key)
        cluster.advance(0.1)
        return cluster.runs[("retire", "/1")]

    def test_duplicated_messages(self):
        self.assertEqual({"naive": 2, "ours": 1}, run_on_both(self.count_runs))


class OverloadTest(TestCase):
    """Guards guarantee 2 and goodput during and after overload.

    One server with 4 slots and a service time of 40 ms serves 100 requests
    per second. The naive version runs for a shorter time, since its backlog
    grows without bound.
    """

    CAPACITY_PER_SECOND = 100
    LOAD_SECONDS = {add_naive_path: 1.2, add_call_path: 3.0}
    KINDS = {
        "check": make_kind("shop", "critical", timeout_ms=500),
        "browse": make_kind("shop", "low", timeout_ms=500),
    }

    def start_cluster(self, path):
        cluster = Cluster(
            {"edge": 1, "shop": 1},
            manifest=make_manifest(self.KINDS),
            slots=4,
            add_path=path,
        )
        cluster.nodes["shop-0"].backend.behaviour.seconds = 0.04
        self.sent = []
        return cluster

    def send_load(self, cluster, seconds, browse_rate, check_rate=20):
        """Send requests at fixed rates, in requests per second."""
        owed = Counter()
        for _ in range(round(seconds / STEP_SECONDS)):
            for kind, rate in (("check", check_rate), ("browse", browse_rate)):
                owed[kind] += rate * STEP_SECONDS
                while owed[kind] >= 1:
                    owed[kind] -= 1
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

    def count_good(self, kinds, since=0.0, until=99.0):
        """Count the requests sent in a period, and the good ones among them.

        A good request succeeded within its timeout of 0.5 s.
        """
        selected = [
            (started, ended)
            for kind, started, ended in self.sent
            if kind in kinds and since <= started < until
        ]
        good = sum(
            bool(ended)
            and ended[0][0].succeeded
            and ended[0][1] - started <= 0.5
            for started, ended in selected
        )
        return len(selected), good

    def run_overload(self, path, factor):
        cluster = self.start_cluster(path)
        seconds = self.LOAD_SECONDS[path]
        self.send_load(
            cluster, seconds, factor * self.CAPACITY_PER_SECOND - 20
        )
        cluster.advance(0.6, STEP_SECONDS)
        _, good = self.count_good(
            ("check", "browse"), since=0.7, until=seconds
        )
        checks, good_checks = self.count_good(("check",))
        share = good / ((seconds - 0.7) * self.CAPACITY_PER_SECOND)
        return round(share, 3), round(good_checks / checks, 3)

    def compare(self, factor):
        naive, ours = (self.run_overload(p, factor) for p in PATHS.values())
        results = f"naive {naive}, ours {ours}"
        self.assertLess(naive[0], 0.5, results)
        self.assertLess(naive[1], 0.5, results)
        self.assertGreaterEqual(ours[0], 0.95, results)
        self.assertGreaterEqual(ours[1], 0.999, results)

    def test_twice_the_capacity(self):
        self.compare(2)

    def test_four_times_the_capacity(self):
        self.compare(4)

    def test_ten_times_the_capacity(self):
        self.compare(10)

    def goodput_after_trigger(self, path):
        cluster = self.start_cluster(path)
        self.send_load(cluster, 1, 4 * self.CAPACITY_PER_SECOND)
        ended = cluster.clock.seconds()
        self.send_load(cluster, 3, 0.7 * self.CAPACITY_PER_SECOND)
        cluster.advance(0.6, STEP_SECONDS)
        sent, good = self.count_good(("check", "browse"), ended + 2, ended + 3)
        return good / sent

    def test_recovers_within_two_seconds_of_the_trigger(self):
        shares = run_on_both(self.goodput_after_trigger)
        self.assertLess(shares["naive"], 0.5, shares)
        self.assertGreaterEqual(shares["ours"], 0.99, shares)


class FastFailureTest(TestCase):
    """Guards against a server that attracts traffic because it fails fast."""

    def count_attempts_at_broken(self, path):
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

    def test_fast_failures_do_not_attract_traffic(self):
        attempts = run_on_both(self.count_attempts_at_broken)
        self.assertGreaterEqual(attempts["naive"], 100, attempts)
        self.assertLessEqual(attempts["ours"], 20, attempts)


class SlowDeepServiceTest(TestCase):
    """Guards the goodput of requests that don't call a slow deep service."""

    KINDS = {
        "page": make_kind("front", "low", timeout_ms=500),
        "deep": make_kind("deep", "low", timeout_ms=500),
        "light": make_kind("front", "high", timeout_ms=500),
    }

    def run_scenario(self, path):
        cluster = Cluster(
            {"edge": 1, "front": 1, "deep": 1},
            manifest=make_manifest(self.KINDS),
            slots=8,
            add_path=path,
        )
        front = cluster.nodes["front-0"].backend.behaviour
        front.seconds, front.steps = 0.005, {"page": [call("deep", "/")]}
        cluster.nodes["deep-0"].backend.behaviour.seconds = 0.4
        light_results = []
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
                    light_results.append(ended)
            cluster.advance(STEP_SECONDS, STEP_SECONDS)
        cluster.advance(0.6, STEP_SECONDS)
        good = sum(ended == [True] for ended in light_results)
        return round(good / len(light_results), 3), cluster.runs[("deep", "/")]

    def test_other_requests_succeed_beside_a_slow_deep_service(self):
        outcomes = run_on_both(self.run_scenario)
        self.assertLess(outcomes["naive"][0], 0.5, outcomes)
        self.assertGreaterEqual(outcomes["ours"][0], 0.95, outcomes)


class LeavingServerTest(TestCase):
    """Guards guarantee 6 while member tables still show the server ready."""

    def count_runs(self, path):
        cluster = Cluster({"edge": 1, "gatekeeper": 3}, add_path=path)
        leaving = cluster.nodes["gatekeeper-0"]
        leaving.ingress.draining = True
        leaving.backend.runs = Counter()
        for number in range(300):
            cluster.send("edge-0", "gate-check", f"/{number}")
            cluster.advance(0.004, STEP_SECONDS)
        return sum(leaving.backend.runs.values())

    def test_answers_of_a_draining_server_stop_its_traffic(self):
        runs = run_on_both(self.count_runs)
        self.assertEqual(100, runs["naive"], runs)
        self.assertLessEqual(runs["ours"], 10, runs)
