"""Replays recorded incidents against the naive version and the package.

A trace holds the expected outcome of each version, "naive" and "ours".
Every field that it states must match; ``Replay.outcome`` computes them.
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
TOLERANCE_SECONDS = 0.02


class Replay:
    """Replay of one trace against one version."""

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
        self.message_faults = {}
        self.message_counts = {}
        self.deliver = self.cluster.deliver
        self.cluster.deliver = self.deliver_with_faults

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

    def deliver_with_faults(self, address, data):
        """Deliver a message, or apply the fault that the trace has for it.

        Faults are keyed by message type and by number within the type, from
        1; undecodable messages are delivered unchanged.
        """
        try:
            name = type(decode(data)).__name__
        except CodecError:
            self.deliver(address, data)
            return
        self.message_counts[name] = self.message_counts.get(name, 0) + 1
        fault = self.message_faults.get((name, self.message_counts[name]), {})
        if fault.get("lose"):
            return
        if "truncate" in fault:
            data = data[: -fault["truncate"]]
        if "flip" in fault:
            data = data[:-1] + bytes([data[-1] ^ 1])
        for _ in range(fault.get("copies", 1)):
            self.cluster.clock.callLater(
                fault.get("delay", 0), self.deliver, address, data
            )

    def do_message(self, event):
        self.message_faults[event["type"], event["number"]] = event

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
        self.cluster.blocked_links.add((event["from"], event["to"]))

    def do_freeze(self, event):
        self.cluster.freeze(event["node"])

    def do_resume(self, event):
        self.cluster.resume(event["node"])

    def do_replace(self, event):
        self.cluster.replace_node(event["node"])

    def outcome(self) -> dict:
        """Return the outcome as seen by callers and backend servers."""
        sent = self.cluster.submissions
        answers = [(s, a) for s in sent for a in s.answers]
        completed = [(s, a) for s, a in answers if a.refusal is None]
        return {
            "answers_ok": len(completed),
            "foreign_answers": sum(
                a.body != s.request.target.encode() for s, a in completed
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
        """Return whether a request got no answer by its deadline."""
        max_timeout_ms = self.trace["kinds"][sent.request.kind]["timeout_ms"]
        limit_ms = min(
            sent.request.timeout_ms or max_timeout_ms, max_timeout_ms
        )
        due = sent.sent_at + limit_ms / 1000 + TOLERANCE_SECONDS
        return not sent.ended_at or sent.ended_at[0] > due


class TracesTest(TestCase):
    """Guards against recorded incidents happening again."""

    def replay(self, name):
        trace = json.loads((TRACES / f"{name}.json").read_text())
        for version, path in PATHS.items():
            outcome = Replay(trace, path).run()
            expected = trace[version]
            self.assertNotEqual({}, expected, outcome)
            actual = {field: outcome[field] for field in expected}
            self.assertEqual(expected, actual, f"{version}: {outcome}")

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
        """Answers matched by order are delivered to the wrong request.

        The naive version uses the package's Exchange, which matches by call
        id, so the test replaces it.
        """
        trace = json.loads((TRACES / "march-3.json").read_text())
        with patch.object(naive, "Exchange", ExchangeByOrder):
            outcome = Replay(trace, add_naive_path).run()
        self.assertGreater(outcome["foreign_answers"], 0, outcome)


class ExchangeByOrder(Exchange):
    """Delivers an answer to the callee's oldest call.

    This is what a reused connection without call ids does.
    """

    def on_answer(self, message):
        for call_id, call in list(self.open_calls.items()):
            if call.callee == message.sender:
                del self.open_calls[call_id]
                call.on_answer(self.decode_answer(message))
                return
