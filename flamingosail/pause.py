"""Notices that the process did not run for a while.

Messages that arrived while a process was frozen look new when it wakes. What
is read shortly after a pause is taken to have waited for all of it, so that
work whose sender has given up is not begun.
"""

from twisted.internet.interfaces import IReactorTime

from flamingosail.kernel import Service

__all__ = ["PauseMonitor"]

TICK_SECONDS = 0.05
# Shorter delays of the loop are ordinary: garbage collection, a busy VM.
SHORTEST_PAUSE_SECONDS = 0.25
# Reading what has arrived during a pause takes several turns of the loop.
AFTERMATH_SECONDS = 0.25


class PauseMonitor(Service):
    """Measures pauses by the lateness of a timer."""

    name = "pause"

    def __init__(self, *, clock: IReactorTime):
        self.clock = clock
        self.last_tick = clock.seconds()
        self.pause_seconds = 0.0
        self.stale_until = 0.0
        self.pauses = 0
        self.timer = None

    def start(self):
        """Begin to watch."""
        self.last_tick = self.clock.seconds()
        self.timer = self.clock.callLater(TICK_SECONDS, self.tick)

    def stop(self):
        """End watching."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def tick(self):
        """Compare the time since the last tick with the interval."""
        now = self.clock.seconds()
        late = now - self.last_tick - TICK_SECONDS
        self.last_tick = now
        if late >= SHORTEST_PAUSE_SECONDS:
            self.pauses += 1
            self.pause_seconds = late
            self.stale_until = now + AFTERMATH_SECONDS
        self.timer = self.clock.callLater(TICK_SECONDS, self.tick)

    def waited(self) -> float:
        """Return the seconds that what is read now may have waited."""
        now = self.clock.seconds()
        if now < self.stale_until:
            return self.pause_seconds
        late = now - self.last_tick - TICK_SECONDS
        return late if late >= SHORTEST_PAUSE_SECONDS else 0.0

    def dump(self) -> dict:
        """Return the number of pauses and the length of the last one."""
        return {
            "pauses": self.pauses,
            "last_pause_seconds": round(self.pause_seconds, 3),
        }
