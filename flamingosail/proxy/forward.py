"""Forwards requests of clients to backend servers and returns responses."""

from math import inf
from random import Random

from msgspec.json import encode
from twisted.internet.interfaces import IReactorTime

from flamingosail.proxy.decisions import DecisionLog
from flamingosail.proxy.dialect import Dialect
from flamingosail.proxy.exchange import Exchange
from flamingosail.proxy.forwarding import Attempt
from flamingosail.proxy.forwarding import ForwardedRequest
from flamingosail.proxy.gate import CHILD_CALL_FAILED
from flamingosail.proxy.gate import QUARANTINED
from flamingosail.proxy.job import Job
from flamingosail.proxy.nodemetrics import NodeMetrics
from flamingosail.proxy.policy.access import AccessPolicy
from flamingosail.proxy.policy.access import Denial
from flamingosail.proxy.policy.balance import LoadBalancer
from flamingosail.proxy.policy.budget import RetryBudget
from flamingosail.proxy.policy.fingerprint import request_fingerprint
from flamingosail.proxy.policy.overload import account_key
from flamingosail.proxy.policy.overload import Admission
from flamingosail.proxy.policy.overload import LoadMeter
from flamingosail.proxy.policy.overload import LoadReport
from flamingosail.proxy.policy.quarantine import Quarantine
from flamingosail.proxy.policy.quarantine import Verdict
from flamingosail.proxy.policy.requestclass import class_key
from flamingosail.proxy.policy.requestclass import class_priorities
from flamingosail.proxy.policy.requestclass import request_priority
from flamingosail.proxy.policy.returns import ReturningClients
from flamingosail.proxy.shared.quotas import Draw
from flamingosail.proxy.shared.routes import ClientLimits
from flamingosail.proxy.shared.routes import Route
from flamingosail.proxy.shared.routes import RouteTable
from flamingosail.proxy.shared.routes import WeightedRoundRobin
from flamingosail.proxy.shared.servers import RemoteServer
from flamingosail.proxy.timeouts import Timeouts
from flamingosail.proxy.transport.hop import Outcome
from flamingosail.proxy.transport.peers import PeerTable

__all__ = ["Forwarder"]

# How often a request is sent at most, counting the sends that were refused or
# rejected; each costs a round trip.
MAX_SENDS = 6
# Retry-After is at most this share of the time left, so that the client's
# retry can still succeed.
MAX_RETRY_AFTER_SHARE = 0.3
MIN_RETRY_AFTER_SECONDS = 0.02
MAX_RETRY_AFTER_SECONDS = 1.0
# A retry with less time left cannot succeed: two hops and the shortest service
# time take longer.
MIN_RETRY_SECONDS = 0.03
# The gate gets an earlier deadline, so that its rejection of an expired
# request arrives before this node's own timeout.
GATE_DEADLINE_MARGIN_SECONDS = 0.01
# Rank of root requests admitted within the floor of their route.
FLOOR_RANK = 1
RETRY_AFTER_HEADER = b"Retry-After: %.3f\r\n"

# Tells the client why a request is not sent to a server (RFC 9457).
PROBLEM_HEAD = b"Content-Type: application/problem+json\r\n"
QUARANTINED_PROBLEM = encode(
    {
        "type": "urn:flamingosail:quarantined",
        "title": "Request quarantined",
        "status": 502,
        "detail": "servers crashed while they ran this request; it is not"
        " sent to another one, and repeating it does not help",
    }
)
# A response with status 401 names the scheme (RFC 9110, section 15.5.2).
UNAUTHORIZED_HEAD = PROBLEM_HEAD + b"WWW-Authenticate: Key\r\n"
UNAUTHORIZED_PROBLEM = encode(
    {
        "type": "urn:flamingosail:unauthorized",
        "title": "Unknown or missing key",
        "status": 401,
        "detail": "the request needs the key of a client account",
    }
)


