"""Full mesh of connections to the nodes of other VMs.

Each node dials every other node and sends its calls on the connections that
it dialled; on accepted connections it only receives calls.
"""

from collections.abc import Callable
from collections.abc import Iterator
from heapq import nsmallest
from math import inf
from random import Random

from logbook import Logger
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import Factory
from twisted.internet.task import LoopingCall

from flamingosail.proxy.gate import Gate
from flamingosail.proxy.policy.balance import ServerGroup
from flamingosail.proxy.policy.overload import LoadReport
from flamingosail.proxy.policy.readers import is_reader
from flamingosail.proxy.policy.readers import ReaderCandidate
from flamingosail.proxy.policy.readers import READERS_PER_DOMAIN
from flamingosail.proxy.shared.configspread import ConfigSource
from flamingosail.proxy.shared.configspread import ConfigSpread
from flamingosail.proxy.shared.freshness import Freshness
from flamingosail.proxy.shared.heldbytes import HeldBytes
from flamingosail.proxy.shared.loadreports import aggregate_by_service
from flamingosail.proxy.shared.loadreports import AGGREGATE_INTERVAL_SECONDS
from flamingosail.proxy.shared.loadreports import LoadReports
from flamingosail.proxy.shared.memberspread import MemberSpread
from flamingosail.proxy.shared.quotas import QuotaExchange
from flamingosail.proxy.shared.servers import LocalServer
from flamingosail.proxy.shared.storeera import StoreEra
from flamingosail.proxy.transport.callrecovery import CHECK_SECONDS
from flamingosail.proxy.transport.callrecovery import LATE_CHECK_SECONDS
from flamingosail.proxy.transport.hop import ConfigCopy
from flamingosail.proxy.transport.hop import DomainLoad
from flamingosail.proxy.transport.hop import Evidence
from flamingosail.proxy.transport.hop import Hello
from flamingosail.proxy.transport.hopconnection import HopProtocol
from flamingosail.proxy.transport.hopconnection import InboundConnection
from flamingosail.proxy.transport.peer import FAR_PING_SECONDS
from flamingosail.proxy.transport.peer import Peer
from flamingosail.settings import Address

__all__ = ["PeerTable", "TICK_SECONDS"]

TICK_SECONDS = 0.5
NEAR_PING_SECONDS = 0.5
# The basic intervals apply to this many near and this many far peers. With
# more, the interval grows to at most FAR_PING_SECONDS for near peers, and to
# at most IDLE_PING_SECONDS for far peers without recent calls.
PEERS_AT_BASIC_INTERVAL = 16
IDLE_PING_SECONDS = 4.0
# Far readers that are asked at a time for a proof of the configuration: the
# proof of one may be as old as its two last polls.
FAR_PROOFS = 2
# Upper bound of the age of a far server's load if it is pinged each second.
MAX_PINGED_LOAD_AGE_SECONDS = 1.2

log = Logger("proxy.peers")


