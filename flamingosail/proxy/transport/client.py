"""Connections of clients: pipelined HTTP/1.1 with responses in order.

The backend server on the same VM is also a client, for the calls that it
makes while it serves a request.
"""

from collections import deque

from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpRequestParser
from logbook import Logger
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.internet.task import LoopingCall

from flamingosail.httpheaders import DROPPED_HEADERS
from flamingosail.httpwire import CONTINUE
from flamingosail.proxy.dialect import Dialect
from flamingosail.proxy.exchange import Exchange
from flamingosail.proxy.exchange import ExchangeHandler
from flamingosail.proxy.shared.routes import ClientLimits
from flamingosail.sockets import disable_nagle
from flamingosail.sockets import write_now

__all__ = ["ClientListener"]

# Limit on unanswered requests per connection.
MAX_PIPELINED_REQUESTS = 64
# A connection that is closing is aborted if the client does not read the last
# response within this time.
CLOSE_TIMEOUT_SECONDS = 10.0
SWEEP_INTERVAL_SECONDS = 0.5
# Added to the idle timeout, so that a client that keeps to it does not send a
# request on a connection that is being closed.
IDLE_MARGIN_SECONDS = 2.0
# A body that the client does not send within its own timeout, or within this
# time if it stated none, is given up.
BODY_TIMEOUT_SECONDS = 30.0
# The bytes of a header, and those between two pieces of a chunked body, may
# take this many times the header limit; some headers are not counted there.
MAX_HEADER_OVERHEAD = 4
MAX_REQUEST_ID_BYTES = 256
# A longer key is not looked up.
MAX_CREDENTIAL_BYTES = 4096
LOOPBACK_PREFIX = "127."

log = Logger("proxy.client")


class _Rejected(Exception):
    """Raised in a parser callback to reject the request."""

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status = status


