"""Admission control of one backend server by a priority threshold.

After DAGOR (SoCC 2018): queueing tells overload, and the threshold follows
from a histogram of the priorities that arrive. Unlike DAGOR, which moves the
threshold in fixed steps, one step reaches the level at which the arrivals
match the completions. The signal is the time that the queued calls need, not
the delay of those that leave: the queue serves important and new calls
first, so these leave early however many others wait.
"""

from math import exp

from twisted.internet.interfaces import IReactorTime

from flamingosail.priority import PRIORITY_BUCKETS
from flamingosail.priority import PRIORITY_LEVELS
from flamingosail.priority import PRIORITY_RANGE

__all__ = ["AdmissionControl"]

WINDOW_SECONDS = 0.1
TARGET_DELAY_SECONDS = 0.020
# Time constant of the histogram and of the completion count: short windows
# alone are too noisy for servers that complete few calls per window. At
# 100 ms per call and 4 slots, 0.28 s hold 11 completions.
MEMORY_SECONDS = 0.28
MEMORY_SERVICE_TIMES = 8
ADMITTED_SHARE = 0.95
RISE_STEP = PRIORITY_RANGE // 16
# A rise lets in at most this share of the completions in addition. At ten
# times the capacity, a whole step would let in more than twice the capacity.
RISE_SHARE = 0.1
# With a target of one call per slot, goodput of 4 slots of 100 ms was 0.91 to
# 0.97 of capacity under overload; with two it was 0.975 to 0.99.
BACKLOG_CALLS = 2
# Rises double while the queue stays short, so that the time to recover does
# not depend on how much was refused.
MAX_DOUBLINGS = 5
# A trickle of critical work always passes, so that recovery is noticed.
LOWEST_THRESHOLD = 8


class AdmissionControl:
    """Holds the threshold; priorities below it are admitted.

    ``threshold`` is from LOWEST_THRESHOLD to 512, where 512 admits all.
    ``queued`` holds the number of calls that wait by importance,
    ``service_seconds`` is the time of a call at the server and ``slots`` how
    many it serves at a time.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        target_delay: float = TARGET_DELAY_SECONDS,
    ):
        self.clock = clock
        self.target_delay = target_delay
        self.threshold = PRIORITY_RANGE
        self.window_start = clock.seconds()
        self.arrivals = [0.0] * PRIORITY_RANGE
        self.completions = 0.0
        self.dispatches = 0
        self.queued = [0] * PRIORITY_LEVELS
        self.quiet_windows = 0
        self.service_seconds = 0.0
        self.slots = 1.0
        self.refused = 0

    def admits(self, priority: int) -> bool:
        """Count an arrival and return whether it is admitted."""
        self.advance()
        self.arrivals[priority] += 1
        if priority < self.threshold:
            return True
        self.refused += 1
        return False

    def dispatched(self):
        """Note that a call left the queue."""
        self.dispatches += 1

    def completed(self):
        """Note that the backend server finished a call."""
        self.completions += 1

    def advance(self):
        """Move the threshold if a window has passed."""
        now = self.clock.seconds()
        elapsed = now - self.window_start
        if elapsed < WINDOW_SECONDS:
            return
        self.window_start = now
        target = self.target()
        backlog = self.backlog(elapsed)
        if backlog > target:
            lowest = max(self.overloaded_from(target), self.sustainable())
            self.threshold = min(self.threshold, lowest)
            self.quiet_windows = 0
        elif backlog < target / 2:
            steps = min(16, int(elapsed / WINDOW_SECONDS))
            self.threshold = min(
                PRIORITY_RANGE, self.threshold + steps * self.rise()
            )
            self.quiet_windows += 1
        self.decay(elapsed)

    def target(self) -> float:
        """Return the backlog in seconds above which calls are refused.

        With fewer than BACKLOG_CALLS waiting calls per slot, slots stay
        empty between arrivals, which come at random.
        """
        return max(self.target_delay, BACKLOG_CALLS * self.service_seconds)

    def backlog(self, elapsed: float) -> float:
        """Return the seconds that the server needs for the queued calls.

        A queue from which nothing left has waited the whole window.
        """
        queued = sum(self.queued)
        if queued and not self.dispatches:
            return max(self.seconds_for(queued), elapsed)
        return self.seconds_for(queued)

    def seconds_for(self, calls: int) -> float:
        """Return the seconds that the server needs for some calls."""
        return calls * self.service_seconds / self.slots

    def overloaded_from(self, target: float) -> int:
        """Return the first priority of the level that is overloaded.

        The queue serves the more important levels first, so that calls of
        less important ones do not delay them. Without this bound, the
        noise of few arrivals and completions refuses critical calls.
        """
        queued = 0
        for level, calls in enumerate(self.queued):
            queued += calls
            if self.seconds_for(queued) > target:
                return level * PRIORITY_BUCKETS
        return 0

    def rise(self) -> int:
        """Return by how much the threshold may rise in one window.

        The first rise after an overload is bounded by RISE_SHARE.
        """
        below = self.arrivals[
            max(0, self.threshold - RISE_STEP) : self.threshold
        ]
        per_priority = sum(below) / len(below)
        if not per_priority:
            return RISE_STEP
        step = max(1, int(RISE_SHARE * self.completions / per_priority))
        doublings = min(self.quiet_windows, MAX_DOUBLINGS)
        return min(RISE_STEP, step << doublings)

    def sustainable(self) -> int:
        """Return the largest threshold whose arrivals can be served."""
        budget = self.completions * ADMITTED_SHARE
        total = 0.0
        for priority, count in enumerate(self.arrivals):
            total += count
            if total > budget:
                return max(LOWEST_THRESHOLD, priority)
        return PRIORITY_RANGE

    def decay(self, elapsed: float):
        """Age the counts by the time that has passed."""
        memory = max(
            MEMORY_SECONDS, MEMORY_SERVICE_TIMES * self.service_seconds
        )
        factor = exp(-elapsed / memory)
        self.arrivals = [count * factor for count in self.arrivals]
        self.completions *= factor
        self.dispatches = 0

    def dump(self) -> dict:
        """Return the threshold and the counts behind it."""
        return {
            "threshold": self.threshold,
            "refused": self.refused,
            "completions": round(self.completions, 1),
            "backlog_ms": round(self.backlog(0.0) * 1000, 1),
        }
