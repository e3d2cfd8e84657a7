"""A text stream that never blocks its writer.

Standard output may be a pipe whose reader has stopped. Lines that the pipe
does not accept are buffered up to a limit; further ones are dropped and
counted.
"""

import json
import os
from collections import deque

from twisted.internet.interfaces import IReactorTime

__all__ = ["LineOutput"]

MAX_BUFFERED_BYTES = 1_048_576
RETRY_INTERVAL_SECONDS = 0.2


class LineOutput:
    """Writes whole lines to a file descriptor, which it makes non-blocking.

    ``dropped`` is the number of lines dropped since the start.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        clock: IReactorTime,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ):
        self.descriptor = descriptor
        self.clock = clock
        self.max_buffered_bytes = max_buffered_bytes
        self.buffered: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.dropped = 0
        self.unreported_drops = 0
        self.retry_timer = None
        os.set_blocking(descriptor, False)

    def write(self, text: str):
        """Write a line, buffer it, or drop it if the buffer is full."""
        data = text.encode(errors="backslashreplace")
        if self.buffered:
            self.buffer(data)
            return
        unwritten = self.try_write(data)
        if unwritten:
            self.buffer(unwritten)

    def flush(self):
        """Do nothing: only data that the descriptor refuses is buffered."""

    def try_write(self, data: bytes) -> bytes:
        """Write as much as the descriptor accepts and return the remainder."""
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone; losing the line must not stop the node.
            self.dropped += 1
            return b""
        return data[written:]

    def buffer(self, data: bytes):
        """Buffer data for the next retry, or drop and count it."""
        if self.buffered_bytes + len(data) > self.max_buffered_bytes:
            self.dropped += 1
            self.unreported_drops += 1
            return
        self.buffered.append(data)
        self.buffered_bytes += len(data)
        if self.retry_timer is None:
            self.retry_timer = self.clock.callLater(
                RETRY_INTERVAL_SECONDS, self.retry
            )

    def retry(self):
        """Write as much buffered data as the descriptor accepts."""
        self.retry_timer = None
        while self.buffered:
            data = self.buffered.popleft()
            unwritten = self.try_write(data)
            self.buffered_bytes -= len(data) - len(unwritten)
            if unwritten:
                self.buffered.appendleft(unwritten)
                self.retry_timer = self.clock.callLater(
                    RETRY_INTERVAL_SECONDS, self.retry
                )
                return
        if self.unreported_drops:
            count, self.unreported_drops = self.unreported_drops, 0
            line = {"message": "lines dropped", "count": count}
            self.write(json.dumps(line) + "\n")
