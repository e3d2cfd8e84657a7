"""Carries the requests of clients to backend servers and back."""

from random import Random

from twisted.internet.interfaces import IReactorTime

from flamingosail.proxy.balance import Balance
from flamingosail.proxy.budget import RepeatBudget
from flamingosail.proxy.decisions import DecisionLog
from flamingosail.proxy.dialect import Dialect
from flamingosail.proxy.exchange import Exchange
from flamingosail.proxy.forwarding import Attempt
from flamingosail.proxy.forwarding import Forwarding
from flamingosail.proxy.gate import CHILD_CALL_FAILED
from flamingosail.proxy.hop import Outcome
from flamingosail.proxy.nodemetrics import NodeMetrics
from flamingosail.proxy.overload import Admission
from flamingosail.proxy.overload import LoadMeter
from flamingosail.proxy.overload import LoadReport
from flamingosail.proxy.overload import route_key
from flamingosail.proxy.peers import PeerTable
from flamingosail.proxy.routes import ClientLimits
from flamingosail.proxy.routes import RouteTable
from flamingosail.proxy.routes import SplitBalance
from flamingosail.proxy.servers import RemoteServer
from flamingosail.proxy.timeouts import Timeouts

__all__ = ["Forwarder"]

# Offers of one request; each costs a round trip.
MAX_OFFERS = 6
# A client that is told to come back should find time left for its request.
RETURN_SHARE = 0.3
SHORTEST_RETURN_SECONDS = 0.02
LONGEST_RETURN_SECONDS = 1.0
# A repeat with less time left has no chance: two hops and the shortest work.
SHORTEST_REPEAT_SECONDS = 0.03
# The gate's own refusal of an expired request must arrive before ours.
HOP_MARGIN_SECONDS = 0.01


