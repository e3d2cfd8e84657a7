"""Sends membership messages to one address or floods them to neighbours."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from flamingosail.errors import SendFailed
from flamingosail.membership import MemberTable
from flamingosail.messages import Digest
from flamingosail.messages import MemberRecord
from flamingosail.messages import Message
from flamingosail.messages import Probe
from flamingosail.messages import ProbeAnswer
from flamingosail.messages import Records
from flamingosail.messages import Suspect
from flamingosail.overlay import Overlay
from flamingosail.transport import Transport

__all__ = ["FLOOD_BATCH_S", "Flooding"]

# Changes within this time after a flood are sent in one batch. A single change
# is not delayed.
FLOOD_BATCH_S = 0.02

# Batches of more records than this are sent over half the links: while a
# partition heals, they are nearly all of the traffic.
BULK_THRESHOLD_RECORDS = 8


class Flooding:
    """Builds and sends the messages of the membership protocol."""

    def __init__(
        self,
        *,
        table: MemberTable,
        overlay: Overlay,
        transport: Transport,
        clock: IReactorTime,
        manifest_version: Callable[[], int],
    ):
        self.table = table
        self.overlay = overlay
        self.transport = transport
        self.clock = clock
        self.manifest_version = manifest_version
        self.floods = 0
        self.digests = 0
        self._pending: dict[str, MemberRecord] = {}
        self._last_flood = -FLOOD_BATCH_S
        self._flood_call = None

    def stop(self):
        """Flood the pending changes and stop."""
        self.flush()
        if self._flood_call is not None and self._flood_call.active():
            self._flood_call.cancel()

    def flood(self, message: Message, *, exclude: str = ""):
        """Send a message to all neighbours but the node ``exclude``."""
        for record in self.overlay.neighbours():
            if record.node != exclude:
                self.send(record.address, message)

    def flood_changes(
        self, changed: tuple[MemberRecord, ...], *, exclude: str = ""
    ):
        """Flood changed records, at once or with the next batch."""
        for record in changed:
            self._pending[record.node] = record
        if self._flood_call is not None and self._flood_call.active():
            return
        delay = self._last_flood + FLOOD_BATCH_S - self.clock.seconds()
        if delay > 0:
            self._flood_call = self.clock.callLater(delay, self.flush)
        else:
            self.flush(exclude=exclude)

    def flush(self, exclude: str = ""):
        """Flood the pending changes."""
        if not self._pending:
            return
        records = tuple(self._pending.values())
        self._pending.clear()
        self._last_flood = self.clock.seconds()
        self.floods += 1
        message = self._build_records(records)
        if len(records) <= BULK_THRESHOLD_RECORDS:
            self.flood(message, exclude=exclude)
            return
        for record in self.overlay.bulk_neighbours():
            if record.node != exclude:
                self.send(record.address, message)

    def send_records(self, address: str, *records: MemberRecord):
        """Send member records to one address."""
        self.send(address, self._build_records(records))

    def send_digest(self, address: str, *, reply: bool):
        """Send a digest of the own table; ``reply`` asks for one in return."""
        self.digests += 1
        own = self.table.own_record
        digest = Digest(
            sender=own.incarnation,
            reply_to=own.address,
            entries=self.table.digest_entries(),
            reply=reply,
        )
        self.send(address, digest)

    def send_probe(self, address: str, sequence: int):
        """Send a probe; the detector ignores answers to sequence 0."""
        self._send_probe_message(Probe, address, sequence)

    def answer_probe(self, probe: Probe):
        """Send the answer to a probe."""
        self._send_probe_message(ProbeAnswer, probe.reply_to, probe.sequence)

    def flood_suspicion(self, record: MemberRecord, *, exclude: str = ""):
        """Flood the suspicion of a member, which thus reaches it as well."""
        message = Suspect(
            sender=self.table.own_record.incarnation,
            node=record.node,
            incarnation=record.incarnation,
            version=record.version,
        )
        self.flood(message, exclude=exclude)

    def send(self, address: str, message: Message):
        """Send a message; a failed send is made up by later gossip."""
        try:
            self.transport.send(address, message)
        except SendFailed:
            return

    def _build_records(self, records: tuple[MemberRecord, ...]) -> Records:
        return Records(
            sender=self.table.own_record.incarnation, records=records
        )

    def _send_probe_message(
        self,
        message_type: type[Probe | ProbeAnswer],
        address: str,
        sequence: int,
    ):
        message = message_type(
            sender=self.table.own_record.incarnation,
            reply_to=self.table.own_record.address,
            sequence=sequence,
            table_hash=self.table.table_hash,
            manifest_version=self.manifest_version(),
        )
        self.send(address, message)
