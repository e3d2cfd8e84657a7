"""Transport of messages between nodes.

Nodes see only the base class. ``LoopbackNetwork`` connects transports within
one process, for embedding and tests.
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
    """Sends typed messages to addresses and hands received ones out.

    Delivery is not reliable: a message may be lost, delayed, duplicated or
    reordered. Only ``SendFailed`` and ``on_dropped`` prove that a message
    was not sent; the latter is called with a message that ``send`` accepted
    but that never left.
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

    def listen(self, message_type: type[Message], handler: Handler):
        """Call ``handler`` with each received message of the given type."""
        self.handlers[message_type] = handler

    def send(self, address: str, message: Message):
        """Queue a message for an address.

        :raises SendFailed: if the message was certainly not sent.
        """
        raise NotImplementedError

    def receive(self, data: bytes):
        """Decode one received message and hand it to its handler."""
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

    ``delay`` returns the seconds a message takes from one address to
    another, or None to lose it.
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

    def carry(self, source: str, address: str, message: Message):
        """Deliver a message after its delay.

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
        """Hand encoded bytes to the transport at ``address``, if any."""
        transport = self.transports.get(address)
        if transport is not None:
            transport.receive(data)


class LoopbackTransport(Transport):
    """A transport of a LoopbackNetwork."""

    def __init__(self, *, network: LoopbackNetwork, address: str):
        super().__init__(address=address)
        self.network = network

    def send(self, address: str, message: Message):
        """Hand a message to the network."""
        self.sent_bytes += self.network.carry(self.address, address, message)
