"""The gossip protocol: keeps the member tables of all nodes equal."""

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

TICK_INTERVAL_S = 0.25

# A gap of more than this between ticks means that this process was paused, so
# missing answers say nothing about the other members.
PAUSE_THRESHOLD_S = 1.0
ANTI_ENTROPY_INTERVAL_S = 5.0

# Tables differ while a change spreads, so only table hashes received at least
# HASH_SETTLE_S after the last change are compared. If there has been no pause
# of QUIET_PERIOD_S between changes for MAX_SETTLE_WAIT_S, all hashes are.
HASH_SETTLE_S = 0.5
QUIET_PERIOD_S = 2.0
MAX_SETTLE_WAIT_S = 20.0

# Nodes that start together join different parts of the group, and floods do
# not reach all of them yet. For this long after joining, a node runs
# anti-entropy each second.
JOIN_PERIOD_S = 10.0
RETRY_INTERVAL_S = 30.0
JOIN_INTERVAL_S = 1.0
JOIN_ADDRESSES = 6

# How many nodes, on average, probe each removed member or unknown address per
# RETRY_INTERVAL_S. A fixed number keeps the traffic of each node independent
# of the number of nodes.
RETRYING_NODES = 8


class Gossip(Service):
    """Keeps the member table up to date with those of the other nodes.

    ``on_newer_manifest(version, address)`` is called when a peer has a
    manifest of a higher version than ``manifest_version()``. Both may be
    set after construction.
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
        on_newer_manifest: Callable[
            [int, str], None
        ] = lambda version, address: None,
    ):
        self.table = table
        self.transport = transport
        self.clock = clock
        self.random = random
        self.manifest_version = manifest_version
        self.on_newer_manifest = on_newer_manifest
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
        self._flood_exclude = ""
        self._tick_call = None
        self._last_tick = self._last_change = 0.0
        self._next_join = self._next_anti_entropy = self._next_retry = 0.0
        self._last_digest = 0.0
        self._settle_wait_start = self._joined_at = 0.0

    def start(self):
        """Register the message handlers and start probing and joining."""
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
        self._last_digest = now - ANTI_ENTROPY_INTERVAL_S
        self._settle_wait_start = self._joined_at = now
        self._next_anti_entropy = now + self._jitter(ANTI_ENTROPY_INTERVAL_S)
        self._next_retry = now + self._jitter(RETRY_INTERVAL_S)
        self.directory.start()
        self._tick()

    def stop(self):
        """Flood that this node left, and stop."""
        if not self._running:
            return
        self.table.update_own_record(state="left")
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
        """Send all neighbours the version of the current manifest."""
        for record in self.overlay.neighbours():
            self.flooding.send_probe(record.address, 0)

    def dump(self) -> dict:
        """Return neighbours, suspicions and counters."""
        return {
            "neighbours": [record.node for record in self.neighbours()],
            "suspicions": sorted(self.detector.suspicions),
            "unknown_addresses": self.directory.unknown_addresses(),
            "pauses": self.pauses,
            "digests": self.flooding.digests,
            "floods": self.flooding.floods,
            "suspected": self.suspected,
        }

    # Periodic work

    def _tick(self):
        self._check_for_pause()
        now = self.clock.seconds()
        self._tick_call = self.clock.callLater(TICK_INTERVAL_S, self._tick)
        self._probe_neighbours(now)
        self._merge_due_removals(now)
        self.directory.run_due()
        is_joining = now - self._joined_at < JOIN_PERIOD_S
        if (is_joining or self.table.alone) and now >= self._next_join:
            self._next_join = now + JOIN_INTERVAL_S
            self._probe_candidates()
        if now >= self._next_anti_entropy:
            self._next_anti_entropy = now + (
                JOIN_INTERVAL_S if is_joining else ANTI_ENTROPY_INTERVAL_S
            )
            self._send_anti_entropy(now)
        if now >= self._next_retry:
            self._next_retry = now + RETRY_INTERVAL_S
            self._retry_unreachable()

    def _check_for_pause(self):
        now = self.clock.seconds()
        if now - self._last_tick > PAUSE_THRESHOLD_S:
            self.pauses += 1
            self.detector.restart_timeouts(now)
            self._next_anti_entropy = now + JOIN_INTERVAL_S
        self._last_tick = max(self._last_tick, now)

    def _probe_neighbours(self, now: float):
        self.detector.set_neighbours(self.overlay.neighbours(), now)
        for record, sequence in self.detector.due_probes(now):
            self.flooding.send_probe(record.address, sequence)
        for record in self.detector.suspect_unresponsive(now):
            self.suspected += 1
            self.flooding.flood_suspicion(record)

    def _merge_due_removals(self, now: float):
        removals = self.detector.due_removals(now)
        if removals:
            self.table.merge(removals)

    def _send_anti_entropy(self, now: float):
        """Send a digest to one random neighbour whose table hash differs."""
        if now - self._last_change >= QUIET_PERIOD_S:
            self._settle_wait_start = now
        since = self._last_change + HASH_SETTLE_S
        if now - self._settle_wait_start >= MAX_SETTLE_WAIT_S:
            self._settle_wait_start = now
            since = 0.0
        differing = [
            record
            for record in self.overlay.neighbours()
            if self._hash_differs(record.incarnation, since)
        ]
        if differing:
            self._send_digest(self.random.choice(differing).address)

    def _hash_differs(self, incarnation: str, since: float) -> bool:
        """Return whether a peer's hash received after ``since`` differs."""
        table_hash, received_at = self.peer_hashes.get(incarnation, (0, -1.0))
        return received_at >= since and table_hash != self.table.table_hash

    def _send_digest(self, address: str):
        self._last_digest = self.clock.seconds()
        self.flooding.send_digest(address, reply=not self.table.alone)

    def _retry_unreachable(self):
        self.table.delete_expired()
        current = {record.incarnation for record in self.table.live()}
        self.peer_hashes = {
            incarnation: value
            for incarnation, value in self.peer_hashes.items()
            if incarnation in current
        }
        probability = RETRYING_NODES / len(current) if current else 1.0
        addresses = dict.fromkeys(
            record.address for record in self.table.removed()
        )
        addresses.update(dict.fromkeys(self.directory.unknown_addresses()))
        chosen = [
            item for item in addresses if self.random.random() < probability
        ]
        self._probe_addresses(chosen)
        if not self.table.alone:
            for address in chosen:
                self.directory.discard(address)

    def _probe_candidates(self):
        """Probe some seeds, addresses from the log and removed members.

        A joining node does so even after it has found some members: nodes
        that start together can form groups that do not know each other.
        """
        removed = [record.address for record in self.table.removed()]
        self.random.shuffle(removed)
        self._probe_addresses(self.directory.choose_unknown(JOIN_ADDRESSES))
        self._probe_addresses(removed[:JOIN_ADDRESSES])

    def _probe_addresses(self, addresses: Iterable[str]):
        for address in addresses:
            self.flooding.send_probe(address, 0)

    # Messages

    def _on_probe(self, probe: Probe):
        if not self._running:
            return
        self._check_for_pause()
        self.flooding.answer_probe(probe)
        self._record_peer_state(probe)
        known = self.table.by_node(node_of(probe.sender))
        if known is not None and self.table.find(probe.sender) is None:
            self.flooding.send_records(probe.reply_to, known)

    def _on_probe_answer(self, answer: ProbeAnswer):
        if not self._running:
            return
        self._check_for_pause()
        self.detector.record_answer(answer.sender, answer.sequence)
        self._record_peer_state(answer)
        if answer.sender == self.table.own_record.incarnation:
            return
        if self.table.find(answer.sender) is None:
            self._handle_unknown_peer(answer)

    def _handle_unknown_peer(self, answer: ProbeAnswer):
        """Handle an answer from a node that is not a live member.

        A joining node asks for the table before it floods its own record,
        whose version may have to exceed that of an earlier incarnation.

        A node that has removed all others was cut off itself. It deletes
        its tombstones: if each member had to refute its tombstone, the
        resulting flood of records would be as large as the table.
        """
        if self.table.alone:
            self.table.delete_removed()
        known = self.table.by_node(node_of(answer.sender))
        if known is not None:
            self.flooding.send_records(answer.reply_to, known)
        if known is not None and known.incarnation != answer.sender:
            return
        now = self.clock.seconds()
        interval = (
            JOIN_INTERVAL_S if self.table.alone else ANTI_ENTROPY_INTERVAL_S
        )
        if now - self._last_digest >= interval:
            self._send_digest(answer.reply_to)

    def _on_records(self, message: Records):
        if not self._running:
            return
        self._check_for_pause()
        own_version = self.table.own_record.version
        sender = self.table.by_node(node_of(message.sender))
        self._flood_exclude = node_of(message.sender)
        try:
            self._merge_records(message.records)
        finally:
            self._flood_exclude = ""
        if sender is not None and self.table.own_record.version != own_version:
            self.flooding.send_records(sender.address, self.table.own_record)
        for record in message.records:
            self._notify_owner(record)

    def _merge_records(self, records: Iterable[MemberRecord]):
        """Merge records; defer removals without an earlier suspicion."""
        now = self.clock.seconds()
        accepted = []
        for record in records:
            if self.detector.must_defer_removal(record, now):
                known = self.table.by_node(record.node)
                if self.detector.suspect(known, now, removed_by_other=True):
                    self.flooding.send_records(known.address, record)
            else:
                accepted.append(record)
        self._joining = self.table.alone
        self.table.merge(accepted)
        if self._joining and not self.table.alone:
            self._joined_at = now
            self._next_anti_entropy = now + JOIN_INTERVAL_S
            self.flooding.flood_changes((self.table.own_record,))
        self._joining = False

    def _notify_owner(self, record: MemberRecord):
        """Send the owner of an outdated record the one it must supersede.

        It goes to the owner and not to the sender, because only the owner
        can refute it. Older versions of the same incarnation are ignored.
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
        self._check_for_pause()
        newer = self.table.missing_from(digest.entries)
        if newer:
            self.flooding.send_records(digest.reply_to, *newer)
        if digest.reply:
            self.flooding.send_digest(digest.reply_to, reply=False)

    def _on_suspect(self, message: Suspect):
        if not self._running:
            return
        self._check_for_pause()
        if message.incarnation == self.table.own_record.incarnation:
            self.table.refute(message.version)
            return
        known = self.table.find(message.incarnation)
        if known is None or known.version != message.version:
            return
        if self.detector.suspect(known, self.clock.seconds()):
            self.flooding.flood_suspicion(
                known, exclude=node_of(message.sender)
            )

    def _record_peer_state(self, message: Probe | ProbeAnswer):
        self.peer_hashes[message.sender] = (
            message.table_hash,
            self.clock.seconds(),
        )
        if message.manifest_version > self.manifest_version():
            self.on_newer_manifest(message.manifest_version, message.reply_to)

    def _on_change(self, changed: tuple[MemberRecord, ...]):
        """Flood changes, but not the table that a joining node receives."""
        self._last_change = self.clock.seconds()
        if not self._joining:
            self.flooding.flood_changes(changed, exclude=self._flood_exclude)

    def _jitter(self, interval: float) -> float:
        return interval * self.random.random()
