"""The choice of a backend server for a request.

Answers the pattern of servers that differ in speed and distance: the nearest
server with room is taken, and the least loaded one when none has room.
"""

from collections.abc import Collection
from collections.abc import Iterable
from random import Random

from flamingosail.proxy.peers import RemoteServer

__all__ = ["Balance"]

# Above this share of its room a near server is not preferred to far ones.
NEAR_FILL = 0.7
# A server that failed lately is taken only if no other can be.
FAILED_SECONDS = 1.0


class Balance:
    """Chooses among the servers of one service."""

    def __init__(self, *, clock, random: Random, failure_domain: str):
        self.clock = clock
        self.random = random
        self.failure_domain = failure_domain

    def choose(
        self,
        servers: Iterable[RemoteServer],
        excluded: Collection[RemoteServer] = (),
    ) -> RemoteServer | None:
        """Return the server for the next request, None if there is none."""
        best = None
        best_cost = float("inf")
        now = self.clock.seconds()
        for server in servers:
            if server in excluded or not server.usable or not server.room:
                continue
            cost = self.cost(server, now)
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def cost(self, server: RemoteServer, now: float) -> float:
        """Return a cost without unit; the lowest is chosen.

        The whole part ranks kinds of servers, the fraction the fill.
        """
        fill = (server.load() + self.random.random()) / server.room
        cost = fill
        if server.state != "ready":
            cost += 100.0
        if server.cold_until > now:
            cost += fill
        if (
            server.failure_domain != self.failure_domain
            or fill > NEAR_FILL
        ):
            cost += 1.0
        return cost
