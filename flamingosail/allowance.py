"""The allowance: how many call attempts one root request may still cause.

The total is conserved over the call graph: a call passes a part of its
allowance to each child call and gets the unspent part back with the answer.
If the answer is lost, that part is lost too, so the total never grows.
"""

from dataclasses import dataclass

__all__ = ["Allowance", "NO_ALLOWANCE"]

# A child call gets 15/16 of the remaining calls, rounded up: a chain of 29
# hops that starts with 256 calls still has calls left at its end.
CALLS_KEPT_DIVISOR = 16


@dataclass(frozen=True, slots=True)
class Allowance:
    """Number of attempts that a call and its descendants may still make."""

    calls: int

    def __post_init__(self):
        if self.calls < 0:
            raise ValueError(f"an allowance cannot be negative: {self}")

    def spend(self) -> "Allowance | None":
        """Return the allowance after one attempt, or None if it is 0."""
        return Allowance(self.calls - 1) if self.calls else None

    def split(self) -> "tuple[Allowance, Allowance]":
        """Return the part to keep and the part for a child call."""
        kept = self.calls // CALLS_KEPT_DIVISOR
        return Allowance(kept), Allowance(self.calls - kept)

    def add(self, returned: "Allowance") -> "Allowance":
        """Return the sum of this allowance and a returned part."""
        return Allowance(self.calls + returned.calls)

    def capped_at(self, bound: "Allowance") -> "Allowance":
        """Return the smaller of this allowance and ``bound``.

        Applied to returned parts: a peer may not return more than it got.
        """
        return min(self, bound, key=lambda allowance: allowance.calls)


NO_ALLOWANCE = Allowance(0)
