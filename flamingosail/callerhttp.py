"""HTTP listeners for callers and for the node's own backend server.

Both translate HTTP requests into Requests for the Entrance, and its Answers
into HTTP responses. ``CallerListener`` submits root requests;
``BackendListener`` submits the child calls that the backend server makes
while it serves a request.
"""

from collections.abc import Callable
from functools import partial
from typing import Protocol as Interface

from logbook import Logger
from msgspec.json import encode as encode_json
from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Factory
from twisted.internet.task import LoopingCall

from flamingosail.errors import Refusal
from flamingosail.errors import RefusalCode
from flamingosail.httpheaders import drop_named
from flamingosail.httpheaders import DROPPED_HEADERS
from flamingosail.httpheaders import NODE_PREFIX
from flamingosail.httpwire import HttpServerProtocol
from flamingosail.request import Answer
from flamingosail.request import refuse
from flamingosail.request import Request
from flamingosail.verdict import Verdict

__all__ = [
    "BackendListener",
    "CallerListener",
    "EntranceLike",
    "HttpListener",
]

DRAIN_GRACE_SECONDS = 1.0
# In the last phase of a stop, idle connections are closed after the first of
# these times, those without any request so far after the second: a caller that
# connected in time and was then delayed gets an answer. Both are shorter than
# the time that the stop leaves for the last responses.
LAST_REQUEST_SECONDS = 0.2
FIRST_REQUEST_SECONDS = 0.8
RETRY_AFTER_SECONDS = 1
MAX_BACKEND_KEY_CHARS = 128
MAX_TIMEOUT_DIGITS = 9
RESERVED_TARGET = b"/flamingosail/"
KEYS_TARGET = b"/flamingosail/keys"

# Refusals that get a Retry-After header: a later retry may succeed.
RETRY_AFTER_CODES = frozenset(
    {
        RefusalCode.NO_MANIFEST,
        RefusalCode.NO_SERVER,
        RefusalCode.OVERLOADED,
        RefusalCode.SHUTTING_DOWN,
    }
)
_VERDICT_HEADERS = {
    verdict: (b"Flamingosail-Verdict", verdict.label.encode())
    for verdict in Verdict
}
_PROBLEM_HEADER = (b"Content-Type", b"application/problem+json")
_JSON_HEADER = (b"Content-Type", b"application/json")
_RETRY_HEADER = (b"Retry-After", b"%d" % RETRY_AFTER_SECONDS)
log = Logger("flamingosail.callerhttp")


class EntranceLike(Interface):
    """The methods of the Entrance that the listeners call.

    Cancelling a returned Deferred cancels the request.
    """

    def submit(self, request: Request) -> Deferred[Answer]:
        """Submit a root request of a caller."""

    def submit_child(
        self, request: Request, token: str | None
    ) -> Deferred[Answer]:
        """Submit a child call of the request with context ``token``."""

    def issue_key(self) -> str:
        """Return a fresh idempotency key."""


class Malformed(Exception):
    """The target or a header is missing or invalid."""


