"""Admission of requests at the node where they begin.

Answers the pattern of a shallow service whose requests cause calls at a deep
one that is full: work is begun, one of its calls is refused, and all of it is
thrown away. Whole requests are refused before anything was spent, the least
important first, and calls of requests that were let in never are.

Every node tells the others how many requests begin at it on each route and
how much of its server's time the requests of each route take, through all
their calls. From these reports each node computes the same shares.
"""

from collections.abc import Iterable
from math import exp

from msgspec import Struct
from twisted.internet.interfaces import IReactorTime
from xxhash import xxh32_intdigest

__all__ = [
    "Admission",
    "LoadMeter",
    "LoadReport",
    "USAGE_SCALE",
    "route_key",
]

# Rates and usage forget with this time constant; the calls of a request
# follow it within this time.
MEMORY_SECONDS = 1.5
# What a request costs rises only with slower servers; what is seen to rise
# fast is wasted work.
COST_RISE_SECONDS = 6.0
COST_FALL_SECONDS = 1.5
# A request that is under way has used this share of its cost, on average.
UNDER_WAY_SHARE = 0.5
# Share of the slots that admitted requests may take; the rest takes up the
# randomness of arrivals.
TARGET_FILL = 0.92
LOWEST_FILL = 0.6
# Per computation, while more requests wait at the gates of a service than
# this share of its slots, and while fewer do.
LONG_QUEUE = 1.0
FILL_DECREASE = 0.95
FILL_INCREASE = 0.08
# A queue that is longer than this share of the slots is to be gone within
# this time; new requests get what that leaves.
SHORT_QUEUE = 0.25
DRAIN_SECONDS = 1.0
# A little of each route always passes, so that costs stay known.
LOWEST_SHARE = 0.02
# A service is part of a route's cost above this many slot seconds a request.
NEGLIGIBLE_COST = 0.0005
# A route needs this many requests a second for its cost to be learnt.
KNOWN_RATE = 0.5
KEY_BITS = 0xFFFF
# Rates travel as tenths, usage as hundredths.
RATE_SCALE = 10
USAGE_SCALE = 100


class LoadReport(Struct, array_like=True, gc=False):
    """What one node saw lately.

    ``offered`` are the requests per second that begin at the node, by the
    key of their route, in tenths, ``completed`` those of them that a server
    answered with success; ``usage`` is the number of
    slots of the node's server that the requests of a route take, in
    hundredths. ``growth`` is by how many a second the requests that are
    under way become more, in tenths.
    """

    service: str = ""
    room: int = 0
    waiting: int = 0
    offered: dict[int, int] = {}
    completed: dict[int, int] = {}
    usage: dict[int, int] = {}
    growth: dict[int, int] = {}


def route_key(name: str) -> int:
    """Return a short number for a route, the same at all nodes."""
    return xxh32_intdigest(name.encode()) & KEY_BITS


class LoadMeter:
    """Counts what happens at this node and makes its reports."""

    def __init__(self, *, clock: IReactorTime):
        self.clock = clock
        self.aged_at = clock.seconds()
        self.started = self.aged_at
        self.offered: dict[int, float] = {}
        self.completed: dict[int, float] = {}
        self.used: dict[int, float] = {}
        self.under_way: dict[int, float] = {}

    def began(self, key: int, *, admitted: bool):
        """Count a request that begins here, or is refused."""
        self.offered[key] = self.offered.get(key, 0.0) + 1.0
        if admitted:
            self.under_way[key] = self.under_way.get(key, 0.0) + 1.0

    def ended(self, key: int, *, served: bool):
        """Count the end of a request that was admitted here."""
        self.under_way[key] = self.under_way.get(key, 0.0) - 1.0
        if served:
            self.completed[key] = self.completed.get(key, 0.0) + 1.0

    def used_slot(self, key: int, seconds: float):
        """Count the time that a request took at our server."""
        self.used[key] = self.used.get(key, 0.0) + seconds

    def report(self, service: str, room: int, waiting: int) -> LoadReport:
        """Return the rates of the last seconds."""
        now = self.clock.seconds()
        factor = exp((self.aged_at - now) / MEMORY_SECONDS)
        self.aged_at = now
        # A sum that forgets with time constant T holds T seconds' worth.
        window = MEMORY_SECONDS * (
            1 - exp((self.started - now) / MEMORY_SECONDS)
        )
        rates = []
        for sums, scale in (
            (self.offered, RATE_SCALE),
            (self.completed, RATE_SCALE),
            (self.used, USAGE_SCALE),
            (self.under_way, RATE_SCALE),
        ):
            rate = {}
            for key in list(sums):
                sums[key] *= factor
                number = round(sums[key] * scale / max(window, 0.1))
                if number:
                    rate[key] = number
                elif abs(sums[key]) < 0.001:
                    del sums[key]
            rates.append(rate)
        return LoadReport(service, room, waiting, *rates)


class ServiceLoad:
    """The capacity of a service and the share of it that may be used."""

    def __init__(self):
        self.room = 0
        self.waiting = 0
        self.waiting_before = 0
        self.fill = TARGET_FILL

    @property
    def queue_is_long(self) -> bool:
        """Whether more requests wait than the service can soon serve."""
        return self.waiting > LONG_QUEUE * self.room

    def adapt(self):
        """Lower the target while a long queue does not shrink.

        A queue that shrinks was caused by what is over; lowering the target
        for it would leave slots empty afterwards.
        """
        if self.queue_is_long:
            if self.waiting >= self.waiting_before:
                self.fill = max(LOWEST_FILL, self.fill * FILL_DECREASE)
        else:
            self.fill = min(TARGET_FILL, self.fill + FILL_INCREASE)
        self.waiting_before = self.waiting


