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
    "add",
    "route_key",
]

# Rates and usage forget with this time constant; the calls of a request
# follow it within this time.
MEMORY_SECONDS = 1.5
# How many calls a request makes does not depend on load; what is seen to rise
# fast is wasted work.
CALLS_RISE_SECONDS = 6.0
CALLS_FALL_SECONDS = 1.5
# In the first time of a service nothing is known that could be kept.
SETTLE_SECONDS = 4.0
# A request that is under way has made this share of its calls, on average.
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
# this time; new requests get what that leaves. A request whose call waits has
# this share of its cost before it.
SHORT_QUEUE = 0.25
DRAIN_SECONDS = 1.0
BACKLOG_SHARE = 0.6
# A little of each route always passes, so that costs stay known.
LOWEST_SHARE = 0.02
# A service is part of a route's cost above this many slot seconds a request.
NEGLIGIBLE_COST = 0.0005
# A route needs this many requests that end a second for its cost to be learnt.
KNOWN_RATE = 0.5
# If nearly all fail, costs are learnt as if this share were served: nothing
# would ever be refused, or served, of a route without a known cost.
LOWEST_SERVED_SHARE = 0.1
KEY_BITS = 0xFFFF
# Rates travel as tenths, usage as hundredths.
RATE_SCALE = 10
USAGE_SCALE = 100


