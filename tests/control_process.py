"""A process with a control listener; prints its port once it listens.

The optional argument is the port; by default a free one is chosen.
"""

import sys
from dataclasses import asdict

from twisted.internet import reactor

from flamingosail.control import ControlListener
from flamingosail.kernel import Kernel
from flamingosail.kernel import Service
from flamingosail.settings import Address


class RecordedCalls(Service):
    """Records the calls of the control listener and dumps them."""

    name = "calls"

    def __init__(self):
        self.announced = []
        self.drains = 0
        self.load = None

    def drain(self):
        """Count a drain."""
        self.drains += 1

    def record_load(self, in_flight: int, queued: int):
        """Record the last load report."""
        self.load = [in_flight, queued]

    def dump(self) -> dict:
        return {
            "announced": [asdict(item) for item in self.announced],
            "drains": self.drains,
            "load": self.load,
        }


class Queue(Service):
    """A service whose dump has plain values, a list and a table."""

    name = "queue"

    def dump(self) -> dict:
        return {
            "length": 2,
            "note": "a\nb",
            "empty": [],
            "servers": [{"name": "s1", "weight": 0.5}, {"name": "server-2"}],
            "kinds": {"gate-check": {"refused": 1}},
        }


def main():
    """Listen until the process is terminated."""
    kernel = Kernel()
    calls = RecordedCalls()
    port = int(sys.argv[1]) if len(sys.argv) > 1 else 0
    control = ControlListener(
        reactor=reactor,
        address=Address("127.0.0.1", port),
        kernel=kernel,
        announce=calls.announced.append,
        drain=calls.drain,
        load=calls.record_load,
    )
    kernel.add(control)
    kernel.add(calls)
    kernel.add(Queue())
    kernel.start()
    print(control.port, flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
