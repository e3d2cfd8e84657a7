"""When and how soon a call is tried again."""

from random import Random

from flamingosail.manifest import ServiceSpec

__all__ = ["RetryBudget", "backoff"]

FIRST_BACKOFF_SECONDS = 0.010
MAX_BACKOFF_SECONDS = 0.500


class RetryBudget:
    """A token bucket that successes of a service fill.

    While a service fails, no tokens come in, so retries towards it stop
    first and return only after successes.
    """

    def __init__(self, *, ratio: float, cap: float):
        self.ratio = ratio
        self.cap = cap
        self.tokens = cap

    @classmethod
    def of(cls, spec: ServiceSpec) -> "RetryBudget":
        """Return the budget that a manifest states for a service."""
        return cls(ratio=spec.retry_budget_ratio, cap=spec.retry_budget_cap)

    def succeeded(self):
        """Earn a part of a retry."""
        self.tokens = min(self.cap, self.tokens + self.ratio)

    def take(self) -> bool:
        """Spend one retry if there is one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def backoff(retries: int, random: Random) -> float:
    """Return seconds to wait before retry number ``retries`` (from 1).

    Exponential with full jitter.
    """
    bound = FIRST_BACKOFF_SECONDS * 2 ** (retries - 1)
    return random.uniform(0, min(bound, MAX_BACKOFF_SECONDS))
