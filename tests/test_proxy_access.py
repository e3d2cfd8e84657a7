"""Tests of the keys of client accounts, from the connection to the server."""

from dataclasses import replace

from testtools import TestCase
from twisted.internet.address import IPv4Address
from twisted.internet.testing import MemoryReactorClock

from flamingosail.proxy.policy.access import AccessPolicy
from flamingosail.proxy.policy.access import Denial
from flamingosail.proxy.shared.freshness import Freshness
from flamingosail.proxy.shared.tenants import key_digest
from flamingosail.proxy.shared.tenants import Tenant
from flamingosail.proxy.shared.tenants import TenantTable
from flamingosail.proxy.transport.client import MAX_CREDENTIAL_BYTES
from tests.proxyfakes import make_job
from tests.proxyfakes import make_route
from tests.proxyfakes import make_table
from tests.test_proxy_connections import ClientConnectionCase
from tests.test_proxy_connections import request
from tests.test_proxy_forward import ForwarderFixture

LEASE_SECONDS = 5.0
TENANTS = TenantTable.of(
    (
        Tenant(name="a", priority=1, key_digests=(key_digest(b"key-a"),)),
        Tenant(name="b", key_digests=(key_digest(b"key-b"),)),
    )
)


class AccessPolicyTest(TestCase):
    """Guards what a node may say about a key with the knowledge it has."""

    def setUp(self):
        super().setUp()
        self.clock = MemoryReactorClock()
        self.behind = 0.0
        self.freshness = Freshness(
            seconds=self.clock.seconds,
            config_version=lambda: 1,
            revocation_seconds=LEASE_SECONDS,
        )
        self.freshness.observe(1, self.clock.seconds())
        self.policy = AccessPolicy(
            freshness=self.freshness, behind_seconds=lambda: self.behind
        )
        self.table = replace(make_table(1), tenants=TENANTS)

    def check(self, credential, *, route=None, table=None, **options):
        options = {"is_call": False, "names_parent": False, **options}
        return self.policy.check(
            table or self.table,
            route or make_route(),
            credential=credential,
            **options,
        )

    def denial(self, credential, **options):
        return self.check(credential, **options).denial

    def test_a_key_names_its_account(self):
        self.assertEqual("a", self.check(b"key-a").tenant.name)

    def test_unknown_missing_and_unusable_keys_are_denied(self):
        self.assertIs(Denial.UNKNOWN_KEY, self.denial(b"key-c"))
        self.assertIs(Denial.NO_KEY, self.denial(None))
        self.assertIs(Denial.NO_KEY, self.denial(b""))

    def test_public_routes_calls_and_other_deployments_need_no_key(self):
        """Guards against a cut that ends what no key is needed for."""
        self.clock.advance(LEASE_SECONDS)
        for options in (
            {"route": make_route(public=True)},
            {"is_call": True},
            {"table": make_table(1)},
        ):
            access = self.check(b"key-a", **options)
            self.assertIsNone(access.denial)
            self.assertIsNone(access.tenant)

    def test_no_key_is_accepted_without_a_lease(self):
        """Guards against keys taken away while the node was cut off."""
        self.clock.advance(LEASE_SECONDS)
        self.assertIs(Denial.OUTDATED, self.denial(b"key-a"))
        self.assertIs(Denial.OUTDATED, self.denial(b"key-c"))
        self.assertIs(Denial.OUTDATED, self.denial(None))

    def test_a_key_that_a_newer_version_may_add_is_not_called_unknown(self):
        """Guards against 401 for a key that was added during a cut."""
        self.behind = 0.1
        self.assertIs(Denial.OUTDATED, self.denial(b"key-c"))
        self.assertIsNone(self.denial(b"key-a"))
        self.behind = 0.0
        self.clock.advance(LEASE_SECONDS * 0.6)
        self.assertIs(Denial.OUTDATED, self.denial(b"key-c"))
        self.assertIsNone(self.denial(b"key-a"))

    def test_a_call_of_an_unknown_request_may_be_one_of_the_server(self):
        """Guards against 401 for what runs while the node restarts."""
        self.assertIs(
            Denial.UNKNOWN_PARENT, self.denial(None, names_parent=True)
        )
        self.assertIs(
            Denial.UNKNOWN_KEY, self.denial(b"key-c", names_parent=True)
        )


