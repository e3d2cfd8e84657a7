"""Output of a connection, passed to its transport in pieces."""

from collections import deque
from collections.abc import Callable

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from flamingosail.proxy.shared.heldbytes import HeldBytes

__all__ = ["OutputBuffer"]

# Limit on what the transport itself buffers. It joins its buffers, so that a
# large message would exist twice there.
PIECE_BYTES = 65_536


def ignore():
    """Do nothing."""


@implementer(IPullProducer)
class OutputBuffer:
    """Holds what the peer of a connection has not read.

    What the kernel accepts at once is neither held nor counted. ``size`` is
    the number of bytes held, those in the transport included. ``on_drained``
    is called when everything has been sent after some of it was held.
    """

    def __init__(
        self,
        *,
        transport,
        held: HeldBytes,
        holder: str,
        on_drained: Callable[[], None] = ignore,
    ):
        self.transport = transport
        self.held = held
        self.holder = holder
        self.on_drained = on_drained
        self.pieces: deque[bytearray | memoryview] = deque()
        self.offset = 0
        self.size = 0
        self.in_transport = 0
        self.registered = False

    def write(self, data: bytes):
        """Send data, at once if nothing is held.

        ``transport.write`` alone would defer the write to the next reactor
        iteration and register the socket for it, which costs additional
        system calls.
        """
        transport = self.transport
        sock = getattr(transport, "socket", None)
        if sock is None or not transport.connected:
            transport.write(data)
            return
        if not self.registered:
            if transport.disconnecting or transport.producer is not None:
                transport.write(data)
                return
            try:
                sent = sock.send(data)
            except OSError:
                # The reactor reports the same error through connectionLost.
                sent = 0
            if sent == len(data):
                return
            data = memoryview(data)[sent:]
        self.hold(data)
        if not self.registered:
            self.registered = True
            transport.registerProducer(self, False)

    def hold(self, data: bytes | memoryview):
        """Append data to the pieces; small pieces are joined."""
        self.size += len(data)
        self.held.add(self.holder, len(data))
        last = self.pieces[-1] if self.pieces else None
        if isinstance(last, bytearray) and len(last) < PIECE_BYTES:
            last += data
        elif len(data) < PIECE_BYTES:
            self.pieces.append(bytearray(data))
        else:
            self.pieces.append(memoryview(data))

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the kernel has not accepted.

        Unlike ``size``, it changes with each byte that is sent.
        """
        if not self.in_transport:
            return self.size
        transport = self.transport
        unsent = len(transport.dataBuffer) - transport.offset
        return self.size - self.in_transport + unsent

    # Called by the transport.

    def resumeProducing(self):  # noqa: N802 - named by twisted
        """Pass the next piece on; the transport has sent the last one."""
        self.size -= self.in_transport
        self.held.add(self.holder, -self.in_transport)
        self.in_transport = 0
        if not self.pieces:
            self.registered = False
            self.transport.unregisterProducer()
            self.on_drained()
            return
        piece = self.pieces[0]
        part = bytes(piece[self.offset : self.offset + PIECE_BYTES])
        self.offset += len(part)
        if self.offset == len(piece):
            self.pieces.popleft()
            self.offset = 0
        self.in_transport = len(part)
        self.transport.write(part)

    def stopProducing(self):  # noqa: N802 - named by twisted
        """Drop everything; the connection is closed."""
        self.release()

    def release(self):
        """Drop what is held."""
        self.held.add(self.holder, -self.size)
        self.size = self.in_transport = self.offset = 0
        self.pieces.clear()
        self.on_drained = ignore
