"""Concurrency limit and request queue of the backend server of this VM.

Requests from all nodes reach the server only through its gate. The server's
concurrency, the order of its queue, draining, and whether a request provably
did not run are therefore decided locally, without agreement between nodes.
"""

from collections.abc import Callable
from heapq import heappop
from heapq import heappush
from itertools import count

from logbook import Logger
from twisted.internet.interfaces import IReactorTime

from flamingosail.proxy.backendserver import ServerRequest
from flamingosail.proxy.backendserver import ServerResponse
from flamingosail.proxy.decisions import DecisionLog
from flamingosail.proxy.dialect import Dialect
from flamingosail.proxy.hop import Outcome
from flamingosail.proxy.job import Job
from flamingosail.proxy.job import ServerReport
from flamingosail.proxy.nodemetrics import NodeMetrics
from flamingosail.proxy.overload import LoadMeter
from flamingosail.proxy.ratelimit import RateLimiter
from flamingosail.proxy.servercheck import ServerCheck
from flamingosail.proxy.serverpool import ServerPool
from flamingosail.proxy.speed import SpeedMeter
from flamingosail.proxy.timeouts import Timeouts

__all__ = ["CHILD_CALL_FAILED", "Gate"]

# Less time than this does not cover a round trip to the server and the
# shortest work.
MIN_REMAINING_SECONDS = 0.004
# A draining server gets no requests in the last part of its drain time, since
# a request still has to reach it.
DRAIN_MARGIN_SECONDS = 0.7
# The server responds by the deadline in the request; this long after it the
# connection is closed.
RESPONSE_GRACE_SECONDS = 0.2
# Fraction of the announced slots that requests may use: servers may slow down
# when nearly all slots are in use, and health checks and new connections use
# slots as well.
USABLE_SLOT_FRACTION = 0.95
# Weight of the newest sample in the moving average of the service time.
SERVICE_TIME_SMOOTHING = 0.05
INITIAL_SERVICE_SECONDS = 0.05
# Methods that get a Content-Length of 0 with an empty body (RFC 9110,
# section 8.6).
BODY_METHODS = (b"PATCH ", b"POST ", b"PUT ")
# Enough for the deregistered servers of one VM of which a delayed report may
# still arrive.
MAX_DEREGISTRATIONS = 64
# Delay before new requests are sent to a server that refused a connection.
RECONNECT_DELAY_SECONDS = 0.3
# Queued requests under a rate limit are sent at most this often, those that
# are due in between together.
MIN_PACE_SECONDS = 0.01
# Other nodes are told of a rate limit that changed by more than this share.
ANNOUNCED_RATE_CHANGE = 0.1

# Names of outcomes in the log and in the metric ``gate_ends``.
OUTCOME_NAMES = {
    Outcome.ANSWERED: "answered",
    Outcome.REFUSED: "refused",
    Outcome.LOST: "lost",
    Outcome.SHED: "shed",
}
# Reason sent with an error response if a call that the server made for the
# request failed; the calling node does not count it against the server.
CHILD_CALL_FAILED = "a call of the server failed"

log = Logger("proxy.gate")


