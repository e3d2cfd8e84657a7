"""The priority number of a root request.

The number combines the importance of the root's kind with a bucket hashed
from the root id (after DAGOR, SoCC 2018). All nodes derive the same bucket,
so overloaded nodes refuse the same roots, and the other roots are served with
all their calls.
"""

from enum import IntEnum

from xxhash import xxh64_intdigest

__all__ = [
    "Importance",
    "LOWEST_PRIORITY",
    "PRIORITY_BUCKETS",
    "PRIORITY_LEVELS",
    "PRIORITY_RANGE",
    "importance_of",
    "root_priority",
]


class Importance(IntEnum):
    """Importance of a kind of request; a lower number is more important."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


PRIORITY_BUCKETS = 128
PRIORITY_LEVELS = len(Importance)
PRIORITY_RANGE = PRIORITY_LEVELS * PRIORITY_BUCKETS
LOWEST_PRIORITY = PRIORITY_RANGE - 1


def root_priority(importance: Importance, root_id: str) -> int:
    """Return the priority number, 0 (most important) to 511."""
    bucket = xxh64_intdigest(root_id.encode()) % PRIORITY_BUCKETS
    return importance * PRIORITY_BUCKETS + bucket


def importance_of(priority: int) -> Importance:
    """Return the importance level that a priority number belongs to."""
    return Importance(priority // PRIORITY_BUCKETS)
