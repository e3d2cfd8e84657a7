"""A reactor of its own for tests with real sockets."""

from time import monotonic

from twisted.internet.error import ConnectionDone
from twisted.internet.selectreactor import SelectReactor
from twisted.python.failure import Failure

LIMIT_SECONDS = 10.0


class Loop:
    """Turns a private reactor until a condition holds."""

    def __init__(self):
        self.reactor = SelectReactor()

    def until(self, condition):
        """Turn the reactor; fail if the condition never holds."""
        limit = monotonic() + LIMIT_SECONDS
        while not condition():
            if monotonic() > limit:
                raise AssertionError("the condition did not become true")
            self.reactor.iterate(0.01)

    def turn(self, turns=5):
        """Turn the reactor a few times without waiting for anything."""
        for _ in range(turns):
            self.reactor.iterate(0.01)

    def close(self):
        """Close what is left of the reactor's own descriptors."""
        for reader in self.reactor.removeAll():
            reader.connectionLost(Failure(ConnectionDone()))