class Gate:
    """Admits, queues and dispatches requests to one backend server.

    ``drain_seconds`` is the time after a deregistration in which the server
    may still get requests. ``on_change`` is called without arguments when the
    state of the server changes. ``expected_seconds`` returns the mean time of
    the calls of a root route at a service, None if it is not known.
    ``deregistrations`` maps an instance to the time when draining began and
    the latest start to which that applies. ``check`` is set while the gate of
    a restarted node has not confirmed that its server still serves.
    ``limiter`` holds the rate that the server stated in its last response,
    ``announced_rate`` the one that was last logged and sent to other nodes,
    and ``paced_dispatch`` is the timer that sends the next queued request
    under that rate. ``queue`` is a heap ordered by rank, deadline and arrival,
    ``waiting`` the number of its jobs that were neither cancelled nor timed
    out.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        pool: ServerPool,
        dialect: Dialect,
        meter: LoadMeter,
        metrics: NodeMetrics,
        drain_seconds: float,
        on_change: Callable,
        expected_seconds: Callable[[int, str], float | None],
    ):
        self.clock = clock
        self.expected_seconds = expected_seconds
        self.speed = SpeedMeter(clock=clock)
        self.pool = pool
        self.dialect = dialect
        self.meter = meter
        self.metrics = metrics
        self.decisions = DecisionLog(clock=clock, channel="proxy.gate")
        self.drain_seconds = drain_seconds
        self.on_change = on_change
        self.report: ServerReport | None = None
        self.draining_since: float | None = None
        self.deregistrations: dict[str, tuple[float, int]] = {}
        self.closed = False
        self.down_until = 0.0
        self.running: dict[bytes, Job] = {}
        self.queue: list = []
        self.arrivals = count()
        self.waiting = 0
        self.service_seconds = INITIAL_SERVICE_SECONDS
        self.check: ServerCheck | None = None
        self.limiter = RateLimiter(clock=clock)
        self.announced_rate: float | None = None
        self.paced_dispatch = None
        self.timeouts = Timeouts(clock=clock, on_due=self.handle_timeout)

    # Server state.

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

    @property
    def max_running(self) -> int:
        """Requests that may run at a time."""
        if self.report is None:
            return 0
        return max(1, int(self.report.slots * USABLE_SLOT_FRACTION))

    @property
    def capacity(self) -> int:
        """Slots that requests can use; ``room`` in logs and metrics.

        Under a rate limit, the rate times the mean time of a request.
        """
        rate = self.limiter.effective_rate
        if rate is None:
            return self.max_running
        return min(
            self.max_running, max(1, round(rate * self.service_seconds))
        )

    def expected_wait(self) -> float:
        """Return the seconds until one more queued request is sent."""
        wait = (self.waiting + 1) * self.service_seconds / self.max_running
        rate = self.limiter.effective_rate
        if rate is not None:
            wait = max(wait, (self.waiting + 1) / rate)
        return wait

    def can_dispatch(self) -> bool:
        """Return whether the server may get a request now."""
        return (
            len(self.running) < self.max_running
            and self.limiter.delay() <= 0.0
        )

    # Requests.

    def submit(self, job: Job):
        """Dispatch, queue or refuse a request."""
        reason = self.refusal_reason(job)
        if reason:
            self.fail(job, Outcome.REFUSED, reason)
            return
        if not self.waiting and self.can_dispatch():
            self.dispatch(job)
            return
        heappush(
            self.queue, (job.rank, job.deadline, next(self.arrivals), job)
        )
        self.waiting += 1
        self.timeouts.add(job.deadline - MIN_REMAINING_SECONDS, job)
        self.schedule_dispatch()

    def refusal_reason(self, job: Job) -> str:
        """Return why a request is refused; empty if it is accepted."""
        report = self.report
        if report is None:
            return "no server is known"
        if self.closed:
            return "the node stops"
        if job.request_id in self.running:
            return "a request with this id is running"
        if report.service != job.service:
            return "the server belongs to another service"
        if self.state == "absent":
            return "the server is leaving or down"
        remaining = job.deadline - self.clock.seconds()
        if remaining < MIN_REMAINING_SECONDS:
            return "too little time is left"
        if (
            self.waiting or not self.can_dispatch()
        ) and self.expected_wait() > remaining - MIN_REMAINING_SECONDS:
            return "the queue is too long"
        return ""

    def dispatch(self, job: Job):
        """Send a request to the server."""
        now = self.clock.seconds()
        job.started = now
        job.incarnation = self.report.incarnation
        self.running[job.request_id] = job
        remaining = job.deadline - now
        parts = [
            job.request_line,
            job.head,
            b"%s: %s\r\n%s: %d\r\n%s: %s\r\n"
            % (
                self.dialect.request_id,
                job.request_id,
                self.dialect.deadline,
                max(1, int(remaining * 1000)),
                self.dialect.expected_instance,
                self.report.instance.encode("latin-1", "replace"),
            ),
        ]
        if job.body or job.request_line.startswith(BODY_METHODS):
            parts.append(b"Content-Length: %d\r\n" % len(job.body))
        parts += (b"\r\n", job.body)
        request = job.request = ServerRequest(
            request_id=job.request_id,
            data=b"".join(parts),
            idempotent=job.idempotent,
            is_head=job.request_line.startswith(b"HEAD "),
            on_end=lambda request, response, reason: self.handle_end(
                job, response, reason
            ),
        )
        self.timeouts.add(job.deadline + RESPONSE_GRACE_SECONDS, job)
        self.limiter.record_request()
        self.metrics.count(
            "server_requests",
            "retry"
            if job.is_retry
            else "call"
            if job.rank % 2 == 0
            else "root",
        )
        self.pool.send(request)

    def handle_end(
        self, job: Job, response: ServerResponse | None, reason: str
    ):
        """Handle the response to a request, or its failure if None."""
        now = self.clock.seconds()
        self.release_slot(job, now)
        if (
            response is not None
            and response.status != 421
            and job.incarnation == self.report.incarnation
        ):
            self.apply_rate_limit(response)
            if response.leaving:
                self.handle_deregistration(*job.incarnation)
        if response is None:
            if job.request.written:
                self.fail(job, Outcome.LOST, reason)
            else:
                self.connect_failed(now)
                self.fail(job, Outcome.REFUSED, reason)
        elif response.not_executed:
            self.fail(job, Outcome.SHED, "the server refused the request")
        elif response.status == 421:
            log.warning(
                "another server has the address",
                extra={
                    "expected": self.report and self.report.instance,
                    "answered": response.instance,
                },
            )
            self.fail(job, Outcome.SHED, "another server has the address")
        elif not response.signature and response.status < 300:
            self.fail(job, Outcome.LOST, "the answer is not the server's")
        else:
            seconds = now - job.started
            self.metrics.observe_server(seconds)
            self.service_seconds += SERVICE_TIME_SMOOTHING * (
                seconds - self.service_seconds
            )
            if response.status < 500 and not job.child_call_failed:
                self.record_speed(job, seconds)
            self.finish(
                job,
                Outcome.ANSWERED,
                response.status,
                response.signature,
                response.head,
                response.body,
                CHILD_CALL_FAILED if job.child_call_failed else "",
            )
        self.dispatch_queued()

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
                "instance": self.report and self.report.instance,
                "per_second": rate,
                "before": before,
                "status": response.status,
                "running": len(self.running),
                "waiting": self.waiting,
            },
        )
        self.on_change()

    def record_speed(self, job: Job, seconds: float):
        """Compare the duration of a served request with the expected one.

        Failures are left out: a server that fails at once is not fast.
        """
        expected = self.expected_seconds(job.root_route, job.service)
        if expected:
            self.speed.record(seconds, expected)

    def release_slot(self, job: Job, now: float):
        """Free the slot of a request and record how long it was in use."""
        if self.running.get(job.request_id) is job:
            del self.running[job.request_id]
        self.meter.record_call(job.root_route, now - job.started)

    def connect_failed(self, now: float):
        """Pause dispatching after a refused connection."""
        if now >= self.down_until:
            log.warning("server takes no connection")
            self.down_until = now + RECONNECT_DELAY_SECONDS
            self.clock.callLater(RECONNECT_DELAY_SECONDS, self.on_change)
            self.on_change()

    def schedule_dispatch(self):
        """Dispatch queued requests when the rate limit permits the next."""
        if self.paced_dispatch is None and self.limiter.rate is not None:
            self.paced_dispatch = self.clock.callLater(
                max(MIN_PACE_SECONDS, self.limiter.delay()),
                self.dispatch_paced,
            )

    def dispatch_paced(self):
        """Dispatch the queued requests that the rate limit permits now."""
        self.paced_dispatch = None
        self.dispatch_queued()

    def dispatch_queued(self):
        """Dispatch queued requests in order while the server may get some."""
        while self.queue and len(self.running) < self.max_running:
            if self.queue[0][3].done:
                heappop(self.queue)
                continue
            if self.limiter.delay() > 0.0:
                self.schedule_dispatch()
                return
            job = heappop(self.queue)[3]
            self.waiting -= 1
            if self.state == "absent":
                self.fail(
                    job, Outcome.REFUSED, "the server is leaving or down"
                )
            elif job.deadline - self.clock.seconds() < MIN_REMAINING_SECONDS:
                self.fail(job, Outcome.REFUSED, "the time is over")
            else:
                self.dispatch(job)

    def handle_timeout(self, job: Job):
        """End a queued or dispatched request whose time is over."""
        if job.request is None:
            self.waiting -= 1
            self.fail(job, Outcome.REFUSED, "the time is over")
        elif job.deadline + RESPONSE_GRACE_SECONDS <= self.clock.seconds():
            self.release_slot(job, self.clock.seconds())
            written = job.request.written
            job.request.abandon()
            outcome = Outcome.LOST if written else Outcome.REFUSED
            self.fail(job, outcome, "the server did not answer in time")
            self.dispatch_queued()

    def cancel(self, job: Job):
        """Drop a request that was cancelled.

        A non-idempotent request that was sent continues: aborting it half
        way gains nothing.
        """
        if job.done:
            return
        if job.request is None:
            job.end()
            self.waiting -= 1
        elif job.idempotent or not job.request.written:
            self.release_slot(job, self.clock.seconds())
            job.request.abandon()
            job.end()
            self.dispatch_queued()

    def fail(self, job: Job, outcome: int, reason: str):
        """End a request without a response of the server."""
        self.metrics.count("gate_ends", OUTCOME_NAMES[outcome])
        self.decisions.failure(
            "not served",
            lambda: {
                "request": job.request_id.decode("latin-1"),
                "outcome": OUTCOME_NAMES[outcome],
                "reason": reason,
                "instance": self.report.instance if self.report else "",
                "server_state": self.state,
                "running": len(self.running),
                "waiting": self.waiting,
                "room": self.capacity,
                "left_ms": round((job.deadline - self.clock.seconds()) * 1000),
            },
        )
        self.finish(job, outcome, 0, b"", b"", b"", reason)

    def finish(self, job: Job, outcome, status, signature, head, body, reason):
        """Call ``on_end`` of a request once."""
        if not job.done:
            on_end = job.on_end
            job.end()
            on_end(job, outcome, status, signature, head, body, reason)

    def stop(self):
        """Cancel the timers and close idle connections."""
        self.timeouts.stop()
        if self.paced_dispatch is not None:
            self.paced_dispatch.cancel()
            self.paced_dispatch = None
        self.pool.close_idle()
