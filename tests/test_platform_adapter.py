"""Tests of the platform adapter, without sockets."""

import json
import platform
import sys
from math import inf
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from flamingosail_platform.configuration import parse_configuration
from flamingosail_platform.control import ControlHandler
from flamingosail_platform.dialect import DIALECT
from flamingosail_platform.settings import parse_platform_settings
from flamingosail_platform.settings import read_platform_settings
from msgspec.json import decode
from msgspec.json import encode
from testtools import ExpectedException
from testtools import TestCase
from twisted.internet.testing import MemoryReactorClock

from flamingosail.proxy.node import NodeConfig
from flamingosail.proxy.node import ProxyNode
from flamingosail.proxy.shared.configspread import ConfigSource
from flamingosail.proxy.transport.hop import encode_frame
from flamingosail.settings import Address

SETTINGS = """\
node=side-1
zone=kolkata-n
service=histbook
listen.inbound=10.1.0.8:8300
listen.outbound=10.1.0.8:8304
listen.ready=10.1.0.8:8302
listen.control=10.1.0.8:8306
appAddr=10.1.0.8:8301
platform.address=10.200.1.7:8309
bounds=seedLagS=3,drainS=2,graceS=6,retryBudgetRatio=0.2,budgetMinRetries=47
unknown.field=1
"""
CONFIGURATION = {
    "version": 7,
    "services": [
        {"name": "histbook", "healthPath": "/health", "maxConnections": 9},
        {"name": "retire", "healthPath": "/health", "maxConnections": 9},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1000000,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    },
    "virtualHosts": [
        {
            "host": "a.example",
            "paths": [
                {
                    "name": "r-1",
                    "pathPrefix": "/read/",
                    "routeType": "safe",
                    "timeoutS": 5,
                    "targetLatencyS": 1.2,
                    "priority": 2,
                    "maxAttempts": 2,
                    "trafficSplit": [
                        {"service": "histbook", "weight": 90},
                        {"service": "retire", "weight": 10},
                    ],
                },
                {
                    "name": "r-2",
                    "pathPrefix": "/read/deep/",
                    "routeType": "unsafe",
                    "timeoutS": 5,
                    "targetLatencyS": 1.2,
                    "priority": 0,
                    "maxAttempts": 1,
                    "service": "retire",
                },
            ],
        }
    ],
}


def configuration_with(**route_changes) -> bytes:
    """Return the configuration with changes to its first route.

    None removes a field.
    """
    document = json.loads(json.dumps(CONFIGURATION))
    route = document["virtualHosts"][0]["paths"][0]
    for name, value in route_changes.items():
        if value is None:
            del route[name]
        else:
            route[name] = value
    return json.dumps(document).encode()


class ModuleNameTest(TestCase):
    """The folder platform/ must not hide the module that twisted imports."""

    def test_import_platform_gives_the_standard_library(self):
        self.assertIn("python_implementation", dir(platform))
        self.assertTrue(sys.modules["flamingosail_platform"])


