"""Selection of the nodes that read the metadata store.

If every node followed the store, the number of calls would grow with the
number of nodes, also while the store is down. In each failure domain, a few
nodes read it and tell the others. No agreement is needed: each node decides
for itself from the peers that it reaches, and more readers than intended do
no harm. A node that reaches no peer is a reader.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["READERS_PER_DOMAIN", "ReaderCandidate", "is_reader"]

# Readers of a failure domain that reach the store; the second covers the time
# until the failure of the first is noticed.
READERS_PER_DOMAIN = 2
# If the first readers do not reach the store, this many nodes try in all. More
# would only add calls to a store that is down.
MAX_READERS_PER_DOMAIN = 4


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class ReaderCandidate:
    """A reachable node of the failure domain; lower addresses read first.

    ``reaches_store`` is false if its last call to the store failed.
    """

    address: tuple[str, int]
    reaches_store: bool


def is_reader(own: ReaderCandidate, others: Iterable[ReaderCandidate]) -> bool:
    """Return whether a node has to read the store."""
    before = successful = 0
    for other in others:
        if other.address < own.address:
            before += 1
            successful += other.reaches_store
    return successful < READERS_PER_DOMAIN and before < MAX_READERS_PER_DOMAIN
