"""Addresses at which other members may be found: seeds and the log."""

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
READ_LIMIT = 200
MAX_ADDRESSES = 2000

_decoder = Decoder(MemberRecord)


class Directory:
    """Where a node looks for members that it does not know.

    Records in the log may be old, so only their addresses are used; what
    the nodes there say of themselves is learned from them. Without the log
    the seeds alone are used.
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
        """Append the own record and read the stream at the next check."""
        self.next_announcement = self.next_read = self.clock.seconds()

    def check(self):
        """Append or read if it is time; read often only while alone."""
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

    def unknown(self) -> list[str]:
        """Return the addresses at which no live member is known."""
        live = {record.address for record in self.table.live()}
        live.add(self.table.own.address)
        known = dict.fromkeys((*self.seeds, *self.addresses))
        return [address for address in known if address not in live]

    def pick(self, count: int) -> list[str]:
        """Return up to ``count`` random unknown addresses.

        Half are seeds if there are enough of both, so that a log full of
        addresses of replaced VMs does not hide a seed that works.
        """
        unknown = self.unknown()
        seeds = [address for address in unknown if address in self.seeds]
        others = [address for address in unknown if address not in self.seeds]
        self.random.shuffle(seeds)
        self.random.shuffle(others)
        half = max(count // 2, count - len(others))
        chosen = seeds[:half]
        return chosen + others[: count - len(chosen)]

    def forget(self, address: str):
        """Drop an address from the log that did not lead to a member."""
        self.addresses.pop(address, None)

    @inlineCallbacks
    def _announce(self, now: float):
        self.announcing = True
        # A random part keeps nodes that started together from appending
        # together ever after.
        self.next_announcement = now + ANNOUNCE_INTERVAL_S * (
            0.9 + 0.1 * self.random.random()
        )
        try:
            yield self.log.append(
                stream=MEMBERS_STREAM, data=encode(self.table.own)
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
                    stream=MEMBERS_STREAM, offset=self.offset, limit=READ_LIMIT
                )
                more = self._take(page)
        except LogUnavailable:
            pass
        finally:
            self.reading = False

    def _take(self, page: LogPage) -> bool:
        """Keep the newest addresses; return whether there may be more."""
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
