"""The choice of a backend server for a request.

Answers the pattern of servers that differ in speed and distance: the nearest
server with room is taken, and the least loaded one when none has room.
"""

from collections.abc import Collection
from collections.abc import Iterable
from random import Random

from flamingosail.proxy.servers import RemoteServer

__all__ = ["Balance", "nearest_first"]

# Costs are in seconds of latency. A far server is worth its bytes between
# failure domains if it saves this much waiting.
FAR_SECONDS = 0.06
# What a request waits if as many wait before it as the server has slots.
WAIT_SECONDS = 0.06
# Requests arrive at random, so the last slots are seldom free.
FREE_SHARE = 0.95
# Spreads requests over servers that are not full.
FILL_SECONDS = 0.01
# A server that fails at once looks idle; failing calls must not flow there.
FAILURE_SECONDS = 0.3
# A server that leaves is taken only if there is no other.
LEAVING_SECONDS = 100.0
# Work takes longer at a server that has just started.
COLD_SECONDS = 0.1


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
        """Return the server for the next request, None if there is none.

        ``servers`` is sorted by ``nearest_first``. The far ones are not
        looked at if a near one costs less than the distance alone.
        """
        best = None
        best_cost = float("inf")
        now = self.clock.seconds()
        for server in servers:
            if (
                best_cost < FAR_SECONDS
                and server.failure_domain != self.failure_domain
            ):
                break
            if not server.room or server in excluded:
                continue
            cost = self.cost(server, now)
            if cost < best_cost and server.usable:
                best, best_cost = server, cost
        return best

    def cost(self, server: RemoteServer, now: float) -> float:
        """Return the seconds that a choice costs; the lowest is chosen."""
        load = server.load() + self.random.random()
        room = server.room
        waiting = max(0.0, load + 1 - FREE_SHARE * room)
        cost = (waiting / room) * WAIT_SECONDS + (load / room) * FILL_SECONDS
        cost += server.failures * FAILURE_SECONDS
        if server.state != "ready":
            cost += LEAVING_SECONDS
        if server.cold_until > now:
            cost += (load / room) * COLD_SECONDS
        if server.failure_domain != self.failure_domain:
            cost += FAR_SECONDS
        return cost


def nearest_first(
    servers: Iterable[RemoteServer], failure_domain: str
) -> list[RemoteServer]:
    """Return the servers in the order that ``Balance.choose`` needs."""
    return sorted(
        servers, key=lambda server: server.failure_domain != failure_domain
    )
