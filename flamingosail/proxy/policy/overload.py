"""Admission of requests at the node where they enter (the entry node).

Prevents wasted work when a shallow service calls a deep service that is
overloaded: a root request is started, one of its calls is rejected, and the
work already done for it is thrown away. Root requests are rejected before any
work is spent on them, the least important first. Calls of admitted requests
are never rejected here.

Every node reports how many root requests enter at it on each route, and how
many of its server's slots the requests of each route occupy, including all
their calls. From these reports each node computes the same admitted shares.
``fairness`` divides the capacity of a service, ``feasibility`` limits what
cannot end while servers reject calls.
"""

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
from functools import lru_cache
from math import exp
from types import MappingProxyType

from msgspec import Struct
from twisted.internet.interfaces import IReactorTime
from xxhash import xxh32_intdigest

from flamingosail.proxy.policy.fairness import account_shares
from flamingosail.proxy.policy.fairness import Demand
from flamingosail.proxy.policy.fairness import divide_capacity
from flamingosail.proxy.policy.feasibility import CallDemand
from flamingosail.proxy.policy.feasibility import coverable_shares
from flamingosail.proxy.policy.feasibility import RELIABLE_ACCEPTANCE
from flamingosail.proxy.shared.tenants import TenantTable

__all__ = [
    "Admission",
    "LoadMeter",
    "LoadReport",
    "USAGE_SCALE",
    "account_key",
    "add_scaled",
    "largest",
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
# Returning requests may be this many ahead of the share of their route.
MAX_CREDIT_DEBT = 20.0
# A request that makes fewer calls to a service on average may end without it.
MIN_NEEDED_CALLS = 0.9
# Routes of whose requests at least this share completes do not need a service
# that has no server now, whatever they called before.
MIN_COMPLETED_WITHOUT = 0.5
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
# Time constant of the accepted share of calls. Servers begin and cease to
# reject calls within moments.
ACCEPTANCE_DECAY_SECONDS = 0.5
# Fewer arrivals per second do not show whether a service rejects calls.
MIN_ARRIVALS_PER_SECOND = 2.0
# Time constant of the arrivals at a service from which the retries that the
# budget allows are computed; about the mean age of what it pays out.
ARRIVALS_SECONDS = 5.0
BUDGET_WINDOW_SECONDS = 10.0
# Reports list the accounts that send most for their weight on routes that are
# limited. The number bounds the bytes between failure domains.
MAX_REPORTED_ACCOUNTS = 12
MAX_AGGREGATED_ACCOUNTS = 32
ROUTE_KEY_MASK = 0xFFFF
# Reports carry rates in tenths and slot usage in hundredths.
RATE_SCALE = 10
USAGE_SCALE = 100
EQUAL_WEIGHTS: Mapping[int, float] = MappingProxyType({})


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
    ``arrivals`` counts what reached the server and ``rejected`` the part of it
    that the server rejected, in tenths per second. ``accounts`` divides
    ``offered`` of limited routes by client account (``account_key``).
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
    arrivals: int = 0
    rejected: int = 0
    accounts: dict[int, dict[int, int]] = {}


@lru_cache(maxsize=16_384)
def route_key(name: str) -> int:
    """Return a 16-bit hash of a route's name, the same at all nodes."""
    return xxh32_intdigest(name.encode()) & ROUTE_KEY_MASK


@lru_cache(maxsize=16_384)
def account_key(name: str) -> int:
    """Return a hash of a client account's name, the same at all nodes."""
    return xxh32_intdigest(name.encode())


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
        self.arrivals = 0.0
        self.rejected = 0.0
        self.accounts: dict[int, dict[int, float]] = {}

    def record_arrival(
        self, key: int, *, admitted: bool, account: int | None = None
    ):
        """Count a root request that arrived here from a client account."""
        self.offered[key] = self.offered.get(key, 0.0) + 1.0
        if account is not None:
            accounts = self.accounts.setdefault(key, {})
            accounts[account] = accounts.get(account, 0.0) + 1.0
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
        self.arrivals += 1.0

    def record_rejection(self):
        """Count a call that our server rejected; it is recorded as well."""
        self.rejected += 1.0

    def report(
        self,
        service: str,
        capacity: int,
        waiting: int,
        *,
        limited: Container[int] = (),
        weights: Mapping[int, float] = EQUAL_WEIGHTS,
    ) -> LoadReport:
        """Return the decayed rates and usage up to now.

        The report includes the accounts with the most requests for their
        weight on the routes ``limited``.
        """
        now = self.clock.seconds()
        factor = exp((self.decayed_at - now) / RATE_DECAY_SECONDS)
        short = exp((self.decayed_at - now) / ACCEPTANCE_DECAY_SECONDS)
        self.decayed_at = now
        self.arrivals *= short
        self.rejected *= short
        # A sum that decays with time constant T covers T seconds, fewer soon
        # after the start.
        window = RATE_DECAY_SECONDS * (
            1 - exp((self.started_at - now) / RATE_DECAY_SECONDS)
        )
        window = max(window, 0.1)
        rates = [
            decayed_rates(sums, factor, scale / window)
            for sums, scale in (
                (self.offered, RATE_SCALE),
                (self.admitted, RATE_SCALE),
                (self.ended, RATE_SCALE),
                (self.completed, RATE_SCALE),
                (self.slot_seconds, USAGE_SCALE),
                (self.calls, RATE_SCALE),
            )
        ]
        accounts = {}
        for key, sums in self.accounts.items():
            decayed = decayed_rates(sums, factor, RATE_SCALE / window)
            if key in limited:
                accounts[key] = heaviest(decayed, weights)
        scale = RATE_SCALE / ACCEPTANCE_DECAY_SECONDS
        return LoadReport(
            service,
            capacity,
            waiting,
            *rates,
            round(self.arrivals * scale),
            round(self.rejected * scale),
            accounts,
        )


class ServiceLoad:
    """Capacity, queue and target utilization of one service."""

    def __init__(self):
        self.capacity = 0
        self.waiting = 0
        self.previous_waiting = 0
        self.target_utilization = MAX_UTILIZATION
        self.arrivals = 0.0
        self.rejected = 0.0
        self.arrival_rate = 0.0

    @property
    def acceptance(self) -> float:
        """The share of the calls that the servers do not reject."""
        if self.arrivals < MIN_ARRIVALS_PER_SECOND:
            return 1.0
        return max(0.0, 1.0 - self.rejected / self.arrivals)

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

    ``account_shares`` holds, by route, the shares of client accounts, and
    under None that of the accounts that are not listed. ``floored`` holds the
    routes that get no more than their floor. All nodes may make
    ``retry_ratio`` retries per call, and ``retry_minimum`` in each window.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        retry_ratio: float = 0.0,
        retry_minimum: float = 0.0,
    ):
        self.clock = clock
        self.retry_ratio = retry_ratio
        self.retry_minimum = retry_minimum
        self.has_floors = False
        self.floored: set[int] = set()
        self.account_weights: dict[int, float] = {}
        self.account_shares: dict[int, dict[int | None, float]] = {}
        self.calls_per_request: dict[tuple[int, str], float] = {}
        self.first_seen: dict[tuple[int, str], float] = {}
        self.call_seconds: dict[tuple[int, str], float] = {}
        self.costs: dict[tuple[int, str], float] = {}
        self.services: dict[str, ServiceLoad] = {}
        self.shares: dict[int, float] = {}
        self.limiting_services: dict[int, str] = {}
        self.credits: dict[int, float] = {}
        self.computed_at = clock.seconds()

    def set_accounts(self, accounts: TenantTable | None):
        """Use the client accounts of a configuration, None if it has none.

        Accounts compete for room in proportion to their rates; one without a
        limit counts as the largest.
        """
        self.has_floors = accounts is not None
        self.account_weights = {}
        if accounts is not None:
            rates = [account.rate for account in accounts.by_name.values()]
            most = max(rates, default=0.0) or 1.0
            self.account_weights = {
                account_key(account.name): account.rate or most
                for account in accounts.by_name.values()
            }

    def admit(
        self,
        key: int,
        *,
        account: int | None = None,
        returning: bool = False,
    ) -> bool:
        """Return whether the next request of a route is admitted.

        A ``returning`` request, for which an admission was reserved, is
        admitted ahead of others of its route, which get less in turn.
        """
        share = self.shares.get(key)
        if share is None:
            return True
        accounts = self.account_shares.get(key)
        if accounts is not None:
            share = accounts.get(account, accounts[None])
        credit = self.credits.get(key, 0.5) + share
        if credit >= 1 or returning:
            self.credits[key] = max(-MAX_CREDIT_DEBT, credit - 1)
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
        accounts: dict[int, dict[int, float]] = {}
        for load in self.services.values():
            load.capacity = load.waiting = 0
            load.arrivals = load.rejected = 0.0
        for report in reports:
            add_scaled(offered, report.offered, 1 / RATE_SCALE)
            add_scaled(admitted, report.admitted, 1 / RATE_SCALE)
            add_scaled(ended, report.ended, 1 / RATE_SCALE)
            add_scaled(completed, report.completed, 1 / RATE_SCALE)
            for key, rates in report.accounts.items():
                add_scaled(accounts.setdefault(key, {}), rates, 1 / RATE_SCALE)
            if not report.capacity:
                continue
            load = self.services.setdefault(report.service, ServiceLoad())
            load.arrivals += report.arrivals / RATE_SCALE
            load.rejected += report.rejected / RATE_SCALE
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
        self.floored = set()
        for service, load in self.services.items():
            load.update_target()
            load.arrival_rate += (1 - exp(-elapsed / ARRIVALS_SECONDS)) * (
                load.arrivals - load.arrival_rate
            )
            if load.capacity:
                self.allocate_capacity(
                    service, load, offered, priorities, shares
                )
                self.limit_to_retries(
                    service, load, offered, priorities, shares
                )
            else:
                failing = [
                    key
                    for key, rate in ended.items()
                    if completed.get(key, 0.0) < MIN_COMPLETED_WITHOUT * rate
                ]
                self.limit(service, self.needing(service, failing), shares)
        self.shares = shares
        self.account_shares = {
            key: account_shares(
                accounts[key], self.account_weights, offered[key], share
            )
            for key, share in shares.items()
            if key in accounts and key in offered
        }

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
        # While calls are rejected at random, few requests complete, rejected
        # calls take no time, and retries count as calls.
        rejecting = any(
            load.capacity and load.acceptance < RELIABLE_ACCEPTANCE
            for load in self.services.values()
        )
        for key, rate in effective_rates.items():
            for service, load in self.services.items():
                if not load.capacity:
                    # Calls that cannot reach a server are not counted, so
                    # the estimate would fall to zero.
                    continue
                pair = (key, service)
                if rejecting and pair in self.calls_per_request:
                    continue
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
        """Divide the capacity of a service among routes.

        Lowers the entries of ``shares`` for routes that the service limits.
        """
        demands = [
            Demand(key=key, priority=priorities[key], slots=rate * cost)
            for key, rate in offered.items()
            if key in priorities
            and (cost := self.costs.get((key, service), 0.0))
            > NEGLIGIBLE_COST_SLOT_SECONDS
        ]
        if not demands:
            return
        last = max(demand.priority for demand in demands)
        backlog = self.backlog_slots(
            service,
            load,
            [demand.key for demand in demands if demand.priority == last],
        )
        division = divide_capacity(
            demands,
            load.capacity * load.target_utilization,
            backlog,
            floors=self.has_floors,
        )
        self.floored |= division.floored
        self.limit(service, division.shares, shares)

    def needing(self, service: str, keys: Iterable[int]) -> dict[int, float]:
        """Return a share of 0 for those routes whose requests need a service.

        Without a server of that service they would be begun in vain. A route
        that needs it for a part of its requests is not limited.
        """
        return {
            key: 0.0
            for key in keys
            if self.calls_per_request.get((key, service), 0.0)
            >= MIN_NEEDED_CALLS
        }

    def limit_to_retries(
        self,
        service: str,
        load: ServiceLoad,
        offered: dict[int, float],
        priorities: dict[int, int],
        shares: dict[int, float],
    ):
        """Lower the shares of routes whose requests mostly cannot end."""
        supply = (
            self.retry_ratio * load.arrival_rate
            + self.retry_minimum / BUDGET_WINDOW_SECONDS
        )
        demands = [
            CallDemand(
                key=key, priority=priorities[key], rate=rate, calls=calls
            )
            for key, rate in offered.items()
            if key in priorities
            and (calls := self.calls_per_request.get((key, service), 0.0)) > 0
        ]
        self.limit(
            service, coverable_shares(demands, load.acceptance, supply), shares
        )

    def limit(
        self, service: str, limits: dict[int, float], shares: dict[int, float]
    ):
        """Lower ``shares`` to what a service allows."""
        for key, limit in limits.items():
            share = max(MIN_ADMITTED_SHARE, limit)
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


def decayed_rates(
    sums: dict[int, float], factor: float, scale: float
) -> dict[int, int]:
    """Decay ``sums`` in place and return them as scaled whole numbers."""
    rates = {}
    for key in list(sums):
        sums[key] *= factor
        number = round(sums[key] * scale)
        if number:
            rates[key] = number
        elif sums[key] < 0.001:
            del sums[key]
    return rates


def heaviest(
    rates: dict[int, int], weights: Mapping[int, float]
) -> dict[int, int]:
    """Return the accounts with the most requests for their weight."""
    if len(rates) <= MAX_REPORTED_ACCOUNTS:
        return rates
    ordered = sorted(
        rates, key=lambda account: -rates[account] / weights.get(account, 1.0)
    )
    return {
        account: rates[account] for account in ordered[:MAX_REPORTED_ACCOUNTS]
    }


def largest(rates: dict[int, int]) -> dict[int, int]:
    """Return the accounts with the most requests of an aggregate."""
    if len(rates) <= MAX_AGGREGATED_ACCOUNTS:
        return rates
    ordered = sorted(rates, key=lambda account: (-rates[account], account))
    return {
        account: rates[account]
        for account in ordered[:MAX_AGGREGATED_ACCOUNTS]
    }
