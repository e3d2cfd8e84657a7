"""The overlay: which members a node exchanges control messages with.

Every node has 4 successors on a ring of its failure domain and 4 on a ring
of all members. The rings order members by different hashes, so the rings of
the failure domains act as shortcuts on the large one and the other way
round. Links are directed; a ring of all members by itself already leads
from every node to every other.
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
    near = [record for record in others if record.failure_domain == domain]
    chosen = {
        record.node: record
        for record in (
            *_successors(own, near, count, ring=f"domain:{domain}"),
            *_successors(own, others, count, ring="all"),
        )
    }
    return tuple(chosen.values())


def _successors(
    own: MemberRecord, others: list[MemberRecord], count: int, *, ring: str
) -> list[MemberRecord]:
    start = xxh64_intdigest(f"{ring}/{own.node}".encode())

    def distance(record: MemberRecord) -> tuple[int, str]:
        place = xxh64_intdigest(f"{ring}/{record.node}".encode())
        return (place - start) % RING_SIZE, record.node

    return nsmallest(count, others, key=distance)


class Overlay:
    """The neighbours of the own node, recomputed when the table changed."""

    def __init__(self, *, table: MemberTable):
        self.table = table
        self._changes = -1
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
        if self._changes == self.table.changes:
            return
        self._changes = self.table.changes
        own, live = self.table.own, self.table.live()
        self._neighbours = neighbours_of(own, live)
        self._bulk = neighbours_of(own, self._neighbours, BULK_SUCCESSORS)
