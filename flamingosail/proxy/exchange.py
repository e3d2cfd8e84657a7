"""One request of a client, and what handles it."""

from typing import Protocol as Interface

from flamingosail.httpwire import BODILESS
from flamingosail.httpwire import status_line
from flamingosail.proxy.routes import ClientLimits

__all__ = ["Exchange", "ExchangeHandler"]


class ExchangeHandler(Interface):
    """What a client connection needs of its node."""

    limits: ClientLimits

    def handle(self, exchange: "Exchange"):
        """A request is complete; call ``exchange.answer`` once."""

    def cancelled(self, exchange: "Exchange"):
        """The client has left before the answer."""


class Exchange:
    """One request of a client and its answer.

    ``connection`` is that of the client; its ``flush`` is called when the
    answer is there. ``head`` holds the header lines that are passed on but
    for the request id, ``left_ms`` the time that the client waits (None if
    not stated) and ``arrived`` the reactor's time. ``call`` is for the
    handler's use.
    """

    __slots__ = (
        "connection",
        "arrived",
        "request_id",
        "method",
        "target",
        "host",
        "head",
        "body",
        "left_ms",
        "keep_alive",
        "output",
        "call",
        "over",
    )

    def __init__(self, *, connection):
        self.connection = connection
        self.request_id = b""
        self.method = b""
        self.target = b""
        self.host = b""
        self.head: list[bytes] = []
        self.body = b""
        self.left_ms = None
        self.keep_alive = True
        self.output = None
        self.call = None
        self.over = False

    def answer(self, status: int, head: bytes, body: bytes = b""):
        """Send the answer, once those before it are sent.

        ``head`` holds whole header lines. Does nothing if the client left.
        """
        if self.over:
            return
        self.over = True
        if status in BODILESS or self.method == b"HEAD":
            length, body = b"", b""
        else:
            length = b"Content-Length: %d\r\n" % len(body)
        self.output = (status_line(status) + head + length, body)
        self.connection.flush()
