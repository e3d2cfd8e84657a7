"""Property tests of the guarantees in docs/design.md under faults."""

import logging
from dataclasses import replace
from random import Random

from hypothesis import example
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from testtools import TestCase
from twisted.logger import globalLogPublisher
from twisted.logger import LogLevel

from flamingosail.keys import KeyState
from flamingosail.request import Request
from flamingosail.verdict import Verdict
from tests.fakes import Behaviour
from tests.faultycluster import FaultyCluster

logging.getLogger("twisted").setLevel(logging.CRITICAL)

MAX_CALLS = 14
MAX_RETRIES = 2
TIMEOUT_MS = 600
# Two clock steps and the longest delay of a message that is not lost.
MAX_LATENESS_SECONDS = 0.02
STEP_SECONDS = 0.004
SERVERS = {"front": 2, "mid": 2, "deep": 2, "leaf": 2}
NODES = [f"{service}-{i}" for service in SERVERS for i in range(2)]


def _kind(service, idempotent=True, importance="normal", **fields):
    return {
        "service": service,
        "importance": importance,
        "idempotent": idempotent,
        "timeout_ms": TIMEOUT_MS,
        "max_calls": MAX_CALLS,
        "max_retries": MAX_RETRIES,
        **fields,
    }


MANIFEST = {
    "services": {service: {} for service in SERVERS},
    "kinds": {
        "page": _kind("front"),
        "part": _kind("mid"),
        "item": _kind("deep"),
        "bit": _kind("leaf"),
        "order": _kind("front", False, "critical", trust_refusal=True),
        "charge": _kind("mid", False, "critical", trust_refusal=True),
        "book": _kind("deep", False, "critical", trust_refusal=True),
        "entry": _kind("leaf", False, "critical"),
    },
}


def _call(kind, target, key=None):
    return Request(kind=kind, method="POST", target=target, key=key)


# Calls made by each kind: four hops deep, with a fan-out of two at the first
# two hops.
STEPS = {
    "page": [_call("part", "/p1"), _call("part", "/p2")],
    "part": [_call("item", "/i1"), _call("item", "/i2")],
    "item": [_call("bit", "/b")],
    "order": [_call("charge", "/c1", "1"), _call("charge", "/c2", "2")],
    "charge": [_call("book", "/k", "1"), _call("item", "/i")],
    "book": [_call("entry", "/e", "1")],
}

nodes = st.sampled_from(NODES)
indexes = st.integers(0, 30)
behaviours = st.builds(
    dict,
    seconds=st.sampled_from([0.002, 0.01, 0.05, 0.4]),
    status=st.sampled_from([200, 200, 200, 500]),
    refuse=st.sampled_from([False, False, True]),
    silent=st.sampled_from([False, False, False, True]),
    repeats=st.sampled_from([1, 2, 4]),
)
requests = st.one_of(
    st.tuples(st.just("order"), nodes, st.sampled_from([None, 50, 200])),
    st.tuples(st.just("page"), nodes, st.sampled_from([None, 50, 200])),
    st.tuples(st.just("repeat"), nodes, indexes, st.sampled_from([None, 50])),
    st.tuples(st.just("cancel"), indexes),
)
network_faults = st.one_of(
    st.tuples(
        st.just("rates"),
        st.sampled_from([0.0, 0.05, 0.3]),
        st.sampled_from([0.0, 0.3, 1.0]),
        st.sampled_from([0.0, 0.1]),
        st.sampled_from([0.001, 0.02, 0.4, 1.5]),
    ),
    st.tuples(st.just("silence"), nodes, nodes),
    st.tuples(st.just("partition"), st.sets(nodes, max_size=4)),
    st.tuples(st.just("heal")),
)
node_faults = st.one_of(
    st.tuples(st.just("freeze"), nodes),
    st.tuples(st.just("resume"), nodes),
    st.tuples(st.just("replace"), nodes),
    st.tuples(st.just("remove"), nodes),
    st.tuples(st.just("restore"), nodes),
    st.tuples(st.just("close"), nodes, st.booleans()),
    st.tuples(st.just("behave"), nodes, behaviours),
)
events = st.tuples(
    st.sampled_from([0, 1, 5, 30]),
    st.one_of(requests, requests, requests, network_faults, node_faults),
)


