"""One request of a client with its response, and the handler interface."""

from typing import Protocol as Interface

from flamingosail.httpwire import BODILESS
from flamingosail.httpwire import status_line
from flamingosail.proxy.shared.routes import ClientLimits

__all__ = ["Exchange", "ExchangeHandler"]


class ExchangeHandler(Interface):
    """The node's handler of complete requests."""

    limits: ClientLimits

    def handle(self, exchange: "Exchange"):
        """Handle a complete request; must call ``exchange.respond`` once."""

    def client_disconnected(self, exchange: "Exchange"):
        """Cancel a request; its client disconnected before the response."""


class Exchange:
    """One request of a client and its response.

    ``output`` holds the header and the body of the response;
    ``connection.flush`` is called when it is set. ``head`` holds the request's
    header lines that are forwarded, without its id. ``credential`` is the key
    of a client account, None if the request has none, empty if it has more
    than one or an unusable one. ``timeout_ms`` is how
    long the client waits, None if not stated, and ``arrived_at`` the reactor's
    time at which its header was complete. ``from_own_vm`` is false if the
    client is on another VM.
    ``request`` belongs to the handler. ``done`` is set when the request has
    been answered or its client has disconnected. ``held_bytes`` is what the
    connection counts for the request, or for its response until it is written.
    """

    __slots__ = (
        "connection",
        "arrived_at",
        "request_id",
        "method",
        "target",
        "host",
        "head",
        "body",
        "credential",
        "from_own_vm",
        "timeout_ms",
        "keep_alive",
        "output",
        "request",
        "done",
        "held_bytes",
    )

    def __init__(self, *, connection):
        self.connection = connection
        self.request_id = b""
        self.method = b""
        self.target = b""
        self.host = b""
        self.head: list[bytes] = []
        self.body = b""
        self.credential: bytes | None = None
        self.from_own_vm = True
        self.timeout_ms = None
        self.keep_alive = True
        self.output = None
        self.request = None
        self.done = False
        self.held_bytes = 0

    def respond(self, status: int, response_head: bytes, body: bytes = b""):
        """Set the response; the connection writes it when its turn comes.

        Responses are written in the order of the requests. ``response_head``
        holds complete header lines. Does nothing if ``done`` is set.
        """
        if self.done:
            return
        self.done = True
        if status in BODILESS or self.method == b"HEAD":
            length, body = b"", b""
        else:
            length = b"Content-Length: %d\r\n" % len(body)
        self.output = (status_line(status) + response_head + length, body)
        counted = self.held_bytes > 0
        self.release()
        if counted:
            self.connection.hold_response(self)
        self.connection.flush()

    def release(self):
        """Drop what only an unanswered request needs.

        Timers keep ended requests until their deadline.
        """
        self.request = None
        self.credential = None
        self.body = b""
        self.head = []
        if self.held_bytes:
            self.connection.release_request(self)
