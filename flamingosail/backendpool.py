"""Pool of keep-alive connections to the node's own backend server."""

from collections import deque

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IConnector
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory

from flamingosail.backend import Announcement
from flamingosail.httpclient import HttpClientProtocol
from flamingosail.sockets import detect_dead_peer

__all__ = ["BackendPool", "PooledConnection"]

CONNECT_TIMEOUT_SECONDS = 1.0


class PooledConnection(HttpClientProtocol):
    """A connection that notifies its pool when it opens and closes."""

    def __init__(self, *, pool: "BackendPool", opened: Deferred):
        super().__init__()
        self.pool = pool
        self.opened = opened

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Set socket options and fire ``opened`` with the connection."""
        super().connectionMade()
        detect_dead_peer(self.transport)
        self.opened.callback(self)

    def connectionLost(self, reason=None):  # noqa: N802 - named by twisted
        """Leave the pool before failing the request in progress."""
        self.pool.remove(self)
        super().connectionLost(reason)


class PooledConnectionFactory(ClientFactory):
    """Opens one connection; ``opened`` fires with it or with the error."""

    noisy = False

    def __init__(self, pool: "BackendPool"):
        self.pool = pool
        self.opened = Deferred()

    def buildProtocol(self, addr):  # noqa: N802 - named by twisted
        """Return the protocol of the connection."""
        return PooledConnection(pool=self.pool, opened=self.opened)

    def clientConnectionFailed(  # noqa: N802 - named by twisted
        self, connector, reason
    ):
        """Fail ``opened`` with the error of the connection attempt."""
        self.opened.errback(reason)


class BackendPool:
    """Connection pool of one announced backend server.

    At most ``connections`` of the announcement are open or being opened.
    """

    def __init__(self, *, reactor: IReactorTCP, announcement: Announcement):
        self.reactor = reactor
        self.announcement = announcement
        host = announcement.host
        host = f"[{host}]" if ":" in host else host
        self.host = f"{host}:{announcement.port}".encode("ascii")
        self.idle: deque[PooledConnection] = deque()
        self.open: set[PooledConnection] = set()
        self.connecting = 0
        self.closed = False

    @property
    def full(self) -> bool:
        """Whether the connection limit is reached."""
        limit = self.announcement.connections
        return len(self.open) + self.connecting >= limit

    def pop_idle(self) -> PooledConnection | None:
        """Return the most recently used intact connection, or None."""
        while self.idle:
            connection = self.idle.pop()
            if connection.intact():
                return connection
            self.discard(connection)
        return None

    def connect(self, timeout: float) -> tuple[IConnector, Deferred]:
        """Open a pooled connection; the Deferred fires with it.

        ``timeout`` is in seconds. The connector can stop the attempt.
        """
        self.connecting += 1
        factory = PooledConnectionFactory(self)
        factory.opened.addCallbacks(self.on_connected, self.on_connect_failed)
        return self.dial(factory, timeout), factory.opened

    def connect_unpooled(self, timeout: float) -> Deferred:
        """Open a connection outside the pool and its limit."""
        factory = PooledConnectionFactory(self)
        self.dial(factory, timeout)
        return factory.opened

    def dial(self, factory: ClientFactory, timeout: float) -> IConnector:
        """Start a connection attempt."""
        return self.reactor.connectTCP(
            self.announcement.host,
            self.announcement.port,
            factory,
            timeout=min(timeout, CONNECT_TIMEOUT_SECONDS),
        )

    def on_connected(self, connection: PooledConnection) -> PooledConnection:
        """Count a new connection."""
        self.connecting -= 1
        self.open.add(connection)
        return connection

    def on_connect_failed(self, failure):
        """Count the end of a failed attempt."""
        self.connecting -= 1
        return failure

    def release(self, connection: PooledConnection):
        """Return a connection to the pool, or close it if not reusable."""
        if connection.idle and not self.closed:
            self.idle.append(connection)
        else:
            self.discard(connection)

    def discard(self, connection: PooledConnection):
        """Remove a connection from the pool and close it."""
        self.remove(connection)
        if connection.open:
            connection.abort()

    def remove(self, connection: PooledConnection):
        """Remove a connection from the pool."""
        self.open.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self):
        """Close idle connections now and the others after their request."""
        self.closed = True
        while self.idle:
            self.discard(self.idle.pop())

    def abort(self):
        """Close all connections now."""
        self.close()
        for connection in list(self.open):
            self.discard(connection)