class SettingsTest(TestCase):
    """A node must not start with missing or invalid settings."""

    def test_settings_are_read_and_unknown_ones_ignored(self):
        settings = parse_platform_settings(SETTINGS)
        self.assertEqual("kolkata-n", settings.failure_domain)
        self.assertEqual(Address("10.1.0.8", 8304), settings.clients)
        self.assertEqual(2.0, settings.drain_seconds)

    def test_all_failure_domains_are_read(self):
        """Guards against quotas that are divided among too few domains."""
        text = SETTINGS + "zones.a=west\nzones.b=west\n"
        settings = parse_platform_settings(text)
        self.assertEqual(("a", "b"), settings.failure_domains)

    def test_unreadable_settings_are_an_error_of_the_settings(self):
        """Another error would end the loop that rereads changed settings."""
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name, "settings")
        path.write_bytes(b"node=\xff\xfe\n")
        with ExpectedException(ExceptionGroup):
            read_platform_settings(path)

    def test_the_memory_limit_has_a_default(self):
        settings = parse_platform_settings(SETTINGS)
        self.assertEqual(200_000_000, settings.memory_bytes)
        settings = parse_platform_settings(SETTINGS + "limits.memoryMb=552\n")
        self.assertEqual(552_000_000, settings.memory_bytes)

    def test_sockets_are_limited_if_descriptors_are(self):
        settings = parse_platform_settings(SETTINGS)
        self.assertEqual(inf, settings.max_sockets)
        settings = parse_platform_settings(SETTINGS + "limits.maxFds=4100\n")
        self.assertEqual(3900, settings.max_sockets)
        with ExpectedException(ExceptionGroup):
            parse_platform_settings(SETTINGS + "limits.maxFds=200\n")

    def test_the_time_to_apply_a_configuration_has_a_default(self):
        settings = parse_platform_settings(SETTINGS)
        self.assertEqual(2.0, settings.config_apply_seconds)
        text = SETTINGS.replace("drainS=2", "drainS=2,configApplyS=2.5")
        settings = parse_platform_settings(text)
        self.assertEqual(2.5, settings.config_apply_seconds)

    def test_the_time_to_revoke_a_key_binds_only_where_it_is_strict(self):
        """Guards against a node that goes on with old keys, or need not."""
        for bounds, expected in (
            ("", None),
            (",revokeS=5", None),
            (",revokeS=5,strictRevoke=false", None),
            (",revokeS=5,strictRevoke=true", 5.0),
        ):
            text = SETTINGS.replace("Retries=47", "Retries=47" + bounds)
            settings = parse_platform_settings(text)
            self.assertEqual(expected, settings.revocation_seconds)
        for bounds in (",strictRevoke=true", ",strictRevoke=true,revokeS=0"):
            text = SETTINGS.replace("Retries=47", "Retries=47" + bounds)
            with ExpectedException(ExceptionGroup):
                parse_platform_settings(text)

    def test_all_invalid_settings_are_reported(self):
        text = SETTINGS.replace("appAddr=10.1.0.8:8301", "appAddr=here")
        text = text.replace("drainS=2", "drainS=-2").replace("node=", "n=")
        text = text.replace("Ratio=0.2", "Ratio=inf")
        try:
            parse_platform_settings(text)
        except* Exception as group:
            messages = " ".join(map(str, group.exceptions))
        for name in ("node", "appAddr", "drainS", "retryBudgetRatio"):
            self.assertIn(name, messages)


class ConfigurationTest(TestCase):
    """Invalid configurations must be rejected; routes match by prefix."""

    def test_the_longest_prefix_selects_the_route(self):
        table = parse_configuration(json.dumps(CONFIGURATION).encode())
        names = [
            (route := table.find(host, target)) and route.name
            for host, target in (
                (b"a.example", b"/read/x?y=/read/deep/"),
                (b"A.example:80", b"/read/deep/x"),
                (b"a.example", b"/read/deeper"),
                (b"a.example", b"/other"),
                (b"b.example", b"/read/x"),
            )
        ]
        self.assertEqual(["r-1", "r-2", "r-1", None, None], names)
        self.assertFalse(table.find(b"a.example", b"/read/deep/").idempotent)

    def test_only_safe_routes_are_idempotent(self):
        """A type of a later release must not silence the node."""
        for route_type, idempotent in (
            ("safe", True),
            ("unsafe", False),
            ("upload", False),
            ("maybe", False),
        ):
            table = parse_configuration(
                configuration_with(routeType=route_type)
            )
            route = table.find(b"a.example", b"/read/x")
            self.assertEqual(idempotent, route.idempotent, route_type)
            self.assertTrue(table.find(b"a.example", b"/read/deep/x"))

    def test_invalid_documents_are_rejected(self):
        valid = json.dumps(CONFIGURATION).encode()
        for document in (
            valid[:-20],
            b"[]",
            configuration_with(timeoutS=None),
            configuration_with(timeoutS=0),
            configuration_with(routeType=""),
            configuration_with(routeType=7),
            configuration_with(routeType=None),
            configuration_with(
                trafficSplit=[{"service": "histbook", "weight": 0}]
            ),
            configuration_with(
                trafficSplit=[{"service": "nobody", "weight": 1}]
            ),
            configuration_with(trafficSplit=[{"service": "histbook"}]),
            configuration_with(trafficSplit=None),
            configuration_with(pathPrefix="read"),
        ):
            with ExpectedException(ValueError):
                parse_configuration(document)


