"""Connections of clients: pipelined HTTP/1.1 with responses in order.

The backend server on the same VM is also a client, for the calls that it
makes while it serves a request.
"""

from collections import deque
from heapq import nlargest
from heapq import nsmallest
from math import inf

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
from flamingosail.proxy.decisions import DecisionLog
from flamingosail.proxy.dialect import Dialect
from flamingosail.proxy.exchange import Exchange
from flamingosail.proxy.exchange import ExchangeHandler
from flamingosail.proxy.shared.heldbytes import HeldBytes
from flamingosail.proxy.shared.heldbytes import Holder
from flamingosail.proxy.shared.heldbytes import SMALL_BYTES
from flamingosail.proxy.shared.routes import ClientLimits
from flamingosail.proxy.transport.output import OutputBuffer
from flamingosail.sockets import disable_nagle

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
# The objects of a request, besides its head and body.
REQUEST_OVERHEAD_BYTES = 4096
# An object of the list of header lines, on average: four for each line, two of
# which are shared.
HEADER_OBJECT_BYTES = 25
# While more of its responses than this are unread, no further request of a
# connection is handled.
MAX_UNREAD_BYTES = 262_144
# A connection is aborted if its client reads nothing for this long while
# responses wait. Clients give up at their own deadline before.
UNREAD_TIMEOUT_SECONDS = 60.0
# Connections that are closed at a time to free memory or descriptors; finding
# them takes a look at all connections.
EVICTION_BATCH = 16
# Retry-After of a request that was refused to free memory or descriptors.
EVICTED_RETRY_AFTER = b"Retry-After: 0.500\r\n"

log = Logger("proxy.client")


class _Rejected(Exception):
    """Raised in a parser callback to reject the request."""

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status = status


