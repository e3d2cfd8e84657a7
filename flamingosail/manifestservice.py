"""Obtains the manifest in force at this node from the log and peers."""

from collections.abc import Callable
from collections.abc import Sequence
from random import Random

from logbook import Logger
from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from flamingosail.errors import LogUnavailable
from flamingosail.errors import SendFailed
from flamingosail.identity import Incarnation
from flamingosail.kernel import Service
from flamingosail.logservice import LogPage
from flamingosail.logservice import LogService
from flamingosail.manifest import Manifest
from flamingosail.manifest import parse_manifest
from flamingosail.manifesthistory import encode_record
from flamingosail.manifesthistory import ManifestHistory
from flamingosail.manifesthistory import NO_VERSION
from flamingosail.messages import ManifestCopy
from flamingosail.messages import ManifestPull
from flamingosail.transport import Transport

__all__ = ["MANIFEST_STREAM", "ManifestService", "PAGE_RECORDS"]

MANIFEST_STREAM = "manifest"
READER_POLL_SECONDS = 0.5
NON_READER_POLL_SECONDS = 10.0
# A node holds at most one page in memory: 16 records of up to 1 MiB.
PAGE_RECORDS = 16
# Timeout of reads and appends, so that one lost response does not stop the
# polling.
LOG_TIMEOUT_SECONDS = 5.0
# Several neighbours announce a new version at the same time. With one pull
# in flight at a time, only one of them sends the body.
PULL_TIMEOUT_SECONDS = 0.5
MAX_PULL_CANDIDATES = 64
# A retention copy is due after half the retention time plus a random delay
# of up to this fraction of it; three eighths remain to outlast log outages.
COPY_JITTER_FRACTION = 0.125

logger = Logger("manifest")


