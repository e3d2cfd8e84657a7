"""The table of members and the rules by which records replace each other."""

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
    "TOMBSTONE_S",
    "supersedes",
]

LIVE_STATES = frozenset({"starting", "ready", "draining"})
GONE_STATES = frozenset({"left", "removed"})

# Removed members are tried again for 2 h, so that a partition of an hour
# heals; their records are needed for that long.
TOMBSTONE_S = 7200.0

# Far above what owners reach, and below the 64 bits that msgpack can carry.
MAX_VERSION = 2**53

Listener = Callable[[tuple[MemberRecord, ...]], None]


def supersedes(new: MemberRecord, old: MemberRecord) -> bool:
    """Return whether ``new`` replaces ``old`` of the same node name.

    The order is total, so all tables converge whatever order records
    arrive in. Of the same version, removed wins; the owner answers that
    with a higher version.
    """
    return _rank(new) > _rank(old)


def _rank(record: MemberRecord) -> tuple[int, bool, str]:
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
    """Return whether the holder of this nonce and version needs a record.

    Another incarnation is always sent: if it is older, its successor learns
    that it must outbid it.
    """
    if not nonce:
        return record.state in LIVE_STATES
    if nonce != nonce_of(record.incarnation):
        return True
    same = record.version == version
    return record.version > version or (same and record.state == "removed")


class MemberTable(Service):
    """The member records by node name.

    Versions alone order the incarnations of a node, no clock does. A new
    incarnation starts at version 1. It raises its version above that of
    any other incarnation that outbids it or that it learns of while it
    joins, and names that one in ``replaces``. An incarnation that is named
    there yields for good, so a process that was frozen while its successor
    started does not outbid it.

    A removed record is stored only over an existing one. Otherwise members
    would pass tombstones on to each other for ever.
    """

    name = "members"

    def __init__(self, *, own: MemberRecord, clock: IReactorTime):
        self.own = own
        self.clock = clock
        self.records: dict[str, MemberRecord] = {own.node: own}
        self.gone_at: dict[str, float] = {}
        self.listeners: list[Listener] = []
        self.superseded = False
        self.changes = 0
        self.table_hash = _record_hash(own)
        self._servers: dict[str, tuple[MemberRecord, ...]] | None = None
        self._live: tuple[MemberRecord, ...] | None = None

    @property
    def alone(self) -> bool:
        """Whether no other member is live."""
        return len(self.live()) <= 1

    def change_own(
        self, *, service: str | None = None, state: str | None = None
    ) -> MemberRecord:
        """Change the own record, raise its version and tell listeners."""
        service = self.own.service if service is None else service
        state = self.own.state if state is None else state
        if (service, state) == (self.own.service, self.own.state):
            return self.own
        self.own = replace(
            self.own,
            service=service,
            state=state,
            version=self.own.version + 1,
        )
        if not self.superseded:
            self._store(self.own)
            self._notify((self.own,))
        return self.own

    def merge(
        self, records: Iterable[MemberRecord]
    ) -> tuple[MemberRecord, ...]:
        """Store the records that replace known ones; return the changes.

        A record that outbids the own one leads to a higher version of the
        own record, which is then among the changes.
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
        """Raise the own version above one that is suspected."""
        if self.own.version <= version < MAX_VERSION and not self.superseded:
            self._raise_own(version, self.own.replaces)
            self._notify((self.own,))

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
        """Return the members that others removed."""
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
        """Return the record of a node name, even if it left."""
        return self.records.get(name)

    def digest_entries(self) -> tuple[tuple[str, str, int], ...]:
        """Return node name, nonce and version of the live members."""
        return tuple(
            (record.node, nonce_of(record.incarnation), record.version)
            for record in self.live()
        )

    def newer_than(
        self, entries: Iterable[tuple[str, str, int]]
    ) -> list[MemberRecord]:
        """Return the records that the sender of a digest lacks."""
        known = {node: (nonce, version) for node, nonce, version in entries}
        return [
            record
            for record in self.records.values()
            if _is_missing(record, *known.get(record.node, ("", 0)))
        ]

    def forget_removed(self):
        """Forget all removed members."""
        for record in self.removed():
            del self.gone_at[record.node]
            del self.records[record.node]

    def purge(self):
        """Forget the members that have been gone for TOMBSTONE_S."""
        limit = self.clock.seconds() - TOMBSTONE_S
        for node, gone_at in list(self.gone_at.items()):
            if gone_at <= limit and node != self.own.node:
                del self.gone_at[node]
                del self.records[node]

    def dump(self) -> dict:
        """Return the table with counts by state."""
        states = Counter(record.state for record in self.records.values())
        return {
            "own": asdict(self.own),
            "superseded": self.superseded,
            "hash": f"{self.table_hash:x}",
            "states": dict(states),
            "members": [asdict(record) for record in self.records.values()],
        }

    def _merge_one(
        self, record: MemberRecord, joining: bool
    ) -> MemberRecord | None:
        if record.node == self.own.node and not self.superseded:
            return self._answer_claim(record, joining)
        known = self.records.get(record.node)
        if known is None and record.state in GONE_STATES:
            return None
        if known is not None and not supersedes(record, known):
            return None
        self._store(record)
        return record

    def _answer_claim(
        self, record: MemberRecord, joining: bool
    ) -> MemberRecord | None:
        """Outbid a record of the own node name, or yield to a successor."""
        outbid = supersedes(record, self.own)
        if record.incarnation == self.own.incarnation:
            if not outbid or self.own.state == "left":
                return None
            self._raise_own(record.version, self.own.replaces)
            return self.own
        if outbid and record.replaces == nonce_of(self.own.incarnation):
            self.superseded = True
            self._store(record)
            return record
        nonce = nonce_of(record.incarnation)
        if outbid or (joining and self.own.replaces != nonce):
            self._raise_own(max(record.version, self.own.version), nonce)
            return self.own
        return None

    def _raise_own(self, version: int, replaces: str):
        self.own = replace(self.own, version=version + 1, replaces=replaces)
        self._store(self.own)

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
        self.changes += 1
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
