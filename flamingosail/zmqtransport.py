"""Transport between nodes over ZeroMQ.

Each node binds one PULL socket and opens a PUSH socket to each peer that it
sends to. The twisted reactor watches the file descriptor of each socket,
which is edge-triggered: it becomes readable when events may have changed, and
any use of the socket may clear it. Events are therefore checked again on the
next turn of the loop after every use.
"""

from collections import deque
from collections.abc import Callable
from ipaddress import ip_address

import zmq
from logbook import Logger
from twisted.internet.interfaces import IReactorFDSet
from twisted.internet.interfaces import IReadDescriptor
from zope.interface import implementer

from flamingosail.codec import encode
from flamingosail.codec import MAX_MESSAGE_BYTES
from flamingosail.errors import CodecError
from flamingosail.errors import SendFailed
from flamingosail.messages import Message
from flamingosail.transport import Transport

__all__ = ["ZmqTransport"]

HEARTBEAT_IVL_MS = 500
HEARTBEAT_TIMEOUT_MS = 1500
# The peer drops the connection if it receives nothing for this long.
HEARTBEAT_TTL_MS = 1500
RECONNECT_IVL_MS = 50
RECONNECT_IVL_MAX_MS = 1000
CONNECT_TIMEOUT_MS = 2000
HANDSHAKE_IVL_MS = 2000
HIGH_WATER_MARK_MESSAGES = 1000
# How many messages are queued while a new peer connects, and for how long.
CONNECT_QUEUE_MESSAGES = 64
CONNECT_QUEUE_SECONDS = 0.5
IDLE_TIMEOUT_SECONDS = 60.0
IDLE_CHECK_INTERVAL_SECONDS = 10.0
# The last answers of a stopping node must still be sent: with 0, a stop lost
# up to 191 of 200 messages that libzmq had accepted. A peer that does not read
# delays the stop by this time. LINGER is 0 except in a stop.
STOP_LINGER_MS = 200
# After this many messages the other events of the loop are handled.
MESSAGES_PER_TURN = 64

log = Logger("flamingosail.zmqtransport")


@implementer(IReadDescriptor)
class ZmqReader:
    """Calls ``on_events`` when the events of a ZeroMQ socket may have changed.

    The reactor makes the call, and there may be no event.
    """

    def __init__(
        self,
        *,
        reactor: IReactorFDSet,
        socket: zmq.Socket,
        on_events: Callable[[], None],
    ):
        self.reactor = reactor
        self.socket = socket
        self.on_events = on_events
        self.descriptor = socket.getsockopt(zmq.FD)
        self.check_call = None
        reactor.addReader(self)

    def fileno(self) -> int:
        """Return the file descriptor of the socket, -1 after ``close``."""
        return self.descriptor

    def logPrefix(self) -> str:  # noqa: N802 - named by twisted
        """Return the name of this reader in logs."""
        return "zmq"

    def doRead(self):  # noqa: N802 - named by twisted
        """Check the events."""
        self.on_events()

    def connectionLost(self, reason):  # noqa: N802 - named by twisted
        """Do nothing: the descriptor lives as long as the socket."""

    def schedule_check(self):
        """Check the events on the next turn of the loop."""
        if self.check_call is None and self.descriptor >= 0:
            self.check_call = self.reactor.callLater(0, self.run_check)

    def run_check(self):
        """Run the scheduled check."""
        self.check_call = None
        self.on_events()

    def close(self, linger: int = 0):
        """Close the socket; libzmq may still send for ``linger`` ms."""
        if self.check_call is not None:
            self.check_call.cancel()
            self.check_call = None
        self.reactor.removeReader(self)
        self.descriptor = -1
        self.socket.close(linger=linger)


