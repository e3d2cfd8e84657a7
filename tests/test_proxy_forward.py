"""Tests of forwarding at the entry node: servers, retries, statuses."""

from dataclasses import replace
from random import Random
from types import SimpleNamespace

from testtools import TestCase
from twisted.internet.testing import MemoryReactorClock

from flamingosail.proxy.exchange import Exchange
from flamingosail.proxy.forward import Forwarder
from flamingosail.proxy.gate import CHILD_CALL_FAILED
from flamingosail.proxy.nodemetrics import NodeMetrics
from flamingosail.proxy.policy.access import AccessPolicy
from flamingosail.proxy.policy.balance import LoadBalancer
from flamingosail.proxy.policy.balance import ServerGroup
from flamingosail.proxy.policy.budget import RetryBudget
from flamingosail.proxy.policy.fingerprint import request_fingerprint
from flamingosail.proxy.policy.overload import Admission
from flamingosail.proxy.policy.overload import LoadMeter
from flamingosail.proxy.policy.overload import route_key
from flamingosail.proxy.shared.freshness import Freshness
from flamingosail.proxy.shared.routes import ClientLimits
from flamingosail.proxy.shared.routes import RouteTable
from flamingosail.proxy.shared.routes import WeightedService
from flamingosail.proxy.shared.servers import RemoteServer
from flamingosail.proxy.shared.tenants import key_digest
from flamingosail.proxy.shared.tenants import Tenant
from flamingosail.proxy.shared.tenants import TenantTable
from flamingosail.proxy.transport.hop import Outcome
from tests.proxyfakes import DIALECT
from tests.proxyfakes import make_gate
from tests.proxyfakes import make_job
from tests.proxyfakes import make_quotas
from tests.proxyfakes import make_route


class FakeServer(RemoteServer):
    """A server of another node that records its calls."""

    usable = True

    def __init__(self, address: str, failure_domain: str):
        super().__init__()
        self.address = address
        self.failure_domain = failure_domain
        self.state = "ready"
        self.service = "histbook"
        self.capacity = 10
        self.calls = []
        self.cancelled = []

    def call(self, attempt, fields):
        self.calls.append((attempt, fields))

    def cancel(self, attempt):
        self.cancelled.append(attempt)

    def end(self, outcome, status=0, reason=""):
        """End the oldest call in progress."""
        attempt, _ = self.calls.pop(0)
        attempt.ended(outcome, status, b"p", b"", b"body", reason)


class FakeClient:
    """The connection of a client; records the responses."""

    def __init__(self):
        self.responses = []

    def exchange(self, clock, *, target=b"/read/1", request_id=b"id"):
        exchange = Exchange(connection=self)
        exchange.arrived_at = clock.seconds()
        exchange.request_id = request_id
        exchange.method, exchange.target = b"GET", target
        exchange.host = b"h"
        exchange.timeout_ms = 1000.0
        self.last_exchange = exchange
        return exchange

    def flush(self):
        head, body = self.last_exchange.output
        self.responses.append((int(head.split()[1]), head, body))


class ForwarderFixture(TestCase):
    """A forwarder with two servers and a client."""

    def setUp(self):
        super().setUp()
        self.clock = MemoryReactorClock()
        self.same_domain = FakeServer("near", "fd-a")
        self.other_domain = FakeServer("far", "fd-b")
        self.peers = SimpleNamespace(
            gate=make_gate(self.clock),
            quotas=make_quotas(self.clock),
            by_service={
                "histbook": ServerGroup(
                    [self.same_domain, self.other_domain], "fd-a"
                )
            },
        )
        self.behind = 0.0
        self.freshness = Freshness(
            seconds=self.clock.seconds,
            config_version=lambda: self.forwarder.table.version,
            revocation_seconds=5.0,
        )
        random = Random(1)
        self.forwarder = Forwarder(
            clock=self.clock,
            random=random,
            dialect=DIALECT,
            peers=self.peers,
            balancer=LoadBalancer(
                clock=self.clock, random=random, failure_domain="fd-a"
            ),
            admission=Admission(clock=self.clock),
            meter=LoadMeter(clock=self.clock),
            metrics=NodeMetrics(),
            budget=RetryBudget(clock=self.clock, ratio=0.1, minimum=5.0),
            quarantine=self.peers.gate.quarantine,
            access=AccessPolicy(
                freshness=self.freshness, behind_seconds=lambda: self.behind
            ),
            own_service="front",
        )
        self.routes = {
            b"/read/": make_route(),
            b"/order/": make_route(
                name="r-order", idempotent=False, priority=0
            ),
        }
        self.forwarder.set_route_table(
            RouteTable(
                version=1,
                hosts={b"h": self.routes},
                limits=ClientLimits(),
            )
        )
        self.client = FakeClient()

    def submit(self, *, credential: bytes | None = None, **options):
        exchange = self.client.exchange(self.clock, **options)
        exchange.credential = credential
        self.forwarder.handle(exchange)
        return exchange

    def statuses(self):
        return [response[0] for response in self.client.responses]


