"""Listeners for callers and for the node's own backend server.

Both turn HTTP requests into Requests for the Entrance and its Answers into
HTTP. ``CallerListener`` starts roots; ``BackendListener`` takes the calls
that the backend server makes while it serves a request.
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
# Callers that have just connected send their request within this time.
LAST_REQUEST_SECONDS = 0.2
RETRY_AFTER_SECONDS = 1
MAX_BACKEND_KEY_CHARS = 128
MAX_TIMEOUT_DIGITS = 9
RESERVED_TARGET = b"/flamingosail/"
KEYS_TARGET = b"/flamingosail/keys"

# Refusals that another attempt a little later may escape.
RETRY_LATER = frozenset(
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
    """What the listeners need of the Entrance.

    Cancelling a returned Deferred cancels the request.
    """

    def submit(self, request: Request) -> Deferred[Answer]:
        """Take the request of a caller."""

    def submit_child(
        self, request: Request, token: str | None
    ) -> Deferred[Answer]:
        """Take a call that belongs to the request with context ``token``."""

    def issue_key(self) -> str:
        """Return a fresh idempotency key."""


class Malformed(Exception):
    """A header is missing or has the wrong type."""


class HttpListener(Factory):
    """Base of the listeners: a twisted factory of server connections.

    ``draining`` is set by ``drain``. ``on_finished`` is called with the
    seconds that each request took.
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
        self.waiting: dict[HttpServerProtocol, Deferred] = {}
        self.on_finished: Callable[[float], None] = lambda seconds: None
        self.answered = 0
        self.refused = 0

    @property
    def busy(self) -> int:
        """How many requests are not yet written out."""
        return sum(connection.busy for connection in self.connections)

    def drain(self):
        """Close connections after their next answer.

        Connections on which nothing arrives are closed after the grace
        period.
        """
        if self.draining:
            return
        self.draining = True
        # Later connections have their own grace period.
        self.clock.callLater(
            self.grace, self.close_idle, tuple(self.connections)
        )

    def close_idle(self, connections):
        """Close those of the connections that carry no request."""
        for connection in connections:
            self.close_if_idle(connection)

    def close_all(self) -> Deferred[None]:
        """Wait until the last connections are closed.

        A request that arrives now is still refused with an answer; those
        that have no request after LAST_REQUEST_SECONDS are closed.
        """
        limit = self.clock.seconds() + LAST_REQUEST_SECONDS

        def check():
            if not self.connections or self.clock.seconds() >= limit:
                poll.stop()

        poll = LoopingCall(check)
        poll.clock = self.clock
        done = poll.start(LAST_REQUEST_SECONDS / 10)
        return done.addCallback(
            lambda _: self.close_idle(tuple(self.connections))
        )

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

    # twisted and the connections call these.

    def buildProtocol(self, addr):  # noqa: N802 - named by twisted
        """Return the protocol of a new connection."""
        return HttpServerProtocol(clock=self.clock, handler=self)

    def connected(self, connection: HttpServerProtocol):
        """Add a connection."""
        self.connections.add(connection)
        if self.draining:
            self.clock.callLater(self.grace, self.close_if_idle, connection)

    def disconnected(self, connection: HttpServerProtocol):
        """Remove a connection and cancel the request it waits for."""
        self.connections.discard(connection)
        deferred = self.waiting.pop(connection, None)
        if deferred is not None:
            deferred.cancel()

    def handle(self, connection, method, target, headers, body):
        """Submit a request, or answer it here."""
        if target.startswith(RESERVED_TARGET):
            self.handle_reserved(connection, method, target)
            return
        try:
            request, token = self.read(method, target, headers, body)
        except Malformed as error:
            self.reject(connection, RefusalCode.MALFORMED, str(error))
            return
        try:
            deferred = self.submit(request, token)
        except Exception:
            log.exception("the entrance failed to take a request")
            self.answer(connection, internal_error())
            return
        self.waiting[connection] = deferred
        deferred.addCallbacks(
            partial(self.finish, connection, self.clock.seconds()),
            partial(self.fail, connection),
        )
        deferred.addErrback(self.log_failure)

    def reject(self, connection, code: RefusalCode, detail: str):
        """Refuse a request that was never submitted."""
        self.answer(connection, refuse(code, Verdict.NOT_RUN, detail))

    # Steps of a request.

    def submit(self, request: Request, token: str | None) -> Deferred[Answer]:
        """Hand a request to the entrance."""
        raise NotImplementedError

    def handle_reserved(self, connection, method: bytes, target: bytes):
        """Answer a request for a target of the node itself."""
        detail = f"targets under {RESERVED_TARGET.decode()} are reserved"
        self.reject(connection, RefusalCode.MALFORMED, detail)

    def check_key(self, key: str):
        """Check the form of an idempotency key.

        :raises Malformed: if it is not acceptable.
        """

    def read(
        self, method: bytes, target: bytes, headers, body: bytes
    ) -> tuple[Request, str | None]:
        """Return the Request and the context token.

        :raises Malformed: if a header is missing or has the wrong type.
        """
        kept = []
        control: dict[bytes, str] = {}
        connection = None
        for header in headers:
            name = header[0].lower()
            if name == b"idempotency-key" or name.startswith(NODE_PREFIX):
                read_control(control, name, header)
            elif name not in DROPPED_HEADERS:
                kept.append(header)
            elif name == b"connection":
                connection = (connection or b"") + b"," + header[1]
        if connection is not None:
            kept = drop_named(kept, connection)
        if target[:1] != b"/":
            raise Malformed("the target must start with /")
        kind = control.get(b"flamingosail-kind")
        if not kind:
            raise Malformed("header Flamingosail-Kind is missing or empty")
        key = control.get(b"idempotency-key")
        if key is not None:
            self.check_key(key)
        request = Request(
            kind=kind,
            method=method.decode("ascii"),
            target=target.decode("ascii"),
            headers=tuple(kept),
            body=body,
            key=key,
            timeout_ms=read_timeout(control),
        )
        return request, control.get(b"flamingosail-context")

    def finish(self, connection, started: float, answer: Answer):
        """Write the answer of the entrance."""
        self.waiting.pop(connection, None)
        if answer.refusal is None:
            self.answered += 1
        else:
            self.refused += 1
        self.answer(connection, answer)
        self.on_finished(self.clock.seconds() - started)

    def fail(self, connection, failure):
        """End a request whose Deferred failed."""
        self.waiting.pop(connection, None)
        if failure.check(CancelledError) is None:
            self.log_failure(failure)
        self.answer(connection, internal_error())

    def log_failure(self, failure):
        """Log an unexpected error."""
        log.error("a request failed: {}", failure.getTraceback())

    def answer(self, connection, answer: Answer):
        """Write an Answer as HTTP."""
        headers, body = answer.headers, answer.body
        if answer.refusal is not None:
            headers, body = encode_refusal(answer.refusal)
        headers = (*headers, _VERDICT_HEADERS[answer.verdict])
        if answer.key is not None:
            headers += ((b"Idempotency-Key", answer.key.encode("ascii")),)
        status = answer.status
        connection.answer(status, headers, body, close=self.draining)