class ClientConnection(Protocol):
    """One connection of a client.

    ``pending`` holds the unanswered requests in order, ``undispatched`` those
    of them not yet given to the handler, ``completed`` those parsed since data
    arrived, and ``exchange`` the request that is being received, of which
    ``arriving_bytes`` are held. ``unparsed_bytes`` is the size of the input in
    which it began, of which the parser may hold a part. ``response_bytes`` is
    the size of responses that wait for an earlier one. Once ``closing``, input
    is ignored. ``from_own_vm`` is false if the client is on another VM.
    """

    def __init__(self, *, listener: "ClientListener"):
        self.listener = listener
        self.dialect = listener.dialect
        self.handler = listener.handler
        self.pending: deque[Exchange] = deque()
        self.parser = HttpRequestParser(self)
        self.exchange: Exchange | None = None
        self.body: bytes | bytearray = b""
        self.body_bytes = 0
        self.arriving_bytes = 0
        self.response_bytes = 0
        self.unsent_bytes = 0
        self.last_read = 0.0
        self.header_bytes = 0
        self.bodiless_bytes = 0
        self.unparsed_bytes = 0
        self.header_started_at = 0.0
        self.last_used = 0.0
        self.closing = False
        self.reading = True
        self.from_own_vm = False
        self.dispatching = False
        self.completed: list[Exchange] = []
        self.undispatched: deque[Exchange] = deque()
        self.output: OutputBuffer | None = None

    # Called by twisted.

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Disable Nagle's algorithm and register with the listener."""
        disable_nagle(self.transport)
        self.last_used = self.listener.clock.seconds()
        client = self.transport.getPeer().host
        self.from_own_vm = client == self.transport.getHost().host or (
            client.startswith(LOOPBACK_PREFIX)
        )
        self.output = OutputBuffer(
            transport=self.transport,
            held=self.listener.held,
            holder=Holder.CLIENT_OUTPUT,
            on_drained=self.resume,
        )
        self.listener.connections.add(self)

    def dataReceived(self, data):  # noqa: N802 - named by twisted
        """Parse input and give complete requests to the handler."""
        if self.closing:
            return
        limits = self.handler.limits
        exchange = self.exchange
        if exchange is not None and exchange.arrived_at is None:
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
        if self.exchange is not None and not self.closing:
            if self.exchange is not exchange:
                self.unparsed_bytes = len(data)
            self.count_arriving()

    def connectionLost(self, reason=None):  # noqa: N802 - named by twisted
        """Cancel the unanswered requests."""
        self.closing = True
        self.listener.connections.discard(self)
        self.release_buffered_body()
        # The parser refers back to this object; without the cycle its memory
        # is released at once.
        self.parser = None
        self.output.release()
        self.undispatched.clear()
        pending, self.pending = self.pending, deque()
        for exchange in pending:
            if exchange.done:
                self.drop_response(exchange)
                continue
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
                    self.output.write(CONTINUE)
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
        # Until here it counted the input, which may include a part of the
        # body.
        self.header_bytes = size
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
        if self.body_bytes + size > self.handler.limits.max_body_bytes:
            raise _Rejected(413, "the body is too large")
        if not self.body_bytes:
            self.body = data
        else:
            # A list of the pieces would take some 40 bytes for each of them,
            # and chunks may be as short as one byte.
            if type(self.body) is bytes:
                self.body = bytearray(self.body)
            self.body += data
        self.body_bytes += size

    def on_message_complete(self):
        """Queue a complete request for the handler."""
        exchange, self.exchange = self.exchange, None
        body = self.body
        size = self.body_bytes + self.header_bytes + REQUEST_OVERHEAD_BYTES
        self.release_buffered_body()
        exchange.body = bytes(body)
        exchange.head = [b"".join(exchange.head)]
        exchange.held_bytes = size
        self.listener.held.add(Holder.REQUESTS, size)
        exchange.keep_alive = self.parser.should_keep_alive()
        self.completed.append(exchange)

    # Requests and responses.

    @property
    def unread_bytes(self) -> int:
        """Size of the responses that the client has not read."""
        return self.response_bytes + self.output.size

    def count_arriving(self):
        """Count what is held of the request being received."""
        exchange = self.exchange
        size = self.body_bytes + self.header_bytes
        size += HEADER_OBJECT_BYTES * len(exchange.head)
        if exchange.arrived_at is None:
            size += self.unparsed_bytes
        added = size - self.arriving_bytes
        self.listener.held.add(Holder.ARRIVING_REQUESTS, added)
        self.arriving_bytes = size
        self.listener.limit_arriving()

    def release_buffered_body(self):
        """Drop what is held of the request being received."""
        self.listener.held.add(Holder.ARRIVING_REQUESTS, -self.arriving_bytes)
        self.arriving_bytes = 0
        self.body = b""
        self.body_bytes = 0

    def release_request(self, exchange: Exchange):
        """Subtract a request that has been answered or cancelled."""
        self.listener.held.add(Holder.REQUESTS, -exchange.held_bytes)
        exchange.held_bytes = 0

    def hold_response(self, exchange: Exchange):
        """Count a response until it is written."""
        head, body = exchange.output
        size = exchange.held_bytes = len(head) + len(body)
        self.response_bytes += size
        self.listener.held.add(Holder.RESPONSES, size)

    def drop_response(self, exchange: Exchange):
        """Subtract a response that is written or dropped."""
        size, exchange.held_bytes = exchange.held_bytes, 0
        self.response_bytes -= size
        self.listener.held.add(Holder.RESPONSES, -size)
        exchange.output = None

    def handle_completed(self):
        """Give the completed requests to the handler, as far as possible."""
        completed, self.completed = self.completed, []
        if not completed:
            return
        self.last_used = self.listener.clock.seconds()
        self.pending.extend(completed)
        self.undispatched.extend(completed)
        if not completed[-1].keep_alive:
            self.closing = True
        self.dispatch()
        if not self.can_dispatch() and self.reading:
            self.reading = False
            self.transport.pauseProducing()

    def can_dispatch(self) -> bool:
        """Return whether the next request of the client may be handled."""
        return (
            len(self.pending) - len(self.undispatched) < MAX_PIPELINED_REQUESTS
            and self.unread_bytes <= MAX_UNREAD_BYTES
        )

    def dispatch(self):
        """Give requests to the handler while there is room for responses.

        Does nothing if it is called while the handler answers a request.
        """
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.undispatched and self.can_dispatch():
                exchange = self.undispatched.popleft()
                if exchange.done:
                    continue
                if self.listener.held.allows(exchange.held_bytes):
                    self.handler.handle(exchange)
                else:
                    self.listener.log_refused(exchange)
                    exchange.respond(503, EVICTED_RETRY_AFTER)
        finally:
            self.dispatching = False

    def resume(self):
        """Handle further requests after responses have been read."""
        self.dispatch()
        if (
            not self.reading
            and not self.closing
            and not self.undispatched
            and self.can_dispatch()
        ):
            self.reading = True
            self.header_started_at = self.listener.clock.seconds()
            self.transport.resumeProducing()

    def evict(self):
        """Release what is held for this client.

        The request being received is refused as not run. If the client does
        not read its responses, the connection is aborted.
        """
        if self.arriving_bytes > self.unread_bytes:
            self.reject(_Rejected(503, "no memory for the request"))
        else:
            self.abort()

    def abort(self):
        """Abort the connection; its memory is released now."""
        self.closing = True
        self.release_buffered_body()
        self.undispatched.clear()
        for exchange in self.pending:
            if exchange.output is not None:
                self.drop_response(exchange)
        self.output.release()
        self.transport.abortConnection()

    def reject(self, error: Exception):
        """Answer an invalid request with an error and stop reading."""
        cause = error.__context__
        if isinstance(cause, _Rejected):
            error = cause
        status = error.status if isinstance(error, _Rejected) else 400
        self.listener.decisions.failure(
            "request rejected",
            lambda: {"status": status, "cause": str(error)},
        )
        exchange = self.exchange or Exchange(connection=self)
        self.exchange = None
        exchange.keep_alive = False
        self.closing = True
        self.release_buffered_body()
        self.pending.append(exchange)
        exchange.respond(status, EVICTED_RETRY_AFTER if status == 503 else b"")

    def flush(self):
        """Write the responses that are ready, in the order of the requests."""
        pending = self.pending
        parts = []
        written = close = False
        while pending and pending[0].output is not None:
            exchange = pending.popleft()
            head, body = exchange.output
            self.drop_response(exchange)
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
            if len(body) > SMALL_BYTES:
                # Joined to the head, it would be copied.
                self.output.write(b"".join(parts))
                self.output.write(body)
                parts = []
            else:
                parts.append(body)
            written = True
        if not written:
            return
        if parts:
            self.output.write(b"".join(parts))
        self.last_used = self.listener.clock.seconds()
        if close:
            self.closing = True
            self.transport.loseConnection()
        elif self.undispatched or not self.reading:
            self.resume()
        self.listener.held.relieve()

    def sweep(self, now: float, limits: ClientLimits):
        """Close the connection if its client is too slow or idle."""
        unsent = self.output.unsent_bytes
        if unsent != self.unsent_bytes:
            self.unsent_bytes = unsent
            self.last_read = now
        if self.output.size and now - self.last_read > UNREAD_TIMEOUT_SECONDS:
            self.abort()
        elif self.closing:
            if (
                not self.pending
                and now - max(self.last_used, self.last_read)
                > CLOSE_TIMEOUT_SECONDS
            ):
                self.abort()
        elif self.exchange is not None and self.reading:
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
        elif not (self.pending or self.output.size or self.exchange) and (
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
    response. ``arriving_bytes`` is the size of all requests being received, at
    most ``max_buffered_bytes``; ``held`` counts it and what else is held for
    clients. At most ``max_connections`` are kept.
    """

    noisy = False

    def __init__(
        self,
        *,
        clock: IReactorTime,
        dialect: Dialect,
        handler: ExchangeHandler,
        max_buffered_bytes: int,
        max_connections: float = inf,
        held: HeldBytes | None = None,
    ):
        self.clock = clock
        self.max_connections = max_connections
        self.held = held or HeldBytes()
        self.held.on_excess = self.evict_largest
        self.max_buffered_bytes = max_buffered_bytes
        self.dialect = dialect
        self.handler = handler
        self.connections: set[ClientConnection] = set()
        self.draining = False
        self.decisions = DecisionLog(clock=clock, channel="proxy.client")
        self.loop = LoopingCall(self.sweep)
        self.loop.clock = clock

    def buildProtocol(self, addr):  # noqa: N802 - named by twisted
        """Return the protocol of a new connection, None if there is no room.

        Connections that were idle for the longest time are closed first, then
        those whose request has been arriving for the longest time.
        """
        if len(self.connections) >= self.max_connections:
            self.evict_idle()
        if len(self.connections) >= self.max_connections:
            self.decisions.failure("connection refused", dict)
            return None
        return ClientConnection(listener=self)

    def evict_idle(self):
        """Abort some connections on which no request is pending."""
        idle = [
            connection
            for connection in self.connections
            if not connection.pending and not connection.output.size
        ]
        self.decisions.failure(
            "idle connections closed", lambda: {"idle": len(idle)}
        )
        for connection in nsmallest(EVICTION_BATCH, idle, key=eviction_order):
            self.connections.discard(connection)
            connection.abort()

    @property
    def buffered_body_bytes(self) -> int:
        """Size of the bodies of all requests being received."""
        return sum(connection.body_bytes for connection in self.connections)

    @property
    def arriving_bytes(self) -> int:
        """Size of all requests being received."""
        return self.held.by_holder[Holder.ARRIVING_REQUESTS]

    def log_refused(self, exchange: Exchange):
        """Log that a complete request was refused for lack of memory."""
        self.decisions.failure(
            "request refused",
            lambda: {
                "request": exchange.request_id.decode("latin-1"),
                "held": self.held.total,
            },
        )

    def limit_arriving(self):
        """Refuse the largest requests being received if they hold too much."""
        if self.arriving_bytes > self.max_buffered_bytes:
            for connection in nlargest(
                EVICTION_BATCH,
                self.connections,
                key=lambda connection: connection.arriving_bytes,
            ):
                connection.reject(_Rejected(503, "no memory for the request"))
                if self.arriving_bytes <= self.max_buffered_bytes:
                    break
        self.held.relieve()

    def evict_largest(self):
        """Drop what is held for the clients that hold the most.

        While only the reserved part of the memory is in use, these are clients
        with large requests or unread responses.
        """
        held = self.held
        smallest = 0 if held.total > held.limit else SMALL_BYTES
        for connection in nlargest(
            EVICTION_BATCH, self.connections, key=evictable_bytes
        ):
            if not held.exceeded or evictable_bytes(connection) <= smallest:
                break
            self.decisions.failure(
                "client dropped",
                lambda connection=connection: {
                    "arriving": connection.arriving_bytes,
                    "unread": connection.unread_bytes,
                },
            )
            connection.evict()

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


def evictable_bytes(connection: ClientConnection) -> int:
    """Return how many bytes the eviction of a connection releases."""
    return max(connection.arriving_bytes, connection.unread_bytes)


def eviction_order(connection: ClientConnection) -> tuple[bool, float]:
    """Return the sort key of connections to close for lack of descriptors."""
    if connection.exchange is None:
        return False, connection.last_used
    return True, connection.header_started_at


def parse_milliseconds(value: bytes) -> float | None:
    """Return a time in milliseconds, None if invalid or out of range."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < 1e9 else None
