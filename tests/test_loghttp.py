"""Tests of the HTTP client of the log service."""

import json
from base64 import b64encode

import twisted.internet
import twisted.internet.reactor  # noqa: F401 - sets the attribute patched
from testtools import TestCase
from treq.client import HTTPClient
from twisted.internet.defer import inlineCallbacks
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent

from flamingosail.errors import LogUnavailable
from flamingosail.loghttp import HttpLogService
from flamingosail.logservice import LogPage
from flamingosail.logservice import LogRecord
from standins.logserver import LogServer
from tests.loops import Loop
from tests.loops import on_loop

TIMEOUT = 0.5


class LogHttpTestCase(TestCase):
    """Runs client and server on one reactor with a paused clock."""

    def setUp(self):
        super().setUp()
        self.loop = Loop(paused=True)
        self.addCleanup(self.loop.close)
        # treq sends bodies with twisted's global cooperator, which uses
        # twisted.internet.reactor.
        self.patch(twisted.internet, "reactor", self.loop.reactor)
        self.addCleanup(self.assert_no_timers)
        self.http = HTTPClient(Agent(self.loop.reactor))

    def assert_no_timers(self):
        """Fail if a closed client or server left a timer behind."""
        self.loop.until(lambda: not self.loop.reactor.getDelayedCalls())

    def listen(self, factory) -> str:
        port = self.loop.reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        return f"http://127.0.0.1:{port.getHost().port}"

    def client(self, url) -> HttpLogService:
        client = HttpLogService(
            reactor=self.loop.reactor, url=url, timeout=TIMEOUT
        )
        self.addCleanup(lambda: self.loop.result(client.close()))
        return client

    @inlineCallbacks
    def assert_unavailable(self, deferred):
        try:
            result = yield deferred
        except LogUnavailable as error:
            return str(error)
        raise self.failureException(f"expected LogUnavailable, got {result!r}")

    def assert_gives_up_at_timeout(self, deferred):
        """Fail unless the client gives up exactly after its timeout."""
        ended = []
        self.assert_unavailable(deferred).addBoth(ended.append)
        self.loop.advance(TIMEOUT * 0.95)
        self.assertEqual([], ended)
        self.loop.advance(TIMEOUT * 0.1)
        self.assertEqual([str], [type(end) for end in ended], ended)


class StandInTest(LogHttpTestCase):
    """Guards against client or stand-in deviating from log-protocol.md."""

    def setUp(self):
        super().setUp()
        self.server = LogServer(clock=self.loop.reactor, retention=3600.0)
        self.url = self.listen(self.server.site())
        self.log = self.client(self.url)

    @inlineCallbacks
    def set_faults(self, **changes):
        response = yield self.http.put(
            self.url + "/control", json.dumps(changes).encode()
        )
        self.assertEqual(200, response.code)
        yield response.content()

    @on_loop
    def test_appends_and_reads(self):
        for number in range(3):
            offset = yield self.log.append(stream="s", data=bytes([number]))
            self.assertEqual(number, offset)
        page = yield self.log.read(stream="s", offset=1, limit=1)
        record = LogRecord(offset=1, data=b"\x01")
        self.assertEqual(LogPage(first=0, end=3, records=(record,)), page)
        page = yield self.log.read(stream="s", offset=3, limit=1)
        self.assertEqual(LogPage(first=0, end=3, records=()), page)
        page = yield self.log.read(stream="other", offset=0, limit=1)
        self.assertEqual(LogPage(first=0, end=0, records=()), page)

    @on_loop
    def test_shows_trimmed_offsets(self):
        yield self.log.append(stream="s", data=b"old")
        self.loop.advance(0.2)
        yield self.log.append(stream="s", data=b"new")
        yield self.set_faults(retention=0.15)
        page = yield self.log.read(stream="s", offset=0, limit=9)
        record = LogRecord(offset=1, data=b"new")
        self.assertEqual(LogPage(first=1, end=2, records=(record,)), page)

    @on_loop
    def test_reports_a_log_that_is_down(self):
        yield self.set_faults(down=True)
        reason = yield self.assert_unavailable(
            self.log.append(stream="s", data=b"x")
        )
        self.assertIn("status 503", reason)
        yield self.assert_unavailable(
            self.log.read(stream="s", offset=0, limit=1)
        )
        yield self.set_faults(down=False)
        page = yield self.log.read(stream="s", offset=0, limit=1)
        self.assertEqual(0, page.end)

    def test_gives_up_on_a_slow_log(self):
        self.loop.result(self.set_faults(delay=TIMEOUT * 2))
        self.assert_gives_up_at_timeout(
            self.log.read(stream="s", offset=0, limit=1)
        )
        # Lets the delayed response of the stand-in end, so that no timer is
        # left after the test.
        self.loop.advance(TIMEOUT * 2)

    @on_loop
    def test_the_client_does_not_retry_after_a_lost_response(self):
        yield self.log.append(stream="s", data=b"a")
        yield self.set_faults(lose_answers=1)
        yield self.assert_unavailable(self.log.append(stream="s", data=b"b"))
        page = yield self.log.read(stream="s", offset=0, limit=9)
        self.assertEqual(
            [b"a", b"b"], [record.data for record in page.records]
        )

    @on_loop
    def test_refuses_malformed_requests(self):
        for path, status in (
            ("/streams/s/records", 400),
            ("/streams/s/records?offset=-1&limit=1", 400),
            ("/streams/s/records?offset=0&limit=0", 400),
            ("/streams/s%20s/records?offset=0&limit=1", 404),
        ):
            response = yield self.http.get(self.url + path)
            yield response.content()
            self.assertEqual(status, response.code, path)
        response = yield self.http.put(
            self.url + "/control", b'{"nothing": 1}'
        )
        yield response.content()
        self.assertEqual(400, response.code)


