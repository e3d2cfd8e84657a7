"""The control listener: announcements, drains and dumps over HTTP.

Operators and the node's own backend server use it; calls do not pass
through it. Bodies are JSON objects; errors are answered with problem details
(RFC 9457).
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

__all__ = ["ControlError", "ControlListener"]

MAX_BODY_BYTES = 16_384
IDLE_TIMEOUT_SECONDS = 10
MAX_COUNT = 1_000_000
MAX_SERVICE_LENGTH = 64
MANIFEST_SERVICE = "manifest"
LIFECYCLE_SERVICE = "lifecycle"


class ControlError(Exception):
    """A control request was rejected and changed nothing."""

    def __init__(self, code: RefusalCode, detail: str):
        super().__init__(detail)
        self.code = code
        self.detail = detail


class ControlRequest(HttpRequest):
    """Buffers a body in memory, up to one byte above MAX_BODY_BYTES.

    The base class writes large bodies to a file; VMs have no disk.
    """

    def gotLength(self, length: int | None):  # noqa: N802
        """Start a body of the given length, None if chunked."""
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes):  # noqa: N802
        """Buffer a chunk of the body, cut at the limit."""
        remaining = MAX_BODY_BYTES + 1 - self.content.tell()
        self.content.write(data[:remaining])


def check_service_name(value: Any) -> str | None:
    """Return why a value is no valid service name, None if it is."""
    if not isinstance(value, str) or not 1 <= len(value) <= MAX_SERVICE_LENGTH:
        return f"must be a string of 1 to {MAX_SERVICE_LENGTH} characters"
    return None


def check_host(value: Any) -> str | None:
    """Return why a value is no usable IP address, None if it is."""
    try:
        specific = not ip_address(value).is_unspecified
    except ValueError:
        specific = False
    if not isinstance(value, str) or not specific:
        return "must be a specific IP address"
    return None


def integer_check(low: int, high: int) -> Callable[[Any], str | None]:
    """Return a check for a whole number from low to high, inclusive."""

    def check(value: Any) -> str | None:
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not low <= value <= high:
            return f"must be a whole number from {low} to {high}"
        return None

    return check


ANNOUNCEMENT_CHECKS = {
    "service": check_service_name,
    "host": check_host,
    "port": integer_check(1, 65_535),
    "slots": integer_check(1, MAX_COUNT),
    "connections": integer_check(1, MAX_COUNT),
    "pid": integer_check(1, 2**31 - 1),
}
LOAD_REPORT_CHECKS = {
    "in_flight": integer_check(0, MAX_COUNT),
    "queued": integer_check(0, MAX_COUNT),
}


def parse_body(request: ControlRequest, checks: dict) -> dict[str, Any]:
    """Return the JSON object in a body after checking each member.

    ``checks`` maps each required member to a function that returns the
    error in a value, or None. An empty body is accepted if no member is
    required.

    :raises ControlError: with all errors in the detail.
    """
    body = request.content.getvalue()
    if len(body) > MAX_BODY_BYTES:
        raise ControlError(
            RefusalCode.BODY_TOO_LARGE,
            f"body is larger than {MAX_BODY_BYTES} bytes",
        )
    if not body and not checks:
        return {}
    try:
        fields = json.loads(body, object_pairs_hook=reject_duplicate_members)
    except (ValueError, RecursionError) as error:
        raise malformed_body(f"body is not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise malformed_body("body is not a JSON object")
    errors = find_errors(fields, checks)
    if errors:
        raise malformed_body("; ".join(errors))
    return fields


def reject_duplicate_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return a parsed JSON object, for json.loads.

    :raises ValueError: if a member occurs twice.
    """
    fields = dict(pairs)
    if len(fields) != len(pairs):
        raise ValueError("a member occurs twice")
    return fields


def find_errors(fields: dict[str, Any], checks: dict) -> list[str]:
    """Return the errors of all missing, unknown and invalid fields."""
    errors = [f"{name}: missing" for name in checks if name not in fields]
    for name, value in fields.items():
        check = checks.get(name)
        error = check(value) if check else "unknown member"
        if error:
            errors.append(f"{name}: {error}")
    return errors


def malformed_body(detail: str) -> ControlError:
    """Return the error for a body that is not valid."""
    return ControlError(RefusalCode.MALFORMED, detail)


def json_response(request: HttpRequest, status: int, value: Any) -> bytes:
    """Set status and headers and return the JSON body."""
    request.setResponseCode(status)
    body = json.dumps(value, default=str).encode()
    request.setHeader(b"Content-Type", b"application/json")
    request.setHeader(b"Content-Length", str(len(body)).encode())
    return body


def problem_response(request: HttpRequest, status: int, fields: dict) -> bytes:
    """Set status and headers and return a problem details body."""
    body = json_response(request, status, {"status": status, **fields})
    request.setHeader(b"Content-Type", b"application/problem+json")
    return body


