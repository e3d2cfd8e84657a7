"""Admission control of one backend server by a priority threshold.

After DAGOR (SoCC 2018): queueing indicates overload, and the threshold is
derived from a histogram of the priorities that arrive. Unlike DAGOR, which
moves the threshold in fixed steps, one update sets it to the level at which
arrivals match completions. The overload signal is the time needed to serve
the backlog, not the queueing delay of dispatched calls: the queue serves
important and recent calls first, so their delay stays short however long the
queue is.
"""

from math import exp

from twisted.internet.interfaces import IReactorTime

from flamingosail.priority import PRIORITY_BUCKETS
from flamingosail.priority import PRIORITY_LEVELS
from flamingosail.priority import PRIORITY_RANGE

__all__ = ["AdmissionControl"]

WINDOW_SECONDS = 0.1
TARGET_DELAY_SECONDS = 0.020
# Time constant with which the histogram and the completion count decay, and
# its minimum in service times. A single window is too noisy for a server that
# completes few calls in it: at 100 ms per call and 4 slots, 0.28 s hold 11
# completions.
DECAY_SECONDS = 0.28
DECAY_SERVICE_TIMES = 8
# Admitted arrivals as a fraction of the completions under overload.
TARGET_UTILIZATION = 0.95
MAX_INCREASE = PRIORITY_RANGE // 16
# After a long time without calls, one update raises the threshold by the
# increases of at most this many windows.
MAX_WINDOWS_PER_UPDATE = 16
# The first increase after an overload admits at most this fraction of the
# completions in addition. At ten times the capacity, MAX_INCREASE would admit
# more than twice the capacity.
INCREASE_FRACTION = 0.1
# With a target of one call per slot, goodput of 4 slots of 100 ms was 0.91 to
# 0.97 of capacity under overload; with two it was 0.975 to 0.99.
TARGET_BACKLOG_CALLS_PER_SLOT = 2
# The increase doubles while the backlog stays small, so that the recovery time
# does not depend on how much was refused.
MAX_DOUBLINGS = 5
# Priorities below this are always admitted; their completions show that the
# server has recovered.
MIN_THRESHOLD = 8


class AdmissionControl:
    """Holds the threshold; priorities below it are admitted.

    ``threshold`` is from MIN_THRESHOLD to 512, where 512 admits all calls.
    ``queued`` is the number of waiting calls per importance level,
    ``service_seconds`` the smoothed service time of a call and ``slots`` the
    number of calls that the server handles concurrently.
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
        self.increases_since_overload = 0
        self.service_seconds = 0.0
        self.slots = 1.0
        self.refused = 0

    def admits(self, priority: int) -> bool:
        """Count an arrival and return whether it is admitted."""
        self.update_threshold()
        self.arrivals[priority] += 1
        if priority < self.threshold:
            return True
        self.refused += 1
        return False

    def record_dispatch(self):
        """Count a call that left the queue for the backend server."""
        self.dispatches += 1

    def record_completion(self):
        """Count a call that the backend server finished."""
        self.completions += 1

    def update_threshold(self):
        """Adjust the threshold if a window has passed."""
        now = self.clock.seconds()
        elapsed = now - self.window_start
        if elapsed < WINDOW_SECONDS:
            return
        self.window_start = now
        target = self.target_backlog_seconds()
        backlog = self.backlog_seconds(elapsed)
        if backlog > target:
            lowest = max(
                self.first_overloaded_priority(target),
                self.sustainable_threshold(),
            )
            self.threshold = min(self.threshold, lowest)
            self.increases_since_overload = 0
        elif backlog < target / 2:
            windows = min(
                MAX_WINDOWS_PER_UPDATE, int(elapsed / WINDOW_SECONDS)
            )
            self.threshold = min(
                PRIORITY_RANGE, self.threshold + windows * self.increase()
            )
            self.increases_since_overload += 1
        self.decay_counts(elapsed)

    def target_backlog_seconds(self) -> float:
        """Return the backlog in seconds above which calls are refused.

        With fewer than TARGET_BACKLOG_CALLS_PER_SLOT waiting calls per slot,
        slots idle between arrivals, which are random.
        """
        return max(
            self.target_delay,
            TARGET_BACKLOG_CALLS_PER_SLOT * self.service_seconds,
        )

    def backlog_seconds(self, elapsed: float) -> float:
        """Return the seconds that the server needs for the queued calls.

        If no call left the queue in the window, its calls are taken to have
        waited for all of its ``elapsed`` seconds.
        """
        queued = sum(self.queued)
        if queued and not self.dispatches:
            return max(self.seconds_to_serve(queued), elapsed)
        return self.seconds_to_serve(queued)

    def seconds_to_serve(self, calls: int) -> float:
        """Return the seconds that the server needs for a number of calls."""
        return calls * self.service_seconds / self.slots

    def first_overloaded_priority(self, target: float) -> int:
        """Return the first priority of the first overloaded level.

        Less important calls do not delay more important ones, since the
        queue serves levels in order. Without this bound, critical calls are
        refused because of noise in small counts of arrivals and completions.
        """
        queued = 0
        for level, calls in enumerate(self.queued):
            queued += calls
            if self.seconds_to_serve(queued) > target:
                return level * PRIORITY_BUCKETS
        return 0

    def increase(self) -> int:
        """Return by how much the threshold may rise in one window.

        The first increase after an overload is bounded by INCREASE_FRACTION.
        """
        below = self.arrivals[
            max(0, self.threshold - MAX_INCREASE) : self.threshold
        ]
        per_priority = sum(below) / len(below)
        if not per_priority:
            return MAX_INCREASE
        step = max(1, int(INCREASE_FRACTION * self.completions / per_priority))
        doublings = min(self.increases_since_overload, MAX_DOUBLINGS)
        return min(MAX_INCREASE, step << doublings)

    def sustainable_threshold(self) -> int:
        """Return the largest threshold whose arrivals can be served."""
        budget = self.completions * TARGET_UTILIZATION
        total = 0.0
        for priority, count in enumerate(self.arrivals):
            total += count
            if total > budget:
                return max(MIN_THRESHOLD, priority)
        return PRIORITY_RANGE

    def decay_counts(self, elapsed: float):
        """Decay the counts exponentially by the elapsed seconds."""
        time_constant = max(
            DECAY_SECONDS, DECAY_SERVICE_TIMES * self.service_seconds
        )
        factor = exp(-elapsed / time_constant)
        self.arrivals = [count * factor for count in self.arrivals]
        self.completions *= factor
        self.dispatches = 0

    def dump(self) -> dict:
        """Return the threshold, the counts and the backlog in ms."""
        return {
            "threshold": self.threshold,
            "refused": self.refused,
            "completions": round(self.completions, 1),
            "backlog_ms": round(self.backlog_seconds(0.0) * 1000, 1),
        }
