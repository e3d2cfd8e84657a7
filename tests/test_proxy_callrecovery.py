"""Tests of the calls on connections between nodes that fall silent.

Bytes that vanish on an open connection leave calls in doubt: treating them as
possibly run answers 502 for requests that reached no server, treating them as
not run may run them twice.
"""

from random import Random
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies
from testtools import TestCase
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from flamingosail.proxy.shared.servers import LocalServer
from flamingosail.proxy.transport.callrecovery import MAX_KEPT_BYTES
from flamingosail.proxy.transport.callrecovery import ReplyFields
from flamingosail.proxy.transport.callrecovery import UnconfirmedReplies
from flamingosail.proxy.transport.hop import Hello
from flamingosail.proxy.transport.hop import Outcome
from flamingosail.proxy.transport.hop import Status
from flamingosail.proxy.transport.peers import PeerTable
from flamingosail.settings import Address
from tests.proxyfakes import ClosingTransport
from tests.proxyfakes import FakePool
from tests.proxyfakes import make_gate
from tests.proxyfakes import make_quotas
from tests.proxyfakes import make_report
from tests.proxyfakes import make_response

CALLER, SERVER = Address("10.0.0.1", 80), Address("10.0.0.2", 80)


class PipeTransport(ClosingTransport):
    """Keeps what is written until it is delivered, or loses it."""

    loses = False

    def write(self, data):
        if not self.loses:
            super().write(data)


class Pipe:
    """A connection from the caller's node to the server's node."""

    def __init__(self, protocol, other):
        self.ends = ((protocol, PipeTransport()), (other, PipeTransport()))
        self.closed = False
        for end, transport in self.ends:
            end.makeConnection(transport)

    def deliver(self, receiver: int, count: int | None = None):
        """Deliver up to ``count`` bytes to one end (0 is the caller)."""
        source = self.ends[1 - receiver][1]
        data = source.value()[:count]
        if data and not self.closed:
            rest = source.value()[len(data) :]
            source.clear()
            if rest:
                source.io.write(rest)
            self.ends[receiver][0].dataReceived(data)
        if any(transport.aborted for _, transport in self.ends):
            self.close()

    def lose(self, sender: int):
        """Lose all bytes of one end from now on."""
        transport = self.ends[sender][1]
        transport.loses = True
        transport.clear()

    def close(self):
        """End the connection at both ends."""
        if not self.closed:
            self.closed = True
            for end, _ in self.ends:
                end.connectionLost(Failure(ConnectionDone()))