class ControlListener(Service):
    """Serves the HTTP control routes of a node.

    ``announce``, ``drain`` and ``load`` are called with validated values; an
    exception they raise is answered with status 500.
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
        self.listening_port: IListeningPort | None = None
        self.requests = 0
        self.rejected_requests = 0

    @property
    def port(self) -> int | None:
        """The listening port, None before ``start``."""
        return (
            self.listening_port.getHost().port if self.listening_port else None
        )

    def start(self):
        """Listen on the address."""
        site = Site(
            self.app.resource(),
            requestFactory=ControlRequest,
            timeout=IDLE_TIMEOUT_SECONDS,
            reactor=self.reactor,
        )
        site.displayTracebacks = False
        site.noisy = False
        self.listening_port = self.reactor.listenTCP(
            self.address.port, site, interface=self.address.host
        )

    def stop(self) -> Deferred | None:
        """Stop listening."""
        listening_port, self.listening_port = self.listening_port, None
        return listening_port.stopListening() if listening_port else None

    def dump(self) -> dict:
        """Return the port and the counts of all and of rejected requests."""
        return {
            "port": self.port,
            "requests": self.requests,
            # Operators know the rejected requests under this name.
            "mistakes": self.rejected_requests,
        }

    @app.route("/announce", methods=["POST"])
    def post_announce(self, request):
        """Handle the announcement of the node's backend server."""
        self.requests += 1
        fields = parse_body(request, ANNOUNCEMENT_CHECKS)
        self.log.info("backend server announced itself", extra=fields)
        self.announce(Announcement(**fields))
        return json_response(request, 200, {})

    @app.route("/drain", methods=["POST"])
    def post_drain(self, request):
        """Start a drain; the response does not wait for its end."""
        self.requests += 1
        parse_body(request, {})
        self.log.notice("drain requested")
        self.drain()
        return json_response(request, 202, {})

    @app.route("/load", methods=["POST"])
    def post_load(self, request):
        """Handle a load report of the backend server."""
        self.requests += 1
        fields = parse_body(request, LOAD_REPORT_CHECKS)
        self.load(fields["in_flight"], fields["queued"])
        return json_response(request, 200, {})

    @app.route("/dump", methods=["GET"])
    def get_dump(self, request):
        """Return the state of all services."""
        self.requests += 1
        return json_response(request, 200, self.kernel.dump())

    @app.route("/dump/<service>", methods=["GET"])
    def get_service_dump(self, request, service):
        """Return the state of one service."""
        self.requests += 1
        if service not in self.kernel.services:
            return problem_response(
                request,
                404,
                {
                    "type": "about:blank",
                    "title": "Not Found",
                    "detail": f"no service {service!r}; there are "
                    + ", ".join(self.kernel.services),
                },
            )
        return json_response(request, 200, self.kernel.dump(service))

    @app.route("/health", methods=["GET"])
    def get_health(self, request):
        """Return the lifecycle state; status 200 if serving, else 503."""
        self.requests += 1
        state = "unknown"
        if LIFECYCLE_SERVICE in self.kernel.services:
            state = self.kernel.dump(LIFECYCLE_SERVICE)["state"]
        status = 200 if state == "serving" else 503
        return json_response(request, status, {"state": state})

    @app.route("/manifest", methods=["GET"])
    def get_manifest(self, request):
        """Return version and body of the manifest in force."""
        self.requests += 1
        current = None
        if MANIFEST_SERVICE in self.kernel.services:
            current = self.kernel.get(MANIFEST_SERVICE).current
        if current is None:
            raise ControlError(
                RefusalCode.NO_MANIFEST, "no manifest is in force"
            )
        body = json.loads(current.body)
        return json_response(
            request, 200, {"version": current.version, "body": body}
        )

    @app.handle_errors(ControlError)
    def on_control_error(self, request, failure):
        """Return the error as problem details with its status."""
        error = failure.value
        self.rejected_requests += 1
        return problem_response(
            request,
            REFUSAL_STATUS[error.code],
            {
                "type": f"urn:flamingosail:{error.code}",
                "title": error.code.replace("-", " "),
                "detail": error.detail,
                "verdict": Verdict.NOT_RUN.label,
            },
        )

    @app.handle_errors(HTTPException)
    def on_routing_error(self, request, failure):
        """Return problem details for an unknown route or method."""
        error = failure.value
        self.rejected_requests += 1
        if isinstance(error, MethodNotAllowed) and error.valid_methods:
            allowed = ", ".join(sorted(error.valid_methods))
            request.setHeader(b"Allow", allowed.encode())
        return problem_response(
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
        """Return status 500 for an internal error; the log has the details."""
        self.log.error(
            "control request failed",
            extra={
                "path": request.path.decode(errors="replace"),
                "failure": failure.getTraceback(),
            },
        )
        return problem_response(
            request,
            500,
            {
                "type": "about:blank",
                "title": "Internal Server Error",
                "detail": f"{failure.type.__name__}; see the node's log",
            },
        )
