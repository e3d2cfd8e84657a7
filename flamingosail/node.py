"""Puts the services of a node into a kernel."""

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
    """Which node this is and where it runs."""

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
    """Add the services that carry calls and return the entrance.

    ``members`` and ``manifest`` are the kernel's member table and manifest
    service, or fakes of them.
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
    """A node without its sockets, as it is embedded."""

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
        """Requests and calls that have not ended."""
        egress = self.kernel.get("egress")
        return egress.in_flight + self.ingress.in_flight

    def announce(self, announcement: Announcement):
        """Take calls for a backend server; a repetition changes nothing."""
        self.watch.announce(announcement)

    def drain(self):
        """Tell all nodes that the backend server takes no new calls."""
        self.watch.drain()

    def leave(self):
        """Drain for good; later announcements change nothing."""
        self.watch.leave()

    def close(self):
        """Refuse new requests and calls; those under way go on."""
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

    ``retention`` is the retention time of the log in seconds, ``tuning``
    goes to add_call_path.
    """
    kernel = Kernel()
    kernel.add(transport)
    members = kernel.add(
        MemberTable(
            own_record=first_record(place, transport.address), clock=clock
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
            is_reader=lambda: reads_log(members),
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


def first_record(place: NodePlace, address: str) -> MemberRecord:
    """Return the member record of a node that starts."""
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


def reads_log(members: MemberTable) -> bool:
    """Return whether this node polls the log for its failure domain.

    While member tables differ more nodes may do so, which is harmless.
    """
    own = members.own_record
    peers = [
        record.node
        for record in members.live()
        if record.failure_domain == own.failure_domain
    ]
    readers = sorted(peers, key=xxh64_of)[:LOG_READERS_PER_FAILURE_DOMAIN]
    return own.node in readers


def xxh64_of(name: str) -> int:
    """Return the hash that orders nodes for roles."""
    return xxh64_intdigest(name.encode())
