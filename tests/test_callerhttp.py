"""Tests of the listeners for callers and backend servers."""

import json

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from flamingosail.callerhttp import BackendListener
from flamingosail.callerhttp import CallerListener
from flamingosail.callerhttp import DRAIN_GRACE_SECONDS
from flamingosail.errors import RefusalCode
from flamingosail.request import Answer
from flamingosail.request import refuse
from flamingosail.verdict import Verdict
from tests.test_httpwire import WireTransport

OK = Answer(verdict=Verdict.RAN, status=200, headers=((b"A", b"b"),), body=b"")


class StubEntrance:
    """Records requests; the test fires their Deferreds."""

    def __init__(self):
        self.requests = []
        self.tokens = []
        self.deferreds = []
        self.cancelled = 0
        self.error = None

    def submit(self, request):
        return self.submit_child(request, None)

    def submit_child(self, request, token):
        if self.error is not None:
            raise self.error
        self.requests.append(request)
        self.tokens.append(token)
        self.deferreds.append(Deferred(self.cancel))
        return self.deferreds[-1]

    def cancel(self, deferred):
        self.cancelled += 1

    def issue_key(self):
        return "n1~a.5.b.c"


class ListenerCase(TestCase):
    listener_class = CallerListener

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.entrance = StubEntrance()
        self.listener = self.listener_class(
            clock=self.clock, entrance=self.entrance
        )
        self.connect()

    def connect(self):
        self.connection = self.listener.buildProtocol(None)
        self.transport = WireTransport()
        self.connection.makeConnection(self.transport)

    def send_request(self, *lines, start=b"GET /a HTTP/1.1", body=b""):
        lines = (start, b"Host: x", *lines)
        data = b"\r\n".join(lines) + b"\r\n\r\n" + body
        self.connection.dataReceived(data)

    def fire(self, answer):
        self.entrance.deferreds[-1].callback(answer)

    def pop_response(self):
        """Return status, headers and body written since the last call."""
        head, _, body = self.transport.value().partition(b"\r\n\r\n")
        self.transport.clear()
        first, *lines = head.split(b"\r\n")
        headers = dict(line.split(b": ", 1) for line in lines)
        return int(first.split()[1]), headers, body

    def assert_malformed(self, detail, *lines, **options):
        self.send_request(*lines, **options)
        status, headers, body = self.pop_response()
        self.assertEqual(400, status)
        self.assertEqual(b"not-run", headers[b"Flamingosail-Verdict"])
        problem = json.loads(body)
        self.assertEqual("urn:flamingosail:malformed", problem["type"])
        self.assertEqual("not-run", problem["verdict"])
        self.assertIn(detail, problem["detail"])
        self.assertEqual([], self.entrance.requests)


