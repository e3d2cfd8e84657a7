"""Detection of duplicate and very late calls, per sending incarnation.

The window works like the anti-replay window of IPsec (RFC 4303): ids rise, so
a bitmap of the newest ids and a floor are enough.
"""

from collections import OrderedDict

__all__ = ["REPLAY_WINDOW_CALLS", "ReplayWindow"]

REPLAY_WINDOW_CALLS = 4096
MAX_SENDERS = 4096


class ReplayWindow:
    """Accepts each call id of each sender at most once.

    When more than ``max_senders`` incarnations have sent, the one that has
    been silent longest is forgotten and from then on refused.
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
        self.duplicates = 0

    def accept(self, sender: str, call_id: int) -> bool:
        """Return whether this id of this sender is seen for the first time.

        An id below the window counts as seen.
        """
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
            self.senders.popitem(last=False)
        self.duplicates += not accepted
        return accepted
