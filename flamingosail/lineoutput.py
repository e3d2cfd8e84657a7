"""A text stream that never blocks its writer.

Standard output may be a pipe whose reader has stopped. What the pipe does
not take is kept up to a bound, then dropped and counted.
"""

import json
import os
from collections import deque

from twisted.internet.interfaces import IReactorTime

__all__ = ["LineOutput"]

MAX_KEPT_BYTES = 1_048_576
RETRY_SECONDS = 0.2


class LineOutput:
    """Writes whole lines to a file descriptor that it makes non-blocking.

    ``dropped`` counts the lines that were lost since the start.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        clock: IReactorTime,
        max_kept_bytes: int = MAX_KEPT_BYTES,
    ):
        self.descriptor = descriptor
        self.clock = clock
        self.max_kept_bytes = max_kept_bytes
        self.kept: deque[bytes] = deque()
        self.kept_bytes = 0
        self.dropped = 0
        self.unreported = 0
        self.timer = None
        os.set_blocking(descriptor, False)

    def write(self, text: str):
        """Write a line now, later, or never."""
        data = text.encode(errors="backslashreplace")
        if self.kept:
            self.keep(data)
            return
        rest = self.try_write(data)
        if rest:
            self.keep(rest)

    def flush(self):
        """Do nothing: nothing is held back that could be written."""

    def try_write(self, data: bytes) -> bytes:
        """Write what the descriptor takes and return the rest."""
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody will ever read it; a node must not end for that.
            self.dropped += 1
            return b""
        return data[written:]

    def keep(self, data: bytes):
        """Keep data for the next attempt, or drop and count it."""
        if self.kept_bytes + len(data) > self.max_kept_bytes:
            self.dropped += 1
            self.unreported += 1
            return
        self.kept.append(data)
        self.kept_bytes += len(data)
        if self.timer is None:
            self.timer = self.clock.callLater(RETRY_SECONDS, self.retry)

    def retry(self):
        """Write what was kept, as far as the descriptor takes it."""
        self.timer = None
        while self.kept:
            data = self.kept.popleft()
            rest = self.try_write(data)
            self.kept_bytes -= len(data) - len(rest)
            if rest:
                self.kept.appendleft(rest)
                self.timer = self.clock.callLater(RETRY_SECONDS, self.retry)
                return
        if self.unreported:
            count, self.unreported = self.unreported, 0
            line = {"message": "lines dropped", "count": count}
            self.write(json.dumps(line) + "\n")
