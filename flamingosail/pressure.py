"""Admission thresholds of downstream services, learned from answers.

Every answer carries its pressure: the lowest admission threshold met by the
calls below it. With it a node refuses calls that a service further downstream
would refuse, before any work is done for them.
"""

from random import Random

from twisted.internet.interfaces import IReactorTime

from flamingosail.priority import PRIORITY_RANGE

__all__ = ["PressureMap"]

# With 1 s and 2 s, requests were still refused more than 2 s after the end
# of an overload of ten times the capacity.
VALID_SECONDS = 0.5
RECOVERY_SECONDS = 1.0
# Weights of a new value in the moving average. Values are averaged because the
# servers of one kind have different thresholds.
DECREASE_WEIGHT = 0.2
# With the weight of a decrease, a kind with few answers would take seconds to
# recover.
INCREASE_WEIGHT = 0.4
# One in this many calls is sent instead of refused, so that recovery is
# detected even if all calls of a kind are refused here.
PROBE_INTERVAL_CALLS = 64


class PressureMap:
    """Holds the smoothed threshold of each kind of request."""

    def __init__(self, *, clock: IReactorTime, random: Random):
        self.clock = clock
        self.random = random
        self.thresholds: dict[str, tuple[float, float]] = {}
        self.refused = 0

    def update(self, kind: str, pressure: int):
        """Add the pressure from an answer for ``kind`` to its average."""
        now = self.clock.seconds()
        known = self.thresholds.get(kind)
        if known is None:
            if pressure < PRIORITY_RANGE:
                self.thresholds[kind] = (float(pressure), now)
            return
        current = self.threshold(kind)
        weight = DECREASE_WEIGHT if pressure < current else INCREASE_WEIGHT
        smoothed = current + weight * (pressure - current)
        if smoothed > PRIORITY_RANGE - 1:
            del self.thresholds[kind]
        else:
            self.thresholds[kind] = (smoothed, now)

    def threshold(self, kind: str) -> float:
        """Return the threshold for ``kind``; 512 if nothing is known.

        Without answers the value holds for VALID_SECONDS, then rises to 512
        over RECOVERY_SECONDS.
        """
        known = self.thresholds.get(kind)
        if known is None:
            return PRIORITY_RANGE
        value, updated_at = known
        stale_seconds = self.clock.seconds() - updated_at - VALID_SECONDS
        if stale_seconds <= 0:
            return value
        recovered = min(1.0, stale_seconds / RECOVERY_SECONDS)
        return value + recovered * (PRIORITY_RANGE - value)

    def admits(self, kind: str, priority: int) -> bool:
        """Return whether a call may be sent."""
        if kind not in self.thresholds:
            return True
        if priority < self.threshold(kind):
            return True
        if self.random.randrange(PROBE_INTERVAL_CALLS) == 0:
            return True
        self.refused += 1
        return False

    def overloaded(self, kind: str) -> bool:
        """Return whether a downstream service refuses calls of ``kind``."""
        return kind in self.thresholds and (
            self.threshold(kind) < PRIORITY_RANGE - 1
        )

    def dump(self) -> dict:
        """Return the current thresholds and the number of refused calls."""
        return {
            "thresholds": {
                kind: round(self.threshold(kind)) for kind in self.thresholds
            },
            "refused": self.refused,
        }
