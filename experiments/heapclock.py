"""A simulated clock for many timers."""

from heapq import heappop
from heapq import heappush
from itertools import count

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock

__all__ = ["HeapClock"]


class HeapClock(Clock):
    """A ``task.Clock`` that keeps its calls in a heap.

    ``task.Clock`` sorts all calls whenever one is added, which took 85% of
    the processor time of a simulation of 200 nodes. During a call the clock
    shows the time for which the call was set.
    """

    def __init__(self):
        super().__init__()
        self.heap: list[tuple[float, int, DelayedCall]] = []
        self.numbers = count()

    def callLater(self, delay, function, *args, **kwargs):  # noqa: N802
        """Call the function after ``delay`` seconds of this clock."""
        call = DelayedCall(
            self.seconds() + delay,
            function,
            args,
            kwargs,
            lambda call: None,
            lambda call: None,
            self.seconds,
        )
        heappush(self.heap, (call.getTime(), next(self.numbers), call))
        return call

    def getDelayedCalls(self):  # noqa: N802
        """Return the calls that are still to come."""
        return [call for _, _, call in self.heap if call.active()]

    def advance(self, amount):
        """Move time forward and make the calls that are due in order."""
        end = self.rightNow + amount
        while self.heap and self.heap[0][0] <= end:
            due, _, call = heappop(self.heap)
            if call.active():
                self.rightNow = max(self.rightNow, due)
                call.called = 1
                call.func(*call.args, **call.kw)
        self.rightNow = end
