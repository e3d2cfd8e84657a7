"""Interface of the platform's append-only log service."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred

__all__ = ["LogPage", "LogRecord", "LogService"]


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream."""

    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records of a stream in offset order, possibly none.

    ``first`` is the lowest offset still stored, ``end`` the offset of the
    next append. If ``first`` is above the requested offset, the records
    before ``first`` were trimmed.
    """

    first: int
    end: int
    records: tuple[LogRecord, ...]


class LogService:
    """Base class of clients of the log service."""

    name = "log"

    def append(self, *, stream: str, data: bytes) -> Deferred[int]:
        """Append a record and return its offset.

        The Deferred fails with LogUnavailable if the append was not
        confirmed; it may have taken effect all the same.
        """
        raise NotImplementedError

    def read(
        self, *, stream: str, offset: int, limit: int
    ) -> Deferred[LogPage]:
        """Return at most ``limit`` records from ``offset`` on.

        The Deferred fails with LogUnavailable if no valid page was received.
        """
        raise NotImplementedError
