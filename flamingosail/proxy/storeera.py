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

    ``number`` is 0 for a store that names none. The listeners are called
    without arguments when it rises.
    """

    def __init__(self):
        self.number: int | None = None
        self.listeners: list[Callable[[], None]] = []

    def observe(self, number: int, *, source: str):
        """Record an era that the store, or another node, has named.

        ``source`` is "store" or "peer".
        """
        before = self.number
        if before is not None and number <= before:
            return
        self.number = number
        log.info(
            "store era",
            extra={"era": number, "before": before, "source": source},
        )
        if before is not None:
            for listener in self.listeners:
                listener()
