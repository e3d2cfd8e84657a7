"""Tests of the HTTP client connections."""

import tracemalloc

from testtools import TestCase
from twisted.internet.testing import StringTransport

from flamingosail.httpclient import BadResponse
from flamingosail.httpclient import ConnectionClosed
from flamingosail.httpclient import HttpClientProtocol
from flamingosail.httpwire import MAX_BODY_BYTES

GET = b"GET / HTTP/1.1\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"


class HttpClientTest(TestCase):
    """Guards against truncated and mismatched responses."""

    def setUp(self):
        super().setUp()
        self.connect()

    def connect(self):
        """Replace the connection by a new one."""
        self.results = []
        self.connection = HttpClientProtocol()
        self.transport = StringTransport()
        self.connection.makeConnection(self.transport)

    def exchange(self, *pieces, head=False, lost=False):
        """Send a request and return the result of its Deferred."""
        self.connection.send(GET, head=head).addBoth(self.results.append)
        for piece in pieces:
            self.connection.dataReceived(piece)
        if lost:
            self.connection.connectionLost()
        return self.results[-1] if self.results else None

    def assert_fails(self, error, *pieces, **options):
        self.connect()
        failure = self.exchange(*pieces, **options)
        self.assertIsNotNone(failure)
        self.assertIs(error, failure.type)
        self.assertFalse(self.connection.idle)

    def test_reuses_the_connection(self):
        for _ in range(2):
            response = self.exchange(OK)
            self.assertEqual((200, b"abc"), (response.status, response.body))
            self.assertTrue(self.connection.idle)

    def test_short_chunks_take_little_more_than_their_bytes(self):
        """A store in trouble made its client run out of memory."""
        piece = b"2\r\nxy\r\n" * 9000
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        self.exchange(head, *[piece] * 50)
        held = tracemalloc.get_traced_memory()[0] - before
        self.assertEqual([], self.results)
        # A message exists up to three times.
        self.assertLess(held, 3 * 2 * 9000 * 50)

    def test_assembles_a_response_from_single_bytes(self):
        pieces = (OK[i : i + 1] for i in range(len(OK)))
        self.assertEqual(b"abc", self.exchange(*pieces).body)

    def test_a_chunked_response_ends_with_its_last_chunk(self):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        response = self.exchange(head, b"3\r\nabc\r\n", b"0\r\n\r\n")
        self.assertEqual(b"abc", response.body)
        self.assert_fails(BadResponse, head, b"3\r\nabc\r\n", lost=True)

    def test_an_early_close_is_an_error(self):
        self.assert_fails(BadResponse, OK[:-1], lost=True)
        self.assert_fails(BadResponse, OK[:10], lost=True)
        self.assert_fails(ConnectionClosed, lost=True)

    def test_a_body_without_a_length_is_an_error(self):
        self.assert_fails(
            BadResponse, b"HTTP/1.1 200 OK\r\n\r\nabc", lost=True
        )

    def test_bad_responses_are_errors(self):
        for data in (
            b"\x00\x00",
            b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            *(
                OK.replace(b"200", status)
                for status in (b"000", b"099", b"600", b"999", b"20", b"2000")
            ),
            b"HTTP/1.1 101 No\r\nConnection: upgrade\r\nUpgrade: a\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * 3000 + b"\r\n",
            b"HTTP/1.1 200 OK\r\nA: " + b"a" * 20_000,
            b"HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n"
            + b"a" * (MAX_BODY_BYTES + 1),
        ):
            self.assert_fails(BadResponse, data)
            self.assertTrue(self.transport.disconnected)

    def test_a_surplus_response_is_never_used(self):
        response = self.exchange(OK + OK.replace(b"abc", b"xyz"))
        self.assertEqual(b"abc", response.body)
        self.assertFalse(self.connection.idle)
        self.assertTrue(self.transport.disconnecting)

    def test_input_without_a_request_closes_the_connection(self):
        self.exchange(OK)
        self.connection.dataReceived(OK)
        self.assertFalse(self.connection.idle)
        self.assertTrue(self.transport.disconnected)

    def test_interim_responses_are_dropped(self):
        response = self.exchange(
            b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + OK
        )
        self.assertEqual(200, response.status)
        self.assertEqual(((b"Content-Length", b"3"),), response.headers)

    def test_a_response_to_head_has_no_body(self):
        response = self.exchange(OK[:-3], head=True)
        self.assertEqual(b"", response.body)
        self.assertEqual(b"abc", self.exchange(OK).body)

    def test_a_body_after_head_closes_the_connection(self):
        self.exchange(OK, head=True)
        self.assertFalse(self.connection.idle)

    def test_connection_close_is_honored(self):
        response = self.exchange(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
            b"Content-Length: 3\r\n\r\nabc"
        )
        self.assertEqual(b"abc", response.body)
        self.assertFalse(self.connection.idle)

    def test_cancelling_aborts_the_connection(self):
        deferred = self.connection.send(GET)
        deferred.addErrback(self.results.append)
        deferred.cancel()
        self.assertTrue(self.transport.disconnected)
        self.connection.dataReceived(OK)
        self.assertEqual(1, len(self.results))
