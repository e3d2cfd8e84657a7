"""Which records of the manifest stream are accepted.

A publication is accepted if its body is valid and its base is the manifest
accepted at that point. All readers walk the records in offset order, so all
of them decide alike. Retention copies let a reader start on a trimmed log.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

from msgspec import DecodeError
from msgspec import Struct
from msgspec.msgpack import Decoder
from msgspec.msgpack import encode

from flamingosail.logservice import LogPage
from flamingosail.manifest import Manifest
from flamingosail.manifest import parse_manifest

__all__ = [
    "Copy",
    "ManifestHistory",
    "NO_VERSION",
    "Outcome",
    "OutcomeState",
    "Publication",
    "encode_record",
]

# The base of the first manifest, and the version before there is one.
NO_VERSION = -1
# Four days of publications at the target size (920 a day).
MAX_OUTCOMES = 4096
# A body of 1 MiB can hold 100,000 mistakes; reasons are kept in memory.
MAX_MISTAKES_IN_REASON = 20


class Publication(Struct, frozen=True, tag="publication"):
    """A manifest that a publisher sent, with the version it builds on."""

    publication_id: str
    base: int
    body: bytes


class Copy(Struct, frozen=True, tag="copy"):
    """A retention copy: the accepted manifest before offset ``as_of``.

    ``version`` is NO_VERSION, with an empty body, if the writer had read
    the log from its beginning and nothing had been accepted.
    """

    version: int
    as_of: int
    body: bytes


class OutcomeState(StrEnum):
    """What became of a publication."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_SEEN = "not-seen"


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a publication; ``version`` is its offset if accepted."""

    state: OutcomeState
    version: int | None = None
    reason: str = ""


NOT_SEEN = Outcome(state=OutcomeState.NOT_SEEN)
_decoder = Decoder(Publication | Copy)


def encode_record(record: Publication | Copy) -> bytes:
    """Return the log record: msgpack with field names."""
    return encode(record)


def describe_mistakes(group: ExceptionGroup) -> str:
    """Return the mistakes of an invalid manifest as one line."""
    shown = group.exceptions[:MAX_MISTAKES_IN_REASON]
    hidden = len(group.exceptions) - len(shown)
    mistakes = "; ".join(str(error)[:200] for error in shown)
    return f"invalid: {mistakes}" + (f"; {hidden} more" if hidden else "")


class ManifestHistory:
    """Decides which manifest is accepted, one page of records at a time.

    ``next_offset`` is where the next page must be read. ``accepted`` is the
    version accepted before that offset, or None while it cannot be known,
    because the log was trimmed and no usable copy was read. ``latest`` is
    the highest manifest known. ``copy_as_of`` is the highest ``as_of`` of
    the copies read.
    """

    def __init__(self):
        self.start = 0
        self.next_offset = 0
        self.accepted: int | None = NO_VERSION
        self.accepted_body = b""
        self.latest: Manifest | None = None
        self.copy_as_of = 0
        self.gaps = 0
        self.malformed = 0
        self.outcomes: OrderedDict[str, Outcome] = OrderedDict()

    def apply(self, page: LogPage) -> bool:
        """Judge the records of a page; return whether any was used.

        Records that were judged before are skipped, and a page that starts
        beyond ``next_offset`` without a trimmed log is ignored, so pages
        may arrive late or twice.
        """
        before = (self.next_offset, self.accepted)
        if page.first > self.next_offset:
            self._begin(page.first)
        for record in page.records:
            if record.offset == self.next_offset:
                # Moves on first: a copy may set the position back.
                self.next_offset += 1
                self._judge(record.offset, record.data)
        return (self.next_offset, self.accepted) != before

    def know(self, manifest: Manifest):
        """Take note of a manifest that a peer has in force.

        If all records after it are still available, reading can continue
        from it even without a copy.
        """
        if self.latest is None or manifest.version > self.latest.version:
            self.latest = manifest
        if self.accepted is None:
            self._continue_from_latest()

    def outcome(self, publication_id: str) -> Outcome:
        """Return what became of a publication, as far as it was read."""
        return self.outcomes.get(publication_id, NOT_SEEN)

    def copy(self) -> Copy | None:
        """Return a retention copy as of ``next_offset``, if one is known."""
        if self.accepted is None or self.next_offset == 0:
            return None
        return Copy(
            version=self.accepted,
            as_of=self.next_offset,
            body=self.accepted_body,
        )

    def _begin(self, first: int):
        """Start again at ``first``, because records before it are gone."""
        self.gaps += 1
        self.start = self.next_offset = first
        self.accepted, self.accepted_body = None, b""
        self._continue_from_latest()

    def _continue_from_latest(self):
        if self.latest and self.latest.version + 1 >= self.start:
            self.next_offset = self.latest.version + 1
            self.accepted = self.latest.version
            self.accepted_body = self.latest.body

    def _judge(self, offset: int, data: bytes):
        try:
            record = _decoder.decode(data)
        except (DecodeError, UnicodeDecodeError, RecursionError):
            self.malformed += 1
            return
        if isinstance(record, Copy):
            self._judge_copy(offset, record)
        elif self.accepted is not None:
            self._judge_publication(offset, record)

    def _judge_publication(self, offset: int, record: Publication):
        if record.base != self.accepted:
            reason = (
                f"base {record.base} is superseded: version {self.accepted} "
                f"was accepted before offset {offset}"
            )
            self._refuse(record.publication_id, reason)
            return
        try:
            manifest = parse_manifest(record.body, version=offset)
        except ExceptionGroup as group:
            self._refuse(record.publication_id, describe_mistakes(group))
            return
        self._accept(manifest)
        self._note(
            record.publication_id,
            Outcome(state=OutcomeState.ACCEPTED, version=offset),
        )

    def _judge_copy(self, offset: int, record: Copy):
        if not NO_VERSION <= record.version < record.as_of <= offset:
            self.malformed += 1
            return
        self.copy_as_of = max(self.copy_as_of, record.as_of)
        if self.accepted is not None or record.as_of < self.start:
            return
        if record.version == NO_VERSION:
            self.accepted = NO_VERSION
        else:
            try:
                manifest = parse_manifest(record.body, version=record.version)
            except ExceptionGroup:
                self.malformed += 1
                return
            self._accept(manifest)
        # The records from as_of on were passed over while the accepted
        # version was unknown; they have to be read again.
        self.next_offset = record.as_of

    def _accept(self, manifest: Manifest):
        self.accepted = manifest.version
        self.accepted_body = manifest.body
        if self.latest is None or manifest.version > self.latest.version:
            self.latest = manifest

    def _refuse(self, publication_id: str, reason: str):
        known = self.outcome(publication_id)
        if known.state is not OutcomeState.ACCEPTED:
            self._note(
                publication_id,
                Outcome(state=OutcomeState.REFUSED, reason=reason),
            )

    def _note(self, publication_id: str, outcome: Outcome):
        self.outcomes[publication_id] = outcome
        self.outcomes.move_to_end(publication_id)
        if len(self.outcomes) > MAX_OUTCOMES:
            self.outcomes.popitem(last=False)
