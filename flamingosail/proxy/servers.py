"""Backend servers as the nodes that send to them see them."""

from flamingosail.proxy.gate import Gate
from flamingosail.proxy.job import Job

__all__ = ["LocalServer", "RemoteServer"]

# About the last ten calls decide.
FAILURE_SMOOTHING = 0.1


class RemoteServer:
    """A backend server as the nodes that send to it see it.

    ``room``, ``running`` and ``waiting`` are those of its gate at the last
    message; ``sent`` counts this node's own calls that are not ended, and
    ``failures`` is the share of the last ones that failed.
    """

    local = False

    def __init__(self):
        self.state = "absent"
        self.service = ""
        self.instance = ""
        self.room = 0
        self.running = 0
        self.waiting = 0
        self.sent = 0
        self.sent_at_report = 0
        self.failures = 0.0
        self.cold_until = 0.0
        self.failure_domain = ""

    def take_report(self, running: int, waiting: int, room: int):
        """Note the load that the gate reported."""
        self.running = running
        self.waiting = waiting
        self.room = room
        self.sent_at_report = self.sent

    def note_outcome(self, failed: bool):
        """Take in how a call ended."""
        self.failures += FAILURE_SMOOTHING * (failed - self.failures)

    def load(self) -> float:
        """Return the requests at the server, with those on their way."""
        on_the_way = self.sent - self.sent_at_report
        return self.running + self.waiting + max(0, on_the_way)


class LocalServer(RemoteServer):
    """The server beside this node, reached without a connection."""

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
        """Take over the state of the gate."""
        report = self.gate.report
        self.state = self.gate.state
        self.room = self.gate.room
        if report is not None:
            self.service = report.service
            self.instance = report.instance
            self.cold_until = report.cold_until

    def call(self, attempt, fields: dict):
        """Take a call to the gate."""
        job = Job(
            request_id=fields["request_id"],
            service=fields["service"],
            line=fields["line"],
            head=fields["head"],
            body=fields["body"],
            deadline=self.gate.clock.seconds() + fields["left_ms"] / 1000,
            idempotent=fields["idempotent"],
            origin=fields["origin"],
            rank=fields["rank"],
            repeat=fields["repeat"],
            on_end=lambda job, *end: attempt.ended(*end),
        )
        attempt.connection = job
        self.gate.take(job)

    def cancel(self, attempt):
        """Drop a call that nobody waits for."""
        self.gate.cancel(attempt.connection)
