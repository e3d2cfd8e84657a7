"""Adaptive limit of the calls in flight at one backend server."""

from twisted.internet.interfaces import IReactorTime

__all__ = ["ConcurrencyLimit"]

# Slow start: a server that has just announced itself may be cold, so its limit
# starts at a tenth of the cap and doubles with each round of successes.
INITIAL_LIMIT_FRACTION = 0.1
DECREASE_FACTOR = 0.7
# At most one decrease per interval, since calls that were in flight together
# fail together.
DECREASE_INTERVAL_SECONDS = 0.1
# Weight of the latest call in the moving average of the latency.
LATENCY_WEIGHT = 0.1


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease below the announced cap.

    ``cap`` is the smaller of slots and connections. ``limit`` is the number
    of calls that may be in flight now. ``latency`` is the smoothed time in
    seconds that the server itself spends on a call.
    """

    def __init__(self, *, clock: IReactorTime):
        self.clock = clock
        self.cap = 0
        self.limit = 0.0
        self.in_flight = 0
        self.slow_start = True
        self.decreased_at = clock.seconds()
        self.latency = 0.0

    def configure(self, *, slots: int, connections: int):
        """Set the cap for a newly announced server and start slowly."""
        self.cap = min(slots, connections)
        self.limit = max(1.0, self.cap * INITIAL_LIMIT_FRACTION)
        self.slow_start = True

    @property
    def has_capacity(self) -> bool:
        """Whether one more call may be in flight."""
        return self.in_flight < int(self.limit)

    def started(self):
        """Count a call that is sent to the server."""
        self.in_flight += 1

    def finished(self, *, own_seconds: float, failed: bool):
        """Count the end of a call and adjust the limit.

        ``own_seconds`` is the time that the server spent on the call, without
        the time in which it waited for child calls. ``failed`` is true if the
        server refused the call, did not answer or lost the connection.
        """
        was_full = self.in_flight >= int(self.limit)
        self.in_flight -= 1
        if failed:
            self.decrease()
            return
        self.latency += LATENCY_WEIGHT * (own_seconds - self.latency)
        if was_full:
            step = 1.0 if self.slow_start else 1.0 / self.limit
            self.limit = min(float(self.cap), self.limit + step)

    def decrease(self):
        """Lower the limit after an overload signal."""
        now = self.clock.seconds()
        if now - self.decreased_at >= DECREASE_INTERVAL_SECONDS:
            self.decreased_at = now
            self.slow_start = False
            self.limit = max(1.0, self.limit * DECREASE_FACTOR)

    def dump(self) -> dict:
        """Return cap, limit, calls in flight and latency."""
        return {
            "cap": self.cap,
            "limit": round(self.limit, 2),
            "in_flight": self.in_flight,
            "latency_ms": round(self.latency * 1000, 2),
        }
