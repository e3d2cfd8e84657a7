"""Requests that cannot end while servers reject calls at random.

A root request with eight calls to a service that rejects half of its arrivals
ends only if each rejected call is retried until one is accepted. The retry
budget covers that for few requests. Those admitted beyond it occupy the
services above and fail.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["CallDemand", "coverable_shares"]

# A service that accepts at least this share of its arrivals rejects few
# enough calls for the retry budget alone.
RELIABLE_ACCEPTANCE = 0.85
# Routes whose requests end by chance more often than this are not limited.
# Refusing those would cost more answers than the retries that it frees, since
# every call that is sent also adds to the retry budget.
HOPELESS_CHANCE = 0.02
MIN_ACCEPTANCE = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class CallDemand:
    """The root requests per second of one class and their calls.

    ``calls`` is the number of calls that each makes to the service.
    """

    key: int
    priority: int
    rate: float
    calls: float


def coverable_shares(
    demands: Iterable[CallDemand], acceptance: float, supply: float
) -> dict[int, float]:
    """Return the share of each class that can end, by its key.

    ``acceptance`` is the share of arrivals that the service accepts, and
    ``supply`` the retries per second that the budget allows there. The most
    important classes get retries first, and among them those that need fewer.
    A class that is missing in the result need not be limited.
    """
    if acceptance >= RELIABLE_ACCEPTANCE:
        return {}
    acceptance = max(MIN_ACCEPTANCE, acceptance)
    retries_per_call = (1 - acceptance) / acceptance
    demands = [demand for demand in demands if demand.rate * demand.calls > 0]
    hopeless = [
        demand
        for demand in demands
        if acceptance**demand.calls < HOPELESS_CHANCE
    ]
    # Retries are paid at the nodes that make the calls. Routes that are not
    # limited keep those that their own calls earn.
    calls = sum(demand.rate * demand.calls for demand in demands)
    limited = sum(demand.rate * demand.calls for demand in hopeless)
    left = supply * limited / max(calls, 1e-9)
    shares = {}
    for demand in sorted(
        hopeless, key=lambda item: (item.priority, item.calls)
    ):
        need = demand.rate * demand.calls * retries_per_call
        shares[demand.key] = min(1.0, left / need)
        left = max(0.0, left - need)
    return shares
