"""Dissemination of member records over the overlay."""

from collections.abc import Callable
from collections.abc import Iterable
from random import Random

from twisted.internet.interfaces import IReactorTime

from flamingosail.detector import Detector
from flamingosail.directory import Directory
from flamingosail.flooding import Flooding
from flamingosail.kernel import Service
from flamingosail.logservice import LogService
from flamingosail.membership import LIVE_STATES
from flamingosail.membership import MemberTable
from flamingosail.membership import node_of
from flamingosail.membership import supersedes
from flamingosail.messages import Digest
from flamingosail.messages import MemberRecord
from flamingosail.messages import Message
from flamingosail.messages import Probe
from flamingosail.messages import ProbeAnswer
from flamingosail.messages import Records
from flamingosail.messages import Suspect
from flamingosail.overlay import Overlay
from flamingosail.transport import Transport

__all__ = ["Gossip"]

TICK_S = 0.25

# A tick that comes this late means that the process did not run, and that
# silence of the others says nothing about them.
PAUSE_S = 1.0
ANTI_ENTROPY_S = 5.0

# Tables differ while a change spreads, so only table hashes heard this long
# after the last change count, unless changes never end.
SETTLE_S = 0.5
QUIET_S = 2.0
MAX_UNQUIET_S = 20.0

# Nodes that start together join different parts of the group, and floods do
# not yet reach all. Until this long after it joined, a node compares each
# second.
YOUNG_S = 10.0
RETRY_S = 30.0
JOIN_S = 1.0
JOIN_ADDRESSES = 6

# How many nodes try each removed member or unknown address per RETRY_S, on
# average: the traffic of a node does not grow with the number of nodes.
RETRIERS = 8


