"""A crash of a server must be told from a connection that was lost."""

from testtools import TestCase
from twisted.internet.testing import MemoryReactorClock

from flamingosail.proxy.policy.fingerprint import request_fingerprint
from flamingosail.proxy.transport.backendserver import CONNECTION_LOST
from flamingosail.proxy.transport.hop import Outcome
from tests.proxyfakes import FakePool
from tests.proxyfakes import make_gate
from tests.proxyfakes import make_job
from tests.proxyfakes import make_report


class CrashTest(TestCase):
    """Only a server that closes all connections and refuses has crashed."""

    def setUp(self):
        super().setUp()
        self.clock = MemoryReactorClock()
        self.pool = FakePool()
        self.gate = make_gate(self.clock, pool=self.pool)
        self.gate.server.handle_report(make_report(slots=20))
        self.ends = []

    def submit(self, *names: bytes):
        for name in names:
            self.gate.submit(make_job(self.ends, request_id=name))

    def lose(self):
        """End all requests at the server without a response."""
        sent, self.pool.sent = self.pool.sent, []
        for request in sent:
            request.finish(None, CONNECTION_LOST)
        self.clock.advance(0.01)

    def crashes(self) -> int:
        return self.gate.metrics.counters.get(("server_crashes", ""), 0)

    def test_a_server_that_refuses_connections_has_crashed(self):
        self.pool.refuses = True
        self.submit(b"a", b"b")
        self.lose()
        self.assertEqual(1, self.crashes())
        self.assertEqual([Outcome.LOST] * 2, [end[1] for end in self.ends])
        self.assertEqual("absent", self.gate.server.state)

    def test_nothing_is_sent_until_the_cause_of_a_loss_is_known(self):
        """Guards against requests that are lost at a server that is gone."""
        for refuses in (True, False):
            self.pool.refuses = refuses
            self.gate.server.handle_report(make_report(sequence=5 - refuses))
            self.submit(b"a")
            self.pool.sent.pop().finish(None, CONNECTION_LOST)
            self.submit(b"b")
            self.assertEqual([], self.pool.sent)
            self.clock.advance(0.01)
            self.assertEqual(not refuses, bool(self.pool.sent))
        outcomes = [(end[0], end[1]) for end in self.ends]
        self.assertEqual(
            [
                (b"a", Outcome.LOST),
                (b"b", Outcome.REFUSED),
                (b"a", Outcome.LOST),
            ],
            outcomes,
        )

    def test_a_reset_of_some_connections_is_no_crash(self):
        self.pool.refuses = True
        self.pool.connections.add("another connection")
        self.submit(b"a")
        self.lose()
        self.assertEqual(0, self.crashes())
        self.assertEqual([Outcome.LOST], [end[1] for end in self.ends])

    def test_a_reset_of_all_connections_is_no_crash(self):
        self.submit(b"a")
        self.lose()
        self.assertEqual(0, self.crashes())

    def test_the_end_of_a_leaving_server_is_no_crash(self):
        self.pool.refuses = True
        self.submit(b"a")
        self.gate.server.handle_deregistration("i-1", 1000)
        self.lose()
        self.assertEqual(0, self.crashes())

    def test_a_client_that_leaves_meanwhile_gets_no_answer(self):
        self.submit(b"a")
        job = self.gate.running[b"a"]
        self.pool.sent.pop().finish(None, CONNECTION_LOST)
        self.gate.cancel(job)
        self.clock.advance(0.01)
        self.assertEqual([], self.ends)


class FingerprintTest(TestCase):
    """A request that comes again must be known, and no other one for it."""

    line = b"GET /a/1?x=1 HTTP/1.1\r\n"
    head = b"Host: A.example\r\nAccept: */*\r\nX-Caller: front\r\n"

    def test_a_repeated_request_has_the_same_fingerprint(self):
        other = b"host:a.example\r\nAccept: text/html\r\nX-Caller: deep\r\n"
        self.assertEqual(
            request_fingerprint(self.line, self.head, b"body"),
            request_fingerprint(self.line, other, b"body"),
        )

    def test_other_requests_have_other_fingerprints(self):
        account = b"Authorization: Bearer x\r\n"
        longer = b"X: " + b"y" * 2000 + b"\r\n"
        fingerprints = {
            request_fingerprint(*parts)
            for parts in (
                (self.line, self.head, b"body"),
                (self.line, self.head, b""),
                (self.line.replace(b"1?", b"2?"), self.head, b""),
                (self.line.replace(b"x=1", b"x=2"), self.head, b""),
                (self.line.replace(b"GET", b"PUT"), self.head, b""),
                (self.line, self.head.replace(b"A.", b"B."), b""),
                (self.line, self.head + account, b""),
                (self.line, self.head + longer + account.lower(), b"x"),
            )
        }
        self.assertEqual(8, len(fingerprints))
