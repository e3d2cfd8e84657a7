"""A loopback TCP proxy that injects network faults."""

import asyncio
from contextlib import suppress

from experiments.platformcluster import HOST

__all__ = ["Link"]


class Link:
    """A TCP proxy for one target port that injects network faults.

    ``mode`` is the fault: empty for none, ``delay`` (100 ms for each chunk),
    ``deaf`` (drops all data to the target), ``mute`` (drops all data from the
    target) or ``silent`` (drops both). ``silence`` makes the connections that
    are open pass nothing any more; those that are opened later are not
    affected.
    """

    def __init__(self, *, target: int):
        self.target = target
        self.mode = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.silenced: set[asyncio.StreamWriter] = set()

    async def handle_connection(self, reader, writer):
        """Forward one connection in both directions."""
        try:
            target_reader, target_writer = await asyncio.open_connection(
                HOST, self.target
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(
            self.forward(reader, target_writer, "deaf"),
            self.forward(target_reader, writer, "mute"),
        )
        self.writers -= {writer, target_writer}
        self.silenced -= {writer, target_writer}

    async def forward(self, reader, writer, drop_mode: str):
        """Forward one direction of a connection.

        Once the mode ``drop_mode`` or silent has dropped data, this direction
        of the connection drops everything, also under another mode.
        """
        dropping = False
        with suppress(OSError):
            while data := await reader.read(65536):
                dropping = (
                    dropping
                    or self.mode in (drop_mode, "silent")
                    or writer in self.silenced
                )
                if dropping:
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(0.1)
                writer.write(data)
                await writer.drain()
        if not dropping and writer not in self.silenced:
            writer.close()

    def silence(self):
        """Drop all further data of the connections that are open."""
        self.silenced |= self.writers

    def reset(self):
        """Reset all open connections."""
        for writer in self.writers:
            writer.transport.abort()