def configuration_with_tenants(*tenants: dict) -> bytes:
    """Return the configuration with client accounts; route r-1 is public."""
    document = json.loads(configuration_with(public=True))
    return json.dumps({**document, "tenants": tenants}).encode()


class TenantsTest(TestCase):
    """A doubtful account must not open a door, nor close one by accident."""

    def test_accounts_are_found_by_their_keys(self):
        table = parse_configuration(
            configuration_with_tenants(
                {"name": "a", "apiKeys": ["k1", "k2"], "priority": 0},
                {"name": "b", "apiKeys": ["k3"], "ratePerS": 4, "burst": 8},
                {"name": "c", "apiKeys": []},
            )
        )
        found = {key: table.tenants.find(key) for key in (b"k1", b"k2", b"k3")}
        self.assertEqual("a", found[b"k1"].name)
        self.assertIs(found[b"k1"], found[b"k2"])
        self.assertEqual(0, found[b"k1"].priority)
        self.assertEqual((4.0, 8.0), (found[b"k3"].rate, found[b"k3"].burst))
        self.assertIsNone(found[b"k3"].priority)
        self.assertIsNone(table.tenants.find(b"k4"))
        self.assertIsNone(table.tenants.find(b""))

    def test_routes_state_whether_they_are_public_and_their_aim(self):
        table = parse_configuration(configuration_with_tenants())
        public = table.find(b"a.example", b"/read/x")
        self.assertTrue(public.public)
        self.assertEqual(1.2, public.target_seconds)
        self.assertFalse(table.find(b"a.example", b"/read/deep/x").public)

    def test_without_accounts_no_key_is_needed(self):
        self.assertIsNone(parse_configuration(configuration_with()).tenants)

    def test_a_doubtful_account_makes_the_document_invalid(self):
        good = {"name": "good", "apiKeys": ["secret"]}
        for entry, place in (
            ({"apiKeys": ["k"]}, "tenants[1] ('')"),
            ({"name": ""}, "tenants[1] ('')"),
            ({"name": "b\r\nX: y"}, "tenants[1] ('b"),
            ({"name": "b "}, "tenants[1] ('b ')"),
            ({"name": "b", "apiKeys": [""]}, "tenants[1] ('b')"),
            ({"name": "b", "apiKeys": ["k", "k"]}, "tenant 'b'"),
            ({"name": "b", "apiKeys": ["secret"]}, "tenants 'good' and 'b'"),
            ({"name": "good"}, "tenant 'good'"),
            ({"name": "b", "ratePerS": -1}, "tenants[1] ('b'): ratePerS"),
            ({"name": "b", "burst": -1}, "tenants[1] ('b'): burst"),
            ({"name": "b", "priority": -1}, "tenants[1] ('b'): priority"),
            ({"name": "b", "apiKeys": "secret"}, "tenants"),
        ):
            error = self.assertRaises(
                ValueError,
                parse_configuration,
                configuration_with_tenants(good, entry),
            )
            self.assertIn(place, str(error))
            self.assertNotIn("secret", str(error))


class FakeConnection:
    """Keeps the status of the response."""

    def respond(self, status, headers, body, **options):
        self.status = status
        self.body = body


