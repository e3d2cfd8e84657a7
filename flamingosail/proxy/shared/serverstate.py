"""What a node knows of its own backend server.

The node beside a server is the only one that hears its reports, and all its
responses pass by that node. Its knowledge is what all other nodes are told.
"""

from collections.abc import Callable
from math import inf

from logbook import Logger
from twisted.internet.interfaces import IReactorTime

from flamingosail.proxy.job import ServerReport
from flamingosail.proxy.policy.concurrency import ConcurrencyLimit
from flamingosail.proxy.policy.ratelimit import RateLimiter
from flamingosail.proxy.policy.speed import SpeedMeter
from flamingosail.proxy.transport.backendserver import ServerResponse
from flamingosail.proxy.transport.hop import ServerTerms
from flamingosail.proxy.transport.servercheck import ServerCheck

__all__ = ["ServerState"]

# A draining server gets no requests in the last part of its drain time, since
# a request still has to reach it.
DRAIN_MARGIN_SECONDS = 0.7
# Enough for the deregistered servers of one VM of which a delayed report may
# still arrive.
MAX_DEREGISTRATIONS = 64
# Other nodes recall the terms of the present server and perhaps a former one.
MAX_RECALLED_RATES = 8
# Delay before new requests are sent to a server that refused a connection.
RECONNECT_DELAY_SECONDS = 0.3
# Other nodes are told of a rate limit that changed by more than this share.
ANNOUNCED_RATE_CHANGE = 0.1
# They are told at most this often. A server that states a limit in some of its
# responses only would otherwise cause a message to all nodes for each one.
RATE_ANNOUNCEMENT_SECONDS = 1.0
# All nodes recall the draining of a server with slightly different times. Each
# earlier time is announced to all nodes, so smaller differences do not count.
DRAIN_RESOLUTION_SECONDS = 0.1

log = Logger("proxy.gate")


