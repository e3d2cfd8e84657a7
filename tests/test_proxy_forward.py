"""Tests of the first node: choice of servers, repeats, verdicts."""

from random import Random
from types import SimpleNamespace

from testtools import TestCase
from twisted.internet.testing import MemoryReactorClock

from flamingosail.proxy.balance import Balance
from flamingosail.proxy.balance import ServerGroup
from flamingosail.proxy.budget import RepeatBudget
from flamingosail.proxy.exchange import Exchange
from flamingosail.proxy.forward import Forwarder
from flamingosail.proxy.gate import CHILD_CALL_FAILED
from flamingosail.proxy.hop import Outcome
from flamingosail.proxy.nodemetrics import NodeMetrics
from flamingosail.proxy.overload import Admission
from flamingosail.proxy.overload import LoadMeter
from flamingosail.proxy.overload import route_key
from flamingosail.proxy.routes import ClientLimits
from flamingosail.proxy.routes import RouteTable
from flamingosail.proxy.routes import WeightedService
from flamingosail.proxy.servers import RemoteServer
from tests.proxyfakes import DIALECT
from tests.proxyfakes import make_gate
from tests.proxyfakes import make_job
from tests.proxyfakes import make_route


class FakeServer(RemoteServer):
    """A server of another node that keeps its calls."""

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
        """End the oldest call that is not ended."""
        attempt, _ = self.calls.pop(0)
        attempt.ended(outcome, status, b"p", b"", b"body", reason)


class FakeClient:
    """The connection of exchanges; keeps what was answered."""

    def __init__(self):
        self.answers = []

    def exchange(self, clock, *, target=b"/read/1", request_id=b"id"):
        exchange = Exchange(connection=self)
        exchange.arrived = clock.seconds()
        exchange.request_id = request_id
        exchange.method, exchange.target = b"GET", target
        exchange.host = b"h"
        exchange.left_ms = 1000.0
        self.last = exchange
        return exchange

    def flush(self):
        head, body = self.last.output
        self.answers.append((int(head.split()[1]), head, body))