class ManifestService(Service):
    """Keeps the manifest with the highest known version in force.

    ``neighbours`` returns the addresses of the overlay neighbours,
    ``is_reader`` whether this node polls the log for its failure domain
    (other nodes poll rarely and rely on peers).
    ``retention`` is the log's retention time in seconds. ``listeners`` are
    called with each new manifest.
    """

    name = "manifest"

    def __init__(
        self,
        *,
        clock: IReactorTime,
        random: Random,
        log: LogService,
        transport: Transport,
        incarnation: Incarnation,
        neighbours: Callable[[], Sequence[str]],
        is_reader: Callable[[], bool],
        retention: float,
    ):
        self.clock = clock
        self.random = random
        self.log = log
        self.transport = transport
        self.incarnation = incarnation
        self.neighbours = neighbours
        self.is_reader = is_reader
        self.retention = retention
        self.current: Manifest | None = None
        self.listeners: list[Callable[[Manifest], None]] = []
        self.history = ManifestHistory()
        self.pull_candidates: dict[str, int] = {}
        self.pull_timer = None
        self.pending_read: Deferred | None = None
        self.pending_append: Deferred | None = None
        self.last_read_at: float | None = None
        self.last_page_at: float | None = None
        self.log_error = ""
        self.invalid_peer_copies = 0
        self.copies_written = 0
        self.copy_start_offset = 0
        self.copy_due_at = 0.0
        self.ticker = LoopingCall(self._tick)
        self.ticker.clock = clock
        transport.add_handler(ManifestPull, self._on_pull)
        transport.add_handler(ManifestCopy, self._on_manifest_copy)

    @property
    def version(self) -> int:
        """The version in force, NO_VERSION while there is none."""
        return self.current.version if self.current else NO_VERSION

    def start(self):
        """Start polling the log."""
        self._schedule_copy()
        self.ticker.start(READER_POLL_SECONDS, now=True).addErrback(
            self._log_unexpected_failure
        )

    def stop(self):
        """Stop polling and cancel the pending read, append and pull."""
        if self.ticker.running:
            self.ticker.stop()
        for deferred in (self.pending_read, self.pending_append):
            if deferred is not None:
                deferred.cancel()
        self._cancel_pull_timer()
        self.pull_candidates.clear()

    def adopt(self, manifest: Manifest) -> bool:
        """Put a manifest in force if its version is higher.

        Returns whether it was higher. Notifies listeners and neighbours.
        """
        if manifest.version <= self.version:
            return False
        self.current = manifest
        self.history.record_manifest(manifest)
        logger.info("manifest {} is in force", manifest.version)
        for listener in list(self.listeners):
            try:
                listener(manifest)
            except Exception:
                logger.exception("a listener failed on a new manifest")
        self._announce_version()
        return True

    def on_newer_manifest(self, version: int, address: str):
        """Pull the manifest from a peer that has a higher version."""
        if version <= self.version:
            return
        if (
            address in self.pull_candidates
            or len(self.pull_candidates) < MAX_PULL_CANDIDATES
        ):
            self.pull_candidates[address] = version
        if self.pull_timer is None:
            self._pull_next()

    def dump(self) -> dict:
        """Return the state of the manifest and of the log reader."""
        now = self.clock.seconds()
        age = None if self.last_page_at is None else now - self.last_page_at
        return {
            "version": self.version,
            "accepted_in_log": self.history.accepted_version,
            "next_offset": self.history.next_offset,
            "log_gaps": self.history.gap_count,
            "malformed_records": self.history.malformed_count,
            "reader": self.is_reader(),
            "seconds_since_log_answer": age,
            "log_error": self.log_error,
            "named_by_peers": dict(self.pull_candidates),
            "invalid_copies_from_peers": self.invalid_peer_copies,
            "retention_copies_written": self.copies_written,
            "seconds_to_retention_copy": self.copy_due_at - now,
        }

    # Peers.

    def _announce_version(self):
        """Announce the version in force to all neighbours.

        The announcement is a pull: it carries the version of its sender, and
        a neighbour with a lower version pulls in turn.
        """
        for address in self.neighbours():
            self._send_pull(address)

    def _send_pull(self, address: str) -> bool:
        message = ManifestPull(
            sender=str(self.incarnation),
            reply_to=self.transport.address,
            version=self.version,
        )
        return self._send(address, message)

    def _send(self, address: str, message) -> bool:
        try:
            self.transport.send(address, message)
        except SendFailed:
            return False
        return True

    def _pull_next(self):
        """Pull from the candidate with the highest version."""
        self.pull_timer = None
        while self.pull_candidates:
            address = max(self.pull_candidates, key=self.pull_candidates.get)
            version = self.pull_candidates.pop(address)
            if version > self.version and self._send_pull(address):
                self.pull_timer = self.clock.callLater(
                    PULL_TIMEOUT_SECONDS, self._pull_next
                )
                return

    def _cancel_pull_timer(self):
        if self.pull_timer is not None:
            self.pull_timer.cancel()
            self.pull_timer = None

    def _on_pull(self, message: ManifestPull):
        if message.version > self.version:
            self.on_newer_manifest(message.version, message.reply_to)
        elif self.current and message.version < self.version:
            copy = ManifestCopy(
                sender=str(self.incarnation),
                version=self.version,
                body=self.current.body,
            )
            self._send(message.reply_to, copy)

    def _on_manifest_copy(self, message: ManifestCopy):
        if message.version <= self.version:
            return
        try:
            manifest = parse_manifest(message.body, version=message.version)
        except ExceptionGroup:
            self.invalid_peer_copies += 1
            return
        self.adopt(manifest)
        self._cancel_pull_timer()
        self._pull_next()

    # The log.

    def _tick(self):
        interval = (
            READER_POLL_SECONDS
            if self.is_reader()
            else NON_READER_POLL_SECONDS
        )
        now = self.clock.seconds()
        # Half a tick of tolerance, because sums of floats may be too low.
        tolerance = READER_POLL_SECONDS / 2
        if (
            self.last_read_at is None
            or now - self.last_read_at >= interval - tolerance
        ):
            self._read_page()

    def _read_page(self):
        if self.pending_read is not None:
            return
        self.last_read_at = self.clock.seconds()
        deferred = self.log.read(
            stream=MANIFEST_STREAM,
            offset=self.history.next_offset,
            limit=PAGE_RECORDS,
        )
        self.pending_read = deferred
        deferred.addTimeout(LOG_TIMEOUT_SECONDS, self.clock)
        deferred.addBoth(self._on_read_done)
        deferred.addCallbacks(self._on_page, self._on_log_unavailable)
        deferred.addErrback(self._log_unexpected_failure)

    def _on_read_done(self, result):
        self.pending_read = None
        return result

    def _on_page(self, page: LogPage):
        self.last_page_at = self.clock.seconds()
        self.log_error = ""
        progress = self.history.apply(page)
        latest = self.history.latest
        if latest is not None:
            self.adopt(latest)
        if progress and self.history.next_offset < page.end:
            self.clock.callLater(0, self._read_next_page)
        elif self.history.next_offset == page.end:
            self._write_copy_if_due()

    def _read_next_page(self):
        if self.ticker.running:
            self._read_page()

    def _on_log_unavailable(self, failure: Failure):
        failure.trap(LogUnavailable, DeferredTimeoutError, CancelledError)
        self.log_error = failure.getErrorMessage() or failure.type.__name__

    def _log_unexpected_failure(self, failure: Failure):
        logger.error("manifest service failed: {}", failure.getTraceback())

    # Retention copies.

    def _schedule_copy(self):
        """Schedule the next copy; a newer one by another node replaces it."""
        self.copy_start_offset = self.history.next_offset
        delay = self.random.uniform(0, COPY_JITTER_FRACTION * self.retention)
        self.copy_due_at = self.clock.seconds() + self.retention / 2 + delay

    def _write_copy_if_due(self):
        """Write a copy if one is due and no other node has written one.

        Called when the log has just been read to its end, so that a copy
        written by another node in the meantime has been seen.
        """
        if self.history.max_copy_as_of > self.copy_start_offset:
            self._schedule_copy()
        elif (
            self.clock.seconds() >= self.copy_due_at
            and not self.pending_append
        ):
            self._write_copy()

    def _write_copy(self):
        copy = self.history.make_copy()
        if copy is None:
            self._schedule_copy()
            return
        deferred = self.log.append(
            stream=MANIFEST_STREAM, data=encode_record(copy)
        )
        self.pending_append = deferred
        deferred.addTimeout(LOG_TIMEOUT_SECONDS, self.clock)
        deferred.addBoth(self._on_append_done)
        deferred.addCallbacks(self._on_copy_written, self._on_log_unavailable)
        deferred.addErrback(self._log_unexpected_failure)

    def _on_append_done(self, result):
        self.pending_append = None
        return result

    def _on_copy_written(self, _offset: int):
        self.copies_written += 1
        self._schedule_copy()
