"""Detection of duplicate and very late calls, per sending incarnation.

The window works like the anti-replay window of IPsec (RFC 4303): ids rise, so
a bitmap of the newest ids and a floor are enough.
"""

from collections import OrderedDict

from xxhash import xxh64_intdigest

__all__ = ["REPLAY_WINDOW_CALLS", "ReplayWindow"]

REPLAY_WINDOW_CALLS = 4096
MAX_SENDERS = 4096
# 1 MiB. With 35 restarts a day, two probes refuse a new sender by mistake
# with a probability below 1e-5 after a year.
FORGOTTEN_BITS = 2**23


class ReplayWindow:
    """Accepts each call id of each sender at most once.

    When more than ``max_senders`` incarnations have sent, the one that has
    been silent longest is forgotten and from then on refused. Forgotten
    names are kept in a Bloom filter, which needs a fixed amount of memory
    and never misses one.
    """

    def __init__(
        self,
        *,
        width: int = REPLAY_WINDOW_CALLS,
        max_senders: int = MAX_SENDERS,
    ):
        self.width = width
        self.max_senders = max_senders
        self.mask = (1 << width) - 1
        self.senders: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self.forgotten: bytearray | None = None
        self.duplicates = 0

    def accept(self, sender: str, call_id: int) -> bool:
        """Return whether this id of this sender is seen for the first time.

        An id below the window counts as seen.
        """
        if sender not in self.senders and self.was_forgotten(sender):
            self.duplicates += 1
            return False
        highest, seen = self.senders.pop(sender, (0, 0))
        if call_id > highest:
            gap = call_id - highest
            shifted = seen << gap if gap < self.width else 0
            seen = (shifted | 1) & self.mask
            accepted, highest = True, call_id
        else:
            bit = 1 << (highest - call_id)
            accepted = highest - call_id < self.width and not seen & bit
            seen |= bit if accepted else 0
        self.senders[sender] = (highest, seen)
        if len(self.senders) > self.max_senders:
            self.forget(self.senders.popitem(last=False)[0])
        self.duplicates += not accepted
        return accepted

    def forget(self, sender: str):
        """Note that the window of a sender is lost."""
        if self.forgotten is None:
            self.forgotten = bytearray(FORGOTTEN_BITS // 8)
        for position in _probes(sender):
            self.forgotten[position // 8] |= 1 << position % 8

    def was_forgotten(self, sender: str) -> bool:
        """Return whether the window of a sender may have been lost."""
        if self.forgotten is None:
            return False
        return all(
            self.forgotten[position // 8] >> position % 8 & 1
            for position in _probes(sender)
        )


def _probes(sender: str) -> tuple[int, int]:
    """Return the two bit positions of a sender in the Bloom filter."""
    digest = xxh64_intdigest(sender.encode())
    return digest % FORGOTTEN_BITS, (digest >> 32) % FORGOTTEN_BITS
