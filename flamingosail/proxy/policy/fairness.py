"""Division of scarce capacity among routes and among client accounts.

Strict priority alone leaves nothing to the least important route while a
service is overloaded for long. Every route therefore has a floor that more
important ones do not take. Within a route, the account that sends far more
than its quota's part is cut first.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = [
    "Demand",
    "Division",
    "account_shares",
    "divide_capacity",
    "max_min_level",
]

# Floor of a route, as a share of what it would get if all routes were cut
# alike. Refused clients come back once, so that half of an equal cut still
# lets most callers of the route through in time.
FLOOR_SHARE = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Slots that the requests of one route would occupy at a service.

    ``key`` identifies the route; ``priority`` 0 is the most important.
    """

    key: int
    priority: int
    slots: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Division:
    """How the capacity of a service is divided among routes.

    ``shares`` holds the part of each route's demand that fits, ``floored``
    the routes that get no more than their floor.
    """

    shares: dict[int, float]
    floored: frozenset[int]


def divide_capacity(
    demands: Iterable[Demand],
    capacity: float,
    backlog: float,
    *,
    floors: bool,
) -> Division:
    """Divide ``capacity`` slots: floors first, then by priority.

    Routes of one priority are cut alike. ``backlog`` is the number of slots
    that queued requests need. The least important routes make room for it
    above their floors, and all floors shrink with it.
    """
    levels: dict[int, list[Demand]] = {}
    for demand in demands:
        levels.setdefault(demand.priority, []).append(demand)
    total = sum(demand.slots for level in levels.values() for demand in level)
    floor = 0.0
    if floors:
        fitting = max(0.0, capacity - backlog) / total
        floor = FLOOR_SHARE * min(1.0, fitting)
    left = capacity - floor * total
    last = max(levels)
    shares = {}
    floored = set()
    for priority in sorted(levels):
        if priority == last:
            left = max(0.0, left - backlog)
        slots = sum(demand.slots for demand in levels[priority])
        share = min(1.0, floor + left / slots)
        for demand in levels[priority]:
            shares[demand.key] = share
            if floors and left <= 0.0:
                floored.add(demand.key)
        left = max(0.0, left - (1.0 - floor) * slots)
    return Division(shares=shares, floored=frozenset(floored))


def max_min_level(
    rates: Mapping[int, float], weights: Mapping[int, float], total: float
) -> float:
    """Return the rate per weight up to which accounts are admitted.

    ``rates`` holds the offered rates by account; what is admitted of them adds
    up to ``total``. What accounts below the level leave unused goes to the
    others. The weight of an account is 1 unless ``weights`` has another one.
    """
    ordered = sorted(
        (rate / weights.get(account, 1.0), weights.get(account, 1.0))
        for account, rate in rates.items()
    )
    left = total
    weight_left = sum(weight for _, weight in ordered)
    for relative, weight in ordered:
        level = left / weight_left
        if relative >= level:
            return max(0.0, level)
        left -= relative * weight
        weight_left -= weight
    return float("inf")


def account_shares(
    rates: Mapping[int, float],
    weights: Mapping[int, float],
    offered: float,
    share: float,
) -> dict[int | None, float]:
    """Return the admitted share of each account's requests for a route.

    ``share`` is that of the route and ``offered`` its requests per second.
    ``rates`` has the accounts that send most for their weight; the entry None
    is for all others. These are not cut below an account that is listed.
    """
    listed = sum(rates.values())
    total = share * offered
    unlisted = max(0.0, offered - listed)
    level = max_min_level(rates, weights, total - unlisted)
    if unlisted > 0 and rates:
        smallest = min(
            rate / weights.get(account, 1.0) for account, rate in rates.items()
        )
        level = max(level, smallest)
    admitted = {
        account: min(rate, level * weights.get(account, 1.0))
        for account, rate in rates.items()
    }
    # Above the level of the smallest listed account, all are cut alike.
    sought = unlisted + sum(admitted.values())
    scale = min(1.0, total / sought) if sought > 0 else share
    shares: dict[int | None, float] = {
        account: scale * admitted[account] / rates[account]
        for account in rates
    }
    shares[None] = scale
    return shares