class PeerTable(Factory):
    """All known nodes, and the listener for their calls.

    ``hello``, ``status`` and ``load_report`` return the messages of this
    node, ``config_version`` and ``config_document`` its configuration.
    ``on_reports`` is called with the load reports of all nodes, ``on_config``
    with a configuration document that a peer sent and its ConfigSource.
    ``held`` counts what is held for other nodes, ``hops`` are the open
    connections to them, ``inbound`` the accepted ones, ``inbound_by_token``
    also those that closed lately, ``by_service`` the servers that are not
    absent, ``spread`` the exchange of configurations, ``member_spread`` that
    of the known nodes. ``quotas`` exchanges tokens of tenants.
    ``reaches_store`` is false if this node's last call to the metadata store
    failed, ``store_era`` is the era of that store, ``freshness`` the lease on
    the configuration. Near peers are in the failure domain of this node, far
    peers in others.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor: IReactorTCP,
        random: Random,
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
        quotas: QuotaExchange,
        freshness: Freshness | None = None,
        held: HeldBytes | None = None,
    ):
        self.held = held or HeldBytes()
        self.hops: set[HopProtocol] = set()
        self.reactor = reactor
        self.clock = reactor
        self.random = random
        self.gate = gate
        self.quarantine = gate.quarantine
        self.local = local
        self.own_address = own_address
        self.hello = hello
        self.status = status
        self.load_report = load_report
        self.on_reports = on_reports
        self.config_version = config_version
        self.config_document = config_document
        self.on_config = on_config
        self.quotas = quotas
        self.peers: dict[Address, Peer] = {}
        self.inbound: set[InboundConnection] = set()
        self.inbound_by_token: dict[int, InboundConnection] = {}
        self.groups: dict[str, ServerGroup] | None = None
        self.spread = ConfigSpread(
            clock=reactor,
            random=random,
            config_version=config_version,
            peers=lambda: self.peers.values(),
            connections=self.connections,
        )
        self.member_spread = MemberSpread(
            random=random,
            own=(own_address, local.failure_domain),
            peers=lambda: self.peers.values(),
            add=self.add_member,
        )
        self.freshness = freshness or Freshness(
            seconds=reactor.seconds, config_version=config_version
        )
        self.reaches_store = True
        self.store_era = StoreEra()
        self.was_store_reader = False
        self.own_report = LoadReport()
        self.reports = LoadReports(clock=reactor)
        self.near_ping_seconds = NEAR_PING_SECONDS
        self.idle_ping_seconds = FAR_PING_SECONDS
        self.last_aggregate_at = 0.0
        self.loop = LoopingCall(self.tick)
        self.loop.clock = reactor
        self.check_timer = None
        self.check_due = 0.0

    def buildProtocol(self, addr):  # noqa: N802 - named by twisted
        """Return the protocol of an accepted connection."""
        return InboundConnection(table=self)

    def start(self):
        """Start to dial and ping the peers."""
        self.loop.start(TICK_SECONDS, now=True).addErrback(self.tick_failed)

    def tick_failed(self, failure):
        """Restart the loop: a node that stops pinging loses all its peers."""
        log.error("tick failed", extra={"cause": failure.getTraceback()})
        self.clock.callLater(TICK_SECONDS, self.start)

    def stop(self):
        """Stop the timers, which ping, redial, pull and send aggregates."""
        self.spread.stop()
        if self.loop.running:
            self.loop.stop()
        if self.check_timer is not None:
            self.check_timer.cancel()
            self.check_timer = None

    def check_soon(self):
        """Check the connections after an interval; calls are pending."""
        if self.check_timer is None:
            self.check_due = self.clock.seconds() + CHECK_SECONDS
            self.check_timer = self.clock.callLater(
                CHECK_SECONDS, self.check_connections
            )

    def check_connections(self):
        """Look for silent connections, and end calls that stay in doubt."""
        self.check_timer = None
        now = self.clock.seconds()
        late = now - self.check_due > LATE_CHECK_SECONDS
        pending = False
        for peer in list(self.peers.values()):
            connection = peer.connection
            if connection is not None and connection.pending:
                pending = True
                if late:
                    connection.silence.restart(now)
                else:
                    connection.check_silence(now)
            if peer.recovering.connections:
                pending = True
                peer.recovering.expire(now)
        if pending:
            self.check_soon()

    def tick(self):
        """Ping or dial each peer and exchange load reports."""
        now = self.clock.seconds()
        self.quarantine.expire()
        self.renew_lease()
        self.own_report = self.load_report()
        self.local.refresh()
        self.member_spread.pull()
        self.quotas.tick()
        for peer in list(self.peers.values()):
            peer.tick(now)
        self.on_reports(self.reports.all_reports(self.own_report))
        if (
            now - self.last_aggregate_at >= AGGREGATE_INTERVAL_SECONDS * 0.9
            and self.is_aggregator()
        ):
            self.last_aggregate_at = now
            self.send_aggregate()

    def renew_lease(self):
        """Ping some readers if this node's proof is getting old.

        The regular pings go to all peers in the same tick, and to far peers
        some seconds apart.
        """
        self.freshness.log_changes()
        if not self.freshness.needs_renewal():
            return
        now = self.clock.seconds()
        for near, count in ((True, 1), (False, FAR_PROOFS)):
            readers = self.likely_readers(near=near)
            for peer in self.random.sample(readers, min(count, len(readers))):
                peer.connection.ping(now)

    def likely_readers(self, *, near: bool) -> list[Peer]:
        """Return the peers that seem to read the store, near or far ones."""
        by_domain: dict[str, list[Peer]] = {}
        for peer in self.peers.values():
            if peer.near is near and peer.usable:
                by_domain.setdefault(peer.failure_domain, []).append(peer)
        return [
            peer
            for peers in by_domain.values()
            for peer in nsmallest(
                READERS_PER_DOMAIN,
                peers,
                key=lambda peer: (
                    not peer.reaches_store,
                    peer.address.host,
                    peer.address.port,
                ),
            )
        ]

    def drop_largest_input(self):
        """Abort the connection with the longest incomplete message."""
        largest = max(self.hops, key=lambda hop: hop.input_bytes)
        log.warning(
            "peer message dropped",
            extra={"peer": largest.peer_address, "bytes": largest.input_bytes},
        )
        largest.release()
        largest.transport.abortConnection()

    def is_aggregator(self) -> bool:
        """Return whether this node sends the aggregate of its failure domain.

        The aggregator is the reachable node with the lowest address.
        """
        own = (self.own_address.host, self.own_address.port)
        return all(
            own < (peer.address.host, peer.address.port)
            for peer in self.peers.values()
            if peer.near and peer.usable
        )

    def send_aggregate(self):
        """Send the load of this failure domain to all other domains."""
        reports = [self.own_report, *self.reports.domain_reports()]
        message = DomainLoad(len(reports), aggregate_by_service(reports))
        for peer in self.peers.values():
            if not peer.near and peer.connection is not None:
                peer.connection.send(message)

    def handle_aggregate(
        self, failure_domain: str, sender: str, message: DomainLoad
    ):
        """Store the load of another failure domain.

        Servers whose known load is old get an estimate from it; otherwise a
        full domain would look idle and get the calls that this domain has no
        capacity for.
        """
        self.reports.add_aggregate(
            failure_domain, sender, message.nodes, message.reports
        )
        cutoff = self.clock.seconds() - MAX_PINGED_LOAD_AGE_SECONDS
        for report in message.reports:
            for server in self.by_service.get(report.service, ()):
                if (
                    server.failure_domain == failure_domain
                    and server.load_updated_at < cutoff
                ):
                    server.estimate_load(report)

    def update_ping_intervals(self):
        """Adapt the ping intervals to the number of peers."""
        near = sum(peer.near for peer in self.peers.values())
        far = len(self.peers) - near
        self.near_ping_seconds = min(
            FAR_PING_SECONDS,
            NEAR_PING_SECONDS * max(1.0, near / PEERS_AT_BASIC_INTERVAL),
        )
        self.idle_ping_seconds = min(
            IDLE_PING_SECONDS,
            FAR_PING_SECONDS * max(1.0, far / PEERS_AT_BASIC_INTERVAL),
        )

    def add(self, address: Address):
        """Add a node; one that is not connected is dialled at once."""
        if address == self.own_address:
            return
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = Peer(table=self, address=address)
            log.info("peer added", extra={"peer": str(address)})
        if peer.connection is None:
            peer.failed_dials = 0
            peer.next_dial_at = 0.0
            peer.dial(self.clock.seconds())

    def add_member(self, address: Address, failure_domain: str):
        """Add a node that another one knows, with its failure domain."""
        if address == self.own_address or address in self.peers:
            return
        self.add(address)
        peer = self.peers[address]
        peer.failure_domain = failure_domain
        peer.near = failure_domain == self.local.failure_domain
        self.update_ping_intervals()

    def remove(self, address: Address):
        """Remove a node whose record was deleted, unless it is connected."""
        peer = self.peers.get(address)
        if peer is not None and peer.connection is None:
            peer.recovering.give_up_all()
            del self.peers[address]
            self.update_ping_intervals()
            self.servers_changed()

    def handle_hello(self, hello: Hello):
        """Dial back a node that has connected."""
        self.add(Address.parse(hello.address))

    def servers_changed(self):
        """Group the servers again before the next call.

        Many states may change between two calls, for example when all nodes
        start at the same time.
        """
        self.groups = None

    @property
    def by_service(self) -> dict[str, ServerGroup]:
        """The servers that are not absent, by service."""
        if self.groups is None:
            self.groups = self.group_servers()
        return self.groups

    def group_servers(self) -> dict[str, ServerGroup]:
        """Return the servers that are not absent, grouped by service."""
        grouped: dict[str, list] = {}
        for server in (self.local, *self.peers.values()):
            if server.state in ("ready", "draining", "leaving"):
                grouped.setdefault(server.service, []).append(server)
        return {
            service: ServerGroup(servers, self.local.failure_domain)
            for service, servers in grouped.items()
        }

    def broadcast_status(self):
        """Send the state of the local server to all peers."""
        self.local.refresh()
        self.servers_changed()
        status = self.status()
        for connection in list(self.inbound):
            connection.send(status)

    def announce_evidence(self, news: Evidence):
        """Tell all peers what this node has found out about requests."""
        for peer in self.peers.values():
            if peer.connection is not None:
                peer.connection.announce_evidence(news)

    def node_count(self) -> float:
        """Return the number of nodes; infinite until the members are known.

        What is divided among all nodes may not be divided by those that were
        heard of so far.
        """
        return 1 + len(self.peers) if self.member_spread.complete else inf

    def set_reaches_store(self, reachable: bool):
        """Record whether the last call to the metadata store succeeded."""
        self.reaches_store = reachable

    def is_store_reader(self) -> bool:
        """Return whether this node has to read the metadata store."""
        own = self.own_address
        reader = is_reader(
            ReaderCandidate(
                address=(own.host, own.port), reaches_store=self.reaches_store
            ),
            (
                ReaderCandidate(
                    address=(peer.address.host, peer.address.port),
                    reaches_store=peer.reaches_store,
                )
                for peer in self.peers.values()
                if peer.near and peer.usable
            ),
        )
        if reader != self.was_store_reader:
            self.was_store_reader = reader
            log.info(
                "store reader" if reader else "store standby",
                extra={"reaches_store": self.reaches_store},
            )
        return reader

    def connections(self) -> Iterator[HopProtocol]:
        """Yield the open connections to other nodes and from them."""
        for peer in self.peers.values():
            if peer.connection is not None:
                yield peer.connection
        yield from self.inbound

    def receive_config(self, document: bytes, *, near: bool):
        """Pass on a configuration that another node has sent."""
        self.on_config(
            document, ConfigSource.NEAR_PEER if near else ConfigSource.FAR_PEER
        )

    def send_config(self, connection: HopProtocol, version: int):
        """Reply to a ConfigPull if the configuration is newer."""
        if self.config_version() > version:
            connection.send(ConfigCopy(self.config_document()))
