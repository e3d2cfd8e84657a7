"""Speed of a backend server compared with the others of its service.

Servers of one service differ in speed, for a time or for good. While there are
free slots, a request ends sooner at a fast server, and its slot is free again
sooner. The mean time of all requests does not tell a slow server from one that
gets longer requests, so each request is compared with the mean time that
requests of the same route take at the service.
"""

from math import exp

from twisted.internet.interfaces import IReactorTime

__all__ = ["SpeedMeter"]

# Time constant of the decay: a server that turns slow is known as slow within
# this time, and returns as gradually.
DECAY_SECONDS = 8.0
# Weight of the assumption that a server is as fast as the others, in seconds
# of requests.
PRIOR_SECONDS = 0.5
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 8.0


class SpeedMeter:
    """Compares the durations of served requests with the expected ones."""

    def __init__(self, *, clock: IReactorTime):
        self.clock = clock
        self.reset()

    def reset(self):
        """Forget the measurements, because another server has started."""
        self.measured = self.expected = 0.0
        self.decayed_at = self.clock.seconds()

    def record(self, seconds: float, expected_seconds: float):
        """Add a served request and its expected duration."""
        self.decay()
        self.measured += seconds
        self.expected += expected_seconds

    def slowness(self) -> float:
        """Return the duration of a request relative to the expected one."""
        self.decay()
        ratio = (self.measured + PRIOR_SECONDS) / (
            self.expected + PRIOR_SECONDS
        )
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))

    def decay(self):
        """Reduce the weight of older measurements."""
        now = self.clock.seconds()
        factor = exp((self.decayed_at - now) / DECAY_SECONDS)
        self.decayed_at = now
        self.measured *= factor
        self.expected *= factor
