"""The nodes of other VMs.

Each node dials every other node and sends its calls on the connection that
it dialled; on connections that it accepted it only serves.
"""

from collections.abc import Callable

from logbook import Logger
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import Factory
from twisted.internet.task import LoopingCall

from flamingosail.proxy.balance import ServerGroup
from flamingosail.proxy.gate import Gate
from flamingosail.proxy.hop import ConfigCopy
from flamingosail.proxy.hop import ConfigPull
from flamingosail.proxy.hop import DomainLoad
from flamingosail.proxy.hop import Hello
from flamingosail.proxy.hopconnection import HopProtocol
from flamingosail.proxy.hopconnection import ServingConnection
from flamingosail.proxy.loadreports import aggregate_by_service
from flamingosail.proxy.loadreports import AGGREGATE_INTERVAL_SECONDS
from flamingosail.proxy.loadreports import LoadReports
from flamingosail.proxy.overload import LoadReport
from flamingosail.proxy.peer import FAR_PING_SECONDS
from flamingosail.proxy.peer import Peer
from flamingosail.proxy.servers import LocalServer
from flamingosail.proxy.servers import RemoteServer
from flamingosail.settings import Address

__all__ = ["PeerTable", "TICK_SECONDS"]

TICK_SECONDS = 0.5
NEAR_PING_SECONDS = 0.5
# The intervals hold for so many near and so many far peers. With more, near
# ones are pinged up to FAR_PING_SECONDS apart, and far ones up to
# IDLE_PING_SECONDS apart unless they were called lately.
FEW_PEERS = 16
IDLE_PING_SECONDS = 4.0
# The load of a far server that is pinged each second is never older.
FRESH_SECONDS = 1.2

log = Logger("proxy.peers")


