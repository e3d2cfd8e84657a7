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

__all__ = ["Client", "ServerFactory", "WireAnswer", "WireError", "WireRequest"]

CONNECT_TIMEOUT_SECONDS = 2


class WireError(Exception):
    """A request got no complete answer."""


@dataclass(frozen=True, slots=True)
class WireRequest:
    """A request; the names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class WireAnswer:
    """An answer; the names of received headers are in lower case."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def header(self, name: str) -> str | None:
        """Return the first header of a name in lower case."""
        return dict(reversed(self.headers)).get(name)


Handler = Callable[[WireRequest], Deferred]


class ServerProtocol(Protocol):
    """Answers the requests of one connection one after the other."""

    def __init__(self):
        self.parser = HttpRequestParser(self)
        self.waiting: deque[tuple[WireRequest, bool]] = deque()
        self.busy = False
        self.lost = False

    def connectionMade(self):  # noqa: N802, D102
        self.transport.setTcpNoDelay(True)
        if not self.factory.admit(self):
            self.lost = True
            self.transport.abortConnection()

    def dataReceived(self, data):  # noqa: N802, D102
        try:
            self.parser.feed_data(data)
        except HttpParserError:
            self.transport.abortConnection()

    def connectionLost(self, reason=connectionDone):  # noqa: N802, D102
        self.lost = True
        self.factory.open.discard(self)

    def on_message_begin(self):
        """Begin a request."""
        self.url = b""
        self.headers = {}
        self.body = b""

    def on_url(self, url):
        """Take a part of the target."""
        self.url += url

    def on_header(self, name, value):
        """Take a header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body):
        """Take a part of the body."""
        self.body += body

    def on_message_complete(self):
        """Take the whole request."""
        request = WireRequest(
            method=self.parser.get_method().decode(),
            target=self.url.decode("latin-1"),
            headers=self.headers,
            body=self.body,
        )
        self.waiting.append((request, self.parser.should_keep_alive()))
        self._next()

    def _next(self):
        if self.waiting and not self.busy:
            self.busy = True
            request, keep_alive = self.waiting.popleft()
            done = self.factory.handler(request)
            done.addCallback(self._answer, keep_alive)

    def _answer(self, answer: WireAnswer, keep_alive: bool):
        self.busy = False
        if self.lost:
            return
        lines = [
            f"HTTP/1.1 {answer.status} {reason_of(answer.status)}",
            *(f"{name}: {value}" for name, value in answer.headers),
            f"Content-Length: {len(answer.body)}",
        ]
        if not keep_alive:
            lines.append("Connection: close")
        head = "\r\n".join(lines).encode("latin-1")
        self.transport.write(head + b"\r\n\r\n" + answer.body)
        if keep_alive:
            self._next()
        else:
            self.transport.loseConnection()


class ServerFactory(Factory):
    """Accepts up to ``connections`` connections and aborts the others.

    ``handler`` returns a Deferred of a WireAnswer that does not fail.
    """

    protocol = ServerProtocol
    noisy = False

    def __init__(self, *, handler: Handler, connections: int):
        self.handler = handler
        self.connections = connections
        self.open: set[ServerProtocol] = set()

    def admit(self, connection: ServerProtocol) -> bool:
        """Whether the connection may stay."""
        if len(self.open) >= self.connections:
            return False
        self.open.add(connection)
        return True


class ClientProtocol(Protocol):
    """Sends one request at a time."""

    def __init__(self):
        self.parser = HttpResponseParser(self)
        self.pending: Deferred | None = None
        self.reusable = True

    def connectionMade(self):  # noqa: N802, D102
        self.transport.setTcpNoDelay(True)

    def send(self, request: WireRequest) -> Deferred[WireAnswer]:
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
        """Close the connection at once; it is never used again."""
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
        """Begin an answer."""
        self.headers = []
        self.body = b""

    def on_header(self, name, value):
        """Take a header."""
        self.headers.append(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
        )

    def on_body(self, body):
        """Take a part of the body."""
        self.body += body

    def on_message_complete(self):
        """Hand the whole answer out."""
        pending, self.pending = self.pending, None
        self.reusable = pending is not None and self.parser.should_keep_alive()
        answer = WireAnswer(
            status=self.parser.get_status_code(),
            body=self.body,
            headers=tuple(self.headers),
        )
        if pending is not None:
            pending.callback(answer)


class Client:
    """Requests to one server over a pool of connections.

    ``connects`` is the number of connections made so far.
    """

    def __init__(self, *, reactor, host: str, port: int):
        self.reactor = reactor
        self.endpoint = TCP4ClientEndpoint(
            reactor, host, port, timeout=CONNECT_TIMEOUT_SECONDS
        )
        self.factory = Factory.forProtocol(ClientProtocol)
        self.factory.noisy = False
        self.idle: list[ClientProtocol] = []
        self.connects = 0

    def request(
        self,
        *,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout: float,
    ) -> Deferred[WireAnswer]:
        """Return the answer; any failure but a cancellation is WireError."""
        request = WireRequest(method, target, headers or {}, body)
        done = self._exchange(request)
        done.addTimeout(timeout, self.reactor)
        return done.addErrback(as_wire_error)

    @inlineCallbacks
    def _exchange(self, request: WireRequest):
        connection = self._take_idle()
        if connection is None:
            connection = yield self.endpoint.connect(self.factory)
            self.connects += 1
        answer = yield connection.send(request)
        if connection.reusable:
            self.idle.append(connection)
        else:
            connection.transport.loseConnection()
        return answer

    def _take_idle(self) -> ClientProtocol | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.reusable:
                return connection
        return None

    def close(self):
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().abort()


def as_wire_error(failure: Failure):
    """Turn errors of connecting and timeouts into a WireError."""
    if failure.check(CancelledError, WireError):
        return failure
    raise WireError(describe(failure)) from failure.value


def describe(failure: Failure) -> str:
    """Return class and message of a failure."""
    return f"{failure.type.__name__}: {failure.getErrorMessage()}"


def reason_of(status: int) -> str:
    """Return the reason phrase of a status."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
