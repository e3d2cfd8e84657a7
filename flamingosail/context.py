"""The context that a call inherits from the root request it serves."""

from dataclasses import dataclass

from flamingosail.allowance import Allowance

__all__ = ["CallContext", "MAX_DEPTH"]

# The deepest chain of the target size is 29 calls.
MAX_DEPTH = 32


@dataclass(frozen=True, slots=True)
class CallContext:
    """What a call knows of its root.

    ``deadline`` is absolute, in seconds of the local clock. ``idempotent``
    says whether the call that this context belongs to may be run again.
    ``priority`` is fixed where the root entered and is the same for all
    calls below it. ``root_address`` is where the root's retry pool is kept.
    """

    root: str
    root_address: str
    priority: int
    deadline: float
    allowance: Allowance
    depth: int
    idempotent: bool

    def remaining(self, now: float) -> float:
        """Return the seconds left before the deadline, at least 0."""
        return max(0.0, self.deadline - now)
