"""Failure detection: probes of the neighbours, suspicion and removal.

The detector only decides; ``Gossip`` sends what it asks for. Times are
seconds of the clock whose reading is passed in.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from msgspec.structs import replace

from flamingosail.membership import LIVE_STATES
from flamingosail.membership import MemberTable
from flamingosail.membership import nonce_of
from flamingosail.messages import MemberRecord

__all__ = ["Detector", "PROBE_INTERVAL_S", "REMOVAL_S", "SUSPICION_S"]

PROBE_INTERVAL_S = 1.0
SUSPICION_S = 2.0
REMOVAL_S = 4.0

# Eight tries in SUSPICION_S: with 20% of messages lost, a probe and its
# answer fail with 0.36, and all of eight with less than 0.0003.
PROBE_RETRY_S = 0.25

# A link that fails in one direction makes one neighbour suspect a member
# that always refutes; each refutation doubles the time to the next suspicion.
MAX_PATIENCE_S = 64.0

# A removal counts as announced if its suspicion was heard this long ago.
ANNOUNCED_S = 2.0
FORGET_S = 30.0


@dataclass(slots=True)
class Watch:
    """The probes of one neighbour.

    ``cycle_at`` and ``cycle_sequence`` belong to the first probe since the
    last answer.
    """

    record: MemberRecord
    next_probe: float
    patience: float = SUSPICION_S
    waiting: bool = False
    cycle_at: float = 0.0
    cycle_sequence: int = 0

    def silent_for(self, now: float) -> float:
        """Return for how many seconds probes have had no answer."""
        return now - self.cycle_at if self.waiting else 0.0


@dataclass(slots=True)
class Suspicion:
    """A version of a member that is thought dead.

    ``claimed`` says that someone has already removed this version.
    """

    record: MemberRecord
    since: float
    claimed: bool = False


class Detector:
    """Watches the neighbours and holds the suspicions that were heard."""

    def __init__(self, *, table: MemberTable):
        self.table = table
        self.watches: dict[str, Watch] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.sequence = 0

    def watch(self, neighbours: Iterable[MemberRecord], now: float):
        """Watch exactly these members."""
        watches = {}
        for record in neighbours:
            watch = self.watches.get(record.node)
            if watch is None or not _same(watch.record, record):
                watch = Watch(record=record, next_probe=now)
            elif watch.record.version != record.version:
                self._refresh(watch, record, now)
            watches[record.node] = watch
        self.watches = watches

    def due(self, now: float) -> list[tuple[MemberRecord, int]]:
        """Return the members to probe now, each with a sequence number."""
        probes = []
        for watch in self.watches.values():
            if now < watch.next_probe:
                continue
            self.sequence += 1
            if not watch.waiting:
                watch.waiting = True
                watch.cycle_at = now
                watch.cycle_sequence = self.sequence
            watch.next_probe = now + PROBE_RETRY_S
            probes.append((watch.record, self.sequence))
        return probes

    def answered(self, incarnation: str, sequence: int):
        """Note the answer to a probe."""
        watch = self.watches.get(incarnation.rpartition("~")[0])
        if watch is None or watch.record.incarnation != incarnation:
            return
        if not watch.waiting or sequence < watch.cycle_sequence:
            return
        watch.waiting = False
        watch.patience = SUSPICION_S
        watch.next_probe = watch.cycle_at + PROBE_INTERVAL_S

    def silent(self, now: float) -> list[MemberRecord]:
        """Return the neighbours that must be suspected from now on."""
        records = []
        for watch in self.watches.values():
            if watch.silent_for(now) < watch.patience:
                continue
            if self.suspect(watch.record, now):
                records.append(watch.record)
        return records

    def suspect(
        self, record: MemberRecord, now: float, *, claimed: bool = False
    ) -> bool:
        """Hold a suspicion; return whether it is new.

        Suspicions of other versions than the known one are ignored.
        """
        known = self.table.by_node(record.node)
        if known is None or known.state not in LIVE_STATES:
            return False
        if not _same(known, record) or known.version != record.version:
            return False
        held = self._held(known)
        if held is not None:
            held.claimed |= claimed
            return False
        self.suspicions[record.node] = Suspicion(known, now, claimed)
        return True

    def must_wait(self, record: MemberRecord, now: float) -> bool:
        """Return whether a removal may be old news that its owner denies.

        After a partition the sides hold each other as removed. Believing
        that at once would empty the tables of both for a moment.
        """
        known = self.table.by_node(record.node)
        if record.state != "removed" or known is None:
            return False
        if record.node == self.table.own.node:
            return False
        if not _same(known, record) or known.version != record.version:
            return False
        held = self._held(record)
        announced = held is not None and now - held.since >= ANNOUNCED_S
        return known.state in LIVE_STATES and not announced

    def removals(self, now: float) -> list[MemberRecord]:
        """Return the removed records that are now due.

        A member is removed by a neighbour that has no answer from it, or
        because another node claims so and it has not refuted that.
        """
        records = []
        for held in list(self.suspicions.values()):
            known = self.table.by_node(held.record.node)
            age = now - held.since
            if known != held.record or age > FORGET_S:
                del self.suspicions[held.record.node]
            elif age >= REMOVAL_S and (held.claimed or self._dead(held, now)):
                records.append(replace(known, state="removed"))
        return records

    def forgive(self, now: float):
        """Restart all waiting times after a pause of this process."""
        for watch in self.watches.values():
            watch.waiting = False
            watch.next_probe = now
        for held in self.suspicions.values():
            held.since = now

    def _dead(self, held: Suspicion, now: float) -> bool:
        watch = self.watches.get(held.record.node)
        return watch is not None and watch.silent_for(now) >= SUSPICION_S

    def _held(self, record: MemberRecord) -> Suspicion | None:
        held = self.suspicions.get(record.node)
        if held is None or not _same(held.record, record):
            return None
        return held if held.record.version == record.version else None

    def _refresh(self, watch: Watch, record: MemberRecord, now: float):
        """Start a new waiting time for a member that showed life."""
        if watch.silent_for(now) >= SUSPICION_S:
            watch.patience = min(2 * watch.patience, MAX_PATIENCE_S)
            watch.waiting = False
            watch.next_probe = now
        watch.record = record


def _same(one: MemberRecord, other: MemberRecord) -> bool:
    return nonce_of(one.incarnation) == nonce_of(other.incarnation)
