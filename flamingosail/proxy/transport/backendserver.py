"""Connections to the backend server of this VM, one request at a time."""

from collections.abc import Callable
from math import isfinite

from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpResponseParser
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from zope.interface import implementer

from flamingosail.httpclient import PEEK
from flamingosail.httpheaders import DROPPED_HEADERS
from flamingosail.httpwire import is_valid_status
from flamingosail.proxy.policy.concurrency import parse_server_load
from flamingosail.proxy.policy.concurrency import ServerLoad
from flamingosail.proxy.shared.heldbytes import Holder
from flamingosail.proxy.transport.output import OutputBuffer
from flamingosail.sockets import disable_nagle
from flamingosail.sockets import ended_in_order

__all__ = [
    "CONNECTION_LOST",
    "ServerConnection",
    "ServerRequest",
    "ServerResponse",
]

# Servers close idle connections: if a server sends no Keep-Alive header, a
# connection that was idle for longer than this is not reused.
DEFAULT_KEEP_ALIVE_SECONDS = 4.0
# Reuse stops this long before the server's own timeout.
KEEP_ALIVE_MARGIN_SECONDS = 1.0
# Limit on a header, including the informational responses before it, and on
# what a chunked body may have between two pieces: extensions and trailers. The
# parser joins the parts of a line again with each part that arrives, so that a
# long line also costs processor time.
MAX_HEADER_BYTES = 65_536
LEAVING_VALUE = b"1"
# Reason of a request whose connection ended before its response was complete.
CONNECTION_LOST = "the server closed the connection"
# A connection with this many refusals is not reused.
MAX_REFUSED_IDS = 32
# Limit on all that arrives for one request; see also ``ServerPool``.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class ServerResponse:
    """A complete response of the backend server.

    ``head`` holds the header lines to pass on; the other fields come from
    headers named in the ``Dialect``. ``not_executed`` is only set if the
    response names its request. ``signature`` is empty if the server did not
    sign the response, ``instance`` is None if it did not name itself, and
    ``rate_limit`` (requests per second) is None if it did not state a limit.
    ``load`` is the ServerLoad that it stated, None if there is none.
    ``keep_alive`` says that the server keeps the connection open.
    """

    __slots__ = (
        "status",
        "head",
        "body",
        "signature",
        "not_executed",
        "instance",
        "rate_limit",
        "leaving",
        "load",
        "keep_alive",
    )

    def __init__(self, **fields):
        for name, value in fields.items():
            setattr(self, name, value)


class ServerRequest:
    """One request to the backend server.

    ``data`` is the complete request. ``on_end`` is called once as
    ``on_end(request, response, reason)``; the response is None if the request
    failed. ``written`` says whether the server may have read the request.
    """

    __slots__ = (
        "request_id",
        "data",
        "idempotent",
        "is_head",
        "on_end",
        "written",
        "connection",
        "connector",
        "done",
    )

    def __init__(
        self,
        *,
        request_id: bytes,
        data: bytes,
        idempotent: bool,
        is_head: bool,
        on_end: Callable,
    ):
        self.request_id = request_id
        self.data = data
        self.idempotent = idempotent
        self.is_head = is_head
        self.on_end = on_end
        self.written = False
        self.connection = None
        self.connector = None
        self.done = False

    def finish(self, response: ServerResponse | None, reason: str = ""):
        """Call ``on_end`` once."""
        if not self.done:
            self.done = True
            self.connection = None
            on_end, self.on_end = self.on_end, None
            on_end(self, response, reason)

    def abandon(self):
        """Drop the request and close its connection; the server stops it."""
        self.done = True
        self.on_end = None
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.request = None
            connection.close()
        connector, self.connector = self.connector, None
        if connector is not None:
            connector.stopConnecting()