class ClientConnection(Protocol):
    """One connection of a client.

    ``pending`` holds the unanswered requests in order, ``completed`` those
    parsed but not yet given to the handler, and ``exchange`` the request that
    is being received. Once ``closing``, input is ignored. ``from_own_vm`` is
    false if the client is on another VM.
    """

    def __init__(self, *, listener: "ClientListener"):
        self.listener = listener
        self.dialect = listener.dialect
        self.handler = listener.handler
        self.pending: deque[Exchange] = deque()
        self.parser = HttpRequestParser(self)
        self.exchange: Exchange | None = None
        self.body_chunks: list[bytes] = []
        self.body_bytes = 0
        self.header_bytes = 0
        self.bodiless_bytes = 0
        self.header_started_at = 0.0
        self.last_used = 0.0
        self.closing = False
        self.reading = True
        self.from_own_vm = False
        self.completed: list[Exchange] = []

    # Called by twisted.

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Disable Nagle's algorithm and register with the listener."""
        disable_nagle(self.transport)
        self.last_used = self.listener.clock.seconds()
        client = self.transport.getPeer().host
        self.from_own_vm = client == self.transport.getHost().host or (
            client.startswith(LOOPBACK_PREFIX)
        )
        self.listener.connections.add(self)

    def dataReceived(self, data):  # noqa: N802 - named by twisted
        """Parse input and give complete requests to the handler."""
        if self.closing:
            return
        limits = self.handler.limits
        exchange = self.exchange
        if (
            exchange is not None
            and not self.body_chunks
            and not self.body_bytes
        ):
            self.header_bytes += len(data)
        self.bodiless_bytes += len(data)
        try:
            self.parser.feed_data(data)
            if (
                self.exchange is not None
                and self.exchange.arrived_at is None
                and self.header_bytes > limits.max_header_bytes
            ):
                raise _Rejected(431, "the header is too large")
            if (
                self.exchange is not None
                and self.bodiless_bytes
                > MAX_HEADER_OVERHEAD * limits.max_header_bytes
            ):
                raise _Rejected(413, "too many bytes between body pieces")
        except (HttpParserError, HttpParserUpgrade, _Rejected) as error:
            self.handle_completed()
            self.reject(error)
            return
        self.handle_completed()
        if self.reading and len(self.pending) >= MAX_PIPELINED_REQUESTS:
            self.reading = False
            self.transport.pauseProducing()

    def connectionLost(self, reason=None):  # noqa: N802 - named by twisted
        """Cancel the unanswered requests."""
        self.closing = True
        self.listener.connections.discard(self)
        self.release_buffered_body()
        pending, self.pending = self.pending, deque()
        for exchange in pending:
            if not exchange.done:
                exchange.done = True
                self.handler.client_disconnected(exchange)
                exchange.release()

    # Called by the parser.

    def on_message_begin(self):
        """Start a new request."""
        exchange = self.exchange = Exchange(connection=self)
        exchange.arrived_at = None
        exchange.from_own_vm = self.from_own_vm
        self.header_bytes = 0
        self.bodiless_bytes = 0
        self.header_started_at = self.listener.clock.seconds()

    def on_url(self, url: bytes):
        """Append a part of the request target."""
        self.exchange.target += url

    def on_header(self, name: bytes, value: bytes):
        """Handle or forward a header; hop-by-hop headers are dropped."""
        exchange = self.exchange
        if exchange.arrived_at is not None:
            return  # a trailer
        lower = name.lower()
        dialect = self.dialect
        if lower == dialect.request_id:
            if exchange.request_id or not value:
                raise _Rejected(400, "the request id is repeated or empty")
            if len(value) > MAX_REQUEST_ID_BYTES:
                raise _Rejected(400, "the request id is too long")
            exchange.request_id = value
            return
        if lower == dialect.deadline:
            exchange.timeout_ms = parse_milliseconds(value)
            return
        if lower == b"host":
            if exchange.host:
                raise _Rejected(400, "the host is repeated")
            exchange.host = value
        elif lower in DROPPED_HEADERS:
            if lower == b"expect":
                if not self.pending:
                    self.transport.write(CONTINUE)
            elif (
                lower == b"content-length"
                and value.isdigit()
                and int(value) > self.handler.limits.max_body_bytes
            ):
                raise _Rejected(413, "the body is too large")
            return
        elif lower == dialect.credential:
            if exchange.credential is not None or (
                len(value) > MAX_CREDENTIAL_BYTES
            ):
                value = b""
            # The parser leaves white space at the end of a value.
            exchange.credential = value.strip()
            return
        elif lower in (
            dialect.expected_instance,
            dialect.caller_service,
            dialect.tenant,
        ):
            return
        self.header_bytes += len(name) + len(value) + 4
        limit = MAX_HEADER_OVERHEAD * self.handler.limits.max_header_bytes
        if self.header_bytes > limit:
            raise _Rejected(431, "the header is too large")
        exchange.head += (name, b": ", value, b"\r\n")

    def on_headers_complete(self):
        """Check the header before the body arrives."""
        exchange = self.exchange
        exchange.arrived_at = self.listener.clock.seconds()
        exchange.method = self.parser.get_method()
        size = len(exchange.target) + sum(map(len, exchange.head))
        if size > self.handler.limits.max_header_bytes:
            raise _Rejected(431, "the header is too large")
        if self.parser.should_upgrade():
            raise _Rejected(400, "CONNECT and Upgrade are not supported")
        if not exchange.request_id:
            raise _Rejected(400, "the request has no id")

    def on_body(self, data: bytes):
        """Buffer a part of the body."""
        size = len(data)
        self.bodiless_bytes = 0
        self.body_bytes += size
        self.listener.buffered_body_bytes += size
        if self.body_bytes > self.handler.limits.max_body_bytes:
            raise _Rejected(413, "the body is too large")
        if (
            self.listener.buffered_body_bytes
            > self.listener.max_buffered_bytes
        ):
            raise _Rejected(503, "no memory for the body")
        self.body_chunks.append(data)

    def on_message_complete(self):
        """Queue a complete request for the handler."""
        exchange, self.exchange = self.exchange, None
        chunks, self.body_chunks = self.body_chunks, []
        exchange.body = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        self.release_buffered_body()
        exchange.keep_alive = self.parser.should_keep_alive()
        self.completed.append(exchange)

    # Requests and responses.

    def release_buffered_body(self):
        """Subtract the body being received from the buffered total."""
        self.listener.buffered_body_bytes -= self.body_bytes
        self.body_bytes = 0

    def handle_completed(self):
        """Give the completed requests to the handler."""
        completed, self.completed = self.completed, []
        if not completed:
            return
        self.last_used = self.listener.clock.seconds()
        self.pending.extend(completed)
        for exchange in completed:
            if not exchange.keep_alive:
                self.closing = True
            if not exchange.done:
                self.handler.handle(exchange)

    def reject(self, error: Exception):
        """Answer an invalid request with an error and stop reading."""
        cause = error.__context__
        if isinstance(cause, _Rejected):
            error = cause
        status = error.status if isinstance(error, _Rejected) else 400
        log.notice(
            "request rejected",
            extra={"status": status, "cause": str(error)},
        )
        exchange = self.exchange or Exchange(connection=self)
        self.exchange = None
        exchange.keep_alive = False
        self.closing = True
        self.release_buffered_body()
        self.pending.append(exchange)
        exchange.respond(status, b"")

    def flush(self):
        """Write the responses that are ready, in the order of the requests."""
        pending = self.pending
        parts = []
        close = False
        while pending and pending[0].output is not None:
            exchange = pending.popleft()
            head, body = exchange.output
            exchange.output = None
            parts.append(head)
            # Clients consider requests after a response with "Connection:
            # close" unprocessed, so the connection is closed only when none
            # is pending.
            close = not pending and (
                self.closing
                or not exchange.keep_alive
                or (self.listener.draining and self.exchange is None)
            )
            if close:
                parts.append(b"Connection: close\r\n\r\n")
            else:
                parts.append(b"\r\n")
            parts.append(body)
        if not parts:
            return
        self.last_used = self.listener.clock.seconds()
        write_now(self.transport, b"".join(parts))
        if close:
            self.closing = True
            self.transport.loseConnection()
        elif not self.reading and len(pending) < MAX_PIPELINED_REQUESTS:
            self.reading = True
            self.transport.resumeProducing()

    def sweep(self, now: float, limits: ClientLimits):
        """Close the connection if its client is too slow or idle."""
        if self.closing:
            if (
                not self.pending
                and now - self.last_used > CLOSE_TIMEOUT_SECONDS
            ):
                self.transport.abortConnection()
        elif self.exchange is not None:
            if (
                self.exchange.arrived_at is None
                and now - self.header_started_at
                > limits.header_timeout_seconds
            ):
                self.reject(_Rejected(408, "the header took too long"))
            elif (
                self.exchange.arrived_at is not None
                and now > self.body_deadline()
            ):
                self.reject(_Rejected(408, "the body took too long"))
        elif not self.pending and (
            now - self.last_used
            > limits.idle_timeout_seconds + IDLE_MARGIN_SECONDS
        ):
            self.closing = True
            self.transport.loseConnection()

    def body_deadline(self) -> float:
        """Return until when the body of the current request must arrive."""
        timeout = BODY_TIMEOUT_SECONDS
        if self.exchange.timeout_ms is not None:
            timeout = min(timeout, self.exchange.timeout_ms / 1000)
        return self.exchange.arrived_at + timeout

    def close_if_idle(self):
        """Close the connection unless a request is in progress."""
        if not self.pending and self.exchange is None:
            self.closing = True
            self.transport.loseConnection()


