"""Socket options, state and immediate writes for TCP transports."""

import socket
from fcntl import ioctl
from termios import TIOCOUTQ

__all__ = [
    "detect_dead_peer",
    "disable_nagle",
    "ended_in_order",
    "write_now",
]

# The kernel closes a connection whose data is not acknowledged for this
# long, and also one whose peer stops reading, so this is not set where peers
# may read slowly.
USER_TIMEOUT_MS = 2000
KEEPALIVE_SECONDS = 1
# State of a reset connection in the first byte of Linux' struct tcp_info. One
# that the peer has closed is in CLOSE_WAIT.
TCP_CLOSE = 7
INT_BYTES = 4


def disable_nagle(transport):
    """Disable Nagle's algorithm."""
    set_no_delay = getattr(transport, "setTcpNoDelay", None)
    if set_no_delay is not None:
        set_no_delay(True)


def detect_dead_peer(transport):
    """Set keepalive and the TCP user timeout where the platform has them."""
    set_keep_alive = getattr(transport, "setTcpKeepAlive", None)
    if set_keep_alive is None:
        return
    set_keep_alive(True)
    handle = transport.getHandle()
    for option, value in (
        ("TCP_USER_TIMEOUT", USER_TIMEOUT_MS),
        ("TCP_KEEPIDLE", KEEPALIVE_SECONDS),
        ("TCP_KEEPINTVL", KEEPALIVE_SECONDS),
    ):
        number = getattr(socket, option, None)
        if number is not None:
            handle.setsockopt(socket.IPPROTO_TCP, number, value)


def ended_in_order(sock: socket.socket) -> bool:
    """Return whether the peer read all that was sent, and closed its side.

    ``sock`` is one of whose input the reactor has reported the end. For epoll
    that is also an event with an error alone. The error itself may have been
    returned by an earlier call, so the state of the connection is read too,
    where the system tells it. Data that the peer has not acknowledged is
    answered with a reset if the peer has closed both sides.
    """
    if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return False
    try:
        if sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == (
            TCP_CLOSE
        ):
            return False
        unacknowledged = ioctl(sock.fileno(), TIOCOUTQ, bytes(INT_BYTES))
        return not any(unacknowledged)
    except (AttributeError, OSError):
        return True


def write_now(transport, data: bytes):
    """Write to a TCP transport, at once if its buffer is empty.

    ``transport.write`` defers the write to the next reactor iteration and
    registers the socket for it, which costs additional system calls.
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
