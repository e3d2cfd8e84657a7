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

from flamingosail.proxy.decisions import DecisionLog
from flamingosail.proxy.dialect import Dialect
from flamingosail.proxy.job import Job
from flamingosail.proxy.nodemetrics import NodeMetrics
from flamingosail.proxy.policy.crashes import CrashRecorder
from flamingosail.proxy.policy.crashwatch import CrashWatch
from flamingosail.proxy.policy.overload import LoadMeter
from flamingosail.proxy.policy.quarantine import Quarantine
from flamingosail.proxy.policy.quarantine import Verdict
from flamingosail.proxy.shared.serverstate import ServerState
from flamingosail.proxy.timeouts import Timeouts
from flamingosail.proxy.transport.backendserver import CONNECTION_LOST
from flamingosail.proxy.transport.backendserver import ServerRequest
from flamingosail.proxy.transport.backendserver import ServerResponse
from flamingosail.proxy.transport.hop import Outcome
from flamingosail.proxy.transport.serverpool import ServerPool

__all__ = ["CHILD_CALL_FAILED", "Gate", "QUARANTINED"]

# Less time than this does not cover a round trip to the server and the
# shortest work.
MIN_REMAINING_SECONDS = 0.004
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
# Queued requests under a rate limit are sent at most this often, those that
# are due in between together.
MIN_PACE_SECONDS = 0.01

# Statuses by which callers know that a request did not run. Without a refusal
# of the server that names the request, they are not passed on.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

# Names of outcomes in the log and in the metric ``gate_ends``.
OUTCOME_NAMES = {
    Outcome.ANSWERED: "answered",
    Outcome.REFUSED: "refused",
    Outcome.LOST: "lost",
    Outcome.SHED: "shed",
    Outcome.QUARANTINED: "quarantined",
}
# Reason sent with an error response if a call that the server made for the
# request failed; the calling node does not count it against the server.
CHILD_CALL_FAILED = "a call of the server failed"
# Reason of requests that are not sent because servers crashed that ran them.
QUARANTINED = "the request crashes servers"

log = Logger("proxy.gate")