class ClientListener(Factory):
    """Accepts and tracks the connections of clients.

    While ``draining``, connections are closed after their last pending
    response. ``buffered_body_bytes`` is the size of all bodies being received,
    at most ``max_buffered_bytes``.
    """

    noisy = False

    def __init__(
        self,
        *,
        clock: IReactorTime,
        dialect: Dialect,
        handler: ExchangeHandler,
        max_buffered_bytes: int,
    ):
        self.clock = clock
        self.max_buffered_bytes = max_buffered_bytes
        self.dialect = dialect
        self.handler = handler
        self.connections: set[ClientConnection] = set()
        self.draining = False
        self.buffered_body_bytes = 0
        self.loop = LoopingCall(self.sweep)
        self.loop.clock = clock

    def buildProtocol(self, addr):  # noqa: N802 - named by twisted
        """Return the protocol of a new connection."""
        return ClientConnection(listener=self)

    def start(self):
        """Start closing connections of slow and idle clients."""
        self.loop.start(SWEEP_INTERVAL_SECONDS, now=False)

    def stop(self):
        """Stop closing connections of slow and idle clients."""
        if self.loop.running:
            self.loop.stop()

    def sweep(self):
        """Close connections of slow and idle clients."""
        now = self.clock.seconds()
        limits = self.handler.limits
        for connection in list(self.connections):
            try:
                connection.sweep(now, limits)
            except Exception:
                # An error would end the loop for all connections.
                log.exception("sweep failed")
                connection.transport.abortConnection()

    def close_idle(self):
        """Close the connections without a request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()


def parse_milliseconds(value: bytes) -> float | None:
    """Return a time in milliseconds, None if invalid or out of range."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < 1e9 else None