class ForwarderTest(TestCase):
    """Guards verdicts and bounds on what a request may cause."""

    def setUp(self):
        super().setUp()
        self.clock = MemoryReactorClock()
        self.near = FakeServer("near", "fd-a")
        self.far = FakeServer("far", "fd-b")
        self.peers = SimpleNamespace(
            gate=make_gate(self.clock),
            by_service={
                "histbook": ServerGroup([self.near, self.far], "fd-a")
            },
        )
        random = Random(1)
        self.forwarder = Forwarder(
            clock=self.clock,
            random=random,
            dialect=DIALECT,
            peers=self.peers,
            balance=Balance(
                clock=self.clock, random=random, failure_domain="fd-a"
            ),
            admission=Admission(clock=self.clock),
            meter=LoadMeter(clock=self.clock),
            metrics=NodeMetrics(),
            budget=RepeatBudget(clock=self.clock, ratio=0.1, minimum=5.0),
            own_service="front",
        )
        self.routes = {
            b"/read/": make_route(),
            b"/order/": make_route(
                name="r-order", idempotent=False, priority=0
            ),
        }
        self.forwarder.use(
            RouteTable(
                version=1,
                hosts={b"h": self.routes},
                limits=ClientLimits(),
            )
        )
        self.client = FakeClient()

    def submit(self, **options):
        exchange = self.client.exchange(self.clock, **options)
        self.forwarder.handle(exchange)
        return exchange

    def statuses(self):
        return [answer[0] for answer in self.client.answers]

    def test_the_own_failure_domain_is_preferred(self):
        for _ in range(5):
            self.submit()
        self.assertEqual((5, 0), (len(self.near.calls), len(self.far.calls)))

    def test_a_long_queue_is_avoided(self):
        self.near.update_load(10, 12, 10)
        self.submit()
        self.assertEqual(1, len(self.far.calls))

    def test_a_refusal_is_offered_to_another_server(self):
        self.submit(target=b"/order/1")
        self.near.end(Outcome.REFUSED, reason="leaving")
        self.far.end(Outcome.ANSWERED, 200)
        self.assertEqual([200], self.statuses())

    def test_what_no_server_took_did_not_run(self):
        self.submit(target=b"/order/1")
        self.near.end(Outcome.REFUSED)
        self.far.end(Outcome.REFUSED)
        status, head, _ = self.client.answers[0]
        self.assertEqual(503, status)
        self.assertIn(b"Retry-After: 0.", head)

    def test_an_order_that_may_have_run_is_never_sent_again(self):
        self.submit(target=b"/order/1")
        self.near.end(Outcome.LOST)
        self.assertEqual([502], self.statuses())
        self.assertEqual([], self.far.calls)

    def test_a_lost_read_goes_to_another_server_as_a_repeat(self):
        self.submit()
        self.near.end(Outcome.LOST)
        self.assertTrue(self.far.calls[0][1]["is_retry"])
        self.far.end(Outcome.ANSWERED, 200)
        self.assertEqual([200], self.statuses())

    def test_attempts_are_bounded_by_the_route(self):
        self.submit()
        self.near.end(Outcome.LOST)
        self.far.end(Outcome.LOST)
        self.assertEqual([502], self.statuses())

    def test_a_failure_of_a_deeper_call_is_not_repeated(self):
        """Repeats at every level broke the budget under overload."""
        self.submit()
        self.near.end(Outcome.ANSWERED, 500, CHILD_CALL_FAILED)
        self.assertEqual([500], self.statuses())
        self.assertEqual(0.0, self.near.failure_rate)

    def test_a_failed_call_marks_the_request_that_made_it(self):
        parent = make_job([], request_id=b"id")
        self.peers.gate.running[b"id"] = parent
        self.submit(request_id=b"id.1")
        self.near.end(Outcome.ANSWERED, 500, CHILD_CALL_FAILED)
        self.assertTrue(parent.child_call_failed)

    def test_failing_servers_attract_no_load(self):
        self.near.failure_rate = 0.6
        self.submit()
        self.assertEqual(1, len(self.far.calls))

    def test_repeats_draw_on_a_budget(self):
        repeats = 0
        for _ in range(100):
            self.submit()
            self.near.failure_rate = self.far.failure_rate = 0.0
            self.near.end(Outcome.LOST)
            if self.far.calls:
                repeats += 1
                self.far.end(Outcome.ANSWERED, 200)
        self.assertLess(repeats, 100 * 0.1 + 5)

    def test_a_rejected_request_reaches_only_as_many_servers_as_allowed(self):
        """A third server would break the route's bound on servers."""
        third = FakeServer("third", "fd-b")
        self.peers.by_service["histbook"].far.append(third)
        self.forwarder.budget.tokens["histbook"] = 10.0
        self.submit()
        self.near.end(Outcome.SHED)
        first = self.far if self.far.calls else third
        first.end(Outcome.SHED)
        self.assertEqual([], self.far.calls + third.calls[1:])
        again = [s for s in (self.near, first) if s.calls]
        self.assertEqual(1, len(again))
        again[0].end(Outcome.ANSWERED, 200)
        self.assertEqual([200], self.statuses())

    def test_calls_of_a_repeat_are_not_repeated(self):
        parent = make_job([], request_id=b"id", is_retry=True)
        self.peers.gate.running[b"id"] = parent
        self.submit(request_id=b"id.1")
        self.near.end(Outcome.LOST)
        self.assertEqual([502], self.statuses())

    def test_the_time_of_the_route_is_kept(self):
        self.submit(target=b"/order/1")
        self.clock.pump([0.1] * 11)
        self.assertEqual([504], self.statuses())
        self.assertEqual(1, len(self.near.cancelled))

    def test_a_client_that_leaves_cancels_the_call(self):
        exchange = self.submit()
        exchange.over = True
        self.forwarder.cancelled(exchange)
        self.assertEqual(1, len(self.near.cancelled))
        self.assertEqual(0, self.forwarder.in_flight)

    def test_calls_of_running_requests_are_admitted_under_overload(self):
        self.forwarder.admission.shares = {route_key("r-read"): 0.0}
        self.submit()
        self.assertEqual([503], self.statuses())
        self.peers.gate.running[b"id"] = make_job([], request_id=b"id")
        self.submit(request_id=b"id.1")
        self.assertEqual(1, len(self.near.calls))

    def test_a_call_inherits_the_rank_of_its_request(self):
        parent = make_job([], request_id=b"id", rank=5, root_route=77)
        self.peers.gate.running[b"id"] = parent
        self.submit(request_id=b"id.1")
        fields = self.near.calls[0][1]
        self.assertEqual((4, 77), (fields["rank"], fields["root_route"]))

    def test_a_stopping_node_refuses_what_begins_but_not_calls(self):
        self.forwarder.closed = True
        self.submit()
        self.assertEqual([503], self.statuses())
        self.peers.gate.running[b"id"] = make_job([], request_id=b"id")
        self.submit(request_id=b"id.1")
        self.assertEqual(1, len(self.near.calls))

    def test_without_a_configuration_the_answer_is_503(self):
        self.forwarder.table = None
        self.submit()
        self.assertEqual([503], self.statuses())

    def test_an_unknown_path_is_404(self):
        self.submit(target=b"/none")
        self.assertEqual([404], self.statuses())

    def test_the_share_of_a_split_holds(self):
        split = make_route(
            name="r-split",
            services=(
                WeightedService(service="a", weight=90.0),
                WeightedService(service="b", weight=10.0),
            ),
        )
        names = [self.forwarder.split.choose(split) for _ in range(200)]
        self.assertEqual(180, names.count("a"))
