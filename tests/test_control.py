"""Tests of the control listener."""

import json
from types import SimpleNamespace

from testtools import TestCase
from twisted.internet.address import IPv4Address
from twisted.internet.testing import MemoryReactorClock
from twisted.internet.testing import StringTransport

from flamingosail.backend import Announcement
from flamingosail.control import ControlListener
from flamingosail.control import MAX_BODY_BYTES
from flamingosail.kernel import Kernel
from flamingosail.kernel import Service
from flamingosail.settings import Address

ANNOUNCEMENT = {
    "service": "histbook",
    "host": "127.0.0.1",
    "port": 8000,
    "slots": 150,
    "connections": 1000,
    "pid": 77,
}


class StaticService(Service):
    """A service with a fixed dump."""

    def __init__(self, *, name: str, state: dict, current=None):
        self.name = name
        self.state = state
        self.current = current

    def dump(self) -> dict:
        return self.state


class ControlTest(TestCase):
    """Guards against malformed input that changes the node's state."""

    def setUp(self):
        super().setUp()
        self.reactor = MemoryReactorClock()
        self.kernel = Kernel()
        self.calls = []
        self.control = ControlListener(
            reactor=self.reactor,
            address=Address("127.0.0.1", 7403),
            kernel=self.kernel,
            announce=self.calls.append,
            drain=lambda: self.calls.append("drain"),
            load=lambda *counts: self.calls.append(counts),
        )
        self.kernel.add(self.control)
        self.kernel.start()

    def send(self, head: bytes, body: bytes) -> tuple[int, str, dict]:
        """Return status, content type and JSON body of the response."""
        port, factory, _, host = self.reactor.tcpServers[0]
        self.assertEqual((7403, "127.0.0.1"), (port, host))
        peer = IPv4Address("TCP", "127.0.0.1", 50000)
        protocol = factory.buildProtocol(peer)
        transport = StringTransport(
            hostAddress=IPv4Address("TCP", host, port), peerAddress=peer
        )
        protocol.makeConnection(transport)
        protocol.dataReceived(head + b"\r\n" + body)
        self.reactor.advance(0)
        response_head, _, response = transport.value().partition(b"\r\n\r\n")
        lines = response_head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        status = int(lines[0].split()[1])
        return status, headers["content-type"], json.loads(response)

    def get(self, path: str) -> tuple[int, str, dict]:
        return self.send(f"GET {path} HTTP/1.1\r\nHost: n\r\n".encode(), b"")

    def post(self, path: str, value) -> tuple[int, str, dict]:
        body = value if isinstance(value, bytes) else json.dumps(value)
        body = body if isinstance(body, bytes) else body.encode()
        head = f"POST {path} HTTP/1.1\r\nHost: n\r\n"
        head += f"Content-Length: {len(body)}\r\n"
        return self.send(head.encode(), body)

    def assert_malformed(self, path: str, value, *details: str):
        status, content_type, body = self.post(path, value)
        self.assertEqual(400, status, body)
        self.assertEqual("application/problem+json", content_type)
        self.assertEqual("urn:flamingosail:malformed", body["type"])
        self.assertEqual("not-run", body["verdict"])
        for detail in details:
            self.assertIn(detail, body["detail"])
        self.assertEqual([], self.calls)

    def test_passes_on_an_announcement(self):
        self.assertEqual(
            (200, "application/json", {}), self.post("/announce", ANNOUNCEMENT)
        )
        self.assertEqual(
            [
                Announcement(
                    service="histbook",
                    host="127.0.0.1",
                    port=8000,
                    slots=150,
                    connections=1000,
                    pid=77,
                )
            ],
            self.calls,
        )

    def test_refuses_an_invalid_announcement_with_all_errors(self):
        invalid = {
            **ANNOUNCEMENT,
            "host": "localhost",
            "port": 0,
            "slots": True,
            "connections": 10.0,
            "colour": "red",
        }
        del invalid["pid"]
        self.assert_malformed(
            "/announce",
            invalid,
            "pid: missing",
            "host: must be a specific IP address",
            "port: must be a whole number from 1 to 65535",
            "slots: must be a whole number",
            "connections: must be a whole number",
            "colour: unknown member",
        )

    def test_refuses_hosts_that_cannot_be_connected_to(self):
        for host in (2130706433, "0.0.0.0", "", None, ["127.0.0.1"]):
            self.assert_malformed(
                "/announce", {**ANNOUNCEMENT, "host": host}, "host: must be"
            )

    def test_refuses_bodies_that_are_not_a_json_object(self):
        for body in (b"", b"[]", b"null", b"{", b"\xff", b"[" * 10_000):
            self.assert_malformed("/announce", body)
        self.assert_malformed(
            "/load", b'{"in_flight":1,"in_flight":2,"queued":0}', "twice"
        )

    def test_refuses_a_body_above_the_limit(self):
        body = b" " * (MAX_BODY_BYTES + 1)
        status, _, problem = self.post("/load", body)
        self.assertEqual(413, status)
        self.assertEqual("urn:flamingosail:body-too-large", problem["type"])
        status, _, _ = self.post("/load", body * 20)
        self.assertEqual(413, status)
        self.assertEqual([], self.calls)

    def test_passes_on_a_drain_and_a_load_report(self):
        self.assertEqual(202, self.post("/drain", b"")[0])
        self.assertEqual(202, self.post("/drain", {})[0])
        report = {"in_flight": 3, "queued": 0}
        self.assertEqual(200, self.post("/load", report)[0])
        self.assertEqual(["drain", "drain", (3, 0)], self.calls)
        del self.calls[:]
        self.assert_malformed("/drain", {"now": True}, "now: unknown member")
        self.assert_malformed(
            "/load", {"in_flight": -1}, "in_flight: must", "queued: missing"
        )

    def test_dumps_all_services_or_one(self):
        self.kernel.add(StaticService(name="queue", state={"length": 2}))
        status, _, body = self.get("/dump")
        self.assertEqual(200, status)
        self.assertEqual({"length": 2}, body["queue"])
        self.assertEqual(["control", "queue"], list(body))
        self.assertEqual({"length": 2}, self.get("/dump/queue")[2])
        status, content_type, body = self.get("/dump/keys")
        self.assertEqual(404, status)
        self.assertEqual("application/problem+json", content_type)
        self.assertIn("control, queue", body["detail"])

    def test_health_is_200_only_while_serving(self):
        self.assertEqual(503, self.get("/health")[0])
        lifecycle = StaticService(name="lifecycle", state={"state": "serving"})
        self.kernel.add(lifecycle)
        self.assertEqual(
            (200, "application/json", {"state": "serving"}),
            self.get("/health"),
        )
        lifecycle.state = {"state": "draining"}
        self.assertEqual(503, self.get("/health")[0])

    def test_shows_the_manifest_in_force(self):
        status, _, problem = self.get("/manifest")
        self.assertEqual(503, status)
        self.assertEqual("urn:flamingosail:no-manifest", problem["type"])
        current = SimpleNamespace(version=4, body=b'{"kinds": {}}')
        self.kernel.add(
            StaticService(name="manifest", state={}, current=current)
        )
        self.assertEqual(
            {"version": 4, "body": {"kinds": {}}}, self.get("/manifest")[2]
        )

    def test_unknown_routes_and_methods_get_problem_details(self):
        status, content_type, _ = self.get("/nothing")
        self.assertEqual(404, status)
        self.assertEqual("application/problem+json", content_type)
        self.assertEqual(405, self.get("/drain")[0])
        self.assertEqual([], self.calls)

    def test_an_internal_error_shows_only_its_type(self):
        self.control.drain = lambda: 1 / 0
        status, content_type, body = self.post("/drain", b"")
        self.assertEqual(500, status)
        self.assertEqual("application/problem+json", content_type)
        self.assertIn("ZeroDivisionError; see", body["detail"])
