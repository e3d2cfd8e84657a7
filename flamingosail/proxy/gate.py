"""The one way to the backend server of this VM.

All requests of all nodes for the server pass here. That makes local what
would need agreement otherwise: the server's concurrency, the order of those
that wait, the end of its work when it leaves, and the proof that a request
did not run.
"""

from collections.abc import Callable
from heapq import heappop
from heapq import heappush
from itertools import count

from logbook import Logger
from twisted.internet.interfaces import IReactorTime

from flamingosail.proxy.backendserver import ServerAnswer
from flamingosail.proxy.backendserver import ServerRequest
from flamingosail.proxy.decisions import DecisionLog
from flamingosail.proxy.dialect import Dialect
from flamingosail.proxy.hop import Outcome
from flamingosail.proxy.job import Job
from flamingosail.proxy.job import ServerReport
from flamingosail.proxy.nodemetrics import NodeMetrics
from flamingosail.proxy.overload import LoadMeter
from flamingosail.proxy.serverpool import ServerPool
from flamingosail.proxy.timeouts import Timeouts

__all__ = ["CALL_FAILED", "Gate"]

# A request with less time left than this cannot be served: one round trip to
# the server and the shortest work.
SHORTEST_SECONDS = 0.004
# Nothing is sent in the last part of the time that an acknowledged leaving
# allows, since the request still has to reach the server.
LEAVING_MARGIN_SECONDS = 0.7
# The server answers at the deadline that it was given; after this much more
# its connection is given up.
ANSWER_GRACE_SECONDS = 0.2
# Servers may slow down when nearly all of their slots are taken, and health
# checks and new connections take slots as well.
SLOT_SHARE = 0.95
SERVICE_TIME_SMOOTHING = 0.05
INITIAL_SERVICE_SECONDS = 0.05
# Methods whose empty body is announced as such (RFC 9110, section 8.6).
BODY_METHODS = (b"PATCH ", b"POST ", b"PUT ")
# Servers that left one VM within the time of a delayed report.
MAX_DEPARTURES = 64
# A server that refuses connections is tried again after this time.
DOWN_SECONDS = 0.3

OUTCOME_NAMES = {
    Outcome.ANSWERED: "answered",
    Outcome.REFUSED: "refused",
    Outcome.LOST: "lost",
    Outcome.SHED: "shed",
}
# The reason given with an answer whose failure is not the server's own.
CALL_FAILED = "a call of the server failed"

log = Logger("proxy.gate")


