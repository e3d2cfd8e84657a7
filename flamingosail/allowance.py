"""The allowance of attempts that one root request owns.

The allowance is conserved: a call lends a part to each child call and gets
the unspent part back with the answer. A part that was lent to a call whose
answer is lost stays lost, so the total over the call graph never grows.
"""

from dataclasses import dataclass

__all__ = ["Allowance", "NO_ALLOWANCE"]

# A child gets 15/16 of the remaining calls, so that a chain of 29 sequential
# hops still has calls left when it starts from 256.
CALLS_KEPT_DIVISOR = 16


@dataclass(frozen=True, slots=True)
class Allowance:
    """The attempts that a call and the calls below it may still make."""

    calls: int

    def __post_init__(self):
        if self.calls < 0:
            raise ValueError(f"an allowance cannot be negative: {self}")

    def spend(self) -> "Allowance | None":
        """Return what is left after one attempt, or None if nothing is."""
        return Allowance(self.calls - 1) if self.calls else None

    def lend(self) -> "tuple[Allowance, Allowance]":
        """Split into a part that is kept and a part for a child call."""
        kept = self.calls // CALLS_KEPT_DIVISOR
        return Allowance(kept), Allowance(self.calls - kept)

    def add(self, returned: "Allowance") -> "Allowance":
        """Return the sum of this part and a part that came back."""
        return Allowance(self.calls + returned.calls)

    def limit(self, bound: "Allowance") -> "Allowance":
        """Return the smaller of both.

        A peer can return at most what it was lent.
        """
        return min(self, bound, key=lambda allowance: allowance.calls)


NO_ALLOWANCE = Allowance(0)
