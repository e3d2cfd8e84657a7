"""HTTP/1.1 for the stand-ins: a server and a pooled client."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from httptools import HttpParserError
from httptools import HttpRequestParser
from httptools import HttpResponseParser
from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import connectionDone
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

__all__ = [
    "Client",
    "ServerFactory",
    "WireError",
    "WireRequest",
    "WireResponse",
]

CONNECT_TIMEOUT_SECONDS = 2


class WireError(Exception):
    """A request failed before a complete response was received."""


@dataclass(frozen=True, slots=True)
class WireRequest:
    """An HTTP request; header names are in lower case when received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class WireResponse:
    """An HTTP response; header names are in lower case when received."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def header(self, name: str) -> str | None:
        """Return the first value of a header, given in lower case."""
        return dict(reversed(self.headers)).get(name)


Handler = Callable[[WireRequest], Deferred]


class ServerProtocol(Protocol):
    """Server side of a connection; handles pipelined requests in order."""

    def __init__(self):
        self.parser = HttpRequestParser(self)
        self.queued_requests: deque[tuple[WireRequest, bool]] = deque()
        self.busy = False
        self.closed = False

    def connectionMade(self):  # noqa: N802, D102
        self.transport.setTcpNoDelay(True)
        if not self.factory.add_connection(self):
            self.closed = True
            self.transport.abortConnection()

    def dataReceived(self, data):  # noqa: N802, D102
        try:
            self.parser.feed_data(data)
        except HttpParserError:
            self.transport.abortConnection()

    def connectionLost(self, reason=connectionDone):  # noqa: N802, D102
        self.closed = True
        self.factory.open_connections.discard(self)

    def on_message_begin(self):
        """Reset the state for a new request."""
        self.url = b""
        self.headers = {}
        self.body = b""

    def on_url(self, url):
        """Append a part of the target."""
        self.url += url

    def on_header(self, name, value):
        """Add a header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body):
        """Append a part of the body."""
        self.body += body

    def on_message_complete(self):
        """Queue the complete request."""
        request = WireRequest(
            method=self.parser.get_method().decode(),
            target=self.url.decode("latin-1"),
            headers=self.headers,
            body=self.body,
        )
        self.queued_requests.append((request, self.parser.should_keep_alive()))
        self._handle_next()

    def _handle_next(self):
        if self.queued_requests and not self.busy:
            self.busy = True
            request, keep_alive = self.queued_requests.popleft()
            done = self.factory.handler(request)
            done.addCallback(self._send_response, keep_alive)

    def _send_response(self, response: WireResponse, keep_alive: bool):
        self.busy = False
        if self.closed:
            return
        lines = [
            f"HTTP/1.1 {response.status} {reason_phrase(response.status)}",
            *(f"{name}: {value}" for name, value in response.headers),
            f"Content-Length: {len(response.body)}",
        ]
        if not keep_alive:
            lines.append("Connection: close")
        head = "\r\n".join(lines).encode("latin-1")
        self.transport.write(head + b"\r\n\r\n" + response.body)
        if keep_alive:
            self._handle_next()
        else:
            self.transport.loseConnection()


class ServerFactory(Factory):
    """Accepts up to ``max_connections`` connections and aborts the others.

    ``handler`` returns a Deferred of a WireResponse, which must not fail.
    """

    protocol = ServerProtocol
    noisy = False

    def __init__(self, *, handler: Handler, max_connections: int):
        self.handler = handler
        self.max_connections = max_connections
        self.open_connections: set[ServerProtocol] = set()

    def add_connection(self, connection: ServerProtocol) -> bool:
        """Add a connection; False if the limit is reached."""
        if len(self.open_connections) >= self.max_connections:
            return False
        self.open_connections.add(connection)
        return True


class ClientProtocol(Protocol):
    """Client side of a connection; sends one request at a time."""

    def __init__(self):
        self.parser = HttpResponseParser(self)
        self.pending: Deferred | None = None
        self.reusable = True

    def connectionMade(self):  # noqa: N802, D102
        self.transport.setTcpNoDelay(True)

    def send(self, request: WireRequest) -> Deferred[WireResponse]:
        """Send a request; cancelling closes the connection."""
        self.pending = Deferred(lambda _: self.abort())
        lines = [
            f"{request.method} {request.target} HTTP/1.1",
            "Host: stand-in",
            *(f"{name}: {value}" for name, value in request.headers.items()),
            f"Content-Length: {len(request.body)}",
        ]
        head = "\r\n".join(lines).encode("latin-1")
        self.transport.write(head + b"\r\n\r\n" + request.body)
        return self.pending

    def abort(self):
        """Abort the connection; it is not reused."""
        self.reusable = False
        self.pending = None
        self.transport.abortConnection()

    def dataReceived(self, data):  # noqa: N802, D102
        try:
            self.parser.feed_data(data)
        except HttpParserError as error:
            self._fail(str(error))

    def connectionLost(self, reason=connectionDone):  # noqa: N802, D102
        self._fail(reason.getErrorMessage())

    def _fail(self, message: str):
        pending, self.pending = self.pending, None
        self.reusable = False
        self.transport.abortConnection()
        if pending is not None:
            pending.errback(WireError(message))

    def on_message_begin(self):
        """Reset the state for a new response."""
        self.headers = []
        self.body = b""

    def on_header(self, name, value):
        """Add a header."""
        self.headers.append(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
        )

    def on_body(self, body):
        """Append a part of the body."""
        self.body += body

    def on_message_complete(self):
        """Fire the Deferred of the request with the complete response."""
        pending, self.pending = self.pending, None
        self.reusable = pending is not None and self.parser.should_keep_alive()
        response = WireResponse(
            status=self.parser.get_status_code(),
            body=self.body,
            headers=tuple(self.headers),
        )
        if pending is not None:
            pending.callback(response)


class Client:
    """HTTP client of one server with a pool of connections.

    ``connections_opened`` counts all connections since the start.
    """

    def __init__(self, *, reactor, host: str, port: int):
        self.reactor = reactor
        self.endpoint = TCP4ClientEndpoint(
            reactor, host, port, timeout=CONNECT_TIMEOUT_SECONDS
        )
        self.factory = Factory.forProtocol(ClientProtocol)
        self.factory.noisy = False
        self.idle: list[ClientProtocol] = []
        self.connections_opened = 0

    def request(
        self,
        *,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout: float,
    ) -> Deferred[WireResponse]:
        """Send a request and return its response.

        ``timeout`` is in seconds and includes connecting. All failures but
        a cancellation are WireError.
        """
        request = WireRequest(method, target, headers or {}, body)
        done = self._send_pooled(request)
        done.addTimeout(timeout, self.reactor)
        return done.addErrback(to_wire_error)

    @inlineCallbacks
    def _send_pooled(self, request: WireRequest):
        connection = self._pop_idle()
        if connection is None:
            connection = yield self.endpoint.connect(self.factory)
            self.connections_opened += 1
        response = yield connection.send(request)
        if connection.reusable:
            self.idle.append(connection)
        else:
            connection.transport.loseConnection()
        return response

    def _pop_idle(self) -> ClientProtocol | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.reusable:
                return connection
        return None

    def close(self):
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().abort()


def to_wire_error(failure: Failure):
    """Convert any failure but a cancellation into a WireError."""
    if failure.check(CancelledError, WireError):
        return failure
    raise WireError(describe_failure(failure)) from failure.value


def describe_failure(failure: Failure) -> str:
    """Return the class name and message of a failure."""
    return f"{failure.type.__name__}: {failure.getErrorMessage()}"


def reason_phrase(status: int) -> str:
    """Return the reason phrase of a status code."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