class Gossip(Service):
    """Keeps the member table up to date with those of the other nodes.

    ``peer_has(version, address)`` is called when a peer has a manifest of a
    higher version than ``manifest_version()``. Both may be set after
    construction.
    """

    name = "gossip"

    def __init__(
        self,
        *,
        table: MemberTable,
        transport: Transport,
        clock: IReactorTime,
        random: Random,
        log: LogService | None = None,
        seeds: Iterable[str] = (),
        manifest_version: Callable[[], int] = lambda: 0,
        peer_has: Callable[[int, str], None] = lambda version, address: None,
    ):
        self.table = table
        self.transport = transport
        self.clock = clock
        self.random = random
        self.manifest_version = manifest_version
        self.peer_has = peer_has
        self.overlay = Overlay(table=table)
        self.detector = Detector(table=table)
        self.directory = Directory(
            table=table, clock=clock, random=random, log=log, seeds=seeds
        )
        self.flooding = Flooding(
            table=table,
            overlay=self.overlay,
            transport=transport,
            clock=clock,
            manifest_version=lambda: self.manifest_version(),
        )
        self.peer_hashes: dict[str, tuple[int, float]] = {}
        self.pauses = self.suspected = 0
        self._running = False
        self._joining = False
        self._origin = ""
        self._tick_call = None
        self._last_tick = self._last_change = 0.0
        self._next_join = self._next_anti_entropy = self._next_retry = 0.0
        self._last_digest = 0.0
        self._last_quiet = self._joined_at = 0.0

    def start(self):
        """Join the other members and take part in the gossip."""
        for message_type, handler in (
            (Records, self._on_records),
            (Digest, self._on_digest),
            (Probe, self._on_probe),
            (ProbeAnswer, self._on_probe_answer),
            (Suspect, self._on_suspect),
        ):
            self.transport.add_handler(message_type, handler)
        self.table.listeners.append(self._on_change)
        self._running = True
        now = self.clock.seconds()
        self._last_tick = self._next_join = now
        self._last_digest = now - ANTI_ENTROPY_S
        self._last_quiet = self._joined_at = now
        self._next_anti_entropy = now + self._jitter(ANTI_ENTROPY_S)
        self._next_retry = now + self._jitter(RETRY_S)
        self.directory.start()
        self._tick()

    def stop(self):
        """Tell the others that this node left, and end."""
        if not self._running:
            return
        self.table.change_own(state="left")
        self.flooding.stop()
        self._running = False
        self.table.listeners.remove(self._on_change)
        if self._tick_call.active():
            self._tick_call.cancel()

    def neighbours(self) -> tuple[MemberRecord, ...]:
        """Return the members this node exchanges control messages with."""
        return self.overlay.neighbours()

    def flood(self, message: Message, *, exclude: str = ""):
        """Send a message to all neighbours but the node ``exclude``."""
        self.flooding.flood(message, exclude=exclude)

    def announce_manifest(self):
        """Tell all neighbours the version of the manifest in force now."""
        for record in self.overlay.neighbours():
            self.flooding.send_probe(record.address, 0)

    def dump(self) -> dict:
        """Return neighbours, suspicions and counters."""
        return {
            "neighbours": [record.node for record in self.neighbours()],
            "suspicions": sorted(self.detector.suspicions),
            "unknown_addresses": self.directory.unknown(),
            "pauses": self.pauses,
            "digests": self.flooding.digests,
            "floods": self.flooding.floods,
            "suspected": self.suspected,
        }

    # Periodic work

    def _tick(self):
        self._notice_pause()
        now = self.clock.seconds()
        self._tick_call = self.clock.callLater(TICK_S, self._tick)
        self._probe_neighbours(now)
        self._remove_dead(now)
        self.directory.check()
        young = now - self._joined_at < YOUNG_S
        if (young or self.table.alone) and now >= self._next_join:
            self._next_join = now + JOIN_S
            self._look_for_members()
        if now >= self._next_anti_entropy:
            self._next_anti_entropy = now + (
                JOIN_S if young else ANTI_ENTROPY_S
            )
            self._compare(now)
        if now >= self._next_retry:
            self._next_retry = now + RETRY_S
            self._retry_removed()

    def _notice_pause(self):
        now = self.clock.seconds()
        if now - self._last_tick > PAUSE_S:
            self.pauses += 1
            self.detector.forgive(now)
            self._next_anti_entropy = now + JOIN_S
        self._last_tick = max(self._last_tick, now)

    def _probe_neighbours(self, now: float):
        self.detector.watch(self.overlay.neighbours(), now)
        for record, sequence in self.detector.due(now):
            self.flooding.send_probe(record.address, sequence)
        for record in self.detector.silent(now):
            self.suspected += 1
            self.flooding.flood_suspicion(record)

    def _remove_dead(self, now: float):
        removals = self.detector.removals(now)
        if removals:
            self.table.merge(removals)

    def _compare(self, now: float):
        """Send a digest to one neighbour whose table differs."""
        if now - self._last_change >= QUIET_S:
            self._last_quiet = now
        since = self._last_change + SETTLE_S
        if now - self._last_quiet >= MAX_UNQUIET_S:
            self._last_quiet = now
            since = 0.0
        differing = [
            record
            for record in self.overlay.neighbours()
            if self._differs(record.incarnation, since)
        ]
        if differing:
            self._compare_with(self.random.choice(differing).address)

    def _differs(self, incarnation: str, since: float) -> bool:
        """Return whether a peer showed another table hash after a time."""
        table_hash, heard_at = self.peer_hashes.get(incarnation, (0, -1.0))
        return heard_at >= since and table_hash != self.table.table_hash

    def _compare_with(self, address: str):
        self._last_digest = self.clock.seconds()
        self.flooding.send_digest(address, reply=not self.table.alone)

    def _retry_removed(self):
        self.table.purge()
        current = {record.incarnation for record in self.table.live()}
        self.peer_hashes = {
            incarnation: value
            for incarnation, value in self.peer_hashes.items()
            if incarnation in current
        }
        share = RETRIERS / len(current) if current else 1.0
        addresses = dict.fromkeys(
            record.address for record in self.table.removed()
        )
        addresses.update(dict.fromkeys(self.directory.unknown()))
        chosen = [item for item in addresses if self.random.random() < share]
        self._probe_addresses(chosen)
        if not self.table.alone:
            for address in chosen:
                self.directory.forget(address)

    def _look_for_members(self):
        """Probe some seeds, addresses from the log and removed members.

        A young node does so too when it has found some members: nodes that
        start together can form groups that do not know each other.
        """
        removed = [record.address for record in self.table.removed()]
        self.random.shuffle(removed)
        self._probe_addresses(self.directory.pick(JOIN_ADDRESSES))
        self._probe_addresses(removed[:JOIN_ADDRESSES])

    def _probe_addresses(self, addresses: Iterable[str]):
        for address in addresses:
            self.flooding.send_probe(address, 0)

    # Messages

    def _on_probe(self, probe: Probe):
        if not self._running:
            return
        self._notice_pause()
        self.flooding.answer_probe(probe)
        self._note_peer(probe)
        known = self.table.by_node(node_of(probe.sender))
        if known is not None and self.table.find(probe.sender) is None:
            self.flooding.send_records(probe.reply_to, known)

    def _on_probe_answer(self, answer: ProbeAnswer):
        if not self._running:
            return
        self._notice_pause()
        self.detector.answered(answer.sender, answer.sequence)
        self._note_peer(answer)
        if answer.sender == self.table.own.incarnation:
            return
        if self.table.find(answer.sender) is None:
            self._meet(answer)

    def _meet(self, answer: ProbeAnswer):
        """Get to know a node that is not a live member of the table.

        A joining node asks for the table before it shows its own record,
        which may have to outbid one of an earlier incarnation.

        A node that has removed all others was cut off itself. It drops its
        tombstones; asking each member to refute them would make a flood of
        records as large as the table.
        """
        if self.table.alone:
            self.table.forget_removed()
        known = self.table.by_node(node_of(answer.sender))
        if known is not None:
            self.flooding.send_records(answer.reply_to, known)
        if known is not None and known.incarnation != answer.sender:
            return
        now = self.clock.seconds()
        interval = JOIN_S if self.table.alone else ANTI_ENTROPY_S
        if now - self._last_digest >= interval:
            self._compare_with(answer.reply_to)

    def _on_records(self, message: Records):
        if not self._running:
            return
        self._notice_pause()
        own_version = self.table.own.version
        sender = self.table.by_node(node_of(message.sender))
        self._origin = node_of(message.sender)
        try:
            self._merge(message.records)
        finally:
            self._origin = ""
        if sender is not None and self.table.own.version != own_version:
            self.flooding.send_records(sender.address, self.table.own)
        for record in message.records:
            self._correct(record)

    def _merge(self, records: Iterable[MemberRecord]):
        """Merge records; hold back removals that were not announced."""
        now = self.clock.seconds()
        accepted = []
        for record in records:
            if self.detector.must_wait(record, now):
                held = self.table.by_node(record.node)
                if self.detector.suspect(held, now, claimed=True):
                    self.flooding.send_records(held.address, record)
            else:
                accepted.append(record)
        self._joining = self.table.alone
        self.table.merge(accepted)
        if self._joining and not self.table.alone:
            self._joined_at = now
            self._next_anti_entropy = now + JOIN_S
            self.flooding.flood_changes((self.table.own,))
        self._joining = False

    def _correct(self, record: MemberRecord):
        """Tell the owner of a record what it must outbid.

        The owner is told and not the sender: the owner alone knows whether
        it lives. Older versions of the same incarnation need no answer.
        """
        known = self.table.by_node(record.node)
        if known is None or not supersedes(known, record):
            return
        removed = known.state == "removed" and record.state in LIVE_STATES
        if removed or known.incarnation != record.incarnation:
            self.flooding.send_records(record.address, known)

    def _on_digest(self, digest: Digest):
        if not self._running:
            return
        self._notice_pause()
        newer = self.table.newer_than(digest.entries)
        if newer:
            self.flooding.send_records(digest.reply_to, *newer)
        if digest.reply:
            self.flooding.send_digest(digest.reply_to, reply=False)

    def _on_suspect(self, message: Suspect):
        if not self._running:
            return
        self._notice_pause()
        if message.incarnation == self.table.own.incarnation:
            self.table.refute(message.version)
            return
        known = self.table.find(message.incarnation)
        if known is None or known.version != message.version:
            return
        if self.detector.suspect(known, self.clock.seconds()):
            self.flooding.flood_suspicion(
                known, exclude=node_of(message.sender)
            )

    def _note_peer(self, message: Probe | ProbeAnswer):
        self.peer_hashes[message.sender] = (
            message.table_hash,
            self.clock.seconds(),
        )
        if message.manifest_version > self.manifest_version():
            self.peer_has(message.manifest_version, message.reply_to)

    def _on_change(self, changed: tuple[MemberRecord, ...]):
        """Flood changes, but not the table that a joining node receives."""
        self._last_change = self.clock.seconds()
        if not self._joining:
            self.flooding.flood_changes(changed, exclude=self._origin)

    def _jitter(self, interval: float) -> float:
        return interval * self.random.random()
