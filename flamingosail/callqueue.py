"""Queue of admitted calls that wait for a slot at the backend server."""

from collections import deque
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from flamingosail.priority import importance_of
from flamingosail.priority import PRIORITY_LEVELS

__all__ = ["CallQueue", "Queueable"]

DEFAULT_MAX_CALLS = 1000
# If the oldest call has waited longer than this, the newest call is served
# first (adaptive LIFO, used with CoDel under overload): the oldest calls are
# the most likely to miss their deadline anyway.
NEWEST_FIRST_AGE_SECONDS = 0.1


class Queueable:
    """Attributes of a call that the queue uses; times are in seconds."""

    priority: int
    deadline: float
    enqueued_at: float
    cancelled: bool


class CallQueue:
    """A bounded priority queue that drops expired calls.

    ``on_drop`` is called with each call that is dropped before its dispatch,
    unless it was cancelled, and with whether it expired. If it did not, a more
    important call displaced it.
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
        """Return the number of waiting calls per importance level."""
        return [len(level) for level in self.levels]

    def ahead_of(self, priority: int) -> int:
        """Return how many calls wait at this priority's level and above."""
        level = importance_of(priority)
        return sum(len(self.levels[i]) for i in range(level + 1))

    def push(self, call: Queueable) -> bool:
        """Add a call; return False if full and no call can be displaced."""
        level = importance_of(call.priority)
        if self.size >= self.max_calls and not self.displace(level):
            return False
        call.enqueued_at = self.clock.seconds()
        self.levels[level].append(call)
        self.size += 1
        return True

    def displace(self, level: int) -> bool:
        """Drop the oldest of the least important waiting calls.

        Return False if no waiting call is less important than ``level``.
        """
        for lowest in range(PRIORITY_LEVELS - 1, level, -1):
            if self.levels[lowest]:
                call = self.levels[lowest].popleft()
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
                call = self.pop_from(level, now)
                self.size -= 1
                if call.cancelled:
                    continue
                if call.deadline <= now:
                    self.expired += 1
                    self.on_drop(call, True)
                    continue
                return call
        return None

    def pop_from(self, level: deque, now: float) -> Queueable:
        """Remove the oldest call of a level, or its newest if delayed."""
        oldest = level[0]
        if oldest.deadline <= now or oldest.cancelled:
            return level.popleft()
        if now - oldest.enqueued_at > NEWEST_FIRST_AGE_SECONDS:
            return level.pop()
        return level.popleft()

    def dump(self) -> dict:
        """Return queue length per level and numbers of dropped calls."""
        return {
            "queued": self.lengths(),
            "expired": self.expired,
            "displaced": self.displaced,
        }