class LoadReport(Struct, array_like=True, gc=False):
    """What one node saw lately.

    ``offered`` are the requests per second that begin at the node, by the
    key of their route, in tenths, ``admitted`` those of them that were not
    refused, ``ended`` those that ended after that, and ``completed`` those
    that a server answered with success.
    ``usage`` is the number of slots of the node's server that the requests
    of a route take through all their calls, in hundredths, and ``calls`` the
    number of these calls per second, in tenths.
    """

    service: str = ""
    room: int = 0
    waiting: int = 0
    offered: dict[int, int] = {}
    admitted: dict[int, int] = {}
    ended: dict[int, int] = {}
    completed: dict[int, int] = {}
    usage: dict[int, int] = {}
    calls: dict[int, int] = {}


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
        self.admitted: dict[int, float] = {}
        self.endings: dict[int, float] = {}
        self.completed: dict[int, float] = {}
        self.used: dict[int, float] = {}
        self.calls: dict[int, float] = {}

    def began(self, key: int, *, admitted: bool):
        """Count a request that begins here, or is refused."""
        self.offered[key] = self.offered.get(key, 0.0) + 1.0
        if admitted:
            self.admitted[key] = self.admitted.get(key, 0.0) + 1.0

    def ended(self, key: int, *, served: bool):
        """Count the end of a request that was admitted here."""
        self.endings[key] = self.endings.get(key, 0.0) + 1.0
        if served:
            self.completed[key] = self.completed.get(key, 0.0) + 1.0

    def used_slot(self, key: int, seconds: float):
        """Count the time that a request took at our server."""
        self.used[key] = self.used.get(key, 0.0) + seconds
        self.calls[key] = self.calls.get(key, 0.0) + 1.0

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
            (self.admitted, RATE_SCALE),
            (self.endings, RATE_SCALE),
            (self.completed, RATE_SCALE),
            (self.used, USAGE_SCALE),
            (self.calls, RATE_SCALE),
        ):
            rate = {}
            for key in list(sums):
                sums[key] *= factor
                number = round(sums[key] * scale / max(window, 0.1))
                if number:
                    rate[key] = number
                elif sums[key] < 0.001:
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
    routes that are not in it are admitted whole. ``binding`` names the
    service whose capacity limits a share. By route and service, ``calls`` is
    the number of calls of a request, ``times`` the seconds of a call and
    ``costs`` their product, in slot seconds.
    """

    def __init__(self, *, clock: IReactorTime):
        self.clock = clock
        self.calls: dict[tuple[int, str], float] = {}
        self.first_seen: dict[tuple[int, str], float] = {}
        self.times: dict[tuple[int, str], float] = {}
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
        admitted: dict[int, float] = {}
        ended: dict[int, float] = {}
        completed: dict[int, float] = {}
        usage: dict[tuple[int, str], float] = {}
        calls: dict[tuple[int, str], float] = {}
        for load in self.services.values():
            load.room = load.waiting = 0
        for report in reports:
            add(offered, report.offered, 1 / RATE_SCALE)
            add(admitted, report.admitted, 1 / RATE_SCALE)
            add(ended, report.ended, 1 / RATE_SCALE)
            add(completed, report.completed, 1 / RATE_SCALE)
            if not report.room:
                continue
            load = self.services.setdefault(report.service, ServiceLoad())
            load.room += report.room
            load.waiting += report.waiting
            for key, used in report.usage.items():
                pair = (key, report.service)
                usage[pair] = usage.get(pair, 0.0) + used / USAGE_SCALE
            for key, count in report.calls.items():
                pair = (key, report.service)
                calls[pair] = calls.get(pair, 0.0) + count / RATE_SCALE
        served = {
            key: served_rate(
                admitted.get(key, 0.0), rate, completed.get(key, 0.0)
            )
            for key, rate in ended.items()
            if rate >= KNOWN_RATE
        }
        self.learn(elapsed, served, usage, calls)
        shares: dict[int, float] = {}
        self.binding = {}
        for service, load in self.services.items():
            load.adapt()
            if load.room:
                self.share_out(service, load, offered, priorities, shares)
        self.shares = shares

    def learn(
        self,
        elapsed: float,
        served: dict[int, float],
        usage: dict[tuple[int, str], float],
        calls: dict[tuple[int, str], float],
    ):
        """Move the costs of the routes that are in use to what is seen.

        The number of calls of a request is learnt slowly, the time of a call
        is that of the servers which are there now: when a fast one leaves,
        all costs rise at once. Calls are divided by the requests that were
        served, so that requests of which most fail look dear and fewer of
        them begin. Those under way count in part, since after a start and in
        a growing queue calls are seen long before the ends of their requests.
        """
        rising = 1 - exp(-elapsed / CALLS_RISE_SECONDS)
        falling = 1 - exp(-elapsed / CALLS_FALL_SECONDS)
        now = self.clock.seconds()
        for key, rate in served.items():
            for service, load in self.services.items():
                if not load.room:
                    # Calls that reach no server would look like no calls.
                    continue
                pair = (key, service)
                seen = calls.get(pair, 0.0) / rate
                known = self.calls.setdefault(pair, seen)
                settled = now - self.first_seen.setdefault(pair, now)
                weight = falling
                if seen > known and settled > SETTLE_SECONDS:
                    weight = rising
                self.calls[pair] = known + weight * (seen - known)
                if pair in calls:
                    self.times[pair] = usage.get(pair, 0.0) / calls[pair]
                self.costs[pair] = self.calls[pair] * self.times.get(pair, 0.0)

    def backlog(
        self, service: str, load: ServiceLoad, least_urgent: list[int]
    ) -> float:
        """Return the slots that a queue needs to be gone soon.

        What waits belongs to the least urgent routes, and is one of the
        calls of its request, on average with half of them before it.
        """
        waiting = load.waiting - SHORT_QUEUE * load.room
        if waiting <= 0:
            return 0.0
        cost = max(self.costs[(key, service)] for key in least_urgent)
        return waiting * cost * BACKLOG_SHARE / DRAIN_SECONDS

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
        if not demands:
            return
        last = max(demands)
        backlog = self.backlog(
            service, load, [key for key, _ in demands[last]]
        )
        left = load.room * load.fill
        for priority in sorted(demands):
            demand = sum(need for _, need in demands[priority])
            if priority == last:
                left -= backlog
            share = max(LOWEST_SHARE, min(1.0, left / demand))
            left = max(0.0, left - demand)
            if share < 1.0:
                for key, _ in demands[priority]:
                    if share < shares.get(key, 1.0):
                        shares[key] = share
                        self.binding[key] = service


def served_rate(admitted: float, ended: float, completed: float) -> float:
    """Return the requests a second by which calls are divided."""
    rate = completed + UNDER_WAY_SHARE * max(0.0, admitted - ended)
    return max(rate, LOWEST_SERVED_SHARE * max(admitted, ended))


def add(totals: dict, numbers: dict, scale: float = 1):
    """Add the scaled numbers to the totals of the same keys."""
    for key, number in numbers.items():
        totals[key] = totals.get(key, 0) + number * scale