def dense_schedule(seed: int) -> list:
    """Return a long schedule in which most events are requests."""
    random = Random(seed)

    def node():
        return random.choice(NODES)

    def timeout():
        return random.choice([None, None, 50, 200])

    def choose(*choices):
        return random.choice(choices)

    faults = {
        "rates": lambda: (
            choose(0.0, 0.02, 0.2),
            choose(0.0, 0.3, 1.0),
            choose(0.0, 0.02),
            choose(0.001, 0.02, 0.2, 1.5),
        ),
        "silence": lambda: (node(), node()),
        "partition": lambda: (set(random.sample(NODES, 4)),),
        "heal": lambda: (),
        "freeze": lambda: (node(),),
        "resume": lambda: (node(),),
        "replace": lambda: (node(),),
        "remove": lambda: (node(),),
        "restore": lambda: (node(),),
        "close": lambda: (node(), choose(True, False, False)),
        "behave": lambda: (
            node(),
            {
                "seconds": choose(0.002, 0.01, 0.05, 0.4),
                "status": choose(200, 200, 500),
                "refuse": choose(False, False, True),
                "silent": choose(False, False, False, True),
                "repeats": choose(1, 2, 4),
            },
        ),
    }
    calls = {
        "order": lambda: (node(), timeout()),
        "page": lambda: (node(), timeout()),
        "repeat": lambda: (node(), random.randrange(50), timeout()),
        "cancel": lambda: (random.randrange(50),),
    }
    # Few kinds of fault per schedule, so that they do not mask each other.
    chosen = random.sample(sorted(faults), random.randint(1, 4))
    schedule = []
    for _ in range(80):
        if random.random() < 0.2:
            name = random.choice(chosen)
            fields = faults[name]()
        else:
            name = random.choices(list(calls), [3, 3, 3, 1])[0]
            fields = calls[name]()
        schedule.append((choose(0, 1, 2, 6), (name, *fields)))
    return schedule


class FaultScenario:
    """Plays a schedule of requests and faults and checks the guarantees."""

    def __init__(self, seed: int):
        self.cluster = FaultyCluster(
            SERVERS, seed=seed, manifest=MANIFEST, slots=4
        )
        self.request_count = 0
        for name in NODES:
            self.behave(name, {})

    def play(self, schedule):
        with self.cluster.count_attempts():
            for steps, event in schedule:
                getattr(self, event[0])(*event[1:])
                self.cluster.advance(steps * STEP_SECONDS, STEP_SECONDS)
                self.check_runs()
            self.cluster.heal()
            self.cluster.advance(2.0, STEP_SECONDS)

    # Events

    def order(self, name, timeout_ms):
        entrance = self.cluster.nodes[name].kernel.get("entrance")
        self.send(name, "order", timeout_ms, entrance.issue_key())

    def page(self, name, timeout_ms):
        self.send(name, "page", timeout_ms, None)

    def send(self, name, kind, timeout_ms, key):
        self.request_count += 1
        request = _call(kind, f"/{self.request_count}", key)
        self.cluster.submit(name, replace(request, timeout_ms=timeout_ms))

    def repeat(self, name, index, timeout_ms):
        keyed = [s for s in self.cluster.submissions if s.request.key]
        if keyed:
            request = keyed[index % len(keyed)].request
            self.cluster.submit(name, replace(request, timeout_ms=timeout_ms))

    def cancel(self, index):
        sent = [s for s in self.cluster.submissions if s.done is not None]
        if sent:
            submission = sent[index % len(sent)]
            submission.cancelled = True
            submission.process.run(submission.done.cancel)

    def rates(self, loss, duplication, damage, max_delay):
        cluster = self.cluster
        cluster.loss, cluster.duplication = loss, duplication
        cluster.damage, cluster.max_delay = damage, max_delay

    def silence(self, source, destination):
        self.cluster.blocked_links.add((source, destination))

    def partition(self, half):
        self.cluster.partition(half)

    def heal(self):
        self.cluster.heal()

    def freeze(self, name):
        self.cluster.freeze(name)

    def resume(self, name):
        self.cluster.resume(name)

    def replace(self, name):
        self.cluster.replace_node(name)
        self.behave(name, {})

    def remove(self, name):
        self.cluster.remove_live_member(name)

    def restore(self, name):
        self.cluster.restore_member(name)

    def close(self, name, closed):
        node = self.cluster.nodes[name]
        node.kernel.get("entrance").closed = closed
        node.kernel.get("ingress").closed = closed

    def behave(self, name, fields):
        backend = self.cluster.nodes[name].backend
        backend.behaviour = Behaviour(steps=STEPS, **fields)

    # Checks

    def check_runs(self):
        """Check that a non-idempotent request runs at most once."""
        kinds = MANIFEST["kinds"]
        for (kind, target), runs in self.cluster.runs.items():
            if runs > 1 and not kinds[kind]["idempotent"]:
                raise AssertionError(f"{kind} {target} ran {runs} times")

    def check_refusals(self):
        """Check that a not-run is true when answered and stays true."""
        cluster = self.cluster
        last = {}
        for sent in cluster.submissions + cluster.child_submissions:
            if sent.request.key is not None or sent in cluster.submissions:
                last[sent.request.kind, sent.request.target] = sent
            for answer, runs in zip(
                sent.answers, sent.runs_when_answered, strict=True
            ):
                idempotent = MANIFEST["kinds"][sent.request.kind]["idempotent"]
                child = sent in cluster.child_submissions
                if answer.verdict is Verdict.NOT_RUN and not (
                    child and idempotent
                ):
                    assert runs == 0, f"{sent.request} had run: {answer}"
        self.check_no_late_run(last)

    def check_no_late_run(self, last):
        """Check that a request that ended only in not-run never runs later."""
        for target in last:
            earlier = [
                s
                for s in self.cluster.submissions
                + self.cluster.child_submissions
                if (s.request.kind, s.request.target) == target
            ]
            verdicts = [a.verdict for s in earlier for a in s.answers]
            # A submission with another verdict may still be in progress; see
            # LateForwardTest.
            if (
                len(verdicts) == len(earlier)
                and set(verdicts) == {Verdict.NOT_RUN}
                and MANIFEST["kinds"][target[0]]["idempotent"] is False
            ):
                runs = self.cluster.runs[target]
                assert runs == 0, f"{target} ran after not-run"

    def check_answers(self):
        """Check for one timely answer each, and none of another request."""
        for sent in self.cluster.submissions + self.cluster.child_submissions:
            if sent.process.dead or sent.sent_at is None:
                continue
            assert len(sent.answers) == 1, f"{sent.answers} for {sent}"
            [answer], [ended] = sent.answers, sent.ended_at
            if answer.refusal is None:
                assert answer.body == sent.request.target.encode(), sent
            limit_ms = min(sent.request.timeout_ms or TIMEOUT_MS, TIMEOUT_MS)
            due = self.end_of_freeze(
                sent.process, sent.sent_at + limit_ms / 1000
            )
            assert ended <= due + MAX_LATENESS_SECONDS, (
                f"{ended - due:.3f} s late: {sent.request} {answer}"
            )

    def end_of_freeze(self, gate, moment):
        """Return a time, or the end of the freeze that it falls in."""
        for span in self.cluster.freeze_intervals[gate]:
            start, *end = span
            if end and start <= moment <= end[0] + MAX_LATENESS_SECONDS:
                moment = end[0]
        return moment

    def check_attempts(self):
        """Check the limits on attempts and retries of a root over all hops."""
        for root, attempts in self.cluster.attempts.items():
            assert attempts <= MAX_CALLS, f"{root}: {attempts} attempts"
        for root, repeated in self.cluster.retries.items():
            assert repeated <= MAX_RETRIES, f"{root}: {repeated} retries"

    def check_tables(self):
        """Check that no state and no timer is left when all requests ended."""
        for name, node in self.cluster.nodes.items():
            get = node.kernel.get
            ingress, keys = get("ingress"), get("keys")
            tables = {
                "open calls": get("exchange").open_calls,
                "serving": ingress.serving,
                "remote": ingress.remote_calls,
                "queue": ingress.queue.size,
                "calls": get("egress").calls,
                "retry requests": get("retries").pending,
                "pools": set(get("retries").remaining) - set(keys.entries),
                "waiters": [e for e in keys.entries.values() if e.waiters],
                "running": [
                    e
                    for e in keys.entries.values()
                    if e.state is KeyState.RUNNING
                ],
                "in flight": [
                    s for s in get("router").stats.values() if s.in_flight
                ],
                "limit": ingress.limit.in_flight,
            }
            left = {label: table for label, table in tables.items() if table}
            assert not left, f"{name}: {left}"
        for kernel in self.cluster.kernels:
            kernel.get("pause").stop()
        calls = self.cluster.clock.getDelayedCalls()
        assert not calls, f"delayed calls: {calls}"

    def check(self):
        self.check_runs()
        self.check_refusals()
        self.check_answers()
        self.check_attempts()
        self.check_tables()


