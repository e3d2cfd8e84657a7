"""State of a request that is being forwarded, and of its attempts."""

from flamingosail.proxy.exchange import Exchange
from flamingosail.proxy.gate import CHILD_CALL_FAILED
from flamingosail.proxy.job import Job
from flamingosail.proxy.policy.balance import RequestNeeds
from flamingosail.proxy.shared.routes import Route
from flamingosail.proxy.shared.servers import RemoteServer
from flamingosail.proxy.shared.tenants import Tenant
from flamingosail.proxy.transport.hop import Outcome

__all__ = ["Attempt", "ForwardedRequest"]


class ForwardedRequest:
    """A request that is being forwarded to a backend server.

    ``deadline`` is in the reactor's time. ``tried`` lists the servers to
    which the request was sent, ``rejected_by`` those that rejected it
    (``Outcome.SHED``), and ``possible_runs`` counts those that may have run
    it. ``root_route``, ``rank`` and ``is_retry`` are sent in ``hop.Call``.
    ``parent`` is the request at our server that made this call, None for a
    root request. ``tenant`` is the client account of the request, None if it
    needs none. ``failure_response`` is the last failure response of a
    server: status, header lines and body.
    """

    __slots__ = (
        "exchange",
        "route",
        "service",
        "deadline",
        "tried",
        "rejected_by",
        "possible_runs",
        "attempt",
        "done",
        "request_line",
        "head",
        "root_route",
        "rank",
        "is_retry",
        "is_root",
        "parent",
        "tenant",
        "failure_response",
    )

    def __init__(self, *, exchange: Exchange, route: Route, service: str):
        self.exchange = exchange
        self.route = route
        self.service = service
        self.deadline = 0.0
        self.tried: list[RemoteServer] = []
        self.rejected_by: list[RemoteServer] = []
        self.possible_runs = 0
        self.attempt = None
        self.done = False
        self.request_line = b""
        self.head = b""
        self.root_route = 0
        self.rank = 0
        self.is_retry = False
        self.is_root = False
        self.parent: Job | None = None
        self.tenant: Tenant | None = None
        self.failure_response = None

    def needs(self, now: float) -> RequestNeeds:
        """Return what the request needs of the server chosen for it."""
        remaining = self.deadline - now
        slack = remaining / 2
        target = self.route.target_seconds
        if target is not None:
            target -= now - self.exchange.arrived_at
            slack = min(remaining, max(0.0, target))
        return RequestNeeds(
            slack_seconds=slack, body_bytes=len(self.exchange.body)
        )


class Attempt:
    """One attempt to have a request run by one server."""

    __slots__ = ("forwarder", "request", "server", "stream", "connection")

    def __init__(
        self, *, forwarder, request: ForwardedRequest, server: RemoteServer
    ):
        self.forwarder = forwarder
        self.request = request
        self.server = server
        self.stream = 0
        self.connection = None

    def may_run(self) -> bool:
        """Return whether a server may be running the request.

        What is queued at another node is not known here.
        """
        return not self.server.local or self.connection.request is not None

    def ended(self, outcome, status, signature, head, body, reason):
        """Count the result for the server and report it to the forwarder."""
        self.server.calls_in_flight -= 1
        if outcome == Outcome.ANSWERED:
            # A failure caused by a child call says nothing about this server.
            # Counting it would divert requests to other failure domains.
            self.server.record_outcome(
                status >= 500 and reason != CHILD_CALL_FAILED
            )
        elif outcome not in (Outcome.REFUSED, Outcome.QUARANTINED):
            self.server.record_outcome(True)
        request = self.request
        if request.attempt is self:
            request.attempt = None
            self.forwarder.attempt_ended(
                request,
                self.server,
                outcome,
                status,
                signature,
                head,
                body,
                reason,
            )
