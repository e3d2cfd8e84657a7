"""Tests of the log client against the stand-in log service."""

import json
from base64 import b64encode

import treq
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater
from twisted.trial.unittest import TestCase

from flamingosail.errors import LogUnavailable
from flamingosail.loghttp import HttpLogService
from flamingosail.logservice import LogPage
from flamingosail.logservice import LogRecord
from standins.logserver import LogServer

TIMEOUT = 0.5


class LogHttpTestCase(TestCase):
    # The Deferred support of testtools needs the package fixtures, which is
    # not among the pinned ones; trial's cases wait for Deferreds as well.
    timeout = 20

    def listen(self, factory) -> str:
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        return f"http://127.0.0.1:{port.getHost().port}"

    def client(self, url) -> HttpLogService:
        client = HttpLogService(reactor=reactor, url=url, timeout=TIMEOUT)
        self.addCleanup(client.close)
        return client

    @inlineCallbacks
    def assert_unavailable(self, deferred):
        try:
            result = yield deferred
        except LogUnavailable as error:
            return str(error)
        raise self.failureException(f"expected LogUnavailable, got {result!r}")


class StandInTest(LogHttpTestCase):
    """Guards against a client and a stand-in that differ from the page."""

    def setUp(self):  # noqa: N802 - name given by unittest
        super().setUp()
        self.server = LogServer(clock=reactor, retention=3600.0)
        self.url = self.listen(self.server.site())
        self.log = self.client(self.url)

    def control(self, **changes):
        return treq.put(
            self.url + "/control",
            json.dumps(changes).encode(),
            persistent=False,
        ).addCallback(treq.content)

    @inlineCallbacks
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

    @inlineCallbacks
    def test_shows_trimmed_offsets(self):
        yield self.log.append(stream="s", data=b"old")
        yield deferLater(reactor, 0.2, int)
        yield self.log.append(stream="s", data=b"new")
        yield self.control(retention=0.15)
        page = yield self.log.read(stream="s", offset=0, limit=9)
        record = LogRecord(offset=1, data=b"new")
        self.assertEqual(LogPage(first=1, end=2, records=(record,)), page)

    @inlineCallbacks
    def test_reports_a_log_that_is_down(self):
        yield self.control(down=True)
        reason = yield self.assert_unavailable(
            self.log.append(stream="s", data=b"x")
        )
        self.assertIn("status 503", reason)
        yield self.assert_unavailable(
            self.log.read(stream="s", offset=0, limit=1)
        )
        yield self.control(down=False)
        page = yield self.log.read(stream="s", offset=0, limit=1)
        self.assertEqual(0, page.end)

    @inlineCallbacks
    def test_gives_up_on_a_slow_log(self):
        yield self.control(delay=TIMEOUT * 2)
        started = reactor.seconds()
        yield self.assert_unavailable(
            self.log.read(stream="s", offset=0, limit=1)
        )
        self.assertLess(reactor.seconds() - started, TIMEOUT * 1.8)
        # Lets the stand-in finish, so that no timer outlives the test.
        yield deferLater(reactor, TIMEOUT * 1.5, int)

    @inlineCallbacks
    def test_a_lost_answer_is_not_repeated_by_the_client(self):
        yield self.log.append(stream="s", data=b"a")
        yield self.control(lose_answers=1)
        yield self.assert_unavailable(self.log.append(stream="s", data=b"b"))
        page = yield self.log.read(stream="s", offset=0, limit=9)
        self.assertEqual(
            [b"a", b"b"], [record.data for record in page.records]
        )

    @inlineCallbacks
    def test_refuses_malformed_requests(self):
        for path, status in (
            ("/streams/s/records", 400),
            ("/streams/s/records?offset=-1&limit=1", 400),
            ("/streams/s/records?offset=0&limit=0", 400),
            ("/streams/s%20s/records?offset=0&limit=1", 404),
        ):
            response = yield treq.get(self.url + path, persistent=False)
            yield treq.content(response)
            self.assertEqual(status, response.code, path)
        response = yield treq.put(
            self.url + "/control", b'{"nothing": 1}', persistent=False
        )
        yield treq.content(response)
        self.assertEqual(400, response.code)


class CannedAnswer(Protocol):
    """Answers any request with fixed bytes, then closes."""

    def dataReceived(self, data):  # noqa: N802 - name given by twisted
        self.transport.write(self.factory.answer)
        self.transport.loseConnection()


class BadServerTest(LogHttpTestCase):
    """Guards against a broken log service that stops or misleads a node."""

    def answering(self, body: bytes, status: str = "200 OK"):
        factory = Factory.forProtocol(CannedAnswer)
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
        factory.answer = head.encode() + body
        return self.client(self.listen(factory))

    @inlineCallbacks
    def test_reports_malformed_answers(self):
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
            log = self.answering(page.encode())
            yield self.assert_unavailable(
                log.read(stream="s", offset=0, limit=1)
            )

    @inlineCallbacks
    def test_reports_a_truncated_answer(self):
        factory = Factory.forProtocol(CannedAnswer)
        factory.answer = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"
        log = self.client(self.listen(factory))
        yield self.assert_unavailable(log.read(stream="s", offset=0, limit=1))

    @inlineCallbacks
    def test_reports_another_status_for_an_append(self):
        log = self.answering(b'{"offset": 3}', "200 OK")
        yield self.assert_unavailable(log.append(stream="s", data=b"x"))

    @inlineCallbacks
    def test_reports_a_refused_connection(self):
        port = reactor.listenTCP(0, Factory(), interface="127.0.0.1")
        number = port.getHost().port
        yield port.stopListening()
        log = self.client(f"http://127.0.0.1:{number}")
        yield self.assert_unavailable(log.append(stream="s", data=b"x"))

    @inlineCallbacks
    def test_gives_up_on_a_silent_server(self):
        log = self.client(self.listen(Factory.forProtocol(Protocol)))
        yield self.assert_unavailable(log.append(stream="s", data=b"x"))
