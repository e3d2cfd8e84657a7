"""Tests of the HTTP server connections."""

from testtools import TestCase
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from flamingosail.errors import RefusalCode
from flamingosail.httpwire import HttpServerProtocol
from flamingosail.httpwire import LINGER_SECONDS
from flamingosail.httpwire import MAX_BODY_BYTES
from flamingosail.httpwire import MAX_HEADER_BYTES
from flamingosail.httpwire import RECEIVE_TIMEOUT_SECONDS

GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


class WireTransport(StringTransport):
    """Counts writes and records a half-close."""

    writes = 0
    half_closed = False

    def write(self, data):
        self.writes += 1
        super().write(data)

    def loseWriteConnection(self):  # noqa: N802 - named by twisted
        self.half_closed = True


class Recorder:
    """A handler that records requests and rejections."""

    def __init__(self):
        self.requests = []
        self.rejected = []
        self.disconnections = 0

    def connected(self, connection):
        pass

    def disconnected(self, connection):
        self.disconnections += 1

    def handle(self, connection, method, target, headers, body):
        self.requests.append((method, target, headers, body))

    def reject(self, connection, code, detail):
        self.rejected.append(code)
        connection.respond(400, (), detail.encode(), close=True)


class HttpServerTest(TestCase):
    """Guards against misparsed requests and unbounded input."""

    def setUp(self):
        super().setUp()
        self.connect()

    def connect(self):
        """Replace the connection by a new one."""
        self.clock = Clock()
        self.recorder = Recorder()
        self.connection = HttpServerProtocol(
            clock=self.clock, handler=self.recorder
        )
        self.transport = WireTransport()
        self.connection.makeConnection(self.transport)

    def receive(self, *pieces):
        for piece in pieces:
            self.connection.dataReceived(piece)

    def assert_rejected(self, code):
        self.assertEqual([code], self.recorder.rejected)
        self.assertEqual([], self.recorder.requests)
        self.assertTrue(self.transport.half_closed)
        self.assertIn(b"Connection: close", self.transport.value())

    def test_keeps_the_connection_and_writes_once_per_response(self):
        for _ in range(2):
            self.receive(GET)
            self.assertTrue(self.connection.busy)
            self.connection.respond(200, ((b"A", b"b"),), b"hi")
            self.assertFalse(self.connection.busy)
        self.assertEqual(2, self.transport.writes)
        self.assertEqual(
            b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\nhi" * 2,
            self.transport.value(),
        )

    def test_assembles_a_request_from_single_bytes(self):
        data = b"POST /abc HTTP/1.1\r\nAb: cd\r\nContent-Length: 3\r\n\r\nxyz"
        self.receive(*(data[i : i + 1] for i in range(len(data))))
        headers = [(b"Ab", b"cd"), (b"Content-Length", b"3")]
        self.assertEqual(
            [(b"POST", b"/abc", headers, b"xyz")], self.recorder.requests
        )
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_joins_chunks_and_drops_trailers(self):
        self.receive(
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n1\r\nc\r\n0\r\nFlamingosail-Kind: x\r\n\r\n"
        )
        [(_, _, headers, body)] = self.recorder.requests
        self.assertEqual(b"abc", body)
        self.assertEqual([(b"Transfer-Encoding", b"chunked")], headers)

    def test_a_pipelined_request_is_not_handled(self):
        self.receive(GET + b"DELETE /b HTTP/1.1\r\n\r\n")
        self.receive(GET)
        self.connection.respond(200, (), b"1")
        self.receive(GET)
        self.assertEqual(1, len(self.recorder.requests))
        self.assertEqual(b"GET", self.recorder.requests[0][0])
        self.assertIn(b"Connection: close", self.transport.value())
        self.assertEqual(1, self.transport.value().count(b"HTTP/1.1"))

    def test_the_first_bytes_of_a_pipelined_request_close_the_connection(self):
        self.receive(GET + b"G")
        self.connection.respond(200, (), b"1")
        self.assertIn(b"Connection: close", self.transport.value())

    def test_an_empty_line_between_requests_is_no_request(self):
        self.receive(GET)
        self.connection.respond(200, (), b"1")
        self.receive(b"\r\n")
        self.assertFalse(self.connection.busy)
        self.assertEqual([], self.clock.getDelayedCalls())
        self.receive(GET)
        self.assertEqual(2, len(self.recorder.requests))

    def test_endless_empty_lines_are_rejected(self):
        for _ in range(MAX_HEADER_BYTES // 1024 + 1):
            self.receive(b"\r\n" * 512)
        self.assert_rejected(RefusalCode.HEADER_TOO_LARGE)

    def test_garbage_after_a_request_does_not_lose_its_response(self):
        self.receive(GET + b"\x00\x01")
        self.connection.respond(200, (), b"1")
        self.assertEqual([], self.recorder.rejected)
        self.assertIn(b"200 OK", self.transport.value())
        self.assertTrue(self.transport.half_closed)

    def test_malformed_input_is_rejected(self):
        for data in (
            b"\x16\x03\x01\x02\x00",
            b"GET / HTTP/1.1\nHost: x\n\n",
            b"GET /\xff HTTP/1.1\r\n\r\n",
            b"GET / HTTP/3.0\r\n\r\n",
            b"GET / HTTP/1.1\r\nbad header\r\n\r\n",
            b"GET / HTTP/1.1\r\nA : b\r\n\r\n",
            b"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n",
            b"GET / HTTP/1.1\r\nA: b\x00\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
            b"Content-Length: 2\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"CONNECT a:1 HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
        ):
            self.connect()
            self.receive(data)
            self.assert_rejected(RefusalCode.MALFORMED)

    def test_a_long_header_is_rejected_before_it_ends(self):
        self.receive(b"GET / HTTP/1.1\r\nA: ")
        for _ in range(MAX_HEADER_BYTES // 1024):
            self.receive(b"a" * 1024)
        self.assert_rejected(RefusalCode.HEADER_TOO_LARGE)

    def test_a_long_header_in_one_read_is_rejected(self):
        lines = b"A: b\r\n" * (MAX_HEADER_BYTES // 6 + 1)
        self.receive(b"GET / HTTP/1.1\r\n" + lines + b"\r\n")
        self.assert_rejected(RefusalCode.HEADER_TOO_LARGE)

    def test_a_long_body_with_a_short_header_is_accepted(self):
        head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n"
        self.receive(head % MAX_BODY_BYTES + b"a" * MAX_BODY_BYTES)
        self.assertEqual(MAX_BODY_BYTES, len(self.recorder.requests[0][3]))

    def test_a_body_above_the_limit_is_rejected_from_its_header(self):
        head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n"
        self.receive(head % (MAX_BODY_BYTES + 1))
        self.assert_rejected(RefusalCode.BODY_TOO_LARGE)

    def test_a_chunked_body_above_the_limit_is_rejected(self):
        self.receive(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(MAX_BODY_BYTES // 65_536 + 1):
            self.receive(b"10000\r\n" + b"a" * 65_536 + b"\r\n")
        self.assert_rejected(RefusalCode.BODY_TOO_LARGE)

    def test_endless_trailers_are_rejected(self):
        self.receive(
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
        )
        for _ in range(8 * MAX_BODY_BYTES // 65_536 + 1):
            self.receive(b"A: " + b"b" * 65_531 + b"\r\n")
        self.assert_rejected(RefusalCode.BODY_TOO_LARGE)

    def test_a_slow_sender_is_disconnected(self):
        self.receive(GET[:10])
        self.assertTrue(self.connection.busy)
        self.clock.advance(RECEIVE_TIMEOUT_SECONDS - 1)
        self.receive(GET[10:15])
        self.assertFalse(self.transport.disconnecting)
        self.clock.advance(1)
        self.assertTrue(self.transport.disconnected)
        self.assertEqual([], self.recorder.requests)

    def test_a_slow_handler_does_not_disconnect_the_client(self):
        self.receive(GET[:10], GET[10:])
        self.clock.advance(RECEIVE_TIMEOUT_SECONDS * 10)
        self.connection.respond(200, (), b"")
        self.assertFalse(self.transport.disconnecting)

    def test_an_http_1_0_connection_is_closed(self):
        self.receive(b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
        self.connection.respond(200, (), b"")
        self.assertTrue(self.transport.disconnecting)
        self.assertTrue(self.connection.busy)
        self.connection.connectionLost()
        self.assertFalse(self.connection.busy)

    def test_responses_without_a_body(self):
        self.receive(b"HEAD / HTTP/1.1\r\n\r\n")
        self.connection.respond(200, (), b"abc")
        self.receive(GET)
        self.connection.respond(304, (), b"")
        self.assertEqual(
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
            b"HTTP/1.1 304 Not Modified\r\n\r\n",
            self.transport.value(),
        )
        self.transport.clear()
        self.receive(b"HEAD / HTTP/1.1\r\n\r\n")
        self.connection.respond(200, (), b"")
        self.assertEqual(b"HTTP/1.1 200 OK\r\n\r\n", self.transport.value())

    def test_expect_gets_an_interim_response(self):
        self.receive(
            b"POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
            b"Content-Length: 1\r\n\r\n"
        )
        self.assertIn(b"100 Continue", self.transport.value())
        self.receive(b"a")
        self.assertEqual(1, len(self.recorder.requests))

    def test_a_response_after_the_client_disconnected_is_dropped(self):
        self.receive(GET)
        self.connection.connectionLost()
        self.connection.respond(200, (), b"")
        self.assertEqual(1, self.recorder.disconnections)
        self.assertEqual(0, self.transport.writes)
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_a_rejected_client_that_stays_is_disconnected(self):
        self.receive(b"\x00")
        self.clock.advance(LINGER_SECONDS)
        self.assertTrue(self.transport.disconnected)

    def test_a_connection_with_buffered_output_is_busy(self):
        self.receive(GET)
        self.connection.pauseProducing()
        self.connection.respond(200, (), b"large")
        self.assertTrue(self.connection.busy)
        self.connection.resumeProducing()
        self.assertFalse(self.connection.busy)
