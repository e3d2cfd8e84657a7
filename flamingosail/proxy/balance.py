"""The choice of a backend server for a request.

Answers the pattern of servers that differ in speed and distance: the nearest
server with room is taken, and the least loaded one when none has room.

What a node knows of a server's load is up to a second old. If all nodes took
the server that looks best, they would all take the same one until their news
change; each compares a few drawn at random instead, and looks at all only if
those are full.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from itertools import chain
from random import Random

from flamingosail.proxy.servers import RemoteServer

__all__ = ["Balance", "ServerGroup"]

# Costs are in seconds of latency. A far server is worth its bytes between
# failure domains if it saves this much waiting.
FAR_SECONDS = 0.06
# How many servers are compared at first; above two, more candidates gain
# little and see older news (Mitzenmacher, "How useful is old information?").
NEAR_CANDIDATES = 4
FAR_CANDIDATES = 8
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


class ServerGroup:
    """The servers of one service, by their distance."""

    def __init__(self, servers: Iterable[RemoteServer], failure_domain: str):
        self.near: list[RemoteServer] = []
        self.far: list[RemoteServer] = []
        for server in servers:
            own = server.failure_domain == failure_domain
            (self.near if own else self.far).append(server)

    def __iter__(self) -> Iterator[RemoteServer]:
        return chain(self.near, self.far)


class Balance:
    """Chooses among the servers of one service."""

    def __init__(self, *, clock, random: Random, failure_domain: str):
        self.clock = clock
        self.random = random
        self.failure_domain = failure_domain

    def choose(
        self,
        servers: ServerGroup,
        excluded: Collection[RemoteServer] = (),
    ) -> RemoteServer | None:
        """Return the server for the next request, None if there is none.

        Far servers are not looked at if a near one costs less than the
        distance alone.
        """
        now = self.clock.seconds()
        best, cost = self.cheapest(
            self.some(servers.near, NEAR_CANDIDATES), excluded, now
        )
        if cost >= FAR_SECONDS and len(servers.near) > NEAR_CANDIDATES:
            best, cost = self.cheapest(servers.near, excluded, now)
        if cost >= FAR_SECONDS:
            far, far_cost = self.cheapest(
                self.some(servers.far, FAR_CANDIDATES), excluded, now
            )
            if far_cost < cost:
                best = far
        if best is None:
            best, _ = self.cheapest(servers.far, excluded, now)
        return best

    def some(
        self, servers: list[RemoteServer], count: int
    ) -> list[RemoteServer]:
        """Return so many of the servers at random."""
        if len(servers) <= count:
            return servers
        return self.random.sample(servers, count)

    def cheapest(
        self,
        servers: Iterable[RemoteServer],
        excluded: Collection[RemoteServer],
        now: float,
    ) -> tuple[RemoteServer | None, float]:
        """Return the server that costs least, and its cost."""
        best, best_cost = None, float("inf")
        for server in servers:
            if not server.capacity or server in excluded:
                continue
            cost = self.cost(server, now)
            if cost < best_cost and server.usable:
                best, best_cost = server, cost
        return best, best_cost

    def cost(self, server: RemoteServer, now: float) -> float:
        """Return the seconds that a choice costs; the lowest is chosen."""
        load = server.load() + self.random.random()
        room = server.capacity
        waiting = max(0.0, load + 1 - FREE_SHARE * room)
        cost = (waiting / room) * WAIT_SECONDS + (load / room) * FILL_SECONDS
        cost += server.failure_rate * FAILURE_SECONDS
        if server.state != "ready":
            cost += LEAVING_SECONDS
        if server.cold_until > now:
            cost += (load / room) * COLD_SECONDS
        if server.failure_domain != self.failure_domain:
            cost += FAR_SECONDS
        return cost