class PropertiesTest(TestCase):
    """Guards guarantees 1, 3, 4 and 5 against generated faults."""

    def setUp(self):
        super().setUp()
        self.errors = []
        globalLogPublisher.addObserver(self.record_error)
        self.addCleanup(globalLogPublisher.removeObserver, self.record_error)

    def record_error(self, event):
        if event.get("log_level") is LogLevel.critical:
            self.errors.append(event)

    def check(self, seed, schedule):
        scenario = FaultScenario(seed)
        scenario.play(schedule)
        scenario.check()
        self.assertEqual([], self.errors)

    @settings(max_examples=150, suppress_health_check=list(HealthCheck))
    @given(st.integers(0, 2**32), st.lists(events, min_size=8, max_size=30))
    def test_any_faults(self, seed, schedule):
        self.check(seed, schedule)

    @settings(max_examples=60)
    @given(st.integers(0, 2**32))
    @example(1044)  # A late duplicate of a Forward ran after a not-run.
    def test_many_requests(self, seed):
        self.check(seed, dense_schedule(seed))


class ShutdownTest(TestCase):
    """Guards guarantee 7: a closing node interrupts no request."""

    def test_requests_in_progress_finish_at_closed_nodes(self):
        scenario = FaultScenario(1)
        for name in NODES:
            scenario.behave(name, {"seconds": 0.01})
        for name in ("front-0", "mid-0", "deep-0"):
            scenario.order(name, None)
            scenario.page(name, None)
        scenario.cluster.advance(0.03, STEP_SECONDS)
        for name in ("front-0", "mid-0", "deep-0"):
            scenario.close(name, True)
        scenario.cluster.advance(1, STEP_SECONDS)
        answers = [a for s in scenario.cluster.submissions for a in s.answers]
        self.assertEqual(6, len(answers))
        self.assertEqual([200] * 6, [a.status for a in answers])
        scenario.check()
