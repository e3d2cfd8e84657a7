"""HTTP/1.1 client connections on twisted protocols.

A response is accepted only if it is complete according to its Content-Length
or its last chunk. A response that is delimited by the end of the connection
is rejected, because it cannot be distinguished from a truncated one.
"""

import socket
from dataclasses import dataclass

from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpResponseParser
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol

from flamingosail.errors import FlamingosailError
from flamingosail.httpwire import append_piece
from flamingosail.httpwire import header_bytes
from flamingosail.httpwire import is_valid_status
from flamingosail.httpwire import MAX_BODY_BYTES
from flamingosail.httpwire import MAX_HEADER_BYTES
from flamingosail.httpwire import MAX_MESSAGE_BYTES

__all__ = [
    "BadResponse",
    "ConnectionClosed",
    "HttpClientProtocol",
    "HttpResponse",
]


# Flags of a recv call that neither consumes input nor blocks.
PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT


class ConnectionClosed(FlamingosailError):
    """The connection ended before any byte of the response arrived."""


class BadResponse(FlamingosailError):
    """The response is incomplete, malformed or too large."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class HttpClientProtocol(Protocol):
    """One connection to a server, for one request at a time.

    ``pending`` is the Deferred of the request in flight, if any. Input that
    arrives without a request in flight closes the connection, so that it is
    never taken for the response to the next request.
    """

    max_body_bytes = MAX_BODY_BYTES

    def __init__(self):
        self.open = False
        self.pending: Deferred | None = None
        self.parser = HttpResponseParser(self)
        self.reset(head=False)

    @property
    def idle(self) -> bool:
        """Whether a request can be sent."""
        return self.open and self.pending is None

    def reset(self, *, head: bool):
        """Prepare for the response to a request."""
        self.is_head = head
        self.complete = False
        self.keep_alive = False
        self.surplus_input = False
        self.in_body = False
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: bytes | bytearray = b""
        self.body_bytes = 0
        self.message_bytes = 0

    def send(self, data: bytes, *, head: bool = False) -> Deferred:
        """Write an encoded request; return a Deferred of its HttpResponse.

        ``head`` must be set if the method is HEAD. The Deferred fails with
        ConnectionClosed or BadResponse. Cancelling it aborts the connection.
        """
        self.reset(head=head)
        self.pending = Deferred(self.handle_cancel)
        self.transport.write(data)
        return self.pending

    def handle_cancel(self, deferred: Deferred):
        """Abort, so that no later request receives this response."""
        self.pending = None
        self.abort()

    def abort(self):
        """Close the connection at once."""
        self.open = False
        self.transport.abortConnection()

    def is_intact(self) -> bool:
        """Return whether the connection is open with no unread input.

        Peeks at the socket, because the reactor may not have read a close or
        surplus input yet.
        """
        get_handle = getattr(self.transport, "getHandle", None)
        if not self.open or get_handle is None:
            return self.open
        try:
            get_handle().recv(1, PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    # Methods called by twisted.

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Set up the transport."""
        self.open = True
        set_no_delay = getattr(self.transport, "setTcpNoDelay", None)
        if set_no_delay is not None:
            set_no_delay(True)

    def dataReceived(self, data):  # noqa: N802 - named by twisted
        """Parse input and deliver a complete response."""
        if self.pending is None:
            self.abort()
            return
        self.message_bytes += len(data)
        try:
            self.parser.feed_data(data)
            self.check_size()
        except (HttpParserError, HttpParserUpgrade, BadResponse) as error:
            if not self.complete:
                self.fail(error)
                return
            self.surplus_input = True
        if self.complete:
            self.deliver()

    def connectionLost(self, reason=None):  # noqa: N802 - named by twisted
        """Fail the request in flight."""
        self.open = False
        if self.pending is None:
            return
        if self.message_bytes:
            error = BadResponse("the connection closed within the answer")
        else:
            error = ConnectionClosed("the connection closed before an answer")
        pending, self.pending = self.pending, None
        pending.errback(error)

    # Methods called by the parser.

    def on_message_begin(self):
        """Record input after the end of the response."""
        self.surplus_input = self.surplus_input or self.complete

    def on_header(self, name: bytes, value: bytes):
        """Collect a header; trailers are dropped."""
        if not self.in_body and not self.complete:
            self.headers.append((name, value))

    def on_headers_complete(self):
        """Check the headers; a response to HEAD ends here."""
        if self.complete:
            return
        if self.message_bytes > MAX_HEADER_BYTES:
            self.check_header_size()
        self.in_body = True
        self.status = self.parser.get_status_code()
        if not is_valid_status(self.status):
            raise BadResponse(f"the status {self.status:03} is none")
        if self.is_head and self.status >= 200:
            self.complete = True
            self.keep_alive = self.parser.should_keep_alive()

    def on_body(self, data: bytes):
        """Collect a part of the body."""
        if self.complete:
            self.surplus_input = True
            return
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body_bytes:
            raise BadResponse(f"the body exceeds {self.max_body_bytes} bytes")
        self.body = append_piece(self.body, data)

    def on_message_complete(self):
        """Record the end of the response; drop interim responses."""
        if self.complete:
            return
        if self.status >= 200:
            self.complete = True
            # The parser resets this after the end of the message.
            self.keep_alive = self.parser.should_keep_alive()
        elif self.status == 101:
            raise BadResponse("the server switched protocols unasked")
        else:
            self.headers = []
            self.in_body = False

    # Responses.

    def check_header_size(self):
        """Check the size of the response headers.

        :raises BadResponse: if it is above the limit.
        """
        if header_bytes(self.headers) > MAX_HEADER_BYTES:
            raise BadResponse(f"the header exceeds {MAX_HEADER_BYTES} bytes")

    def check_size(self):
        """Limit input that the parser has not reported yet."""
        if self.complete:
            return
        limit = MAX_MESSAGE_BYTES if self.in_body else MAX_HEADER_BYTES
        if self.message_bytes > limit:
            raise BadResponse(f"the answer exceeds {limit} bytes")

    def fail(self, error: Exception):
        """Abort the connection and fail the request in flight."""
        cause = error.__context__
        if isinstance(cause, BadResponse):
            error = cause
        if not isinstance(error, BadResponse):
            error = BadResponse(f"not an HTTP/1.1 answer: {error}")
        pending, self.pending = self.pending, None
        self.abort()
        pending.errback(error)

    def deliver(self):
        """Fire the Deferred of the request with the response."""
        body, self.body = bytes(self.body), b""
        response = HttpResponse(self.status, tuple(self.headers), body)
        if self.surplus_input or not self.keep_alive:
            self.open = False
            self.transport.loseConnection()
        elif self.is_head:
            # The old parser still expects a body of Content-Length bytes.
            self.parser = HttpResponseParser(self)
        pending, self.pending = self.pending, None
        pending.callback(response)
