"""The clock of the reactor."""

from time import monotonic

__all__ = ["use_monotonic_time"]


def use_monotonic_time(reactor):
    """Let a reactor take its time from the monotonic clock.

    By default it is the wall clock, whose steps would move deadlines.
    """
    reactor.seconds = monotonic
