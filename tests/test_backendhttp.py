"""Tests of the HTTP client of the backend server."""

import socket

from testtools import TestCase
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from flamingosail.backend import Announcement
from flamingosail.backendhttp import CANCEL_TIMEOUT_SECONDS
from flamingosail.backendhttp import HttpBackend
from flamingosail.backendhttp import MAX_CANCELS_IN_FLIGHT
from flamingosail.backendpool import detect_dead_peer
from flamingosail.errors import RefusalCode
from flamingosail.request import Request
from flamingosail.verdict import Verdict

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
SERVER = Announcement(
    service="a", host="127.0.0.1", port=8000, slots=2, connections=2
)


class SocketTransport(StringTransport):
    """A string transport with a real socket, whose other end is ``peer``."""

    def __init__(self):
        super().__init__()
        self.handle, self.peer = socket.socketpair()
        self.handle.setblocking(False)

    def getHandle(self):  # noqa: N802 - named by twisted
        return self.handle

    def close(self):
        self.handle.close()
        self.peer.close()


class HttpBackendTest(TestCase):
    """Guards against wrong verdicts and answers to the wrong request."""

    def setUp(self):
        super().setUp()
        self.reactor = MemoryReactorClock()
        self.backend = HttpBackend(reactor=self.reactor)
        self.backend.connect(SERVER)
        self.answers = []

    def serve(self, **fields):
        fields = {"kind": "k", "method": "GET", "target": "/x"} | fields
        deferred = self.backend.serve(
            request=Request(**fields), token="t1", timeout=1.0
        )
        return deferred.addBoth(self.answers.append)

    def accept_connection(self):
        """Complete the oldest connection attempt."""
        _, _, factory, _, _ = self.reactor.tcpClients.pop(0)
        protocol = factory.buildProtocol(None)
        transport = SocketTransport()
        self.addCleanup(transport.close)
        protocol.makeConnection(transport)
        return protocol

    def refuse_connection(self):
        """Fail the oldest connection attempt."""
        _, _, factory, _, _ = self.reactor.tcpClients.pop(0)
        failure = Failure(ConnectionRefusedError())
        factory.clientConnectionFailed(None, failure)

    def assert_refused(self, code, verdict):
        answer = self.answers.pop()
        self.assertEqual([], self.answers)
        self.assertEqual(code, answer.refusal.code)
        self.assertEqual(verdict, answer.verdict)
        self.assertEqual(verdict, answer.refusal.verdict)

    def assert_nothing_pending(self):
        """Assert that no timer and no pooled connection is left."""
        self.assertEqual([], self.reactor.getDelayedCalls())
        self.assertEqual(0, self.backend.pool.connecting)
        self.assertEqual(set(), self.backend.pool.open)

    def test_encoding_of_a_request(self):
        self.serve(method="POST", headers=((b"A", b"b"),), body=b"hi")
        connection = self.accept_connection()
        self.assertEqual(
            b"POST /x HTTP/1.1\r\nFlamingosail-Kind: k\r\n"
            b"Flamingosail-Timeout-Ms: 1000\r\nFlamingosail-Context: t1\r\n"
            b"Host: 127.0.0.1:8000\r\nA: b\r\nContent-Length: 2\r\n\r\nhi",
            connection.transport.value(),
        )

    def test_hop_by_hop_headers_are_dropped_from_an_answer(self):
        self.serve()
        self.accept_connection().dataReceived(
            b"HTTP/1.1 500 No\r\nA: b\r\nKeep-Alive: 1\r\nX: y\r\n"
            b"Idempotency-Key: k\r\n"
            b"Connection: keep-alive, x\r\nFlamingosail-Verdict: not-run\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        [answer] = self.answers
        self.assertEqual(Verdict.RAN, answer.verdict)
        self.assertEqual(500, answer.status)
        self.assertEqual(((b"A", b"b"),), answer.headers)
        self.assertIsNone(answer.refusal)

    def test_a_connection_is_reused(self):
        self.serve()
        connection = self.accept_connection()
        connection.dataReceived(OK)
        self.serve().addBoth(lambda _: None)
        self.assertEqual([], self.reactor.tcpClients)
        connection.dataReceived(OK)
        self.assertEqual(2, len(self.answers))
        self.assertEqual([], self.reactor.getDelayedCalls())

    def test_the_announced_connections_are_not_exceeded(self):
        self.serve()
        self.serve()
        self.serve()
        self.assert_refused(RefusalCode.OVERLOADED, Verdict.NOT_RUN)
        self.assertEqual(2, len(self.reactor.tcpClients))
        self.accept_connection().dataReceived(OK)
        self.answers.clear()
        self.serve()
        self.assertEqual([], self.answers)

    def test_a_503_with_verdict_not_run_is_not_run(self):
        self.serve()
        self.accept_connection().dataReceived(
            b"HTTP/1.1 503 No\r\nFlamingosail-Verdict: not-run\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        self.assert_refused(RefusalCode.OVERLOADED, Verdict.NOT_RUN)

    def test_a_repeated_refusal_is_not_taken_for_the_next_answer(self):
        """It said of a running request that it did not run."""
        refusal = (
            b"HTTP/1.1 503 No\r\nFlamingosail-Verdict: not-run\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        self.serve()
        first = self.accept_connection()
        first.dataReceived(refusal)
        self.answers.clear()
        self.serve()
        first.dataReceived(refusal)
        self.assertEqual([], self.answers)
        self.accept_connection().dataReceived(OK)
        self.assertEqual(Verdict.RAN, self.answers[0].verdict)

    def test_a_refused_connection_is_not_run(self):
        self.serve()
        self.refuse_connection()
        self.assert_refused(RefusalCode.CONNECTION_LOST, Verdict.NOT_RUN)
        self.assert_nothing_pending()

    def test_without_a_backend_server_nothing_runs(self):
        self.backend.stop()
        self.serve()
        self.assert_refused(RefusalCode.CONNECTION_LOST, Verdict.NOT_RUN)

    def test_a_lost_connection_may_have_run(self):
        self.serve()
        self.accept_connection().connectionLost()
        code = RefusalCode.CONNECTION_LOST
        self.assert_refused(code, Verdict.MAY_HAVE_RUN)
        self.assert_nothing_pending()

    def test_a_request_with_a_partial_answer_may_have_run(self):
        self.serve()
        connection = self.accept_connection()
        connection.dataReceived(OK[:-1])
        connection.connectionLost()
        self.assert_refused(RefusalCode.BAD_ANSWER, Verdict.MAY_HAVE_RUN)
        self.assert_nothing_pending()

    def test_a_request_with_a_malformed_answer_may_have_run(self):
        self.serve()
        connection = self.accept_connection()
        connection.dataReceived(b"SSH-2.0\r\n")
        self.assert_refused(RefusalCode.BAD_ANSWER, Verdict.MAY_HAVE_RUN)
        self.assertTrue(connection.transport.disconnected)
        self.assert_nothing_pending()

    def test_a_connection_is_not_reused_after_a_timeout(self):
        self.serve()
        connection = self.accept_connection()
        self.reactor.advance(1.0)
        code = RefusalCode.DEADLINE_EXCEEDED
        self.assert_refused(code, Verdict.MAY_HAVE_RUN)
        self.assertTrue(connection.transport.disconnected)
        connection.dataReceived(OK)
        self.assertEqual([], self.answers)
        self.assert_nothing_pending()

    def test_a_timeout_while_connecting_is_not_run(self):
        self.serve()
        self.reactor.advance(1.0)
        self.assert_refused(RefusalCode.CONNECTION_LOST, Verdict.NOT_RUN)
        connection = self.accept_connection()
        self.assertEqual(b"", connection.transport.value())
        self.assertTrue(connection.idle)

    def test_cancelling_after_the_write_may_have_run(self):
        deferred = self.serve()
        connection = self.accept_connection()
        deferred.cancel()
        self.assert_refused(RefusalCode.CANCELLED, Verdict.MAY_HAVE_RUN)
        self.assertTrue(connection.transport.disconnected)
        self.assert_nothing_pending()

    def test_cancelling_before_the_write_is_not_run(self):
        self.serve().cancel()
        self.assert_refused(RefusalCode.CONNECTION_LOST, Verdict.NOT_RUN)

    def test_an_idle_connection_that_closed_is_not_written_to(self):
        self.serve()
        connection = self.accept_connection()
        connection.dataReceived(OK)
        connection.transport.clear()
        connection.transport.peer.close()
        self.serve()
        self.assertEqual(b"", connection.transport.value())
        self.assertEqual(1, len(self.reactor.tcpClients))

    def test_an_idle_connection_with_unread_input_is_closed(self):
        self.serve()
        connection = self.accept_connection()
        connection.dataReceived(OK)
        connection.transport.clear()
        connection.transport.peer.send(OK)
        self.serve()
        self.assertEqual(b"", connection.transport.value())
        self.assertTrue(connection.transport.disconnected)

    def test_a_reused_connection_that_closes_may_have_run(self):
        self.serve()
        connection = self.accept_connection()
        connection.dataReceived(OK)
        self.answers.clear()
        self.serve()
        connection.connectionLost()
        code = RefusalCode.CONNECTION_LOST
        self.assert_refused(code, Verdict.MAY_HAVE_RUN)

    def test_a_new_announcement_replaces_the_connections(self):
        self.serve()
        self.serve()
        old, busy = self.accept_connection(), self.accept_connection()
        old.dataReceived(OK)
        self.backend.connect(SERVER)
        self.assertTrue(old.transport.disconnected)
        self.assertFalse(busy.transport.disconnected)
        busy.dataReceived(OK)
        self.assertEqual(2, len(self.answers))
        self.assertTrue(busy.transport.disconnected)
        self.assert_nothing_pending()

    def test_a_cancellation_has_its_own_connection(self):
        self.serve()
        connection = self.accept_connection()
        self.backend.cancel("t1")
        other = self.accept_connection()
        self.assertIsNot(connection, other)
        self.assertIn(
            b"DELETE /flamingosail/requests/t1 HTTP/1.1\r\n",
            other.transport.value(),
        )
        other.dataReceived(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
        self.assertTrue(other.transport.disconnected)
        self.assertEqual([], self.answers)
        self.assertEqual(0, self.backend.cancels_in_flight)

    def test_failed_and_hanging_cancellations_end(self):
        self.backend.cancel("t1")
        self.refuse_connection()
        self.backend.cancel("t2")
        other = self.accept_connection()
        self.reactor.advance(CANCEL_TIMEOUT_SECONDS)
        self.assertTrue(other.transport.disconnected)
        self.assertEqual(0, self.backend.cancels_in_flight)
        self.assert_nothing_pending()

    def test_cancellations_are_bounded(self):
        for number in range(MAX_CANCELS_IN_FLIGHT + 3):
            self.backend.cancel(f"t{number}")
        self.assertEqual(MAX_CANCELS_IN_FLIGHT, len(self.reactor.tcpClients))
        self.assertEqual(3, self.backend.dropped_cancels)

    def test_the_kernel_detects_dead_peers(self):
        handle = socket.socket()
        self.addCleanup(handle.close)

        class Transport:
            def setTcpKeepAlive(self, enabled):  # noqa: N802
                handle.setsockopt(
                    socket.SOL_SOCKET, socket.SO_KEEPALIVE, enabled
                )

            def getHandle(self):  # noqa: N802
                return handle

        detect_dead_peer(Transport())
        self.assertEqual(
            2000,
            handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
        )
        self.assertNotEqual(
            0, handle.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        )
