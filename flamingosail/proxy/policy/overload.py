"""Admission of requests at the node where they enter (the entry node).

Prevents wasted work when a shallow service calls a deep service that is
overloaded: a root request is started, one of its calls is rejected, and the
work already done for it is thrown away. Root requests are rejected before any
work is spent on them, the least important first. Calls of admitted requests
are never rejected here.

Every node reports how many root requests enter at it on each route, and how
many of its server's slots the requests of each route occupy, including all
their calls. From these reports each node computes the same admitted shares.
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
    "add_scaled",
    "route_key",
]

# Time constant of the exponential decay of request rates and slot usage.
# The calls of a request follow its arrival within this time.
RATE_DECAY_SECONDS = 1.5
# Time constants for the estimated number of calls per request. The true
# number does not depend on load; if the measured one rises fast, it includes
# wasted calls.
CALLS_RISE_SECONDS = 6.0
CALLS_FALL_SECONDS = 1.5
# An estimate younger than this also rises with the fast time constant, since
# there is no earlier value worth keeping.
WARMUP_SECONDS = 4.0
# Average share of its calls that a request in progress has made.
IN_PROGRESS_WEIGHT = 0.5
# Target utilization of the slots by admitted requests; the rest absorbs random
# bursts of arrivals.
MAX_UTILIZATION = 0.92
MIN_UTILIZATION = 0.6
# A queue is long if more requests wait than LONG_QUEUE_RATIO times the slots.
# Each computation of the shares multiplies the target by the decrease factor
# if the queue is long and does not shrink, and adds the increase if the queue
# is not long.
LONG_QUEUE_RATIO = 1.0
UTILIZATION_DECREASE_FACTOR = 0.95
UTILIZATION_INCREASE = 0.08
# Queued requests beyond SHORT_QUEUE_RATIO times the slots are to be served
# within BACKLOG_DRAIN_SECONDS; new requests get the remaining capacity. A
# request with a queued call has REMAINING_COST_SHARE of its cost still ahead.
SHORT_QUEUE_RATIO = 0.25
BACKLOG_DRAIN_SECONDS = 1.0
REMAINING_COST_SHARE = 0.6
# This share of each route is always admitted, to keep measuring its cost.
MIN_ADMITTED_SHARE = 0.02
# A service limits a route only if a request costs more than this there.
NEGLIGIBLE_COST_SLOT_SECONDS = 0.0005
# The cost of a route is updated only while at least this many of its requests
# end per second.
MIN_ENDED_PER_SECOND = 0.5
# Costs are computed as if at least this share of the requests completed. If
# nearly all failed, the route would otherwise get no cost, so none of its
# requests would be rejected and none would complete.
MIN_COMPLETED_SHARE = 0.1
ROUTE_KEY_MASK = 0xFFFF
# Reports carry rates in tenths and slot usage in hundredths.
RATE_SCALE = 10
USAGE_SCALE = 100


class LoadReport(Struct, array_like=True, gc=False):
    """Recent load at one node, or the aggregate of several nodes.

    ``service``, ``capacity`` (usable slots) and ``waiting`` (queued requests)
    describe the node's backend server. The dictionaries are indexed by the
    key of the route on which the root request entered. In tenths of a request
    per second: ``offered`` counts root requests that arrived at the node,
    ``admitted`` those not rejected, ``ended`` the admitted ones that ended
    and ``completed`` those that ended successfully. ``usage`` is the number of
    slots of the node's server occupied by requests and their calls, in
    hundredths, and ``calls`` the number of these calls per second, in tenths.
    """

    service: str = ""
    capacity: int = 0
    waiting: int = 0
    offered: dict[int, int] = {}
    admitted: dict[int, int] = {}
    ended: dict[int, int] = {}
    completed: dict[int, int] = {}
    usage: dict[int, int] = {}
    calls: dict[int, int] = {}


def route_key(name: str) -> int:
    """Return a 16-bit hash of a route's name, the same at all nodes."""
    return xxh32_intdigest(name.encode()) & ROUTE_KEY_MASK


