"""The manifest in force at this node, from the log and from peers."""

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
OTHER_POLL_SECONDS = 10.0
# A page of 16 records of 1 MiB is the most a node holds at a time.
PAGE_RECORDS = 16
# A read that takes longer is given up, so that one lost answer does not
# stop the polling.
READ_TIMEOUT_SECONDS = 5.0
# Several neighbours name a new version at the same time; one pull at a time
# keeps the body from being sent by each of them.
PULL_TIMEOUT_SECONDS = 0.5
MAX_NAMED_PEERS = 64
# Spread of the retention copies, as a part of the retention time. With the
# half that comes before it, three eighths remain for log outages.
COPY_SPREAD = 0.125

logger = Logger("manifest")


class ManifestService(Service):
    """Keeps the highest manifest known in force.

    ``neighbours`` returns the addresses of the overlay neighbours,
    ``is_reader`` whether this node polls the log for its failure domain.
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
        self.named: dict[str, int] = {}
        self.pull_timer = None
        self.reading: Deferred | None = None
        self.appending: Deferred | None = None
        self.last_read: float | None = None
        self.last_page: float | None = None
        self.log_error = ""
        self.invalid_copies = 0
        self.copies_written = 0
        self.copy_mark = 0
        self.copy_due = 0.0
        self.ticker = LoopingCall(self._tick)
        self.ticker.clock = clock
        transport.add_handler(ManifestPull, self._pulled)
        transport.add_handler(ManifestCopy, self._received)

    @property
    def version(self) -> int:
        """The version in force, NO_VERSION if there is none."""
        return self.current.version if self.current else NO_VERSION

    def start(self):
        """Begin to poll the log."""
        self._schedule_copy()
        self.ticker.start(READER_POLL_SECONDS, now=True).addErrback(
            self._log_failure
        )

    def stop(self):
        """End polling and give up what is under way."""
        if self.ticker.running:
            self.ticker.stop()
        for deferred in (self.reading, self.appending):
            if deferred is not None:
                deferred.cancel()
        self._end_pull()
        self.named.clear()

    def adopt(self, manifest: Manifest) -> bool:
        """Put a manifest in force if its version is higher.

        Returns whether it was. Tells the listeners and the neighbours.
        """
        if manifest.version <= self.version:
            return False
        self.current = manifest
        self.history.know(manifest)
        logger.info("manifest {} is in force", manifest.version)
        for listener in list(self.listeners):
            try:
                listener(manifest)
            except Exception:
                logger.exception("a listener failed on a new manifest")
        self._announce()
        return True

    def peer_has(self, version: int, address: str):
        """Pull the manifest from a peer that names a higher version."""
        if version <= self.version:
            return
        if address in self.named or len(self.named) < MAX_NAMED_PEERS:
            self.named[address] = version
        if self.pull_timer is None:
            self._pull()

    def dump(self) -> dict:
        """Return the state of the manifest and of the log reader."""
        now = self.clock.seconds()
        age = None if self.last_page is None else now - self.last_page
        return {
            "version": self.version,
            "accepted_in_log": self.history.accepted,
            "next_offset": self.history.next_offset,
            "log_gaps": self.history.gaps,
            "malformed_records": self.history.malformed,
            "reader": self.is_reader(),
            "seconds_since_log_answer": age,
            "log_error": self.log_error,
            "named_by_peers": dict(self.named),
            "invalid_copies_from_peers": self.invalid_copies,
            "retention_copies_written": self.copies_written,
            "seconds_to_retention_copy": self.copy_due - now,
        }

    # Peers.

    def _announce(self):
        """Name the version in force to all neighbours.

        A pull names the version of its sender; a neighbour with a lower one
        pulls in turn.
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

    def _pull(self):
        """Pull from the peers that named a version, highest first."""
        self.pull_timer = None
        while self.named:
            address = max(self.named, key=self.named.get)
            version = self.named.pop(address)
            if version > self.version and self._send_pull(address):
                self.pull_timer = self.clock.callLater(
                    PULL_TIMEOUT_SECONDS, self._pull
                )
                return

    def _end_pull(self):
        if self.pull_timer is not None:
            self.pull_timer.cancel()
            self.pull_timer = None

    def _pulled(self, message: ManifestPull):
        if message.version > self.version:
            self.peer_has(message.version, message.reply_to)
        elif self.current and message.version < self.version:
            copy = ManifestCopy(
                sender=str(self.incarnation),
                version=self.version,
                body=self.current.body,
            )
            self._send(message.reply_to, copy)

    def _received(self, message: ManifestCopy):
        if message.version <= self.version:
            return
        try:
            manifest = parse_manifest(message.body, version=message.version)
        except ExceptionGroup:
            self.invalid_copies += 1
            return
        self.adopt(manifest)
        self._end_pull()
        self._pull()

    # The log.

    def _tick(self):
        interval = (
            READER_POLL_SECONDS if self.is_reader() else OTHER_POLL_SECONDS
        )
        now = self.clock.seconds()
        # Half a tick of tolerance: sums of floats may fall just short.
        tolerance = READER_POLL_SECONDS / 2
        if (
            self.last_read is None
            or now - self.last_read >= interval - tolerance
        ):
            self._read()

    def _read(self):
        if self.reading is not None:
            return
        self.last_read = self.clock.seconds()
        deferred = self.log.read(
            stream=MANIFEST_STREAM,
            offset=self.history.next_offset,
            limit=PAGE_RECORDS,
        )
        self.reading = deferred
        deferred.addTimeout(READ_TIMEOUT_SECONDS, self.clock)
        deferred.addBoth(self._read_ended)
        deferred.addCallbacks(self._page_read, self._log_failed)
        deferred.addErrback(self._log_failure)

    def _read_ended(self, result):
        self.reading = None
        return result

    def _page_read(self, page: LogPage):
        self.last_page = self.clock.seconds()
        self.log_error = ""
        progress = self.history.apply(page)
        latest = self.history.latest
        if latest is not None:
            self.adopt(latest)
        if progress and self.history.next_offset < page.end:
            self.clock.callLater(0, self._read_on)
        elif self.history.next_offset == page.end:
            self._at_end()

    def _read_on(self):
        if self.ticker.running:
            self._read()

    def _log_failed(self, failure: Failure):
        failure.trap(LogUnavailable, DeferredTimeoutError, CancelledError)
        self.log_error = failure.getErrorMessage() or failure.type.__name__

    def _log_failure(self, failure: Failure):
        logger.error("manifest service failed: {}", failure.getTraceback())

    # Retention copies.

    def _schedule_copy(self):
        """Expect a copy as of here or later by half the retention time."""
        self.copy_mark = self.history.next_offset
        delay = self.random.uniform(0, COPY_SPREAD * self.retention)
        self.copy_due = self.clock.seconds() + self.retention / 2 + delay

    def _at_end(self):
        """Write a copy if one is due and nobody else has.

        The log has been read to its end just now, so a copy that another
        node wrote in the meantime is seen.
        """
        if self.history.copy_as_of > self.copy_mark:
            self._schedule_copy()
        elif self.clock.seconds() >= self.copy_due and not self.appending:
            self._write_copy()

    def _write_copy(self):
        copy = self.history.copy()
        if copy is None:
            self._schedule_copy()
            return
        deferred = self.log.append(
            stream=MANIFEST_STREAM, data=encode_record(copy)
        )
        self.appending = deferred
        deferred.addTimeout(READ_TIMEOUT_SECONDS, self.clock)
        deferred.addBoth(self._append_ended)
        deferred.addCallbacks(self._copy_written, self._log_failed)
        deferred.addErrback(self._log_failure)

    def _append_ended(self, result):
        self.appending = None
        return result

    def _copy_written(self, _offset: int):
        self.copies_written += 1
        self._schedule_copy()
