"""Puts the services of a node into a kernel."""

from dataclasses import dataclass
from random import Random

from twisted.internet.interfaces import IReactorTime

from flamingosail.admission import AdmissionControl
from flamingosail.admission import TARGET_DELAY_SECONDS
from flamingosail.backend import Backend
from flamingosail.egress import Egress
from flamingosail.entrance import Entrance
from flamingosail.exchange import Exchange
from flamingosail.ingress import Ingress
from flamingosail.kernel import Kernel
from flamingosail.keys import KeyTable
from flamingosail.limit import ConcurrencyLimit
from flamingosail.pressure import PressureMap
from flamingosail.replay import ReplayWindow
from flamingosail.retrypool import RetryPool
from flamingosail.routing import Distances
from flamingosail.routing import Router
from flamingosail.transport import Transport

__all__ = ["NodePlace", "add_call_path"]


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
            on_draining=router.note_draining,
        )
    )
    retries = kernel.add(
        RetryPool(clock=clock, transport=transport, incarnation=incarnation)
    )
    keys = kernel.add(
        KeyTable(
            clock=clock,
            random=random,
            incarnation=incarnation,
            on_forget=retries.close,
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
    return kernel.add(
        Entrance(
            clock=clock,
            random=random,
            transport=transport,
            incarnation=incarnation,
            manifest=manifest,
            members=members,
            exchange=exchange,
            keys=keys,
            retries=retries,
            egress=egress,
            ingress=ingress,
        )
    )