class Gate:
    """Admits, queues and dispatches requests to one backend server.

    ``server`` holds what is known of the server. ``expected_seconds`` returns
    the mean time of the calls of a root route at a service, None if it is not
    known. ``queue`` is a heap ordered by rank, deadline and arrival,
    ``waiting`` the number of its jobs that were neither cancelled nor timed
    out, and ``paced_dispatch`` the timer that sends the next of them under a
    rate limit of the server. ``suspect`` is the request at the server that ran
    when a server crashed, if any, and ``held`` are those that wait for its
    end.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        server: ServerState,
        pool: ServerPool,
        dialect: Dialect,
        meter: LoadMeter,
        metrics: NodeMetrics,
        quarantine: Quarantine,
        expected_seconds: Callable[[int, str], float | None],
    ):
        self.clock = clock
        self.quarantine = quarantine
        self.crashes = CrashRecorder(
            clock=clock, server=server, quarantine=quarantine, metrics=metrics
        )
        self.crash_watch = CrashWatch(
            clock=clock, pool=pool, on_result=self.handle_lost
        )
        self.suspect: Job | None = None
        self.held: list[Job] = []
        self.server = server
        self.expected_seconds = expected_seconds
        self.pool = pool
        self.dialect = dialect
        self.meter = meter
        self.metrics = metrics
        self.decisions = DecisionLog(clock=clock, channel="proxy.gate")
        self.closed = False
        self.running: dict[bytes, Job] = {}
        self.queue: list = []
        self.arrivals = count()
        self.waiting = 0
        self.service_seconds = INITIAL_SERVICE_SECONDS
        self.paced_dispatch = None
        self.timeouts = Timeouts(clock=clock, on_due=self.handle_timeout)

    @property
    def usable_slots(self) -> int:
        """Slots of the server that requests may use at most."""
        if self.server.report is None:
            return 0
        return max(1, int(self.server.report.slots * USABLE_SLOT_FRACTION))

    @property
    def max_running(self) -> int:
        """Requests that may run at a time."""
        if self.server.report is None:
            return 0
        return self.server.concurrency.limit(self.usable_slots)

    @property
    def max_running_now(self) -> int:
        """``max_running``, or less while a lower limit is measured."""
        return self.server.concurrency.limit_now(self.usable_slots)

    @property
    def capacity(self) -> int:
        """Slots that requests can use; ``room`` in logs and metrics.

        Under a rate limit, the rate times the mean time of a request.
        """
        rate = self.server.limiter.effective_rate
        if rate is None:
            return self.max_running
        return min(
            self.max_running, max(1, round(rate * self.service_seconds))
        )

    def expected_wait(self) -> float:
        """Return the seconds until one more queued request is sent."""
        wait = (self.waiting + 1) * self.service_seconds / self.max_running
        rate = self.server.limiter.effective_rate
        if rate is not None:
            wait = max(wait, (self.waiting + 1) / rate)
        return wait

    def can_dispatch(self) -> bool:
        """Return whether the server may get a request now.

        What is sent to a server that has just crashed is lost as well.
        """
        return (
            len(self.running) < self.max_running_now
            and self.server.limiter.delay() <= 0.0
            and not self.crash_watch.pending
        )

    # Requests.

    def submit(self, job: Job):
        """Dispatch, queue or refuse a request."""
        reason = self.refusal_reason(job)
        if reason:
            self.fail(job, Outcome.REFUSED, reason)
            return
        if not self.waiting and self.can_dispatch():
            self.dispatch_unless_suspect(job)
            return
        self.enqueue(job)
        self.timeouts.add(job.deadline - MIN_REMAINING_SECONDS, job)
        self.schedule_dispatch()

    def enqueue(self, job: Job):
        """Add a request to the queue."""
        heappush(
            self.queue, (job.rank, job.deadline, next(self.arrivals), job)
        )
        self.waiting += 1

    def dispatch_unless_suspect(self, job: Job):
        """Send a request to the server, if no crash speaks against it.

        Two suspects never run at the same time: if the server crashed, it
        would not be known which of them is to blame.
        """
        if not self.quarantine.suspects:
            self.dispatch(job)
            return
        verdict = self.quarantine.verdict(job.identify())
        if verdict is Verdict.QUARANTINED:
            self.fail(job, Outcome.QUARANTINED, QUARANTINED)
        elif verdict is Verdict.CLEAR:
            self.dispatch(job)
        elif self.suspect is None:
            job.is_suspect = True
            self.suspect = job
            self.dispatch(job)
        elif (
            len(self.held) + 1
        ) * self.service_seconds > job.deadline - self.clock.seconds():
            self.fail(job, Outcome.REFUSED, "too many suspects wait")
        else:
            job.held = True
            self.held.append(job)
            self.timeouts.add(job.deadline - MIN_REMAINING_SECONDS, job)

    def refusal_reason(self, job: Job) -> str:
        """Return why a request is refused; empty if it is accepted."""
        report = self.server.report
        if report is None:
            return "no server is known"
        if self.closed:
            return "the node stops"
        if job.request_id in self.running:
            return "a request with this id is running"
        reason = self.mismatch_reason(job)
        if reason:
            return reason
        remaining = job.deadline - self.clock.seconds()
        if remaining < MIN_REMAINING_SECONDS:
            return "too little time is left"
        if (
            self.waiting or not self.can_dispatch()
        ) and self.expected_wait() > remaining - MIN_REMAINING_SECONDS:
            return "the queue is too long"
        return ""

    def mismatch_reason(self, job: Job) -> str:
        """Return why the server cannot get a request; empty if it can.

        The server may have changed while the request was queued.
        """
        if self.server.report.service != job.service:
            return "the server belongs to another service"
        if self.server.state == "absent":
            return "the server is leaving or down"
        return ""

    def dispatch(self, job: Job):
        """Send a request to the server."""
        now = self.clock.seconds()
        job.started = now
        job.incarnation = self.server.report.incarnation
        self.running[job.request_id] = job
        job.running_at_start = len(self.running)
        if self.server.concurrency.enabled:
            self.server.concurrency.record_use(
                job.running_at_start, self.usable_slots
            )
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
                self.server.report.instance.encode("latin-1", "replace"),
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
        self.server.limiter.record_request()
        self.metrics.count("server_requests", request_kind(job))
        self.pool.send(request)

    def handle_end(
        self, job: Job, response: ServerResponse | None, reason: str
    ):
        """Handle the response to a request, or its failure if None."""
        now = self.clock.seconds()
        concurrency = (job.running_at_start + len(self.running)) / 2
        self.release_slot(job, now)
        if response is not None:
            self.server.handle_response(job.incarnation, response)
        if response is None:
            if reason == CONNECTION_LOST:
                job.identify()
                self.crash_watch.add(job)
            elif job.request.written:
                self.fail(job, Outcome.LOST, reason)
            else:
                if self.crashes.recently_abandoned():
                    self.crash_watch.check()
                self.server.connect_failed()
                self.fail(job, Outcome.REFUSED, reason)
        elif response.not_executed and response.status == 421:
            log.warning(
                "another server has the address",
                extra={
                    "expected": self.server.report
                    and self.server.report.instance,
                    "answered": response.instance,
                },
            )
            self.fail(job, Outcome.SHED, "another server has the address")
        elif response.not_executed:
            self.server.concurrency.record_rejected(
                concurrency=concurrency, slots=self.usable_slots
            )
            self.meter.record_rejection()
            self.fail(job, Outcome.SHED, "the server refused the request")
        elif not response.signature and response.status < 300:
            self.fail(job, Outcome.LOST, "the answer is not the server's")
        elif response.status in NOT_RUN_STATUSES:
            self.fail(
                job, Outcome.LOST, "the server may have run what it refuses"
            )
        else:
            seconds = now - job.started
            self.metrics.observe_server(seconds)
            self.service_seconds += SERVICE_TIME_SMOOTHING * (
                seconds - self.service_seconds
            )
            if response.status < 500 and self.quarantine.suspects:
                self.quarantine.clear(job.identify(), reason="answered")
            if response.status < 500 and not job.child_call_failed:
                self.record_speed(job, seconds, concurrency)
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

    def handle_lost(self, jobs: list[Job], crashed: bool):
        """End requests whose connection ended without a response.

        A server that leaves has not crashed.
        """
        crashed = crashed and self.server.draining_since is None
        if crashed:
            self.server.connect_failed()
            self.crashes.record(jobs)
        for job in jobs:
            if not job.done:
                self.fail(
                    job,
                    Outcome.LOST,
                    "the server crashed" if crashed else CONNECTION_LOST,
                )
        self.dispatch_queued()

    def record_speed(self, job: Job, seconds: float, concurrency: float):
        """Compare the duration of a served request with the expected one.

        ``concurrency`` is the mean number of requests that ran meanwhile.

        Failures are left out: a server that fails at once is not fast.
        """
        expected = self.expected_seconds(job.root_route, job.service)
        if expected:
            self.server.speed.record(seconds, expected)
        if self.server.concurrency.enabled:
            self.server.concurrency.record_served(
                job.root_route,
                seconds=seconds,
                own_seconds=job.own_seconds(job.started + seconds),
                concurrency=concurrency,
                slots=self.usable_slots,
            )

    def release_slot(self, job: Job, now: float):
        """Free the slot of a request and record how long it was in use."""
        if self.running.get(job.request_id) is job:
            del self.running[job.request_id]
            self.meter.record_call(job.root_route, now - job.started)
        if self.suspect is job:
            self.suspect = None
            held, self.held = self.held, []
            for waiting in held:
                if not waiting.done:
                    waiting.held = False
                    self.enqueue(waiting)

    def schedule_dispatch(self):
        """Dispatch queued requests when the rate limit permits the next."""
        if (
            self.paced_dispatch is None
            and self.server.limiter.rate is not None
        ):
            self.paced_dispatch = self.clock.callLater(
                max(MIN_PACE_SECONDS, self.server.limiter.delay()),
                self.dispatch_paced,
            )

    def dispatch_paced(self):
        """Dispatch the queued requests that the rate limit permits now."""
        self.paced_dispatch = None
        self.dispatch_queued()

    def dispatch_queued(self):
        """Dispatch queued requests in order while the server may get some."""
        if self.crash_watch.pending:
            return
        while self.queue and len(self.running) < self.max_running_now:
            if self.queue[0][3].done:
                heappop(self.queue)
                continue
            if self.server.limiter.delay() > 0.0:
                self.schedule_dispatch()
                return
            job = heappop(self.queue)[3]
            self.waiting -= 1
            reason = self.mismatch_reason(job)
            if reason:
                self.fail(job, Outcome.REFUSED, reason)
            elif job.deadline - self.clock.seconds() < MIN_REMAINING_SECONDS:
                self.fail(job, Outcome.REFUSED, "the time is over")
            else:
                self.dispatch_unless_suspect(job)

    def refuse_queued(self, reason: str):
        """Refuse the requests that were not sent to the server."""
        while self.queue:
            job = heappop(self.queue)[3]
            if not job.done:
                self.waiting -= 1
                self.fail(job, Outcome.REFUSED, reason)
        held, self.held = self.held, []
        for job in held:
            if not job.done:
                self.fail(job, Outcome.REFUSED, reason)

    def handle_timeout(self, job: Job):
        """End a queued or dispatched request whose time is over."""
        if job.request is None:
            self.remove_waiting(job)
            self.fail(job, Outcome.REFUSED, "the time is over")
        elif job.deadline + RESPONSE_GRACE_SECONDS <= self.clock.seconds():
            self.release_slot(job, self.clock.seconds())
            written = job.request.written
            self.crashes.abandon(job)
            outcome = Outcome.LOST if written else Outcome.REFUSED
            self.fail(job, outcome, "the server did not answer in time")
            self.dispatch_queued()

    def remove_waiting(self, job: Job):
        """Remove a request that is queued or held."""
        if job.held:
            self.held.remove(job)
        else:
            self.waiting -= 1

    def cancel(self, job: Job):
        """Drop a request that was cancelled.

        A non-idempotent request that was sent continues: aborting it half
        way gains nothing.
        """
        if job.done:
            return
        if job.request is None:
            self.remove_waiting(job)
            job.end()
        elif job.idempotent or not job.request.written:
            self.release_slot(job, self.clock.seconds())
            self.crashes.abandon(job)
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
                "instance": self.server.report.instance
                if self.server.report
                else "",
                "server_state": self.server.state,
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


def request_kind(job: Job) -> str:
    """Return the label of a request in the metric ``server_requests``."""
    if job.is_retry:
        return "retry"
    return "root" if job.rank % 2 else "call"