class PeerTable(Factory):
    """All nodes that are known, and the listener for their calls.

    ``hello``, ``status`` and ``load_report`` make this node's messages;
    ``on_reports`` takes the load reports of all nodes, ``on_config`` a
    configuration that a peer sent; ``config_document`` returns the one in
    force.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor: IReactorTCP,
        gate: Gate,
        local: LocalServer,
        own_address: Address,
        hello: Callable,
        status: Callable,
        load_report: Callable,
        on_reports: Callable,
        config_version: Callable,
        config_document: Callable,
        on_config: Callable,
    ):
        self.reactor = reactor
        self.clock = reactor
        self.gate = gate
        self.local = local
        self.own_address = own_address
        self.hello = hello
        self.status = status
        self.load_report = load_report
        self.on_reports = on_reports
        self.config_version = config_version
        self.config_document = config_document
        self.on_config = on_config
        self.peers: dict[Address, Peer] = {}
        self.serving: set[ServingConnection] = set()
        self.by_service: dict[str, ServerGroup] = {}
        self.pulled = (0, 0.0)
        self.own_report = LoadReport()
        self.reports = LoadReports(clock=reactor)
        self.near_ping_seconds = NEAR_PING_SECONDS
        self.idle_ping_seconds = FAR_PING_SECONDS
        self.spoke_at = 0.0
        self.loop = LoopingCall(self.tick)
        self.loop.clock = reactor

    def buildProtocol(self, addr):  # noqa: N802 - named by twisted
        """Return the protocol of an accepted connection."""
        return ServingConnection(table=self)

    def start(self):
        """Dial and ping from now on."""
        self.loop.start(TICK_SECONDS, now=True).addErrback(self.tick_failed)

    def tick_failed(self, failure):
        """Go on: a node that pings no more would lose all its peers."""
        log.error("tick failed", extra={"cause": failure.getTraceback()})
        self.clock.callLater(TICK_SECONDS, self.start)

    def stop(self):
        """Stop pinging."""
        if self.loop.running:
            self.loop.stop()

    def tick(self):
        """Look at each peer."""
        now = self.clock.seconds()
        self.own_report = self.load_report()
        for peer in list(self.peers.values()):
            peer.tick(now)
        self.on_reports(self.reports.all_reports(self.own_report))
        if (
            now - self.spoke_at >= AGGREGATE_INTERVAL_SECONDS * 0.9
            and self.is_speaker()
        ):
            self.spoke_at = now
            self.send_sum()

    def is_speaker(self) -> bool:
        """Whether this node reports for its failure domain.

        The reachable node with the lowest address does.
        """
        own = (self.own_address.host, self.own_address.port)
        return all(
            own < (peer.address.host, peer.address.port)
            for peer in self.peers.values()
            if peer.near and peer.usable
        )

    def send_sum(self):
        """Send the load of our failure domain to all others."""
        reports = [self.own_report, *self.reports.domain_reports()]
        message = DomainLoad(len(reports), aggregate_by_service(reports))
        for peer in self.peers.values():
            if not peer.near and peer.connection is not None:
                peer.connection.send(message)

    def take_sum(self, failure_domain: str, sender: str, message: DomainLoad):
        """Take in the load of another failure domain.

        Of far servers that did not report lately it is the latest news; with
        older ones, a domain that is full would get what ours cannot take.
        """
        self.reports.add_aggregate(
            failure_domain, sender, message.nodes, message.reports
        )
        oldest = self.clock.seconds() - FRESH_SECONDS
        for report in message.reports:
            for server in self.by_service.get(report.service, ()):
                if (
                    server.failure_domain == failure_domain
                    and server.reported_at < oldest
                ):
                    server.take_share(report)

    def set_intervals(self):
        """Adapt the intervals of pings to the number of peers."""
        near = sum(peer.near for peer in self.peers.values())
        far = len(self.peers) - near
        self.near_ping_seconds = min(
            FAR_PING_SECONDS, NEAR_PING_SECONDS * max(1.0, near / FEW_PEERS)
        )
        self.idle_ping_seconds = min(
            IDLE_PING_SECONDS, FAR_PING_SECONDS * max(1.0, far / FEW_PEERS)
        )

    def add(self, address: Address):
        """Learn of a node; a known one that returned is dialled at once."""
        if address == self.own_address:
            return
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = Peer(table=self, address=address)
            log.info("peer added", extra={"peer": str(address)})
        if peer.connection is None:
            peer.failed_dials = 0
            peer.next_dial = 0.0
            peer.dial(self.clock.seconds())

    def remove(self, address: Address):
        """Forget a node that is gone for good."""
        peer = self.peers.get(address)
        if peer is not None and peer.connection is None:
            del self.peers[address]
            self.set_intervals()
            self.changed(peer)

    def introduced(self, hello: Hello):
        """Dial back a node that dialled us."""
        self.add(Address.parse(hello.address))

    def changed(self, changed: RemoteServer | None = None):
        """Group the servers by service again."""
        grouped: dict[str, list[RemoteServer]] = {}
        for server in (self.local, *self.peers.values()):
            if server.state in ("ready", "draining", "leaving"):
                grouped.setdefault(server.service, []).append(server)
        self.by_service = {
            service: ServerGroup(servers, self.local.failure_domain)
            for service, servers in grouped.items()
        }

    def local_changed(self):
        """Tell all peers the state of our server."""
        self.local.refresh()
        self.changed()
        status = self.status()
        for connection in list(self.serving):
            connection.send(status)

    def heard_version(self, version: int, connection: HopProtocol):
        """Ask for a configuration that is newer than ours."""
        own = self.config_version()
        if version <= own:
            return
        now = self.clock.seconds()
        asked, when = self.pulled
        if version > asked or now - when > TICK_SECONDS:
            self.pulled = (version, now)
            connection.send(ConfigPull(own))

    def send_config(self, connection: HopProtocol, version: int):
        """Answer a ConfigPull."""
        if self.config_version() > version:
            connection.send(ConfigCopy(self.config_document()))
