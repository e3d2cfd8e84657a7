"""Tests of client connections and of connections to the backend server."""

import tracemalloc
from select import select
from socket import create_connection
from socket import create_server
from socket import SHUT_WR
from socket import SO_ERROR
from socket import SO_LINGER
from socket import SO_RCVBUF
from socket import SO_SNDBUF
from socket import SOL_SOCKET
from struct import pack

from testtools import TestCase
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.tcp import Connection
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from flamingosail.proxy.shared.routes import ClientLimits
from flamingosail.proxy.transport.backendserver import CONNECTION_LOST
from flamingosail.proxy.transport.backendserver import MAX_HEADER_BYTES
from flamingosail.proxy.transport.backendserver import MAX_REFUSED_IDS
from flamingosail.proxy.transport.backendserver import parse_rate
from flamingosail.proxy.transport.backendserver import ServerConnection
from flamingosail.proxy.transport.backendserver import ServerRequest
from flamingosail.proxy.transport.client import ClientListener
from flamingosail.proxy.transport.serverpool import ServerPool
from flamingosail.settings import Address
from tests.proxyfakes import ClosingTransport
from tests.proxyfakes import DIALECT


class Handler:
    """Records the exchanges, and which clients disconnected."""

    def __init__(self):
        self.limits = ClientLimits(max_header_bytes=1000, max_body_bytes=2000)
        self.exchanges = []
        self.disconnected_ids = []

    def handle(self, exchange):
        self.exchanges.append(exchange)

    def client_disconnected(self, exchange):
        self.disconnected_ids.append(exchange.request_id)


def request(name: str, headers: str = "") -> bytes:
    """Return a GET request with the given id and further header lines."""
    return (
        f"GET /{name} HTTP/1.1\r\nHost: h\r\nx-id: {name}\r\n{headers}\r\n"
    ).encode()


class ClientConnectionCase(TestCase):
    """A connection of a client to a node."""

    def setUp(self):
        super().setUp()
        self.clock = MemoryReactorClock()
        self.handler = Handler()
        self.listener = ClientListener(
            clock=self.clock,
            dialect=DIALECT,
            handler=self.handler,
            max_buffered_bytes=10_000,
        )
        self.connection = self.listener.buildProtocol(None)
        self.transport = ClosingTransport()
        self.connection.makeConnection(self.transport)

    def receive(self, data: bytes):
        self.connection.dataReceived(data)

    def written(self) -> bytes:
        return self.transport.value()