class LoadMeter:
    """Measures the load of this node and produces its reports."""

    def __init__(self, *, clock: IReactorTime):
        self.clock = clock
        self.decayed_at = clock.seconds()
        self.started_at = self.decayed_at
        self.offered: dict[int, float] = {}
        self.admitted: dict[int, float] = {}
        self.ended: dict[int, float] = {}
        self.completed: dict[int, float] = {}
        self.slot_seconds: dict[int, float] = {}
        self.calls: dict[int, float] = {}

    def record_arrival(self, key: int, *, admitted: bool):
        """Count a root request that arrived here."""
        self.offered[key] = self.offered.get(key, 0.0) + 1.0
        if admitted:
            self.admitted[key] = self.admitted.get(key, 0.0) + 1.0

    def record_end(self, key: int, *, completed: bool):
        """Count the end of a root request that was admitted here.

        ``completed`` says whether it ended successfully.
        """
        self.ended[key] = self.ended.get(key, 0.0) + 1.0
        if completed:
            self.completed[key] = self.completed.get(key, 0.0) + 1.0

    def record_call(self, key: int, seconds: float):
        """Count a call to our server and the seconds it held a slot."""
        self.slot_seconds[key] = self.slot_seconds.get(key, 0.0) + seconds
        self.calls[key] = self.calls.get(key, 0.0) + 1.0

    def report(self, service: str, capacity: int, waiting: int) -> LoadReport:
        """Return the decayed rates and usage up to now."""
        now = self.clock.seconds()
        factor = exp((self.decayed_at - now) / RATE_DECAY_SECONDS)
        self.decayed_at = now
        # A sum that decays with time constant T covers T seconds, fewer soon
        # after the start.
        window = RATE_DECAY_SECONDS * (
            1 - exp((self.started_at - now) / RATE_DECAY_SECONDS)
        )
        rates = []
        for sums, scale in (
            (self.offered, RATE_SCALE),
            (self.admitted, RATE_SCALE),
            (self.ended, RATE_SCALE),
            (self.completed, RATE_SCALE),
            (self.slot_seconds, USAGE_SCALE),
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
        return LoadReport(service, capacity, waiting, *rates)


class ServiceLoad:
    """Capacity, queue and target utilization of one service."""

    def __init__(self):
        self.capacity = 0
        self.waiting = 0
        self.previous_waiting = 0
        self.target_utilization = MAX_UTILIZATION

    @property
    def queue_is_long(self) -> bool:
        """Whether more requests are queued than the service has slots."""
        return self.waiting > LONG_QUEUE_RATIO * self.capacity

    def update_target(self):
        """Adapt the target utilization to the queue.

        A long queue that does not shrink lowers the target, a long queue that
        shrinks leaves it as it is, and any other queue raises it. A shrinking
        queue is the remainder of an overload that has ended; lowering the
        target for it would leave slots empty afterwards.
        """
        if self.queue_is_long:
            if self.waiting >= self.previous_waiting:
                self.target_utilization = max(
                    MIN_UTILIZATION,
                    self.target_utilization * UTILIZATION_DECREASE_FACTOR,
                )
        else:
            self.target_utilization = min(
                MAX_UTILIZATION, self.target_utilization + UTILIZATION_INCREASE
            )
        self.previous_waiting = self.waiting


class Admission:
    """Decides which root requests are admitted.

    ``shares`` holds the admitted share of each route's requests; all requests
    of other routes are admitted. ``limiting_services`` names the service
    whose capacity determines a share. ``calls_per_request``, ``call_seconds``
    (slot seconds per call) and their product ``costs`` are estimates by route
    and service.
    """

    def __init__(self, *, clock: IReactorTime):
        self.clock = clock
        self.calls_per_request: dict[tuple[int, str], float] = {}
        self.first_seen: dict[tuple[int, str], float] = {}
        self.call_seconds: dict[tuple[int, str], float] = {}
        self.costs: dict[tuple[int, str], float] = {}
        self.services: dict[str, ServiceLoad] = {}
        self.shares: dict[int, float] = {}
        self.limiting_services: dict[int, str] = {}
        self.credits: dict[int, float] = {}
        self.computed_at = clock.seconds()

    def admit(self, key: int) -> bool:
        """Return whether the next request of a route is admitted."""
        share = self.shares.get(key)
        if share is None:
            return True
        credit = self.credits.get(key, 0.5) + share
        if credit >= 1:
            self.credits[key] = credit - 1
            return True
        self.credits[key] = credit
        return False

    def compute_shares(
        self, reports: Iterable[LoadReport], priorities: dict[int, int]
    ):
        """Compute the admitted shares from the latest report of each node.

        ``priorities`` holds the priority of each route by its key; 0 is the
        most important.
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
            load.capacity = load.waiting = 0
        for report in reports:
            add_scaled(offered, report.offered, 1 / RATE_SCALE)
            add_scaled(admitted, report.admitted, 1 / RATE_SCALE)
            add_scaled(ended, report.ended, 1 / RATE_SCALE)
            add_scaled(completed, report.completed, 1 / RATE_SCALE)
            if not report.capacity:
                continue
            load = self.services.setdefault(report.service, ServiceLoad())
            load.capacity += report.capacity
            load.waiting += report.waiting
            for key, used in report.usage.items():
                pair = (key, report.service)
                usage[pair] = usage.get(pair, 0.0) + used / USAGE_SCALE
            for key, count in report.calls.items():
                pair = (key, report.service)
                calls[pair] = calls.get(pair, 0.0) + count / RATE_SCALE
        effective_rates = {
            key: effective_rate(
                admitted.get(key, 0.0), rate, completed.get(key, 0.0)
            )
            for key, rate in ended.items()
            if rate >= MIN_ENDED_PER_SECOND
        }
        self.update_costs(elapsed, effective_rates, usage, calls)
        shares: dict[int, float] = {}
        self.limiting_services = {}
        for service, load in self.services.items():
            load.update_target()
            if load.capacity:
                self.allocate_capacity(
                    service, load, offered, priorities, shares
                )
        self.shares = shares

    def update_costs(
        self,
        elapsed: float,
        effective_rates: dict[int, float],
        usage: dict[tuple[int, str], float],
        calls: dict[tuple[int, str], float],
    ):
        """Move the cost estimates of active routes towards the measurements.

        The number of calls per request is smoothed. The time per call is not:
        when a fast server leaves, all costs rise at once. Calls are divided
        by ``effective_rates``, which count completed requests, so that a
        route whose requests mostly fail becomes expensive and fewer of them
        are admitted. Requests in progress are counted in part, because after
        a start and while a queue grows, calls are counted long before their
        requests end.
        """
        rising = 1 - exp(-elapsed / CALLS_RISE_SECONDS)
        falling = 1 - exp(-elapsed / CALLS_FALL_SECONDS)
        now = self.clock.seconds()
        for key, rate in effective_rates.items():
            for service, load in self.services.items():
                if not load.capacity:
                    # Calls that cannot reach a server are not counted, so
                    # the estimate would fall to zero.
                    continue
                pair = (key, service)
                measured = calls.get(pair, 0.0) / rate
                estimate = self.calls_per_request.setdefault(pair, measured)
                age = now - self.first_seen.setdefault(pair, now)
                weight = falling
                if measured > estimate and age > WARMUP_SECONDS:
                    weight = rising
                self.calls_per_request[pair] = estimate + weight * (
                    measured - estimate
                )
                if pair in calls:
                    self.call_seconds[pair] = (
                        usage.get(pair, 0.0) / calls[pair]
                    )
                self.costs[pair] = self.calls_per_request[
                    pair
                ] * self.call_seconds.get(pair, 0.0)

    def backlog_slots(
        self, service: str, load: ServiceLoad, least_important: list[int]
    ) -> float:
        """Return the slots needed to drain the queue of a service in time.

        All queued requests are assumed to belong to the least important routes
        ``least_important``. Each is one call of its request, on average with
        half of the request's calls still ahead.
        """
        waiting = load.waiting - SHORT_QUEUE_RATIO * load.capacity
        if waiting <= 0:
            return 0.0
        cost = max(self.costs[(key, service)] for key in least_important)
        return waiting * cost * REMAINING_COST_SHARE / BACKLOG_DRAIN_SECONDS

    def allocate_capacity(
        self,
        service: str,
        load: ServiceLoad,
        offered: dict[int, float],
        priorities: dict[int, int],
        shares: dict[int, float],
    ):
        """Divide the capacity of a service among routes by priority.

        Lowers the entries of ``shares`` for routes that the service limits.
        """
        demands: dict[int, list[tuple[int, float]]] = {}
        for key, rate in offered.items():
            cost = self.costs.get((key, service), 0.0)
            if cost > NEGLIGIBLE_COST_SLOT_SECONDS and key in priorities:
                demands.setdefault(priorities[key], []).append(
                    (key, rate * cost)
                )
        if not demands:
            return
        last = max(demands)
        backlog = self.backlog_slots(
            service, load, [key for key, _ in demands[last]]
        )
        left = load.capacity * load.target_utilization
        for priority in sorted(demands):
            demand = sum(need for _, need in demands[priority])
            if priority == last:
                left -= backlog
            share = max(MIN_ADMITTED_SHARE, min(1.0, left / demand))
            left = max(0.0, left - demand)
            if share < 1.0:
                for key, _ in demands[priority]:
                    if share < shares.get(key, 1.0):
                        shares[key] = share
                        self.limiting_services[key] = service


def effective_rate(admitted: float, ended: float, completed: float) -> float:
    """Return the requests per second by which the call rate is divided.

    It includes the completed requests and a part of those in progress.
    """
    rate = completed + IN_PROGRESS_WEIGHT * max(0.0, admitted - ended)
    return max(rate, MIN_COMPLETED_SHARE * max(admitted, ended))


def add_scaled(totals: dict, numbers: dict, scale: float = 1):
    """Add ``numbers``, multiplied by ``scale``, to ``totals`` by key."""
    for key, number in numbers.items():
        totals[key] = totals.get(key, 0) + number * scale
