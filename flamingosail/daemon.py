"""A node process: a node with its sockets, run by the console script."""

from collections.abc import Callable
from random import SystemRandom

from logbook import Logger
from twisted.internet.defer import inlineCallbacks
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from flamingosail.backendhttp import HttpBackend
from flamingosail.callerhttp import BackendListener
from flamingosail.callerhttp import CallerListener
from flamingosail.callerhttp import HttpListener
from flamingosail.control import ControlListener
from flamingosail.identity import new_incarnation
from flamingosail.ingress import Ingress
from flamingosail.kernel import Service
from flamingosail.lifecycle import Lifecycle
from flamingosail.loghttp import HttpLogService
from flamingosail.metrics import Metrics
from flamingosail.metrics import open_client
from flamingosail.node import add_call_path
from flamingosail.node import build_node
from flamingosail.node import Node
from flamingosail.node import NodePlace
from flamingosail.nodemetrics import register_node_counters
from flamingosail.routing import Distances
from flamingosail.settings import Address
from flamingosail.settings import Settings
from flamingosail.zmqtransport import ZmqTransport

__all__ = ["Daemon"]

BACKLOG_CONNECTIONS = 1024


class HttpPort(Service):
    """Runs an HttpListener on an address as a service."""

    def __init__(
        self, *, name: str, reactor, address: Address, listener: HttpListener
    ):
        self.name = name
        self.reactor = reactor
        self.address = address
        self.listener = listener
        self.port = None

    def start(self):
        """Listen on the address."""
        self.port = self.reactor.listenTCP(
            self.address.port,
            self.listener,
            interface=self.address.host,
            backlog=BACKLOG_CONNECTIONS,
        )

    @inlineCallbacks
    def stop(self):
        """Stop accepting; if draining, serve the connections still open."""
        if self.listener.draining:
            self.accept_pending_and_close()
            yield self.listener.close_all()
        else:
            yield self.port.stopListening()

    def accept_pending_and_close(self):
        """Accept the connections in the socket's backlog, then close it.

        ``stopListening`` closes the socket one reactor iteration after it
        stops accepting; the operating system resets the connections that
        arrive in between.
        """
        self.port.stopReading()
        self.port.numberAccepts = BACKLOG_CONNECTIONS
        self.port.doRead()
        self.port.connectionLost(Failure(ConnectionDone()))

    def dump(self) -> dict:
        """Return the port and the state of the listener."""
        return {"port": self.port.getHost().port, **self.listener.dump()}


class Daemon:
    """One node process."""

    def __init__(
        self,
        *,
        reactor,
        settings: Settings,
        add_path: Callable = add_call_path,
    ):
        self.reactor = reactor
        self.settings = settings
        self.random = SystemRandom()
        self.add_path = add_path
        self.log = Logger("daemon")
        self.node: Node | None = None

    @inlineCallbacks
    def start(self):
        """Start all services; the node then joins the cluster and serves."""
        settings = self.settings
        transport = ZmqTransport(
            reactor=self.reactor, address=str(settings.listen.peers)
        )
        # The member record needs the address, whose port may be chosen by
        # the operating system.
        transport.start()
        incarnation = new_incarnation(settings.node.name, self.random)
        self.node = build_node(
            clock=self.reactor,
            random=self.random,
            transport=transport,
            place=NodePlace(
                incarnation=str(incarnation),
                failure_domain=settings.node.failure_domain,
                region=settings.node.region,
            ),
            backend=HttpBackend(reactor=self.reactor),
            log=HttpLogService(reactor=self.reactor, url=settings.log.url),
            seeds=tuple(str(seed) for seed in settings.peers.seeds),
            retention=settings.log.retention_seconds,
            add_path=self.add_path,
            target_delay=settings.admission.queue_delay_target_ms / 1000,
            distances=Distances(
                failure_domain=(
                    settings.routing.failure_domain_distance_ms / 1000
                ),
                region=settings.routing.region_distance_ms / 1000,
            ),
        )
        self.add_process_services(self.node)
        yield self.node.kernel.start()
        self.lifecycle.begin_serving()
        self.log.notice("serving", extra={"incarnation": str(incarnation)})

    def add_process_services(self, node: Node):
        """Register the listeners, the lifecycle and the metrics."""
        kernel = node.kernel
        self.callers = CallerListener(
            clock=self.reactor, entrance=node.entrance
        )
        self.egress = BackendListener(
            clock=self.reactor, entrance=node.entrance
        )
        self.lifecycle = kernel.add(
            Lifecycle(
                clock=self.reactor,
                announce_draining=node.leave,
                drain_connections=self.callers.drain,
                refuse_requests=node.close,
                in_flight=self.in_flight,
                flush=kernel.stop,
                stop_timeout_seconds=self.settings.node.stop_timeout_seconds,
            )
        )
        listen = self.settings.listen
        for name, address, listener in (
            ("backend-listener", listen.backend, self.egress),
            ("caller-listener", listen.callers, self.callers),
        ):
            kernel.add(
                HttpPort(
                    name=name,
                    reactor=self.reactor,
                    address=address,
                    listener=listener,
                )
            )
        kernel.add(
            ControlListener(
                reactor=self.reactor,
                address=listen.control,
                kernel=kernel,
                announce=node.announce,
                drain=node.drain,
                load=self.record_load_report,
            )
        )
        metrics = kernel.add(
            Metrics(
                clock=self.reactor,
                random=self.random,
                client=open_client(self.settings.metrics),
            )
        )
        if isinstance(node.ingress, Ingress):
            register_node_counters(metrics, node, self.callers)

    def in_flight(self) -> int:
        """Return the number of requests and calls to finish before a stop."""
        return self.node.in_flight + self.callers.busy + self.egress.busy

    def record_load_report(self, in_flight: int, queued: int):
        """Record a load report, which is not trusted for decisions."""
        self.node.ingress.load_report = (in_flight, queued)
