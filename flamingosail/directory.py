"""Addresses of possible members, from the seeds and the log."""

from collections.abc import Iterable
from random import Random

from msgspec import DecodeError
from msgspec.json import Decoder
from msgspec.json import encode
from twisted.internet.defer import inlineCallbacks
from twisted.internet.interfaces import IReactorTime

from flamingosail.errors import LogUnavailable
from flamingosail.logservice import LogPage
from flamingosail.logservice import LogService
from flamingosail.membership import MemberTable
from flamingosail.messages import MemberRecord

__all__ = ["ANNOUNCE_INTERVAL_S", "Directory", "MEMBERS_STREAM"]

MEMBERS_STREAM = "members"
ANNOUNCE_INTERVAL_S = 3600.0
ANNOUNCE_RETRY_S = 60.0
READ_INTERVAL_S = 5.0
READ_LIMIT_RECORDS = 200
MAX_ADDRESSES = 2000

_decoder = Decoder(MemberRecord)


class Directory:
    """Addresses of possible members, and the log entry of this node.

    The records in the log may be outdated, so only their addresses are
    used; the current records come from the nodes at these addresses.
    Without a log only the seeds are used.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        clock: IReactorTime,
        random: Random,
        log: LogService | None,
        seeds: Iterable[str],
    ):
        self.table = table
        self.clock = clock
        self.random = random
        self.log = log
        self.seeds = tuple(seeds)
        self.addresses: dict[str, None] = {}
        self.offset = 0
        self.next_announcement = 0.0
        self.next_read = 0.0
        self.announcing = False
        self.reading = False

    def start(self):
        """Schedule an append of the own record and a read for ``run_due``."""
        self.next_announcement = self.next_read = self.clock.seconds()

    def run_due(self):
        """Append or read if due.

        Reads follow each append, and run every READ_INTERVAL_S only while
        no other member is known.
        """
        now = self.clock.seconds()
        if self.log is None:
            return
        if now >= self.next_announcement and not self.announcing:
            self._announce(now)
            self.next_read = now
        if now >= self.next_read and not self.reading:
            self.next_read = now + READ_INTERVAL_S
            self._read()
        if not self.table.alone:
            self.next_read = max(self.next_read, self.next_announcement)

    def unknown_addresses(self) -> list[str]:
        """Return the addresses that are not those of live members."""
        live = {record.address for record in self.table.live()}
        live.add(self.table.own_record.address)
        known = dict.fromkeys((*self.seeds, *self.addresses))
        return [address for address in known if address not in live]

    def choose_unknown(self, count: int) -> list[str]:
        """Return up to ``count`` random unknown addresses.

        Half of them are seeds if there are enough of both, so that a log
        full of addresses of replaced VMs does not crowd out a working seed.
        """
        unknown = self.unknown_addresses()
        seeds = [address for address in unknown if address in self.seeds]
        others = [address for address in unknown if address not in self.seeds]
        self.random.shuffle(seeds)
        self.random.shuffle(others)
        half = max(count // 2, count - len(others))
        chosen = seeds[:half]
        return chosen + others[: count - len(chosen)]

    def discard(self, address: str):
        """Drop an address at which no member was found; keep seeds."""
        self.addresses.pop(address, None)

    @inlineCallbacks
    def _announce(self, now: float):
        self.announcing = True
        # Jitter, so that nodes that started together do not always append
        # at the same time.
        self.next_announcement = now + ANNOUNCE_INTERVAL_S * (
            0.9 + 0.1 * self.random.random()
        )
        try:
            yield self.log.append(
                stream=MEMBERS_STREAM, data=encode(self.table.own_record)
            )
        except LogUnavailable:
            self.next_announcement = now + ANNOUNCE_RETRY_S * (
                0.5 + self.random.random()
            )
        finally:
            self.announcing = False

    @inlineCallbacks
    def _read(self):
        self.reading = True
        try:
            more = True
            while more:
                page = yield self.log.read(
                    stream=MEMBERS_STREAM,
                    offset=self.offset,
                    limit=READ_LIMIT_RECORDS,
                )
                more = self._add_addresses(page)
        except LogUnavailable:
            pass
        finally:
            self.reading = False

    def _add_addresses(self, page: LogPage) -> bool:
        """Add the addresses of a page; return whether to read another."""
        for entry in page.records:
            self.offset = entry.offset + 1
            try:
                record = _decoder.decode(entry.data)
            except (DecodeError, UnicodeDecodeError):
                continue
            self.addresses.pop(record.address, None)
            self.addresses[record.address] = None
        while len(self.addresses) > MAX_ADDRESSES:
            del self.addresses[next(iter(self.addresses))]
        return bool(page.records) and self.offset < page.end
