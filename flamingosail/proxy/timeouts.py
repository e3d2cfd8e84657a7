"""Many timeouts on few timers of the reactor."""

from collections.abc import Callable
from heapq import heappop
from heapq import heappush
from itertools import count

from twisted.internet.interfaces import IReactorTime

__all__ = ["Timeouts"]

# Timeouts fire up to this much late; one wake-up serves all of an interval.
GRAIN_SECONDS = 0.02


class Timeouts:
    """Calls ``on_due(item)`` at a time, unless ``item.over`` is true then.

    Most requests end before their timeout, so that a heap whose entries stay
    until they are due costs less than one timer for each.
    """

    def __init__(self, *, clock: IReactorTime, on_due: Callable):
        self.clock = clock
        self.on_due = on_due
        self.heap: list = []
        self.numbers = count()
        self.timer = None
        self.due = 0.0

    def add(self, when: float, item):
        """Watch an item until ``when``, in the reactor's time."""
        heappush(self.heap, (when, next(self.numbers), item))
        if self.timer is None:
            self.arm()
        elif when < self.due - GRAIN_SECONDS:
            self.due = when
            wait = when - self.clock.seconds()
            self.timer.reset(max(wait, GRAIN_SECONDS))

    def arm(self):
        """Start the timer for the next item that is not over."""
        heap = self.heap
        while heap and heap[0][2].over:
            heappop(heap)
        if heap:
            self.due = heap[0][0]
            wait = self.due - self.clock.seconds()
            self.timer = self.clock.callLater(
                max(wait, GRAIN_SECONDS), self.fire
            )
        else:
            self.timer = None

    def fire(self):
        """Report the items that are due."""
        self.timer = None
        now = self.clock.seconds()
        heap = self.heap
        while heap and (heap[0][0] <= now or heap[0][2].over):
            item = heappop(heap)[2]
            if not item.over:
                self.on_due(item)
        if self.timer is None:
            self.arm()

    def stop(self):
        """Cancel the timer."""
        timer, self.timer = self.timer, None
        if timer is not None:
            timer.cancel()
