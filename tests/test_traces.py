"""Replays of recorded incidents against the naive version and the package.

A trace states the outcome of each version. Every stated field must match;
what a field counts is said in ``outcome``.
"""

import json
from pathlib import Path
from unittest.mock import patch

from testtools import TestCase

from baseline import naive
from baseline.naive import add_naive_path
from flamingosail.codec import decode
from flamingosail.errors import CodecError
from flamingosail.exchange import Exchange
from flamingosail.node import add_call_path
from flamingosail.request import Request
from flamingosail.verdict import Verdict
from tests.faultycluster import FaultyCluster

TRACES = Path(__file__).parent / "traces"
PATHS = {"naive": add_naive_path, "ours": add_call_path}
STEP_SECONDS = 0.005
LATE_SECONDS = 0.02


class Replay:
    """One trace against one version."""

    def __init__(self, trace: dict, path):
        self.trace = trace
        kinds = trace["kinds"]
        services = {kind["service"]: {} for kind in kinds.values()}
        self.cluster = FaultyCluster(
            trace["servers"],
            seed=1,
            manifest={"services": services, "kinds": kinds},
            add_path=path,
        )
        self.keys = {}
        self.fates = {}
        self.seen = {}
        self.deliver = self.cluster.deliver
        self.cluster.deliver = self.meet_fate

    def run(self) -> dict:
        clock = self.cluster.clock
        for event in self.trace["events"]:
            self.wait(event["at"] - clock.seconds())
            getattr(self, "do_" + event["do"])(event)
        self.wait(self.trace["until"] - clock.seconds())
        return self.outcome()

    def wait(self, seconds):
        if seconds > 0:
            self.cluster.advance(seconds, STEP_SECONDS)

    def meet_fate(self, address, data):
        """Do to the n-th message of a type what the trace says."""
        try:
            name = type(decode(data)).__name__
        except CodecError:
            self.deliver(address, data)
            return
        self.seen[name] = self.seen.get(name, 0) + 1
        fate = self.fates.get((name, self.seen[name]), {})
        if fate.get("lose"):
            return
        if "truncate" in fate:
            data = data[: -fate["truncate"]]
        if "flip" in fate:
            data = data[:-1] + bytes([data[-1] ^ 1])
        for _ in range(fate.get("copies", 1)):
            self.cluster.clock.callLater(
                fate.get("delay", 0), self.deliver, address, data
            )

    def do_message(self, event):
        self.fates[event["type"], event["number"]] = event

    def do_key(self, event):
        entrance = self.cluster.nodes[event["node"]].kernel.get("entrance")
        self.keys[event["name"]] = entrance.issue_key()

    def do_send(self, event):
        request = Request(
            kind=event["kind"],
            method="POST",
            target=event["target"],
            key=self.keys.get(event.get("key")),
            timeout_ms=event.get("timeout_ms"),
        )
        self.cluster.submit(event["node"], request)

    def do_silence(self, event):
        self.cluster.cut.add((event["from"], event["to"]))

    def do_freeze(self, event):
        self.cluster.freeze(event["node"])

    def do_resume(self, event):
        self.cluster.resume(event["node"])

    def do_replace(self, event):
        self.cluster.replace_node(event["node"])

    def outcome(self) -> dict:
        """Return what the callers and the backend servers saw."""
        sent = self.cluster.submissions
        answers = [(s, a) for s in sent for a in s.answers]
        whole = [(s, a) for s, a in answers if a.refusal is None]
        return {
            "answers_ok": len(whole),
            "foreign_answers": sum(
                a.body != s.request.target.encode() for s, a in whole
            ),
            "unanswered": sum(len(s.answers) != 1 for s in sent),
            "late": sum(map(self.is_late, sent)),
            "false_not_run": sum(
                a.verdict is Verdict.NOT_RUN
                and self.cluster.runs[s.request.kind, s.request.target] > 0
                for s, a in answers
            ),
            "verdicts": [a.verdict.label for _, a in answers],
            "runs": {
                s.request.target: self.cluster.runs[
                    s.request.kind, s.request.target
                ]
                for s in sent
            },
        }

    def is_late(self, sent) -> bool:
        """Return whether a request had no answer at its deadline."""
        longest = self.trace["kinds"][sent.request.kind]["timeout_ms"]
        limit_ms = min(sent.request.timeout_ms or longest, longest)
        due = sent.sent_at + limit_ms / 1000 + LATE_SECONDS
        return not sent.ended_at or sent.ended_at[0] > due


class TracesTest(TestCase):
    """Guards against the return of recorded incidents."""

    def replay(self, name):
        trace = json.loads((TRACES / f"{name}.json").read_text())
        for version, path in PATHS.items():
            outcome = Replay(trace, path).run()
            stated = trace[version]
            self.assertNotEqual({}, stated, outcome)
            got = {field: outcome[field] for field in stated}
            self.assertEqual(stated, got, f"{version}: {outcome}")

    def test_march_3_permit_status(self):
        self.replay("march-3")

    def test_march_9_disc_order(self):
        self.replay("march-9")

    def test_march_14_renewal_charge(self):
        self.replay("march-14")

    def test_frozen_server(self):
        self.replay("frozen-server")

    def test_replaced_owner(self):
        self.replay("replaced-owner")

    def test_march_3_without_call_ids(self):
        """The naive version shares the exchange, so it is replaced here."""
        trace = json.loads((TRACES / "march-3.json").read_text())
        with patch.object(naive, "Exchange", ExchangeByOrder):
            outcome = Replay(trace, add_naive_path).run()
        self.assertGreater(outcome["foreign_answers"], 0, outcome)


class ExchangeByOrder(Exchange):
    """Hands each answer to the oldest call, as a reused connection does."""

    def on_answer(self, message):
        for call_id, call in list(self.open_calls.items()):
            if call.callee == message.sender:
                del self.open_calls[call_id]
                call.on_answer(self.decode_answer(message))
                return
