"""Monotonic time for the reactor."""

from time import monotonic

__all__ = ["use_monotonic_time"]


def use_monotonic_time(reactor):
    """Make a reactor use the monotonic clock.

    Its default is the wall clock, whose steps would shift deadlines.
    """
    reactor.seconds = monotonic
