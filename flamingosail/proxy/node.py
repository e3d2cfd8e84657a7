"""A node: the proxy process beside a backend server."""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random

from logbook import Logger
from twisted.internet.defer import Deferred

from flamingosail.proxy.dialect import Dialect
from flamingosail.proxy.forward import Forwarder
from flamingosail.proxy.gate import Gate
from flamingosail.proxy.nodemetrics import NodeMetrics
from flamingosail.proxy.policy.access import AccessPolicy
from flamingosail.proxy.policy.balance import LoadBalancer
from flamingosail.proxy.policy.budget import RetryBudget
from flamingosail.proxy.policy.overload import Admission
from flamingosail.proxy.policy.overload import LoadMeter
from flamingosail.proxy.policy.overload import LoadReport
from flamingosail.proxy.policy.quarantine import Quarantine
from flamingosail.proxy.shared.configspread import ConfigSource
from flamingosail.proxy.shared.freshness import Freshness
from flamingosail.proxy.shared.heldbytes import HeldBytes
from flamingosail.proxy.shared.heldbytes import Holder
from flamingosail.proxy.shared.quotas import QuotaExchange
from flamingosail.proxy.shared.routes import RouteTable
from flamingosail.proxy.shared.servers import LocalServer
from flamingosail.proxy.shared.serverstate import ServerState
from flamingosail.proxy.transport.client import ClientListener
from flamingosail.proxy.transport.hop import Hello
from flamingosail.proxy.transport.hop import Status
from flamingosail.proxy.transport.peers import PeerTable
from flamingosail.proxy.transport.servercheck import ServerCheck
from flamingosail.proxy.transport.serverpool import ServerPool
from flamingosail.settings import Address

__all__ = ["NodeConfig", "ProxyNode"]

BACKLOG_CONNECTIONS = 1024
# Within this time clients stop sending requests to a node that is not ready.
CLIENT_NOTICE_SECONDS = 2.3
# Open requests are aborted this long before the process would be killed.
STOP_MARGIN_SECONDS = 0.5
# Servers get no more time than until so long before that; a server that is at
# work at its deadline answers then.
LAST_ANSWERS_SECONDS = 0.3
STOP_POLL_SECONDS = 0.1
# Share of the memory for request bodies that are arriving, and the same for
# responses. A message exists up to three times while it is passed on: in
# pieces, joined, and as a frame that is being written.
BUFFERED_MEMORY_SHARE = 1 / 8
# Share of the memory for all that is held for clients, servers and peers.
HELD_MEMORY_SHARE = 1 / 4
# Share of the descriptors of sockets for clients; the rest is for the backend
# server, other nodes and the metadata store.
CLIENT_SOCKET_SHARE = 3 / 4

log = Logger("proxy.node")


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeConfig:
    """Identity, addresses and limits of a node.

    The node listens on ``clients`` and ``peers``; other nodes reach ``peers``
    at ``advertised``. ``server`` is the address of the backend server of the
    VM. A server gets no requests ``drain_seconds`` after its deregistration,
    and the process is killed ``stop_seconds`` after SIGTERM. ``retry_ratio``
    and ``retry_minimum`` are those of ``RetryBudget``. ``memory_bytes`` is the
    memory that the process may use, ``max_sockets`` bounds its sockets.
    ``first_start`` is false if a former process may have known the backend
    server. No request with a key is
    accepted ``revocation_seconds`` after a configuration has taken that key
    away, None if there is no such bound. ``failure_domains`` are all failure
    domains of the system, among which quotas are divided.
    """

    name: str
    failure_domain: str
    service: str
    clients: Address
    peers: Address
    advertised: Address
    server: Address
    drain_seconds: float
    stop_seconds: float
    retry_ratio: float
    retry_minimum: float
    memory_bytes: int
    max_sockets: float = inf
    first_start: bool = True
    revocation_seconds: float | None = None
    failure_domains: tuple[str, ...] = ()


