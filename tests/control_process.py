"""A process with a control listener; prints its port when it listens."""

from twisted.internet import reactor

from flamingosail.control import ControlListener
from flamingosail.kernel import Kernel
from flamingosail.kernel import Service
from flamingosail.settings import Address


class Queue(Service):
    """A service with plain values and tables in its dump."""

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
    """Listen until the process is ended."""
    kernel = Kernel()
    control = ControlListener(
        reactor=reactor,
        address=Address("127.0.0.1", 0),
        kernel=kernel,
        announce=lambda announcement: None,
        drain=lambda: None,
        load=lambda in_flight, queued: None,
    )
    kernel.add(control)
    kernel.add(Queue())
    kernel.start()
    print(control.port, flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
