"""Transport between nodes over ZeroMQ.

Each node binds one PULL socket and opens a PUSH socket to each peer that it
sends to. The sockets are read on the twisted reactor through the file
descriptor of libzmq, which is edge-triggered: it becomes readable when
events may have changed, and any use of the socket may clear it. Events are
therefore looked at again on the turn of the loop after every use.
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
# The peer drops the connection if it hears nothing for this long.
HEARTBEAT_TTL_MS = 1500
RECONNECT_IVL_MS = 50
RECONNECT_IVL_MAX_MS = 1000
CONNECT_TIMEOUT_MS = 2000
HANDSHAKE_IVL_MS = 2000
QUEUE_MESSAGES = 1000
# Messages kept while a new peer connects, and for how long.
CONNECT_QUEUE_MESSAGES = 64
CONNECT_QUEUE_SECONDS = 0.5
IDLE_SECONDS = 60.0
SWEEP_SECONDS = 10.0
# The last answers of a node must leave it: with 0, a stop lost up to 191 of
# 200 messages that libzmq had accepted. Peers that do not read hold up the
# stop for this long; LINGER is 0 otherwise.
STOP_LINGER_MS = 200
# Other events of the loop get a turn after this many messages.
MESSAGES_PER_TURN = 64

log = Logger("flamingosail.zmqtransport")


@implementer(IReadDescriptor)
class ZmqReader:
    """Reports the events of one ZeroMQ socket to ``check``.

    ``check`` is called on the loop whenever events may have changed.
    """

    def __init__(
        self,
        *,
        reactor: IReactorFDSet,
        socket: zmq.Socket,
        check: Callable[[], None],
    ):
        self.reactor = reactor
        self.socket = socket
        self.check = check
        self.descriptor = socket.getsockopt(zmq.FD)
        self.recheck = None
        reactor.addReader(self)

    def fileno(self) -> int:
        """Return the file descriptor of libzmq, -1 after the end."""
        return self.descriptor

    def logPrefix(self) -> str:  # noqa: N802 - named by twisted
        """Return the name of this reader in logs."""
        return "zmq"

    def doRead(self):  # noqa: N802 - named by twisted
        """Look at the events."""
        self.check()

    def connectionLost(self, reason):  # noqa: N802 - named by twisted
        """Do nothing: the descriptor lives as long as the socket."""

    def check_again(self):
        """Look at the events on the next turn of the loop."""
        if self.recheck is None and self.descriptor >= 0:
            self.recheck = self.reactor.callLater(0, self.next_turn)

    def next_turn(self):
        """Look at the events again."""
        self.recheck = None
        self.check()

    def close(self, linger: int = 0):
        """Stop reading and close the socket."""
        if self.recheck is not None:
            self.recheck.cancel()
            self.recheck = None
        self.reactor.removeReader(self)
        self.descriptor = -1
        self.socket.close(linger=linger)


class Peer:
    """The PUSH socket to one address.

    Until the connection stands, messages wait in ``queue`` with the time
    at which they are dropped. That holds only for the first
    CONNECT_QUEUE_SECONDS after the socket was opened: a peer that has been
    away for longer fails sends at once.
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
            reactor=reactor, socket=socket, check=self.check
        )
        self.give_up = reactor.callLater(CONNECT_QUEUE_SECONDS, self.gave_up)

    def send(self, data: bytes, message: Message):
        """Send, or queue while the socket is new.

        :raises SendFailed: if neither is possible.
        """
        self.last_used = self.transport.reactor.seconds()
        if not self.queue and self.push(data):
            return
        if not self.connecting:
            raise SendFailed(
                f"{self.address} is not reachable or its queue is full"
            )
        if len(self.queue) >= CONNECT_QUEUE_MESSAGES:
            raise SendFailed(f"{self.address} is still connecting")
        self.queue.append((data, message))
        self.reader.check_again()

    def push(self, data: bytes) -> bool:
        """Hand a message to libzmq; return whether it took it."""
        try:
            self.socket.send(data, zmq.DONTWAIT)
        except zmq.Again:
            return False
        except zmq.ZMQError as error:
            log.warning("sending to {} failed: {}", self.address, error)
            return False
        self.transport.sent_bytes += len(data)
        return True

    def check(self):
        """Send what waits, if the connection stands."""
        events = self.socket.getsockopt(zmq.EVENTS)
        if not self.connecting or not events & zmq.POLLOUT:
            return
        while self.queue and self.push(self.queue[0][0]):
            self.queue.popleft()
        if self.queue:
            self.reader.check_again()
            return
        self.connecting = False
        self.stop_waiting()

    def gave_up(self):
        """Drop what waits: the connection did not come in time."""
        self.give_up = None
        self.connecting = False
        self.drop_queue()

    def drop_queue(self):
        """Drop the messages that were never handed to libzmq."""
        queue, self.queue = self.queue, deque()
        for _, message in queue:
            self.transport.drop(message)

    def stop_waiting(self):
        """Cancel the timer of the queue."""
        if self.give_up is not None:
            self.give_up.cancel()
            self.give_up = None

    def close(self, linger: int = 0):
        """Close the socket and drop what waits.

        ``linger`` is how many milliseconds libzmq may take to send what it
        accepted.
        """
        self.stop_waiting()
        self.connecting = False
        self.reader.close(linger)
        self.drop_queue()


