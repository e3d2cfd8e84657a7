"""Log lines on requests, bounded in number.

Failures and refusals have a line each as long as the bound allows, ordinary
successes a few each second. What is left out is counted, and the count is
logged with the next line.
"""

from collections.abc import Callable

from logbook import Logger
from twisted.internet.interfaces import IReactorTime

__all__ = ["DecisionLog"]

# A line costs about 25 us, so that the bound is 1% of a core.
FAILURES_PER_SECOND = 300.0
SUCCESSES_PER_SECOND = 10.0


class LineBudget:
    """A token bucket that holds one second's worth of lines."""

    def __init__(self, *, clock: IReactorTime, per_second: float):
        self.clock = clock
        self.per_second = per_second
        self.tokens = per_second
        self.filled_at = clock.seconds()
        self.left_out = 0

    def take(self) -> bool:
        """Return whether a line may be written; else count it."""
        if self.tokens < 1:
            now = self.clock.seconds()
            self.tokens = min(
                self.per_second,
                self.tokens + (now - self.filled_at) * self.per_second,
            )
            self.filled_at = now
            if self.tokens < 1:
                self.left_out += 1
                return False
        self.tokens -= 1
        return True

    def take_count(self) -> int:
        """Return how many lines were left out since the last call."""
        count, self.left_out = self.left_out, 0
        return count


class DecisionLog:
    """Writes lines on requests; ``fields`` is called only if one is due."""

    def __init__(self, *, clock: IReactorTime, channel: str):
        self.log = Logger(channel)
        self.failures = LineBudget(clock=clock, per_second=FAILURES_PER_SECOND)
        self.successes = LineBudget(
            clock=clock, per_second=SUCCESSES_PER_SECOND
        )

    def failure(self, message: str, fields: Callable[[], dict]):
        """Log a decision that denies or delays something."""
        self.write(self.failures, message, fields)

    def success(self, message: str, fields: Callable[[], dict]):
        """Log an ordinary decision, one of many."""
        self.write(self.successes, message, fields)

    def write(self, budget: LineBudget, message: str, fields: Callable):
        """Log a line within its budget."""
        if budget.take():
            extra = fields()
            left_out = budget.take_count()
            if left_out:
                extra["left_out"] = left_out
            self.log.info(message, extra=extra)
