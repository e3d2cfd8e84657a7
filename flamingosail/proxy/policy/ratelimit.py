"""Rate limit of requests to a backend server that states one."""

from twisted.internet.interfaces import IReactorTime

__all__ = ["RateLimiter"]

# Requests that were not sent in time, because a timer was late, may be sent
# together if they were due within this time.
BURST_SECONDS = 0.1
# A server that states a limit of 0 gets this rate, since only a response tells
# that it takes more again.
MIN_RATE_PER_SECOND = 0.5
# A server that raises its limit is recovering. The lower limit holds for this
# long, so that it does not fall over again.
RAISE_DELAY_SECONDS = 30.0


class RateLimiter:
    """A token bucket; without a rate, requests are not limited.

    ``rate`` is the limit in force in requests per second, or None, and
    ``stated_at`` is when the server last stated it.
    """

    def __init__(self, *, clock: IReactorTime):
        self.clock = clock
        self.rate: float | None = None
        self.stated_at = 0.0
        self.tokens = 0.0
        self.refilled_at = 0.0

    def set_rate(self, rate: float | None):
        """Use the rate that the server states; None ends the limit.

        A new limit starts without tokens: the requests that were sent just
        before are still at the server. A raised limit counts once the lower
        one was not stated for RAISE_DELAY_SECONDS.
        """
        now = self.clock.seconds()
        if self.rate is None:
            self.tokens = 0.0
            self.refilled_at = now
        elif rate is not None:
            if rate > self.rate and now - self.stated_at < RAISE_DELAY_SECONDS:
                return
            self.refill()
        self.rate = rate
        self.stated_at = now

    @property
    def effective_rate(self) -> float | None:
        """The requests per second that may be sent, None if not limited."""
        return (
            None if self.rate is None else max(MIN_RATE_PER_SECOND, self.rate)
        )

    def refill(self):
        """Add the tokens for the time since the last call."""
        now = self.clock.seconds()
        rate = self.effective_rate
        self.tokens = min(
            1.0 + rate * BURST_SECONDS,
            self.tokens + rate * (now - self.refilled_at),
        )
        self.refilled_at = now

    def delay(self) -> float:
        """Return the seconds until the next request may be sent."""
        if self.rate is None:
            return 0.0
        self.refill()
        return max(0.0, (1.0 - self.tokens) / self.effective_rate)

    def record_request(self):
        """Count a request that is sent."""
        if self.rate is not None:
            self.refill()
            self.tokens -= 1.0
