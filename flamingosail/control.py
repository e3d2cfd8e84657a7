"""The control listener: announcements, drains and dumps over HTTP.

Operators and the node's own backend server use it; it is not on the path
of a call. Bodies are JSON objects, mistakes are answered with problem
details (RFC 9457).
"""

import json
from collections.abc import Callable
from io import BytesIO
from ipaddress import ip_address
from typing import Any

from klein import Klein
from logbook import Logger
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IListeningPort
from twisted.internet.interfaces import IReactorTCP
from twisted.web.server import Request as HttpRequest
from twisted.web.server import Site
from werkzeug.exceptions import HTTPException
from werkzeug.exceptions import MethodNotAllowed

from flamingosail.backend import Announcement
from flamingosail.errors import REFUSAL_STATUS
from flamingosail.errors import RefusalCode
from flamingosail.kernel import Kernel
from flamingosail.kernel import Service
from flamingosail.settings import Address
from flamingosail.verdict import Verdict

__all__ = ["ControlListener", "ControlMistake"]

MAX_BODY_BYTES = 16_384
SLOW_SENDER_SECONDS = 10
MAX_COUNT = 1_000_000
MAX_SERVICE_LENGTH = 64
MANIFEST_SERVICE = "manifest"
LIFECYCLE_SERVICE = "lifecycle"


class ControlMistake(Exception):
    """A request to the control listener that had no effect."""

    def __init__(self, code: RefusalCode, detail: str):
        super().__init__(detail)
        self.code = code
        self.detail = detail


class ControlRequest(HttpRequest):
    """Keeps a body in memory, and at most one byte over the limit.

    The base class writes large bodies to a file; VMs have no disk.
    """

    def gotLength(self, length: int | None):  # noqa: N802
        """Prepare for a body of the given length, None if chunked."""
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes):  # noqa: N802
        """Keep a part of the body."""
        room = MAX_BODY_BYTES + 1 - self.content.tell()
        self.content.write(data[:room])


def text_rule(value: Any) -> str | None:
    """Return what is wrong with the name of a service."""
    if not isinstance(value, str) or not 1 <= len(value) <= MAX_SERVICE_LENGTH:
        return f"must be a string of 1 to {MAX_SERVICE_LENGTH} characters"
    return None


def host_rule(value: Any) -> str | None:
    """Return what is wrong with an IP address."""
    try:
        specific = not ip_address(value).is_unspecified
    except ValueError:
        specific = False
    if not isinstance(value, str) or not specific:
        return "must be a specific IP address"
    return None


def number_rule(low: int, high: int) -> Callable[[Any], str | None]:
    """Return the rule for a whole number from low to high."""

    def rule(value: Any) -> str | None:
        whole = isinstance(value, int) and not isinstance(value, bool)
        if not whole or not low <= value <= high:
            return f"must be a whole number from {low} to {high}"
        return None

    return rule


ANNOUNCEMENT_RULES = {
    "service": text_rule,
    "host": host_rule,
    "port": number_rule(1, 65_535),
    "slots": number_rule(1, MAX_COUNT),
    "connections": number_rule(1, MAX_COUNT),
    "pid": number_rule(1, 2**31 - 1),
}
LOAD_RULES = {
    "in_flight": number_rule(0, MAX_COUNT),
    "queued": number_rule(0, MAX_COUNT),
}


def read_object(request: ControlRequest, rules: dict) -> dict[str, Any]:
    """Return the JSON object in a body, checked against the rules.

    :raises ControlMistake: with all mistakes in the detail.
    """
    body = request.content.getvalue()
    if len(body) > MAX_BODY_BYTES:
        raise ControlMistake(
            RefusalCode.BODY_TOO_LARGE,
            f"body is larger than {MAX_BODY_BYTES} bytes",
        )
    if not body and not rules:
        return {}
    try:
        found = json.loads(body, object_pairs_hook=unique_members)
    except (ValueError, RecursionError) as error:
        raise malformed(f"body is not JSON: {error}") from error
    if not isinstance(found, dict):
        raise malformed("body is not a JSON object")
    mistakes = check(found, rules)
    if mistakes:
        raise malformed("; ".join(mistakes))
    return found