class Nodes:
    """Two nodes, their connections, and the calls from one to the other."""

    def __init__(self):
        self.clock = MemoryReactorClock()
        self.clock.advance(10.0)
        self.pool = FakePool()
        self.pipes: list[Pipe] = []
        self.ends: dict[int, list] = {}
        self.attempts: dict[int, SimpleNamespace] = {}
        self.caller = self.table(CALLER, make_gate(self.clock))
        gate = make_gate(self.clock, pool=self.pool)
        gate.server.handle_report(make_report(slots=100))
        self.server = self.table(SERVER, gate)
        self.caller.add(SERVER)
        self.peer = self.caller.peers[SERVER]
        self.accept()

    def table(self, address: Address, gate) -> PeerTable:
        return PeerTable(
            reactor=self.clock,
            random=Random(1),
            gate=gate,
            local=LocalServer(gate=gate, failure_domain="fd-a"),
            own_address=address,
            hello=lambda: Hello("n", "fd-a", str(address)),
            status=lambda: Status(
                "ready", "histbook", "i-1", 100, 0, 0, 0.0, False, 1
            ),
            load_report=lambda: None,
            on_reports=lambda reports: None,
            config_version=lambda: 1,
            config_document=lambda: b"",
            on_config=lambda document, source: None,
            quotas=make_quotas(self.clock),
        )

    def accept(self):
        """Accept the connections that the caller has dialled."""
        dialled, self.clock.tcpClients[:] = self.clock.tcpClients[:], []
        for host, _, factory, *_ in dialled:
            if host == SERVER.host:
                self.pipes.append(
                    Pipe(
                        factory.buildProtocol(None),
                        self.server.buildProtocol(None),
                    )
                )

    def deliver_all(self):
        """Accept connections and deliver until nothing is under way.

        What is under way on older connections arrives last.
        """
        for _ in range(4):
            self.accept()
            for pipe in reversed(self.pipes):
                pipe.deliver(1)
                pipe.deliver(0)

    def call(self, number: int, *, idempotent: bool = False):
        """Send a call; its ends are recorded by number."""
        ends = self.ends[number] = []
        attempt = self.attempts[number] = SimpleNamespace(
            request=SimpleNamespace(
                route=SimpleNamespace(idempotent=idempotent)
            ),
            ended=lambda *result: ends.append(result),
        )
        self.peer.call(
            attempt,
            {
                "request_id": b"%d" % number,
                "service": "histbook",
                "request_line": b"POST /a HTTP/1.1\r\n",
                "head": b"",
                "body": b"",
                "left_ms": 60_000,
                "idempotent": idempotent,
                "root_route": 1,
                "rank": 1,
                "is_retry": False,
            },
        )

    def check(self, seconds: float = 0.1):
        """Advance the clock; the caller's node checks its connections."""
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)

    def runs(self, number: int) -> int:
        """Return how often the server got a call."""
        return sum(
            request.request_id == b"%d" % number for request in self.pool.sent
        )

    def answer_all(self):
        """Let the server answer what it runs."""
        for request in self.pool.sent:
            request.finish(make_response())

    def outcomes(self, number: int) -> list[int]:
        return [result[0] for result in self.ends[number]]


