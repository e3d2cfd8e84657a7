"""How configurations spread from the metadata store to all nodes."""

from enum import StrEnum

__all__ = ["ConfigSource"]


class ConfigSource(StrEnum):
    """Where a node got a configuration from.

    A near peer is in the failure domain of the node, a far one in another.
    """

    STORE = "store"
    NEAR_PEER = "near peer"
    FAR_PEER = "far peer"
