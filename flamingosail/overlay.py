"""The overlay: which members a node exchanges control messages with.

The neighbours of a node are its 4 successors on a hash ring of its failure
domain and its 4 successors on a hash ring of all members. Each ring orders
members by a hash of its own, so links of one ring are shortcuts on the
other. Links are directed; the ring of all members alone already connects
every node to every other.
"""

from collections.abc import Iterable
from heapq import nsmallest

from xxhash import xxh64_intdigest

from flamingosail.membership import MemberTable
from flamingosail.messages import MemberRecord

__all__ = ["Overlay", "RING_SUCCESSORS", "neighbours_of"]

RING_SUCCESSORS = 4

# Large batches of records go to the first 2 successors on each ring only.
BULK_SUCCESSORS = 2
RING_SIZE = 2**64


def neighbours_of(
    own: MemberRecord,
    members: Iterable[MemberRecord],
    count: int = RING_SUCCESSORS,
) -> tuple[MemberRecord, ...]:
    """Return the distinct neighbours of ``own`` among the members.

    ``count`` is the number of successors on each ring.
    """
    others = [record for record in members if record.node != own.node]
    domain = own.failure_domain
    same_domain = [
        record for record in others if record.failure_domain == domain
    ]
    chosen = {
        record.node: record
        for record in (
            *_successors(own, same_domain, count, ring=f"domain:{domain}"),
            *_successors(own, others, count, ring="all"),
        )
    }
    return tuple(chosen.values())


def _successors(
    own: MemberRecord, others: list[MemberRecord], count: int, *, ring: str
) -> list[MemberRecord]:
    start = xxh64_intdigest(f"{ring}/{own.node}".encode())

    def distance(record: MemberRecord) -> tuple[int, str]:
        position = xxh64_intdigest(f"{ring}/{record.node}".encode())
        return (position - start) % RING_SIZE, record.node

    return nsmallest(count, others, key=distance)


class Overlay:
    """The neighbours of this node, recomputed when the table changed."""

    def __init__(self, *, table: MemberTable):
        self.table = table
        self._revision = -1
        self._neighbours: tuple[MemberRecord, ...] = ()
        self._bulk: tuple[MemberRecord, ...] = ()

    def neighbours(self) -> tuple[MemberRecord, ...]:
        """Return the current neighbours."""
        self._update()
        return self._neighbours

    def bulk_neighbours(self) -> tuple[MemberRecord, ...]:
        """Return the neighbours that large batches are sent to."""
        self._update()
        return self._bulk

    def _update(self):
        if self._revision == self.table.revision:
            return
        self._revision = self.table.revision
        own, live = self.table.own_record, self.table.live()
        self._neighbours = neighbours_of(own, live)
        self._bulk = neighbours_of(own, self._neighbours, BULK_SUCCESSORS)