class Peer:
    """The PUSH socket to one address.

    Messages wait in ``queue`` until the first connection is established, for
    at most CONNECT_QUEUE_SECONDS after the socket was opened. Later, sends to
    an unreachable peer fail at once.
    """

    def __init__(self, *, transport: "ZmqTransport", address: str):
        self.transport = transport
        self.address = address
        self.queue: deque[tuple[bytes, Message]] = deque()
        reactor = transport.reactor
        self.last_used = reactor.seconds()
        self.connecting = True
        socket = transport.connect_socket(address)
        self.socket = socket
        self.reader = ZmqReader(
            reactor=reactor, socket=socket, on_events=self.send_queued
        )
        self.connect_timer = reactor.callLater(
            CONNECT_QUEUE_SECONDS, self.on_connect_timeout
        )

    def send(self, data: bytes, message: Message):
        """Send a message, or queue it while ``connecting``.

        :raises SendFailed: if neither is possible.
        """
        self.last_used = self.transport.reactor.seconds()
        if not self.queue and self.try_send(data):
            return
        if not self.connecting:
            raise SendFailed(
                f"{self.address} is not reachable or its queue is full"
            )
        if len(self.queue) >= CONNECT_QUEUE_MESSAGES:
            raise SendFailed(f"{self.address} is still connecting")
        self.queue.append((data, message))
        self.reader.schedule_check()

    def try_send(self, data: bytes) -> bool:
        """Pass a message to libzmq; return whether it was accepted."""
        try:
            self.socket.send(data, zmq.DONTWAIT)
        except zmq.Again:
            return False
        except zmq.ZMQError as error:
            log.warning("sending to {} failed: {}", self.address, error)
            return False
        self.transport.sent_bytes += len(data)
        return True

    def send_queued(self):
        """Send the queued messages if the connection is established."""
        events = self.socket.getsockopt(zmq.EVENTS)
        if not self.connecting or not events & zmq.POLLOUT:
            return
        while self.queue and self.try_send(self.queue[0][0]):
            self.queue.popleft()
        if self.queue:
            self.reader.schedule_check()
            return
        self.connecting = False
        self.cancel_connect_timer()

    def on_connect_timeout(self):
        """Drop the queue: the connection was not established in time."""
        self.connect_timer = None
        self.connecting = False
        self.drop_queue()

    def drop_queue(self):
        """Drop the queued messages, which libzmq never accepted."""
        queue, self.queue = self.queue, deque()
        for _, message in queue:
            self.transport.report_dropped(message)

    def cancel_connect_timer(self):
        """Cancel the connect timeout."""
        if self.connect_timer is not None:
            self.connect_timer.cancel()
            self.connect_timer = None

    def close(self, linger: int = 0):
        """Close the socket and drop the queue.

        ``linger`` is how many milliseconds libzmq may take to send the
        messages that it accepted.
        """
        self.cancel_connect_timer()
        self.connecting = False
        self.reader.close(linger)
        self.drop_queue()


