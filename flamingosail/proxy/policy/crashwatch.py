"""Tells a crash of the backend server from a connection that was lost.

Connections are also reset one by one, servers drop answers, and a server that
leaves closes its connections. A server has crashed if all its connections
closed and it takes no new one.
"""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from flamingosail.proxy.job import Job
from flamingosail.proxy.transport.serverpool import ServerPool

__all__ = ["CrashWatch"]

# The connections of a process that ends close one after the other.
SETTLE_SECONDS = 0.002
# A server of the same VM accepts or refuses a connection at once.
PROBE_TIMEOUT_SECONDS = 0.2


class CrashWatch:
    """Holds lost requests until it is known why they were lost.

    ``on_result`` is called with the requests and whether the server crashed,
    at most ``SETTLE_SECONDS`` and ``PROBE_TIMEOUT_SECONDS`` after the loss.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        pool: ServerPool,
        on_result: Callable[[list[Job], bool], None],
    ):
        self.clock = clock
        self.pool = pool
        self.on_result = on_result
        self.lost: list[Job] = []
        self.probing = False

    @property
    def pending(self) -> bool:
        """Whether it is not known yet if the server has crashed."""
        return self.probing or bool(self.lost)

    def add(self, job: Job):
        """Add a request whose connection ended without a response."""
        self.lost.append(job)
        if len(self.lost) == 1:
            self.clock.callLater(SETTLE_SECONDS, self.check)

    def check(self):
        """Probe the server if it has closed all connections."""
        if self.probing:
            return
        if self.pool.connections:
            self.finish(False)
        else:
            self.probing = True
            self.pool.probe(PROBE_TIMEOUT_SECONDS, self.finish)

    def finish(self, crashed: bool):
        """Report the requests that were lost meanwhile."""
        self.probing = False
        lost, self.lost = self.lost, []
        self.on_result(lost, crashed)
