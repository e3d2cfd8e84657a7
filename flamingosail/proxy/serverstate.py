"""What a node knows of its own backend server.

The node beside a server is the only one that hears its reports, and all its
responses pass by that node. Its knowledge is what all other nodes are told.
"""

from collections.abc import Callable

from logbook import Logger
from twisted.internet.interfaces import IReactorTime

from flamingosail.proxy.backendserver import ServerResponse
from flamingosail.proxy.job import ServerReport
from flamingosail.proxy.ratelimit import RateLimiter
from flamingosail.proxy.servercheck import ServerCheck
from flamingosail.proxy.speed import SpeedMeter

__all__ = ["ServerState"]

# A draining server gets no requests in the last part of its drain time, since
# a request still has to reach it.
DRAIN_MARGIN_SECONDS = 0.7
# Enough for the deregistered servers of one VM of which a delayed report may
# still arrive.
MAX_DEREGISTRATIONS = 64
# Delay before new requests are sent to a server that refused a connection.
RECONNECT_DELAY_SECONDS = 0.3
# Other nodes are told of a rate limit that changed by more than this share.
ANNOUNCED_RATE_CHANGE = 0.1

log = Logger("proxy.gate")


class ServerState:
    """The state of a server, from its reports and its responses.

    ``drain_seconds`` is the time after a deregistration in which the server
    may still get requests. ``on_change`` is called without arguments when the
    state changes. ``deregistrations`` maps an instance to the time when
    draining began and the latest start to which that applies. ``check`` is
    set while a restarted node has not confirmed that its server still serves.
    ``limiter`` holds the rate that the server stated in its last response and
    ``announced_rate`` the one that was last logged and sent to other nodes.
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
        self.limiter = RateLimiter(clock=clock)
        self.announced_rate: float | None = None

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

    def report_confirmed(self, report: ServerReport):
        """Accept a checked report."""
        self.check = None
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
            self.limiter.set_rate(None)
            self.announced_rate = None
        if self.draining_since is None:
            self.draining_since = self.draining_start(report)
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
        now = self.clock.seconds()
        known = self.report
        while len(self.deregistrations) >= MAX_DEREGISTRATIONS:
            del self.deregistrations[next(iter(self.deregistrations))]
        since, _ = self.deregistrations.pop(instance, (now, 0))
        self.deregistrations[instance] = (since, last_start_ms)
        if (
            known is not None
            and known.instance == instance
            and known.start_ms <= last_start_ms
            and self.draining_since is None
        ):
            self.draining_since = now
            log.info("server leaves", extra={"instance": instance})
            self.on_change()

    # Responses.

    def handle_response(
        self, incarnation: tuple[str, int], response: ServerResponse
    ):
        """Obey what the server states in its response to a request.

        ``incarnation`` is that of the server when it got the request.
        """
        if response.status == 421 or incarnation != self.report.incarnation:
            return
        self.apply_rate_limit(response)
        if response.leaving:
            self.handle_deregistration(*incarnation)

    def apply_rate_limit(self, response: ServerResponse):
        """Obey the rate limit that the server states, if any.

        Small changes are neither logged nor announced.
        """
        before, rate = self.announced_rate, response.rate_limit
        self.limiter.set_rate(rate)
        if rate == before or (
            rate is not None
            and before is not None
            and abs(rate - before) <= ANNOUNCED_RATE_CHANGE * before
        ):
            return
        self.announced_rate = rate
        log.info(
            "server limit",
            extra={
                "instance": self.report.instance,
                "per_second": rate,
                "before": before,
                "status": response.status,
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
        return self.draining_since + max(
            0.0, self.drain_seconds - DRAIN_MARGIN_SECONDS
        )

    def drain_remaining_seconds(self) -> float | None:
        """Return how long a draining server may still get requests.

        Negative once that time has passed, None if it is not draining.
        """
        if self.draining_since is None:
            return None
        return self.drain_deadline() - self.clock.seconds()