@implementer(IHalfCloseableProtocol)
class ServerConnection(Protocol):
    """A keep-alive connection to the backend server.

    ``pool`` is its ServerPool. ``size`` counts the bytes that arrived since
    the request was sent, ``bodiless_bytes`` those since the last piece of a
    body or the end of a response. ``refused_ids`` are the requests that the
    server refused on this connection: it might write such a refusal once more,
    as if it were the response to the same request sent again. While a response
    is parsed, ``surplus_input`` says that bytes arrived which do not belong to
    it, and ``has_length`` that its end is known without the close of the
    connection.
    """

    def __init__(self, *, pool):
        self.pool = pool
        self.dialect = pool.dialect
        self.parser = HttpResponseParser(self)
        self.request: ServerRequest | None = None
        self.open = False
        self.idle_since = 0.0
        self.idle_limit = DEFAULT_KEEP_ALIVE_SECONDS
        self.size = 0
        self.bodiless_bytes = 0
        self.surplus_input = False
        self.output: OutputBuffer | None = None
        self.refused_ids: set[bytes] = set()
        self.reset()

    def reset(self):
        """Reset the state of the response parsed so far."""
        self.complete = False
        self.in_body = False
        self.has_length = False
        self.status = 0
        # A list of the parts would take 15 times the memory of short lines.
        self.head = bytearray()
        self.body: bytes | bytearray = b""
        self.response_id = None
        self.signature = b""
        self.not_executed = False
        self.instance = None
        self.rate_limit: float | None = None
        self.load: ServerLoad | None = None
        self.leaving = False
        self.keep_alive = False

    # Called by twisted.

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Mark the connection as open and disable Nagle's algorithm."""
        self.open = True
        self.output = OutputBuffer(
            transport=self.transport,
            held=self.pool.held,
            holder=Holder.SERVER_OUTPUT,
        )
        disable_nagle(self.transport)

    def readConnectionLost(self):  # noqa: N802 - named by twisted
        """End the request; a response without length may be complete.

        The reactor also reports some resets in this way, while the socket is
        still open.
        """
        self.open = False
        self.pool.remove(self)
        request = self.request
        unsent = self.has_unsent_data()
        if (
            request is not None
            and self.in_body
            and not self.complete
            and not self.has_length
            and self.response_id == request.request_id
            and not unsent
            and ended_in_order(self.transport.getHandle())
        ):
            self.keep_alive = False
            self.deliver()
        else:
            self.end_request()
        if unsent:
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()

    def writeConnectionLost(self):  # noqa: N802 - named by twisted
        """Do nothing: this side is never closed alone."""

    def connectionLost(self, reason=None):  # noqa: N802 - named by twisted
        """End the request; its response is not complete."""
        self.open = False
        self.pool.remove(self)
        # The parser refers back to this object; without the cycle its memory
        # is released at once.
        self.parser = None
        self.end_request()

    def end_request(self):
        """End the request, if any, without a response."""
        request, self.request = self.request, None
        self.release_buffer()
        if request is not None:
            request.finish(None, CONNECTION_LOST)

    def dataReceived(self, data):  # noqa: N802 - named by twisted
        """Parse input; input without a request closes the connection."""
        if self.request is None:
            self.close()
            return
        self.size += len(data)
        self.bodiless_bytes += len(data)
        self.pool.hold(len(data))
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            if not self.complete:
                cause = error.__context__ or error
                self.fail(f"not an HTTP/1.1 answer: {cause}")
                return
            self.surplus_input = True
        if self.complete:
            self.deliver()
        elif self.bodiless_bytes > MAX_HEADER_BYTES:
            part = "chunk overhead" if self.in_body else "header"
            self.fail(f"the {part} of the answer is too large")
        elif self.size > MAX_RESPONSE_BYTES:
            self.fail("the answer is too large")
        elif self.pool.buffered_bytes > self.pool.max_buffered_bytes:
            self.pool.drop_largest_response()

    # Called by the HTTP parser.

    def on_message_begin(self):
        """Detect input after the end of the response."""
        if self.complete:
            self.surplus_input = True

    def on_header(self, name: bytes, value: bytes):
        """Store, evaluate or drop a header of the response."""
        if self.in_body or self.complete:
            return
        lower = name.lower()
        dialect = self.dialect
        if lower in DROPPED_HEADERS:
            if lower in (b"content-length", b"transfer-encoding"):
                self.has_length = True
            elif lower == b"keep-alive":
                self.idle_limit = parse_keep_alive(value, self.idle_limit)
            return
        if lower == dialect.request_id:
            self.response_id = value
            return
        if lower == dialect.signature:
            self.signature = value
            return
        if lower == dialect.load:
            self.load = parse_server_load(value)
            return
        if lower == dialect.not_executed:
            self.not_executed = True
            return
        if lower == dialect.instance:
            self.instance = value
            return
        if lower == dialect.rate_limit:
            self.rate_limit = parse_rate(value)
            if self.rate_limit is None:
                self.pool.record_invalid_rate(value)
        elif lower == dialect.leaving:
            self.leaving = value.strip() == LEAVING_VALUE
        self.head += b"%s: %s\r\n" % (name, value)

    def on_headers_complete(self):
        """Store the status; a response to HEAD ends here."""
        if self.complete:
            return
        self.in_body = True
        self.status = self.parser.get_status_code()
        if not is_valid_status(self.status):
            raise ValueError(f"the status {self.status:03} is none")
        request = self.request
        if request is not None and request.is_head and self.status >= 200:
            self.complete = True
            self.keep_alive = False

    def on_body(self, data: bytes):
        """Collect a part of the body."""
        if self.complete:
            self.surplus_input = True
        else:
            self.bodiless_bytes = 0
            # A list of the pieces would take some 40 bytes for each of them.
            if self.body:
                if type(self.body) is bytes:
                    self.body = bytearray(self.body)
                self.body += data
            else:
                self.body = data

    def on_message_complete(self):
        """Complete the response if it belongs to the request.

        A late response to an earlier request is skipped, and the connection
        is not reused.
        """
        if self.complete:
            return
        request = self.request
        if self.status < 200:
            self.reset()
        elif request is not None and not self.matches(request):
            self.reset()
            self.bodiless_bytes = 0
            self.surplus_input = True
        else:
            self.complete = True
            self.keep_alive = self.parser.should_keep_alive()
            if request is not None and (
                self.not_executed or self.status == 421
            ):
                self.record_refusal(request)

    def record_refusal(self, request: ServerRequest):
        """Record a refusal; without the request's id, it promises nothing."""
        if request.request_id and self.response_id is None:
            self.not_executed = False
            self.keep_alive = False
            return
        self.not_executed = True
        self.refused_ids.add(request.request_id)
        if len(self.refused_ids) >= MAX_REFUSED_IDS:
            self.keep_alive = False

    # Requests and responses.

    def matches(self, request: ServerRequest) -> bool:
        """Return whether the response names no other request.

        One without a request id is assumed to belong to this request.
        """
        return (
            self.response_id is None or self.response_id == request.request_id
        )

    def send(self, request: ServerRequest):
        """Write a request."""
        self.reset()
        self.bodiless_bytes = 0
        self.surplus_input = False
        self.request = request
        request.connection = self
        request.written = True
        data, request.data = request.data, b""
        self.output.write(data)

    def deliver(self):
        """Finish the request; release the connection if it is reusable."""
        request, self.request = self.request, None
        body, self.body = self.body, b""
        self.release_buffer()
        response = ServerResponse(
            status=self.status,
            head=bytes(self.head),
            body=bytes(body),
            signature=self.signature,
            not_executed=self.not_executed,
            instance=self.instance,
            rate_limit=self.rate_limit,
            leaving=self.leaving,
            load=self.load,
            keep_alive=self.keep_alive,
        )
        if self.surplus_input or not self.keep_alive or self.has_unsent_data():
            # If a part of the request is still unsent, the server would read
            # the next request as the rest of it.
            self.close()
        elif self.open:
            self.pool.release(self)
        request.finish(response)

    def has_unsent_data(self) -> bool:
        """Return whether a part of the request was not sent yet."""
        return bool(
            self.output.size
            or getattr(self.transport, "dataBuffer", b"")
            or getattr(self.transport, "_tempDataBuffer", None)
        )

    def release_buffer(self):
        """Subtract the bytes of this connection from the total of the pool."""
        self.pool.hold(-self.size)
        self.size = 0

    def fail(self, reason: str):
        """Close the connection and end the request without a response."""
        request, self.request = self.request, None
        self.close()
        request.finish(None, reason)

    def close(self):
        """Close the connection without flushing it."""
        self.release_buffer()
        self.body = b""
        self.output.release()
        if self.open:
            self.open = False
            self.pool.remove(self)
            self.transport.abortConnection()

    def is_intact(self) -> bool:
        """Return whether the server has neither closed nor sent data."""
        get_handle = getattr(self.transport, "getHandle", None)
        if not self.open or get_handle is None:
            return self.open
        try:
            get_handle().recv(1, PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


def parse_keep_alive(value: bytes, default: float) -> float:
    """Return the seconds after which an idle connection is not reused."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return max(0.0, int(number) - KEEP_ALIVE_MARGIN_SECONDS)
    return default


def parse_rate(value: bytes) -> float | None:
    """Return a rate in requests per second, None if it is invalid."""
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if isfinite(rate) and rate >= 0 else None
