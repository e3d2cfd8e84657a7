"""HTTP/1.1 client connections on twisted protocols.

An answer counts only if it is complete: as long as its Content-Length says,
or ended by its last chunk. An answer that is delimited by the end of the
connection is refused, because it cannot be told from a truncated one.
"""

import socket
from dataclasses import dataclass

from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpResponseParser
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol

from flamingosail.errors import FlamingosailError
from flamingosail.httpwire import header_bytes
from flamingosail.httpwire import MAX_BODY_BYTES
from flamingosail.httpwire import MAX_HEADER_BYTES
from flamingosail.httpwire import MAX_MESSAGE_BYTES

__all__ = [
    "BadResponse",
    "ConnectionClosed",
    "HttpClientProtocol",
    "HttpResponse",
]


# A look at the input that takes nothing and does not wait.
PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT


class ConnectionClosed(FlamingosailError):
    """The connection ended before any byte of the answer arrived."""


class BadResponse(FlamingosailError):
    """The answer is incomplete, malformed or too large."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class HttpClientProtocol(Protocol):
    """One connection to a server, for one request at a time.

    ``idle`` says whether another request may be sent. Input that belongs to
    no request closes the connection, so that it is never taken for the
    answer to the next request.
    """

    max_body_bytes = MAX_BODY_BYTES

    def __init__(self):
        self.open = False
        self.waiting: Deferred | None = None
        self.parser = HttpResponseParser(self)
        self.reset(head=False)

    @property
    def idle(self) -> bool:
        """Whether the connection can take a request."""
        return self.open and self.waiting is None

    def reset(self, *, head: bool):
        """Prepare for the answer to a request."""
        self.is_head = head
        self.complete = False
        self.keep_alive = False
        self.excess = False
        self.in_body = False
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.body_bytes = 0
        self.message_bytes = 0

    def send(self, data: bytes, *, head: bool = False) -> Deferred:
        """Write a request and return a Deferred of its HttpResponse.

        ``head`` says that the method is HEAD. The Deferred fails with
        ConnectionClosed or BadResponse. Cancelling it aborts the connection.
        """
        self.reset(head=head)
        self.waiting = Deferred(self.cancelled)
        self.transport.write(data)
        return self.waiting

    def cancelled(self, deferred: Deferred):
        """Abort: a late answer must not meet the next request."""
        self.waiting = None
        self.abort()

    def abort(self):
        """Close the connection at once."""
        self.open = False
        self.transport.abortConnection()

    def intact(self) -> bool:
        """Return whether the connection is open with no unread input.

        The reactor may not have seen a close, or input that belongs to no
        request; the socket knows both.
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

    # twisted calls these.

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Prepare the transport."""
        self.open = True
        set_no_delay = getattr(self.transport, "setTcpNoDelay", None)
        if set_no_delay is not None:
            set_no_delay(True)

    def dataReceived(self, data):  # noqa: N802 - named by twisted
        """Parse input and deliver a complete answer."""
        if self.waiting is None:
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
            self.excess = True
        if self.complete:
            self.deliver()

    def connectionLost(self, reason=None):  # noqa: N802 - named by twisted
        """Fail the request that waits for its answer."""
        self.open = False
        if self.waiting is None:
            return
        if self.message_bytes:
            error = BadResponse("the connection closed within the answer")
        else:
            error = ConnectionClosed("the connection closed before an answer")
        waiting, self.waiting = self.waiting, None
        waiting.errback(error)

    # The parser calls these.

    def on_message_begin(self):
        """Note input after the end of the answer."""
        self.excess = self.excess or self.complete

    def on_header(self, name: bytes, value: bytes):
        """Collect a header; trailers are dropped."""
        if not self.in_body and not self.complete:
            self.headers.append((name, value))

    def on_headers_complete(self):
        """Check the header; an answer to HEAD ends here."""
        if self.complete:
            return
        if self.message_bytes > MAX_HEADER_BYTES:
            self.check_header_size()
        self.in_body = True
        self.status = self.parser.get_status_code()
        if self.is_head and self.status >= 200:
            self.complete = True
            self.keep_alive = self.parser.should_keep_alive()

    def on_body(self, data: bytes):
        """Collect a part of the body."""
        if self.complete:
            self.excess = True
            return
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body_bytes:
            raise BadResponse(f"the body exceeds {self.max_body_bytes} bytes")
        self.chunks.append(data)

    def on_message_complete(self):
        """Note the end of the answer; interim answers are dropped."""
        if self.complete:
            return
        if self.status >= 200:
            self.complete = True
            # The parser forgets this when the message has ended.
            self.keep_alive = self.parser.should_keep_alive()
        elif self.status == 101:
            raise BadResponse("the server switched protocols unasked")
        else:
            self.headers = []
            self.in_body = False

    # Answers.

    def check_header_size(self):
        """Limit the header of the answer.

        :raises BadResponse: if it is above the limit.
        """
        if header_bytes(self.headers) > MAX_HEADER_BYTES:
            raise BadResponse(f"the header exceeds {MAX_HEADER_BYTES} bytes")

    def check_size(self):
        """Limit what arrives before the parser reports it."""
        if self.complete:
            return
        limit = MAX_MESSAGE_BYTES if self.in_body else MAX_HEADER_BYTES
        if self.message_bytes > limit:
            raise BadResponse(f"the answer exceeds {limit} bytes")

    def fail(self, error: Exception):
        """Abort and fail the request that waits."""
        cause = error.__context__
        if isinstance(cause, BadResponse):
            error = cause
        if not isinstance(error, BadResponse):
            error = BadResponse(f"not an HTTP/1.1 answer: {error}")
        waiting, self.waiting = self.waiting, None
        self.abort()
        waiting.errback(error)

    def deliver(self):
        """Hand the complete answer to its request."""
        chunks = self.chunks
        body = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        response = HttpResponse(self.status, tuple(self.headers), body)
        if self.excess or not self.keep_alive:
            self.open = False
            self.transport.loseConnection()
        elif self.is_head:
            # The parser waits for the body that Content-Length announced.
            self.parser = HttpResponseParser(self)
        waiting, self.waiting = self.waiting, None
        waiting.callback(response)
