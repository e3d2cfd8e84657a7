"""Pool of keep-alive connections to the backend server of this VM."""

from collections import deque
from collections.abc import Callable

from logbook import Logger
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol

from flamingosail.proxy.dialect import Dialect
from flamingosail.proxy.shared.heldbytes import HeldBytes
from flamingosail.proxy.shared.heldbytes import Holder
from flamingosail.proxy.transport.backendserver import ServerConnection
from flamingosail.proxy.transport.backendserver import ServerRequest
from flamingosail.settings import Address

__all__ = ["ServerPool"]

CONNECT_TIMEOUT_SECONDS = 1.0

log = Logger("proxy.serverpool")


class ConnectionOpener(ClientFactory):
    """Opens a connection that sends one request as soon as it is open."""

    noisy = False

    def __init__(self, *, pool: "ServerPool", request: ServerRequest):
        self.pool = pool
        self.request = request

    def buildProtocol(self, addr):  # noqa: N802 - named by twisted
        """Return the protocol of the new connection."""
        return OpeningConnection(pool=self.pool, request=self.request)

    def clientConnectionFailed(  # noqa: N802 - named by twisted
        self, connector, reason
    ):
        """End the request; nothing of it was sent."""
        self.pool.connecting -= 1
        self.request.connector = None
        self.request.finish(None, f"connecting failed: {reason.value}")


class OpeningConnection(ServerConnection):
    """A new connection with the request that it was opened for."""

    def __init__(self, *, pool: "ServerPool", request: ServerRequest):
        super().__init__(pool=pool)
        self.first_request = request

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Send the request, unless it was abandoned meanwhile."""
        super().connectionMade()
        self.pool.opened(self)
        request, self.first_request = self.first_request, None
        request.connector = None
        if request.done:
            self.pool.release(self)
        else:
            self.send(request)


class ProbeConnection(Protocol):
    """A connection that is closed as soon as it is open."""

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Report that the server accepts connections."""
        self.factory.report(False)
        self.transport.abortConnection()


class Probe(ClientFactory):
    """Opens a connection; tells ``report`` whether it was refused."""

    noisy = False
    protocol = ProbeConnection

    def __init__(self, report: Callable[[bool], None]):
        self.report = report

    def clientConnectionFailed(  # noqa: N802 - named by twisted
        self, connector, reason
    ):
        """Report a refusal; a timeout is none."""
        self.report(reason.check(ConnectionRefusedError) is not None)


class ServerPool:
    """Keeps connections to one address and reuses the last used one first.

    That one is the least likely to have reached its idle limit. ``connecting``
    is the number of connection attempts in progress, ``connect_count`` that
    of all attempts since the start. ``buffered_bytes`` is the size of the
    responses that are arriving, at most ``max_buffered_bytes``; ``held``
    counts it and unsent requests.
    ``invalid_rate`` the last rate limit that was logged as invalid.
    """

    def __init__(
        self,
        *,
        reactor: IReactorTCP,
        dialect: Dialect,
        address: Address,
        max_buffered_bytes: int,
        held: HeldBytes | None = None,
    ):
        self.max_buffered_bytes = max_buffered_bytes
        self.held = held or HeldBytes()
        self.buffered_bytes = 0
        self.invalid_rate = b""
        self.reactor = reactor
        self.dialect = dialect
        self.address = address
        self.idle: deque[ServerConnection] = deque()
        self.connections: set[ServerConnection] = set()
        self.connecting = 0
        self.connect_count = 0

    def send(self, request: ServerRequest):
        """Send a request on an idle connection or a new one."""
        connection = self.pop_idle(request)
        if connection is not None:
            connection.send(request)
            return
        self.connecting += 1
        self.connect_count += 1
        request.connector = self.reactor.connectTCP(
            self.address.host,
            self.address.port,
            ConnectionOpener(pool=self, request=request),
            timeout=CONNECT_TIMEOUT_SECONDS,
        )

    def probe(self, timeout: float, report: Callable[[bool], None]):
        """Call ``report`` once with whether the server refuses connections.

        ``timeout`` is in seconds.
        """
        self.connect_count += 1
        self.reactor.connectTCP(
            self.address.host,
            self.address.port,
            Probe(report),
            timeout=timeout,
        )

    def pop_idle(self, request: ServerRequest) -> ServerConnection | None:
        """Return an idle connection for a request, or None.

        A non-idempotent request gets none that the server has closed or sent
        data on; such a connection is closed. No request gets one on which the
        server has refused it before.
        """
        now = self.reactor.seconds()
        skipped = []
        found = None
        while found is None and self.idle:
            connection = self.idle.pop()
            if now - connection.idle_since > connection.idle_limit:
                connection.close()
            elif request.request_id in connection.refused_ids:
                skipped.append(connection)
            elif request.idempotent or connection.is_intact():
                found = connection
            else:
                connection.close()
        self.idle.extend(reversed(skipped))
        return found

    def release(self, connection: ServerConnection):
        """Make a connection available to the next request."""
        connection.idle_since = self.reactor.seconds()
        self.idle.append(connection)

    def hold(self, size: int):
        """Count ``size`` more bytes of arriving responses."""
        self.buffered_bytes += size
        self.held.add(Holder.ARRIVING_RESPONSES, size)

    def drop_largest_response(self):
        """End the request with the largest response, to free memory.

        A server in trouble may send without end; the other responses are not
        affected by it.
        """
        largest = max(self.connections, key=lambda connection: connection.size)
        log.warning("response dropped", extra={"bytes": largest.size})
        largest.fail("no memory for the answer")

    def record_invalid_rate(self, value: bytes):
        """Log a rate limit that is no rate, once until it changes."""
        if value != self.invalid_rate:
            self.invalid_rate = value
            log.warning("rate limit ignored", extra={"value": repr(value)})

    def opened(self, connection: ServerConnection):
        """Add a new connection."""
        self.connecting -= 1
        self.connections.add(connection)

    def remove(self, connection: ServerConnection):
        """Remove a connection that either side has closed."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self):
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().close()