class HttpListener(Factory):
    """Base of the listeners: a twisted factory of server connections.

    ``grace`` is in seconds; ``draining`` is set by ``drain``. ``pending`` has
    the Deferred of the request in progress on each connection, ``unused`` the
    connections on which no request has arrived yet.
    ``on_finished`` is called with the duration of each request in seconds.
    """

    noisy = False

    def __init__(
        self,
        *,
        clock: IReactorTime,
        entrance: EntranceLike,
        grace: float = DRAIN_GRACE_SECONDS,
    ):
        self.clock = clock
        self.entrance = entrance
        self.grace = grace
        self.draining = False
        self.connections: set[HttpServerProtocol] = set()
        self.unused: set[HttpServerProtocol] = set()
        self.pending: dict[HttpServerProtocol, Deferred] = {}
        self.on_finished: Callable[[float], None] = lambda seconds: None
        self.answered = 0
        self.refused = 0

    @property
    def busy(self) -> int:
        """Number of requests whose response is not yet written out."""
        return sum(connection.busy for connection in self.connections)

    def drain(self):
        """Close connections after their next response.

        Connections without a request are closed after the grace period.
        """
        if self.draining:
            return
        self.draining = True
        # Later connections have their own grace period.
        self.clock.callLater(
            self.grace, self.close_idle, tuple(self.connections)
        )

    def close_idle(self, connections):
        """Close the given connections that have no request."""
        for connection in connections:
            self.close_if_idle(connection)

    def close_all(self) -> Deferred[None]:
        """Close the last connections; the Deferred fires after that.

        A request that arrives during the call still gets a refusal.
        Connections without a request are closed after LAST_REQUEST_SECONDS,
        those that never had one after FIRST_REQUEST_SECONDS.
        """
        started_at = self.clock.seconds()

        def check():
            elapsed = self.clock.seconds() - started_at
            if elapsed >= LAST_REQUEST_SECONDS:
                self.close_idle(self.connections - self.unused)
            if elapsed >= FIRST_REQUEST_SECONDS:
                self.close_idle(tuple(self.connections))
            if not self.connections or elapsed >= FIRST_REQUEST_SECONDS:
                poll.stop()

        poll = LoopingCall(check)
        poll.clock = self.clock
        return poll.start(LAST_REQUEST_SECONDS / 10)

    def close_if_idle(self, connection: HttpServerProtocol):
        """Close a connection on which no request is in progress."""
        if not connection.busy:
            connection.close()

    def dump(self) -> dict:
        """Return the state of this listener."""
        return {
            "connections": len(self.connections),
            "busy": self.busy,
            "draining": self.draining,
        }

    # Methods called by twisted and by the connections.

    def buildProtocol(self, addr):  # noqa: N802 - named by twisted
        """Return the protocol of a new connection."""
        return HttpServerProtocol(clock=self.clock, handler=self)

    def connected(self, connection: HttpServerProtocol):
        """Register a connection."""
        self.connections.add(connection)
        self.unused.add(connection)
        if self.draining:
            self.clock.callLater(self.grace, self.close_if_idle, connection)

    def disconnected(self, connection: HttpServerProtocol):
        """Remove a connection and cancel its request in progress."""
        self.connections.discard(connection)
        self.unused.discard(connection)
        deferred = self.pending.pop(connection, None)
        if deferred is not None:
            deferred.cancel()

    def handle(self, connection, method, target, headers, body):
        """Submit a request, unless its target is reserved or invalid."""
        self.unused.discard(connection)
        if target.startswith(RESERVED_TARGET):
            self.handle_reserved(connection, method, target)
            return
        try:
            request, token = self.parse_request(method, target, headers, body)
        except Malformed as error:
            self.reject(connection, RefusalCode.MALFORMED, str(error))
            return
        try:
            deferred = self.submit(request, token)
        except Exception:
            log.exception("the entrance failed to take a request")
            self.send_answer(connection, internal_error())
            return
        self.pending[connection] = deferred
        deferred.addCallbacks(
            partial(self.handle_answer, connection, self.clock.seconds()),
            partial(self.handle_failure, connection),
        )
        deferred.addErrback(self.log_failure)

    def reject(self, connection, code: RefusalCode, detail: str):
        """Refuse a request that was not submitted."""
        self.unused.discard(connection)
        self.send_answer(connection, refuse(code, Verdict.NOT_RUN, detail))

    # Processing of a request.

    def submit(self, request: Request, token: str | None) -> Deferred[Answer]:
        """Submit a request to the entrance."""
        raise NotImplementedError

    def handle_reserved(self, connection, method: bytes, target: bytes):
        """Respond to a request for a reserved target."""
        detail = f"targets under {RESERVED_TARGET.decode()} are reserved"
        self.reject(connection, RefusalCode.MALFORMED, detail)

    def check_key(self, key: str):
        """Check the format of an idempotency key.

        :raises Malformed: if it is not acceptable.
        """

    def parse_request(
        self, method: bytes, target: bytes, headers, body: bytes
    ) -> tuple[Request, str | None]:
        """Return the Request and its context token, if it has one.

        :raises Malformed: if the target or a header is missing or invalid.
        """
        forwarded = []
        node_headers: dict[bytes, str] = {}
        connection = None
        for header in headers:
            name = header[0].lower()
            if name == b"idempotency-key" or name.startswith(NODE_PREFIX):
                add_node_header(node_headers, name, header)
            elif name not in DROPPED_HEADERS:
                forwarded.append(header)
            elif name == b"connection":
                connection = (connection or b"") + b"," + header[1]
        if connection is not None:
            forwarded = drop_named(forwarded, connection)
        if target[:1] != b"/":
            raise Malformed("the target must start with /")
        kind = node_headers.get(b"flamingosail-kind")
        if not kind:
            raise Malformed("header Flamingosail-Kind is missing or empty")
        key = node_headers.get(b"idempotency-key")
        if key is not None:
            self.check_key(key)
        request = Request(
            kind=kind,
            method=method.decode("ascii"),
            target=target.decode("ascii"),
            headers=tuple(forwarded),
            body=body,
            key=key,
            timeout_ms=parse_timeout(node_headers),
        )
        return request, node_headers.get(b"flamingosail-context")

    def handle_answer(self, connection, started_at: float, answer: Answer):
        """Count and write the answer of the entrance."""
        self.pending.pop(connection, None)
        if answer.refusal is None:
            self.answered += 1
        else:
            self.refused += 1
        self.send_answer(connection, answer)
        self.on_finished(self.clock.seconds() - started_at)

    def handle_failure(self, connection, failure):
        """Respond to a request whose Deferred failed."""
        self.pending.pop(connection, None)
        if failure.check(CancelledError) is None:
            self.log_failure(failure)
        self.send_answer(connection, internal_error())

    def log_failure(self, failure):
        """Log an unexpected error."""
        log.error("a request failed: {}", failure.getTraceback())

    def send_answer(self, connection, answer: Answer):
        """Write an Answer as an HTTP response."""
        headers, body = answer.headers, answer.body
        if answer.refusal is not None:
            headers, body = encode_refusal(answer.refusal)
        headers = (*headers, _VERDICT_HEADERS[answer.verdict])
        if answer.key is not None:
            headers += ((b"Idempotency-Key", answer.key.encode("ascii")),)
        status = answer.status
        connection.respond(status, headers, body, close=self.draining)