class ZmqTransport(Transport):
    """Sends and receives messages over ZeroMQ on a twisted reactor.

    ``address`` is ``ip:port``; with port 0, ``start`` replaces it by the
    port that was bound. Messages are dropped if the connection to a new
    peer does not stand within CONNECT_QUEUE_SECONDS.
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
        self.sweep_call = None
        self.dropped = 0
        self.failed_sends = 0
        self.handler_errors = 0

    def start(self):
        """Bind the socket and begin to receive, unless that is done.

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
            reactor=self.reactor, socket=socket, check=self.read
        )
        self.reader.check_again()
        self.sweep_call = self.reactor.callLater(SWEEP_SECONDS, self.sweep)

    def stop(self):
        """Close all sockets.

        Messages that libzmq accepted are still sent, for at most
        STOP_LINGER_MS; those that wait for a connection are dropped.
        """
        if self.context is None:
            return
        self.sweep_call.cancel()
        while self.peers:
            self.peers.popitem()[1].close(STOP_LINGER_MS)
        self.reader.close()
        self.reader = None
        context, self.context = self.context, None
        context.term()

    def send(self, address: str, message: Message):
        """Send a message, or queue it while a new peer connects.

        :raises SendFailed: if the message was certainly not sent.
        """
        try:
            data = encode(message)
            self.peer(address).send(data, message)
        except CodecError as error:
            self.failed_sends += 1
            raise SendFailed(str(error)) from error
        except SendFailed:
            self.failed_sends += 1
            raise

    def peer(self, address: str) -> Peer:
        """Return the peer at an address; open a socket if there is none.

        :raises SendFailed: if the transport is stopped or the address bad.
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

    def open_socket(self, kind: int) -> zmq.Socket:
        """Return a socket with the options that both kinds share."""
        socket = self.context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, QUEUE_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, QUEUE_MESSAGES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_IVL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TTL, HEARTBEAT_TTL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_IVL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_IVL_MAX_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_IVL_MS)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        return socket

    def read(self):
        """Receive what has arrived, up to MESSAGES_PER_TURN messages."""
        reader = self.reader
        for _ in range(MESSAGES_PER_TURN):
            if self.reader is not reader or reader is None:
                return
            if not reader.socket.getsockopt(zmq.EVENTS) & zmq.POLLIN:
                # The descriptor reports whatever arrives from now on.
                return
            parts = [reader.socket.recv(zmq.DONTWAIT)]
            while reader.socket.getsockopt(zmq.RCVMORE):
                parts.append(reader.socket.recv(zmq.DONTWAIT))
            self.take(parts)
        reader.check_again()

    def take(self, parts: list[bytes]):
        """Hand one received message out; errors of handlers are logged."""
        if len(parts) != 1:
            self.malformed += 1
            return
        try:
            self.receive(parts[0])
        except Exception:
            self.handler_errors += 1
            log.exception("a message handler failed")

    def drop(self, message: Message):
        """Count and report a message that was never sent."""
        self.dropped += 1
        if self.on_dropped is None:
            return
        try:
            self.on_dropped(message)
        except Exception:
            self.handler_errors += 1
            log.exception("the handler of dropped messages failed")

    def sweep(self):
        """Close the sockets of peers that are not sent to any more."""
        self.sweep_call = self.reactor.callLater(SWEEP_SECONDS, self.sweep)
        oldest = self.reactor.seconds() - IDLE_SECONDS
        for address, peer in list(self.peers.items()):
            if peer.last_used <= oldest:
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
