"""Headers that are not forwarded to the next hop."""

__all__ = ["DROPPED_HEADERS", "NODE_PREFIX", "drop_named"]

# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that each hop sets
# itself.
DROPPED_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Prefix of the headers addressed to the node itself, in lower case.
NODE_PREFIX = b"flamingosail-"


def drop_named(headers: list, connection: bytes) -> list:
    """Return the headers that ``connection`` does not list.

    ``connection`` is the value of the Connection header.
    """
    names = {name.strip().lower() for name in connection.split(b",")}
    return [item for item in headers if item[0].lower() not in names]