class Gate:
    """Admits, orders and sends requests to one backend server.

    ``drain_seconds`` is the time after an acknowledged leaving in which the
    server may still get requests. ``on_change`` is called when the state of
    the server changes.
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
    ):
        self.clock = clock
        self.pool = pool
        self.dialect = dialect
        self.meter = meter
        self.metrics = metrics
        self.decisions = DecisionLog(clock=clock, channel="proxy.gate")
        self.drain_seconds = drain_seconds
        self.on_change = on_change
        self.report: ServerReport | None = None
        self.leaving_since: float | None = None
        self.departures: dict[str, tuple[float, int]] = {}
        self.closed = False
        self.down_until = 0.0
        self.running: dict[bytes, Job] = {}
        self.queue: list = []
        self.numbers = count()
        self.waiting = 0
        self.service_seconds = INITIAL_SERVICE_SECONDS
        self.timeouts = Timeouts(clock=clock, on_due=self.timed_out)

    # What the server says.

    def reported(self, report: ServerReport):
        """Take in a report, unless it is older than the last one."""
        known = self.report
        if known is not None and (report.born, report.sequence) <= (
            known.born,
            known.sequence,
        ):
            return
        restarted = known is not None and report.born != known.born
        changed = (
            known is None
            or restarted
            or known.instance != report.instance
            or known.state != report.state
            or self.down_until
        )
        self.report = report
        self.down_until = 0.0
        if restarted:
            self.leaving_since = None
        if self.leaving_since is None:
            self.leaving_since = self.departure_of(report)
        if changed:
            log.info(
                "server reported",
                extra={
                    "instance": report.instance,
                    "service": report.service,
                    "state": self.state,
                    "born": report.born,
                    "sequence": report.sequence,
                    "slots": report.slots,
                },
            )
            self.on_change()

    def departure_of(self, report: ServerReport) -> float | None:
        """Return since when the server of a report leaves, if it does.

        A report that was delayed may arrive after the server has said that
        it leaves, also at a node that has just started and knew no server.
        """
        departure = self.departures.get(report.instance)
        if departure is not None:
            since, last_born = departure
            if report.born <= last_born:
                return since
            del self.departures[report.instance]
        return self.clock.seconds() if report.state == "draining" else None

    def left(self, instance: str, last_born: int):
        """Take in that a server ends soon, or has ended.

        ``last_born`` is the latest start, in Unix milliseconds, for which
        this holds.
        """
        now = self.clock.seconds()
        known = self.report
        while len(self.departures) >= MAX_DEPARTURES:
            del self.departures[next(iter(self.departures))]
        since, _ = self.departures.pop(instance, (now, 0))
        self.departures[instance] = (since, last_born)
        if (
            known is not None
            and known.instance == instance
            and known.born <= last_born
            and self.leaving_since is None
        ):
            self.leaving_since = now
            log.info("server leaves", extra={"instance": instance})
            self.on_change()

    @property
    def state(self) -> str:
        """The state of the server: ready, draining or absent."""
        if self.report is None:
            return "absent"
        now = self.clock.seconds()
        if self.leaving_since is not None:
            if now >= self.last_moment():
                return "absent"
            return "draining"
        return "ready" if now >= self.down_until else "absent"

    def last_moment(self) -> float:
        """Return until when a leaving server may get requests."""
        return self.leaving_since + max(
            0.0, self.drain_seconds - LEAVING_MARGIN_SECONDS
        )

    @property
    def room(self) -> int:
        """How many requests may run at a time."""
        if self.report is None:
            return 0
        return max(1, int(self.report.slots * SLOT_SHARE))

    # Requests.

    def take(self, job: Job):
        """Start a request, let it wait, or refuse it."""
        reason = self.refusal(job)
        if reason:
            self.end(job, Outcome.REFUSED, reason)
            return
        if len(self.running) < self.room:
            self.start(job)
            return
        heappush(self.queue, (job.rank, job.deadline, next(self.numbers), job))
        self.waiting += 1
        self.timeouts.add(job.deadline - SHORTEST_SECONDS, job)

    def refusal(self, job: Job) -> str:
        """Return why a request cannot be taken; empty if it can."""
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
        left = job.deadline - self.clock.seconds()
        if left < SHORTEST_SECONDS:
            return "too little time is left"
        if len(self.running) >= self.room:
            wait = (self.waiting + 1) * self.service_seconds / self.room
            if wait > left - SHORTEST_SECONDS:
                return "the queue is too long"
        return ""

    def start(self, job: Job):
        """Hand a request to the server."""
        now = self.clock.seconds()
        job.started = now
        self.running[job.request_id] = job
        left = job.deadline - now
        lines = [
            job.line,
            job.head,
            b"%s: %s\r\n%s: %d\r\n%s: %s\r\n"
            % (
                self.dialect.request_id,
                job.request_id,
                self.dialect.deadline,
                max(1, int(left * 1000)),
                self.dialect.expected_instance,
                self.report.instance.encode("latin-1", "replace"),
            ),
        ]
        if job.body or job.line.startswith(BODY_METHODS):
            lines.append(b"Content-Length: %d\r\n" % len(job.body))
        lines += (b"\r\n", job.body)
        request = job.request = ServerRequest(
            request_id=job.request_id,
            data=b"".join(lines),
            idempotent=job.idempotent,
            is_head=job.line.startswith(b"HEAD "),
            on_end=lambda request, answer, reason: self.ended(
                job, answer, reason
            ),
        )
        self.timeouts.add(job.deadline + ANSWER_GRACE_SECONDS, job)
        self.pool.send(request)

    def ended(self, job: Job, answer: ServerAnswer | None, reason: str):
        """Take in the end of a request at the server."""
        now = self.clock.seconds()
        self.stop_counting(job, now)
        if answer is None:
            if job.request.written:
                self.end(job, Outcome.LOST, reason)
            else:
                self.connect_failed(now)
                self.end(job, Outcome.REFUSED, reason)
        elif answer.not_executed:
            self.end(job, Outcome.SHED, "the server refused the request")
        elif answer.status == 421:
            log.warning(
                "another server has the address",
                extra={
                    "expected": self.report and self.report.instance,
                    "answered": answer.instance,
                },
            )
            self.end(job, Outcome.SHED, "another server has the address")
        elif not answer.proof and answer.status < 300:
            self.end(job, Outcome.LOST, "the answer is not the server's")
        else:
            seconds = now - job.started
            self.metrics.observe_server(seconds)
            self.service_seconds += SERVICE_TIME_SMOOTHING * (
                seconds - self.service_seconds
            )
            self.finish(
                job,
                Outcome.ANSWERED,
                answer.status,
                answer.proof,
                answer.head,
                answer.body,
                CALL_FAILED if job.call_failed else "",
            )
        self.start_next()

    def stop_counting(self, job: Job, now: float):
        """Note that a request no longer takes a slot of the server."""
        if self.running.get(job.request_id) is job:
            del self.running[job.request_id]
        self.meter.record_call(job.origin, now - job.started)

    def connect_failed(self, now: float):
        """Send nothing for a while to a server that takes no connection."""
        if now >= self.down_until:
            log.warning("server takes no connection")
            self.down_until = now + DOWN_SECONDS
            self.clock.callLater(DOWN_SECONDS, self.on_change)
            self.on_change()

    def start_next(self):
        """Start requests that wait, the most important first."""
        while self.queue and len(self.running) < self.room:
            job = heappop(self.queue)[3]
            if job.done:
                continue
            self.waiting -= 1
            if self.state == "absent":
                self.end(job, Outcome.REFUSED, "the server is leaving or down")
            elif job.deadline - self.clock.seconds() < SHORTEST_SECONDS:
                self.end(job, Outcome.REFUSED, "the time is over")
            else:
                self.start(job)

    def timed_out(self, job: Job):
        """End a request whose deadline has passed."""
        if job.request is None:
            self.waiting -= 1
            self.end(job, Outcome.REFUSED, "the time is over")
        elif job.deadline + ANSWER_GRACE_SECONDS <= self.clock.seconds():
            self.stop_counting(job, self.clock.seconds())
            written = job.request.written
            job.request.abandon()
            outcome = Outcome.LOST if written else Outcome.REFUSED
            self.end(job, outcome, "the server did not answer in time")
            self.start_next()

    def cancel(self, job: Job):
        """Drop a request that nobody waits for.

        Work that may run only once goes on: stopping it half way helps
        nobody.
        """
        if job.done:
            return
        if job.request is None:
            job.done = True
            self.waiting -= 1
        elif job.idempotent or not job.request.written:
            job.done = True
            self.stop_counting(job, self.clock.seconds())
            job.request.abandon()
            self.start_next()

    def end(self, job: Job, outcome: int, reason: str):
        """End a request without an answer of the server."""
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
                "room": self.room,
                "left_ms": round((job.deadline - self.clock.seconds()) * 1000),
            },
        )
        self.finish(job, outcome, 0, b"", b"", b"", reason)

    def finish(self, job: Job, outcome, status, proof, head, body, reason):
        """Report the end of a request once."""
        if not job.done:
            job.done = True
            job.on_end(job, outcome, status, proof, head, body, reason)

    def stop(self):
        """Cancel timers."""
        self.timeouts.stop()
        self.pool.close_idle()
