"""Connections of clients: pipelined HTTP/1.1 with answers in order.

The backend server of the same VM is a client too, for the calls that it
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
from flamingosail.proxy.routes import ClientLimits
from flamingosail.sockets import prepare
from flamingosail.sockets import write_now

__all__ = ["ClientListener"]

# Requests of one connection that may wait for their answers at a time.
MAX_PIPELINED = 64
# A client that does not read its last answer for this long is cut off.
CLOSE_SECONDS = 10.0
SWEEP_SECONDS = 0.5
# Clients that keep to the limits must not meet the close of the connection.
IDLE_MARGIN_SECONDS = 2.0
# Bodies of all clients that a node holds at a time; a quarter of the smallest
# memory limit among the users' VMs (200 MB).
MAX_HELD_BODY_BYTES = 48 * 1024 * 1024
REQUEST_ID_BYTES = 256

log = Logger("proxy.client")


class _Rejected(Exception):
    """Stops the parser within a callback."""

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status = status


class ClientConnection(Protocol):
    """One connection of a client.

    ``pending`` holds the requests that are not answered yet, in order.
    """

    def __init__(self, *, listener: "ClientListener"):
        self.listener = listener
        self.dialect = listener.dialect
        self.handler = listener.handler
        self.pending: deque[Exchange] = deque()
        self.parser = HttpRequestParser(self)
        self.exchange: Exchange | None = None
        self.chunks: list[bytes] = []
        self.body_bytes = 0
        self.header_bytes = 0
        self.begun = 0.0
        self.last_used = 0.0
        self.ended = False
        self.reading = True
        self.complete: list[Exchange] = []

    # twisted calls these.

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Prepare the transport and join the listener."""
        prepare(self.transport)
        self.last_used = self.listener.clock.seconds()
        self.listener.connections.add(self)

    def dataReceived(self, data):  # noqa: N802 - named by twisted
        """Parse input and hand on the requests that are complete."""
        if self.ended:
            return
        limits = self.handler.limits
        exchange = self.exchange
        if exchange is not None and not self.chunks and not self.body_bytes:
            self.header_bytes += len(data)
        try:
            self.parser.feed_data(data)
            if (
                self.exchange is not None
                and self.exchange.arrived_at is None
                and self.header_bytes > limits.max_header_bytes
            ):
                raise _Rejected(431, "the header is too large")
        except (HttpParserError, HttpParserUpgrade, _Rejected) as error:
            self.hand_on()
            self.reject(error)
            return
        self.hand_on()
        if self.reading and len(self.pending) >= MAX_PIPELINED:
            self.reading = False
            self.transport.pauseProducing()

    def connectionLost(self, reason=None):  # noqa: N802 - named by twisted
        """Cancel the requests that wait."""
        self.ended = True
        self.listener.connections.discard(self)
        self.release_body()
        pending, self.pending = self.pending, deque()
        for exchange in pending:
            if not exchange.done:
                exchange.done = True
                self.handler.cancelled(exchange)

    # The parser calls these.

    def on_message_begin(self):
        """Begin the next request."""
        exchange = self.exchange = Exchange(connection=self)
        exchange.arrived_at = None
        self.header_bytes = 0
        self.begun = self.listener.clock.seconds()

    def on_url(self, url: bytes):
        """Collect the target."""
        self.exchange.target += url

    def on_header(self, name: bytes, value: bytes):
        """Sort a header; those of one connection are not passed on."""
        exchange = self.exchange
        if exchange.arrived_at is not None:
            return  # a trailer
        lower = name.lower()
        dialect = self.dialect
        if lower == dialect.request_id:
            if exchange.request_id or not value:
                raise _Rejected(400, "the request id is repeated or empty")
            if len(value) > REQUEST_ID_BYTES:
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
        elif lower in (dialect.expected_instance, dialect.caller_service):
            return
        self.header_bytes += len(name) + len(value) + 4
        if self.header_bytes > 4 * self.handler.limits.max_header_bytes:
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
        """Collect a part of the body."""
        size = len(data)
        self.body_bytes += size
        self.listener.held_bytes += size
        if self.body_bytes > self.handler.limits.max_body_bytes:
            raise _Rejected(413, "the body is too large")
        if self.listener.held_bytes > MAX_HELD_BODY_BYTES:
            raise _Rejected(503, "no memory for the body")
        self.chunks.append(data)

    def on_message_complete(self):
        """Note a complete request, to be handed on after parsing."""
        exchange, self.exchange = self.exchange, None
        chunks, self.chunks = self.chunks, []
        exchange.body = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        self.release_body()
        exchange.keep_alive = self.parser.should_keep_alive()
        self.complete.append(exchange)

    # Requests and answers.

    def release_body(self):
        """Stop counting the body that was being received."""
        self.listener.held_bytes -= self.body_bytes
        self.body_bytes = 0

    def hand_on(self):
        """Give the handler the requests that were read."""
        complete, self.complete = self.complete, []
        if not complete:
            return
        self.last_used = self.listener.clock.seconds()
        self.pending.extend(complete)
        for exchange in complete:
            if not exchange.keep_alive:
                self.ended = True
            if not exchange.done:
                self.handler.handle(exchange)

    def reject(self, error: Exception):
        """Answer an unacceptable request, then close the connection."""
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
        self.ended = True
        self.release_body()
        self.pending.append(exchange)
        exchange.respond(status, b"")

    def flush(self):
        """Write the answers that are ready, in the order of the requests."""
        pending = self.pending
        parts = []
        close = False
        while pending and pending[0].output is not None:
            exchange = pending.popleft()
            head, body = exchange.output
            parts.append(head)
            # Requests behind a closing answer count as not read, so the
            # connection is closed only when none is pending.
            close = not pending and (
                self.ended
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
            self.ended = True
            self.transport.loseConnection()
        elif not self.reading and len(pending) < MAX_PIPELINED:
            self.reading = True
            self.transport.resumeProducing()

    def sweep(self, now: float, limits: ClientLimits):
        """Close the connection if its client is too slow or idle."""
        if self.ended:
            if not self.pending and now - self.last_used > CLOSE_SECONDS:
                self.transport.abortConnection()
        elif self.exchange is not None:
            if (
                self.exchange.arrived_at is None
                and now - self.begun > limits.header_timeout_seconds
            ):
                self.reject(_Rejected(408, "the header took too long"))
        elif not self.pending and (
            now - self.last_used
            > limits.idle_timeout_seconds + IDLE_MARGIN_SECONDS
        ):
            self.ended = True
            self.transport.loseConnection()

    def close_if_idle(self):
        """Close the connection unless a request is here."""
        if not self.pending and self.exchange is None:
            self.ended = True
            self.transport.loseConnection()


class ClientListener(Factory):
    """Holds the connections of clients.

    While ``draining`` each answer asks the client to close the connection.
    ``held_bytes`` counts the bodies that are being received.
    """

    noisy = False

    def __init__(
        self,
        *,
        clock: IReactorTime,
        dialect: Dialect,
        handler: ExchangeHandler,
    ):
        self.clock = clock
        self.dialect = dialect
        self.handler = handler
        self.connections: set[ClientConnection] = set()
        self.draining = False
        self.held_bytes = 0
        self.loop = LoopingCall(self.sweep)
        self.loop.clock = clock

    def buildProtocol(self, addr):  # noqa: N802 - named by twisted
        """Return the protocol of a new connection."""
        return ClientConnection(listener=self)

    def start(self):
        """Watch for slow and idle clients from now on."""
        self.loop.start(SWEEP_SECONDS, now=False)

    def stop(self):
        """Stop watching."""
        if self.loop.running:
            self.loop.stop()

    def sweep(self):
        """Look at each connection."""
        now = self.clock.seconds()
        limits = self.handler.limits
        for connection in list(self.connections):
            connection.sweep(now, limits)

    def close_idle(self):
        """Close the connections on which no request is."""
        for connection in list(self.connections):
            connection.close_if_idle()


def parse_milliseconds(value: bytes) -> float | None:
    """Return a time in milliseconds, None if it cannot be read."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < 1e9 else None