class CannedResponse(Protocol):
    """Responds to any request with fixed bytes, then closes."""

    def dataReceived(self, data):  # noqa: N802 - name given by twisted
        self.transport.write(self.factory.response)
        self.transport.loseConnection()


class BadServerTest(LogHttpTestCase):
    """Guards against accepting invalid responses and waiting forever."""

    def client_for_response(self, body: bytes, status: str = "200 OK"):
        factory = Factory.forProtocol(CannedResponse)
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
        factory.response = head.encode() + body
        return self.client(self.listen(factory))

    @on_loop
    def test_reports_malformed_responses(self):
        data = b64encode(b"x").decode()
        for page in (
            "",
            "[]",
            '{"first": 0}',
            '{"first": 0, "end": 1, "records": [{"offset": 0, "data": "?"}]}',
            '{"first": 2, "end": 1, "records": []}',
            f'{{"first": 0, "end": 1, "records": [{{"offset": 5, "data": '
            f'"{data}"}}]}}',
            f'{{"first": 2, "end": 9, "records": [{{"offset": 1, "data": '
            f'"{data}"}}]}}',
        ):
            log = self.client_for_response(page.encode())
            yield self.assert_unavailable(
                log.read(stream="s", offset=0, limit=1)
            )

    @on_loop
    def test_reports_a_truncated_response(self):
        factory = Factory.forProtocol(CannedResponse)
        factory.response = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"
        log = self.client(self.listen(factory))
        yield self.assert_unavailable(log.read(stream="s", offset=0, limit=1))

    @on_loop
    def test_reports_another_status_for_an_append(self):
        log = self.client_for_response(b'{"offset": 3}', "200 OK")
        yield self.assert_unavailable(log.append(stream="s", data=b"x"))

    @on_loop
    def test_reports_a_refused_connection(self):
        port = self.loop.reactor.listenTCP(0, Factory(), interface="127.0.0.1")
        number = port.getHost().port
        yield port.stopListening()
        log = self.client(f"http://127.0.0.1:{number}")
        ended = self.assert_unavailable(log.append(stream="s", data=b"x"))
        # The client's endpoint checks for failed attempts every 0.3 s.
        self.loop.turn()
        self.loop.advance(TIMEOUT * 0.9)
        yield ended

    def test_gives_up_on_a_silent_server(self):
        log = self.client(self.listen(Factory.forProtocol(Protocol)))
        self.assert_gives_up_at_timeout(log.append(stream="s", data=b"x"))
