"""Tests of requests during the planned stop of a node."""

from testtools import TestCase
from twisted.internet.testing import MemoryReactorClock

from flamingosail.proxy.shared.configspread import ConfigSource
from tests.proxyfakes import ClosingTransport
from tests.proxyfakes import FakePool
from tests.proxyfakes import make_node
from tests.proxyfakes import make_report
from tests.proxyfakes import make_route
from tests.proxyfakes import make_table

STOP_SECONDS = 6.0
TIMEOUT_SECONDS = 5.0


class PlannedStopTest(TestCase):
    """Guards against requests that a stop cuts off without an answer."""

    def setUp(self):
        super().setUp()
        self.clock = MemoryReactorClock()
        route = make_route(idempotent=False, timeout_seconds=TIMEOUT_SECONDS)
        self.node = make_node(
            self.clock, lambda document: make_table(1, route)
        )
        self.pool = self.node.gate.pool = FakePool()
        self.node.start()
        self.node.apply_config(b"", ConfigSource.STORE)
        self.node.gate.server.handle_report(make_report(slots=1))
        self.transports = {}
        self.stopped = []

    def stop(self):
        self.stopping_at = self.clock.seconds()
        self.node.stop().addCallback(
            lambda result: self.stopped.append(self.clock.seconds())
        )

    def run_until(self, seconds: float):
        """Advance the clock until so long after the stop began."""
        while self.clock.seconds() < self.stopping_at + seconds - 0.001:
            self.clock.advance(0.05)

    def request(self, name: str):
        """Send a request on a new connection."""
        connection = self.node.clients.buildProtocol(None)
        transport = self.transports[name] = ClosingTransport()
        connection.makeConnection(transport)
        connection.dataReceived(
            f"POST / HTTP/1.1\r\nHost: h\r\nx-id: {name}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    def status(self, name: str) -> int | None:
        """Return the status that a client got, None if it got none."""
        data = self.transports[name].value()
        return int(data.split()[1]) if data else None

    def deadline_ms(self, request) -> int:
        """Return the deadline in a request to the server."""
        return int(request.data.partition(b"x-deadline: ")[2].split()[0])

    def test_a_request_that_comes_late_is_refused(self):
        self.stop()
        self.run_until(4.0)
        self.request("a")  # keeps the node from stopping earlier
        self.assertEqual((503, []), (self.status("a"), self.pool.sent))

    def test_the_server_gets_no_more_time_than_the_node_has(self):
        """It was still at work when the node ended, and its answer lost."""
        self.stop()
        self.run_until(2.0)
        self.request("a")
        left_ms = 1000 * (STOP_SECONDS - 2.0)
        self.assertLess(self.deadline_ms(self.pool.sent[0]), left_ms - 500)

    def test_each_request_is_answered_before_the_node_ends(self):
        """They were cut, also those that had not been sent to a server."""
        self.stop()
        self.run_until(2.2)
        self.request("running")
        self.request("waits")
        self.run_until(STOP_SECONDS - 0.3)
        self.assertEqual(1, len(self.stopped))
        self.assertEqual(
            (502, 503), (self.status("running"), self.status("waits"))
        )
        self.assertTrue(self.transports["waits"].closed)