class ServerState:
    """The state of a server, from its reports and its responses.

    ``drain_seconds`` is the time after a deregistration in which the server
    may still get requests. ``on_change`` is called without arguments when the
    state changes. ``deregistrations`` maps an instance to the time when
    draining began and the latest start to which that applies. ``check`` is
    set while a restarted node has not confirmed that its server still serves.
    ``concurrency`` is the learned limit of requests at a time.
    ``limiter`` holds the rate limit that the server states in its responses,
    ``announced_rate`` is the one that was last logged and sent to other nodes,
    at ``announced_at``.
    ``recalled_rates`` are limits by server process that other nodes know from
    before a restart of this node, and ``responded`` says that the server has
    answered a request since.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        drain_seconds: float,
        on_change: Callable,
    ):
        self.clock = clock
        self.drain_seconds = drain_seconds
        self.on_change = on_change
        self.report: ServerReport | None = None
        self.draining_since: float | None = None
        self.deregistrations: dict[str, tuple[float, int]] = {}
        self.down_until = 0.0
        self.check: ServerCheck | None = None
        self.speed = SpeedMeter(clock=clock)
        self.concurrency = ConcurrencyLimit(clock=clock)
        self.limiter = RateLimiter(clock=clock)
        self.announced_rate: float | None = None
        self.announced_at = -inf
        self.recalled_rates: dict[tuple[str, int], float] = {}
        self.responded = False

    # Reports.

    def handle_report(self, report: ServerReport):
        """Update the server's state unless the report is old or repeated.

        After a restart of the node, the first report is checked before it
        counts.
        """
        if self.check is None:
            self.accept_report(report)
        elif report.state == "ready":
            self.check.check(report)
        else:
            # The former process may have acknowledged the draining long ago.
            self.accept_leaving(report)

    def report_confirmed(
        self, report: ServerReport, response: ServerResponse | None
    ):
        """Accept a checked report.

        ``response`` is that of the server's health endpoint, None if the
        report was confirmed without it.
        """
        self.check = None
        if response is not None and response.rate_limit is not None:
            self.recalled_rates[report.incarnation] = response.rate_limit
        self.accept_report(report)

    def accept_leaving(self, report: ServerReport):
        """Accept the report of a server whose drain time may have passed."""
        self.check = None
        self.deregistrations[report.instance] = (
            self.clock.seconds() - self.drain_seconds,
            report.start_ms,
        )
        self.accept_report(report)

    def accept_report(self, report: ServerReport):
        """Update the server's state unless the report is old or repeated."""
        known = self.report
        if known is not None and (report.start_ms, report.sequence) <= (
            known.start_ms,
            known.sequence,
        ):
            return
        restarted = known is not None and report.start_ms != known.start_ms
        server_changed = (
            known is None
            or restarted
            or known.instance != report.instance
            or known.state != report.state
            or self.down_until
        )
        self.report = report
        self.down_until = 0.0
        if restarted:
            self.draining_since = None
        if known is not None and (
            restarted or known.instance != report.instance
        ):
            self.speed.reset()
            self.concurrency.reset(cold_until=report.cold_until)
            self.limiter.set_rate(None)
            self.announced_rate = None
            self.announced_at = -inf
            self.responded = False
        if self.draining_since is None:
            self.draining_since = self.draining_start(report)
        self.apply_recalled_rate()
        if server_changed:
            log.info(
                "server reported",
                extra={
                    "instance": report.instance,
                    "service": report.service,
                    "state": self.state,
                    "born": report.start_ms,  # the log's name for the start
                    "sequence": report.sequence,
                    "slots": report.slots,
                },
            )
            self.on_change()

    def draining_start(self, report: ServerReport) -> float | None:
        """Return when the reported server began to drain, None if it did not.

        A delayed report may arrive after the deregistration, even at a node
        that has just started and has no report yet.
        """
        deregistration = self.deregistrations.get(report.instance)
        if deregistration is not None:
            since, last_start_ms = deregistration
            if report.start_ms <= last_start_ms:
                return since
            del self.deregistrations[report.instance]
        return self.clock.seconds() if report.state == "draining" else None

    def handle_deregistration(self, instance: str, last_start_ms: int):
        """Drain a server that will stop or has stopped.

        Applies to starts of the instance up to ``last_start_ms``, in Unix
        milliseconds.
        """
        self.drain(instance, last_start_ms, since=self.clock.seconds())

    def drain(self, instance: str, last_start_ms: int, *, since: float):
        """Drain a server that has been draining from ``since`` on."""
        while len(self.deregistrations) >= MAX_DEREGISTRATIONS:
            del self.deregistrations[next(iter(self.deregistrations))]
        known_since, known_start_ms = self.deregistrations.pop(
            instance, (since, 0)
        )
        since = min(since, known_since)
        self.deregistrations[instance] = (
            since,
            max(last_start_ms, known_start_ms),
        )
        report = self.report
        if (
            report is not None
            and report.instance == instance
            and report.start_ms <= last_start_ms
            and (
                self.draining_since is None
                or since < self.draining_since - DRAIN_RESOLUTION_SECONDS
            )
        ):
            self.draining_since = since
            log.info("server leaves", extra={"instance": instance})
            self.on_change()

    # What other nodes know from before a restart of this node.

    def recall(self, terms: ServerTerms):
        """Obey terms that this node announced before a restart.

        A rate limit counts until the server has answered a request.
        """
        incarnation = terms.instance, terms.start_ms
        remaining = terms.drain_remaining_seconds
        if remaining is not None:
            now = self.clock.seconds()
            since = min(now, now + remaining - self.drain_limit())
            self.drain(*incarnation, since=since)
        if terms.rate_limit is not None and not self.responded:
            while len(self.recalled_rates) >= MAX_RECALLED_RATES:
                del self.recalled_rates[next(iter(self.recalled_rates))]
            self.recalled_rates[incarnation] = terms.rate_limit
            self.apply_recalled_rate()

    def apply_recalled_rate(self):
        """Use the recalled rate limit of the reported server, if any."""
        if self.report is None or self.responded:
            return
        rate = self.recalled_rates.get(self.report.incarnation)
        if rate is not None:
            self.apply_rate_limit(rate, source="peer")

    # Responses.

    def handle_response(
        self, incarnation: tuple[str, int], response: ServerResponse
    ):
        """Obey what the server states in its response to a request.

        ``incarnation`` is that of the server when it got the request.
        """
        if response.status == 421 or incarnation != self.report.incarnation:
            return
        if response.load is not None:
            self.concurrency.record_load(response.load)
        # A response that another program made does not lift the limit.
        if response.rate_limit is not None or response.signature:
            self.responded = True
            self.apply_rate_limit(response.rate_limit, source="server")
        if response.leaving:
            self.handle_deregistration(*incarnation)

    def apply_rate_limit(self, rate: float | None, *, source: str):
        """Use a rate limit that was stated, or none.

        Small changes are neither logged nor announced. A change soon after an
        announced one is announced with a later response.
        """
        now = self.clock.seconds()
        self.limiter.set_rate(rate)
        rate, before = self.limiter.rate, self.announced_rate
        if rate == before or (
            rate is not None
            and before is not None
            and abs(rate - before) <= ANNOUNCED_RATE_CHANGE * before
        ):
            return
        if now - self.announced_at < RATE_ANNOUNCEMENT_SECONDS:
            return
        self.announced_rate, self.announced_at = rate, now
        log.info(
            "server limit",
            extra={
                "instance": self.report.instance,
                "per_second": rate,
                "before": before,
                "source": source,
            },
        )
        self.on_change()

    def connect_failed(self):
        """Send nothing for a while after a refused connection."""
        now = self.clock.seconds()
        if now >= self.down_until:
            log.warning("server takes no connection")
            self.down_until = now + RECONNECT_DELAY_SECONDS
            self.clock.callLater(RECONNECT_DELAY_SECONDS, self.on_change)
            self.on_change()

    # The state now.

    @property
    def state(self) -> str:
        """The state of the server: ready, draining or absent."""
        if self.report is None:
            return "absent"
        now = self.clock.seconds()
        if self.draining_since is not None:
            if now >= self.drain_deadline():
                return "absent"
            return "draining"
        return "ready" if now >= self.down_until else "absent"

    def drain_deadline(self) -> float:
        """Return until when a draining server may get requests."""
        return self.draining_since + self.drain_limit()

    def drain_limit(self) -> float:
        """Return how long a server may get requests once it drains."""
        return max(0.0, self.drain_seconds - DRAIN_MARGIN_SECONDS)

    def terms(self) -> ServerTerms | None:
        """Return what the server has asked of its callers."""
        report = self.report
        if report is None:
            return None
        return ServerTerms(
            report.instance,
            report.start_ms,
            self.limiter.rate,
            self.drain_remaining_seconds(),
        )

    def drain_remaining_seconds(self) -> float | None:
        """Return how long a draining server may still get requests.

        Negative once that time has passed, None if it is not draining.
        """
        if self.draining_since is None:
            return None
        return self.drain_deadline() - self.clock.seconds()
