"""Clocks of the process: monotonic time, and time since the VM's boot."""

from time import CLOCK_BOOTTIME
from time import clock_gettime
from time import monotonic

__all__ = ["boot_seconds", "use_monotonic_time"]


def boot_seconds() -> float:
    """Return the seconds since boot, with those of suspensions.

    Monotonic time stands still while the VM is suspended.
    """
    return clock_gettime(CLOCK_BOOTTIME)


def use_monotonic_time(reactor):
    """Make a reactor use the monotonic clock.

    Its default is the wall clock, whose steps would shift deadlines.
    """
    reactor.seconds = monotonic
