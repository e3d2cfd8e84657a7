"""Builds a node: creates its services and registers them in a kernel."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from twisted.internet.interfaces import IReactorTime
from xxhash import xxh64_intdigest

from flamingosail.admission import AdmissionControl
from flamingosail.admission import TARGET_DELAY_SECONDS
from flamingosail.backend import Announcement
from flamingosail.backend import Backend
from flamingosail.backendwatch import BackendWatch
from flamingosail.childcalls import ChildCalls
from flamingosail.egress import Egress
from flamingosail.entrance import Entrance
from flamingosail.exchange import Exchange
from flamingosail.gossip import Gossip
from flamingosail.identity import Incarnation
from flamingosail.ingress import Ingress
from flamingosail.kernel import Kernel
from flamingosail.keys import KeyTable
from flamingosail.limit import ConcurrencyLimit
from flamingosail.logservice import LogService
from flamingosail.manifestservice import ManifestService
from flamingosail.membership import MemberTable
from flamingosail.messages import MemberRecord
from flamingosail.pause import PauseMonitor
from flamingosail.pressure import PressureMap
from flamingosail.replay import ReplayWindow
from flamingosail.retrypool import RetryPool
from flamingosail.routing import Distances
from flamingosail.routing import Router
from flamingosail.transport import Transport

__all__ = ["Node", "NodePlace", "add_call_path", "build_node"]

LOG_READERS_PER_FAILURE_DOMAIN = 2


@dataclass(frozen=True, slots=True)
class NodePlace:
    """The identity of a node and where it runs."""

    incarnation: str
    failure_domain: str
    region: str


def add_call_path(
    kernel: Kernel,
    *,
    clock: IReactorTime,
    random: Random,
    transport: Transport,
    place: NodePlace,
    backend: Backend,
    members,
    manifest,
    target_delay: float = TARGET_DELAY_SECONDS,
    distances: Distances = Distances(),  # noqa: B008 - frozen
) -> Entrance:
    """Register the services that handle calls and return the entrance.

    ``members`` and ``manifest`` are the kernel's member table and manifest
    service, or fakes of them. ``target_delay`` is in seconds.
    """
    incarnation = place.incarnation
    router = kernel.add(
        Router(
            clock=clock,
            random=random,
            members=members,
            failure_domain=place.failure_domain,
            region=place.region,
            distances=distances,
        )
    )
    exchange = kernel.add(
        Exchange(
            transport=transport,
            incarnation=incarnation,
            on_draining=router.mark_draining,
        )
    )
    retries = kernel.add(
        RetryPool(clock=clock, transport=transport, incarnation=incarnation)
    )
    transport.on_dropped = exchange.on_dropped
    members.listeners.append(exchange.on_members_changed)
    keys = kernel.add(
        KeyTable(
            clock=clock,
            random=random,
            incarnation=incarnation,
            on_root_expired=retries.close,
        )
    )
    ingress = kernel.add(
        Ingress(
            clock=clock,
            random=random,
            transport=transport,
            incarnation=incarnation,
            backend=backend,
            manifest=manifest,
            admission=AdmissionControl(clock=clock, target_delay=target_delay),
            limit=ConcurrencyLimit(clock=clock),
            replay=ReplayWindow(),
            pause=kernel.add(PauseMonitor(clock=clock)),
        )
    )
    egress = kernel.add(
        Egress(
            clock=clock,
            random=random,
            transport=transport,
            incarnation=incarnation,
            exchange=exchange,
            router=router,
            retries=retries,
            pressure=PressureMap(clock=clock, random=random),
            ingress=ingress,
        )
    )
    manifest.listeners.append(egress.on_manifest)
    shared = {
        "clock": clock,
        "random": random,
        "transport": transport,
        "incarnation": incarnation,
        "manifest": manifest,
        "retries": retries,
        "egress": egress,
    }
    children = kernel.add(ChildCalls(ingress=ingress, **shared))
    return kernel.add(
        Entrance(
            members=members,
            exchange=exchange,
            keys=keys,
            ingress=ingress,
            children=children,
            **shared,
        )
    )


@dataclass(frozen=True, slots=True)
class Node:
    """A node without its sockets, for embedding programs."""

    kernel: Kernel
    place: NodePlace
    transport: Transport
    members: MemberTable
    gossip: Gossip
    manifest: ManifestService
    entrance: Entrance
    ingress: Ingress
    watch: BackendWatch

    @property
    def in_flight(self) -> int:
        """The number of requests and calls that have not ended."""
        egress = self.kernel.get("egress")
        return egress.in_flight + self.ingress.in_flight

    def announce(self, announcement: Announcement):
        """Accept calls for a backend server; idempotent."""
        self.watch.announce(announcement)

    def drain(self):
        """Tell all nodes to send the backend server no new calls."""
        self.watch.drain()

    def leave(self):
        """Drain permanently; later announcements are ignored."""
        self.watch.leave()

    def close(self):
        """Refuse new requests and calls; those in flight continue."""
        self.entrance.closed = True
        self.ingress.closed = True


def build_node(
    *,
    clock: IReactorTime,
    random: Random,
    transport: Transport,
    place: NodePlace,
    backend: Backend,
    log: LogService,
    seeds: tuple[str, ...] = (),
    retention: float,
    add_path: Callable = add_call_path,
    **tuning,
) -> Node:
    """Return a node; ``kernel.start()`` starts it.

    ``retention`` is the retention time of the log in seconds. ``add_path``
    registers the services that handle calls; ``tuning`` is passed to it.
    """
    kernel = Kernel()
    kernel.add(transport)
    members = kernel.add(
        MemberTable(
            own_record=initial_record(place, transport.address), clock=clock
        )
    )
    gossip = kernel.add(
        Gossip(
            table=members,
            transport=transport,
            clock=clock,
            random=random,
            log=log,
            seeds=seeds,
        )
    )
    manifest = kernel.add(
        ManifestService(
            clock=clock,
            random=random,
            log=log,
            transport=transport,
            incarnation=place.incarnation,
            neighbours=lambda: [m.address for m in gossip.neighbours()],
            is_reader=lambda: is_log_reader(members),
            retention=retention,
        )
    )
    gossip.manifest_version = lambda: manifest.version
    gossip.on_newer_manifest = manifest.on_newer_manifest
    entrance = add_path(
        kernel,
        clock=clock,
        random=random,
        transport=transport,
        place=place,
        backend=backend,
        members=members,
        manifest=manifest,
        **tuning,
    )
    ingress = kernel.get("ingress")
    watch = kernel.add(
        BackendWatch(
            clock=clock, backend=backend, ingress=ingress, members=members
        )
    )
    return Node(
        kernel=kernel,
        place=place,
        transport=transport,
        members=members,
        gossip=gossip,
        manifest=manifest,
        entrance=entrance,
        ingress=ingress,
        watch=watch,
    )


def initial_record(place: NodePlace, address: str) -> MemberRecord:
    """Return the member record of a starting node."""
    return MemberRecord(
        node=Incarnation.parse(place.incarnation).node,
        incarnation=place.incarnation,
        version=1,
        address=address,
        failure_domain=place.failure_domain,
        region=place.region,
        service="",
        state="starting",
    )


def is_log_reader(members: MemberTable) -> bool:
    """Return whether this node polls the log for its failure domain.

    While member tables differ, more nodes than
    LOG_READERS_PER_FAILURE_DOMAIN may do so, which is harmless.
    """
    own = members.own_record
    domain_nodes = [
        record.node
        for record in members.live()
        if record.failure_domain == own.failure_domain
    ]
    readers = sorted(domain_nodes, key=hash_name)[
        :LOG_READERS_PER_FAILURE_DOMAIN
    ]
    return own.node in readers


def hash_name(name: str) -> int:
    """Return the hash by which the log readers are chosen."""
    return xxh64_intdigest(name.encode())
