"""Load balancing over the backend servers of a service.

Servers differ in speed and distance. A server in the node's own failure
domain is preferred while it has free slots, a fast one before a slow one;
otherwise the least loaded server is chosen.

A node's view of a server's load is up to a second old. If every node chose
the server that looks best, all would choose the same one until the next
update. Each node therefore compares a few servers drawn at random, and
compares all of them only if the sample is full.

The node of a server that learns how it serves also tells the mean run time of
its requests. Costs at such servers are in run times, and the wait that is
preferred to another failure domain depends on the request: on how much time it
has to spare, and on the bytes that would cross.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain
from random import Random

from flamingosail.proxy.shared.servers import RemoteServer

__all__ = ["LoadBalancer", "RequestNeeds", "ServerGroup"]

# Costs are in seconds of latency. A server in another failure domain is chosen
# if it saves more queueing time than this, in spite of the network traffic.
CROSS_DOMAIN_COST_SECONDS = 0.06
# Size of the random samples. Beyond two, more candidates gain little and rely
# on older load data (Mitzenmacher, "How useful is old information?").
SAME_DOMAIN_CANDIDATES = 4
OTHER_DOMAINS_CANDIDATES = 8
# Queueing time of a request behind as many requests as the server has slots.
QUEUE_COST_SECONDS = 0.06
# Requests arrive at random, so the last slots are seldom free.
USABLE_SLOT_SHARE = 0.95
# Cost at full utilization; spreads requests over servers that are not full. In
# relation to the cost of running, it decides how much more a fast server gets:
# one that is twice as fast as another has up to a quarter of its slots more in
# use.
UTILIZATION_COST_SECONDS = 0.04
# Cost of the time that a request runs at a server of average speed.
RUN_COST_SECONDS = 0.015
# Servers of one service normally differ less than this. Beyond it a server has
# a fault, and the higher cost makes other failure domains preferable.
NORMAL_SLOWNESS = 1.5
SLOW_SERVER_COST_SECONDS = 0.06
# Cost at a failure rate of 1. A server that fails requests at once appears
# idle and would attract more of them.
FAILURE_COST_SECONDS = 0.3
# A draining server is chosen only if there is no other.
DRAINING_COST_SECONDS = 100.0
# Cost at full utilization of a server that has just started and is still slow.
COLD_START_COST_SECONDS = 0.1

# Costs at servers whose run time is known, in run times. The first two decide
# how unequally servers are used below their capacity: one that is twice as
# fast has up to half of its slots more in use.
RUN_WEIGHT = 0.1
UTILIZATION_WEIGHT = 0.15
# Servers of such services differ in speed up to three times, and some are
# slower for spells that end before other nodes have heard of them.
NORMAL_MEAN_SLOWNESS = 1.75
SLOW_SERVER_WEIGHT = 0.3
# A server is worth as much as crossing if this share of its calls fails: a
# failure costs a retry, or a request that may not be repeated.
CROSSING_FAILURE_RATE = 0.2
COLD_START_WEIGHT = 0.4
# A request rather waits in its own failure domain for this share of its slack,
# and no longer than this many run times, so that the queues stay short.
SLACK_SHARE = 0.2
MAX_WAIT_RUNS = 0.5
# A late request does not cross for less: there it would come late, too.
MIN_WAIT_RUNS = 0.25
# One with a large body waits longer. From LARGE_BODY_BYTES on it waits for
# LARGE_BODY_SLACK_SHARE; such requests are too few to cause long queues.
LARGE_BODY_BYTES = 32_768
LARGE_BODY_SLACK_SHARE = 0.6


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestNeeds:
    """What a request needs of the server that is chosen for it.

    ``slack_seconds`` is the time left until its client expects the response,
    or half of the time left if the client's expectation is not known.
    ``body_bytes`` is the size of its body.
    """

    slack_seconds: float
    body_bytes: int = 0

    def wait_seconds(self, run_seconds: float) -> float:
        """Return the wait that is preferred to another failure domain.

        ``run_seconds`` is the mean run time at the servers.
        """
        slack = max(0.0, self.slack_seconds - run_seconds)
        wait = max(
            MIN_WAIT_RUNS * run_seconds,
            min(SLACK_SHARE * slack, MAX_WAIT_RUNS * run_seconds),
        )
        longest = LARGE_BODY_SLACK_SHARE * slack
        size = min(1.0, self.body_bytes / LARGE_BODY_BYTES)
        return wait + size * max(0.0, longest - wait)


class ServerGroup:
    """The servers of one service, inside and outside a failure domain."""

    def __init__(self, servers: Iterable[RemoteServer], failure_domain: str):
        self.same_domain: list[RemoteServer] = []
        self.other_domains: list[RemoteServer] = []
        for server in servers:
            own = server.failure_domain == failure_domain
            (self.same_domain if own else self.other_domains).append(server)

    def __iter__(self) -> Iterator[RemoteServer]:
        return chain(self.same_domain, self.other_domains)


class LoadBalancer:
    """Chooses a server of a service for each request."""

    def __init__(self, *, clock, random: Random, failure_domain: str):
        self.clock = clock
        self.random = random
        self.failure_domain = failure_domain

    def choose(
        self,
        servers: ServerGroup,
        excluded: Collection[RemoteServer] = (),
        needs: RequestNeeds | None = None,
    ) -> RemoteServer | None:
        """Return the server for the next request, None if there is none.

        Servers of other failure domains are considered only if every server
        compared in our own costs at least as much as crossing.
        """
        now = self.clock.seconds()
        crossing = self.crossing_cost(servers, needs)
        best, cost = self.find_cheapest(
            self.sample(servers.same_domain, SAME_DOMAIN_CANDIDATES),
            excluded,
            now,
            crossing,
        )
        if (
            cost >= crossing
            and len(servers.same_domain) > SAME_DOMAIN_CANDIDATES
        ):
            best, cost = self.find_cheapest(
                servers.same_domain, excluded, now, crossing
            )
        if cost >= crossing:
            other, other_cost = self.find_cheapest(
                self.sample(servers.other_domains, OTHER_DOMAINS_CANDIDATES),
                excluded,
                now,
                crossing,
            )
            if other_cost < cost:
                best = other
        if best is None:
            best, _ = self.find_cheapest(
                servers.other_domains, excluded, now, crossing
            )
        return best

    def crossing_cost(
        self, servers: ServerGroup, needs: RequestNeeds | None
    ) -> float:
        """Return the cost of choosing another failure domain, in seconds."""
        if needs is not None:
            for server in servers.same_domain:
                if server.run_seconds:
                    return needs.wait_seconds(server.run_seconds)
        return CROSS_DOMAIN_COST_SECONDS

    def sample(
        self, servers: list[RemoteServer], count: int
    ) -> list[RemoteServer]:
        """Return ``count`` of the servers at random, or all if fewer."""
        if len(servers) <= count:
            return servers
        return self.random.sample(servers, count)

    def find_cheapest(
        self,
        servers: Iterable[RemoteServer],
        excluded: Collection[RemoteServer],
        now: float,
        crossing: float = CROSS_DOMAIN_COST_SECONDS,
    ) -> tuple[RemoteServer | None, float]:
        """Return the usable server with the lowest cost, and its cost.

        ``crossing`` is the cost of another failure domain, in seconds.
        """
        best, best_cost = None, float("inf")
        for server in servers:
            if (
                not server.capacity
                or server.drain_deadline <= now
                or server in excluded
            ):
                continue
            cost = self.cost(server, now, crossing)
            if server.failure_domain != self.failure_domain:
                cost += crossing
            if cost < best_cost and server.usable:
                best, best_cost = server, cost
        return best, best_cost

    def cost(
        self,
        server: RemoteServer,
        now: float,
        crossing: float = CROSS_DOMAIN_COST_SECONDS,
    ) -> float:
        """Return the cost of choosing a server, in seconds.

        The cost of another failure domain is not included.
        """
        if server.run_seconds:
            failures = server.failure_rate / CROSSING_FAILURE_RATE
            return self.run_cost(
                server, now
            ) * server.run_seconds + failures * max(
                crossing, MAX_WAIT_RUNS * server.run_seconds
            )
        load = server.load() + self.random.random()
        capacity = server.capacity
        waiting = max(0.0, load + 1 - USABLE_SLOT_SHARE * capacity)
        cost = (waiting / capacity) * QUEUE_COST_SECONDS + (
            load / capacity
        ) * UTILIZATION_COST_SECONDS
        cost += (server.slowness - 1.0) * RUN_COST_SECONDS
        if server.slowness > NORMAL_SLOWNESS:
            cost += (
                server.slowness - NORMAL_SLOWNESS
            ) * SLOW_SERVER_COST_SECONDS
        cost += server.failure_rate * FAILURE_COST_SECONDS
        if server.state != "ready":
            cost += DRAINING_COST_SECONDS
        if server.cold_until > now:
            cost += (load / capacity) * COLD_START_COST_SECONDS
        return cost

    def run_cost(self, server: RemoteServer, now: float) -> float:
        """Return the cost of a server of known run time, in run times.

        The wait is that until the requests ahead have left their slots.
        """
        load = server.load() + self.random.random()
        capacity = server.capacity
        slowness = server.slowness
        ahead = max(0.0, load + 1 - USABLE_SLOT_SHARE * capacity)
        cost = ahead / capacity + (load / capacity) * UTILIZATION_WEIGHT
        cost += (slowness - 1.0) * RUN_WEIGHT
        cost += max(0.0, slowness - NORMAL_MEAN_SLOWNESS) * SLOW_SERVER_WEIGHT
        if server.state != "ready":
            cost += DRAINING_COST_SECONDS / server.run_seconds
        if server.cold_until > now:
            cost += (load / capacity) * COLD_START_WEIGHT
        return cost