class CallerListener(HttpListener):
    """Takes requests of callers and issues keys."""

    def submit(self, request: Request, token: str | None) -> Deferred[Answer]:
        """Submit a root; the context of a caller has no meaning."""
        return self.entrance.submit(request)

    def handle_reserved(self, connection, method: bytes, target: bytes):
        """Issue a key."""
        if method != b"POST" or target != KEYS_TARGET:
            super().handle_reserved(connection, method, target)
            return
        key = self.entrance.issue_key()
        headers = (_JSON_HEADER, (b"Idempotency-Key", key.encode("ascii")))
        body = encode_json({"key": key})
        connection.answer(201, headers, body, close=self.draining)


class BackendListener(HttpListener):
    """Takes the calls of the node's own backend server."""

    def submit(self, request: Request, token: str | None) -> Deferred[Answer]:
        """Submit a call of the request that ``token`` names."""
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


def read_control(control: dict[bytes, str], name: bytes, header):
    """Add one of the headers meant for the node.

    :raises Malformed: if it is repeated or not printable ASCII.
    """
    title, value = header
    if name in control:
        raise Malformed(f"header {title.decode('ascii')} is repeated")
    if not value.isascii() or not value.decode("ascii").isprintable():
        raise Malformed(
            f"header {title.decode('ascii')} is not printable ASCII"
        )
    control[name] = value.decode("ascii")


def read_timeout(control: dict[bytes, str]) -> int | None:
    """Return the time the sender still waits, in milliseconds.

    :raises Malformed: if it is not a positive integer.
    """
    text = control.get(b"flamingosail-timeout-ms")
    if text is None:
        return None
    if not text.isdigit() or len(text) > MAX_TIMEOUT_DIGITS or not int(text):
        raise Malformed(
            "header Flamingosail-Timeout-Ms must be a positive integer of at"
            f" most {MAX_TIMEOUT_DIGITS} digits, not {text[:40]!r}"
        )
    return int(text)


def encode_refusal(refusal: Refusal) -> tuple[tuple, bytes]:
    """Return headers and body of the problem details (RFC 9457)."""
    code = refusal.code
    if code is RefusalCode.WRONG_INCARNATION:
        # Only nodes know incarnations; for callers the server is gone.
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
    if code in RETRY_LATER and refusal.verdict is Verdict.NOT_RUN:
        return (_PROBLEM_HEADER, _RETRY_HEADER), body
    return (_PROBLEM_HEADER,), body


def internal_error() -> Answer:
    """Return the answer to a request that failed in an unexpected way."""
    return refuse(
        RefusalCode.BAD_ANSWER,
        Verdict.MAY_HAVE_RUN,
        "the node failed while it carried the request",
    )
