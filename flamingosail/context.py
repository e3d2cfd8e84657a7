"""The context that a call inherits from its root request."""

from dataclasses import dataclass

from flamingosail.allowance import Allowance

__all__ = ["CallContext", "MAX_DEPTH"]

# The longest call chain of the target deployment is 29 calls.
MAX_DEPTH = 32


@dataclass(frozen=True, slots=True)
class CallContext:
    """Properties that a call inherits from its root request.

    ``root`` is the id of the root request. ``root_address`` is the address of
    the node that keeps its retry pool. ``priority`` is set at the node where
    the root entered and is the same for all calls of the root. ``deadline`` is
    absolute, in seconds of the local clock. ``depth`` is the number of calls
    from the root to this one. ``idempotent`` is true if the call itself may
    run more than once.
    """

    root: str
    root_address: str
    priority: int
    deadline: float
    allowance: Allowance
    depth: int
    idempotent: bool

    def remaining(self, now: float) -> float:
        """Return the seconds until the deadline, at least 0."""
        return max(0.0, self.deadline - now)