class CallRecoveryTest(TestCase):
    """Guards against 502 for calls that never arrived, and lost replies."""

    def setUp(self):
        super().setUp()
        self.nodes = Nodes()
        self.nodes.deliver_all()
        self.nodes.check()

    def test_a_call_that_did_not_arrive_may_be_sent_elsewhere(self):
        nodes = self.nodes
        nodes.pipes[0].lose(0)
        nodes.call(1)
        nodes.check(0.9)
        nodes.deliver_all()
        self.assertEqual([Outcome.REFUSED], nodes.outcomes(1))
        self.assertEqual(0, nodes.runs(1))
        self.assertTrue(nodes.peer.usable)

    def test_a_call_that_runs_is_answered_on_the_new_connection(self):
        nodes = self.nodes
        nodes.call(1)
        nodes.deliver_all()
        for end in (0, 1):
            nodes.pipes[0].lose(end)
        nodes.check(0.9)
        nodes.deliver_all()
        self.assertEqual([], nodes.outcomes(1))
        nodes.answer_all()
        nodes.deliver_all()
        self.assertEqual([Outcome.ANSWERED], nodes.outcomes(1))
        self.assertEqual(1, nodes.runs(1))

    def test_a_lost_reply_is_sent_again(self):
        nodes = self.nodes
        nodes.call(1)
        nodes.deliver_all()
        nodes.pipes[0].lose(1)
        nodes.answer_all()
        nodes.check(0.9)
        nodes.deliver_all()
        self.assertEqual([Outcome.ANSWERED], nodes.outcomes(1))

    def test_a_closed_connection_is_asked_for_as_well(self):
        nodes = self.nodes
        nodes.call(1)
        nodes.deliver_all()
        nodes.call(2)
        nodes.pipes[0].close()
        nodes.deliver_all()
        nodes.answer_all()
        nodes.deliver_all()
        self.assertEqual([Outcome.ANSWERED], nodes.outcomes(1))
        self.assertEqual([Outcome.REFUSED], nodes.outcomes(2))

    def test_bytes_of_the_former_connection_that_arrive_late(self):
        """They must not run what was said not to have arrived."""
        nodes = self.nodes
        nodes.call(1)
        nodes.check(0.9)
        nodes.accept()
        nodes.pipes[1].deliver(1)
        nodes.pipes[0].deliver(1)
        nodes.deliver_all()
        self.assertEqual([Outcome.REFUSED], nodes.outcomes(1))
        self.assertEqual(0, nodes.runs(1))

    def test_a_node_that_restarted_knows_nothing(self):
        nodes = self.nodes
        nodes.call(1)
        nodes.deliver_all()
        nodes.server.inbound_by_token.clear()
        nodes.pipes[0].close()
        nodes.deliver_all()
        self.assertEqual([Outcome.LOST], nodes.outcomes(1))

    def test_a_node_that_has_ended_is_not_waited_for(self):
        nodes = self.nodes
        nodes.call(1)
        nodes.pipes[0].close()
        factory = nodes.clock.tcpClients[-1][2]
        factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        self.assertEqual([Outcome.LOST], nodes.outcomes(1))

    def test_idempotent_calls_are_given_up_for_a_retry(self):
        """A failure domain that is cut off does not answer."""
        nodes = self.nodes
        nodes.call(1, idempotent=True)
        nodes.call(2)
        for end in (0, 1):
            nodes.pipes[0].lose(end)
        nodes.check(1.8)
        self.assertEqual([Outcome.LOST], nodes.outcomes(1))
        self.assertEqual([], nodes.outcomes(2))

    def test_a_slow_call_is_no_silence(self):
        nodes = self.nodes
        nodes.call(1)
        for _ in range(20):
            nodes.check()
            nodes.deliver_all()
        self.assertEqual(1, len(nodes.pipes))
        self.assertFalse(nodes.peer.connection.suspected)

    def test_a_node_that_stood_still_suspects_nobody(self):
        nodes = self.nodes
        nodes.call(1)
        nodes.check(0.2)
        nodes.clock.advance(5.0)
        self.assertFalse(nodes.peer.connection.suspected)

    def test_kept_replies_are_bounded(self):
        """A node that confirms nothing costs no memory without end."""
        replies = UnconfirmedReplies()
        for stream in range(1000):
            replies.add(stream, ReplyFields(0, 200, b"", b"", b"x" * 999, ""))
        self.assertLessEqual(replies.kept_bytes, MAX_KEPT_BYTES)
        replies.confirm(1000)
        self.assertEqual((0, {}), (replies.kept_bytes, replies.by_stream()))

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ["call", "deliver", "lose", "close", "check", "answer"]
                ),
                strategies.integers(0, 3),
                strategies.integers(0, 1),
                strategies.sampled_from([1, 7, 60, 10_000]),
            ),
            max_size=60,
        )
    )
    def test_what_is_said_of_a_call_is_true(self, events):
        """Any loss on any connection, in any order."""
        nodes = Nodes()
        nodes.deliver_all()
        for number, (event, index, end, count) in enumerate(events):
            pipe = nodes.pipes[index % len(nodes.pipes)]
            if event == "call" and nodes.peer.usable:
                nodes.call(number, idempotent=bool(end))
            elif event == "deliver":
                nodes.accept()
                pipe.deliver(end, count)
            elif event == "lose":
                pipe.lose(end)
            elif event == "close":
                pipe.close()
            elif event == "check":
                nodes.check(0.1 * (index + 1))
            elif event == "answer":
                nodes.answer_all()
        for _ in range(8):
            nodes.check(0.3)
            nodes.deliver_all()
            nodes.answer_all()
        for number in nodes.ends:
            self.assertLessEqual(nodes.runs(number), 1)
            outcomes = nodes.outcomes(number)
            self.assertLessEqual(len(outcomes), 1)
            if outcomes == [Outcome.REFUSED]:
                self.assertEqual(0, nodes.runs(number))
            if outcomes == [Outcome.ANSWERED]:
                self.assertEqual(1, nodes.runs(number))
