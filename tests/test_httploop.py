"""Tests of the HTTP adapters over loopback sockets."""

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol

from flamingosail.backend import Announcement
from flamingosail.backendhttp import HttpBackend
from flamingosail.callerhttp import CallerListener
from flamingosail.errors import RefusalCode
from flamingosail.request import Answer
from flamingosail.request import Request
from flamingosail.verdict import Verdict
from tests.loops import Loop

BODY = b"x" * 1_000_000


class EchoEntrance:
    """Echoes the body of a request; never answers kind ``slow``."""

    def __init__(self):
        self.cancelled = 0

    def submit(self, request):
        if request.kind == "slow":
            return Deferred(self.cancel)
        answer = Answer(verdict=Verdict.RAN, status=200, body=request.body)
        return succeed(answer)

    def cancel(self, deferred):
        self.cancelled += 1


class HttpLoopTest(TestCase):
    """Guards against faults that only occur on real sockets."""

    def setUp(self):
        super().setUp()
        self.loop = Loop()
        self.addCleanup(self.loop.close)
        self.answers = []
        self.entrance = EchoEntrance()
        self.backend = HttpBackend(reactor=self.loop.reactor)
        self.addCleanup(self.loop.iterate_times)
        self.addCleanup(self.backend.stop)

    def listen(self, factory):
        """Listen with ``factory`` and announce the port to the client."""
        port = self.loop.reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        self.announce(port.getHost().port)
        return port

    def announce(self, port):
        self.backend.connect(
            Announcement(
                service="a",
                host="127.0.0.1",
                port=port,
                slots=1,
                connections=1,
            )
        )

    def listen_entrance(self):
        self.listener = CallerListener(
            clock=self.loop.reactor, entrance=self.entrance
        )
        return self.listen(self.listener)

    def serve(self, kind="k", body=b""):
        """Send a request; the Deferred fires when its Answer is recorded."""
        request = Request(kind=kind, method="POST", target="/", body=body)
        deferred = self.backend.serve(request=request, token="t", timeout=30.0)
        return deferred.addCallback(self.answers.append)

    def send_request(self, **fields):
        """Send a request and return its Answer."""
        self.answers.clear()
        self.serve(**fields)
        self.loop.run_until(lambda: self.answers)
        return self.answers[0]

    def test_large_bodies_are_complete_on_one_connection(self):
        self.listen_entrance()
        for body in (BODY, b"", BODY[:70_000], b"a"):
            self.assertEqual(body, self.send_request(body=body).body)
        self.assertEqual(1, len(self.listener.connections))
        self.loop.run_until(lambda: self.listener.busy == 0)

    def test_a_body_above_the_limit_gets_a_response(self):
        self.listen_entrance()
        answer = self.send_request(body=b"x" * 1_100_000)
        self.assertEqual(413, answer.status)

    def test_a_client_that_closes_cancels_its_request(self):
        self.listen_entrance()
        deferred = self.serve(kind="slow")
        self.loop.run_until(lambda: self.listener.busy)
        deferred.cancel()
        self.loop.run_until(lambda: self.entrance.cancelled)
        self.assertEqual(0, self.listener.busy)
        self.assertEqual(RefusalCode.CANCELLED, self.answers[0].refusal.code)

    def test_a_draining_listener_writes_large_responses_out(self):
        self.listen_entrance()
        self.send_request()
        self.listener.drain()
        self.assertEqual(BODY, self.send_request(body=BODY).body)
        self.loop.run_until(lambda: self.listener.busy == 0)
        self.assertEqual(set(), self.listener.connections)
        self.assertEqual(b"a", self.send_request(body=b"a").body)

    def test_a_connection_closed_by_the_server_fails_no_request(self):
        self.listen_entrance()
        self.send_request()
        for connection in list(self.listener.connections):
            connection.transport.abortConnection()
        self.loop.run_until(lambda: not self.listener.connections)
        self.assertEqual(b"a", self.send_request(body=b"a").body)

    def test_a_refused_connection_is_not_run(self):
        port = self.listen(Factory.forProtocol(Protocol))
        port.stopListening()
        self.loop.iterate_times()
        answer = self.send_request()
        self.assertEqual(Verdict.NOT_RUN, answer.verdict)
        self.assertEqual(RefusalCode.CONNECTION_LOST, answer.refusal.code)

    def test_a_truncated_response_is_never_a_success(self):
        class Truncating(Protocol):
            def dataReceived(self, data):  # noqa: N802 - named by twisted
                self.transport.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort"
                )
                self.transport.loseConnection()

        self.listen(Factory.forProtocol(Truncating))
        answer = self.send_request()
        self.assertEqual(Verdict.MAY_HAVE_RUN, answer.verdict)
        self.assertEqual(RefusalCode.BAD_ANSWER, answer.refusal.code)