class ZmqTransport(Transport):
    """Sends and receives messages over ZeroMQ on a twisted reactor.

    ``address`` is ``ip:port``; with port 0, ``start`` replaces it by the
    port that was bound. Messages are dropped if the connection to a new
    peer is not established within CONNECT_QUEUE_SECONDS.
    """

    def __init__(
        self,
        *,
        reactor: IReactorFDSet,
        address: str,
        on_dropped: Callable[[Message], None] | None = None,
    ):
        super().__init__(address=address)
        self.reactor = reactor
        self.on_dropped = on_dropped
        self.context: zmq.Context | None = None
        self.reader: ZmqReader | None = None
        self.peers: dict[str, Peer] = {}
        self.idle_check_call = None
        self.dropped = 0
        self.failed_sends = 0
        self.handler_errors = 0

    def start(self):
        """Bind the socket and start to receive, unless already started.

        :raises zmq.ZMQError: if the address cannot be bound.
        """
        if self.context is not None:
            return
        self.context = zmq.Context()
        socket = self.open_socket(zmq.PULL)
        try:
            socket.bind(f"tcp://{self.address}")
        except zmq.ZMQError:
            socket.close(linger=0)
            self.context.term()
            self.context = None
            raise
        endpoint = socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = endpoint.removeprefix("tcp://")
        self.reader = ZmqReader(
            reactor=self.reactor,
            socket=socket,
            on_events=self.receive_available,
        )
        self.reader.schedule_check()
        self.idle_check_call = self.reactor.callLater(
            IDLE_CHECK_INTERVAL_SECONDS, self.close_idle_peers
        )

    def stop(self):
        """Close all sockets.

        Messages that libzmq accepted are still sent, for at most
        STOP_LINGER_MS; messages queued for a connection are dropped.
        """
        if self.context is None:
            return
        self.idle_check_call.cancel()
        while self.peers:
            self.peers.popitem()[1].close(STOP_LINGER_MS)
        self.reader.close()
        self.reader = None
        context, self.context = self.context, None
        context.term()

    def send(self, address: str, message: Message):
        """Send a message, or queue it while a new peer connects.

        :raises SendFailed: if the message was not and will not be sent.
        """
        try:
            data = encode(message)
            self.get_peer(address).send(data, message)
        except CodecError as error:
            self.failed_sends += 1
            raise SendFailed(str(error)) from error
        except SendFailed:
            self.failed_sends += 1
            raise

    def get_peer(self, address: str) -> Peer:
        """Return the peer at an address; open a socket if there is none.

        :raises SendFailed: if the transport is stopped or the address invalid.
        """
        peer = self.peers.get(address)
        if peer is None:
            if self.context is None:
                raise SendFailed("the transport is stopped")
            peer = Peer(transport=self, address=address)
            self.peers[address] = peer
        return peer

    def connect_socket(self, address: str) -> zmq.Socket:
        """Return a PUSH socket that connects to an address.

        :raises SendFailed: if the address is not ``ip:port``.
        """
        host, _, port = address.rpartition(":")
        try:
            ip_address(host.strip("[]"))
            if not 0 < int(port) < 65_536:
                raise ValueError(f"{port} is not a port")
        except ValueError as error:
            raise SendFailed(f"{address!r} is not ip:port: {error}") from None
        try:
            socket = self.open_socket(zmq.PUSH)
        except zmq.ZMQError as error:
            raise SendFailed(f"no socket for {address}: {error}") from None
        try:
            socket.setsockopt(zmq.IMMEDIATE, 1)
            socket.connect(f"tcp://{address}")
        except zmq.ZMQError as error:
            socket.close(linger=0)
            raise SendFailed(f"no connection to {address}: {error}") from None
        return socket

    def open_socket(self, socket_type: int) -> zmq.Socket:
        """Return a PULL or PUSH socket with the options that both share."""
        socket = self.context.socket(socket_type)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK_MESSAGES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_IVL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TTL, HEARTBEAT_TTL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_IVL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_IVL_MAX_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_IVL_MS)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        return socket

    def receive_available(self):
        """Receive the messages that arrived, up to MESSAGES_PER_TURN."""
        reader = self.reader
        for _ in range(MESSAGES_PER_TURN):
            if self.reader is not reader or reader is None:
                return
            if not reader.socket.getsockopt(zmq.EVENTS) & zmq.POLLIN:
                # The descriptor becomes readable when a message arrives.
                return
            parts = [reader.socket.recv(zmq.DONTWAIT)]
            while reader.socket.getsockopt(zmq.RCVMORE):
                parts.append(reader.socket.recv(zmq.DONTWAIT))
            self.handle_parts(parts)
        reader.schedule_check()

    def handle_parts(self, parts: list[bytes]):
        """Dispatch one received message; log errors of its handler."""
        if len(parts) != 1:
            self.malformed += 1
            return
        try:
            self.receive(parts[0])
        except Exception:
            self.handler_errors += 1
            log.exception("a message handler failed")

    def report_dropped(self, message: Message):
        """Count a message that was never sent and call ``on_dropped``."""
        self.dropped += 1
        if self.on_dropped is None:
            return
        try:
            self.on_dropped(message)
        except Exception:
            self.handler_errors += 1
            log.exception("the handler of dropped messages failed")

    def close_idle_peers(self):
        """Close the peers that were not sent to for IDLE_TIMEOUT_SECONDS."""
        self.idle_check_call = self.reactor.callLater(
            IDLE_CHECK_INTERVAL_SECONDS, self.close_idle_peers
        )
        cutoff = self.reactor.seconds() - IDLE_TIMEOUT_SECONDS
        for address, peer in list(self.peers.items()):
            if peer.last_used <= cutoff:
                del self.peers[address]
                peer.close()

    def dump(self) -> dict:
        """Return counters of this transport."""
        return super().dump() | {
            "peers": len(self.peers),
            "dropped": self.dropped,
            "failed_sends": self.failed_sends,
            "handler_errors": self.handler_errors,
        }
