"""Budget of the bytes that a node holds for clients, servers and peers."""

from collections.abc import Callable
from math import inf

__all__ = ["Holder", "HeldBytes", "SMALL_BYTES"]

# What a request or response of at most this size needs is reserved, so that
# large ones do not take all memory.
SMALL_BYTES = 65_536
RESERVED_SHARE = 1 / 4


class Holder:
    """What bytes are held for; the label of the metric ``held_bytes``.

    Output is what has been written and not been accepted by the kernel.
    ``PEER_CALLS`` are requests of other nodes that are queued or running,
    ``PEER_REPLIES`` replies to them that may have been lost.
    """

    ARRIVING_REQUESTS = "arriving_requests"
    REQUESTS = "requests"
    RESPONSES = "responses"
    CLIENT_OUTPUT = "client_output"
    SERVER_OUTPUT = "server_output"
    ARRIVING_RESPONSES = "arriving_responses"
    PEER_INPUT = "peer_input"
    PEER_CALLS = "peer_calls"
    PEER_OUTPUT = "peer_output"
    PEER_REPLIES = "peer_replies"

    ALL = (
        ARRIVING_REQUESTS,
        REQUESTS,
        RESPONSES,
        CLIENT_OUTPUT,
        SERVER_OUTPUT,
        ARRIVING_RESPONSES,
        PEER_INPUT,
        PEER_CALLS,
        PEER_OUTPUT,
        PEER_REPLIES,
    )


class HeldBytes:
    """Counts the bytes that a process holds, by holder.

    ``limit`` bounds their total. The total may exceed it, because counting
    follows the arrival of data; ``relieve`` then calls ``on_excess``, which
    drops what is held for the slowest clients. A part of the limit is reserved
    for messages of up to ``SMALL_BYTES``.
    """

    def __init__(self, *, limit: float = inf):
        self.limit = limit
        self.limit_of_large = limit * (1 - RESERVED_SHARE)
        self.total = 0
        self.by_holder: dict[str, int] = dict.fromkeys(Holder.ALL, 0)
        self.relieving = False
        self.on_excess: Callable[[], None] = lambda: None

    def add(self, holder: str, size: int):
        """Count ``size`` more bytes; it is negative if they are released."""
        self.total += size
        self.by_holder[holder] += size

    def allows(self, size: int) -> bool:
        """Return whether a message of this size, counted already, may stay."""
        limit = self.limit_of_large if size > SMALL_BYTES else self.limit
        return self.total <= limit

    @property
    def exceeded(self) -> bool:
        """Whether large messages have to be dropped."""
        return self.total > self.limit_of_large

    def relieve(self):
        """Drop data if the limit is exceeded.

        Does nothing while it is called by ``on_excess`` itself.
        """
        if self.total > self.limit_of_large and not self.relieving:
            self.relieving = True
            try:
                self.on_excess()
            finally:
                self.relieving = False
