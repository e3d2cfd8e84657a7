"""The two deployments, scaled down so that one service is the bottleneck.

Slots are few and service times long, so that the backend servers are
saturated long before the processors of one machine are. The ratio of
connections to slots is the same as in the full deployments.
"""

from dataclasses import dataclass

from experiments.deployments import Deployment
from experiments.deployments import kind
from experiments.deployments import manifest
from experiments.deployments import ServiceSpec

__all__ = ["LoadMix", "ScaledDeployment", "scaled_deployments"]

BOTTLENECK_SERVERS = 3
BOTTLENECK_SLOTS = 4
BOTTLENECK_MS = 100.0
UNSATURATED_MS = 4.0


@dataclass(frozen=True, slots=True)
class LoadMix:
    """Shares of each kind in the load of root requests.

    ``critical`` and ``others`` map a kind to its share of the requests of
    critical and of lower importance; each adds up to 1. ``keyed_kinds`` are
    the kinds that need an idempotency key.
    """

    critical: dict[str, float]
    others: dict[str, float]
    keyed_kinds: frozenset[str]

    def rates(self, critical: float, others: float) -> dict[str, float]:
        """Return requests/s by kind, from the totals of both groups."""
        return {
            **{
                name: share * critical for name, share in self.critical.items()
            },
            **{name: share * others for name, share in self.others.items()},
        }


@dataclass(frozen=True, slots=True)
class ScaledDeployment:
    """A deployment in which each root request runs once at the bottleneck.

    ``bottleneck`` is the name of that service. ``probe_kind`` has no service
    time and its service has one server; it serves to measure added latency.
    """

    deployment: Deployment
    bottleneck: str
    mix: LoadMix
    probe_kind: str

    @property
    def bottleneck_spec(self) -> ServiceSpec:
        """The configuration of the bottleneck service."""
        return self.find_service(self.bottleneck)

    @property
    def probe_service(self) -> str:
        """The service of the probe kind."""
        return self.deployment.manifest["kinds"][self.probe_kind]["service"]

    @property
    def capacity(self) -> float:
        """Requests/s that the bottleneck can serve: slots / service time."""
        spec = self.bottleneck_spec
        return spec.servers * spec.slots / (spec.service_ms / 1000)

    def find_service(self, name: str) -> ServiceSpec:
        """Return the configuration of a service.

        :raises KeyError: if there is no service of that name.
        """
        for spec in self.deployment.services:
            if spec.name == name:
                return spec
        raise KeyError(name)

    def importance(self, name: str) -> str:
        """Return the importance of a kind."""
        return self.deployment.manifest["kinds"][name]["importance"]


def scaled_deployments() -> dict[str, ScaledDeployment]:
    """Return both scaled deployments by region."""
    return {
        "west-bengal": scaled_helmet_ledger(),
        "gulf-south": scaled_parking_discs(),
    }


def bottleneck_service(
    name: str, connections_per_slot: float, kinds: dict
) -> ServiceSpec:
    """Return a service with few slots and a long service time."""
    return ServiceSpec(
        name=name,
        servers=BOTTLENECK_SERVERS,
        slots=BOTTLENECK_SLOTS,
        connections=round(BOTTLENECK_SLOTS * connections_per_slot),
        service_ms=BOTTLENECK_MS,
        kinds=kinds,
    )


def unsaturated_service(
    name: str, servers: int, connections_per_slot: float, kinds: dict
) -> ServiceSpec:
    """Return a service with far more slots than the load needs."""
    return ServiceSpec(
        name=name,
        servers=servers,
        slots=60,
        connections=round(60 * connections_per_slot),
        service_ms=UNSATURATED_MS,
        kinds=kinds,
    )


def scaled_helmet_ledger() -> ScaledDeployment:
    """Return the scaled deployment of Shirostran Safety Labs.

    Its bottleneck is retire-svc.
    """
    kinds = {
        "gate-check": kind("gatekeeper", "critical"),
        "helmet-state": kind("histbook", "normal"),
        "retirement-state": kind("retire-svc", "normal"),
        "retire": kind("retire-svc", "critical", idempotent=False),
        "record-retirement": kind("histbook", "normal", idempotent=False),
        "reorder-state": kind("reorder-svc", "normal"),
    }
    record_call = {"kind": "record-retirement", "key": "record"}
    return ScaledDeployment(
        deployment=Deployment(
            region="west-bengal",
            failure_domains=("kolkata-n", "kolkata-s", "howrah-r"),
            services=(
                unsaturated_service(
                    "histbook",
                    2,
                    1000 / 150,
                    {
                        "helmet-state": {
                            "steps": [{"kind": "retirement-state"}]
                        },
                        "record-retirement": {"idempotent": False},
                    },
                ),
                bottleneck_service(
                    "retire-svc",
                    1300 / 200,
                    {"retire": {"idempotent": False, "steps": [record_call]}},
                ),
                unsaturated_service(
                    "reorder-svc",
                    1,
                    1300 / 200,
                    {"reorder-state": {"service_ms": 0}},
                ),
                unsaturated_service(
                    "gatekeeper",
                    1,
                    200 / 20,
                    {"gate-check": {"steps": [{"kind": "helmet-state"}]}},
                ),
            ),
            manifest=manifest(kinds),
        ),
        bottleneck="retire-svc",
        mix=LoadMix(
            critical={"gate-check": 0.75, "retire": 0.25},
            others={"helmet-state": 0.5, "retirement-state": 0.5},
            keyed_kinds=frozenset(("retire",)),
        ),
        probe_kind="reorder-state",
    )


def scaled_parking_discs() -> ScaledDeployment:
    """Return the scaled deployment of the Bayou Parish Parking Authority.

    Its bottleneck is cashier. The kinds ``fees`` and ``fee`` are added so
    that requests of lower importance than critical reach cashier too.
    """
    kinds = {
        "renew": kind("kiosk-portal", "critical", idempotent=False),
        "charge": kind("cashier", "critical", idempotent=False),
        "fees": kind("kiosk-portal", "high"),
        "fee": kind("cashier", "normal"),
        "print": kind("print-orders", "high", idempotent=False),
        "area-info": kind("failure-domain-info", "normal"),
    }
    charge_call = {"kind": "charge", "key": "charge"}
    return ScaledDeployment(
        deployment=Deployment(
            region="gulf-south",
            failure_domains=("gs-a", "gs-b", "gs-c", "gs-d"),
            services=(
                unsaturated_service(
                    "kiosk-portal",
                    2,
                    370 / 45,
                    {
                        "renew": {"idempotent": False, "steps": [charge_call]},
                        "fees": {"steps": [{"kind": "fee"}]},
                    },
                ),
                bottleneck_service(
                    "cashier", 370 / 45, {"charge": {"idempotent": False}}
                ),
                unsaturated_service(
                    "print-orders",
                    1,
                    370 / 45,
                    {"print": {"idempotent": False}},
                ),
                unsaturated_service(
                    "failure-domain-info",
                    1,
                    180 / 15,
                    {"area-info": {"service_ms": 0}},
                ),
            ),
            manifest=manifest(kinds),
        ),
        bottleneck="cashier",
        mix=LoadMix(
            critical={"renew": 1.0},
            others={"fees": 0.5, "fee": 0.5},
            keyed_kinds=frozenset(("renew",)),
        ),
        probe_kind="area-info",
    )
