"""Tests of the budget of held bytes and of the connections that use it."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from flamingosail.proxy.shared.heldbytes import HeldBytes
from flamingosail.proxy.shared.heldbytes import Holder
from flamingosail.proxy.shared.heldbytes import SMALL_BYTES
from flamingosail.proxy.shared.routes import ClientLimits
from flamingosail.proxy.transport.client import ClientListener
from flamingosail.proxy.transport.client import EVICTION_BATCH
from flamingosail.proxy.transport.client import MAX_PIPELINED_REQUESTS
from flamingosail.proxy.transport.client import MAX_UNREAD_BYTES
from flamingosail.proxy.transport.client import UNREAD_TIMEOUT_SECONDS
from flamingosail.proxy.transport.hop import Call
from flamingosail.proxy.transport.hop import encode_frame
from flamingosail.proxy.transport.hop import Outcome
from flamingosail.proxy.transport.hopconnection import CANCEL_SECONDS
from flamingosail.proxy.transport.hopconnection import InboundConnection
from flamingosail.proxy.transport.output import OutputBuffer
from tests.proxyfakes import ClosingTransport
from tests.proxyfakes import DIALECT
from tests.proxyfakes import make_node
from tests.proxyfakes import make_report
from tests.test_proxy_connections import Handler
from tests.test_proxy_connections import request


class SlowSocket:
    """A socket whose peer accepts ``room`` bytes, then no more."""

    def __init__(self):
        self.room = 0
        self.sent = bytearray()

    def send(self, data) -> int:
        count = min(self.room, len(data))
        self.sent += bytes(data[:count])
        self.room -= count
        return count


class SlowTransport(ClosingTransport):
    """A transport of twisted, as far as an OutputBuffer uses it."""

    def __init__(self):
        super().__init__()
        self.socket = SlowSocket()
        self.dataBuffer = b""
        self.offset = 0

    def write(self, data):
        self.dataBuffer += data

    def registerProducer(self, producer, streaming):  # noqa: N802
        self.producer = producer
        producer.resumeProducing()

    def read(self, size: int):
        """Let the peer read some bytes."""
        self.socket.room += size
        while self.socket.room and (self.dataBuffer or self.producer):
            sent = self.socket.send(self.dataBuffer)
            self.dataBuffer = self.dataBuffer[sent:]
            if not self.dataBuffer and self.producer:
                self.producer.resumeProducing()


class OutputBufferTest(TestCase):
    """Guards against lost, reordered or uncounted bytes to slow readers."""

    @given(
        st.lists(
            st.one_of(
                st.binary(min_size=1, max_size=200),
                st.integers(1, 200_000).map(bytes),
                st.integers(0, 300_000),
            ),
            max_size=20,
        )
    )
    def test_a_slow_reader_gets_all_bytes_in_order(self, steps):
        held, transport = HeldBytes(), SlowTransport()
        output = OutputBuffer(
            transport=transport, held=held, holder=Holder.CLIENT_OUTPUT
        )
        expected = b""
        for step in steps:
            if isinstance(step, int):
                transport.read(step)
            else:
                expected += step
                output.write(step)
            self.assertEqual(output.size, held.total)
            self.assertLessEqual(
                len(expected) - len(transport.socket.sent), output.size
            )
        transport.read(len(expected))
        self.assertEqual(expected, bytes(transport.socket.sent))
        self.assertEqual(0, held.total)

    def test_a_closed_connection_holds_nothing(self):
        held, transport = HeldBytes(), SlowTransport()
        output = OutputBuffer(
            transport=transport, held=held, holder=Holder.CLIENT_OUTPUT
        )
        output.write(bytes(100_000))
        self.assertEqual(100_000, held.total)
        transport.producer.stopProducing()
        self.assertEqual(0, held.total)


class CrowdCase(TestCase):
    """A listener with several clients and a budget of 1 MB."""

    def setUp(self):
        super().setUp()
        self.clock = MemoryReactorClock()
        self.handler = Handler()
        self.handler.limits = ClientLimits(max_body_bytes=1_000_000)
        self.held = HeldBytes(limit=1_000_000)
        self.listener = ClientListener(
            clock=self.clock,
            dialect=DIALECT,
            handler=self.handler,
            max_buffered_bytes=500_000,
            max_connections=40,
            held=self.held,
        )

    def connect(self):
        """Return a new connection whose client reads nothing yet."""
        connection = self.listener.buildProtocol(None)
        connection.makeConnection(SlowTransport())
        return connection

    def post(self, connection, size: int, sent: int):
        """Send a request with a body of ``size``, of which a part arrives."""
        connection.dataReceived(
            b"POST /a HTTP/1.1\r\nHost: h\r\nx-id: a\r\n"
            b"Content-Length: %d\r\n\r\n" % size
        )
        for start in range(0, sent, 65_536):
            if not connection.closing:
                connection.dataReceived(bytes(min(65_536, sent - start)))


class CrowdTest(CrowdCase):
    """Guards against clients that take the memory of ordinary ones."""

    def test_the_largest_unfinished_body_is_refused_first(self):
        """A crowd of unfinished bodies must not keep small ones out."""
        crowd = [self.connect() for _ in range(8)]
        for connection in crowd:
            self.post(connection, 100_000, 99_999)
        self.assertLessEqual(self.listener.buffered_body_bytes, 500_000)
        refused = [c for c in crowd if b" 503 " in c.transport.dataBuffer]
        self.assertEqual(4, len(refused))
        self.assertIn(b"Retry-After", refused[0].transport.dataBuffer)
        ordinary = self.connect()
        self.post(ordinary, 1000, 1000)
        self.assertEqual(1, len(self.handler.exchanges))

    def test_large_requests_leave_room_for_small_ones(self):
        for _ in range(20):
            self.post(self.connect(), 100_000, 100_000)
        large = [e for e in self.handler.exchanges if not e.done]
        self.assertEqual(7, len(large))
        self.post(self.connect(), 1000, 1000)
        self.assertFalse(self.handler.exchanges[-1].done)
        self.assertLessEqual(self.held.total, 1_000_000)

    def test_a_refused_request_is_not_handled(self):
        """503 says that the request does not run."""
        for _ in range(20):
            self.post(self.connect(), 100_000, 100_000)
        self.assertEqual(7, len(self.handler.exchanges))

    def test_requests_behind_unread_responses_wait(self):
        connection = self.connect()
        connection.dataReceived(b"".join(map(request, "abcdef")))
        connection.dataReceived(
            b"".join(request(f"g{number}") for number in range(100))
        )
        self.assertEqual(MAX_PIPELINED_REQUESTS, len(self.handler.exchanges))
        self.assertEqual("paused", connection.transport.producerState)
        first = self.handler.exchanges[0]
        first.respond(200, b"", bytes(MAX_UNREAD_BYTES + 1))
        for exchange in self.handler.exchanges[1:60]:
            exchange.respond(200, b"")
        self.assertEqual(MAX_PIPELINED_REQUESTS, len(self.handler.exchanges))
        connection.transport.read(2 * MAX_UNREAD_BYTES)
        self.assertEqual(106, len(self.handler.exchanges))
        self.assertEqual("producing", connection.transport.producerState)

    def test_answers_at_once_do_not_nest(self):
        """A handler that answers while it is called would recurse."""
        self.handler.handle = lambda exchange: exchange.respond(404, b"")
        self.held.limit = self.held.limit_of_large = 10**9
        connection = self.connect()
        connection.transport.socket.room = 10**6
        connection.dataReceived(
            b"".join(request(f"r{number}") for number in range(2000))
        )
        sent = bytes(connection.transport.socket.sent)
        self.assertEqual(2000, sent.count(b" 404 "))

    def test_the_clients_with_most_unread_bytes_are_disconnected(self):
        slow = [self.connect() for _ in range(9)]
        for connection in slow:
            connection.dataReceived(request("a"))
        for number, exchange in enumerate(list(self.handler.exchanges)):
            exchange.respond(200, b"", bytes(SMALL_BYTES + 10_000 * number))
        aborted = [c.transport.aborted for c in slow]
        self.assertIn(True, aborted)
        self.assertFalse(aborted[0])
        self.assertFalse(self.held.exceeded)

    def test_a_client_that_reads_nothing_is_aborted_after_a_while(self):
        connection = self.connect()
        connection.dataReceived(request("a"))
        self.handler.exchanges[0].respond(200, b"", bytes(1000))
        for _ in range(int(UNREAD_TIMEOUT_SECONDS)):
            self.listener.sweep()
            self.clock.advance(1.0)
        self.assertFalse(connection.transport.aborted)
        self.clock.advance(2.0)
        self.listener.sweep()
        self.assertTrue(connection.transport.aborted)

    def test_a_client_that_reads_slowly_is_not_aborted(self):
        connection = self.connect()
        connection.dataReceived(request("a"))
        self.handler.exchanges[0].respond(200, b"", bytes(200_000))
        for _ in range(int(2 * UNREAD_TIMEOUT_SECONDS)):
            connection.transport.read(1000)
            self.listener.sweep()
            self.clock.advance(1.0)
        self.assertFalse(connection.transport.aborted)

    def test_nothing_is_held_for_clients_that_have_left(self):
        for sent in (10, 99_999, 100_000):
            connection = self.connect()
            self.post(connection, 100_000, sent)
            connection.dataReceived(request("b"))
            for exchange in self.handler.exchanges[1:]:
                exchange.respond(200, b"", b"late")
            connection.connectionLost(Failure(ConnectionDone()))
        self.assertEqual(0, self.held.total)
        self.assertEqual({0}, set(self.held.by_holder.values()))


class HeaderCrowdTest(CrowdCase):
    """Guards against headers whose objects take more than their bytes."""

    def test_unfinished_headers_of_short_lines_are_counted(self):
        connection = self.connect()
        connection.dataReceived(b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 1000)
        self.assertGreater(self.held.total, 100_000)
        connection.dataReceived(b"Host: h\r\nx-id: a\r\n\r\n")
        self.assertEqual(1, len(self.handler.exchanges[0].head))
        self.assertLess(self.held.total, 20_000)

    def test_an_unfinished_target_is_counted(self):
        self.connect().dataReceived(b"GET /" + b"x" * 10_000)
        self.assertGreater(self.held.total, 10_000)


class ContinueTest(CrowdCase):
    """Guards against an interim response inside of an unread response."""

    def test_it_follows_a_response_that_is_not_read_yet(self):
        connection = self.connect()
        connection.dataReceived(request("a"))
        self.handler.exchanges[0].respond(200, b"", b"r" * 200_000)
        connection.dataReceived(
            b"POST /b HTTP/1.1\r\nHost: h\r\nx-id: b\r\n"
            b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n"
        )
        connection.transport.read(10**6)
        sent = bytes(connection.transport.socket.sent)
        self.assertIn(b"r" * 200_000 + b"HTTP/1.1 100 ", sent)


class ConnectionLimitTest(CrowdCase):
    """Guards against idle connections that take all descriptors."""

    def test_idle_connections_make_room_oldest_first(self):
        busy = self.connect()
        busy.dataReceived(request("a"))
        idle = []
        for _ in range(39):
            self.clock.advance(0.1)
            idle.append(self.connect())
        self.connect()
        self.assertFalse(busy.transport.aborted)
        aborted = [connection.transport.aborted for connection in idle]
        self.assertEqual(
            [True] * EVICTION_BATCH + [False] * (39 - EVICTION_BATCH), aborted
        )

    def test_unfinished_requests_make_room_after_idle_connections(self):
        unfinished = [self.connect() for _ in range(39)]
        for connection in unfinished:
            connection.dataReceived(b"GET / HTTP/1.1\r\nHost: h")
        idle = self.connect()
        self.connect()
        self.assertTrue(idle.transport.aborted)
        self.assertEqual(
            EVICTION_BATCH - 1,
            sum(connection.transport.aborted for connection in unfinished),
        )

    def test_a_connection_is_refused_if_all_are_busy(self):
        for _ in range(40):
            self.connect().dataReceived(request("a"))
        self.assertIsNone(self.listener.buildProtocol(None))


class PeerCallTest(TestCase):
    """Calls of other nodes, which cannot be refused before they arrive."""

    def setUp(self):
        super().setUp()
        self.node = make_node(MemoryReactorClock(), lambda document: None)
        self.node.gate.server.handle_report(make_report())
        self.sent = []
        self.node.gate.pool.send = self.sent.append

    def connect(self) -> InboundConnection:
        connection = self.node.peers.buildProtocol(None)
        connection.makeConnection(SlowTransport())
        return connection

    def call(self, stream: int, size: int) -> bytes:
        """Return the frame of a call with a body of ``size``."""
        return encode_frame(
            Call(
                stream=stream,
                request_id=b"%d" % stream,
                service="histbook",
                request_line=b"POST /a HTTP/1.1\r\n",
                head_index=0,
                head=b"",
                body=bytes(size),
                left_ms=2000,
                idempotent=True,
                root_route=1,
                rank=1,
                is_retry=False,
            )
        )

    def test_calls_beyond_the_memory_are_refused_unsent(self):
        connection = self.connect()
        ends = []
        fail = self.node.gate.fail

        def record(job, outcome, reason):
            ends.append((outcome, reason))
            fail(job, outcome, reason)

        self.node.gate.fail = record
        for stream in range(12):
            connection.dataReceived(self.call(stream, 5_000_000))
        self.assertIn((Outcome.REFUSED, "no memory for the request"), ends)
        self.assertLessEqual(self.node.held.total, self.node.held.limit)
        connection.connectionLost(Failure(ConnectionDone()))
        # Until then the other node may resume its calls.
        self.node.reactor.advance(CANCEL_SECONDS)
        self.assertEqual(0, self.node.held.total)

    def test_the_longest_incomplete_message_is_dropped(self):
        """Frames that never end must not end the process."""
        connections = [self.connect() for _ in range(4)]
        for connection in connections:
            connection.dataReceived(self.call(1, 20_000_000)[:16_000_000])
        aborted = [c.transport.aborted for c in connections]
        self.assertEqual(1, sum(aborted))
        self.assertLessEqual(self.node.held.total, self.node.held.limit)
