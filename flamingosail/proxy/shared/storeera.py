"""The era of the metadata store, which rises when it loses what it held.

A store that comes back from an older copy has lost its newest records and
gives their offsets out again. What a node has learned of the store in an
earlier era, such as an offset or that a record was written, no longer holds.
"""

from collections.abc import Callable

from logbook import Logger

__all__ = ["StoreEra"]

log = Logger("proxy.storeera")


class StoreEra:
    """The newest era of the store that this node has heard of.

    ``number`` is 0 until the store, or another node, names one. The listeners
    are called without arguments when it rises.
    """

    def __init__(self):
        self.number = 0
        self.listeners: list[Callable[[], None]] = []

    def observe(self, number: int, *, source: str):
        """Record an era that the store or another node has named.

        ``source`` is "store" or "peer".
        """
        if number <= self.number:
            return
        log.info(
            "store era",
            extra={"era": number, "before": self.number, "source": source},
        )
        self.number = number
        for listener in self.listeners:
            listener()
