"""Tests of requests that draw on a quota at the entry node."""

from dataclasses import replace
from types import SimpleNamespace

from flamingosail.proxy.policy.overload import route_key
from flamingosail.proxy.policy.quota import node_id
from flamingosail.proxy.shared.routes import ClientLimits
from flamingosail.proxy.shared.routes import RouteTable
from flamingosail.proxy.shared.tenants import key_digest
from flamingosail.proxy.shared.tenants import Tenant
from flamingosail.proxy.shared.tenants import TenantTable
from flamingosail.proxy.transport.hop import Outcome
from flamingosail.proxy.transport.hop import QuotaGrant
from tests.proxyfakes import make_job
from tests.proxyfakes import make_quotas
from tests.proxyfakes import make_route
from tests.test_proxy_forward import ForwarderFixture

KEY = b"key"


class QuotaForwardTest(ForwarderFixture):
    """Guards what clients are told, and that only sent requests count."""

    def setUp(self):
        super().setUp()
        self.freshness.observe(1, self.clock.seconds())
        self.sent = []
        self.holder = SimpleNamespace(
            address="10.0.0.9:80",
            near=True,
            usable=True,
            state="ready",
            failure_domain="fd-a",
            connection=SimpleNamespace(send=self.sent.append),
        )
        self.use_quotas(peers=lambda: (self.holder,))
        # A tenant that the other node holds.
        self.quotas.tick()
        name = next(
            name
            for name in map(str, range(100))
            if self.quotas.choice.choose(self.quotas.views.current, name)
            == node_id(self.holder.address)
        )
        self.tenant = Tenant(
            name=name, rate=10.0, burst=10.0, key_digests=(key_digest(KEY),)
        )
        self.configure(self.tenant)

    def use_quotas(self, **options):
        self.quotas = self.peers.quotas = make_quotas(self.clock, **options)
        self.quotas.on_decision = self.forwarder.quota_decided

    def configure(self, tenant):
        self.forwarder.set_route_table(
            RouteTable(
                version=1,
                hosts={
                    b"h": {
                        **self.routes,
                        b"/open/": make_route(name="r-open", public=True),
                    }
                },
                limits=ClientLimits(),
                tenants=TenantTable.of((tenant,)),
            )
        )

    def submit(self, **options):
        exchange = self.client.exchange(self.clock, **options)
        exchange.credential = KEY
        self.forwarder.handle(exchange)
        return exchange

    def answer(self, tokens, retry_after=0.0):
        """Let the holder answer the asks that were sent."""
        self.clock.advance(0)
        asks, self.sent[:] = list(self.sent), []
        for ask in asks:
            self.quotas.handle_grant(
                QuotaGrant(
                    [(entry[0], tokens, retry_after) for entry in ask.entries]
                )
            )

    def test_a_request_waits_for_a_token_and_is_sent(self):
        self.submit()
        self.assertEqual([], self.same_domain.calls)
        self.answer(1.0)
        self.same_domain.end(Outcome.ANSWERED, 200)
        self.assertEqual([200], self.statuses())
        self.assertEqual(0, self.forwarder.in_flight)

    def test_over_the_quota_the_status_is_429_and_nothing_is_sent(self):
        self.submit()
        self.answer(0.0, 0.7)
        status, head, _ = self.client.responses[0]
        self.assertEqual(429, status)
        self.assertIn(b"Retry-After: 0.700", head)
        self.assertEqual([], self.same_domain.calls)
        self.assertEqual(0, self.forwarder.in_flight)

    def test_without_an_answer_the_status_is_503(self):
        """Failure: the holder is silent and no other domain is reached."""
        self.submit()
        self.clock.pump([0.0, 0.11, 0.01])
        status, head, _ = self.client.responses[0]
        self.assertEqual(503, status)
        self.assertIn(b"Retry-After: ", head)

    def test_a_client_that_leaves_while_it_waits_leaves_its_token(self):
        """Failure: a token of a client that has left would be lost."""
        exchange = self.submit()
        self.clock.advance(0)
        exchange.done = True
        self.forwarder.client_disconnected(exchange)
        self.answer(1.0)
        self.assertEqual(0, self.forwarder.in_flight)
        self.submit()
        self.assertEqual(1, len(self.same_domain.calls))

    def test_a_request_that_waits_still_has_its_deadline(self):
        """Failure: the answer of the holder is later than the deadline."""
        self.quotas.ask_soon = lambda draws: None
        self.submit()
        self.clock.advance(1.1)
        self.assertEqual([503], self.statuses())
        self.assertEqual(0, self.forwarder.in_flight)

    def test_a_request_that_is_not_admitted_gives_its_token_back(self):
        """Load: the service is full; the refused request has not run."""
        self.forwarder.admission.shares = {route_key("r-read"): 0.0}
        self.submit()
        self.answer(1.0)
        self.assertEqual([503], self.statuses())
        self.forwarder.admission.shares = {}
        self.submit()
        self.assertEqual(1, len(self.same_domain.calls))
        self.assertEqual(1, self.forwarder.in_flight)

    def test_calls_public_routes_and_unlimited_accounts_draw_nothing(self):
        """Load: calls of servers would use up the quota of their request."""
        self.peers.gate.running[b"id"] = make_job([], request_id=b"id")
        self.submit(request_id=b"id.1")
        self.submit(target=b"/open/1", request_id=b"x")
        self.configure(Tenant(name="u", key_digests=(key_digest(KEY),)))
        self.submit(request_id=b"y")
        self.clock.advance(0)
        self.assertEqual(3, len(self.same_domain.calls))
        self.assertEqual([], self.sent)

    def test_a_route_that_is_dropped_while_its_request_waits(self):
        """Failure: the request raised KeyError when its token arrived.

        It was then counted as ended twice, so that a stop broke off others,
        and its tenant never asked for a token again.
        """
        self.submit()
        del self.routes[b"/read/"]
        self.configure(self.tenant)
        self.answer(1.0)
        self.assertEqual(1, self.forwarder.in_flight)
        self.same_domain.end(Outcome.ANSWERED, 200)
        self.assertEqual([200], self.statuses())
        self.assertEqual(0, self.forwarder.in_flight)
        self.submit(target=b"/order/1")
        self.answer(1.0)
        self.assertEqual(1, len(self.same_domain.calls))

    def test_a_priority_that_is_dropped_while_its_request_waits(self):
        """Failure: no account has the priority of the request any more."""
        self.configure(replace(self.tenant, priority=2))
        self.submit()
        self.configure(self.tenant)
        self.answer(1.0)
        self.assertEqual(1, len(self.same_domain.calls))
        self.assertEqual(1, self.forwarder.in_flight)

    def test_a_request_that_waits_is_counted_once(self):
        """Failure: one that ends after an error was counted as ended twice."""
        self.forwarder.admit = lambda request: 1 / 0
        self.submit()
        self.answer(1.0)
        self.assertEqual(1, self.forwarder.in_flight)
        self.clock.advance(1.1)
        self.assertEqual([503], self.statuses())
        self.assertEqual(0, self.forwarder.in_flight)

    def test_an_error_of_one_request_does_not_stop_the_others(self):
        """Failure: its tenant asked for no token any more."""
        admit = self.forwarder.admit
        self.forwarder.admit = lambda request: 1 / 0
        self.submit()
        self.answer(1.0)
        self.forwarder.admit = admit
        self.submit()
        self.answer(1.0)
        self.assertEqual(1, len(self.same_domain.calls))

    def test_a_refused_request_that_waited_is_not_in_flight(self):
        """Load: the service is full, or the node stops meanwhile."""
        self.forwarder.admission.shares = {route_key("r-read"): 0.0}
        self.submit()
        self.assertEqual(1, self.forwarder.in_flight)
        self.answer(1.0)
        self.assertEqual(0, self.forwarder.in_flight)
        self.forwarder.admission.shares = {}
        # The token that was given back has expired by then.
        self.clock.advance(0.3)
        self.submit()
        self.forwarder.closed = True
        self.answer(1.0)
        self.assertEqual([503, 503], self.statuses())
        self.assertEqual(0, self.forwarder.in_flight)

    def test_requests_of_one_turn_ask_together(self):
        """Load: a burst at one node asks with one message."""
        for _ in range(5):
            self.submit()
        self.clock.advance(0)
        (ask,) = self.sent
        self.assertEqual(5, ask.entries[0][2])


class NoQuotaTest(ForwarderFixture):
    """Guards deployments without accounts against any change."""

    def test_without_accounts_nothing_is_asked_or_lent(self):
        self.assertIsNone(self.peers.quotas.lease(None, set()))
        self.submit()
        self.assertEqual(1, len(self.same_domain.calls))
        self.assertEqual({}, self.peers.quotas.draws)
