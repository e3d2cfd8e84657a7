"""Retry budgets and retry backoff."""

from random import Random

from flamingosail.manifest import ServiceSpec

__all__ = ["RetryBudget", "backoff"]

FIRST_BACKOFF_SECONDS = 0.010
MAX_BACKOFF_SECONDS = 0.500


class RetryBudget:
    """Token bucket of retries to one service, refilled by its successes.

    Each success adds ``ratio`` tokens, up to ``cap``; a retry costs one. A
    failing service earns no tokens, so retries to it soon stop and resume
    only after successes.
    """

    def __init__(self, *, ratio: float, cap: float):
        self.ratio = ratio
        self.cap = cap
        self.tokens = cap

    @classmethod
    def from_spec(cls, spec: ServiceSpec) -> "RetryBudget":
        """Return a full budget with a service's manifest settings."""
        return cls(ratio=spec.retry_budget_ratio, cap=spec.retry_budget_cap)

    def record_success(self):
        """Add ``ratio`` tokens, up to the cap."""
        self.tokens = min(self.cap, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Spend one token; return False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def backoff(retries: int, random: Random) -> float:
    """Return the delay in seconds before retry number ``retries`` (from 1).

    Exponential with full jitter.
    """
    bound = FIRST_BACKOFF_SECONDS * 2 ** (retries - 1)
    return random.uniform(0, min(bound, MAX_BACKOFF_SECONDS))
