"""Socket options and writes that the reactor's defaults do not cover."""

import socket

__all__ = ["prepare", "write_now"]

USER_TIMEOUT_MS = 3000
KEEPALIVE_SECONDS = 1


def prepare(transport):
    """Disable Nagle's algorithm and let the kernel notice a dead peer."""
    set_no_delay = getattr(transport, "setTcpNoDelay", None)
    if set_no_delay is None:
        return
    set_no_delay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    for option, value in (
        ("TCP_USER_TIMEOUT", USER_TIMEOUT_MS),
        ("TCP_KEEPIDLE", KEEPALIVE_SECONDS),
        ("TCP_KEEPINTVL", KEEPALIVE_SECONDS),
    ):
        number = getattr(socket, option, None)
        if number is not None:
            handle.setsockopt(socket.IPPROTO_TCP, number, value)


def write_now(transport, data: bytes):
    """Write to a TCP transport, at once if its buffer is empty.

    ``transport.write`` waits for the next turn of the loop and costs three
    more system calls, which is a quarter of the work on a forwarded request.
    """
    sock = getattr(transport, "socket", None)
    if (
        sock is None
        or not transport.connected
        or transport.disconnecting
        or transport.offset != len(transport.dataBuffer)
        or transport._tempDataBuffer
    ):
        transport.write(data)
        return
    try:
        sent = sock.send(data)
    except OSError:
        # The reactor reports the same error through connectionLost.
        sent = 0
    if sent < len(data):
        transport.write(data[sent:] if sent else data)
