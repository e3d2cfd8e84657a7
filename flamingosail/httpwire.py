"""HTTP/1.1 server connections on twisted protocols.

Requests are parsed with httptools; each response is written in one call.
Limits of a request: 16 KiB of header, 1 MiB of body, 10 s to arrive.
Pipelining is not supported: the first request is answered, then the
connection is closed.
"""

from http import HTTPStatus
from typing import Protocol as Interface

from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpRequestParser
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Protocol

from flamingosail.errors import RefusalCode
from flamingosail.request import Headers

__all__ = [
    "HttpHandler",
    "HttpServerProtocol",
    "MAX_BODY_BYTES",
    "MAX_HEADER_BYTES",
    "append_piece",
    "encode_message",
    "header_bytes",
    "is_valid_status",
    "status_line",
]

MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 1_048_576
# Includes chunk sizes, extensions and trailers, which would otherwise be
# unlimited in a body of tiny chunks.
MAX_MESSAGE_BYTES = 8 * MAX_BODY_BYTES
RECEIVE_TIMEOUT_SECONDS = 10.0
# Closing with unread input resets the connection, and the client may then
# lose the response. Input is read and discarded for this long instead.
LINGER_SECONDS = 2.0
# Time for the client to read the last response of a connection.
CLOSE_TIMEOUT_SECONDS = 30.0

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Statuses whose responses have no body and no Content-Length (RFC 9110).
BODILESS = frozenset({204, 304})
_STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %s\r\n"
    % (status.value, status.phrase.encode())
    for status in HTTPStatus
}
_STATUS_LINES[499] = b"HTTP/1.1 499 Client Closed Request\r\n"


def is_valid_status(status: int) -> bool:
    """Return whether a status is one of a response (RFC 9110, section 15).

    The parser also takes other numbers of three digits.
    """
    return 100 <= status <= 599


def status_line(status: int) -> bytes:
    """Return the status line of a response, with its line end."""
    return _STATUS_LINES.get(status) or b"HTTP/1.1 %d -\r\n" % status


def encode_message(
    start: bytes, headers: Headers, body: bytes, length: int | None
) -> bytes:
    """Return an encoded HTTP message.

    ``start`` is the start line, and may be followed by header lines.
    ``length`` becomes Content-Length; None omits the header.
    """
    parts = [start]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if length is not None:
        parts.append(b"Content-Length: %d\r\n" % length)
    parts += (b"\r\n", body)
    return b"".join(parts)


