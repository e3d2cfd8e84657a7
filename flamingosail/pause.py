"""Detection of pauses in which the process did not run.

Messages that arrived while the process was frozen look new when it resumes. A
message read shortly after a pause is assumed to have waited for all of it, so
that no call is started whose sender has given up.
"""

from twisted.internet.interfaces import IReactorTime

from flamingosail.kernel import Service

__all__ = ["PauseMonitor"]

TICK_SECONDS = 0.05
# Shorter delays of the event loop are normal: garbage collection, a busy VM.
MIN_PAUSE_SECONDS = 0.25
# Reading the messages that arrived during a pause takes several iterations of
# the event loop.
STALE_READ_SECONDS = 0.25


class PauseMonitor(Service):
    """Measures pauses by how late a periodic timer runs."""

    name = "pause"

    def __init__(self, *, clock: IReactorTime):
        self.clock = clock
        self.last_tick = clock.seconds()
        self.last_pause_seconds = 0.0
        self.stale_until = 0.0
        self.pauses = 0
        self.timer = None

    def start(self):
        """Start the timer."""
        self.last_tick = self.clock.seconds()
        self.timer = self.clock.callLater(TICK_SECONDS, self.tick)

    def stop(self):
        """Cancel the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def tick(self):
        """Record a pause if the timer ran late, and restart it."""
        now = self.clock.seconds()
        late = now - self.last_tick - TICK_SECONDS
        self.last_tick = now
        if late >= MIN_PAUSE_SECONDS:
            self.pauses += 1
            self.last_pause_seconds = late
            self.stale_until = now + STALE_READ_SECONDS
        self.timer = self.clock.callLater(TICK_SECONDS, self.tick)

    def read_delay(self) -> float:
        """Return the seconds that a message read now may have waited."""
        now = self.clock.seconds()
        if now < self.stale_until:
            return self.last_pause_seconds
        late = now - self.last_tick - TICK_SECONDS
        return late if late >= MIN_PAUSE_SECONDS else 0.0

    def dump(self) -> dict:
        """Return the number of pauses and the length of the last one."""
        return {
            "pauses": self.pauses,
            "last_pause_seconds": round(self.last_pause_seconds, 3),
        }
