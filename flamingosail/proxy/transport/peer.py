"""Client side of the connection to the node of another VM."""

from itertools import count

from logbook import Logger
from msgspec.structs import replace
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory

from flamingosail.proxy.policy.overload import LoadReport
from flamingosail.proxy.policy.overload import USAGE_SCALE
from flamingosail.proxy.shared.servers import drain_deadline
from flamingosail.proxy.shared.servers import RemoteServer
from flamingosail.proxy.transport.callrecovery import RecoveringCalls
from flamingosail.proxy.transport.hop import Cancel
from flamingosail.proxy.transport.hop import Hello
from flamingosail.proxy.transport.hop import ServerTerms
from flamingosail.proxy.transport.hop import Status
from flamingosail.proxy.transport.hopconnection import OutboundConnection
from flamingosail.settings import Address

__all__ = ["FAR_PING_SECONDS", "Peer"]

# Traffic between failure domains is expensive, and servers of the same failure
# domain (near ones) are used first.
FAR_PING_SECONDS = 1.0
# A far peer without calls for this long is pinged less often.
IDLE_AFTER_SECONDS = 2.0
# A peer gets no new calls while a ping is unanswered for this fraction of the
# ping interval.
SUSPECT_INTERVAL_FRACTION = 0.8
DIAL_TIMEOUT_SECONDS = 1.0
REDIAL_SECONDS = 0.5
# Limit of the redial delay, which grows with the number of failed attempts.
MAX_REDIAL_SECONDS = 4.0

log = Logger("proxy.peers")


class OutboundFactory(ClientFactory):
    """Dials a peer."""

    noisy = False

    def __init__(self, *, peer: "Peer"):
        self.peer = peer

    def buildProtocol(self, addr):  # noqa: N802 - named by twisted
        """Return the protocol of the new connection."""
        return OutboundConnection(peer=self.peer)

    def clientConnectionFailed(  # noqa: N802 - named by twisted
        self, connector, reason
    ):
        """Schedule the next attempt to connect."""
        self.peer.dial_failed(
            refused=reason is not None
            and reason.check(ConnectionRefusedError) is not None
        )


