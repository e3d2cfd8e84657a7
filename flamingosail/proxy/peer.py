"""A node of another VM, as this node sees it."""

from itertools import count

from logbook import Logger
from twisted.internet.protocol import ClientFactory

from flamingosail.proxy.hop import Cancel
from flamingosail.proxy.hop import Hello
from flamingosail.proxy.hop import Status
from flamingosail.proxy.hopconnection import CallingConnection
from flamingosail.proxy.overload import LoadReport
from flamingosail.proxy.overload import USAGE_SCALE
from flamingosail.proxy.servers import RemoteServer
from flamingosail.settings import Address

__all__ = ["FAR_PING_SECONDS", "Peer"]

# Bytes between failure domains are dear, and near servers are used first.
FAR_PING_SECONDS = 1.0
# A far peer without calls for this long is pinged less often.
IDLE_AFTER_SECONDS = 2.0
# A connection whose ping has no answer for this share of the interval gets
# no new calls.
SUSPECT_SHARE = 0.8
DIAL_TIMEOUT_SECONDS = 1.0
REDIAL_SECONDS = 0.5
# A node that has been unreachable for long is dialled less often.
MAX_REDIAL_SECONDS = 4.0

log = Logger("proxy.peers")


class CallingFactory(ClientFactory):
    """Dials a peer."""

    noisy = False

    def __init__(self, *, peer: "Peer"):
        self.peer = peer

    def buildProtocol(self, addr):  # noqa: N802 - named by twisted
        """Return the protocol of a dialled connection."""
        return CallingConnection(peer=self.peer)

    def clientConnectionFailed(  # noqa: N802 - named by twisted
        self, connector, reason
    ):
        """Report a failed attempt."""
        self.peer.dial_failed()


class Peer(RemoteServer):
    """A node of another VM and the server beside it.

    ``table`` is the PeerTable of this node.
    """

    def __init__(self, *, table, address: Address):
        super().__init__()
        self.table = table
        self.address = address
        self.connection: CallingConnection | None = None
        self.streams = count(1)
        self.dialling = False
        self.failed_dials = 0
        self.next_dial = 0.0
        self.node = ""
        self.near = False
        self.used_at = 0.0
        self.reported_at = 0.0

    def take_report(self, running: int, waiting: int, room: int):
        """Note the load that the gate reported."""
        super().take_report(running, waiting, room)
        self.reported_at = self.table.clock.seconds()

    def take_share(self, report: LoadReport):
        """Note our part of the load of all servers of the service."""
        if report.capacity:
            part = self.room / report.capacity
            used = sum(report.usage.values()) / USAGE_SCALE
            super().take_report(
                round(used * part), round(report.waiting * part), self.room
            )

    def dial(self, now: float):
        """Open a connection unless one is open or being opened."""
        if self.connection or self.dialling or now < self.next_dial:
            return
        self.dialling = True
        self.table.reactor.connectTCP(
            self.address.host,
            self.address.port,
            CallingFactory(peer=self),
            timeout=DIAL_TIMEOUT_SECONDS,
        )

    def dial_failed(self):
        """Wait before the next attempt."""
        self.dialling = False
        self.failed_dials += 1
        wait = min(
            MAX_REDIAL_SECONDS, REDIAL_SECONDS * max(1, self.failed_dials // 8)
        )
        self.next_dial = self.table.clock.seconds() + wait

    def connected(self, connection: CallingConnection):
        """Use a new connection."""
        self.dialling = False
        self.failed_dials = 0
        self.failures = 0.0
        self.connection = connection
        log.info("peer reached", extra={"peer": str(self.address)})

    def disconnected(self, connection: CallingConnection):
        """Note that the connection ended; another is dialled soon."""
        if self.connection is connection:
            self.connection = None
            self.state = "absent"
            self.next_dial = 0.0
            self.table.changed(self)
            log.info("peer lost", extra={"peer": str(self.address)})

    def take_hello(self, hello: Hello):
        """Note who answers at the address."""
        self.node = hello.node
        self.failure_domain = hello.failure_domain
        self.near = hello.failure_domain == self.table.local.failure_domain
        self.table.set_intervals()

    def take_status(self, status: Status):
        """Note the state of the server."""
        self.state = "leaving" if status.leaving else status.state
        self.service = status.service
        self.instance = status.instance
        self.cold_until = self.table.clock.seconds() + status.cold_seconds
        self.take_report(status.running, status.waiting, status.room)
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
        self.table.changed(self)

    @property
    def busy_ping_seconds(self) -> float:
        """Seconds between pings while calls are sent."""
        return self.table.near_ping_seconds if self.near else FAR_PING_SECONDS

    def ping_seconds(self, now: float) -> float:
        """Seconds between pings."""
        if self.near or now - self.used_at < IDLE_AFTER_SECONDS:
            return self.busy_ping_seconds
        return self.table.idle_ping_seconds

    @property
    def usable(self) -> bool:
        """Whether calls may be sent now."""
        connection = self.connection
        return (
            connection is not None
            and connection.open
            and (
                connection.unanswered_since is None
                or connection.unanswered_for(self.table.clock.seconds())
                < SUSPECT_SHARE * self.busy_ping_seconds
            )
        )

    def call(self, attempt, message_fields: dict):
        """Send a call; ``attempt.ended`` is called once."""
        connection = self.connection
        stream = next(self.streams)
        attempt.stream = stream
        attempt.connection = connection
        connection.calls[stream] = attempt
        connection.call(stream, message_fields)

    def cancel(self, attempt):
        """Tell the peer that nobody waits for a call."""
        connection = attempt.connection
        if connection.calls.pop(attempt.stream, None) is not None:
            connection.send(Cancel(attempt.stream))

    def tick(self, now: float):
        """Dial, ping, or close a silent connection."""
        connection = self.connection
        if connection is None:
            self.dial(now)
        elif not connection.tick(now):
            log.warning("peer silent", extra={"peer": str(self.address)})
            connection.transport.abortConnection()
