"""A loopback proxy whose connections can be disturbed."""

import asyncio
from contextlib import suppress

from experiments.platformcluster import HOST

__all__ = ["Link"]


class Link:
    """A proxy before one port, whose connections can be disturbed.

    ``mode`` is empty, delay, silent, deaf (nothing reaches the listener) or
    mute (nothing comes back).
    """

    def __init__(self, *, target: int):
        self.target = target
        self.mode = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def connected(self, reader, writer):
        """Carry one connection in both directions."""
        try:
            far_reader, far_writer = await asyncio.open_connection(
                HOST, self.target
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(
            self.pump(reader, far_writer, "deaf"),
            self.pump(far_reader, writer, "mute"),
        )
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer, cut: str):
        """Copy one direction; a silenced connection stays silent."""
        silenced = False
        with suppress(OSError):
            while data := await reader.read(65536):
                silenced = silenced or self.mode in (cut, "silent")
                if silenced:
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(0.1)
                writer.write(data)
                await writer.drain()
        if not silenced:
            writer.close()

    def reset(self):
        """Reset all connections."""
        for writer in self.writers:
            writer.transport.abort()