def unique_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return a JSON object.

    :raises ValueError: if a member occurs twice.
    """
    found = dict(pairs)
    if len(found) != len(pairs):
        raise ValueError("a member occurs twice")
    return found


def check(found: dict[str, Any], rules: dict) -> list[str]:
    """Return all mistakes in an object."""
    mistakes = [f"{name}: missing" for name in rules if name not in found]
    for name, value in found.items():
        rule = rules.get(name)
        reason = rule(value) if rule else "unknown member"
        if reason:
            mistakes.append(f"{name}: {reason}")
    return mistakes


def malformed(detail: str) -> ControlMistake:
    """Return the mistake for a body that breaks the rules."""
    return ControlMistake(RefusalCode.MALFORMED, detail)


def answer(request: HttpRequest, status: int, value: Any) -> bytes:
    """Return a JSON body after setting status and type."""
    request.setResponseCode(status)
    body = json.dumps(value, default=str).encode()
    request.setHeader(b"Content-Type", b"application/json")
    request.setHeader(b"Content-Length", str(len(body)).encode())
    return body


def problem(request: HttpRequest, status: int, fields: dict) -> bytes:
    """Return problem details after setting status and type."""
    body = answer(request, status, {"status": status, **fields})
    request.setHeader(b"Content-Type", b"application/problem+json")
    return body


class ControlListener(Service):
    """Serves the control routes over a kernel.

    ``announce``, ``drain`` and ``load`` are called with checked values; an
    exception they raise is answered with status 500. ``port`` is the port
    that is listened on, after ``start``.
    """

    name = "control"
    app = Klein()

    def __init__(
        self,
        *,
        reactor: IReactorTCP,
        address: Address,
        kernel: Kernel,
        announce: Callable[[Announcement], None],
        drain: Callable[[], None],
        load: Callable[[int, int], None],
    ):
        self.reactor = reactor
        self.address = address
        self.kernel = kernel
        self.announce = announce
        self.drain = drain
        self.load = load
        self.log = Logger("control")
        self.listening: IListeningPort | None = None
        self.requests = 0
        self.mistakes = 0

    @property
    def port(self) -> int | None:
        """The port that is listened on, None before the start."""
        return self.listening.getHost().port if self.listening else None

    def start(self):
        """Listen at the address."""
        site = Site(
            self.app.resource(),
            requestFactory=ControlRequest,
            timeout=SLOW_SENDER_SECONDS,
            reactor=self.reactor,
        )
        site.displayTracebacks = False
        site.noisy = False
        self.listening = self.reactor.listenTCP(
            self.address.port, site, interface=self.address.host
        )

    def stop(self) -> Deferred | None:
        """Close the listener."""
        listening, self.listening = self.listening, None
        return listening.stopListening() if listening else None

    def dump(self) -> dict:
        """Return the port and the number of requests and mistakes."""
        return {
            "port": self.port,
            "requests": self.requests,
            "mistakes": self.mistakes,
        }

    @app.route("/announce", methods=["POST"])
    def post_announce(self, request):
        """Take the announcement of the node's backend server."""
        self.requests += 1
        found = read_object(request, ANNOUNCEMENT_RULES)
        self.log.info("backend server announced itself", extra=found)
        self.announce(Announcement(**found))
        return answer(request, 200, {})

    @app.route("/drain", methods=["POST"])
    def post_drain(self, request):
        """Begin a drain; answered at once."""
        self.requests += 1
        read_object(request, {})
        self.log.notice("drain requested")
        self.drain()
        return answer(request, 202, {})

    @app.route("/load", methods=["POST"])
    def post_load(self, request):
        """Take a load report of the backend server."""
        self.requests += 1
        found = read_object(request, LOAD_RULES)
        self.load(found["in_flight"], found["queued"])
        return answer(request, 200, {})

    @app.route("/dump", methods=["GET"])
    def get_dump(self, request):
        """Answer with the state of all services."""
        self.requests += 1
        return answer(request, 200, self.kernel.dump())

    @app.route("/dump/<service>", methods=["GET"])
    def get_dump_of(self, request, service):
        """Answer with the state of one service."""
        self.requests += 1
        if service not in self.kernel.services:
            return problem(
                request,
                404,
                {
                    "type": "about:blank",
                    "title": "Not Found",
                    "detail": f"no service {service!r}; there are "
                    + ", ".join(self.kernel.services),
                },
            )
        return answer(request, 200, self.kernel.dump(service))

    @app.route("/health", methods=["GET"])
    def get_health(self, request):
        """Answer 200 while the node serves, else 503, with the state."""
        self.requests += 1
        state = "unknown"
        if LIFECYCLE_SERVICE in self.kernel.services:
            state = self.kernel.dump(LIFECYCLE_SERVICE)["state"]
        status = 200 if state == "serving" else 503
        return answer(request, status, {"state": state})

    @app.route("/manifest", methods=["GET"])
    def get_manifest(self, request):
        """Answer with version and body of the manifest in force."""
        self.requests += 1
        current = None
        if MANIFEST_SERVICE in self.kernel.services:
            current = self.kernel.get(MANIFEST_SERVICE).current
        if current is None:
            raise ControlMistake(
                RefusalCode.NO_MANIFEST, "no manifest is in force"
            )
        body = json.loads(current.body)
        return answer(request, 200, {"version": current.version, "body": body})

    @app.handle_errors(ControlMistake)
    def on_mistake(self, request, failure):
        """Answer a mistake with its code."""
        mistake = failure.value
        self.mistakes += 1
        return problem(
            request,
            REFUSAL_STATUS[mistake.code],
            {
                "type": f"urn:flamingosail:{mistake.code}",
                "title": mistake.code.replace("-", " "),
                "detail": mistake.detail,
                "verdict": Verdict.NOT_RUN.label,
            },
        )

    @app.handle_errors(HTTPException)
    def on_routing_error(self, request, failure):
        """Answer an unknown route or method."""
        error = failure.value
        self.mistakes += 1
        if isinstance(error, MethodNotAllowed) and error.valid_methods:
            allowed = ", ".join(sorted(error.valid_methods))
            request.setHeader(b"Allow", allowed.encode())
        return problem(
            request,
            error.code,
            {
                "type": "about:blank",
                "title": error.name,
                "detail": error.description,
            },
        )

    @app.handle_errors(Exception)
    def on_error(self, request, failure):
        """Answer a fault of the node; the details go to the log."""
        self.log.error(
            "control request failed",
            extra={
                "path": request.path.decode(errors="replace"),
                "failure": failure.getTraceback(),
            },
        )
        return problem(
            request,
            500,
            {
                "type": "about:blank",
                "title": "Internal Server Error",
                "detail": f"{failure.type.__name__}; see the node's log",
            },
        )
