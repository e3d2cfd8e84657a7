"""The queue of admitted calls that wait for a slot."""

from collections import deque
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from flamingosail.priority import importance_of
from flamingosail.priority import PRIORITY_LEVELS

__all__ = ["CallQueue", "Queueable"]

DEFAULT_MAX_CALLS = 1000
# Above this age of the oldest call the queue serves the newest first: old
# calls are the ones most likely to miss their deadline anyway (as CoDel
# based servers do under overload).
NEWEST_FIRST_AGE_SECONDS = 0.1


class Queueable:
    """What the queue needs to know of a waiting call."""

    priority: int
    deadline: float
    enqueued: float
    cancelled: bool


class CallQueue:
    """Bounded; most important level first; expired calls are dropped.

    ``on_drop`` is called with each call that is dropped without having been
    dispatched, because it expired or had to give way.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        on_drop: Callable[[Queueable, bool], None],
        max_calls: int = DEFAULT_MAX_CALLS,
    ):
        self.clock = clock
        self.on_drop = on_drop
        self.max_calls = max_calls
        self.levels: list[deque[Queueable]] = [
            deque() for _ in range(PRIORITY_LEVELS)
        ]
        self.size = 0
        self.expired = 0
        self.displaced = 0

    def __len__(self) -> int:
        return self.size

    def lengths(self) -> list[int]:
        """Return how many calls wait at each importance."""
        return [len(level) for level in self.levels]

    def ahead_of(self, priority: int) -> int:
        """Return how many calls would be served before this priority."""
        level = importance_of(priority)
        return sum(len(self.levels[i]) for i in range(level + 1))

    def push(self, call: Queueable) -> bool:
        """Add a call; return False if the queue is full of better ones."""
        level = importance_of(call.priority)
        if self.size >= self.max_calls and not self.displace(level):
            return False
        call.enqueued = self.clock.seconds()
        self.levels[level].append(call)
        self.size += 1
        return True

    def displace(self, level: int) -> bool:
        """Drop the oldest call of the worst level below ``level``."""
        for worst in range(PRIORITY_LEVELS - 1, level, -1):
            if self.levels[worst]:
                call = self.levels[worst].popleft()
                self.size -= 1
                if not call.cancelled:
                    self.displaced += 1
                    self.on_drop(call, False)
                return True
        return False

    def pop(self) -> Queueable | None:
        """Remove and return the next call that can still be served."""
        now = self.clock.seconds()
        for level in self.levels:
            while level:
                call = self.take(level, now)
                self.size -= 1
                if call.cancelled:
                    continue
                if call.deadline <= now:
                    self.expired += 1
                    self.on_drop(call, True)
                    continue
                return call
        return None

    def take(self, level: deque, now: float) -> Queueable:
        """Remove the oldest call of a level, or the newest under load."""
        oldest = level[0]
        if oldest.deadline <= now or oldest.cancelled:
            return level.popleft()
        if now - oldest.enqueued > NEWEST_FIRST_AGE_SECONDS:
            return level.pop()
        return level.popleft()

    def dump(self) -> dict:
        """Return lengths per level and the numbers of dropped calls."""
        return {
            "queued": self.lengths(),
            "expired": self.expired,
            "displaced": self.displaced,
        }
