"""Publishes manifests to the log and reports whether they are accepted."""

import json
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from flamingosail.errors import LogUnavailable
from flamingosail.logservice import LogService
from flamingosail.manifest import Manifest
from flamingosail.manifesthistory import encode_record
from flamingosail.manifesthistory import ManifestHistory
from flamingosail.manifesthistory import NO_VERSION
from flamingosail.manifesthistory import OutcomeState
from flamingosail.manifesthistory import Publication
from flamingosail.manifestservice import MANIFEST_STREAM
from flamingosail.manifestservice import PAGE_RECORDS

__all__ = ["Publisher", "Report", "ReportState"]

POLL_SECONDS = 0.25
PUBLICATION_ID_BITS = 128


class ReportState(StrEnum):
    """Result of a publisher command."""

    OK = "ok"
    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Report:
    """The result of one command.

    ``version`` is the version of the publication, or of the accepted
    manifest for ``show``; None if there is none.
    """

    state: ReportState
    reason: str = ""
    publication_id: str | None = None
    version: int | None = None
    manifest: object = None


class Publisher:
    """Publishes to the log and reads until the outcome is known.

    ``patience`` is the timeout in seconds of reading for one command.
    ``pending_id`` is the id of a sent publication whose outcome is not known.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        random: Random,
        log: LogService,
        patience: float,
    ):
        self.clock = clock
        self.random = random
        self.log = log
        self.patience = patience
        self.pending_id: str | None = None
        self.history = ManifestHistory()

    @inlineCallbacks
    def show(self) -> Deferred[Report]:
        """Report the manifest accepted in the log."""
        reason = yield self._read_until_version_known()
        if reason:
            return Report(state=ReportState.UNKNOWN, reason=reason)
        if self.history.accepted_version == NO_VERSION:
            return Report(
                state=ReportState.OK,
                reason="no manifest has been accepted yet",
            )
        return Report(
            state=ReportState.OK,
            version=self.history.accepted_version,
            manifest=json.loads(self.history.accepted_body),
        )

    @inlineCallbacks
    def resolve(self, publication_id: str) -> Deferred[Report]:
        """Report the outcome of an earlier publication."""
        reason = yield self._read_until_version_known()
        if not reason:
            reason = (
                "not in the log: it may have been trimmed, may still be "
                "in flight, or was never sent"
            )
        return self._build_report(publication_id) or Report(
            state=ReportState.UNKNOWN,
            reason=reason,
            publication_id=publication_id,
        )

    @inlineCallbacks
    def publish(self, manifest: Manifest) -> Deferred[Report]:
        """Publish with the accepted version as base; report the outcome."""
        reason = yield self._read_until_version_known()
        if reason:
            return Report(
                state=ReportState.UNKNOWN,
                reason=f"{reason}; nothing was sent to the log",
            )
        publication_id = f"{self.random.getrandbits(PUBLICATION_ID_BITS):032x}"
        record = Publication(
            publication_id=publication_id,
            base=self.history.accepted_version,
            body=manifest.body,
        )
        self.pending_id = publication_id
        reason = yield self._append(encode_record(record))
        report = yield self._await_outcome(record, reason)
        if report.state is not ReportState.UNKNOWN:
            self.pending_id = None
        return report

    @inlineCallbacks
    def _append(self, data: bytes):
        try:
            yield self.log.append(stream=MANIFEST_STREAM, data=data)
        except LogUnavailable as error:
            return f"the append was not confirmed ({error})"
        return "the append was confirmed"

    @inlineCallbacks
    def _await_outcome(self, record: Publication, reason: str):
        """Read until the outcome of the record is known or time runs out.

        A record that was not seen may still take effect, unless its base
        has been superseded: accepted versions only increase, so it would be
        refused.
        """
        deadline = self.clock.seconds() + self.patience
        gap_count = self.history.gap_count
        while True:
            problem = yield self._read_to_end()
            report = self._build_report(record.publication_id)
            if report is None:
                report = self._report_superseded(record, problem, gap_count)
            if report is not None:
                return report
            if self.clock.seconds() >= deadline:
                return Report(
                    state=ReportState.UNKNOWN,
                    reason=f"{reason}; {problem or 'not seen in the log'}",
                    publication_id=record.publication_id,
                )
            yield deferLater(self.clock, POLL_SECONDS)

    def _report_superseded(
        self, record: Publication, problem: str, gap_count: int
    ):
        accepted_version = self.history.accepted_version
        # Records trimmed unread since the append may include this one.
        unread = self.history.gap_count > gap_count
        if problem or unread or accepted_version is None:
            return None
        if accepted_version <= record.base:
            return None
        return Report(
            state=ReportState.REFUSED,
            reason=(
                f"base {record.base} is superseded by version "
                f"{accepted_version}; the record has not reached the log"
            ),
            publication_id=record.publication_id,
        )

    def _build_report(self, publication_id: str) -> Report | None:
        outcome = self.history.outcome(publication_id)
        if outcome.state is OutcomeState.NOT_SEEN:
            return None
        return Report(
            state=ReportState(outcome.state.value),
            reason=outcome.reason,
            publication_id=publication_id,
            version=outcome.version,
        )

    @inlineCallbacks
    def _read_until_version_known(self):
        """Read until the accepted version is known.

        Returns the reason if that failed until the timeout, else ''.
        """
        deadline = self.clock.seconds() + self.patience
        while True:
            problem = yield self._read_to_end()
            if not problem and self.history.accepted_version is None:
                problem = (
                    "the log is trimmed and holds no usable copy of the "
                    "accepted manifest"
                )
            if not problem or self.clock.seconds() >= deadline:
                return problem
            yield deferLater(self.clock, POLL_SECONDS)

    @inlineCallbacks
    def _read_to_end(self):
        """Read to the end of the log; return why that failed, or ''."""
        while True:
            try:
                page = yield self.log.read(
                    stream=MANIFEST_STREAM,
                    offset=self.history.next_offset,
                    limit=PAGE_RECORDS,
                )
            except LogUnavailable as error:
                return f"the log cannot be read ({error})"
            progress = self.history.apply(page)
            if self.history.next_offset == page.end:
                return ""
            if not progress:
                return (
                    f"the log ends at {page.end} but returned no records from "
                    f"{self.history.next_offset} on"
                )
