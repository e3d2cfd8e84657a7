"""Identity of a running node."""

from dataclasses import dataclass
from random import Random

__all__ = ["Incarnation", "new_incarnation"]

NONCE_BITS = 64


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of a node: its configured name and a random start nonce.

    A restarted node gets a new nonce, so ids issued by an earlier run are
    never mistaken for its own.
    """

    node: str
    nonce: str

    def __str__(self) -> str:
        return f"{self.node}~{self.nonce}"

    @classmethod
    def parse(cls, text: str) -> "Incarnation":
        """Parse ``node~nonce``.

        :raises ValueError: if the text has another form.
        """
        node, separator, nonce = text.rpartition("~")
        if not (node and separator and nonce):
            raise ValueError(f"{text!r} is not a node incarnation")
        return cls(node=node, nonce=nonce)


def new_incarnation(node: str, random: Random) -> Incarnation:
    """Return an incarnation of the node ``node`` with a random nonce."""
    return Incarnation(node=node, nonce=f"{random.getrandbits(NONCE_BITS):x}")
