"""Backend servers from the point of view of a node that calls them."""

from math import inf

from flamingosail.proxy.gate import Gate
from flamingosail.proxy.job import Job

__all__ = ["LocalServer", "RemoteServer", "drain_deadline"]

# Weight of the newest call: about the last ten calls count.
FAILURE_SMOOTHING = 0.1


def drain_deadline(now: float, remaining_seconds: float | None) -> float:
    """Return the time from which a server gets no requests.

    ``remaining_seconds`` is None if the server is not draining.
    """
    return inf if remaining_seconds is None else now + remaining_seconds


class RemoteServer:
    """A backend server that a node can call.

    ``capacity``, ``running`` and ``waiting`` are those of its gate at the
    last message. ``calls_in_flight`` counts the calls of this node, and
    ``failure_rate`` is the fraction of its recent calls that failed.
    ``cold_until`` is the reactor's time until which the server is slow
    because it has just started. ``slowness`` is the time that it takes for a
    request, relative to the mean of its service, and ``run_seconds`` the mean
    time of its requests, 0 if its node does not tell it. From
    ``drain_deadline`` on it gets no requests.
    """

    local = False

    def __init__(self):
        self.state = "absent"
        self.service = ""
        self.instance = ""
        self.capacity = 0
        self.running = 0
        self.waiting = 0
        self.calls_in_flight = 0
        self.in_flight_at_report = 0
        self.failure_rate = 0.0
        self.cold_until = 0.0
        self.slowness = 1.0
        self.run_seconds = 0.0
        self.drain_deadline = inf
        self.failure_domain = ""

    def update_load(self, running: int, waiting: int, capacity: int):
        """Store the load that the gate reported."""
        self.running = running
        self.waiting = waiting
        self.capacity = capacity
        self.in_flight_at_report = self.calls_in_flight

    def record_outcome(self, failed: bool):
        """Update the failure rate."""
        self.failure_rate += FAILURE_SMOOTHING * (failed - self.failure_rate)

    def load(self) -> float:
        """Return the requests at the server and those on their way to it."""
        unreported = self.calls_in_flight - self.in_flight_at_report
        return self.running + self.waiting + max(0, unreported)


class LocalServer(RemoteServer):
    """The backend server of this VM, called through the gate directly."""

    local = True
    usable = True

    def __init__(self, *, gate: Gate, failure_domain: str):
        super().__init__()
        self.gate = gate
        self.failure_domain = failure_domain
        self.address = "local"

    def load(self) -> float:
        """Return the requests at the server."""
        return len(self.gate.running) + self.gate.waiting

    def refresh(self):
        """Copy the state of the gate."""
        report = self.gate.server.report
        self.state = self.gate.server.state
        self.capacity = self.gate.capacity
        self.slowness = self.gate.server.speed.slowness()
        self.run_seconds = self.gate.server.concurrency.run_seconds
        self.drain_deadline = drain_deadline(
            self.gate.clock.seconds(),
            self.gate.server.drain_remaining_seconds(),
        )
        if report is not None:
            self.service = report.service
            self.instance = report.instance
            self.cold_until = report.cold_until

    def call(self, attempt, fields: dict):
        """Submit a call to the gate; ``fields`` are those of ``hop.Call``."""
        job = Job(
            request_id=fields["request_id"],
            service=fields["service"],
            request_line=fields["request_line"],
            head=fields["head"],
            body=fields["body"],
            deadline=self.gate.clock.seconds() + fields["left_ms"] / 1000,
            idempotent=fields["idempotent"],
            root_route=fields["root_route"],
            rank=fields["rank"],
            is_retry=fields["is_retry"],
            on_end=lambda job, *result: attempt.ended(*result),
        )
        attempt.connection = job
        self.gate.submit(job)

    def cancel(self, attempt):
        """Cancel a call."""
        self.gate.cancel(attempt.connection)