class Forwarder:
    """Handles the exchanges of clients; see ``exchange.ExchangeHandler``.

    A request is judged by the configuration that was in force when it came in,
    also if it waits for its quota meanwhile. ``open_requests`` are those that
    wait or were sent and have not ended.
    While ``closed``, root requests are rejected and calls are still sent.
    ``ends_at`` is when the node stops answering, infinite until a stop begins.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        random: Random,
        dialect: Dialect,
        peers: PeerTable,
        balancer: LoadBalancer,
        admission: Admission,
        meter: LoadMeter,
        metrics: NodeMetrics,
        budget: RetryBudget,
        quarantine: Quarantine,
        access: AccessPolicy,
        own_service: str,
    ):
        self.clock = clock
        self.random = random
        self.peers = peers
        self.balancer = balancer
        self.admission = admission
        self.meter = meter
        self.metrics = metrics
        self.decisions = DecisionLog(clock=clock, channel="proxy.forward")
        self.priorities: dict[int, int] = {}
        self.request_id_header = b"%s: %%s\r\n" % dialect.request_id
        self.signature_header = b"%s: %%s\r\n" % dialect.signature
        self.tenant_header = b"%s: %%s\r\n" % dialect.tenant
        self.caller_service_header = b"%s: %s\r\n" % (
            dialect.caller_service,
            own_service.encode("latin-1", "replace"),
        )
        self.table: RouteTable | None = None
        self.limits = ClientLimits()
        self.service_selector = WeightedRoundRobin()
        self.budget = budget
        self.quarantine = quarantine
        self.returns = ReturningClients(clock=clock, random=random)
        self.access = access
        self.timeouts = Timeouts(clock=clock, on_due=self.timed_out)
        peers.quotas.on_decision = self.quota_decided
        self.open_requests: set[ForwardedRequest] = set()
        self.closed = False
        self.ends_at = inf

    def set_route_table(self, table: RouteTable):
        """Use a new version of the routing configuration."""
        self.table = table
        self.limits = table.limits
        self.peers.quotas.set_tenants(table.tenants)
        self.service_selector.reset()
        self.priorities = class_priorities(table)
        self.admission.set_accounts(table.tenants)

    def update_admission(self, reports: list[LoadReport]):
        """Recompute the admitted shares from all nodes' load reports."""
        self.budget.update(self.peers.node_count())
        before = self.admission.limiting_services
        self.returns.expire()
        self.admission.compute_shares(reports, self.priorities)
        if self.admission.limiting_services or before:
            self.decisions.failure("admission", self.admission_fields)

    def admission_fields(self) -> dict:
        """Return the fields of a log line about admission.

        The log calls the limiting services ``binding``, the capacity ``room``
        and the target utilization ``fill``.
        """
        admission = self.admission
        return {
            "shares": rounded(admission.shares),
            "binding": admission.limiting_services,
            "floored": sorted(admission.floored),
            "services": {
                name: {
                    "room": load.capacity,
                    "waiting": load.waiting,
                    "fill": round(load.target_utilization, 2),
                    "accepts": round(load.acceptance, 2),
                }
                for name, load in admission.services.items()
            },
        }

    # Clients.

    def handle(self, exchange: Exchange):
        """Find the route of a request, admit it and send it to a server."""
        table = self.table
        if table is None:
            self.reject_early(exchange, "no configuration is known")
            return
        route = table.find(exchange.host, exchange.target)
        if route is None:
            self.metrics.count("requests_without_route")
            self.decisions.failure(
                "no route",
                lambda: {
                    "request": exchange.request_id.decode("latin-1"),
                    "config_version": table.version,
                },
            )
            exchange.respond(404, b"")
            return
        parent = self.parent_of(exchange)
        access = self.access.check(
            table,
            route,
            credential=exchange.credential,
            is_call=parent is not None,
            names_parent=b"." in exchange.request_id,
        )
        exchange.credential = None
        if access.denial is not None:
            self.deny(exchange, route, access.denial)
            return
        request = ForwardedRequest(
            exchange=exchange,
            route=route,
            service=self.service_selector.choose(route),
        )
        exchange.request = request
        request.parent = parent
        request.tenant = access.tenant
        wait = route.timeout_seconds
        if exchange.timeout_ms is not None:
            wait = min(wait, exchange.timeout_ms / 1000)
        request.deadline = exchange.arrived_at + wait
        request.request_line = b"%s %s HTTP/1.1\r\n" % (
            exchange.method,
            exchange.target,
        )
        request.head = b"".join((*exchange.head, self.caller_service_header))
        if request.tenant is not None:
            request.head += self.tenant_header % request.tenant.name.encode()
        if self.is_quarantined(request):
            self.reject_quarantined(request)
            return
        if self.draws_quota(request):
            draw = self.peers.quotas.draw(request.tenant, request)
            if draw is Draw.WAITING:
                self.track(request)
                return
        self.start(request)

    def start(self, request: ForwardedRequest):
        """Admit a request that is within its quota and send it."""
        if not self.admit(request):
            if self.draws_quota(request):
                self.peers.quotas.refund(request.tenant)
            return
        self.budget.record_request(request.service)
        self.track(request)
        self.send(request, "")

    def track(self, request: ForwardedRequest):
        """Count a request as open, and end it at its deadline."""
        if request not in self.open_requests:
            self.open_requests.add(request)
            self.timeouts.add(request.deadline, request)

    @property
    def in_flight(self) -> int:
        """The number of requests that wait or were sent."""
        return len(self.open_requests)

    def draws_quota(self, request: ForwardedRequest) -> bool:
        """Return whether a request counts against the quota of its tenant."""
        return (
            request.tenant is not None
            and request.tenant.rate > 0
            and request.parent is None
        )

    def quota_decided(
        self, request: ForwardedRequest, draw: Draw, retry_after: float
    ):
        """Go on with a request that has waited for its quota."""
        if draw is Draw.GRANTED:
            self.start(request)
        elif draw is Draw.UNKNOWN:
            self.fail(request, "no node has answered for the quota")
        else:
            self.decisions.failure(
                "over quota",
                lambda: self.request_fields(request, request.tenant.name),
            )
            self.respond(
                request, 429, b"Retry-After: %.3f\r\n" % retry_after, b""
            )

    def admit(self, request: ForwardedRequest) -> bool:
        """Admit a request, or reject it and return False.

        Calls made by requests that run at our server are always admitted. The
        id of a call consists of its parent request's id, a dot and a suffix.
        """
        exchange, route = request.exchange, request.route
        parent = request.parent
        if parent is not None:
            request.root_route = parent.root_route
            # Even ranks are calls; they precede root requests of the same
            # priority.
            request.rank = parent.rank & ~1
            request.is_retry = parent.is_retry
            parent.child_call_started(self.clock.seconds())
            if request.is_retry:
                self.budget.charge(request.service)
            return True
        if self.closed:
            self.close_request(request)
            self.reject_early(exchange, "the node stops")
            return False
        request.is_root = True
        key = request.root_route = class_key(route, request.tenant)
        request.rank = 2 * request_priority(route, request.tenant) + 1
        if key in self.admission.floored:
            # Queues would take back what the floor grants.
            request.rank = FLOOR_RANK
        account = None
        if request.tenant is not None:
            account = account_key(request.tenant.name)
        admitted = self.admission.admit(
            key,
            account=account,
            returning=request.tenant is not None
            and len(self.returns) > 0
            and self.returns.redeem(self.return_identity(request)),
        )
        self.meter.record_arrival(key, admitted=admitted, account=account)
        if not admitted:
            self.close_request(request)
            wait = self.invite(request)
            self.metrics.count("requests_not_admitted", route.name)
            self.decisions.failure(
                "not admitted",
                lambda: {
                    **self.request_fields(request, "overload"),
                    "share": self.admission.shares.get(key),
                    "full": self.admission.limiting_services.get(key),
                    "account": request.tenant and request.tenant.name,
                    "wait_ms": round(wait * 1000),
                    "computed_ms_ago": round(
                        (self.clock.seconds() - self.admission.computed_at)
                        * 1000
                    ),
                },
            )
            exchange.respond(503, RETRY_AFTER_HEADER % wait, b"")
        return admitted

    def invite(self, request: ForwardedRequest) -> float:
        """Return in how many seconds a refused client should come back.

        Clients of accounts may get a reservation; see ``ReturningClients``.
        """
        now = self.clock.seconds()
        if request.tenant is None:
            return self.retry_after_seconds(request.deadline - now)
        age = now - request.exchange.arrived_at
        return self.returns.invite(
            request.root_route,
            self.return_identity(request),
            share=self.admission.shares[request.root_route],
            remaining=client_seconds(request) - age,
            target=request.route.target_seconds,
        )

    def fingerprint(self, request: ForwardedRequest) -> int:
        """Return the identity of a request, whatever its id."""
        return request_fingerprint(
            request.request_line, request.head, request.exchange.body
        )

    def return_identity(self, request: ForwardedRequest) -> int:
        """Return by what a refused request is known when it comes back."""
        return hash((self.fingerprint(request), request.tenant.name))

    def parent_of(self, exchange: Exchange) -> Job | None:
        """Return the request at our server that made this call, if any.

        Where requests need keys, one from another VM is no such call.
        """
        if self.table.tenants is not None and not exchange.from_own_vm:
            return None
        return self.peers.gate.running.get(
            exchange.request_id.rpartition(b".")[0]
        )

    def deny(self, exchange: Exchange, route: Route, denial: Denial):
        """Answer a request that its key does not allow, or may not allow."""
        self.metrics.count("requests_denied", denial)
        self.decisions.failure(
            "denied",
            lambda: {
                "request": exchange.request_id.decode("latin-1"),
                "route": route.name,
                "reason": denial,
                "config_version": self.table.version,
            },
        )
        if denial.final:
            exchange.respond(401, UNAUTHORIZED_HEAD, UNAUTHORIZED_PROBLEM)
        else:
            exchange.respond(
                503, self.retry_after_header(route.timeout_seconds)
            )

    def is_quarantined(self, request: ForwardedRequest) -> bool:
        """Return whether a request is known to crash servers."""
        if not self.quarantine.suspects:
            return False
        verdict = self.quarantine.verdict(self.fingerprint(request))
        return verdict is Verdict.QUARANTINED

    def reject_quarantined(self, request: ForwardedRequest):
        """Answer a request that no server may run, before it is admitted.

        It did not run this time, but a status that says so would ask the
        client to send it again.
        """
        request.done = True
        self.metrics.count("requests_quarantined", request.route.name)
        self.decisions.failure(
            "quarantined", lambda: self.request_fields(request, QUARANTINED)
        )
        parent = request.parent
        if parent is not None:
            parent.child_call_failed = True
        request.exchange.respond(502, PROBLEM_HEAD, QUARANTINED_PROBLEM)

    def client_disconnected(self, exchange: Exchange):
        """Cancel the request of a client that disconnected."""
        request = exchange.request
        if request is None or request.done:
            return
        self.metrics.count("clients_left")
        self.decisions.failure(
            "client left",
            lambda: self.request_fields(request, "the client disconnected"),
        )
        self.record_end(request, completed=False)
        self.cancel_attempt(request)

    # Servers.

    def send(self, request: ForwardedRequest, reason: str):
        """Send a request to the best server, or answer it with a failure.

        ``reason`` says why the previous attempt failed; it is empty for the
        first.
        """
        if request.tried and self.is_quarantined(request):
            self.fail_quarantined(request)
            return
        server = self.next_server(request)
        remaining = (
            min(request.deadline, self.ends_at)
            - self.clock.seconds()
            - GATE_DEADLINE_MARGIN_SECONDS
        )
        if server is None or remaining <= 0:
            self.fail(request, reason or "no server is available")
            return
        exchange = request.exchange
        request.tried.append(server)
        attempt = request.attempt = Attempt(
            forwarder=self, request=request, server=server
        )
        server.calls_in_flight += 1
        if server.failure_domain != self.balancer.failure_domain:
            self.metrics.count("calls_to_other_domains", request.service)
        server.call(
            attempt,
            {
                "request_id": exchange.request_id,
                "service": request.service,
                "request_line": request.request_line,
                "head": request.head,
                "body": exchange.body,
                "left_ms": int(remaining * 1000),
                "idempotent": request.route.idempotent,
                "root_route": request.root_route,
                "rank": request.rank,
                "is_retry": request.is_retry or request.possible_runs > 0,
            },
        )

    def next_server(self, request: ForwardedRequest) -> RemoteServer | None:
        """Return the server for the next attempt, None if there is none.

        The route limits the number of servers that may have run a request or
        rejected it. At the limit, or if no other server remains, the request
        is only sent again to servers that rejected it.
        """
        group = self.peers.by_service.get(request.service)
        if group is None or len(request.tried) >= MAX_SENDS:
            return None
        if (
            len(set(request.rejected_by)) + request.possible_runs
            < request.route.max_attempts
        ):
            server = self.balancer.choose(
                group, request.tried, request.needs(self.clock.seconds())
            )
            if server is not None:
                return server
        server, _ = self.balancer.find_cheapest(
            request.rejected_by, (), self.clock.seconds()
        )
        return server

    def attempt_ended(
        self,
        request: ForwardedRequest,
        server,
        outcome,
        status,
        signature,
        head,
        body,
        reason,
    ):
        """Answer the client, or send the request to another server."""
        if request.done:
            return
        if outcome == Outcome.ANSWERED:
            request.possible_runs += 1
            head += self.request_id_header % request.exchange.request_id
            if signature:
                head += self.signature_header % signature
            own_failure = status >= 500 and reason != CHILD_CALL_FAILED
            if own_failure and self.acquire_retry(request):
                reason = f"a server answered {status}"
                self.record_retry(request, reason)
                request.failure_response = (status, head, body)
                self.send(request, reason)
            else:
                self.respond(request, status, head, body)
        elif outcome == Outcome.REFUSED:
            self.send(request, reason)
        elif outcome == Outcome.QUARANTINED:
            self.fail_quarantined(request)
        elif outcome == Outcome.SHED:
            request.rejected_by.append(server)
            if self.spend_retry_token(request):
                self.send(request, reason)
            else:
                self.fail(request, f"{reason}; it may not be sent again")
        else:
            request.possible_runs += 1
            if self.acquire_retry(request):
                self.record_retry(request, reason)
                self.send(request, reason)
            else:
                self.fail(request, reason)

    def record_retry(self, request: ForwardedRequest, reason: str):
        """Count and log a retry; the log and the metric say ``repeated``."""
        self.metrics.count("requests_repeated", request.service)
        self.decisions.failure(
            "repeated", lambda: self.request_fields(request, reason)
        )

    def acquire_retry(self, request: ForwardedRequest) -> bool:
        """Return whether to retry a request that may have run.

        If so, a token of the retry budget has been spent.
        """
        return (
            request.route.idempotent
            and not request.is_retry
            and request.possible_runs < request.route.max_attempts
            and request.deadline - self.clock.seconds() > MIN_RETRY_SECONDS
            and self.spend_retry_token(request)
        )

    def spend_retry_token(self, request: ForwardedRequest) -> bool:
        """Spend a token on a retry; return whether it may be made.

        It may not if no server remains to send it to.
        """
        others = any(
            (server in request.rejected_by or server not in request.tried)
            and server.usable
            for server in self.peers.by_service.get(request.service, ())
        )
        parent = request.parent
        return others and self.budget.try_spend(
            request.service,
            priority=request.rank // 2,
            progressed=parent is None or parent.child_calls_succeeded > 0,
        )

    # Responses.

    def timed_out(self, request: ForwardedRequest):
        """Answer a request whose deadline has passed."""
        attempt = request.attempt
        if attempt is not None:
            # The server may be running it.
            request.possible_runs += 1
        self.cancel_attempt(request)
        self.fail(request, "the deadline has passed")

    def end_all(self):
        """Answer all requests, because the node ends."""
        for request in self.timeouts.pending():
            if request.attempt is not None:
                request.possible_runs += request.attempt.may_run()
            self.cancel_attempt(request)
            self.fail(request, "the node stops")

    def cancel_attempt(self, request: ForwardedRequest):
        """Cancel the current attempt, if any, at the server's node."""
        attempt, request.attempt = request.attempt, None
        if attempt is not None:
            attempt.server.calls_in_flight -= 1
            attempt.server.cancel(attempt)

    def fail(self, request: ForwardedRequest, reason: str):
        """Answer with a failure status.

        503 means that no server ran the request; 502 or, after the deadline,
        504 that one may have. A failure response of a server takes precedence.
        """
        self.metrics.count("requests_given_up", request.service)
        self.decisions.failure(
            "gave up", lambda: self.request_fields(request, reason)
        )
        remaining = request.deadline - self.clock.seconds()
        response, request.failure_response = request.failure_response, None
        if response is not None:
            self.respond(request, *response)
        elif not request.possible_runs:
            self.respond(request, 503, self.retry_after_header(remaining), b"")
        else:
            self.respond(request, 504 if remaining <= 0 else 502, b"", b"")

    def fail_quarantined(self, request: ForwardedRequest):
        """Answer a request that no other server may run."""
        self.metrics.count("requests_quarantined", request.route.name)
        self.decisions.failure(
            "quarantined", lambda: self.request_fields(request, QUARANTINED)
        )
        self.respond(request, 502, PROBLEM_HEAD, QUARANTINED_PROBLEM)

    def reject_early(self, exchange: Exchange, reason: str):
        """Reject a request that is not open.

        ``reason`` is also a metric label. The log and the metric say
        ``refused``.
        """
        self.metrics.count("requests_refused_early", reason)
        self.decisions.failure(
            "refused",
            lambda: {
                "request": exchange.request_id.decode("latin-1"),
                "reason": reason,
            },
        )
        exchange.respond(503, self.retry_after_header(1.0), b"")

    def retry_after_header(self, remaining: float) -> bytes:
        """Return Retry-After for a request with ``remaining`` seconds left."""
        return RETRY_AFTER_HEADER % self.retry_after_seconds(remaining)

    def retry_after_seconds(self, remaining: float) -> float:
        """Return the time after which a client may come back."""
        longest = min(
            MAX_RETRY_AFTER_SECONDS,
            max(0.0, remaining) * MAX_RETRY_AFTER_SHARE,
        )
        return max(
            MIN_RETRY_AFTER_SECONDS, longest * self.random.uniform(0.3, 1.0)
        )

    def respond(
        self, request: ForwardedRequest, status: int, head: bytes, body: bytes
    ):
        """Answer the client and record the result."""
        self.record_end(request, completed=status < 500)
        if request.parent is not None:
            if status >= 500:
                request.parent.child_call_failed = True
            else:
                request.parent.child_calls_succeeded += 1
        self.metrics.observe_request(
            f"{status // 100}xx",
            self.clock.seconds() - request.exchange.arrived_at,
        )
        self.decisions.success(
            "answered",
            lambda: self.request_fields(request, f"status {status}"),
        )
        request.exchange.respond(status, head, body)

    def record_end(self, request: ForwardedRequest, *, completed: bool):
        """Record the end of a request once."""
        if not request.done:
            self.close_request(request)
            request.head = b""
            if request.parent is not None:
                request.parent.child_call_ended(self.clock.seconds())
            if request.is_root:
                self.meter.record_end(request.root_route, completed=completed)

    def close_request(self, request: ForwardedRequest):
        """Mark a request as done; it is not open any more."""
        request.done = True
        self.open_requests.discard(request)

    def request_fields(self, request: ForwardedRequest, reason: str) -> dict:
        """Return the fields of a log line about a request."""
        return {
            "request": request.exchange.request_id.decode("latin-1"),
            "route": request.route.name,
            "service": request.service,
            "reason": reason,
            "tried": [str(server.address) for server in request.tried],
            "runs": request.possible_runs,
            "age_ms": round(
                (self.clock.seconds() - request.exchange.arrived_at) * 1000
            ),
            "config_version": self.table.version,
        }


def client_seconds(request: ForwardedRequest) -> float:
    """Return the seconds that the client gives its request.

    The timeout of the route, which may be shorter, limits one attempt.
    """
    if request.exchange.timeout_ms is not None:
        return request.exchange.timeout_ms / 1000
    return request.route.timeout_seconds


def rounded(numbers: dict) -> dict:
    """Return the numbers rounded to three decimals for a log line."""
    return {key: round(value, 3) for key, value in numbers.items()}
