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
RING_SIZE = 2**64


def neighbours_of(
    own: MemberRecord, members: Iterable[MemberRecord]
) -> tuple[MemberRecord, ...]:
    """Return the distinct neighbours of ``own`` among the members."""
    others = [record for record in members if record.node != own.node]
    domain = own.failure_domain
    near = [record for record in others if record.failure_domain == domain]
    chosen = {
        record.node: record
        for record in (
            *_successors(own, near, ring=f"domain:{domain}"),
            *_successors(own, others, ring="all"),
        )
    }
    return tuple(chosen.values())


def _successors(
    own: MemberRecord, others: list[MemberRecord], *, ring: str
) -> list[MemberRecord]:
    start = xxh64_intdigest(f"{ring}/{own.node}".encode())

    def distance(record: MemberRecord) -> tuple[int, str]:
        place = xxh64_intdigest(f"{ring}/{record.node}".encode())
        return (place - start) % RING_SIZE, record.node

    return nsmallest(RING_SUCCESSORS, others, key=distance)


class Overlay:
    """The neighbours of the own node, recomputed when the table changed."""

    def __init__(self, *, table: MemberTable):
        self.table = table
        self._changes = -1
        self._neighbours: tuple[MemberRecord, ...] = ()

    def neighbours(self) -> tuple[MemberRecord, ...]:
        """Return the current neighbours."""
        if self._changes != self.table.changes:
            self._changes = self.table.changes
            self._neighbours = neighbours_of(self.table.own, self.table.live())
        return self._neighbours
