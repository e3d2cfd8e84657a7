"""Which headers a hop does not pass on."""

__all__ = ["DROPPED_HEADERS", "NODE_PREFIX", "drop_named"]

# Headers that concern one connection (RFC 9110, section 7.6.1) or that this
# hop sets anew.
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
# Headers meant for the node itself.
NODE_PREFIX = b"flamingosail-"


def drop_named(headers: list, connection: bytes) -> list:
    """Return the headers that the Connection header does not name."""
    names = {name.strip().lower() for name in connection.split(b",")}
    return [item for item in headers if item[0].lower() not in names]