class CallerListenerTest(ListenerCase):
    """Guards against wrong translation between HTTP and Requests."""

    def test_a_request_reaches_the_entrance_without_hop_headers(self):
        self.send_request(
            b"Flamingosail-Kind: gate-check",
            b"flamingosail-timeout-ms: 250",
            b"Flamingosail-Other: 1",
            b"Flamingosail-Context: forged",
            b"Idempotency-Key: k",
            b"Connection: keep-alive, X-Private",
            b"X-Private: 1",
            b"TE: trailers",
            b"Content-Type: text/plain",
            b"Content-Length: 2",
            start=b"POST /a?b=%20 HTTP/1.1",
            body=b"hi",
        )
        [request] = self.entrance.requests
        self.assertEqual("gate-check", request.kind)
        self.assertEqual("POST", request.method)
        self.assertEqual("/a?b=%20", request.target)
        self.assertEqual(((b"Content-Type", b"text/plain"),), request.headers)
        self.assertEqual((b"hi", "k"), (request.body, request.key))
        self.assertEqual(250, request.timeout_ms)
        self.assertEqual([None], self.entrance.tokens)

    def test_an_answer_is_written_with_its_verdict(self):
        self.send_request(b"Flamingosail-Kind: a")
        self.assertEqual(1, self.listener.busy)
        self.fire(OK)
        status, headers, _ = self.pop_response()
        self.assertEqual(200, status)
        self.assertEqual(b"b", headers[b"A"])
        self.assertEqual(b"ran", headers[b"Flamingosail-Verdict"])
        self.assertNotIn(b"Connection", headers)
        self.assertEqual(0, self.listener.busy)
        self.assertEqual({}, self.listener.pending)

    def test_a_refusal_is_written_as_problem_details(self):
        self.send_request(b"Flamingosail-Kind: a")
        self.fire(refuse(RefusalCode.OVERLOADED, Verdict.NOT_RUN, "full"))
        status, headers, body = self.pop_response()
        self.assertEqual(503, status)
        self.assertEqual(b"1", headers[b"Retry-After"])
        self.assertEqual(b"not-run", headers[b"Flamingosail-Verdict"])
        self.assertEqual(b"application/problem+json", headers[b"Content-Type"])
        self.assertEqual(
            {
                "type": "urn:flamingosail:overloaded",
                "title": "Overloaded",
                "status": 503,
                "detail": "full",
                "verdict": "not-run",
            },
            json.loads(body),
        )

    def test_no_retry_is_suggested_for_a_request_that_may_have_run(self):
        self.send_request(b"Flamingosail-Kind: a")
        code = RefusalCode.NO_SERVER
        self.fire(refuse(code, Verdict.MAY_HAVE_RUN, "gone"))
        self.assertNotIn(b"Retry-After", self.pop_response()[1])

    def test_callers_do_not_see_incarnations(self):
        self.send_request(b"Flamingosail-Kind: a")
        code = RefusalCode.WRONG_INCARNATION
        self.fire(refuse(code, Verdict.NOT_RUN, "restarted"))
        status, headers, body = self.pop_response()
        self.assertEqual(503, status)
        self.assertEqual(b"1", headers[b"Retry-After"])
        self.assertEqual(
            "urn:flamingosail:no-server", json.loads(body)["type"]
        )

    def test_a_refusal_carries_a_fresh_key(self):
        self.send_request(b"Flamingosail-Kind: a")
        code = RefusalCode.KEY_REQUIRED
        self.fire(refuse(code, Verdict.NOT_RUN, "send a key", key="k2"))
        status, headers, _ = self.pop_response()
        self.assertEqual(428, status)
        self.assertEqual(b"k2", headers[b"Idempotency-Key"])

    def test_missing_and_wrong_headers_are_malformed(self):
        kind = b"Flamingosail-Kind: a"
        timeout = b"Flamingosail-Timeout-Ms: "
        self.assert_malformed("Flamingosail-Kind is missing")
        self.assert_malformed("Kind is missing", b"Flamingosail-Kind:")
        self.assert_malformed("Kind is repeated", kind, kind)
        self.assert_malformed("not printable", b"Flamingosail-Kind: \xc3\xa4")
        for value in (b"x", b"-1", b"0", b"1.5", b"", b"1" * 10, b"\xb2"):
            self.assert_malformed("Timeout-Ms", kind, timeout + value)
        self.assert_malformed("/", kind, start=b"OPTIONS * HTTP/1.1")
        self.assert_malformed("/", kind, start=b"GET http://a/b HTTP/1.1")
        self.assert_malformed(
            "reserved",
            kind,
            start=b"DELETE /flamingosail/requests/t HTTP/1.1",
        )

    def test_bad_http_gets_problem_details_and_a_closed_connection(self):
        for data, status in (
            (b"\x00", 400),
            (b"GET / HTTP/1.1\r\nA: " + b"a" * 20_000, 431),
            (b"PUT / HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n", 413),
        ):
            self.connect()
            self.connection.dataReceived(data)
            actual, headers, body = self.pop_response()
            self.assertEqual(status, actual)
            self.assertEqual(b"close", headers[b"Connection"])
            self.assertEqual(b"not-run", headers[b"Flamingosail-Verdict"])
            self.assertEqual(status, json.loads(body)["status"])

    def test_a_client_that_disconnects_cancels_its_request(self):
        self.send_request(b"Flamingosail-Kind: a")
        self.connection.connectionLost()
        self.assertEqual(1, self.entrance.cancelled)
        self.assertEqual(0, self.listener.busy)
        self.assertEqual(set(), self.listener.connections)
        self.assertEqual(b"", self.transport.value())

    def test_an_answered_request_is_not_cancelled(self):
        self.send_request(b"Flamingosail-Kind: a")
        self.fire(OK)
        self.connection.connectionLost()
        self.assertEqual(0, self.entrance.cancelled)

    def test_an_error_of_the_entrance_is_not_reported_as_not_run(self):
        self.send_request(b"Flamingosail-Kind: a")
        self.entrance.deferreds[-1].errback(RuntimeError("fault"))
        status, headers, _ = self.pop_response()
        self.assertEqual(502, status)
        self.assertEqual(b"may-have-run", headers[b"Flamingosail-Verdict"])
        self.entrance.error = RuntimeError("fault")
        self.send_request(b"Flamingosail-Kind: a")
        self.assertEqual(502, self.pop_response()[0])

    def test_issues_keys(self):
        self.send_request(start=b"POST /flamingosail/keys HTTP/1.1")
        status, headers, body = self.pop_response()
        self.assertEqual(201, status)
        self.assertEqual(b"n1~a.5.b.c", headers[b"Idempotency-Key"])
        self.assertEqual({"key": "n1~a.5.b.c"}, json.loads(body))


