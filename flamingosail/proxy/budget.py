"""The budget of second sends, which all nodes share by their traffic."""

from twisted.internet.interfaces import IReactorTime

__all__ = ["RepeatBudget"]

# Nodes may send a fifth of the requests again, over all nodes. Part of it is
# left for what a node cannot see, such as its own restarts.
DEFAULT_RATIO = 0.1
MAX_TOKENS = 4.0
START_TOKENS = 2.0


class RepeatBudget:
    """A token bucket for each service, filled by the requests for it."""

    def __init__(self, *, clock: IReactorTime, ratio: float = DEFAULT_RATIO):
        self.clock = clock
        self.ratio = ratio
        self.tokens: dict[str, float] = {}
        self.refused = 0

    def requested(self, service: str):
        """Earn a part of a second send."""
        tokens = self.tokens.get(service, START_TOKENS)
        self.tokens[service] = min(MAX_TOKENS, tokens + self.ratio)

    def spend(self, service: str):
        """Count a call of a request that was itself sent again."""
        tokens = self.tokens.get(service, START_TOKENS)
        self.tokens[service] = max(-MAX_TOKENS, tokens - 1)

    def take(self, service: str) -> bool:
        """Spend one second send if there is one."""
        tokens = self.tokens.get(service, START_TOKENS)
        if tokens < 1:
            self.refused += 1
            return False
        self.tokens[service] = tokens - 1
        return True