class ControlTest(TestCase):
    """Only valid reports of the VM's backend server may change its state."""

    def setUp(self):
        super().setUp()
        clock = MemoryReactorClock()
        self.node = ProxyNode(
            reactor=clock,
            random=Random(1),
            config=NodeConfig(
                name="side-1",
                failure_domain="kolkata-n",
                service="histbook",
                clients=Address("10.1.0.8", 1),
                peers=Address("10.1.0.8", 2),
                advertised=Address("10.1.0.8", 2),
                server=Address("10.1.0.8", 8301),
                drain_seconds=2.0,
                retry_ratio=0.2,
                memory_bytes=200_000_000,
                retry_minimum=47,
                stop_seconds=6.0,
            ),
            dialect=DIALECT,
            parse_config=parse_configuration,
        )
        self.control = ControlHandler(clock=clock, node=self.node)

    def post(self, path: str, document) -> int:
        body = document if isinstance(document, bytes) else encode(document)
        connection = FakeConnection()
        self.control.handle(connection, b"POST", path.encode(), [], body)
        return connection.status

    def send_heartbeat(self, *, instance="i-1", born=1000, **changes) -> int:
        document = {
            "address": "10.1.0.8:8301",
            "born": born,
            "info": {"service": "histbook", "version": "v1", "slots": 20},
            "status": {"state": "ready", "seq": 4, "coldRemainingS": 0},
        }
        for key, value in changes.items():
            for part in (document, document["info"], document["status"]):
                if key in part:
                    part[key] = value
        return self.post(f"/v1/Instances.Heartbeat/{instance}", document)

    def test_a_heartbeat_makes_the_server_known(self):
        self.assertEqual(200, self.send_heartbeat())
        self.assertEqual("ready", self.node.gate.server.state)
        self.assertEqual("i-1", self.node.status().instance)

    def test_invalid_heartbeats_are_rejected_and_change_nothing(self):
        self.send_heartbeat()
        for changes in (
            {"state": "sleeping"},
            {"service": "gatekeeper"},
            {"address": "10.9.9.9:1"},
            {"slots": "many"},
            {"slots": 0},
            {"seq": None},
            {"info": []},
        ):
            self.assertEqual(
                400, self.send_heartbeat(instance="i-2", **changes)
            )
        self.assertEqual(
            400, self.post("/v1/Instances.Heartbeat/i-2", b"{cut")
        )
        self.assertEqual(
            400, self.send_heartbeat(instance="i-2%0d%0aHost:%20other")
        )
        self.assertEqual("i-1", self.node.gate.server.report.instance)

    def test_an_odd_start_time_does_not_hide_the_server(self):
        """Guards against a report that no later one of the server replaces.

        A start time beyond 64 bits also ended all messages to other nodes.
        """
        for changes in ({"seq": 2**70}, {"seq": 2**60}):
            self.assertEqual(400, self.send_heartbeat(**changes))
        for born in (2**70, 2**60, 10**14, -(2**60)):
            self.assertEqual(400, self.send_heartbeat(born=born))
        self.assertEqual(200, self.send_heartbeat())
        encode_frame(self.node.status())

    def test_an_operator_lists_and_lifts_a_quarantine(self):
        quarantine = self.node.quarantine
        quarantine.record_crash(("i-1", 1), [255], None)
        quarantine.record_crash(("i-2", 1), [255], 255)
        connection = FakeConnection()
        self.control.handle(connection, b"GET", b"/quarantine", [], b"")
        self.assertEqual("quarantined", decode(connection.body)[0]["verdict"])
        for name, status in (("ff", 200), ("ff", 404), ("x", 404)):
            path = f"/quarantine/{name}".encode()
            self.control.handle(connection, b"DELETE", path, [], b"")
            self.assertEqual(status, connection.status)
        self.assertEqual(set(), quarantine.suspects)

    def test_a_deregistration_before_the_first_heartbeat_counts(self):
        path = "/v1/Instances.Deregister/i-1"
        self.assertEqual(200, self.post(path, {"born": 1000}))
        self.send_heartbeat()
        self.assertEqual("draining", self.node.gate.server.state)

    def test_deregistration_of_an_earlier_start_is_ignored(self):
        self.send_heartbeat(born=2000)
        self.post("/v1/Instances.Deregister/i-1", {"born": 1000})
        self.assertEqual("ready", self.node.gate.server.state)

    def test_a_node_is_ready_once_it_has_a_configuration(self):
        connection = FakeConnection()
        target = b"/v1/readiness"
        self.control.handle(connection, b"GET", target, [], b"")
        self.assertEqual(503, connection.status)
        self.node.apply_config(
            json.dumps(CONFIGURATION).encode(), ConfigSource.STORE
        )
        self.control.handle(connection, b"GET", target, [], b"")
        self.assertEqual(200, connection.status)

    def test_older_or_invalid_configurations_are_ignored(self):
        self.node.apply_config(
            json.dumps(CONFIGURATION).encode(), ConfigSource.STORE
        )
        older = json.dumps({**CONFIGURATION, "version": 6}).encode()
        self.node.apply_config(older, ConfigSource.NEAR_PEER)
        self.node.apply_config(b"{cut", ConfigSource.NEAR_PEER)
        self.assertEqual(7, self.node.config_version())
