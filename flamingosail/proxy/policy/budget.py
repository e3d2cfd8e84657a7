"""The retry budget, divided among all nodes.

When a deep service rejects many requests at random, a root request that needs
five calls there fails at one of them, and the budget does not cover a retry
for each. Retries go to the most important requests first, and among equals to
those whose earlier calls succeeded, since most of their work is done.

The platform counts the requests of the windows before as well. What a request
earns is therefore paid out over the seconds that follow, so that retries are
left when requests are refused because a deep service has begun to reject.
"""

from collections import deque
from math import exp

from twisted.internet.interfaces import IReactorTime

__all__ = ["RetryBudget"]

# The platform limits the number of retries in each window of this length.
WINDOW_SECONDS = 10.0
# What requests earn within one period is paid out evenly over the periods of
# a window. Retries of a window are thus paid by its own requests and those of
# the window before it, and by none that are older.
PERIOD_SECONDS = 1.0
PERIODS = round(WINDOW_SECONDS / PERIOD_SECONDS)
# All nodes together use this share of the granted ratio and can hold 1.1 times
# the granted minimum in tokens. Tokens beyond half of the minimum decay within
# a window. More than the minimum is therefore held only after so many recent
# requests that the unused part of the ratio covers the excess.
USED_RATIO_SHARE = 0.85
KEPT_MINIMUM_SHARE = 0.5
MAX_SAVED_MINIMUM_SHARE = 1.1
# A retry costs a whole token, so that a bucket must hold more than one.
MIN_BUCKET_TOKENS = 1.4
# Calls made by a retried request count as retries but are never rejected.
MAX_DEBT_TOKENS = 20.0
# Each level of ``try_spend`` leaves this share of the tokens above the first
# to the levels before it. In buckets larger than RESERVE_BASE_TOKENS, it is a
# share of that number.
RESERVE_SHARE_PER_LEVEL = 0.3
MAX_RESERVE_SHARE = 0.9
RESERVE_BASE_TOKENS = 2.5


class Earnings:
    """Tokens earned by the requests for one service.

    ``current`` is what was earned in the period that began at
    ``period_began``, and ``periods`` what was in each of those before it.
    Those of a window are paid at an even rate.
    """

    def __init__(self, now: float):
        self.period_began = self.paid_at = now
        self.current = 0.0
        self.periods: deque[float] = deque(maxlen=PERIODS)

    def pay(self, now: float) -> float:
        """Return the tokens that have become due since the last call."""
        due = 0.0
        while now >= self.period_began + PERIOD_SECONDS:
            end = self.period_began + PERIOD_SECONDS
            due += sum(self.periods) * (end - self.paid_at) / WINDOW_SECONDS
            self.periods.append(self.current)
            self.current = 0.0
            self.period_began = self.paid_at = end
        due += sum(self.periods) * (now - self.paid_at) / WINDOW_SECONDS
        self.paid_at = now
        return due


class RetryBudget:
    """A token bucket for each service, filled by the requests for it.

    ``ratio`` is the number of retries per request that all nodes together may
    make, ``minimum`` the number granted in addition in each window. A bucket
    holds at most ``bucket_size`` tokens, and ``initial_tokens`` for a service
    that has not been called yet. ``earnings`` holds what recent requests have
    earned. ``refused`` counts the retries for which too
    few tokens were left.
    """

    def __init__(self, *, clock: IReactorTime, ratio: float, minimum: float):
        self.clock = clock
        self.ratio = ratio * USED_RATIO_SHARE
        self.minimum = minimum
        self.tokens: dict[str, float] = {}
        self.earnings: dict[str, Earnings] = {}
        self.refused = 0
        self.updated_at = clock.seconds()
        self.update(1)

    def update(self, nodes: float):
        """Divide the minimum among ``nodes`` nodes and decay saved tokens.

        Must be called at least once a second. While the number of nodes is
        not known, it is infinite.
        """
        now = self.clock.seconds()
        factor = exp((self.updated_at - now) / WINDOW_SECONDS)
        self.updated_at = now
        share = self.minimum / nodes
        self.bucket_size = max(
            MIN_BUCKET_TOKENS, MAX_SAVED_MINIMUM_SHARE * share
        )
        # A restarted process must not get a full bucket again.
        self.initial_tokens = max(1.0, self.bucket_size / 2)
        for service in self.earnings:
            self.pay_out(service)
        kept = KEPT_MINIMUM_SHARE * share
        for service, tokens in self.tokens.items():
            if tokens > kept:
                self.tokens[service] = kept + factor * (tokens - kept)

    def record_request(self, service: str):
        """Earn a fraction of a token for a request."""
        earnings = self.earnings.get(service)
        if earnings is None:
            earnings = Earnings(self.clock.seconds())
            self.earnings[service] = earnings
        earnings.current += self.ratio

    def pay_out(self, service: str):
        """Move the part of the earnings that is due to the bucket."""
        now = self.clock.seconds()
        earnings = self.earnings.setdefault(service, Earnings(now))
        tokens = self.tokens.get(service, self.initial_tokens)
        self.tokens[service] = min(
            self.bucket_size, tokens + earnings.pay(now)
        )

    def charge(self, service: str):
        """Spend a token on a call that belongs to a retried request."""
        tokens = self.tokens.get(service, self.initial_tokens)
        self.tokens[service] = max(-MAX_DEBT_TOKENS, tokens - 1)

    def try_spend(
        self, service: str, *, priority: int, progressed: bool
    ) -> bool:
        """Spend a token on a retry; return False if there are too few.

        ``priority`` is that of the root request (0 is the most important).
        ``progressed`` is true for root requests, and for calls whose parent
        request has had a successful call before.
        """
        level = 2 * priority + (not progressed)
        reserve = min(MAX_RESERVE_SHARE, RESERVE_SHARE_PER_LEVEL * level)
        self.pay_out(service)
        tokens = self.tokens[service]
        if tokens < 1 + reserve * (
            min(self.bucket_size, RESERVE_BASE_TOKENS) - 1
        ):
            self.refused += 1
            return False
        self.tokens[service] = tokens - 1
        return True
