"""Transport of messages between nodes.

Nodes use only the base class ``Transport``. ``LoopbackNetwork`` connects
transports within one process, for embedding and tests.
"""

from collections.abc import Callable
from functools import partial

from twisted.internet.interfaces import IReactorTime

from flamingosail.codec import decode
from flamingosail.codec import encode
from flamingosail.errors import CodecError
from flamingosail.errors import SendFailed
from flamingosail.kernel import Service
from flamingosail.messages import Message

__all__ = ["LoopbackNetwork", "LoopbackTransport", "Transport"]

Handler = Callable[[Message], None]


class Transport(Service):
    """Sends messages to addresses and dispatches received ones by type.

    Delivery is unreliable: a message may be lost, delayed, duplicated or
    reordered. Only ``SendFailed`` and ``on_dropped`` guarantee that a
    message was not sent. ``on_dropped`` is called with each message that
    ``send`` queued but that was dropped before it was sent.
    """

    name = "transport"

    def __init__(self, *, address: str):
        self.address = address
        self.on_dropped: Callable[[Message], None] | None = None
        self.handlers: dict[type[Message], Handler] = {}
        self.malformed = 0
        self.unhandled = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    def add_handler(self, message_type: type[Message], handler: Handler):
        """Call ``handler`` with each received message of this type."""
        self.handlers[message_type] = handler

    def send(self, address: str, message: Message):
        """Queue a message for an address.

        :raises SendFailed: if the message was not and will not be sent.
        """
        raise NotImplementedError

    def receive(self, data: bytes):
        """Decode one received message and call its handler."""
        self.received_bytes += len(data)
        try:
            message = decode(data)
        except CodecError:
            self.malformed += 1
            return
        handler = self.handlers.get(type(message))
        if handler is None:
            self.unhandled += 1
            return
        handler(message)

    def dump(self) -> dict:
        """Return counters of this transport."""
        return {
            "address": self.address,
            "malformed": self.malformed,
            "unhandled": self.unhandled,
            "sent_bytes": self.sent_bytes,
            "received_bytes": self.received_bytes,
        }


class LoopbackNetwork:
    """A network within one process, on the given clock.

    ``delay`` returns the seconds that a message takes from one address to
    another, or None if it is lost.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        delay: Callable[[str, str, Message], float | None],
    ):
        self.clock = clock
        self.delay = delay
        self.transports: dict[str, LoopbackTransport] = {}

    def attach(self, address: str) -> "LoopbackTransport":
        """Return a new transport at ``address``, replacing any old one."""
        transport = LoopbackTransport(network=self, address=address)
        self.transports[address] = transport
        return transport

    def detach(self, address: str):
        """Remove the transport at ``address``."""
        self.transports.pop(address, None)

    def transmit(self, source: str, address: str, message: Message):
        """Deliver a message after its delay; return its encoded size.

        :raises SendFailed: if nothing is attached at the address.
        """
        if address not in self.transports:
            raise SendFailed(f"no transport at {address}")
        data = encode(message)
        delay = self.delay(source, address, message)
        if delay is not None:
            self.clock.callLater(delay, partial(self.deliver, address, data))
        return len(data)

    def deliver(self, address: str, data: bytes):
        """Pass encoded bytes to the transport at ``address``, if any."""
        transport = self.transports.get(address)
        if transport is not None:
            transport.receive(data)


class LoopbackTransport(Transport):
    """A transport of a LoopbackNetwork."""

    def __init__(self, *, network: LoopbackNetwork, address: str):
        super().__init__(address=address)
        self.network = network

    def send(self, address: str, message: Message):
        """Send a message over the network.

        :raises SendFailed: if nothing is attached at the address.
        """
        self.sent_bytes += self.network.transmit(
            self.address, address, message
        )