class ForwardedKeyTest(ForwarderFixture):
    """Guards against requests that run without a right to it."""

    def setUp(self):
        super().setUp()
        self.routes[b"/public/"] = make_route(name="r-public", public=True)
        table = self.forwarder.table
        self.forwarder.set_route_table(replace(table, tenants=TENANTS))
        self.freshness.observe(1, self.clock.seconds())

    def submit(self, credential=None, *, from_own_vm=True, **options):
        exchange = self.client.exchange(self.clock, **options)
        exchange.credential = credential
        exchange.from_own_vm = from_own_vm
        self.forwarder.handle(exchange)
        return exchange

    def sent_fields(self) -> dict:
        return self.same_domain.calls[-1][1]

    def test_the_server_is_told_the_account_and_not_the_key(self):
        exchange = self.submit(b"key-a")
        self.assertIn(b"x-tenant: a\r\n", self.sent_fields()["head"])
        self.assertNotIn(b"key-a", repr(self.sent_fields()).encode())
        self.assertIsNone(exchange.credential)

    def test_a_denied_request_reaches_no_server(self):
        self.submit(b"key-c")
        self.submit(None)
        self.clock.advance(LEASE_SECONDS)
        self.submit(b"key-a")
        self.assertEqual([401, 401, 503], self.statuses())
        self.assertIn(b"Retry-After: ", self.client.responses[-1][1])
        self.assertEqual([], self.same_domain.calls)
        self.assertEqual(0, self.forwarder.in_flight)

    def test_no_key_is_in_a_log_line_or_metric(self):
        logged = []
        self.forwarder.decisions.write = lambda limit, message, fields: (
            logged.append((message, fields()))
        )
        self.submit(b"key-a")
        self.submit(b"wrong-key")
        self.same_domain.end(0, 200)
        text = repr(logged) + self.forwarder.metrics.text().decode()
        self.assertIn("requests_denied", text)
        self.assertNotIn("key-a", text)
        self.assertNotIn("wrong-key", text)

    def test_keys_go_on_in_public_routes_without_an_account(self):
        self.submit(b"key-a", target=b"/public/1")
        self.assertNotIn(b"x-tenant", self.sent_fields()["head"])

    def test_the_priority_of_the_account_precedes_that_of_the_route(self):
        self.submit(b"key-b")
        self.assertEqual(2 * 1 + 1, self.sent_fields()["rank"])
        self.submit(b"key-a")
        self.assertEqual(2 * (64 + 1) + 1, self.sent_fields()["rank"])

    def test_calls_of_the_own_server_need_no_key(self):
        parent = make_job([], request_id=b"id", rank=131)
        self.peers.gate.running[b"id"] = parent
        self.submit(None, request_id=b"id.1")
        self.assertEqual(130, self.sent_fields()["rank"])
        self.assertNotIn(b"x-tenant", self.sent_fields()["head"])

    def test_a_call_from_another_vm_needs_a_key(self):
        """Guards against a client that names a request which runs here."""
        self.peers.gate.running[b"id"] = make_job([], request_id=b"id")
        self.submit(b"key-c", request_id=b"id.1", from_own_vm=False)
        self.submit(None, request_id=b"id.2", from_own_vm=False)
        self.assertEqual([401, 503], self.statuses())
        self.assertEqual([], self.same_domain.calls)


class KeyHeaderTest(ClientConnectionCase):
    """Guards against keys that pass the connection as ordinary headers."""

    def received(self, headers: str):
        self.receive(request("a", headers))
        return self.handler.exchanges[-1]

    def test_the_key_is_taken_from_the_header_in_any_case(self):
        for name in ("x-key", "X-Key", "X-KEY"):
            exchange = self.received(f"{name}:  k1 \t\r\nX-Tenant: forged\r\n")
            self.assertEqual(b"k1", exchange.credential)
            self.assertEqual([b"Host: h\r\n"], exchange.head)

    def test_a_repeated_or_hostile_key_is_unusable_and_not_kept(self):
        for headers in (
            "x-key: k1\r\nX-Key: k1\r\n",
            "x-key: k1\r\nx-key: k2\r\nx-key: k1\r\n",
            "x-key: " + "k" * (MAX_CREDENTIAL_BYTES // 8) * 9 + "\r\n",
            "x-key:\r\n",
        ):
            # The header limit of the fixture is below the longest key.
            self.handler.limits = replace(
                self.handler.limits, max_header_bytes=16_384
            )
            exchange = self.received(headers)
            self.assertEqual(b"", exchange.credential)
            self.assertEqual([b"Host: h\r\n"], exchange.head)

    def test_a_key_in_a_trailer_is_dropped(self):
        self.receive(
            b"POST /a HTTP/1.1\r\nHost: h\r\nx-id: a\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"1\r\nx\r\n0\r\nx-key: k1\r\nx-tenant: a\r\n\r\n"
        )
        exchange = self.handler.exchanges[0]
        self.assertIsNone(exchange.credential)
        self.assertEqual([b"Host: h\r\n"], exchange.head)

    def test_the_key_of_an_ended_request_is_not_kept(self):
        exchange = self.received("x-key: k1\r\n")
        exchange.respond(401, b"")
        self.assertIsNone(exchange.credential)

    def test_a_client_on_another_vm_is_recognized(self):
        own = IPv4Address("TCP", "10.0.0.5", 80)
        for host, expected in (
            ("10.0.0.5", True),
            ("127.0.0.1", True),
            ("10.0.0.6", False),
        ):
            transport = type(self.transport)(
                hostAddress=own, peerAddress=IPv4Address("TCP", host, 9)
            )
            connection = self.listener.buildProtocol(None)
            connection.makeConnection(transport)
            connection.dataReceived(request("a"))
            exchange = self.handler.exchanges[-1]
            self.assertEqual(expected, exchange.from_own_vm)
