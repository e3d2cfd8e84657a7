"""Detection of duplicate and very late calls, per sending incarnation.

The window works like the anti-replay window of IPsec (RFC 4303): a sender's
call ids increase, so the highest id and a bitmap of the ids below it suffice.
"""

from collections import OrderedDict

from xxhash import xxh64_intdigest

__all__ = ["REPLAY_WINDOW_CALLS", "ReplayWindow"]

REPLAY_WINDOW_CALLS = 4096
MAX_SENDERS = 4096
# 1 MiB. With 35 node restarts a day and two bits per sender, a new sender is
# refused by mistake with a probability below 1e-5 after a year.
EVICTED_FILTER_BITS = 2**23


class ReplayWindow:
    """Accepts each call id of each sender at most once.

    Beyond ``max_senders`` incarnations, the window of the least recently
    active one is evicted, and all its later calls are refused. Evicted
    incarnations are kept in a Bloom filter, which has a fixed size and no
    false negatives. ``width`` is the number of call ids in a window.
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
        self.evicted_filter: bytearray | None = None
        self.duplicates = 0

    def accept(self, sender: str, call_id: int) -> bool:
        """Return whether this id of this sender is seen for the first time.

        An id below the window counts as seen.
        """
        if sender not in self.senders and self.was_evicted(sender):
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
            self.mark_evicted(self.senders.popitem(last=False)[0])
        self.duplicates += not accepted
        return accepted

    def mark_evicted(self, sender: str):
        """Add a sender whose window was dropped to the Bloom filter."""
        if self.evicted_filter is None:
            self.evicted_filter = bytearray(EVICTED_FILTER_BITS // 8)
        for position in _bit_positions(sender):
            self.evicted_filter[position // 8] |= 1 << position % 8

    def was_evicted(self, sender: str) -> bool:
        """Return whether the window of a sender may have been dropped."""
        if self.evicted_filter is None:
            return False
        return all(
            self.evicted_filter[position // 8] >> position % 8 & 1
            for position in _bit_positions(sender)
        )


def _bit_positions(sender: str) -> tuple[int, int]:
    """Return the two bit positions of a sender in the Bloom filter."""
    digest = xxh64_intdigest(sender.encode())
    return digest % EVICTED_FILTER_BITS, (digest >> 32) % EVICTED_FILTER_BITS