class ClientConnectionTest(ClientConnectionCase):
    """Guards against swapped, lost or truncated responses."""

    def test_pipelined_responses_keep_the_order_of_the_requests(self):
        self.receive(request("a") + request("b"))
        first, second = self.handler.exchanges
        second.respond(200, b"", b"second")
        self.assertEqual(b"", self.written())
        first.respond(200, b"", b"first")
        self.assertLess(
            self.written().index(b"first"), self.written().index(b"second")
        )

    def test_draining_drops_no_pipelined_request(self):
        """A client retries requests that follow a response with close."""
        self.receive(request("a") + request("b"))
        self.listener.draining = True
        first, second = self.handler.exchanges
        first.respond(200, b"", b"first")
        self.assertNotIn(b"Connection: close", self.written())
        second.respond(200, b"", b"second")
        self.assertEqual(1, self.written().count(b"Connection: close"))
        self.assertTrue(self.transport.closed)

    def test_a_disconnect_cancels_all_requests_of_the_client(self):
        self.receive(request("a") + request("b"))
        self.connection.connectionLost(Failure(ConnectionDone()))
        self.assertEqual([b"a", b"b"], self.handler.disconnected_ids)

    def test_a_request_is_handled_when_its_body_is_complete(self):
        self.receive(
            b"POST /a HTTP/1.1\r\nHost: h\r\nx-id: a\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        )
        self.assertEqual([], self.handler.exchanges)
        self.receive(b"2\r\nde\r\n0\r\n\r\n")
        self.assertEqual(b"abcde", self.handler.exchanges[0].body)
        self.assertEqual(0, self.listener.buffered_body_bytes)

    def test_headers_that_the_node_sets_are_not_passed_on(self):
        self.receive(
            request(
                "a",
                "x-caller: forged\r\nx-expected: i-9\r\nx-deadline: 50\r\n"
                "Connection: keep-alive\r\nAccept: text/plain\r\n",
            )
        )
        head = b"".join(self.handler.exchanges[0].head)
        self.assertEqual(
            b"Host: h\r\nAccept: text/plain\r\n",
            head,
        )
        self.assertEqual(50.0, self.handler.exchanges[0].timeout_ms)

    def status_line(self, data: bytes) -> bytes:
        self.receive(data)
        return self.written().partition(b"\r\n")[0]

    def test_a_request_without_id_is_answered_400(self):
        line = self.status_line(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn(b"400", line)
        self.assertTrue(self.transport.closed)

    def test_conflicting_lengths_are_answered_400(self):
        line = self.status_line(
            b"POST /a HTTP/1.1\r\nHost: h\r\nx-id: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b"
        )
        self.assertIn(b"400", line)
        self.assertEqual([], self.handler.exchanges)

    def test_a_long_header_is_answered_431(self):
        line = self.status_line(request("a", f"X-Long: {'x' * 2000}\r\n"))
        self.assertIn(b"431", line)

    def test_a_long_body_is_answered_413(self):
        line = self.status_line(
            b"POST /a HTTP/1.1\r\nHost: h\r\nx-id: a\r\n"
            b"Content-Length: 2001\r\n\r\n"
        )
        self.assertIn(b"413", line)

    def test_a_slow_header_is_answered_408(self):
        self.receive(b"GET /a HTTP/1.1\r\n")
        self.clock.advance(3.5)
        self.listener.sweep()
        self.assertIn(b"408", self.written())

    def test_an_idle_connection_outlives_the_idle_limit_by_a_margin(self):
        self.receive(request("a"))
        self.handler.exchanges[0].respond(200, b"")
        self.clock.advance(15.0)
        self.listener.sweep()
        self.assertFalse(self.transport.closed)
        self.clock.advance(3.0)
        self.listener.sweep()
        self.assertTrue(self.transport.closed)

    def test_a_client_that_asked_for_a_close_gets_a_late_response(self):
        """The sweep aborted connections whose client had asked for a close."""
        self.receive(request("a", "Connection: close\r\n"))
        self.clock.advance(30.0)
        self.listener.sweep()
        self.assertFalse(self.transport.aborted)
        self.handler.exchanges[0].respond(200, b"", b"whole")
        self.assertIn(b"whole", self.written())

    def test_an_error_at_one_connection_does_not_stop_the_sweeps(self):
        self.listener.start()
        self.addCleanup(self.listener.stop)
        other = self.listener.buildProtocol(None)
        other.makeConnection(ClosingTransport())
        other.sweep = lambda now, limits: 1 / 0
        self.receive(b"GET / HTTP/1.1\r\n")
        self.clock.pump([0.5] * 8)
        self.assertTrue(other.transport.aborted)
        self.assertIn(b" 408 ", self.written())

    def test_a_client_that_reads_nothing_is_disconnected(self):
        self.receive(request("a", "Connection: close\r\n"))
        self.handler.exchanges[0].respond(200, b"", b"whole")
        self.clock.advance(11.0)
        self.listener.sweep()
        self.assertTrue(self.transport.aborted)

    def test_invalid_input_after_a_request_keeps_its_response(self):
        self.receive(request("a") + b"\x00\x01\r\n\r\n")
        self.handler.exchanges[0].respond(200, b"", b"whole")
        written = self.written()
        self.assertLess(written.index(b"whole"), written.index(b"400"))


class EndlessRequestTest(ClientConnectionCase):
    """Clients that send without end, or stop in the middle."""

    HEAD = (
        b"POST /a HTTP/1.1\r\nHost: h\r\nx-id: a\r\n"
        b"Transfer-Encoding: chunked\r\n"
    )

    def assert_ended(self, status: bytes, pieces: int = 100):
        """Feed pieces of 1 kB until the request is answered."""
        for _ in range(pieces):
            self.receive(b"x" * 1000)
            if self.transport.closed:
                break
        self.assertIn(status, self.written().partition(b"\r\n")[0])
        self.assertEqual(0, self.listener.buffered_body_bytes)
        self.assertEqual([], self.handler.exchanges)

    def test_a_target_without_end(self):
        self.receive(b"GET /")
        self.assert_ended(b"431")

    def test_a_header_line_without_end(self):
        self.receive(b"GET / HTTP/1.1\r\nHost: ")
        self.assert_ended(b"431")

    def test_a_chunk_extension_without_end(self):
        self.receive(self.HEAD + b"\r\n1;")
        self.assert_ended(b"413")

    def test_a_trailer_without_end(self):
        self.receive(self.HEAD + b"\r\n1\r\nx\r\n0\r\nTrailer: ")
        self.assert_ended(b"413")

    def test_bodies_share_the_memory(self):
        self.handler.limits = ClientLimits(
            max_header_bytes=1000, max_body_bytes=1_000_000
        )
        self.receive(self.HEAD + b"\r\nfffff\r\n")
        self.assert_ended(b"503")

    def test_a_body_that_stops_midway_is_given_up(self):
        """Its bytes stayed in memory as long as the connection."""
        self.receive(self.HEAD + b"x-deadline: 2000\r\n\r\n5\r\nab")
        self.assertEqual(2, self.listener.buffered_body_bytes)
        self.clock.advance(1.9)
        self.listener.sweep()
        self.assertEqual(b"", self.written())
        self.clock.advance(0.2)
        self.listener.sweep()
        self.assertIn(b" 408 ", self.written())
        self.assertEqual(0, self.listener.buffered_body_bytes)


class ServerConnectionCase(TestCase):
    """A connection to a backend server with a request under way."""

    def setUp(self):
        super().setUp()
        self.pool = ServerPool(
            reactor=MemoryReactorClock(),
            dialect=DIALECT,
            address=Address("127.0.0.1", 80),
            max_buffered_bytes=300_000,
        )
        self.connection = ServerConnection(pool=self.pool)
        self.transport = ClosingTransport()
        self.connection.makeConnection(self.transport)
        self.pool.connections.add(self.connection)
        self.ends = []
        self.connection.send(self.request(b"b"))

    def request(self, request_id: bytes) -> ServerRequest:
        return ServerRequest(
            request_id=request_id,
            data=b"GET / HTTP/1.1\r\n\r\n",
            idempotent=True,
            is_head=False,
            on_end=lambda request, response, reason: self.ends.append(
                (response and response.body, reason)
            ),
        )

    def response(self, request_id: str, body: str) -> bytes:
        return (
            f"HTTP/1.1 200 OK\r\nx-id: {request_id}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        ).encode()


class ServerConnectionTest(ServerConnectionCase):
    """Guards against incomplete responses and those of other requests."""

    def test_a_late_response_to_another_request_is_skipped(self):
        self.connection.dataReceived(self.response("a", "former"))
        self.assertEqual([], self.ends)
        self.connection.dataReceived(self.response("b", "own"))
        self.assertEqual([(b"own", "")], self.ends)
        self.assertTrue(self.transport.aborted)

    def test_a_response_after_a_late_one_is_found(self):
        self.connection.dataReceived(
            self.response("a", "former") + self.response("b", "own")
        )
        self.assertEqual([(b"own", "")], self.ends)

    def test_surplus_bytes_close_the_connection(self):
        self.connection.dataReceived(self.response("b", "own") + b"HTTP/1.1 2")
        self.assertEqual([(b"own", "")], self.ends)
        self.assertTrue(self.transport.aborted)
        self.assertEqual(0, len(self.pool.idle))

    def test_bytes_between_requests_close_the_connection(self):
        self.connection.dataReceived(self.response("b", "own"))
        self.assertEqual(1, len(self.pool.idle))
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\n")
        self.assertTrue(self.transport.aborted)
        self.assertEqual(0, len(self.pool.idle))

    def test_a_response_without_length_is_incomplete_after_a_reset(self):
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\nx-id: b\r\n\r\nall")
        self.connection.connectionLost(Failure(ConnectionLost()))
        self.assertEqual(None, self.ends[0][0])

    def test_a_response_without_length_and_id_is_not_complete(self):
        """Nothing shows that its head is whole."""
        self.connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nall")
        self.connection.connectionLost(Failure(ConnectionDone()))
        self.assertEqual(None, self.ends[0][0])

    def test_a_truncated_response_is_incomplete(self):
        data = self.response("b", "whole")
        self.connection.dataReceived(data[:-1])
        self.connection.connectionLost(Failure(ConnectionDone()))
        self.assertEqual(None, self.ends[0][0])

    def test_bytes_that_are_not_http_end_the_request(self):
        self.connection.dataReceived(b"\x16\x03\x01 not HTTP")
        self.assertEqual(None, self.ends[0][0])
        self.assertTrue(self.transport.aborted)

    def test_a_server_states_its_rate_limit_and_that_it_leaves(self):
        """Both are also passed on to the client."""
        responses = []
        self.connection.request.on_end = lambda request, response, reason: (
            responses.append(response)
        )
        self.connection.dataReceived(
            b"HTTP/1.1 200 OK\r\nx-id: b\r\nx-rate-limit: 11.8\r\n"
            b"x-leaving: 1\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual(11.8, responses[0].rate_limit)
        self.assertTrue(responses[0].leaving)
        self.assertIn(b"x-rate-limit: 11.8\r\n", responses[0].head)

    def test_a_rate_limit_that_is_no_rate_is_ignored(self):
        for value in (b"", b"many", b"-1", b"nan", b"inf"):
            self.assertIsNone(parse_rate(value))

    def test_an_abandoned_request_closes_its_connection(self):
        request = self.connection.request
        request.abandon()
        self.assertTrue(self.transport.aborted)
        self.assertEqual([], self.ends)


class ResponseEndTest(ServerConnectionCase):
    """A response without length ends with the connection, a real one here.

    The reactor calls ``readConnectionLost`` when the server has closed its
    side, and also for an event that reports an error alone.
    """

    head = b"HTTP/1.1 200 OK\r\nx-id: b\r\n\r\n"

    def setUp(self):
        super().setUp()
        with create_server(("127.0.0.1", 0)) as listener:
            # The kernel cannot take a whole request for a server that does
            # not read.
            listener.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
            own = create_connection(listener.getsockname())
            self.server, _ = listener.accept()
        self.addCleanup(self.server.close)
        self.addCleanup(own.close)
        own.setblocking(False)
        self.own = own
        self.connection = ServerConnection(pool=self.pool)
        self.transport = Connection(own, self.connection, self.pool.reactor)
        self.transport.connected = True
        self.connection.makeConnection(self.transport)

    def send(self, size: int = 0):
        """Send a request with a body, and read the part of a response."""
        request = self.request(b"b")
        request.data += bytes(size)
        self.connection.send(request)
        self.server.sendall(self.head + b"all")
        select([self.own], [], [], 5.0)
        self.transport.doRead()
        self.assertEqual([], self.ends)

    def end(self, *, reset: bool):
        """End the server's side, and wait until that has arrived."""
        if reset:
            self.server.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
        self.server.close()
        select([self.own], [], [], 5.0)

    def report_end(self):
        """Report the end of the input as the reactor does."""
        self.transport.readConnectionLost(Failure(ConnectionDone()))

    def test_it_is_complete_if_the_server_has_closed_the_connection(self):
        self.send()
        self.server.recv(100)
        self.end(reset=False)
        self.report_end()
        self.assertEqual([(b"all", "")], self.ends)
        self.assertEqual(0, len(self.pool.idle))

    def test_it_is_incomplete_after_a_reset_that_looks_like_an_end(self):
        """A client got a part of the body as the whole."""
        self.send()
        self.end(reset=True)
        self.report_end()
        self.assertEqual([(None, CONNECTION_LOST)], self.ends)

    def test_it_is_incomplete_if_another_call_has_taken_the_error(self):
        """The kernel returns the error of a connection once."""
        self.send()
        self.end(reset=True)
        self.own.getsockopt(SOL_SOCKET, SO_ERROR)
        self.report_end()
        self.assertEqual([(None, CONNECTION_LOST)], self.ends)

    def test_it_is_incomplete_while_the_request_is_sent(self):
        """A reset would follow as soon as the server gets more of it."""
        self.send(size=20_000_000)
        self.server.shutdown(SHUT_WR)
        self.report_end()
        self.assertEqual([(None, CONNECTION_LOST)], self.ends)

    def test_it_is_incomplete_while_the_kernel_sends_the_request(self):
        """The server has not got all, which only the kernel knows."""
        self.own.setsockopt(SOL_SOCKET, SO_SNDBUF, 200_000)
        self.send(size=100_000)
        self.assertEqual(0, self.connection.output.size)
        self.server.shutdown(SHUT_WR)
        self.report_end()
        self.assertEqual([(None, CONNECTION_LOST)], self.ends)

    def test_the_end_of_an_idle_connection_removes_it(self):
        self.connection.send(self.request(b"b"))
        self.connection.dataReceived(self.response("b", "own"))
        self.assertEqual(1, len(self.pool.idle))
        self.end(reset=False)
        self.report_end()
        self.assertEqual(0, len(self.pool.idle))
        self.assertEqual([(b"own", "")], self.ends)


class StatusTest(ServerConnectionCase):
    """A server in trouble sends a status line that is none.

    The parser takes any number of digits; a status below 100 was skipped like
    an informational response, and one above 599 reached the client.
    """

    STATUSES = ("000", "0", "20", "099", "600", "999", "2000", "-1", "OK", "")

    def end_of(self, data: bytes) -> tuple:
        """Return body and reason of a request that gets this response."""
        connection = ServerConnection(pool=self.pool)
        transport = ClosingTransport()
        connection.makeConnection(transport)
        self.ends.clear()
        connection.send(self.request(b"b"))
        connection.dataReceived(data)
        self.assertEqual(1, len(self.ends), data)
        self.assertTrue(transport.aborted, data)
        self.assertNotIn(connection, self.pool.idle)
        return self.ends[0]

    def test_a_status_that_is_none_ends_the_request_without_response(self):
        for status in self.STATUSES:
            for head in ("", "HTTP/1.1 103 Early Hints\r\n\r\n"):
                body, reason = self.end_of(
                    f"{head}HTTP/1.1 {status} -\r\nx-id: b\r\n"
                    "Content-Length: 4\r\n\r\nbody".encode()
                )
                self.assertIsNone(body, status)
                self.assertIn("not an HTTP/1.1 answer", reason)

    def test_a_status_that_is_none_to_a_head_request(self):
        self.connection.request.is_head = True
        self.connection.dataReceived(b"HTTP/1.1 000 -\r\nx-id: b\r\n\r\n")
        self.assertEqual(None, self.ends[0][0])

    def test_the_statuses_at_the_bounds_are_responses(self):
        for status in (200, 599):
            self.connection.dataReceived(
                f"HTTP/1.1 {status} -\r\nx-id: b\r\n"
                "Content-Length: 4\r\n\r\nbody".encode()
            )
            self.assertEqual((b"body", ""), self.ends.pop())
            self.connection.send(self.request(b"b"))


class TruncatedHeadTest(ServerConnectionCase):
    """A server stops in the middle of its response's head and closes.

    Taken for a response without length, it would reach the client as a
    success with an empty or short body.
    """

    BODIES = {
        "length": "Content-Length: 5\r\n\r\nwhole",
        "chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        "neither": "\r\nwhole",
    }
    EARLIER = {
        "nothing": "",
        "an interim response": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
        "a late response": "HTTP/1.1 200 OK\r\nx-id: a\r\n"
        "Content-Length: 6\r\n\r\nformer",
    }

    def truncate(self, data: bytes, size: int, reason: Exception) -> list:
        """Return what a request gets if only a part of ``data`` arrives."""
        connection = ServerConnection(pool=self.pool)
        connection.makeConnection(ClosingTransport())
        self.pool.connections.add(connection)
        self.ends.clear()
        connection.send(self.request(b"b"))
        connection.dataReceived(data[:size])
        connection.connectionLost(Failure(reason))
        return [body for body, _ in self.ends]

    def test_no_part_of_a_head_is_a_response(self):
        for framing, body in self.BODIES.items():
            for earlier, before in self.EARLIER.items():
                head = (
                    "HTTP/1.1 200 OK\r\nx-id: b\r\nx-signature: p\r\n"
                    "Content-Type: text/plain\r\n"
                )
                data = (before + head + body).encode()
                end_of_head = len(data) - len(body.partition("\r\n\r\n")[2])
                if framing == "neither":
                    end_of_head = len(data) - len("whole")
                for reason in (ConnectionDone(), ConnectionLost()):
                    for size in range(end_of_head):
                        self.assertEqual(
                            [None],
                            self.truncate(data, size, reason),
                            (framing, earlier, data[:size]),
                        )

    def test_no_part_of_a_framed_body_is_a_response(self):
        for framing in ("length", "chunks"):
            head = "HTTP/1.1 200 OK\r\nx-id: b\r\n"
            data = (head + self.BODIES[framing]).encode()
            for size in range(len(data)):
                self.assertEqual(
                    [None], self.truncate(data, size, ConnectionDone())
                )
            self.assertEqual(
                [b"whole"], self.truncate(data, len(data), ConnectionDone())
            )


class RepeatedRefusalTest(ServerConnectionCase):
    """A faulty server writes an earlier refusal once more.

    Taken for the response to the request sent next, it said of a request that
    the server was running that it did not run.
    """

    def refusal(self, request_id: str) -> bytes:
        name = f"x-id: {request_id}\r\n" if request_id else ""
        return (
            f"HTTP/1.1 503 -\r\n{name}x-not-executed: 1\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()

    def refused(self) -> list[bool]:
        """Return which of the ended requests are said not to have run."""
        return [response.not_executed for response in self.responses]

    def setUp(self):
        super().setUp()
        self.responses = []
        self.connection.request.on_end = self.handle_end

    def handle_end(self, request, response, reason):
        self.responses.append(response)

    def resend(self, request_id: bytes) -> ServerRequest:
        """Send a request to the pool and return it."""
        request = self.request(request_id)
        request.on_end = self.handle_end
        self.pool.send(request)
        return request

    def test_a_refused_request_is_not_sent_on_the_same_connection_again(self):
        self.connection.dataReceived(self.refusal("b"))
        self.assertEqual([True], self.refused())
        again = self.resend(b"b")
        self.assertIsNot(self.connection, again.connection)
        self.connection.dataReceived(self.refusal("b"))
        self.assertEqual([True], self.refused())

    def test_another_request_is_sent_on_that_connection(self):
        self.connection.dataReceived(self.refusal("b"))
        other = self.resend(b"c")
        self.assertIs(self.connection, other.connection)
        self.connection.dataReceived(self.refusal("b"))
        self.assertEqual([True], self.refused())
        self.connection.dataReceived(self.response("c", "own"))
        self.assertEqual([True, False], self.refused())

    def test_a_refusal_that_names_no_request_promises_nothing(self):
        self.connection.dataReceived(self.refusal(""))
        self.assertEqual([False], self.refused())

    def test_a_misdirected_request_is_refused_if_the_response_names_it(self):
        response = b"HTTP/1.1 421 -\r\n%sContent-Length: 0\r\n\r\n"
        self.connection.dataReceived(response % b"x-id: b\r\n")
        self.assertIsNot(self.connection, self.resend(b"b").connection)
        self.resend(b"c")
        self.connection.dataReceived(response % b"")
        self.assertEqual([True, False], self.refused())

    def test_a_connection_with_many_refusals_is_not_kept(self):
        for number in range(MAX_REFUSED_IDS):
            self.assertTrue(self.connection.open)
            request_id = self.connection.request.request_id
            self.connection.dataReceived(self.refusal(request_id.decode()))
            self.resend(b"c%d" % number)
        self.assertTrue(self.transport.aborted)


class EndlessResponseTest(ServerConnectionCase):
    """A server in trouble sends bytes that are no response, without end."""

    OK = b"HTTP/1.1 200 OK\r\nx-id: b\r\n"

    def assert_ended(self, start: bytes, piece: bytes = b"x" * 10_000):
        """Check that the connection is closed after 300 kB at most."""
        self.connection.dataReceived(start)
        for _ in range(40):
            if self.transport.aborted:
                break
            self.connection.dataReceived(piece)
        self.assertTrue(self.transport.aborted)
        self.assertEqual([None], [body for body, _ in self.ends])
        self.assertEqual(0, self.pool.buffered_bytes)
        self.assertEqual(b"", self.connection.body)

    def test_short_header_lines_take_little_more_than_their_bytes(self):
        """A node ran out of memory that it had not counted."""
        piece = b"ab:cd\r\n" * 600
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        self.connection.dataReceived(self.OK)
        while self.connection.size + len(piece) < MAX_HEADER_BYTES:
            self.connection.dataReceived(piece)
        held = tracemalloc.get_traced_memory()[0] - before
        self.assertEqual([], self.ends)
        # A message exists up to three times.
        self.assertLess(held, 3 * self.pool.buffered_bytes)

    def test_a_status_line_without_end(self):
        self.assert_ended(b"HTTP/1.1 200 ")

    def test_a_header_line_without_end(self):
        self.assert_ended(self.OK + b"Server: ")

    def test_header_lines_without_end(self):
        self.assert_ended(self.OK, b"Server: x\r\n" * 1000)

    def test_informational_responses_without_end(self):
        self.assert_ended(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 400)

    def test_responses_to_other_requests_without_end(self):
        self.assert_ended(b"", self.response("a", "former") * 200)

    def test_a_body_without_length_and_without_end(self):
        self.assert_ended(self.OK + b"\r\n")

    def test_a_chunked_body_without_end(self):
        chunk = b"2710\r\n" + b"x" * 10_000 + b"\r\n"
        self.assert_ended(
            self.OK + b"Transfer-Encoding: chunked\r\n\r\n", chunk
        )

    def test_a_chunk_extension_without_end(self):
        self.assert_ended(self.OK + b"Transfer-Encoding: chunked\r\n\r\n1;")

    def test_a_trailer_without_end(self):
        self.assert_ended(
            self.OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\nTrailer: "
        )

    def test_other_responses_of_the_server_are_not_affected(self):
        other = ServerConnection(pool=self.pool)
        other.makeConnection(ClosingTransport())
        self.pool.connections.add(other)
        other.send(self.request(b"c"))
        data = self.response("c", "y" * 20_000)
        other.dataReceived(data[:10_000])
        self.connection.dataReceived(self.OK + b"\r\n")
        while not self.transport.aborted:
            self.connection.dataReceived(b"x" * 10_000)
        other.dataReceived(data[10_000:])
        self.assertEqual(
            [None, b"y" * 20_000], [body for body, _ in self.ends]
        )
        self.assertEqual(0, self.pool.buffered_bytes)

    def test_a_connection_with_informational_surplus_is_not_reused(self):
        """A 103 after a late response cleared the mark of the surplus."""
        self.connection.dataReceived(
            self.response("a", "former")
            + b"HTTP/1.1 103 Early Hints\r\n\r\n"
            + self.response("b", "own")
        )
        self.assertEqual([(b"own", "")], self.ends)
        self.assertTrue(self.transport.aborted)
