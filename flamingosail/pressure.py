"""Thresholds of the services below, learnt from answers.

Every answer carries the lowest admission threshold met in its subtree. A
node that knows it refuses calls which a service further down would refuse,
before anything is spent on them.
"""

from random import Random

from twisted.internet.interfaces import IReactorTime

from flamingosail.priority import PRIORITY_RANGE

__all__ = ["PressureMap"]

# With 1 s and 2 s, requests were still refused more than 2 s after the end
# of an overload of ten times the capacity.
VALID_SECONDS = 0.5
RECOVERY_SECONDS = 1.0
# Several servers answer for one kind, each with its own threshold.
SMOOTHING = 0.2
# A kind with few answers would take seconds to forget at the same pace.
RISE_SMOOTHING = 0.4
# One refused call in this many passes, so that recovery is noticed even if
# all calls of a kind are refused here.
PROBE_INTERVAL_CALLS = 64


class PressureMap:
    """The smoothed threshold for each kind of request."""

    def __init__(self, *, clock: IReactorTime, random: Random):
        self.clock = clock
        self.random = random
        self.thresholds: dict[str, tuple[float, float]] = {}
        self.refused = 0

    def learn(self, kind: str, pressure: int):
        """Take in the pressure that an answer for ``kind`` carried."""
        now = self.clock.seconds()
        known = self.thresholds.get(kind)
        if known is None:
            if pressure < PRIORITY_RANGE:
                self.thresholds[kind] = (float(pressure), now)
            return
        current = self.threshold(kind)
        share = SMOOTHING if pressure < current else RISE_SMOOTHING
        smoothed = current + share * (pressure - current)
        if smoothed > PRIORITY_RANGE - 1:
            del self.thresholds[kind]
        else:
            self.thresholds[kind] = (smoothed, now)

    def threshold(self, kind: str) -> float:
        """Return the threshold for ``kind``; 512 if nothing is known.

        A value that is not refreshed rises back to 512.
        """
        known = self.thresholds.get(kind)
        if known is None:
            return PRIORITY_RANGE
        value, learnt = known
        stale = self.clock.seconds() - learnt - VALID_SECONDS
        if stale <= 0:
            return value
        share = min(1.0, stale / RECOVERY_SECONDS)
        return value + share * (PRIORITY_RANGE - value)

    def admits(self, kind: str, priority: int) -> bool:
        """Return whether a call may go out."""
        if kind not in self.thresholds:
            return True
        if priority < self.threshold(kind):
            return True
        if self.random.randrange(PROBE_INTERVAL_CALLS) == 0:
            return True
        self.refused += 1
        return False

    def overloaded(self, kind: str) -> bool:
        """Return whether a service below refuses calls of ``kind``."""
        return kind in self.thresholds and (
            self.threshold(kind) < PRIORITY_RANGE - 1
        )

    def dump(self) -> dict:
        """Return the thresholds in force."""
        return {
            "thresholds": {
                kind: round(self.threshold(kind)) for kind in self.thresholds
            },
            "refused": self.refused,
        }
