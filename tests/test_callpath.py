"""Tests of calls over several nodes in one process, without sockets."""

from testtools import TestCase

from flamingosail.errors import RefusalCode
from flamingosail.messages import Call
from flamingosail.messages import CallAnswer
from flamingosail.request import Request
from flamingosail.verdict import Verdict
from tests.fakes import Cluster
from tests.fakes import MANIFEST


class CallPathTest(TestCase):
    """Guards routing, retries, verdicts and limits of calls."""

    def test_call_over_two_nodes_is_answered(self):
        cluster = Cluster({"histbook": 1, "gatekeeper": 1})
        answers = cluster.send("histbook-0", "gate-check", "/helmet/7")
        cluster.advance(0.1)
        self.assertEqual(b"/helmet/7", answers[0].body)
        self.assertEqual(Verdict.RAN, answers[0].verdict)

    def test_child_call_inherits_priority_and_returns_its_allowance(self):
        cluster = Cluster({"histbook": 1, "gatekeeper": 1})
        cluster.nodes["gatekeeper-0"].backend.behaviour.steps = {
            "gate-check": [
                Request(kind="browse", method="GET", target="/history")
            ]
        }
        seen = []

        def delay(source, destination, message):
            if hasattr(message, "priority"):
                seen.append((message.kind, message.priority))
            return 0.001

        cluster.delay = delay
        answers = cluster.send("histbook-0", "gate-check")
        cluster.advance(0.1)
        self.assertTrue(answers[0].succeeded)
        self.assertEqual(["gate-check", "browse"], [k for k, _ in seen])
        self.assertEqual(1, len({priority for _, priority in seen}))
        self.assertEqual(256 - 2, answers[0].allowance.calls)

    def test_non_idempotent_kind_needs_a_key(self):
        cluster = Cluster({"histbook": 1, "retire-svc": 1})
        answers = cluster.send("histbook-0", "retire")
        refusal = answers[0].refusal
        self.assertEqual(RefusalCode.KEY_REQUIRED, refusal.code)
        self.assertEqual(Verdict.NOT_RUN, refusal.verdict)
        key = answers[0].key
        answers = cluster.send("histbook-0", "retire", key=key)
        cluster.advance(0.1)
        self.assertTrue(answers[0].succeeded)

    def test_repeated_key_at_another_node_runs_once(self):
        cluster = Cluster({"histbook": 2, "retire-svc": 2})
        key = cluster.nodes["histbook-0"].entrance.issue_key()
        first = cluster.send("histbook-0", "retire", "/1", key=key)
        second = cluster.send("histbook-1", "retire", "/1", key=key)
        cluster.advance(0.1)
        third = cluster.send("retire-svc-1", "retire", "/1", key=key)
        cluster.advance(0.1)
        self.assertEqual(1, cluster.runs[("retire", "/1")])
        for answers in (first, second, third):
            self.assertEqual(b"/1", answers[0].body)

    def test_key_of_a_lost_node_never_runs_again(self):
        cluster = Cluster({"histbook": 2, "retire-svc": 2})
        key = cluster.nodes["histbook-0"].entrance.issue_key()
        cluster.send("histbook-0", "retire", "/1", key=key)
        cluster.advance(0.1)
        cluster.kill("histbook-0")
        cluster.add_node("histbook-0", "histbook", nonce="2")
        for name in ("histbook-0", "histbook-1"):
            answers = cluster.send(name, "retire", "/1", key=key)
            cluster.advance(0.1)
            refusal = answers[0].refusal
            self.assertEqual(RefusalCode.KEY_OWNER_UNREACHABLE, refusal.code)
            self.assertEqual(Verdict.MAY_HAVE_RUN, refusal.verdict)
        self.assertEqual(1, cluster.runs[("retire", "/1")])

    def test_lost_answer_of_non_idempotent_call_is_not_retried(self):
        cluster = Cluster({"histbook": 1, "retire-svc": 3})
        cluster.delay = lambda source, destination, message: (
            None if isinstance(message, CallAnswer) else 0.001
        )
        key = cluster.nodes["histbook-0"].entrance.issue_key()
        answers = cluster.send("histbook-0", "retire", "/1", key=key)
        cluster.advance(3, step=0.01)
        self.assertEqual(Verdict.MAY_HAVE_RUN, answers[0].verdict)
        self.assertEqual(1, cluster.runs[("retire", "/1")])

    def test_retries_of_all_hops_are_bounded_by_the_root(self):
        cluster = Cluster({"histbook": 3, "gatekeeper": 3})
        for name, node in cluster.nodes.items():
            if name.startswith("gatekeeper"):
                node.backend.behaviour.repeats = 10
                node.backend.behaviour.steps = {
                    "gate-check": [
                        Request(kind="browse", method="GET", target="/h")
                    ]
                }
            else:
                node.backend.behaviour.status = 500
        cluster.send("gatekeeper-0", "gate-check", "/g")
        cluster.advance(3, step=0.01)
        self.assertEqual(1, cluster.runs[("gate-check", "/g")])
        self.assertEqual(1 + 3, cluster.runs[("browse", "/h")])

    def test_duplicated_messages_run_once(self):
        cluster = Cluster({"histbook": 1, "retire-svc": 1})
        carry = cluster.network.transmit

        def carry_twice(source, address, message):
            carry(source, address, message)
            return carry(source, address, message)

        cluster.network.transmit = carry_twice
        key = cluster.nodes["histbook-0"].entrance.issue_key()
        answers = cluster.send("histbook-0", "retire", "/1", key=key)
        cluster.advance(0.1)
        self.assertTrue(answers[0].succeeded)
        self.assertEqual(1, cluster.runs[("retire", "/1")])
        self.assertEqual(1, cluster.nodes["histbook-0"].exchange.stray_answers)

    def test_idempotent_call_is_retried_when_its_server_is_killed(self):
        cluster = Cluster({"histbook": 1, "gatekeeper": 3}, seed=3)
        answers = cluster.send("histbook-0", "gate-check", "/g")
        cluster.advance(0.005)
        [victim] = [
            name
            for name, node in cluster.nodes.items()
            if node.ingress.in_flight
        ]
        cluster.kill(victim)
        cluster.remove(victim)
        cluster.advance(0.2)
        self.assertTrue(answers[0].succeeded)

    def test_dropped_message_of_non_idempotent_call_is_sent_elsewhere(self):
        cluster = Cluster({"histbook": 1, "retire-svc": 2})
        node = cluster.nodes["histbook-0"]
        transport = node.ingress.transport
        send, lost = transport.send, []

        def send_or_drop(address, message):
            if isinstance(message, Call) and not lost:
                lost.append(message)
            else:
                send(address, message)

        transport.send = send_or_drop
        key = node.entrance.issue_key()
        answers = cluster.send("histbook-0", "retire", "/1", key=key)
        cluster.advance(0.1)
        self.assertEqual([], answers)
        transport.on_dropped(lost[0])
        cluster.advance(0.1)
        self.assertTrue(answers[0].succeeded)
        self.assertEqual(1, cluster.runs[("retire", "/1")])
        self.assertEqual(256 - 2, answers[0].allowance.calls)

    def test_dropped_message_to_the_owner_of_a_key_may_have_run(self):
        cluster = Cluster({"histbook": 2, "retire-svc": 1})
        key = cluster.nodes["histbook-0"].entrance.issue_key()
        transport = cluster.nodes["histbook-1"].ingress.transport
        lost = []
        transport.send = lambda address, message: lost.append(message)
        answers = cluster.send("histbook-1", "retire", "/1", key=key)
        transport.on_dropped(lost[0])
        refusal = answers[0].refusal
        self.assertEqual(RefusalCode.KEY_OWNER_UNREACHABLE, refusal.code)
        self.assertEqual(Verdict.MAY_HAVE_RUN, refusal.verdict)
        self.assertIsNotNone(answers[0].key)

    def test_closed_node_claims_not_run_only_for_unused_keys(self):
        cluster = Cluster({"histbook": 2, "retire-svc": 1})
        node = cluster.nodes["histbook-0"]
        used, unused = node.entrance.issue_key(), node.entrance.issue_key()
        foreign = cluster.nodes["histbook-1"].entrance.issue_key()
        cluster.send("histbook-0", "retire", "/1", key=used)
        cluster.advance(0.1)
        node.entrance.closed = True
        verdicts = {}
        for key in (used, unused, foreign):
            answers = cluster.send("histbook-0", "retire", "/1", key=key)
            cluster.advance(0.1)
            verdicts[key] = answers[0].verdict
            if key != used:
                self.assertEqual(
                    RefusalCode.SHUTTING_DOWN, answers[0].refusal.code
                )
        self.assertEqual(Verdict.RAN, verdicts[used])
        self.assertEqual(Verdict.NOT_RUN, verdicts[unused])
        self.assertEqual(Verdict.MAY_HAVE_RUN, verdicts[foreign])
        self.assertEqual(1, cluster.runs[("retire", "/1")])

    def test_call_to_a_hung_node_ends_at_its_deadline(self):
        cluster = Cluster({"histbook": 1, "retire-svc": 1})
        cluster.delay = lambda source, destination, message: (
            None if destination == "retire-svc-0" else 0.001
        )
        key = cluster.nodes["histbook-0"].entrance.issue_key()
        answers = cluster.send("histbook-0", "retire", "/1", key=key)
        cluster.advance(1.99, step=0.01)
        self.assertEqual([], answers)
        cluster.advance(0.02, step=0.01)
        self.assertEqual(
            RefusalCode.DEADLINE_EXCEEDED, answers[0].refusal.code
        )
        self.assertEqual(Verdict.MAY_HAVE_RUN, answers[0].verdict)
        self.assertEqual(0, cluster.nodes["histbook-0"].egress.in_flight)

    def test_call_to_a_hung_node_ends_when_the_node_is_removed(self):
        cluster = Cluster({"histbook": 1, "retire-svc": 1})
        cluster.delay = lambda source, destination, message: (
            None if destination == "retire-svc-0" else 0.001
        )
        key = cluster.nodes["histbook-0"].entrance.issue_key()
        answers = cluster.send("histbook-0", "retire", "/1", key=key)
        cluster.advance(0.1)
        cluster.remove("retire-svc-0")
        self.assertEqual(Verdict.MAY_HAVE_RUN, answers[0].verdict)
        self.assertEqual(RefusalCode.CONNECTION_LOST, answers[0].refusal.code)

    def test_queued_calls_of_a_lost_server_run_elsewhere(self):
        cluster = Cluster({"histbook": 1, "retire-svc": 2}, slots=1, seed=2)
        for name in ("retire-svc-0", "retire-svc-1"):
            cluster.nodes[name].backend.behaviour.seconds = 0.2
        sent = []
        for number in range(4):
            key = cluster.nodes["histbook-0"].entrance.issue_key()
            sent.append(
                cluster.send("histbook-0", "retire", f"/{number}", key=key)
            )
        cluster.advance(0.01)
        victim = cluster.nodes["retire-svc-0"]
        queued = len(victim.ingress.queue)
        self.assertGreater(queued, 0)
        victim.ingress.mark_server_lost()
        self.assertEqual(0, len(victim.ingress.queue))
        cluster.advance(1.5)
        for number, answers in enumerate(sent):
            self.assertTrue(answers[0].succeeded, answers[0])
            self.assertEqual(1, cluster.runs[("retire", f"/{number}")])

    def test_frozen_server_gets_few_calls_after_a_few_seconds(self):
        cluster = Cluster({"histbook": 1, "gatekeeper": 3}, seed=4)
        frozen = cluster.nodes["gatekeeper-0"]
        frozen.backend.behaviour.silent = True
        calls = []

        def delay(source, destination, message):
            if isinstance(message, Call) and destination == "gatekeeper-0":
                calls.append(cluster.clock.seconds())
            return 0.001

        cluster.delay = delay
        answers = []
        for tick in range(1000):
            answers.append(
                cluster.send("histbook-0", "gate-check", f"/{tick}")
            )
            cluster.advance(0.006, step=0.002)
        cluster.advance(3, step=0.01)
        late_calls = [at for at in calls if at > 3]
        self.assertLess(len(late_calls), 20)
        succeeded = [a for a in answers[500:] if a[0].succeeded]
        self.assertGreater(len(succeeded), 490)

    def test_server_that_answers_again_gets_work_again(self):
        cluster = Cluster({"histbook": 1, "gatekeeper": 2}, seed=5)
        frozen = cluster.nodes["gatekeeper-0"].backend
        frozen.behaviour.silent = True
        recovered = cluster.nodes["gatekeeper-0"].ingress
        for tick in range(4000):
            if tick == 1500:
                frozen.behaviour.silent = False
                frozen.active = 0
            cluster.send("histbook-0", "gate-check", f"/{tick}")
            cluster.advance(0.006, step=0.002)
        self.assertGreater(recovered.served, 100)

    def test_a_new_manifest_changes_the_retry_budgets(self):
        # Guards against manifest settings that never take effect.
        cluster = Cluster({"histbook": 2})
        cluster.send("histbook-0", "browse")
        cluster.advance(0.1)
        services = {**MANIFEST["services"]}
        services["histbook"] = {"retry_budget_cap": 0}
        cluster.manifest.change({**MANIFEST, "services": services})
        kind = cluster.manifest.current.kinds["browse"]
        budget = cluster.nodes["histbook-0"].egress.retry_budget(kind)
        self.assertEqual(0, budget.cap)

    def test_a_server_that_was_lost_serves_again(self):
        # Guards against state left in the admission control by the loss.
        cluster = Cluster({"histbook": 1, "gatekeeper": 1})
        ingress = cluster.nodes["gatekeeper-0"].ingress
        ingress.mark_server_lost()
        cluster.advance(0.5)
        ingress.announce(ingress.announcement)
        for _ in range(3):
            answers = cluster.send("histbook-0", "gate-check")
            cluster.advance(0.2)
            self.assertTrue(answers[0].succeeded, answers)

    def test_overload_sheds_low_importance_first(self):
        cluster = Cluster({"histbook": 1, "gatekeeper": 1}, slots=2)
        cluster.nodes["gatekeeper-0"].backend.behaviour.seconds = 0.02
        manifest = cluster.manifest.current
        kinds = manifest.kinds
        object.__setattr__(
            manifest,
            "kinds",
            {**kinds, "browse": _with_service(kinds["browse"], "gatekeeper")},
        )
        checks, browses = [], []
        for tick in range(2000):
            if tick % 50 == 0:
                checks.append(
                    cluster.send("histbook-0", "gate-check", f"/{tick}")
                )
            if tick % 3 == 0:
                browses.append(
                    cluster.send("histbook-0", "browse", f"/{tick}")
                )
            cluster.advance(0.001)
        cluster.advance(3, step=0.01)
        succeeded = [a for a in checks if a[0].succeeded]
        self.assertEqual(len(checks), len(succeeded))
        shed = [a for a in browses if not a[0].succeeded]
        self.assertGreater(len(shed), len(browses) // 2)


def _with_service(kind, service):
    from dataclasses import replace

    return replace(kind, service=service)
