"""Identity of a request, by which it is known when it comes again."""

from functools import lru_cache
from hashlib import blake2b

__all__ = ["request_fingerprint"]

# A collision would let a client have the requests of another one refused, so
# the hash is a cryptographic one.
FINGERPRINT_BYTES = 8
# Of the headers, the host and the credentials of the client account belong to
# the identity. Others differ between repetitions, or between the VMs at which
# the request enters.
IDENTITY_HEADERS = (b"host:", b"authorization:")
CACHED_HEADS = 256
MAX_CACHED_HEAD_BYTES = 1024


def request_fingerprint(request_line: bytes, head: bytes, body: bytes) -> int:
    """Return the fingerprint of a request, a number of 64 bits.

    ``head`` holds complete header lines. The id of the request is no part of
    its identity.
    """
    if len(head) <= MAX_CACHED_HEAD_BYTES:
        identity = cached_identity_lines(head)
    else:
        identity = identity_lines(head)
    digest = blake2b(
        b"%d %d " % (len(request_line), len(identity)),
        digest_size=FINGERPRINT_BYTES,
    )
    for part in (request_line, identity, body):
        digest.update(part)
    return int.from_bytes(digest.digest(), "big")


def identity_lines(head: bytes) -> bytes:
    """Return the header lines that belong to the identity of a request."""
    lines = []
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        name = name.lower() + b":"
        if name == b"host:":
            lines.append(name + value.strip().lower())
        elif name in IDENTITY_HEADERS:
            lines.append(name + value.strip())
    return b"\n".join(sorted(lines))


cached_identity_lines = lru_cache(maxsize=CACHED_HEADS)(identity_lines)