class DrainTest(ListenerCase):
    """Guards against requests that are interrupted by a shutdown."""

    def test_a_request_in_progress_is_answered_and_then_closed(self):
        self.send_request(b"Flamingosail-Kind: a")
        self.listener.drain()
        self.clock.advance(DRAIN_GRACE_SECONDS)
        self.assertFalse(self.transport.disconnecting)
        self.fire(OK)
        self.assertEqual(b"close", self.pop_response()[1][b"Connection"])
        self.assertTrue(self.transport.disconnecting)
        self.assertEqual(1, self.listener.busy)
        self.connection.connectionLost()
        self.assertEqual(0, self.listener.busy)

    def test_an_idle_connection_is_closed_after_the_grace_period(self):
        self.listener.drain()
        self.assertFalse(self.transport.disconnecting)
        self.clock.advance(DRAIN_GRACE_SECONDS)
        self.assertTrue(self.transport.disconnecting)

    def test_a_request_that_is_arriving_is_answered(self):
        self.connection.dataReceived(b"GET / HTTP/1.1\r\nFlamingo")
        self.listener.drain()
        self.clock.advance(DRAIN_GRACE_SECONDS)
        self.assertEqual(1, self.listener.busy)
        self.connection.dataReceived(b"sail-Kind: a\r\n\r\n")
        self.fire(OK)
        self.assertEqual(b"close", self.pop_response()[1][b"Connection"])

    def test_a_connection_made_while_draining_gets_the_grace_period(self):
        self.listener.drain()
        self.clock.advance(DRAIN_GRACE_SECONDS)
        self.connect()
        self.send_request(b"Flamingosail-Kind: a")
        self.clock.advance(DRAIN_GRACE_SECONDS)
        self.fire(OK)
        self.assertEqual(200, self.pop_response()[0])
        self.connect()
        self.clock.advance(DRAIN_GRACE_SECONDS)
        self.assertTrue(self.transport.disconnecting)

    def test_a_caller_delayed_after_connecting_is_answered(self):
        """The last phase of a stop closed such connections after 0.2 s."""
        self.connection.connectionLost()
        self.listener.drain()
        self.connect()
        closed = []
        self.listener.close_all().addCallback(closed.append)
        self.clock.pump([0.02] * 20)
        self.assertFalse(self.transport.disconnecting)
        self.send_request(b"Flamingosail-Kind: a")
        self.fire(refuse(RefusalCode.SHUTTING_DOWN, Verdict.NOT_RUN, ""))
        self.assertEqual(503, self.pop_response()[0])
        self.connection.connectionLost()
        self.clock.advance(0.02)
        self.assertEqual(1, len(closed))

    def test_a_stop_closes_a_connection_that_stays_without_request(self):
        self.listener.draining = True
        closed = []
        self.listener.close_all().addCallback(closed.append)
        self.clock.pump([0.02] * 51)
        self.assertTrue(self.transport.disconnecting)
        self.assertEqual(1, len(closed))

    def test_a_stop_closes_a_used_idle_connection_first(self):
        self.send_request(b"Flamingosail-Kind: a")
        self.fire(OK)
        self.listener.draining = True
        self.listener.close_all()
        self.clock.pump([0.02] * 11)
        self.assertTrue(self.transport.disconnecting)


class BackendListenerTest(ListenerCase):
    """Guards against child calls that lose their parent request."""

    listener_class = BackendListener

    def test_passes_the_context_token(self):
        self.send_request(b"Flamingosail-Kind: a", b"Flamingosail-Context: t1")
        self.fire(OK)
        self.send_request(b"Flamingosail-Kind: a")
        self.assertEqual(["t1", None], self.entrance.tokens)
        self.assertEqual((), self.entrance.requests[0].headers)

    def test_limits_the_key(self):
        kind = b"Flamingosail-Kind: a"
        key = b"Idempotency-Key: "
        self.assert_malformed("128", kind, key + b"k" * 129)
        self.send_request(kind, key + b"k" * 128)
        self.assertEqual("k" * 128, self.entrance.requests[0].key)

    def test_does_not_issue_keys(self):
        self.assert_malformed(
            "reserved", start=b"POST /flamingosail/keys HTTP/1.1"
        )
