"""Clients that send short requests at a fixed rate, for the review cases."""

import asyncio
import time

from harness import Deployment
from harness import new_id
from harness import NODE_PORTS
from harness import read_message
from harness import request_bytes
from harness import Vm

__all__ = ["ShortRequests"]

CLIENTS = 4
INTERVAL_SECONDS = 0.1
GIVE_UP_SECONDS = 2.0


class ShortRequests:
    """Sends POST requests to one node, each on a new connection.

    ``sent_at`` maps the id of a request to its monotonic time, ``failed``
    counts the requests that were answered with neither 200 nor 503.
    """

    def __init__(self, *, deployment: Deployment, vm: Vm, path: str):
        self.deployment = deployment
        self.vm = vm
        self.path = path
        self.sent_at: dict[str, float] = {}
        self.failed = 0

    async def run(self, seconds: float):
        """Send requests for some seconds, a few at a time."""
        await asyncio.gather(*(self.repeat(seconds) for _ in range(CLIENTS)))

    async def repeat(self, seconds: float):
        """Send one request after the other for some seconds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                await asyncio.wait_for(self.send(), GIVE_UP_SECONDS)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                self.deployment.record.write("client got no answer")
            await asyncio.sleep(INTERVAL_SECONDS)

    async def send(self):
        """Send one request and read the answer."""
        request_id = new_id()
        reader, writer = await asyncio.open_connection(
            self.vm.host, NODE_PORTS["outbound"]
        )
        try:
            self.sent_at[request_id] = time.monotonic()
            writer.write(request_bytes("POST", self.path, request_id))
            response = await read_message(reader)
        finally:
            writer.close()
        if response is None or response.status not in (200, 503):
            self.failed += 1
        self.deployment.record.write(
            "client", request_id, response.status if response else "closed"
        )