class Forwarder:
    """Handles the exchanges of clients; see ``client.ExchangeHandler``."""

    def __init__(
        self,
        *,
        clock: IReactorTime,
        random: Random,
        dialect: Dialect,
        peers: PeerTable,
        balance: Balance,
        admission: Admission,
        meter: LoadMeter,
        metrics: NodeMetrics,
        budget: RepeatBudget,
        own_service: str,
    ):
        self.clock = clock
        self.random = random
        self.peers = peers
        self.balance = balance
        self.admission = admission
        self.meter = meter
        self.metrics = metrics
        self.decisions = DecisionLog(clock=clock, channel="proxy.forward")
        self.keys: dict[str, int] = {}
        self.priorities: dict[int, int] = {}
        self.id_line = b"%s: %%s\r\n" % dialect.request_id
        self.proof_line = b"%s: %%s\r\n" % dialect.signature
        self.caller_line = b"%s: %s\r\n" % (
            dialect.caller_service,
            own_service.encode("latin-1", "replace"),
        )
        self.table: RouteTable | None = None
        self.limits = ClientLimits()
        self.split = SplitBalance()
        self.budget = budget
        self.timeouts = Timeouts(clock=clock, on_due=self.timed_out)
        self.in_flight = 0
        self.closed = False

    def use(self, table: RouteTable):
        """Put a configuration in force."""
        self.table = table
        self.limits = table.limits
        self.split.forget()
        routes = [
            route for paths in table.hosts.values() for route in paths.values()
        ]
        self.keys = {route.name: route_key(route.name) for route in routes}
        self.priorities = {
            self.keys[route.name]: route.priority for route in routes
        }

    def take_reports(self, reports: list[LoadReport]):
        """Decide anew which requests may begin."""
        self.budget.adapt(1 + len(self.peers.peers))
        before = self.admission.binding
        self.admission.compute(reports, self.priorities)
        if self.admission.binding or before:
            self.decisions.failure("admission", self.shares)

    def shares(self) -> dict:
        """Return the fields of a log line on the admission."""
        admission = self.admission
        return {
            "shares": rounded(admission.shares),
            "binding": admission.binding,
            "services": {
                name: {
                    "room": load.room,
                    "waiting": load.waiting,
                    "fill": round(load.fill, 2),
                }
                for name, load in admission.services.items()
            },
        }

    # The client side.

    def handle(self, exchange: Exchange):
        """Find the route of a request and send it."""
        table = self.table
        if table is None:
            self.refuse_early(exchange, "no configuration is known")
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
            exchange.answer(404, b"")
            return
        work = Forwarding(
            exchange=exchange,
            route=route,
            service=self.split.choose(route),
        )
        exchange.call = work
        wait = route.timeout_seconds
        if exchange.left_ms is not None:
            wait = min(wait, exchange.left_ms / 1000)
        work.deadline = exchange.arrived + wait
        if not self.enter(work):
            return
        work.line = b"%s %s HTTP/1.1\r\n" % (exchange.method, exchange.target)
        work.head = b"".join((*exchange.head, self.caller_line))
        self.budget.requested(work.service)
        self.in_flight += 1
        self.timeouts.add(work.deadline, work)
        self.offer(work, "")

    def enter(self, work: Forwarding) -> bool:
        """Admit a request, or refuse it and return False.

        Calls of requests that run at our server belong to those and are
        never refused here. Their ids begin with that of the request.
        """
        exchange, route = work.exchange, work.route
        parent = self.peers.gate.running.get(
            exchange.request_id.rpartition(b".")[0]
        )
        if parent is not None:
            work.origin = parent.root_route
            # Even ranks are calls: they go before requests that begin.
            work.rank = parent.rank & ~1
            work.repeat = parent.is_retry
            work.parent = parent
            if work.repeat:
                self.budget.spend(work.service)
            return True
        if self.closed:
            work.over = True
            self.refuse_early(exchange, "the node stops")
            return False
        work.begins = True
        key = work.origin = self.keys[route.name]
        work.rank = 2 * route.priority + 1
        admitted = self.admission.admits(key)
        self.meter.began(key, admitted=admitted)
        if not admitted:
            work.over = True
            left = work.deadline - self.clock.seconds()
            self.metrics.count("requests_not_admitted", route.name)
            self.decisions.failure(
                "not admitted",
                lambda: {
                    **self.story(work, "overload"),
                    "share": self.admission.shares.get(key),
                    "full": self.admission.binding.get(key),
                    "computed_ms_ago": round(
                        (self.clock.seconds() - self.admission.computed_at)
                        * 1000
                    ),
                },
            )
            exchange.answer(503, self.retry_line(left), b"")
        return admitted

    def cancelled(self, exchange: Exchange):
        """Stop the work for a client that left."""
        work = exchange.call
        if work is None or work.over:
            return
        self.metrics.count("clients_left")
        self.decisions.failure(
            "client left", lambda: self.story(work, "the client closed")
        )
        self.close(work, served=False)
        self.cancel_attempt(work)

    # Servers.

    def offer(self, work: Forwarding, reason: str):
        """Offer a request to the best server, or refuse it.

        ``reason`` tells why the server before did not run it.
        """
        server = self.next_server(work)
        left = work.deadline - self.clock.seconds() - HOP_MARGIN_SECONDS
        if server is None or left <= 0:
            self.give_up(work, reason or "no server can be reached")
            return
        exchange = work.exchange
        work.tried.append(server)
        attempt = work.attempt = Attempt(
            forwarder=self, work=work, server=server
        )
        server.calls_in_flight += 1
        server.call(
            attempt,
            {
                "request_id": exchange.request_id,
                "service": work.service,
                "request_line": work.line,
                "head": work.head,
                "body": exchange.body,
                "left_ms": int(left * 1000),
                "idempotent": work.route.idempotent,
                "root_route": work.origin,
                "rank": work.rank,
                "is_retry": work.repeat or work.runs > 0,
            },
        )

    def next_server(self, work: Forwarding) -> RemoteServer | None:
        """Return the server for the next offer, None if there is none.

        A request is sent to as many servers as its route allows; another
        second send goes to one that has rejected it before.
        """
        group = self.peers.by_service.get(work.service)
        if group is None or len(work.tried) >= MAX_OFFERS:
            return None
        if len(set(work.shed)) + work.runs < work.route.max_attempts:
            server = self.balance.choose(group, work.tried)
            if server is not None:
                return server
        server, _ = self.balance.cheapest(work.shed, (), self.clock.seconds())
        return server

    def attempt_ended(
        self,
        work: Forwarding,
        server,
        outcome,
        status,
        proof,
        head,
        body,
        reason,
    ):
        """Answer the client, or try another server."""
        if work.over:
            return
        if outcome == Outcome.ANSWERED:
            work.runs += 1
            head += self.id_line % work.exchange.request_id
            if proof:
                head += self.proof_line % proof
            own_failure = status >= 500 and reason != CHILD_CALL_FAILED
            if own_failure and self.may_repeat(work):
                reason = f"a server answered {status}"
                self.note_repeat(work, reason)
                work.answer = (status, head, body)
                self.offer(work, reason)
            else:
                self.finish(work, status, head, body)
        elif outcome == Outcome.REFUSED:
            self.offer(work, reason)
        elif outcome == Outcome.SHED:
            work.shed.append(server)
            if self.may_send_again(work):
                self.offer(work, reason)
            else:
                self.give_up(work, f"{reason}; it may not be sent again")
        else:
            work.runs += 1
            if self.may_repeat(work):
                self.note_repeat(work, reason)
                self.offer(work, reason)
            else:
                self.give_up(work, reason)

    def note_repeat(self, work: Forwarding, reason: str):
        """Count and log that a request goes to another server."""
        self.metrics.count("requests_repeated", work.service)
        self.decisions.failure("repeated", lambda: self.story(work, reason))

    def may_repeat(self, work: Forwarding) -> bool:
        """Return whether a request that may have run is sent again."""
        return (
            work.route.idempotent
            and not work.repeat
            and work.runs < work.route.max_attempts
            and work.deadline - self.clock.seconds() > SHORTEST_REPEAT_SECONDS
            and self.may_send_again(work)
        )

    def may_send_again(self, work: Forwarding) -> bool:
        """Return whether the budget allows another arrival at a server."""
        others = any(
            (server in work.shed or server not in work.tried) and server.usable
            for server in self.peers.by_service.get(work.service, ())
        )
        parent = work.parent
        return others and self.budget.take(
            work.service,
            priority=work.rank // 2,
            progressed=parent is None or parent.child_calls_served > 0,
        )

    # Ends.

    def timed_out(self, work: Forwarding):
        """Answer a request whose time is over."""
        attempt = work.attempt
        if attempt is not None:
            # The server may be at work on it.
            work.runs += 1
        self.cancel_attempt(work)
        self.give_up(work, "the time is over")

    def cancel_attempt(self, work: Forwarding):
        """Tell the server's node that nobody waits."""
        attempt, work.attempt = work.attempt, None
        if attempt is not None:
            attempt.server.calls_in_flight -= 1
            attempt.server.cancel(attempt)

    def give_up(self, work: Forwarding, reason: str):
        """Answer with a failure that says whether the request may have run."""
        self.metrics.count("requests_given_up", work.service)
        self.decisions.failure("gave up", lambda: self.story(work, reason))
        left = work.deadline - self.clock.seconds()
        if work.answer is not None:
            self.finish(work, *work.answer)
        elif not work.runs:
            self.finish(work, 503, self.retry_line(left), b"")
        else:
            self.finish(work, 504 if left <= 0 else 502, b"", b"")

    def refuse_early(self, exchange: Exchange, reason: str):
        """Refuse a request before its route is known."""
        self.metrics.count("requests_refused_early", reason)
        self.decisions.failure(
            "refused",
            lambda: {
                "request": exchange.request_id.decode("latin-1"),
                "reason": reason,
            },
        )
        exchange.answer(503, self.retry_line(1.0), b"")

    def retry_line(self, left: float) -> bytes:
        """Return the header that tells when to come back."""
        longest = min(LONGEST_RETURN_SECONDS, max(0.0, left) * RETURN_SHARE)
        seconds = max(
            SHORTEST_RETURN_SECONDS, longest * self.random.uniform(0.3, 1.0)
        )
        return b"Retry-After: %.3f\r\n" % seconds

    def finish(self, work: Forwarding, status: int, head: bytes, body: bytes):
        """Answer the client and forget the request."""
        self.close(work, served=status < 500)
        if work.parent is not None:
            if status >= 500:
                work.parent.child_call_failed = True
            else:
                work.parent.child_calls_served += 1
        self.metrics.observe_request(
            f"{status // 100}xx",
            self.clock.seconds() - work.exchange.arrived,
        )
        self.decisions.success(
            "answered", lambda: self.story(work, f"status {status}")
        )
        work.exchange.answer(status, head, body)

    def close(self, work: Forwarding, *, served: bool):
        """Count the end of a request."""
        if not work.over:
            work.over = True
            self.in_flight -= 1
            if work.begins:
                self.meter.ended(work.origin, served=served)

    def story(self, work: Forwarding, reason: str) -> dict:
        """Return the fields of a log line on a request."""
        return {
            "request": work.exchange.request_id.decode("latin-1"),
            "route": work.route.name,
            "service": work.service,
            "reason": reason,
            "tried": [str(server.address) for server in work.tried],
            "runs": work.runs,
            "age_ms": round(
                (self.clock.seconds() - work.exchange.arrived) * 1000
            ),
            "config_version": self.table.version,
        }


def rounded(numbers: dict) -> dict:
    """Return the same numbers, short enough for a log line."""
    return {key: round(value, 3) for key, value in numbers.items()}
