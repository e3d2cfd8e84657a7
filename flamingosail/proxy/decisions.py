"""Rate-limited log lines about requests.

Failures and rejections are logged one line each up to a high rate limit,
successes up to a low one. Suppressed lines are counted, and the next line
logs the count as ``left_out``.
"""

from collections.abc import Callable

from logbook import Logger
from twisted.internet.interfaces import IReactorTime

__all__ = ["DecisionLog"]

# A line costs about 25 us, so that this limit is 1% of a core.
MAX_FAILURES_PER_SECOND = 300.0
MAX_SUCCESSES_PER_SECOND = 10.0


class LineRateLimit:
    """A token bucket for log lines; it holds at most one second of them."""

    def __init__(self, *, clock: IReactorTime, per_second: float):
        self.clock = clock
        self.per_second = per_second
        self.tokens = per_second
        self.refilled_at = clock.seconds()
        self.suppressed = 0

    def try_acquire(self) -> bool:
        """Return whether a line may be logged; count it if not."""
        if self.tokens < 1:
            now = self.clock.seconds()
            self.tokens = min(
                self.per_second,
                self.tokens + (now - self.refilled_at) * self.per_second,
            )
            self.refilled_at = now
            if self.tokens < 1:
                self.suppressed += 1
                return False
        self.tokens -= 1
        return True

    def reset_suppressed(self) -> int:
        """Return the number of lines suppressed since the last call."""
        count, self.suppressed = self.suppressed, 0
        return count


class DecisionLog:
    """Logs decisions about requests, within rate limits.

    ``fields`` returns the fields of a line; it is called only if the line is
    logged.
    """

    def __init__(self, *, clock: IReactorTime, channel: str):
        self.log = Logger(channel)
        self.failures = LineRateLimit(
            clock=clock, per_second=MAX_FAILURES_PER_SECOND
        )
        self.successes = LineRateLimit(
            clock=clock, per_second=MAX_SUCCESSES_PER_SECOND
        )

    def failure(self, message: str, fields: Callable[[], dict]):
        """Log a failure, rejection, retry or limit on admission."""
        self.write(self.failures, message, fields)

    def success(self, message: str, fields: Callable[[], dict]):
        """Log a successful request."""
        self.write(self.successes, message, fields)

    def write(self, limit: LineRateLimit, message: str, fields: Callable):
        """Log a line unless its rate limit is reached."""
        if limit.try_acquire():
            extra = fields()
            suppressed = limit.reset_suppressed()
            if suppressed:
                extra["left_out"] = suppressed
            self.log.info(message, extra=extra)
