"""Sending of membership messages: to one address or over the overlay."""

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

# Changes that follow each other closely are sent in one message. A single
# change is not delayed.
FLOOD_BATCH_S = 0.02

# Batches of more records are sent over half the links. In the healing of a
# partition these floods are nearly all of the traffic.
BULK_RECORDS = 8


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
        """Send what waits for the next batch and end."""
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
        wait = self._last_flood + FLOOD_BATCH_S - self.clock.seconds()
        if wait > 0:
            self._flood_call = self.clock.callLater(wait, self.flush)
        else:
            self.flush(exclude=exclude)

    def flush(self, exclude: str = ""):
        """Flood the changes that wait."""
        if not self._pending:
            return
        records = tuple(self._pending.values())
        self._pending.clear()
        self._last_flood = self.clock.seconds()
        self.floods += 1
        message = self._records(records)
        if len(records) <= BULK_RECORDS:
            self.flood(message, exclude=exclude)
            return
        for record in self.overlay.bulk_neighbours():
            if record.node != exclude:
                self.send(record.address, message)

    def send_records(self, address: str, *records: MemberRecord):
        """Send member records to one address."""
        self.send(address, self._records(records))

    def send_digest(self, address: str, *, reply: bool):
        """Send the digest of the own table to one address."""
        self.digests += 1
        own = self.table.own
        digest = Digest(
            sender=own.incarnation,
            reply_to=own.address,
            entries=self.table.digest_entries(),
            reply=reply,
        )
        self.send(address, digest)

    def send_probe(self, address: str, sequence: int):
        """Send a probe; sequence 0 belongs to no watched neighbour."""
        self._send_state(Probe, address, sequence)

    def answer_probe(self, probe: Probe):
        """Send the answer to a probe."""
        self._send_state(ProbeAnswer, probe.reply_to, probe.sequence)

    def flood_suspicion(self, record: MemberRecord, *, exclude: str = ""):
        """Tell all, and thereby the suspect, that it does not answer."""
        message = Suspect(
            sender=self.table.own.incarnation,
            node=record.node,
            incarnation=record.incarnation,
            version=record.version,
        )
        self.flood(message, exclude=exclude)

    def send(self, address: str, message: Message):
        """Send if the transport can; gossip repeats what got lost."""
        try:
            self.transport.send(address, message)
        except SendFailed:
            return

    def _records(self, records: tuple[MemberRecord, ...]) -> Records:
        return Records(sender=self.table.own.incarnation, records=records)

    def _send_state(
        self, kind: type[Probe | ProbeAnswer], address: str, sequence: int
    ):
        message = kind(
            sender=self.table.own.incarnation,
            reply_to=self.table.own.address,
            sequence=sequence,
            table_hash=self.table.table_hash,
            manifest_version=self.manifest_version(),
        )
        self.send(address, message)
