"""Many timeouts on one reactor timer."""

from collections.abc import Callable
from heapq import heappop
from heapq import heappush
from itertools import count

from logbook import Logger
from twisted.internet.interfaces import IReactorTime

__all__ = ["Timeouts"]

# Timeouts fire up to this much late, so that one wake-up handles all timeouts
# of an interval.
RESOLUTION_SECONDS = 0.02

log = Logger("proxy.timeouts")


class Timeouts:
    """Calls ``on_due(item)`` at a set time unless ``item.done`` is set.

    Most requests end before their timeout. One heap in which their entries
    stay until they are due costs less than a reactor timer for each request.
    """

    def __init__(self, *, clock: IReactorTime, on_due: Callable):
        self.clock = clock
        self.on_due = on_due
        self.heap: list = []
        self.sequence = count()
        self.timer = None
        self.due = 0.0

    def add(self, when: float, item):
        """Add a timeout for an item at ``when``, in the reactor's time."""
        heappush(self.heap, (when, next(self.sequence), item))
        if self.timer is None:
            self.arm()
        elif when < self.due - RESOLUTION_SECONDS:
            self.due = when
            wait = when - self.clock.seconds()
            self.timer.reset(max(wait, RESOLUTION_SECONDS))

    def pending(self) -> list:
        """Return the items that are not done, in no particular order."""
        return [item for _, _, item in self.heap if not item.done]

    def arm(self):
        """Start the timer for the next item that is not done."""
        heap = self.heap
        while heap and heap[0][2].done:
            heappop(heap)
        if heap:
            self.due = heap[0][0]
            wait = self.due - self.clock.seconds()
            self.timer = self.clock.callLater(
                max(wait, RESOLUTION_SECONDS), self.fire
            )
        else:
            self.timer = None

    def fire(self):
        """Call ``on_due`` for the items that are due."""
        self.timer = None
        now = self.clock.seconds()
        heap = self.heap
        while heap and (heap[0][0] <= now or heap[0][2].done):
            item = heappop(heap)[2]
            if not item.done:
                try:
                    self.on_due(item)
                except Exception:
                    # The other timeouts must not wait for the next call of
                    # ``add``.
                    log.exception("timeout failed")
        if self.timer is None:
            self.arm()

    def stop(self):
        """Cancel the timer; the items stay, and ``add`` starts it again."""
        timer, self.timer = self.timer, None
        if timer is not None:
            timer.cancel()
