"""In-memory log service with injectable faults, for tests."""

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
    """Keeps streams in memory; its attributes inject faults.

    ``down`` makes every operation fail without effect. ``delay`` is the
    time in seconds until a response arrives; the operation itself takes
    effect at once. The next ``lose_answers`` appends take effect but fail
    with LogUnavailable. The next ``late_appends`` appends fail at once and
    take effect only in ``deliver_late``. Records older than ``retention``
    seconds are trimmed. ``reads`` and ``appends`` count the calls.
    """

    def __init__(self, *, clock: IReactorTime, retention: float | None = None):
        self.clock = clock
        self.retention = retention
        self.down = False
        self.delay = 0.0
        self.lose_answers = 0
        self.late_appends = 0
        self.delayed_appends: list[tuple[str, bytes]] = []
        self.reads = 0
        self.appends = 0
        self.first: dict[str, int] = defaultdict(int)
        self.streams: dict[str, list[tuple[float, bytes]]] = defaultdict(list)

    def append(self, *, stream: str, data: bytes) -> Deferred[int]:
        """Append a record and return its offset, subject to the faults."""
        self.appends += 1
        if self.down:
            return fail(LogUnavailable("log is down"))
        if self.late_appends:
            self.late_appends -= 1
            self.delayed_appends.append((stream, data))
            return fail(LogUnavailable("append is still in progress"))
        offset = self._store(stream, data)
        if self.lose_answers:
            self.lose_answers -= 1
            return fail(LogUnavailable("response was lost"))
        return self._respond(offset)

    def read(
        self, *, stream: str, offset: int, limit: int
    ) -> Deferred[LogPage]:
        """Return a page of records, subject to the faults."""
        self.reads += 1
        if self.down:
            return fail(LogUnavailable("log is down"))
        self._trim_expired(stream)
        return self._respond(self.page(stream, offset, limit))

    def page(self, stream: str, offset: int, limit: int) -> LogPage:
        """Return a page of records; the faults don't apply."""
        first, retained = self.first[stream], self.streams[stream]
        start = max(offset, first)
        selected = retained[start - first : start - first + limit]
        return LogPage(
            first=first,
            end=first + len(retained),
            records=tuple(
                LogRecord(offset=start + index, data=data)
                for index, (_, data) in enumerate(selected)
            ),
        )

    def trim(self, stream: str, first: int):
        """Remove the records with offsets below ``first``."""
        removed = max(0, first - self.first[stream])
        del self.streams[stream][:removed]
        self.first[stream] += removed

    def deliver_late(self):
        """Carry out the appends that ``late_appends`` delayed."""
        delayed, self.delayed_appends = self.delayed_appends, []
        for stream, data in delayed:
            self._store(stream, data)

    def _store(self, stream: str, data: bytes) -> int:
        self._trim_expired(stream)
        self.streams[stream].append((self.clock.seconds(), data))
        return self.first[stream] + len(self.streams[stream]) - 1

    def _trim_expired(self, stream: str):
        if self.retention is None:
            return
        cutoff = self.clock.seconds() - self.retention
        retained = self.streams[stream]
        expired = sum(1 for time, _ in retained if time < cutoff)
        self.trim(stream, self.first[stream] + expired)

    def _respond(self, result) -> Deferred:
        if not self.delay:
            return succeed(result)
        deferred = Deferred()
        self.clock.callLater(
            self.delay, self._fire_if_pending, deferred, result
        )
        return deferred

    def _fire_if_pending(self, deferred: Deferred, result):
        if not deferred.called:
            deferred.callback(result)
