"""A node: what runs beside a backend server."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from logbook import Logger
from twisted.internet.defer import Deferred

from flamingosail.proxy.balance import LoadBalancer
from flamingosail.proxy.budget import RetryBudget
from flamingosail.proxy.client import ClientListener
from flamingosail.proxy.dialect import Dialect
from flamingosail.proxy.forward import Forwarder
from flamingosail.proxy.gate import Gate
from flamingosail.proxy.hop import Hello
from flamingosail.proxy.hop import Status
from flamingosail.proxy.nodemetrics import NodeMetrics
from flamingosail.proxy.overload import Admission
from flamingosail.proxy.overload import LoadMeter
from flamingosail.proxy.overload import LoadReport
from flamingosail.proxy.peers import PeerTable
from flamingosail.proxy.routes import RouteTable
from flamingosail.proxy.serverpool import ServerPool
from flamingosail.proxy.servers import LocalServer
from flamingosail.settings import Address

__all__ = ["NodeConfig", "ProxyNode"]

BACKLOG_CONNECTIONS = 1024
# Clients notice within this time that a node takes no new work.
CLIENT_NOTICE_SECONDS = 2.3
# Requests still open this long before the process is killed are cut.
STOP_MARGIN_SECONDS = 0.5
STOP_POLL_SECONDS = 0.1

log = Logger("proxy.node")


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeConfig:
    """Where a node is and where it listens.

    ``advertised`` is where other nodes reach ``peers``. ``server`` is the
    address of the backend server of the VM; times are in
    seconds: ``drain_seconds`` after an acknowledged leaving, a server gets no
    request, ``stop_seconds`` after SIGTERM the process is killed.
    ``repeat_ratio`` and ``repeat_minimum`` are those of ``RetryBudget``.
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
    repeat_ratio: float
    repeat_minimum: float


class ProxyNode:
    """Connects the parts of a node and owns their start and end.

    ``parse`` turns a configuration document into a RouteTable and raises
    ValueError if it cannot.
    """

    def __init__(
        self,
        *,
        reactor,
        random: Random,
        config: NodeConfig,
        dialect: Dialect,
        parse: Callable[[bytes], RouteTable],
    ):
        self.reactor = reactor
        self.config = config
        self.parse = parse
        self.table: RouteTable | None = None
        self.document = b""
        self.stopping_since: float | None = None
        self.stop_seconds = config.stop_seconds
        self.ports = []
        self.meter = LoadMeter(clock=reactor)
        self.metrics = NodeMetrics()
        self.gate = Gate(
            clock=reactor,
            meter=self.meter,
            metrics=self.metrics,
            pool=ServerPool(
                reactor=reactor, dialect=dialect, address=config.server
            ),
            dialect=dialect,
            drain_seconds=config.drain_seconds,
            on_change=self.server_changed,
        )
        self.local = LocalServer(
            gate=self.gate, failure_domain=config.failure_domain
        )
        self.peers = PeerTable(
            reactor=reactor,
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
            on_config=lambda document: self.offer_config(document, "peer"),
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
            admission=Admission(clock=reactor),
            meter=self.meter,
            metrics=self.metrics,
            budget=RetryBudget(
                clock=reactor,
                ratio=config.repeat_ratio,
                minimum=config.repeat_minimum,
            ),
            own_service=config.service,
        )
        self.clients = ClientListener(
            clock=reactor, dialect=dialect, handler=self.forwarder
        )

        self.metrics.gauges.update(
            in_flight=lambda: self.forwarder.in_flight,
            gate_running=lambda: len(self.gate.running),
            gate_waiting=lambda: self.gate.waiting,
            gate_room=lambda: self.gate.room,
            client_connections=lambda: len(self.clients.connections),
            peers_reached=lambda: sum(
                peer.connection is not None
                for peer in self.peers.peers.values()
            ),
            config_version=self.config_version,
            server_connects=lambda: self.gate.pool.connects,
            second_sends_refused=lambda: self.forwarder.budget.refused,
        )

    # Messages about this node.

    def hello(self) -> Hello:
        """Return the introduction of this node."""
        config = self.config
        return Hello(
            config.name,
            config.failure_domain,
            str(config.advertised),
        )

    def status(self) -> Status:
        """Return the state of the server beside this node."""
        gate = self.gate
        report = gate.report
        cold = 0.0
        if report is not None:
            cold = max(0.0, report.cold_until - self.reactor.seconds())
        return Status(
            state=gate.state,
            service=report.service if report else self.config.service,
            instance=report.instance if report else "",
            room=gate.room,
            running=len(gate.running),
            waiting=gate.waiting,
            cold_seconds=cold,
            leaving=self.stopping_since is not None,
            config_version=self.config_version(),
        )

    def load_report(self) -> LoadReport:
        """Return what this node saw lately."""
        gate = self.gate
        usable = gate.state == "ready" and self.stopping_since is None
        room = gate.room if usable else 0
        return self.meter.report(self.config.service, room, gate.waiting)

    def config_version(self) -> int:
        """Return the version in force, 0 if none is."""
        return self.table.version if self.table is not None else 0

    def server_changed(self):
        """Tell everyone about a change of our server."""
        self.peers.local_changed()

    # Configuration.

    def offer_config(self, document: bytes, source: str):
        """Put a configuration in force if it is valid and newer."""
        try:
            table = self.parse(document)
        except ValueError as error:
            log.warning(
                "configuration ignored",
                extra={"source": source, "cause": str(error)},
            )
            return
        if table.version <= self.config_version():
            return
        log.info(
            "configuration in force",
            extra={
                "source": source,
                "config_version": table.version,
                "before": self.config_version(),
                "routes": sum(map(len, table.hosts.values())),
            },
        )
        self.table = table
        self.document = document
        self.forwarder.set_route_table(table)
        self.peers.local_changed()

    # Start and end.

    @property
    def ready(self) -> bool:
        """Whether clients should send requests here."""
        return self.table is not None and self.stopping_since is None

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
        """Finish what is here, then fire.

        Clients are told with each answer to close their connection, peers to
        send to other servers.
        """
        self.stopped = Deferred()
        if self.stopping_since is None:
            self.stopping_since = self.reactor.seconds()
            log.info("stopping", extra={"in_flight": self.forwarder.in_flight})
            self.clients.draining = True
            self.peers.local_changed()
            self.reactor.callLater(CLIENT_NOTICE_SECONDS, self.stop_step)
        return self.stopped

    def stop_step(self):
        """End the process once nothing is left, or the time is over.

        From now on requests that begin here are refused, since they may not
        end before the process; calls of requests at our server are not.
        """
        now = self.reactor.seconds()
        elapsed = now - self.stopping_since
        self.forwarder.closed = self.gate.closed = True
        late = elapsed >= self.stop_seconds - STOP_MARGIN_SECONDS
        idle = not (
            self.forwarder.in_flight or self.gate.running or self.gate.waiting
        )
        if not idle and not late:
            self.reactor.callLater(STOP_POLL_SECONDS, self.stop_step)
            return
        log.info(
            "stopped",
            extra={
                "in_flight": self.forwarder.in_flight,
                "at_server": len(self.gate.running),
                "seconds": round(elapsed, 3),
            },
        )
        self.clients.close_idle()
        self.clients.stop()
        self.peers.stop()
        self.stopped.callback(None)
