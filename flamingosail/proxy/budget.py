"""The budget of second sends, which all nodes share by their traffic.

Answers the pattern of a deep service that rejects many requests at random:
a request that needs five calls there fails at one of them, and there are too
few second sends for all. They go to the most urgent requests, and to those
first whose earlier calls were served, since most of their work is done.
"""

from math import exp

from twisted.internet.interfaces import IReactorTime

__all__ = ["RepeatBudget"]

# The platform grants second sends in each window of so many seconds.
WINDOW_SECONDS = 10.0
# All nodes use three quarters of the granted ratio, keep half of the granted
# minimum, and save up to another three quarters of it. What is saved beyond
# the half is forgotten within a window, so that where it exceeds the minimum
# there were requests enough for the unused quarter of the ratio to cover it.
USED_RATIO = 0.75
KEPT_MINIMUM = 0.5
SAVED_MINIMUM = 1.25
# Tokens are whole second sends, so that a bucket must hold more than one.
SMALLEST_BUCKET = 1.4
# Repeated runs make calls that count as second sends but cannot be refused.
MAX_DEBT = 20.0
# Tokens above the first that each level leaves to those before, as a share of
# the bucket; where buckets are large, of so many tokens.
RESERVE_PER_LEVEL = 0.3
LARGEST_RESERVE = 0.9
RESERVED_TOKENS = 2.5


class RepeatBudget:
    """A token bucket for each service, filled by the requests for it.

    ``ratio`` is the number of second sends for each request that all nodes
    together may make, ``minimum`` the number that is granted besides in each
    window. A bucket holds up to ``bucket`` tokens, and ``at_start`` for a
    service that was not called yet.
    """

    def __init__(self, *, clock: IReactorTime, ratio: float, minimum: float):
        self.clock = clock
        self.ratio = ratio * USED_RATIO
        self.minimum = minimum
        self.tokens: dict[str, float] = {}
        self.refused = 0
        self.adapted_at = clock.seconds()
        self.adapt(1)

    def adapt(self, nodes: int):
        """Share with so many nodes, and forget what was saved long ago.

        Called at least once a second.
        """
        now = self.clock.seconds()
        factor = exp((self.adapted_at - now) / WINDOW_SECONDS)
        self.adapted_at = now
        share = self.minimum / nodes
        self.bucket = max(SMALLEST_BUCKET, SAVED_MINIMUM * share)
        # A process that was restarted must not get all of them again.
        self.at_start = max(1.0, self.bucket / 2)
        kept = KEPT_MINIMUM * share
        for service, tokens in self.tokens.items():
            if tokens > kept:
                self.tokens[service] = kept + factor * (tokens - kept)

    def requested(self, service: str):
        """Earn a part of a second send."""
        tokens = self.tokens.get(service, self.at_start)
        self.tokens[service] = min(self.bucket, tokens + self.ratio)

    def spend(self, service: str):
        """Count a call of a request that was itself sent again."""
        tokens = self.tokens.get(service, self.at_start)
        self.tokens[service] = max(-MAX_DEBT, tokens - 1)

    def take(self, service: str, *, priority: int, progressed: bool) -> bool:
        """Spend one second send if there is one for such a request.

        ``priority`` is that of the request that began (0 is the highest),
        ``progressed`` says that it is no call, or that calls which belong to
        the same work were served before.
        """
        level = 2 * priority + (not progressed)
        reserve = min(LARGEST_RESERVE, RESERVE_PER_LEVEL * level)
        tokens = self.tokens.get(service, self.at_start)
        if tokens < 1 + reserve * (min(self.bucket, RESERVED_TOKENS) - 1):
            self.refused += 1
            return False
        self.tokens[service] = tokens - 1
        return True