class ForwarderTest(ForwarderFixture):
    """Guards response statuses and the limits on attempts per request."""

    def test_servers_of_our_failure_domain_are_preferred(self):
        for _ in range(5):
            self.submit()
        self.assertEqual(
            (5, 0), (len(self.same_domain.calls), len(self.other_domain.calls))
        )

    def test_a_server_with_a_long_queue_is_avoided(self):
        self.same_domain.update_load(10, 12, 10)
        self.submit()
        self.assertEqual(1, len(self.other_domain.calls))

    def test_a_refused_request_is_sent_to_another_server(self):
        self.submit(target=b"/order/1")
        self.same_domain.end(Outcome.REFUSED, reason="leaving")
        self.other_domain.end(Outcome.ANSWERED, 200)
        self.assertEqual([200], self.statuses())

    def test_a_request_refused_for_all_servers_is_answered_503(self):
        self.submit(target=b"/order/1")
        self.same_domain.end(Outcome.REFUSED)
        self.other_domain.end(Outcome.REFUSED)
        status, head, _ = self.client.responses[0]
        self.assertEqual(503, status)
        self.assertIn(b"Retry-After: 0.", head)

    def test_a_non_idempotent_request_that_may_have_run_is_not_retried(self):
        self.submit(target=b"/order/1")
        self.same_domain.end(Outcome.LOST)
        self.assertEqual([502], self.statuses())
        self.assertEqual([], self.other_domain.calls)

    def test_a_lost_idempotent_request_is_retried_at_another_server(self):
        self.submit()
        self.same_domain.end(Outcome.LOST)
        self.assertTrue(self.other_domain.calls[0][1]["is_retry"])
        self.other_domain.end(Outcome.ANSWERED, 200)
        self.assertEqual([200], self.statuses())

    def test_attempts_are_limited_by_the_route(self):
        self.submit()
        self.same_domain.end(Outcome.LOST)
        self.other_domain.end(Outcome.LOST)
        self.assertEqual([502], self.statuses())

    def test_a_failure_of_a_child_call_is_not_retried(self):
        """Retries at every level exceeded the budget under overload."""
        self.submit()
        self.same_domain.end(Outcome.ANSWERED, 500, CHILD_CALL_FAILED)
        self.assertEqual([500], self.statuses())
        self.assertEqual(0.0, self.same_domain.failure_rate)

    def test_a_failed_call_marks_the_request_that_made_it(self):
        parent = make_job([], request_id=b"id")
        self.peers.gate.running[b"id"] = parent
        self.submit(request_id=b"id.1")
        self.same_domain.end(Outcome.ANSWERED, 500, CHILD_CALL_FAILED)
        self.assertTrue(parent.child_call_failed)

    def test_failing_servers_are_avoided(self):
        self.same_domain.failure_rate = 0.6
        self.submit()
        self.assertEqual(1, len(self.other_domain.calls))

    def test_retries_are_limited_by_the_budget(self):
        retries = 0
        for _ in range(100):
            self.submit()
            self.same_domain.failure_rate = self.other_domain.failure_rate = (
                0.0
            )
            self.same_domain.end(Outcome.LOST)
            if self.other_domain.calls:
                retries += 1
                self.other_domain.end(Outcome.ANSWERED, 200)
        self.assertLess(retries, 100 * 0.1 + 5)

    def test_a_rejected_request_reaches_at_most_max_attempts_servers(self):
        """A third server would exceed the route's limit on attempts."""
        third = FakeServer("third", "fd-b")
        self.peers.by_service["histbook"].other_domains.append(third)
        self.forwarder.budget.tokens["histbook"] = 10.0
        self.submit()
        self.same_domain.end(Outcome.SHED)
        second = self.other_domain if self.other_domain.calls else third
        second.end(Outcome.SHED)
        self.assertEqual([], self.other_domain.calls + third.calls[1:])
        again = [s for s in (self.same_domain, second) if s.calls]
        self.assertEqual(1, len(again))
        again[0].end(Outcome.ANSWERED, 200)
        self.assertEqual([200], self.statuses())

    def test_calls_of_a_retried_request_are_not_retried(self):
        parent = make_job([], request_id=b"id", is_retry=True)
        self.peers.gate.running[b"id"] = parent
        self.submit(request_id=b"id.1")
        self.same_domain.end(Outcome.LOST)
        self.assertEqual([502], self.statuses())

    def test_a_request_times_out_after_the_time_of_its_route(self):
        self.submit(target=b"/order/1")
        self.clock.pump([0.1] * 11)
        self.assertEqual([504], self.statuses())
        self.assertEqual(1, len(self.same_domain.cancelled))

    def test_a_client_that_disconnects_cancels_the_call(self):
        exchange = self.submit()
        exchange.done = True
        self.forwarder.client_disconnected(exchange)
        self.assertEqual(1, len(self.same_domain.cancelled))
        self.assertEqual(0, self.forwarder.in_flight)

    def test_calls_of_running_requests_are_admitted_under_overload(self):
        self.forwarder.admission.shares = {route_key("r-read"): 0.0}
        self.submit()
        self.assertEqual([503], self.statuses())
        self.peers.gate.running[b"id"] = make_job([], request_id=b"id")
        self.submit(request_id=b"id.1")
        self.assertEqual(1, len(self.same_domain.calls))

    def refuse_and_return(self, credential: bytes | None = None) -> float:
        """Refuse a client, let it and another one come; return its wait."""
        admission = self.forwarder.admission
        key = route_key("r-read")
        admission.shares, admission.credits = {key: 0.9}, {key: 0.0}
        self.submit(target=b"/read/1", credential=credential)
        [(status, head, _)] = self.client.responses
        self.assertEqual(503, status)
        wait = float(head.partition(b"Retry-After: ")[2].split()[0])
        admission.shares = {key: 0.1}
        admission.credits = {key: -5.0}
        self.clock.advance(wait)
        for target, request_id in ((b"/read/2", b"b"), (b"/read/1", b"c")):
            self.assertEqual([], self.same_domain.calls)
            self.submit(
                target=target, request_id=request_id, credential=credential
            )
        return wait

    def test_a_refused_client_is_admitted_when_it_comes_back(self):
        """It was refused again as often as a new one was refused."""
        tenant = Tenant(name="acme", key_digests=(key_digest(b"key"),))
        self.forwarder.table = replace(
            self.forwarder.table, tenants=TenantTable.of([tenant])
        )
        self.freshness.observe(
            self.forwarder.table.version, self.clock.seconds()
        )
        self.refuse_and_return(b"key")
        self.assertEqual(1, len(self.same_domain.calls))

    def test_without_accounts_returning_clients_have_no_precedence(self):
        """Deployments without client accounts are served as before."""
        wait = self.refuse_and_return()
        self.assertEqual([], self.same_domain.calls)
        # 0.3 of the second that the client has.
        self.assertLessEqual(wait, 0.3)
        self.assertEqual(0, len(self.forwarder.returns))

    def test_what_a_floor_admits_is_not_queued_behind_the_rest(self):
        key = route_key("r-read")
        self.forwarder.admission.floored = {key}
        self.submit()
        self.assertEqual(1, self.same_domain.calls[0][1]["rank"])

    def test_a_call_gets_the_rank_just_before_its_request(self):
        parent = make_job([], request_id=b"id", rank=5, root_route=77)
        self.peers.gate.running[b"id"] = parent
        self.submit(request_id=b"id.1")
        fields = self.same_domain.calls[0][1]
        self.assertEqual((4, 77), (fields["rank"], fields["root_route"]))

    def test_a_stopping_node_rejects_root_requests_but_not_calls(self):
        self.forwarder.closed = True
        self.submit()
        self.assertEqual([503], self.statuses())
        self.peers.gate.running[b"id"] = make_job([], request_id=b"id")
        self.submit(request_id=b"id.1")
        self.assertEqual(1, len(self.same_domain.calls))

    def test_a_call_that_comes_late_in_a_stop_ends_before_the_node(self):
        """The server worked on it for longer, and its answer was lost."""
        self.forwarder.closed = True
        self.forwarder.ends_at = self.clock.seconds() + 0.4
        self.peers.gate.running[b"id"] = make_job([], request_id=b"id")
        self.submit(request_id=b"id.1")
        self.assertLessEqual(self.same_domain.calls[0][1]["left_ms"], 400)
        self.clock.advance(0.4)
        self.submit(request_id=b"id.2")
        self.assertEqual([503], self.statuses())

    def test_without_a_configuration_the_status_is_503(self):
        self.forwarder.table = None
        self.submit()
        self.assertEqual([503], self.statuses())

    def test_an_unknown_path_is_answered_404(self):
        self.submit(target=b"/none")
        self.assertEqual([404], self.statuses())

    def test_requests_are_distributed_by_weight(self):
        split = make_route(
            name="r-split",
            services=(
                WeightedService(service="a", weight=90.0),
                WeightedService(service="b", weight=10.0),
            ),
        )
        names = [
            self.forwarder.service_selector.choose(split) for _ in range(200)
        ]
        self.assertEqual(180, names.count("a"))


