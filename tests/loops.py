"""A reactor of its own for tests with real sockets."""

from functools import wraps
from time import monotonic

from twisted.internet.base import BlockingResolver
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.selectreactor import SelectReactor
from twisted.python.failure import Failure

__all__ = ["Loop", "on_loop"]

LIMIT_SECONDS = 10.0
ADVANCE_TURNS = 5
# Lets calls that twisted schedules for "at once" become due.
PAUSED_TURN_SECONDS = 1e-6


class Loop:
    """Turns a private reactor until a condition holds.

    The time of a ``paused`` loop moves only by ``advance`` and by a
    microsecond each turn, so that load on the machine cannot make a timeout
    of the tested code expire.
    """

    def __init__(self, *, paused: bool = False):
        self.paused = paused
        self.reactor = SelectReactor()
        # The default resolver uses threads, which a reactor that is only
        # iterated does not start. Tests connect to IP addresses.
        self.reactor.installResolver(BlockingResolver())
        self.now = 0.0
        if paused:
            self.reactor.seconds = lambda: self.now

    def until(self, condition):
        """Turn the reactor; fail if the condition never holds."""
        limit = monotonic() + LIMIT_SECONDS
        while not condition():
            if monotonic() > limit:
                raise AssertionError("the condition did not become true")
            self.iterate()

    def iterate(self):
        """Turn the reactor once."""
        if self.paused:
            self.now += PAUSED_TURN_SECONDS
        self.reactor.iterate(0.01)

    def turn(self, turns=5):
        """Turn the reactor a few times without waiting for anything."""
        for _ in range(turns):
            self.iterate()

    def advance(self, seconds: float):
        """Move the time of a paused loop and run what is due."""
        self.now += seconds
        self.turn(ADVANCE_TURNS)

    def result(self, deferred: Deferred):
        """Return the result of a Deferred, or raise its error."""
        results = []
        deferred.addBoth(results.append)
        self.until(lambda: results)
        if isinstance(results[0], Failure):
            results[0].raiseException()
        return results[0]

    def close(self):
        """Close what is left of the reactor's own descriptors."""
        for reader in self.reactor.removeAll():
            reader.connectionLost(Failure(ConnectionDone()))


def on_loop(method):
    """Run a test that yields Deferreds on the loop of its case.

    The test itself runs outside the reactor, so it may call ``advance``.
    """

    @wraps(method)
    def test(self):
        steps = method(self)
        try:
            deferred = next(steps)
            while True:
                deferred = steps.send(self.loop.result(deferred))
        except StopIteration:
            pass

    return test