def header_bytes(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the encoded size of the header lines in bytes."""
    return sum(len(name) + len(value) + 4 for name, value in headers)


class HttpHandler(Interface):
    """Callbacks of a server connection."""

    def connected(self, connection: "HttpServerProtocol"):
        """Called when a client has connected."""

    def disconnected(self, connection: "HttpServerProtocol"):
        """Called when the connection is lost; responses are then dropped."""

    def handle(
        self,
        connection: "HttpServerProtocol",
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ):
        """Called with a complete request; must call ``respond`` once."""

    def reject(
        self, connection: "HttpServerProtocol", code: RefusalCode, detail: str
    ):
        """Called for an invalid request; must call ``respond`` once."""


class _Rejected(Exception):
    """Raised in a parser callback to stop the parser."""

    def __init__(self, code: RefusalCode, detail: str):
        super().__init__(detail)
        self.code = code
        self.detail = detail


def append_piece(body: bytes | bytearray, piece: bytes) -> bytes | bytearray:
    """Return a body with one more piece; most bodies have one only.

    Chunks may be as short as one byte, and a list of them would take some 40
    bytes for each.
    """
    if not body:
        return piece
    if isinstance(body, bytes):
        body = bytearray(body)
    body += piece
    return body


class HttpServerProtocol(Protocol):
    """One connection from a client.

    ``awaiting_response`` is set from the moment a request is complete until
    its response is handed to the transport; ``receiving`` while a request
    has arrived in part.
    """

    def __init__(self, *, clock: IReactorTime, handler: HttpHandler):
        self.clock = clock
        self.handler = handler
        self.awaiting_response = False
        self.receiving = False
        self.closing = False
        self.paused = False
        self.pipelined = False
        self.timer = None
        self.parser = HttpRequestParser(self)
        self.reset()

    @property
    def busy(self) -> bool:
        """Whether a request is unfinished or its response not written out."""
        return (
            self.awaiting_response
            or self.receiving
            or self.closing
            or self.paused
        )

    def reset(self):
        """Prepare for the next request."""
        self.started = False
        self.complete = False
        self.method = b""
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: bytes | bytearray = b""
        self.body_bytes = 0
        self.message_bytes = 0
        self.in_body = False
        self.keep_alive = True

    # Methods called by twisted.

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Set up the transport and report the connection."""
        set_no_delay = getattr(self.transport, "setTcpNoDelay", None)
        if set_no_delay is not None:
            set_no_delay(True)
        self.transport.registerProducer(self, True)
        self.handler.connected(self)

    def dataReceived(self, data):  # noqa: N802 - named by twisted
        """Parse input and hand a complete request to the handler."""
        if self.closing or self.pipelined:
            return
        self.message_bytes += len(data)
        try:
            self.parser.feed_data(data)
            self.check_size()
        except (HttpParserError, HttpParserUpgrade, _Rejected) as error:
            self.handle_parse_error(error)
            return
        if self.complete and not self.awaiting_response:
            self.dispatch()
        elif self.started and not self.receiving and not self.complete:
            self.receiving = True
            self.timer = self.clock.callLater(
                RECEIVE_TIMEOUT_SECONDS, self.handle_receive_timeout
            )

    def connectionLost(self, reason=None):  # noqa: N802 - named by twisted
        """Stop the timer and report the disconnection."""
        self.stop_timer()
        self.awaiting_response = self.receiving = False
        self.closing = self.paused = False
        self.handler.disconnected(self)

    def pauseProducing(self):  # noqa: N802 - named by twisted
        """Record that the transport's write buffer is full."""
        self.paused = True

    def resumeProducing(self):  # noqa: N802 - named by twisted
        """Record that the transport's write buffer is empty again."""
        self.paused = False

    def stopProducing(self):  # noqa: N802 - named by twisted
        """Do nothing: connectionLost follows."""

    # Methods called by the parser.

    def on_message_begin(self):
        """Record the start of a request; a second one is pipelined."""
        if self.complete:
            self.pipelined = True
        else:
            self.started = True

    def on_url(self, url: bytes):
        """Collect a part of the request target."""
        if not self.complete:
            self.target += url

    def on_header(self, name: bytes, value: bytes):
        """Collect a header; trailers are dropped."""
        if not self.in_body and not self.complete:
            self.headers.append((name, value))

    def on_headers_complete(self):
        """Check the headers before the body arrives."""
        if self.complete:
            return
        self.in_body = True
        if self.message_bytes > MAX_HEADER_BYTES:
            size = len(self.target) + header_bytes(self.headers)
            if size > MAX_HEADER_BYTES:
                raise header_too_large()
        if self.parser.should_upgrade():
            raise _Rejected(
                RefusalCode.MALFORMED, "CONNECT and Upgrade are not supported"
            )
        for name, value in self.headers:
            size = len(name)
            if size == 14 and name.lower() == b"content-length":
                if int(value) > MAX_BODY_BYTES:
                    raise body_too_large()
            elif size == 6 and name.lower() == b"expect":
                self.transport.write(CONTINUE)

    def on_body(self, data: bytes):
        """Collect a part of the body."""
        if self.complete:
            return
        self.body_bytes += len(data)
        if self.body_bytes > MAX_BODY_BYTES:
            raise body_too_large()
        self.body = append_piece(self.body, data)

    def on_message_complete(self):
        """Mark the request complete; it is handled after parsing."""
        if not self.complete:
            self.complete = True
            # The parser overwrites both when it starts the next message.
            self.method = self.parser.get_method()
            self.keep_alive = (
                self.parser.should_keep_alive()
                and self.parser.get_http_version() == "1.1"
            )

    # Requests and responses.

    def check_size(self):
        """Limit input that the parser has not reported yet."""
        if self.complete:
            return
        if not self.in_body:
            if self.message_bytes > MAX_HEADER_BYTES:
                raise header_too_large()
        elif self.message_bytes > MAX_MESSAGE_BYTES:
            raise body_too_large()

    def handle_parse_error(self, error: Exception):
        """Reject invalid input, or serve the valid request before it."""
        if self.complete:
            self.pipelined = True
            if not self.awaiting_response:
                self.dispatch()
            return
        cause = error.__context__
        if isinstance(cause, _Rejected):
            error = cause
        if not isinstance(error, _Rejected):
            detail = f"not an HTTP/1.1 request: {error}"
            error = _Rejected(RefusalCode.MALFORMED, detail)
        self.pipelined = True
        self.await_response()
        self.handler.reject(self, error.code, error.detail)

    def dispatch(self):
        """Hand the complete request to the handler."""
        self.await_response()
        body, self.body = bytes(self.body), b""
        self.handler.handle(self, self.method, self.target, self.headers, body)

    def await_response(self):
        """Stop receiving and wait for the response."""
        self.stop_timer()
        self.receiving = False
        self.awaiting_response = True

    def respond(
        self,
        status: int,
        headers: Headers,
        body: bytes = b"",
        *,
        close: bool = False,
    ):
        """Write the response; does nothing if the client is gone."""
        if not self.awaiting_response:
            return
        self.awaiting_response = False
        close = close or self.pipelined or not self.keep_alive
        length = len(body)
        if status in BODILESS:
            body, length = b"", None
        elif self.method == b"HEAD":
            # Content-Length is that of the response to GET, which is only
            # known if the handler passed the body.
            body, length = b"", length or None
        start = status_line(status)
        if close:
            start += b"Connection: close\r\n"
        self.transport.write(encode_message(start, headers, body, length))
        if close:
            self.close()
        else:
            self.reset()

    def close(self):
        """Close after all output is written."""
        if self.closing:
            return
        self.closing = True
        self.stop_timer()
        self.transport.unregisterProducer()
        if self.pipelined:
            self.transport.loseWriteConnection()
            self.timer = self.clock.callLater(
                LINGER_SECONDS, self.transport.abortConnection
            )
        else:
            self.transport.loseConnection()
            self.timer = self.clock.callLater(
                CLOSE_TIMEOUT_SECONDS, self.transport.abortConnection
            )

    def handle_receive_timeout(self):
        """Abort the connection of a client that sends too slowly."""
        self.timer = None
        self.transport.abortConnection()

    def stop_timer(self):
        """Cancel the timer, if one runs."""
        timer, self.timer = self.timer, None
        if timer is not None and timer.active():
            timer.cancel()


def header_too_large() -> _Rejected:
    """Return the error for a header above the limit."""
    return _Rejected(
        RefusalCode.HEADER_TOO_LARGE,
        f"the header exceeds {MAX_HEADER_BYTES} bytes",
    )


def body_too_large() -> _Rejected:
    """Return the error for a body above the limit."""
    return _Rejected(
        RefusalCode.BODY_TOO_LARGE, f"the body exceeds {MAX_BODY_BYTES} bytes"
    )