class CallerListener(HttpListener):
    """Submits the requests of callers and issues idempotency keys."""

    def submit(self, request: Request, token: str | None) -> Deferred[Answer]:
        """Submit a root request; a context token is ignored."""
        return self.entrance.submit(request)

    def handle_reserved(self, connection, method: bytes, target: bytes):
        """Issue an idempotency key."""
        if method != b"POST" or target != KEYS_TARGET:
            super().handle_reserved(connection, method, target)
            return
        key = self.entrance.issue_key()
        headers = (_JSON_HEADER, (b"Idempotency-Key", key.encode("ascii")))
        body = encode_json({"key": key})
        connection.respond(201, headers, body, close=self.draining)


class BackendListener(HttpListener):
    """Submits the child calls of the node's own backend server."""

    def submit(self, request: Request, token: str | None) -> Deferred[Answer]:
        """Submit a child call of the request with context ``token``."""
        return self.entrance.submit_child(request, token)

    def check_key(self, key: str):
        """Limit the length of a backend server's key.

        :raises Malformed: if it is too long.
        """
        if len(key) > MAX_BACKEND_KEY_CHARS:
            raise Malformed(
                f"header Idempotency-Key exceeds {MAX_BACKEND_KEY_CHARS}"
                " characters"
            )


def add_node_header(node_headers: dict[bytes, str], name: bytes, header):
    """Add a header that is addressed to the node.

    :raises Malformed: if it is repeated or not printable ASCII.
    """
    field_name, value = header
    if name in node_headers:
        raise Malformed(f"header {field_name.decode('ascii')} is repeated")
    if not value.isascii() or not value.decode("ascii").isprintable():
        raise Malformed(
            f"header {field_name.decode('ascii')} is not printable ASCII"
        )
    node_headers[name] = value.decode("ascii")


def parse_timeout(node_headers: dict[bytes, str]) -> int | None:
    """Return the sender's remaining timeout in milliseconds, if given.

    :raises Malformed: if it is not a positive integer.
    """
    text = node_headers.get(b"flamingosail-timeout-ms")
    if text is None:
        return None
    if not text.isdigit() or len(text) > MAX_TIMEOUT_DIGITS or not int(text):
        raise Malformed(
            "header Flamingosail-Timeout-Ms must be a positive integer of at"
            f" most {MAX_TIMEOUT_DIGITS} digits, not {text[:40]!r}"
        )
    return int(text)


def encode_refusal(refusal: Refusal) -> tuple[tuple, bytes]:
    """Return headers and body of a problem response (RFC 9457)."""
    code = refusal.code
    if code is RefusalCode.WRONG_INCARNATION:
        # Incarnations are known to nodes only; callers get no-server.
        code = RefusalCode.NO_SERVER
    body = encode_json(
        {
            "type": f"urn:flamingosail:{code.value}",
            "title": code.value.replace("-", " ").capitalize(),
            "status": refusal.status,
            "detail": refusal.detail,
            "verdict": refusal.verdict.label,
        }
    )
    if code in RETRY_AFTER_CODES and refusal.verdict is Verdict.NOT_RUN:
        return (_PROBLEM_HEADER, _RETRY_HEADER), body
    return (_PROBLEM_HEADER,), body


def internal_error() -> Answer:
    """Return the answer to a request that failed unexpectedly."""
    return refuse(
        RefusalCode.BAD_ANSWER,
        Verdict.MAY_HAVE_RUN,
        "the node failed while it carried the request",
    )