class Peer(RemoteServer):
    """A node of another VM and the backend server beside it.

    ``table`` is the PeerTable of this node. A peer is ``near`` if it is in
    the same failure domain. ``terms`` are the last ones that it announced for
    its server, at ``terms_at``. ``recovering`` holds the calls of connections
    that are silent or closed, ``candidate`` is the connection that is to
    replace a silent one. Times are the reactor's.
    """

    def __init__(self, *, table, address: Address):
        super().__init__()
        self.table = table
        self.address = address
        self.connection: OutboundConnection | None = None
        self.recovering = RecoveringCalls()
        self.candidate: OutboundConnection | None = None
        self.streams = count(1)
        self.dialling = False
        self.failed_dials = 0
        self.next_dial_at = 0.0
        self.node = ""
        self.near = False
        self.reaches_store = True
        self.last_call_at = 0.0
        self.load_updated_at = 0.0
        self.terms: ServerTerms | None = None
        self.terms_at = 0.0

    def update_load(self, running: int, waiting: int, capacity: int):
        """Store the load that the gate reported."""
        super().update_load(running, waiting, capacity)
        self.load_updated_at = self.table.clock.seconds()

    def estimate_load(self, report: LoadReport):
        """Estimate the load as this server's part of its service's load."""
        if report.capacity:
            fraction = self.capacity / report.capacity
            used = sum(report.usage.values()) / USAGE_SCALE
            super().update_load(
                round(used * fraction),
                round(report.waiting * fraction),
                self.capacity,
            )

    def dial(self, now: float):
        """Open a connection unless a good one is open or being opened."""
        connection = self.connection
        if connection is not None and not connection.suspected:
            return
        if self.dialling or now < self.next_dial_at:
            return
        candidate = self.candidate
        if candidate is not None and candidate.open:
            # It was accepted, but its node has not read from it in time.
            candidate.abort()
        self.dialling = True
        self.table.reactor.connectTCP(
            self.address.host,
            self.address.port,
            OutboundFactory(peer=self),
            timeout=DIAL_TIMEOUT_SECONDS,
        )

    def dial_failed(self, *, refused: bool):
        """Delay the next attempt; longer after many failures.

        Where connections are refused, the process has ended, and with it what
        it knew of the calls of former connections.
        """
        self.dialling = False
        if refused:
            self.recovering.give_up_all()
        self.failed_dials += 1
        delay = min(
            MAX_REDIAL_SECONDS, REDIAL_SECONDS * max(1, self.failed_dials // 8)
        )
        self.next_dial_at = self.table.clock.seconds() + delay

    def dialled(self, connection: OutboundConnection):
        """Use a new connection unless it has to prove that it works."""
        self.dialling = False
        if self.connection is None:
            self.connected(connection)
        else:
            self.candidate = connection
            self.next_dial_at = self.table.clock.seconds() + REDIAL_SECONDS

    def connected(self, connection: OutboundConnection):
        """Use a new connection for calls."""
        former = self.connection
        if former is connection:
            return
        self.failed_dials = 0
        self.failure_rate = 0.0
        self.connection = connection
        self.candidate = None
        if former is not None and not former.pending:
            former.abort()
        log.info("peer reached", extra={"peer": str(self.address)})

    def suspect(self, connection: OutboundConnection, now: float):
        """Dial again, because a connection is silent while it has calls."""
        log.warning(
            "connection silent",
            extra={
                "peer": str(self.address),
                "calls": len(connection.pending),
            },
        )
        connection.suspected = True
        self.recovering.add(connection, now)
        self.next_dial_at = 0.0
        self.dial(now)

    def disconnected(self, connection: OutboundConnection):
        """Dial again if calls were pending; otherwise the next tick does."""
        now = self.table.clock.seconds()
        if self.candidate is connection:
            self.candidate = None
        if connection.pending:
            self.recovering.add(connection, now)
            self.table.check_soon()
        else:
            self.recovering.connections.pop(connection.token, None)
        if self.connection is connection:
            self.connection = None
            self.state = "absent"
            if self.candidate is None:
                self.next_dial_at = 0.0
            self.table.servers_changed()
            log.info("peer lost", extra={"peer": str(self.address)})
        if connection.pending:
            self.dial(now)

    def remembered_terms(self) -> ServerTerms | None:
        """Return the terms of the peer's server as of now.

        A node that restarts has forgotten them.
        """
        terms = self.terms
        if terms is None or terms.drain_remaining_seconds is None:
            return terms
        elapsed = self.table.clock.seconds() - self.terms_at
        return replace(
            terms,
            drain_remaining_seconds=terms.drain_remaining_seconds - elapsed,
        )

    def handle_hello(self, hello: Hello):
        """Store the name and the failure domain of the node."""
        self.node = hello.node
        self.failure_domain = hello.failure_domain
        self.near = hello.failure_domain == self.table.local.failure_domain
        self.table.update_ping_intervals()

    def handle_status(self, status: Status):
        """Store the state of the server."""
        self.state = "leaving" if status.leaving else status.state
        self.service = status.service
        self.instance = status.instance
        now = self.table.clock.seconds()
        self.cold_until = now + status.cold_seconds
        if status.terms is not None:
            self.terms, self.terms_at = status.terms, now
            self.drain_deadline = drain_deadline(
                now, status.terms.drain_remaining_seconds
            )
        self.update_load(status.running, status.waiting, status.capacity)
        log.info(
            "peer state",
            extra={
                "peer": str(self.address),
                "peer_node": self.node,
                "service": self.service,
                "instance": self.instance,
                "state": self.state,
            },
        )
        self.table.servers_changed()

    @property
    def busy_ping_seconds(self) -> float:
        """Seconds between pings while calls are sent to the peer."""
        return self.table.near_ping_seconds if self.near else FAR_PING_SECONDS

    def ping_seconds(self, now: float) -> float:
        """Return the current seconds between pings."""
        if self.near or now - self.last_call_at < IDLE_AFTER_SECONDS:
            return self.busy_ping_seconds
        return self.table.idle_ping_seconds

    @property
    def usable(self) -> bool:
        """Whether calls may be sent now."""
        connection = self.connection
        return (
            connection is not None
            and connection.open
            and not connection.suspected
            and (
                connection.unanswered_since is None
                or connection.unanswered_for(self.table.clock.seconds())
                < SUSPECT_INTERVAL_FRACTION * self.busy_ping_seconds
            )
        )

    def call(self, attempt, message_fields: dict):
        """Send a call; ``attempt.ended`` is called once with its result."""
        connection = self.connection
        stream = next(self.streams)
        attempt.stream = stream
        attempt.connection = connection
        connection.pending[stream] = attempt
        connection.call(stream, message_fields)

    def cancel(self, attempt):
        """Cancel a call at the peer if it is pending."""
        connection = attempt.connection
        if (
            connection.pending.pop(attempt.stream, None) is not None
            and connection.open
        ):
            connection.send(Cancel(attempt.stream))

    def tick(self, now: float):
        """Dial or ping; abort the connection after a ping timeout."""
        connection = self.connection
        if connection is None or connection.suspected:
            self.dial(now)
        if connection is not None and not connection.tick(now):
            log.warning("peer silent", extra={"peer": str(self.address)})
            connection.transport.abortConnection()
