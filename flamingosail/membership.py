"""The member table and the rules for merging member records."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable

from msgspec.structs import asdict
from msgspec.structs import replace
from twisted.internet.interfaces import IReactorTime
from xxhash import xxh64_intdigest

from flamingosail.kernel import Service
from flamingosail.messages import MemberRecord

__all__ = [
    "GONE_STATES",
    "LIVE_STATES",
    "MemberTable",
    "TOMBSTONE_TTL_S",
    "supersedes",
]

LIVE_STATES = frozenset({"starting", "ready", "draining"})
GONE_STATES = frozenset({"left", "removed"})

# Removed members are probed for 2 h, so that a partition of an hour heals.
# Their records are kept for that long.
TOMBSTONE_TTL_S = 7200.0

# Records with higher versions are invalid. No node raises its version this
# far, and integers in msgpack end at 64 bits.
MAX_VERSION = 2**53

Listener = Callable[[tuple[MemberRecord, ...]], None]


def supersedes(new: MemberRecord, old: MemberRecord) -> bool:
    """Return whether ``new`` replaces ``old`` of the same node name.

    The higher version wins; at the same version a removal wins, which the
    member itself refutes with a higher version. The order is total, so all
    tables converge, in whatever order records arrive.
    """
    return _precedence(new) > _precedence(old)


def _precedence(record: MemberRecord) -> tuple[int, bool, str]:
    return record.version, record.state == "removed", record.incarnation


def _record_hash(record: MemberRecord) -> int:
    return xxh64_intdigest(f"{record.incarnation}:{record.version}".encode())


def nonce_of(incarnation: str) -> str:
    """Return the nonce of an incarnation in text form."""
    return incarnation.rpartition("~")[2]


def node_of(incarnation: str) -> str:
    """Return the node name of an incarnation in text form."""
    return incarnation.rpartition("~")[0]


def _is_valid(record: MemberRecord) -> bool:
    return (
        0 < record.version < MAX_VERSION
        and record.state in LIVE_STATES | GONE_STATES
        and node_of(record.incarnation) == record.node
    )


def _is_missing(record: MemberRecord, nonce: str, version: int) -> bool:
    """Return whether a table that has this nonce and version lacks a record.

    A record of another incarnation always counts as missing: if it is the
    older one, its successor learns which version it must exceed.
    """
    if not nonce:
        return record.state in LIVE_STATES
    if nonce != nonce_of(record.incarnation):
        return True
    same = record.version == version
    return record.version > version or (same and record.state == "removed")


class MemberTable(Service):
    """The member records by node name.

    The incarnations of a node are ordered by version, never by a clock. A
    new incarnation starts at version 1. When it receives a record of
    another incarnation that supersedes its own, or any such record while it
    joins, it raises its version above that record's and names the other
    incarnation in ``replaces``. An incarnation that is named there accepts
    that record for good, so a process that was frozen while its successor
    started does not supersede the successor.

    A removed record is stored only over an existing one. Otherwise members
    would send each other tombstones forever.
    """

    name = "members"

    def __init__(self, *, own_record: MemberRecord, clock: IReactorTime):
        self.own_record = own_record
        self.clock = clock
        self.records: dict[str, MemberRecord] = {own_record.node: own_record}
        self.gone_at: dict[str, float] = {}
        self.listeners: list[Listener] = []
        self.superseded = False
        self.revision = 0
        self.table_hash = _record_hash(own_record)
        self._servers: dict[str, tuple[MemberRecord, ...]] | None = None
        self._live: tuple[MemberRecord, ...] | None = None

    @property
    def alone(self) -> bool:
        """Whether no other member is live."""
        return len(self.live()) <= 1

    def update_own_record(
        self, *, service: str | None = None, state: str | None = None
    ) -> MemberRecord:
        """Change the own record, raise its version and call the listeners."""
        service = self.own_record.service if service is None else service
        state = self.own_record.state if state is None else state
        if (service, state) == (
            self.own_record.service,
            self.own_record.state,
        ):
            return self.own_record
        self.own_record = replace(
            self.own_record,
            service=service,
            state=state,
            version=self.own_record.version + 1,
        )
        if not self.superseded:
            self._store(self.own_record)
            self._notify((self.own_record,))
        return self.own_record

    def merge(
        self, records: Iterable[MemberRecord]
    ) -> tuple[MemberRecord, ...]:
        """Store the records that supersede known ones; return the changes.

        If a record supersedes the own one, the own version is raised above
        it, and the own record is among the changes.
        """
        changed = []
        joining = self.alone
        for record in filter(_is_valid, records):
            stored = self._merge_one(record, joining)
            if stored is not None:
                changed.append(stored)
        if changed:
            self._notify(tuple(changed))
        return tuple(changed)

    def refute(self, version: int):
        """Raise the own version above ``version``, which peers suspect."""
        if (
            self.own_record.version <= version < MAX_VERSION
            and not self.superseded
        ):
            self._raise_own_version(version, self.own_record.replaces)
            self._notify((self.own_record,))

    def servers(self, service: str) -> tuple[MemberRecord, ...]:
        """Return the ready members of a service."""
        if self._servers is None:
            self._servers = self._group_servers()
        return self._servers.get(service, ())

    def live(self) -> tuple[MemberRecord, ...]:
        """Return the members that neither left nor were removed."""
        if self._live is None:
            self._live = tuple(
                record
                for record in self.records.values()
                if record.state in LIVE_STATES
            )
        return self._live

    def removed(self) -> tuple[MemberRecord, ...]:
        """Return the members that other members removed."""
        return tuple(
            record
            for record in map(self.records.get, self.gone_at)
            if record.state == "removed"
        )

    def find(self, incarnation: str) -> MemberRecord | None:
        """Return the live member with exactly this incarnation."""
        record = self.records.get(node_of(incarnation))
        if record is None or record.incarnation != incarnation:
            return None
        return record if record.state in LIVE_STATES else None

    def by_node(self, name: str) -> MemberRecord | None:
        """Return the record of a node name in any state, None if unknown."""
        return self.records.get(name)

    def digest_entries(self) -> tuple[tuple[str, str, int], ...]:
        """Return node name, nonce and version of the live members."""
        return tuple(
            (record.node, nonce_of(record.incarnation), record.version)
            for record in self.live()
        )

    def missing_from(
        self, entries: Iterable[tuple[str, str, int]]
    ) -> list[MemberRecord]:
        """Return the records that the sender of a digest lacks.

        ``entries`` are as returned by ``digest_entries``.
        """
        known = {node: (nonce, version) for node, nonce, version in entries}
        return [
            record
            for record in self.records.values()
            if _is_missing(record, *known.get(record.node, ("", 0)))
        ]

    def delete_removed(self):
        """Delete the records of all removed members."""
        for record in self.removed():
            del self.gone_at[record.node]
            del self.records[record.node]

    def delete_expired(self):
        """Delete the members that have been gone for TOMBSTONE_TTL_S."""
        cutoff = self.clock.seconds() - TOMBSTONE_TTL_S
        for node, gone_at in list(self.gone_at.items()):
            if gone_at <= cutoff and node != self.own_record.node:
                del self.gone_at[node]
                del self.records[node]

    def dump(self) -> dict:
        """Return the table with counts by state."""
        states = Counter(record.state for record in self.records.values())
        return {
            "own": asdict(self.own_record),
            "superseded": self.superseded,
            "hash": f"{self.table_hash:x}",
            "states": dict(states),
            "members": [asdict(record) for record in self.records.values()],
        }

    def _merge_one(
        self, record: MemberRecord, joining: bool
    ) -> MemberRecord | None:
        if record.node == self.own_record.node and not self.superseded:
            return self._resolve_conflict(record, joining)
        known = self.records.get(record.node)
        if known is None and record.state in GONE_STATES:
            return None
        if known is not None and not supersedes(record, known):
            return None
        self._store(record)
        return record

    def _resolve_conflict(
        self, record: MemberRecord, joining: bool
    ) -> MemberRecord | None:
        """Raise the own version above a record of this node, or accept it."""
        is_newer = supersedes(record, self.own_record)
        if record.incarnation == self.own_record.incarnation:
            if not is_newer or self.own_record.state == "left":
                return None
            self._raise_own_version(record.version, self.own_record.replaces)
            return self.own_record
        if is_newer and record.replaces == nonce_of(
            self.own_record.incarnation
        ):
            self.superseded = True
            self._store(record)
            return record
        nonce = nonce_of(record.incarnation)
        if is_newer or (joining and self.own_record.replaces != nonce):
            self._raise_own_version(
                max(record.version, self.own_record.version), nonce
            )
            return self.own_record
        return None

    def _raise_own_version(self, version: int, replaces: str):
        self.own_record = replace(
            self.own_record, version=version + 1, replaces=replaces
        )
        self._store(self.own_record)

    def _store(self, record: MemberRecord):
        old = self.records.get(record.node)
        if old is not None and old.state in LIVE_STATES:
            self.table_hash ^= _record_hash(old)
        if record.state in LIVE_STATES:
            self.table_hash ^= _record_hash(record)
            self.gone_at.pop(record.node, None)
        else:
            self.gone_at[record.node] = self.clock.seconds()
        self.records[record.node] = record
        self.revision += 1
        self._servers = None
        self._live = None

    def _notify(self, changed: tuple[MemberRecord, ...]):
        for listener in list(self.listeners):
            listener(changed)

    def _group_servers(self) -> dict[str, tuple[MemberRecord, ...]]:
        groups: dict[str, list[MemberRecord]] = {}
        for record in self.records.values():
            if record.state == "ready":
                groups.setdefault(record.service, []).append(record)
        return {service: tuple(group) for service, group in groups.items()}
