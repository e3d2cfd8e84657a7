"""Connections to the backend server of this VM, one request at a time."""

from collections.abc import Callable

from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpResponseParser
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol

from flamingosail.httpclient import PEEK
from flamingosail.httpheaders import DROPPED_HEADERS
from flamingosail.sockets import prepare
from flamingosail.sockets import write_now

__all__ = ["ServerAnswer", "ServerConnection", "ServerRequest"]

# Servers close idle connections; without a Keep-Alive header of theirs, one
# that was idle for longer than this is not used again.
IDLE_SECONDS = 4.0
IDLE_MARGIN_SECONDS = 1.0
MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 64 * 1024 * 1024


class ServerAnswer:
    """A complete answer: header lines to pass on, and what others tell.

    ``proof`` is empty if the server did not mark the answer as its own.
    """

    __slots__ = (
        "status",
        "head",
        "body",
        "proof",
        "not_executed",
        "instance",
    )

    def __init__(self, **fields):
        for name, value in fields.items():
            setattr(self, name, value)


class ServerRequest:
    """One request to the backend server.

    ``on_end`` is called once: with an answer, or with None and the reason.
    ``written`` says whether the server may have read the request.
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
        "over",
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
        self.over = False

    def end(self, answer: ServerAnswer | None, reason: str = ""):
        """Report the end once."""
        if not self.over:
            self.over = True
            self.connection = None
            self.on_end(self, answer, reason)

    def abandon(self):
        """Give up; a connection in use is closed, so that work ends."""
        self.over = True
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.request = None
            connection.close()
        connector, self.connector = self.connector, None
        if connector is not None:
            connector.stopConnecting()


class ServerConnection(Protocol):
    """A kept connection to the backend server; ``pool`` is its ServerPool."""

    def __init__(self, *, pool):
        self.pool = pool
        self.dialect = pool.dialect
        self.parser = HttpResponseParser(self)
        self.request: ServerRequest | None = None
        self.open = False
        self.idle_since = 0.0
        self.idle_limit = IDLE_SECONDS
        self.reset()

    def reset(self):
        """Prepare for an answer."""
        self.complete = False
        self.excess = False
        self.in_body = False
        self.delimited = False
        self.status = 0
        self.head: list[bytes] = []
        self.chunks: list[bytes] = []
        self.size = 0
        self.answer_id = None
        self.proof = b""
        self.not_executed = False
        self.instance = None
        self.keep_alive = False

    # twisted calls these.

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Report the connection to its pool."""
        self.open = True
        prepare(self.transport)

    def connectionLost(self, reason=None):  # noqa: N802 - named by twisted
        """End the request; an answer without length may be complete."""
        self.open = False
        self.pool.lost(self)
        request = self.request
        if request is None:
            return
        if (
            self.in_body
            and not self.complete
            and not self.delimited
            and reason is not None
            and reason.check(ConnectionDone)
            and self.answers(request)
        ):
            self.keep_alive = False
            self.deliver()
            return
        self.request = None
        request.end(None, "the server closed the connection")

    def dataReceived(self, data):  # noqa: N802 - named by twisted
        """Parse input; what belongs to no request ends the connection."""
        if self.request is None:
            self.close()
            return
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            if not self.complete:
                self.fail(f"not an HTTP/1.1 answer: {error}")
                return
            self.excess = True
        if self.complete:
            self.deliver()
        elif not self.in_body and self.size > MAX_HEADER_BYTES:
            self.fail("the header of the answer is too large")
        elif self.size > MAX_BODY_BYTES:
            self.fail("the answer is too large")

    # The parser calls these.

    def on_message_begin(self):
        """Note input after the end of the answer."""
        if self.complete:
            self.excess = True

    def on_header(self, name: bytes, value: bytes):
        """Sort a header of the answer."""
        if self.in_body or self.complete:
            return
        lower = name.lower()
        dialect = self.dialect
        if lower in DROPPED_HEADERS:
            if lower in (b"content-length", b"transfer-encoding"):
                self.delimited = True
            elif lower == b"keep-alive":
                self.idle_limit = parse_keep_alive(value, self.idle_limit)
            return
        if lower == dialect.request_id:
            self.answer_id = value
            return
        if lower == dialect.proof:
            self.proof = value
            return
        if lower == dialect.load:
            return  # the gate counts what runs at its server itself
        if lower == dialect.not_executed:
            self.not_executed = True
            return
        if lower == dialect.instance:
            self.instance = value
            return
        self.head += (name, b": ", value, b"\r\n")

    def on_headers_complete(self):
        """Note the status; an answer to HEAD ends here."""
        if self.complete:
            return
        self.in_body = True
        self.status = self.parser.get_status_code()
        request = self.request
        if request is not None and request.is_head and self.status >= 200:
            self.complete = True
            self.keep_alive = False

    def on_body(self, data: bytes):
        """Collect a part of the body."""
        if self.complete:
            self.excess = True
        else:
            self.chunks.append(data)

    def on_message_complete(self):
        """Note the end of an answer that belongs to the request.

        An answer to an earlier request may arrive in its place; it is
        skipped, and the connection is not used again.
        """
        if self.complete:
            return
        request = self.request
        if self.status < 200:
            self.reset()
        elif request is not None and not self.answers(request):
            self.reset()
            self.excess = True
        else:
            self.complete = True
            self.keep_alive = self.parser.should_keep_alive()

    # Requests and answers.

    def answers(self, request: ServerRequest) -> bool:
        """Return whether the answer is not that of another request."""
        return self.answer_id is None or self.answer_id == request.request_id

    def send(self, request: ServerRequest):
        """Write a request."""
        self.reset()
        self.size = 0
        self.request = request
        request.connection = self
        request.written = True
        write_now(self.transport, request.data)

    def deliver(self):
        """Hand over the answer and keep the connection if it is clean."""
        request, self.request = self.request, None
        chunks = self.chunks
        answer = ServerAnswer(
            status=self.status,
            head=b"".join(self.head),
            body=chunks[0] if len(chunks) == 1 else b"".join(chunks),
            proof=self.proof,
            not_executed=self.not_executed,
            instance=self.instance,
        )
        unread = getattr(self.transport, "dataBuffer", b"") or getattr(
            self.transport, "_tempDataBuffer", None
        )
        if self.excess or not self.keep_alive or unread:
            # With a part of the request unsent, the next one would be read
            # as its rest.
            self.close()
        elif self.open:
            self.pool.put_back(self)
        request.end(answer)

    def fail(self, reason: str):
        """Close the connection and end the request without an answer."""
        request, self.request = self.request, None
        self.close()
        request.end(None, reason)

    def close(self):
        """Close at once."""
        if self.open:
            self.open = False
            self.pool.lost(self)
            self.transport.abortConnection()

    def intact(self) -> bool:
        """Return whether the peer has neither closed nor written."""
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
    """Return for how long an idle connection may be used, in seconds."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return max(0.0, int(number) - IDLE_MARGIN_SECONDS)
    return default
