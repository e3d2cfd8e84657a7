"""An in-memory log service on a clock, with faults."""

from collections import defaultdict

from twisted.internet.defer import Deferred
from twisted.internet.defer import fail
from twisted.internet.defer import succeed
from twisted.internet.interfaces import IReactorTime

from flamingosail.errors import LogUnavailable
from flamingosail.logservice import LogPage
from flamingosail.logservice import LogRecord
from flamingosail.logservice import LogService

__all__ = ["MemoryLog"]


class MemoryLog(LogService):
    """Keeps streams in memory and can be made to fail.

    ``down`` makes every operation fail without effect. ``delay`` is the
    seconds until an answer arrives; the operation itself takes effect at
    once. ``lose_answers`` is how many of the next appends take effect but
    fail with LogUnavailable. ``late_appends`` is how many of the next
    appends fail at once and take effect only in ``deliver_late``. Records
    older than ``retention`` seconds are trimmed.
    """

    def __init__(self, *, clock: IReactorTime, retention: float | None = None):
        self.clock = clock
        self.retention = retention
        self.down = False
        self.delay = 0.0
        self.lose_answers = 0
        self.late_appends = 0
        self.late: list[tuple[str, bytes]] = []
        self.reads = 0
        self.appends = 0
        self.first: dict[str, int] = defaultdict(int)
        self.streams: dict[str, list[tuple[float, bytes]]] = defaultdict(list)

    def append(self, *, stream: str, data: bytes) -> Deferred[int]:
        """Append a record, subject to the faults."""
        self.appends += 1
        if self.down:
            return fail(LogUnavailable("log is down"))
        if self.late_appends:
            self.late_appends -= 1
            self.late.append((stream, data))
            return fail(LogUnavailable("append is still under way"))
        offset = self._store(stream, data)
        if self.lose_answers:
            self.lose_answers -= 1
            return fail(LogUnavailable("answer was lost"))
        return self._answer(offset)

    def read(
        self, *, stream: str, offset: int, limit: int
    ) -> Deferred[LogPage]:
        """Return a page, subject to the faults."""
        self.reads += 1
        if self.down:
            return fail(LogUnavailable("log is down"))
        self._expire(stream)
        return self._answer(self.page(stream, offset, limit))

    def page(self, stream: str, offset: int, limit: int) -> LogPage:
        """Return a page at once, whatever the faults."""
        first, kept = self.first[stream], self.streams[stream]
        start = max(offset, first)
        chosen = kept[start - first : start - first + limit]
        return LogPage(
            first=first,
            end=first + len(kept),
            records=tuple(
                LogRecord(offset=start + index, data=data)
                for index, (_, data) in enumerate(chosen)
            ),
        )

    def trim(self, stream: str, first: int):
        """Remove the records below ``first``."""
        removed = max(0, first - self.first[stream])
        del self.streams[stream][:removed]
        self.first[stream] += removed

    def deliver_late(self):
        """Let the appends that were under way take effect."""
        late, self.late = self.late, []
        for stream, data in late:
            self._store(stream, data)

    def _store(self, stream: str, data: bytes) -> int:
        self._expire(stream)
        self.streams[stream].append((self.clock.seconds(), data))
        return self.first[stream] + len(self.streams[stream]) - 1

    def _expire(self, stream: str):
        if self.retention is None:
            return
        oldest = self.clock.seconds() - self.retention
        kept = self.streams[stream]
        expired = sum(1 for time, _ in kept if time < oldest)
        self.trim(stream, self.first[stream] + expired)

    def _answer(self, result) -> Deferred:
        if not self.delay:
            return succeed(result)
        deferred = Deferred()
        self.clock.callLater(self.delay, self._fire, deferred, result)
        return deferred

    def _fire(self, deferred: Deferred, result):
        if not deferred.called:
            deferred.callback(result)
