"""The kept connections to the backend server of this VM."""

from collections import deque

from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory

from flamingosail.proxy.backendserver import ServerConnection
from flamingosail.proxy.backendserver import ServerRequest
from flamingosail.proxy.dialect import Dialect
from flamingosail.settings import Address

__all__ = ["ServerPool"]

CONNECT_TIMEOUT_SECONDS = 1.0


class ConnectionOpener(ClientFactory):
    """Opens one connection for one request."""

    noisy = False

    def __init__(self, *, pool: "ServerPool", request: ServerRequest):
        self.pool = pool
        self.request = request

    def buildProtocol(self, addr):  # noqa: N802 - named by twisted
        """Return a connection that sends the request once it is open."""
        return OpeningConnection(pool=self.pool, request=self.request)

    def clientConnectionFailed(  # noqa: N802 - named by twisted
        self, connector, reason
    ):
        """End the request: not a byte was sent."""
        self.pool.connecting -= 1
        self.request.connector = None
        self.request.end(None, f"connecting failed: {reason.value}")


class OpeningConnection(ServerConnection):
    """A connection that begins with a request."""

    def __init__(self, *, pool: "ServerPool", request: ServerRequest):
        super().__init__(pool=pool)
        self.first = request

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Send the request, unless it was given up meanwhile."""
        super().connectionMade()
        self.pool.opened(self)
        request, self.first = self.first, None
        request.connector = None
        if request.over:
            self.pool.put_back(self)
        else:
            self.send(request)


class ServerPool:
    """Keeps connections to one address; the last used is used first."""

    def __init__(
        self, *, reactor: IReactorTCP, dialect: Dialect, address: Address
    ):
        self.reactor = reactor
        self.dialect = dialect
        self.address = address
        self.idle: deque[ServerConnection] = deque()
        self.connections: set[ServerConnection] = set()
        self.connecting = 0
        self.connects = 0

    def send(self, request: ServerRequest):
        """Send a request on a kept connection or a new one."""
        connection = self.take_idle(checked=not request.idempotent)
        if connection is not None:
            connection.send(request)
            return
        self.connecting += 1
        self.connects += 1
        request.connector = self.reactor.connectTCP(
            self.address.host,
            self.address.port,
            ConnectionOpener(pool=self, request=request),
            timeout=CONNECT_TIMEOUT_SECONDS,
        )

    def take_idle(self, *, checked: bool) -> ServerConnection | None:
        """Return a connection that is surely open, if there is one."""
        now = self.reactor.seconds()
        while self.idle:
            connection = self.idle.pop()
            if now - connection.idle_since > connection.idle_limit:
                connection.close()
            elif not checked or connection.intact():
                return connection
            else:
                connection.close()
        return None

    def put_back(self, connection: ServerConnection):
        """Keep a connection for the next request."""
        connection.idle_since = self.reactor.seconds()
        self.idle.append(connection)

    def opened(self, connection: ServerConnection):
        """Count a new connection."""
        self.connecting -= 1
        self.connections.add(connection)

    def lost(self, connection: ServerConnection):
        """Forget a connection."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self):
        """Close the connections that nobody uses."""
        while self.idle:
            self.idle.pop().close()
