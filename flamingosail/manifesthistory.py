"""Decides which records of the manifest stream are accepted.

A publication is accepted if its body is valid and its base is the manifest
accepted at that point. All readers process the records in offset order, so
all of them reach the same result. Retention copies let a reader start on a
trimmed log.
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
    "RetentionCopy",
    "ManifestHistory",
    "NO_VERSION",
    "Outcome",
    "OutcomeState",
    "Publication",
    "encode_record",
]

# Base of the first manifest, and the version while none is accepted.
NO_VERSION = -1
# Four days of publications at the target size (920 a day).
MAX_OUTCOMES = 4096
# A body of 1 MiB can hold 100,000 errors; reasons are kept in memory.
MAX_ERRORS_IN_REASON = 20


class Publication(Struct, frozen=True, tag="publication"):
    """A published manifest; ``base`` is the version that it replaces."""

    publication_id: str
    base: int
    body: bytes


class RetentionCopy(Struct, frozen=True, tag="copy"):
    """Repeats the accepted manifest before the log trims its record.

    ``version`` was accepted before offset ``as_of``. It is NO_VERSION, with
    an empty body, if the writer had read the log from its beginning and no
    manifest had been accepted.
    """

    version: int
    as_of: int
    body: bytes


class OutcomeState(StrEnum):
    """Result of a publication; NOT_SEEN: its record has not been read."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_SEEN = "not-seen"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a publication; ``version`` is its offset if accepted."""

    state: OutcomeState
    version: int | None = None
    reason: str = ""


NOT_SEEN = Outcome(state=OutcomeState.NOT_SEEN)
_decoder = Decoder(Publication | RetentionCopy)


def encode_record(record: Publication | RetentionCopy) -> bytes:
    """Return the log record, a msgpack map keyed by field name."""
    return encode(record)


def describe_errors(group: ExceptionGroup) -> str:
    """Return the errors of an invalid manifest as one line."""
    shown = group.exceptions[:MAX_ERRORS_IN_REASON]
    hidden = len(group.exceptions) - len(shown)
    errors = "; ".join(str(error)[:200] for error in shown)
    return f"invalid: {errors}" + (f"; {hidden} more" if hidden else "")


class ManifestHistory:
    """Tracks the accepted manifest, one page of records at a time.

    ``next_offset`` is the offset of the next page to read.
    ``accepted_version`` is the version accepted before that offset, or None
    while unknown: the log was trimmed and no usable copy has been read.
    ``latest`` is the manifest with the highest version known.
    ``start_offset`` is the first offset after the last gap, ``gap_count``
    the number of times that records were trimmed before they were read.
    ``max_copy_as_of`` is the highest ``as_of`` of the copies read.
    """

    def __init__(self):
        self.start_offset = 0
        self.next_offset = 0
        self.accepted_version: int | None = NO_VERSION
        self.accepted_body = b""
        self.latest: Manifest | None = None
        self.max_copy_as_of = 0
        self.gap_count = 0
        self.malformed_count = 0
        self.outcomes: OrderedDict[str, Outcome] = OrderedDict()

    def apply(self, page: LogPage) -> bool:
        """Apply the records of a page; return whether the state changed.

        Records that were applied before are skipped, and a page that starts
        after ``next_offset`` is ignored unless the log was trimmed, so pages
        may arrive late or twice.
        """
        before = (self.next_offset, self.accepted_version)
        if page.first > self.next_offset:
            self._restart(page.first)
        for record in page.records:
            if record.offset == self.next_offset:
                # Advanced first, because a copy may move the offset back.
                self.next_offset += 1
                self._apply_record(record.offset, record.data)
        return (self.next_offset, self.accepted_version) != before

    def record_manifest(self, manifest: Manifest):
        """Record a manifest that is in force here or at a peer.

        If the accepted version is unknown and all records after the
        manifest are still available, reading continues after it.
        """
        if self.latest is None or manifest.version > self.latest.version:
            self.latest = manifest
        if self.accepted_version is None:
            self._continue_from_latest()

    def outcome(self, publication_id: str) -> Outcome:
        """Return the result of a publication in the records read so far."""
        return self.outcomes.get(publication_id, NOT_SEEN)

    def make_copy(self) -> RetentionCopy | None:
        """Return a retention copy as of ``next_offset``.

        Returns None if the accepted version is unknown or nothing was read.
        """
        if self.accepted_version is None or self.next_offset == 0:
            return None
        return RetentionCopy(
            version=self.accepted_version,
            as_of=self.next_offset,
            body=self.accepted_body,
        )

    def _restart(self, first: int):
        """Restart at ``first``: records before it were trimmed unread."""
        self.gap_count += 1
        self.start_offset = self.next_offset = first
        self.accepted_version, self.accepted_body = None, b""
        self._continue_from_latest()

    def _continue_from_latest(self):
        if self.latest and self.latest.version + 1 >= self.start_offset:
            self.next_offset = self.latest.version + 1
            self.accepted_version = self.latest.version
            self.accepted_body = self.latest.body

    def _apply_record(self, offset: int, data: bytes):
        try:
            record = _decoder.decode(data)
        except (DecodeError, UnicodeDecodeError, RecursionError):
            self.malformed_count += 1
            return
        if isinstance(record, RetentionCopy):
            self._apply_copy(offset, record)
        elif self.accepted_version is not None:
            self._apply_publication(offset, record)

    def _apply_publication(self, offset: int, record: Publication):
        if record.base != self.accepted_version:
            reason = (
                f"base {record.base} is superseded: version "
                f"{self.accepted_version} was accepted before offset {offset}"
            )
            self._refuse(record.publication_id, reason)
            return
        try:
            manifest = parse_manifest(record.body, version=offset)
        except ExceptionGroup as group:
            self._refuse(record.publication_id, describe_errors(group))
            return
        self._accept(manifest)
        self._record_outcome(
            record.publication_id,
            Outcome(state=OutcomeState.ACCEPTED, version=offset),
        )

    def _apply_copy(self, offset: int, record: RetentionCopy):
        if not NO_VERSION <= record.version < record.as_of <= offset:
            self.malformed_count += 1
            return
        self.max_copy_as_of = max(self.max_copy_as_of, record.as_of)
        if (
            self.accepted_version is not None
            or record.as_of < self.start_offset
        ):
            return
        if record.version == NO_VERSION:
            self.accepted_version = NO_VERSION
        else:
            try:
                manifest = parse_manifest(record.body, version=record.version)
            except ExceptionGroup:
                self.malformed_count += 1
                return
            self._accept(manifest)
        # Publications from as_of on were skipped while the accepted version
        # was unknown, so they have to be read again.
        self.next_offset = record.as_of

    def _accept(self, manifest: Manifest):
        self.accepted_version = manifest.version
        self.accepted_body = manifest.body
        if self.latest is None or manifest.version > self.latest.version:
            self.latest = manifest

    def _refuse(self, publication_id: str, reason: str):
        earlier = self.outcome(publication_id)
        if earlier.state is not OutcomeState.ACCEPTED:
            self._record_outcome(
                publication_id,
                Outcome(state=OutcomeState.REFUSED, reason=reason),
            )

    def _record_outcome(self, publication_id: str, outcome: Outcome):
        self.outcomes[publication_id] = outcome
        self.outcomes.move_to_end(publication_id)
        if len(self.outcomes) > MAX_OUTCOMES:
            self.outcomes.popitem(last=False)