class ProxyNode:
    """Connects the components of a node, starts and stops them.

    ``parse_config`` turns a configuration document into a RouteTable and
    raises ValueError if the document is invalid. ``document`` is the
    configuration in force. ``lease_clock`` is the clock of ``Freshness``,
    the reactor's if None.
    """

    def __init__(
        self,
        *,
        reactor,
        random: Random,
        config: NodeConfig,
        dialect: Dialect,
        parse_config: Callable[[bytes], RouteTable],
        lease_clock: Callable[[], float] | None = None,
    ):
        self.reactor = reactor
        self.config = config
        self.parse_config = parse_config
        self.route_table: RouteTable | None = None
        self.document = b""
        self.stopping_since: float | None = None
        self.stop_seconds = config.stop_seconds
        self.ports = []
        buffer_limit = int(config.memory_bytes * BUFFERED_MEMORY_SHARE)
        self.held = HeldBytes(limit=config.memory_bytes * HELD_MEMORY_SHARE)
        self.meter = LoadMeter(clock=reactor)
        self.metrics = NodeMetrics()
        self.quarantine = Quarantine(
            clock=reactor,
            on_change=lambda news: self.peers.announce_evidence(news),
        )
        self.gate = Gate(
            clock=reactor,
            meter=self.meter,
            metrics=self.metrics,
            quarantine=self.quarantine,
            pool=ServerPool(
                reactor=reactor,
                dialect=dialect,
                address=config.server,
                max_buffered_bytes=buffer_limit,
                held=self.held,
            ),
            dialect=dialect,
            server=ServerState(
                clock=reactor,
                drain_seconds=config.drain_seconds,
                on_change=self.broadcast_status,
            ),
            expected_seconds=lambda root_route, service: (
                self.forwarder.admission.call_seconds.get(
                    (root_route, service)
                )
            ),
        )
        if not config.first_start:
            self.gate.server.check = ServerCheck(
                clock=reactor,
                pool=self.gate.pool,
                health_path=self.health_path,
                on_confirmed=self.gate.server.report_confirmed,
                on_leaving=self.gate.server.accept_leaving,
            )
        self.freshness = Freshness(
            seconds=lease_clock or reactor.seconds,
            config_version=self.config_version,
            revocation_seconds=config.revocation_seconds,
        )
        self.local = LocalServer(
            gate=self.gate, failure_domain=config.failure_domain
        )
        self.quotas = QuotaExchange(
            clock=reactor,
            random=random,
            own_address=str(config.advertised),
            failure_domain=config.failure_domain,
            failure_domains=config.failure_domains,
            first_start=config.first_start,
            peers=lambda: self.peers.peers.values(),
            members_known=lambda: self.peers.member_spread.complete,
            metrics=self.metrics,
            boot_time=lease_clock,
        )
        self.peers = PeerTable(
            reactor=reactor,
            random=random,
            gate=self.gate,
            local=self.local,
            own_address=config.advertised,
            hello=self.hello,
            status=self.status,
            load_report=self.load_report,
            on_reports=lambda reports: self.forwarder.update_admission(
                reports
            ),
            config_version=self.config_version,
            config_document=lambda: self.document,
            on_config=self.apply_config,
            freshness=self.freshness,
            quotas=self.quotas,
            held=self.held,
        )
        self.forwarder = Forwarder(
            clock=reactor,
            random=random,
            dialect=dialect,
            peers=self.peers,
            balancer=LoadBalancer(
                clock=reactor,
                random=random,
                failure_domain=config.failure_domain,
            ),
            admission=Admission(
                clock=reactor,
                retry_ratio=config.retry_ratio,
                retry_minimum=config.retry_minimum,
            ),
            meter=self.meter,
            metrics=self.metrics,
            budget=RetryBudget(
                clock=reactor,
                ratio=config.retry_ratio,
                minimum=config.retry_minimum,
            ),
            quarantine=self.quarantine,
            access=AccessPolicy(
                freshness=self.freshness,
                behind_seconds=self.peers.spread.behind_seconds,
            ),
            own_service=config.service,
        )
        self.clients = ClientListener(
            clock=reactor,
            dialect=dialect,
            handler=self.forwarder,
            max_buffered_bytes=buffer_limit,
            max_connections=config.max_sockets * CLIENT_SOCKET_SHARE,
            held=self.held,
        )

        self.metrics.gauges.update(
            in_flight=lambda: self.forwarder.in_flight,
            gate_running=lambda: len(self.gate.running),
            gate_waiting=lambda: self.gate.waiting,
            # The metric calls the capacity room.
            gate_room=lambda: self.gate.capacity,
            # -1 while the server states no limit.
            server_limit=lambda: (
                -1
                if self.gate.server.limiter.rate is None
                else self.gate.server.limiter.rate
            ),
            client_connections=lambda: len(self.clients.connections),
            peers_reached=lambda: sum(
                peer.connection is not None
                for peer in self.peers.peers.values()
            ),
            members_known=lambda: int(self.peers.member_spread.complete),
            config_version=self.config_version,
            config_version_known=self.known_config_version,
            config_behind_seconds=self.peers.spread.behind_seconds,
            # -1 without a proof, or if no lease is needed.
            config_proof_age_seconds=lambda: (
                self.freshness.age_seconds()
                if self.freshness.age_ms() is not None
                else -1
            ),
            config_lease=lambda: int(self.freshness.is_current()),
            store_era=lambda: self.peers.store_era.number,
            suspects=lambda: len(self.quarantine.suspects),
            store_reader=lambda: int(self.peers.was_store_reader),
            server_slowness=self.gate.server.speed.slowness,
            machine_slowness=lambda: (
                self.gate.server.concurrency.machine.slowness
            ),
            learned_limit=lambda: self.gate.max_running,
            usable_slots=lambda: self.gate.usable_slots,
            run_seconds=lambda: self.gate.server.concurrency.run_seconds,
            buffered_request_bytes=lambda: self.clients.buffered_body_bytes,
            buffered_response_bytes=lambda: self.gate.pool.buffered_bytes,
            held_bytes_limit=lambda: self.held.limit,
            **{
                f"held_bytes_{holder}": lambda holder=holder: (
                    self.held.by_holder[holder]
                )
                for holder in Holder.ALL
            },
            server_connects=lambda: self.gate.pool.connect_count,
            quota_tokens_lent=lambda: self.quotas.lent_tokens,
            quota_tokens_borrowed=lambda: self.quotas.borrowed_tokens,
            # The metric calls retries second sends.
            second_sends_refused=lambda: self.forwarder.budget.refused,
            returns_reserved=lambda: self.forwarder.returns.reserved,
            returns_admitted=lambda: self.forwarder.returns.redeemed,
        )

    # Messages about this node.

    def hello(self) -> Hello:
        """Return the Hello of this node."""
        config = self.config
        return Hello(
            config.name,
            config.failure_domain,
            str(config.advertised),
            evidence=self.quarantine.evidence(),
        )

    def status(self) -> Status:
        """Return the state of the server beside this node."""
        gate = self.gate
        report = gate.server.report
        cold = 0.0
        if report is not None:
            cold = max(0.0, report.cold_until - self.reactor.seconds())
        return Status(
            state=gate.server.state,
            service=report.service if report else self.config.service,
            instance=report.instance if report else "",
            capacity=gate.capacity,
            running=len(gate.running),
            waiting=gate.waiting,
            cold_seconds=cold,
            leaving=self.stopping_since is not None,
            config_version=self.config_version(),
            terms=gate.server.terms(),
        )

    def load_report(self) -> LoadReport:
        """Return the load of this node and its backend server."""
        gate = self.gate
        usable = gate.server.state == "ready" and self.stopping_since is None
        capacity = gate.capacity if usable else 0
        admission = self.forwarder.admission
        return self.meter.report(
            self.config.service,
            capacity,
            gate.waiting,
            limited=admission.shares,
            weights=admission.account_weights,
        )

    def health_path(self, service: str) -> str | None:
        """Return the path of a service's health endpoint.

        It is empty if the service has none, None without a configuration.
        """
        if self.route_table is None:
            return None
        return self.route_table.health_paths.get(service, "")

    def config_version(self) -> int:
        """Return the version of the configuration in force; 0 if none is."""
        return self.route_table.version if self.route_table is not None else 0

    def broadcast_status(self):
        """Send a changed state of the backend server to all peers."""
        self.peers.broadcast_status()

    # Configuration.

    def known_config_version(self) -> int:
        """Return the newest version in force here or announced by a peer."""
        return max(self.config_version(), self.peers.spread.known_version)

    def apply_config(self, document: bytes, source: ConfigSource):
        """Apply a configuration document if it is valid and newer."""
        try:
            route_table = self.parse_config(document)
        except ValueError as error:
            log.warning(
                "configuration ignored",
                extra={"source": source, "cause": str(error)},
            )
            return
        if route_table.version <= self.config_version():
            if (
                route_table.version == self.config_version()
                and document != self.document
            ):
                log.warning(
                    "configuration differs",
                    extra={
                        "source": source,
                        "config_version": route_table.version,
                    },
                )
            return
        log.info(
            "configuration in force",
            extra={
                "source": source,
                "config_version": route_table.version,
                "before": self.config_version(),
                "routes": sum(map(len, route_table.hosts.values())),
                "known_seconds": round(self.peers.spread.behind_seconds(), 3),
            },
        )
        self.route_table = route_table
        self.document = document
        self.freshness.config_changed()
        self.forwarder.set_route_table(route_table)
        if self.gate.server.check is not None:
            self.gate.server.check.ask()
        self.peers.spread.announce(source)

    def configuration_current(self, read_at: float):
        """Record that a read of the store showed no newer configuration.

        ``read_at`` is when the read was sent, in the time of ``Freshness``.
        """
        self.freshness.observe(self.config_version(), read_at)

    # Start and stop.

    @property
    def ready(self) -> bool:
        """Whether clients should send requests to this node."""
        return self.route_table is not None and self.stopping_since is None

    def start(self):
        """Listen for clients and peers."""
        for address, factory in (
            (self.config.clients, self.clients),
            (self.config.peers, self.peers),
        ):
            self.ports.append(
                self.reactor.listenTCP(
                    address.port,
                    factory,
                    interface=address.host,
                    backlog=BACKLOG_CONNECTIONS,
                )
            )
        self.clients.start()
        self.peers.start()

    def stop(self) -> Deferred:
        """Drain the node; the returned Deferred fires when it has stopped.

        Each response asks the client to close its connection, and the status
        sent to peers makes them prefer other servers.
        """
        self.stop_finished = Deferred()
        if self.stopping_since is None:
            self.stopping_since = self.reactor.seconds()
            log.info("stopping", extra={"in_flight": self.forwarder.in_flight})
            self.clients.draining = True
            self.forwarder.ends_at = (
                self.stopping_since
                + self.stop_seconds
                - STOP_MARGIN_SECONDS
                - LAST_ANSWERS_SECONDS
            )
            self.peers.broadcast_status()
            self.reactor.callLater(CLIENT_NOTICE_SECONDS, self.poll_stop)
        return self.stop_finished

    def poll_stop(self):
        """Stop the node once no request is open, or at the time limit.

        From now on new root requests are rejected, since they may not end
        before the process does; calls of requests that are running at the
        backend server are still accepted.
        """
        now = self.reactor.seconds()
        elapsed = now - self.stopping_since
        self.forwarder.closed = self.gate.closed = True
        late = elapsed >= self.stop_seconds - STOP_MARGIN_SECONDS
        idle = not (
            self.forwarder.in_flight or self.gate.running or self.gate.waiting
        )
        if not idle and not late:
            self.reactor.callLater(STOP_POLL_SECONDS, self.poll_stop)
            return
        log.info(
            "stopped",
            extra={
                "in_flight": self.forwarder.in_flight,
                "at_server": len(self.gate.running),
                "seconds": round(elapsed, 3),
            },
        )
        self.gate.refuse_queued("the node stops")
        self.forwarder.end_all()
        self.clients.close_idle()
        self.clients.stop()
        self.peers.stop()
        self.stop_finished.callback(None)
