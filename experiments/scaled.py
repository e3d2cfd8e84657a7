"""The two deployments, scaled so that one service is the bottleneck.

Slots are few and service times long, so that the backend servers reach
their limit long before the processors of one machine do. The ratio of
connections to slots is that of the deployments.
"""

from dataclasses import dataclass

from experiments.deployments import Deployment
from experiments.deployments import kind
from experiments.deployments import manifest
from experiments.deployments import ServiceShape

__all__ = ["LoadMix", "ScaledDeployment", "scaled_deployments"]

BOTTLENECK_SERVERS = 3
BOTTLENECK_SLOTS = 4
BOTTLENECK_MS = 100.0
UPSTREAM_MS = 4.0


@dataclass(frozen=True, slots=True)
class LoadMix:
    """Shares of kinds; ``keys`` names the kinds that need a key.

    ``critical`` and ``others`` each add up to 1.
    """

    critical: dict[str, float]
    others: dict[str, float]
    keys: frozenset[str]

    def rates(self, critical: float, others: float) -> dict[str, float]:
        """Return rates by kind for two sums of rates."""
        return {
            **{
                name: share * critical for name, share in self.critical.items()
            },
            **{name: share * others for name, share in self.others.items()},
        }


@dataclass(frozen=True, slots=True)
class ScaledDeployment:
    """A deployment whose roots all take one run at the bottleneck.

    ``probe_kind`` is a kind without service time at a service with one
    server, for the measurement of added latency.
    """

    deployment: Deployment
    bottleneck: str
    mix: LoadMix
    probe_kind: str

    @property
    def shape(self) -> ServiceShape:
        """The service that is the bottleneck."""
        return self.find(self.bottleneck)

    @property
    def probe_service(self) -> str:
        """The service of the probe kind."""
        return self.deployment.manifest["kinds"][self.probe_kind]["service"]

    @property
    def capacity(self) -> float:
        """Whole requests per second: slots / service time."""
        shape = self.shape
        return shape.servers * shape.slots / (shape.service_ms / 1000)

    def find(self, name: str) -> ServiceShape:
        """Return a service by name."""
        for shape in self.deployment.services:
            if shape.name == name:
                return shape
        raise KeyError(name)

    def importance(self, name: str) -> str:
        """Return the importance of a kind."""
        return self.deployment.manifest["kinds"][name]["importance"]


def scaled_deployments() -> dict[str, ScaledDeployment]:
    """Return both deployments by region."""
    return {
        "west-bengal": scaled_helmet_ledger(),
        "gulf-south": scaled_parking_discs(),
    }


def bottleneck(name: str, ratio: float, kinds: dict) -> ServiceShape:
    """Return the service that is the bottleneck."""
    return ServiceShape(
        name=name,
        servers=BOTTLENECK_SERVERS,
        slots=BOTTLENECK_SLOTS,
        connections=round(BOTTLENECK_SLOTS * ratio),
        service_ms=BOTTLENECK_MS,
        kinds=kinds,
    )


def upstream(
    name: str, servers: int, ratio: float, kinds: dict
) -> ServiceShape:
    """Return a service with slots to spare."""
    return ServiceShape(
        name=name,
        servers=servers,
        slots=60,
        connections=round(60 * ratio),
        service_ms=UPSTREAM_MS,
        kinds=kinds,
    )


def scaled_helmet_ledger() -> ScaledDeployment:
    """Return the deployment of Shirostran; retire-svc is the bottleneck."""
    kinds = {
        "gate-check": kind("gatekeeper", "critical"),
        "helmet-state": kind("histbook", "normal"),
        "retirement-state": kind("retire-svc", "normal"),
        "retire": kind("retire-svc", "critical", idempotent=False),
        "record-retirement": kind("histbook", "normal", idempotent=False),
        "reorder-state": kind("reorder-svc", "normal"),
    }
    record = {"kind": "record-retirement", "key": "record"}
    return ScaledDeployment(
        deployment=Deployment(
            region="west-bengal",
            failure_domains=("kolkata-n", "kolkata-s", "howrah-r"),
            services=(
                upstream(
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
                bottleneck(
                    "retire-svc",
                    1300 / 200,
                    {"retire": {"idempotent": False, "steps": [record]}},
                ),
                upstream(
                    "reorder-svc",
                    1,
                    1300 / 200,
                    {"reorder-state": {"service_ms": 0}},
                ),
                upstream(
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
            keys=frozenset(("retire",)),
        ),
        probe_kind="reorder-state",
    )


def scaled_parking_discs() -> ScaledDeployment:
    """Return the deployment of Bayou Parish; cashier is the bottleneck.

    Fees are added to its kinds, so that load below critical reaches the
    cashier too.
    """
    kinds = {
        "renew": kind("kiosk-portal", "critical", idempotent=False),
        "charge": kind("cashier", "critical", idempotent=False),
        "fees": kind("kiosk-portal", "high"),
        "fee": kind("cashier", "normal"),
        "print": kind("print-orders", "high", idempotent=False),
        "area-info": kind("failure-domain-info", "normal"),
    }
    charge = {"kind": "charge", "key": "charge"}
    return ScaledDeployment(
        deployment=Deployment(
            region="gulf-south",
            failure_domains=("gs-a", "gs-b", "gs-c", "gs-d"),
            services=(
                upstream(
                    "kiosk-portal",
                    2,
                    370 / 45,
                    {
                        "renew": {"idempotent": False, "steps": [charge]},
                        "fees": {"steps": [{"kind": "fee"}]},
                    },
                ),
                bottleneck(
                    "cashier", 370 / 45, {"charge": {"idempotent": False}}
                ),
                upstream(
                    "print-orders",
                    1,
                    370 / 45,
                    {"print": {"idempotent": False}},
                ),
                upstream(
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
            keys=frozenset(("renew",)),
        ),
        probe_kind="area-info",
    )
