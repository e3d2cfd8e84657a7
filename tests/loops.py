"""A private reactor for tests with real sockets."""

from functools import wraps
from time import monotonic

from twisted.internet.base import BlockingResolver
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.selectreactor import SelectReactor
from twisted.python.failure import Failure

__all__ = ["Loop", "on_loop"]

LIMIT_SECONDS = 10.0
ADVANCE_ITERATIONS = 5
# Makes calls due that twisted schedules with a delay of 0.
PAUSED_ITERATION_SECONDS = 1e-6


class Loop:
    """Iterates a private reactor until a condition holds.

    The time of a ``paused`` loop moves only by ``advance`` and by a
    microsecond per iteration, so that load on the machine cannot make a
    timeout of the tested code expire.
    """

    def __init__(self, *, paused: bool = False):
        self.paused = paused
        self.reactor = SelectReactor()
        # The default resolver uses threads, which are not started in a reactor
        # that is only iterated. Tests connect to IP addresses.
        self.reactor.installResolver(BlockingResolver())
        self.now = 0.0
        if paused:
            self.reactor.seconds = lambda: self.now

    def run_until(self, condition):
        """Iterate until the condition holds; fail after LIMIT_SECONDS."""
        deadline = monotonic() + LIMIT_SECONDS
        while not condition():
            if monotonic() > deadline:
                raise AssertionError("the condition did not become true")
            self.iterate()

    def iterate(self):
        """Iterate the reactor once."""
        if self.paused:
            self.now += PAUSED_ITERATION_SECONDS
        self.reactor.iterate(0.01)

    def iterate_times(self, iterations=5):
        """Iterate the reactor a few times, without a condition."""
        for _ in range(iterations):
            self.iterate()

    def advance(self, seconds: float):
        """Advance the time of a paused loop and run calls that are due."""
        self.now += seconds
        self.iterate_times(ADVANCE_ITERATIONS)

    def result(self, deferred: Deferred):
        """Return the result of a Deferred, or raise its error."""
        results = []
        deferred.addBoth(results.append)
        self.run_until(lambda: results)
        if isinstance(results[0], Failure):
            results[0].raiseException()
        return results[0]

    def close(self):
        """Close the reactor's remaining descriptors."""
        for reader in self.reactor.removeAll():
            reader.connectionLost(Failure(ConnectionDone()))


def on_loop(method):
    """Run a test that yields Deferreds on the loop of its test case.

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