class QuarantinedRequestTest(ForwarderFixture):
    """Guards against a request that goes from one crashed server to the next.

    The client must neither be told when to come back nor that it did not run.
    """

    def setUp(self):
        super().setUp()
        self.quarantine = self.peers.gate.quarantine

    def convict(self, target=b"/read/1"):
        line = b"GET %s HTTP/1.1\r\n" % target
        fingerprint = request_fingerprint(line, b"", b"")
        for instance in ("i-1", "i-2"):
            self.quarantine.record_crash(
                (instance, 1), [fingerprint], fingerprint
            )

    def assert_quarantined(self):
        status, head, body = self.client.responses[-1]
        self.assertEqual(502, status)
        self.assertNotIn(b"Retry-After", head)
        self.assertIn(b"urn:flamingosail:quarantined", body)

    def test_it_is_not_sent_to_a_server(self):
        for target in (b"/read/1", b"/order/1"):
            self.convict(target)
            self.submit(target=target)
            self.assert_quarantined()
        self.assertEqual([], self.same_domain.calls)
        self.assertEqual(0, self.forwarder.in_flight)
        self.submit(target=b"/read/2")
        self.assertEqual(1, len(self.same_domain.calls))

    def test_a_call_of_a_server_fails_its_parent(self):
        parent = make_job([], request_id=b"parent")
        self.peers.gate.running[b"parent"] = parent
        self.convict()
        self.submit(request_id=b"parent.1")
        self.assert_quarantined()
        self.assertTrue(parent.child_call_failed)

    def test_a_refusal_of_another_node_is_final(self):
        self.submit()
        self.same_domain.end(Outcome.QUARANTINED)
        self.assert_quarantined()
        self.assertEqual([], self.other_domain.calls)
        self.assertEqual(0.0, self.same_domain.failure_rate)

    def test_it_is_not_retried_after_the_crash_that_it_is_blamed_for(self):
        self.submit()
        self.convict()
        self.same_domain.end(Outcome.LOST)
        self.assert_quarantined()
        self.assertEqual([], self.other_domain.calls)