class Admission:
    """Decides which requests may begin.

    ``shares`` holds the share of each route's requests that is admitted;
    routes that are not in it are admitted whole.
    """

    def __init__(self, *, clock: IReactorTime):
        self.clock = clock
        self.costs: dict[tuple[int, str], float] = {}
        self.services: dict[str, ServiceLoad] = {}
        self.shares: dict[int, float] = {}
        self.binding: dict[int, str] = {}
        self.credits: dict[int, float] = {}
        self.computed_at = clock.seconds()

    def admits(self, key: int) -> bool:
        """Return whether the next request of a route may begin."""
        share = self.shares.get(key)
        if share is None:
            return True
        credit = self.credits.get(key, 0.5) + share
        if credit >= 1:
            self.credits[key] = credit - 1
            return True
        self.credits[key] = credit
        return False

    def compute(
        self, reports: Iterable[LoadReport], priorities: dict[int, int]
    ):
        """Compute the shares from the latest report of each node.

        ``priorities`` holds the priority of each route by its key.
        """
        now = self.clock.seconds()
        elapsed, self.computed_at = now - self.computed_at, now
        offered: dict[int, float] = {}
        completed: dict[int, float] = {}
        growth: dict[int, float] = {}
        usage: dict[tuple[int, str], float] = {}
        for load in self.services.values():
            load.room = load.waiting = 0
        for report in reports:
            for key, rate in report.offered.items():
                offered[key] = offered.get(key, 0.0) + rate / RATE_SCALE
            for key, rate in report.completed.items():
                completed[key] = completed.get(key, 0.0) + rate / RATE_SCALE
            for key, rate in report.growth.items():
                growth[key] = growth.get(key, 0.0) + rate / RATE_SCALE
            if not report.room:
                continue
            load = self.services.setdefault(report.service, ServiceLoad())
            load.room += report.room
            load.waiting += report.waiting
            for key, used in report.usage.items():
                pair = (key, report.service)
                usage[pair] = usage.get(pair, 0.0) + used / USAGE_SCALE
        served = {
            key: rate + max(0.0, growth.get(key, 0.0)) * UNDER_WAY_SHARE
            for key, rate in completed.items()
        }
        self.learn(elapsed, served, usage)
        shares: dict[int, float] = {}
        self.binding = {}
        for service, load in self.services.items():
            load.adapt()
            if load.room:
                self.share_out(service, load, offered, priorities, shares)
        self.shares = shares

    def learn(self, elapsed: float, served: dict, usage: dict):
        """Move the costs of the routes that are in use to what is seen.

        What is seen is the usage by requests that were served; one that is
        under way counts as half served, since after a start and in a growing
        queue calls are seen long before the ends of their requests. Under
        overload usage holds wasted work as well, and is too high until the
        shares have ended that. Divided by all that began, it would be too
        low, since what waits in vain uses nothing, and nothing would ever be
        refused.
        """
        rising = 1 - exp(-elapsed / COST_RISE_SECONDS)
        falling = 1 - exp(-elapsed / COST_FALL_SECONDS)
        for key, rate in served.items():
            if rate < KNOWN_RATE:
                continue
            for service in self.services:
                pair = (key, service)
                seen = usage.get(pair, 0.0) / rate
                known = self.costs.get(pair)
                if known is None:
                    self.costs[pair] = seen
                else:
                    weight = rising if seen > known else falling
                    self.costs[pair] = known + weight * (seen - known)

    def backlog(
        self,
        load: ServiceLoad,
        demands: dict[int, list[tuple[int, float]]],
        offered: dict[int, float],
    ) -> float:
        """Return the slots that a queue needs to be gone soon.

        Each call that waits belongs to a request that has half of its calls
        before it, on average.
        """
        pairs = [pair for pairs in demands.values() for pair in pairs]
        rate = sum(offered[key] for key, _ in pairs)
        waiting = load.waiting - SHORT_QUEUE * load.room
        if waiting <= 0 or not rate:
            return 0.0
        mean_cost = sum(need for _, need in pairs) / rate
        return waiting * mean_cost / 2 / DRAIN_SECONDS

    def share_out(
        self,
        service: str,
        load: ServiceLoad,
        offered: dict[int, float],
        priorities: dict[int, int],
        shares: dict[int, float],
    ):
        """Give the capacity of a service to routes by their priority."""
        demands: dict[int, list[tuple[int, float]]] = {}
        for key, rate in offered.items():
            cost = self.costs.get((key, service), 0.0)
            if cost > NEGLIGIBLE_COST and key in priorities:
                demands.setdefault(priorities[key], []).append(
                    (key, rate * cost)
                )
        left = load.room * load.fill - self.backlog(load, demands, offered)
        for priority in sorted(demands):
            demand = sum(need for _, need in demands[priority])
            share = max(LOWEST_SHARE, min(1.0, left / demand))
            left = max(0.0, left - demand)
            if share < 1.0:
                for key, _ in demands[priority]:
                    if share < shares.get(key, 1.0):
                        shares[key] = share
                        self.binding[key] = service
