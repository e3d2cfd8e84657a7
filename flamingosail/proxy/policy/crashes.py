"""Finds out which requests ran when the backend server crashed."""

from collections import deque

from logbook import Logger
from twisted.internet.interfaces import IReactorTime

from flamingosail.proxy.job import Job
from flamingosail.proxy.nodemetrics import NodeMetrics
from flamingosail.proxy.policy.quarantine import Quarantine
from flamingosail.proxy.shared.serverstate import ServerState

__all__ = ["CrashRecorder"]

# A server may run a request on for a moment after its connection was closed.
ABANDONED_SECONDS = 1.0
MAX_ABANDONED = 64
# Limits of the log line about a crash.
MAX_LOGGED_REQUESTS = 64
MAX_LOGGED_BYTES = 200

log = Logger("proxy.gate")


class CrashRecorder:
    """Adds the crashes of one server to the evidence against requests.

    ``abandoned`` are the requests whose connection was closed by this node,
    with the time.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        server: ServerState,
        quarantine: Quarantine,
        metrics: NodeMetrics,
    ):
        self.clock = clock
        self.server = server
        self.quarantine = quarantine
        self.metrics = metrics
        self.abandoned: deque[tuple[float, Job]] = deque(maxlen=MAX_ABANDONED)

    def abandon(self, job: Job):
        """Close the connection of a request; the server may still run it."""
        if job.request.written:
            job.identify()
            self.abandoned.append((self.clock.seconds(), job))
        job.request.abandon()

    def recently_abandoned(self) -> list[Job]:
        """Return requests that the server may still have been running."""
        report = self.server.report
        if report is None:
            return []
        cutoff = self.clock.seconds() - ABANDONED_SECONDS
        return [
            job
            for at, job in self.abandoned
            if at >= cutoff and job.incarnation == report.incarnation
        ]

    def record(self, lost: list[Job]):
        """Record a crash with the requests that were lost in it."""
        jobs = [*lost, *self.recently_abandoned()]
        if not jobs:
            return
        self.abandoned.clear()
        incarnation = jobs[0].incarnation
        blamed = self.request_to_blame(jobs)
        log.warning(
            "server crashed",
            extra={
                "instance": incarnation[0],
                "born": incarnation[1],
                "requests": {
                    f"{job.fingerprint:016x}": (
                        job.request_line[:MAX_LOGGED_BYTES].decode("latin-1")
                    )
                    for job in jobs[:MAX_LOGGED_REQUESTS]
                },
                "blamed": blamed and f"{blamed:016x}",
            },
        )
        self.metrics.count("server_crashes")
        self.quarantine.record_crash(
            incarnation, {job.fingerprint for job in jobs}, blamed
        )

    def request_to_blame(self, jobs: list[Job]) -> int | None:
        """Return the fingerprint of the request that crashed the server.

        It is known if the only suspect among the requests was sent as one, or
        if one of them has crashed other servers before.
        """
        for job in jobs:
            if self.quarantine.quarantined_until(job.fingerprint):
                return job.fingerprint
        suspects = {
            job.fingerprint
            for job in jobs
            if job.fingerprint in self.quarantine.suspects
        }
        retried = {job.fingerprint for job in jobs if job.is_suspect}
        if len(suspects) == 1 and suspects == retried:
            return suspects.pop()
        return None
