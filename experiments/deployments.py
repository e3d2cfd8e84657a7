"""Deployments that the experiments run, as plain data."""

from dataclasses import dataclass
from dataclasses import field

__all__ = ["Deployment", "ServiceSpec", "helmet_ledger", "parking_discs"]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service: the number of its servers and their configuration.

    Each server runs ``slots`` requests at a time, accepts ``connections``
    connections and takes ``service_ms`` for a request. ``kinds`` maps a
    kind to how the stand-in backend server runs it, for example with which
    child calls (``steps``).
    """

    name: str
    servers: int
    slots: int
    connections: int
    service_ms: float
    kinds: dict = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Deployment:
    """Services, the failure domains of their region, and the manifest."""

    region: str
    failure_domains: tuple[str, ...]
    services: tuple[ServiceSpec, ...]
    manifest: dict


def helmet_ledger(*, service_ms: float = 5.0) -> Deployment:
    """Return the deployment of Shirostran Safety Labs.

    A gate check goes to gatekeeper, which calls histbook, which calls
    retire-svc: three servers deep.
    """
    kinds = {
        "browse": kind("histbook", "normal"),
        "gate-check": kind("gatekeeper", "critical"),
        "helmet-state": kind("histbook", "normal"),
        "retirement-state": kind("retire-svc", "normal"),
        "retire": kind("retire-svc", "critical", idempotent=False),
        "reorder": kind("reorder-svc", "high", idempotent=False),
        "record-retirement": kind("histbook", "normal", idempotent=False),
    }
    return Deployment(
        region="west-bengal",
        failure_domains=("kolkata-n", "kolkata-s", "howrah-r"),
        services=(
            ServiceSpec(
                name="histbook",
                servers=4,
                slots=150,
                connections=1000,
                service_ms=service_ms,
                kinds={
                    "helmet-state": {"steps": [{"kind": "retirement-state"}]},
                    "record-retirement": {"idempotent": False},
                },
            ),
            ServiceSpec(
                name="retire-svc",
                servers=3,
                slots=200,
                connections=1300,
                service_ms=service_ms,
                kinds={
                    "retire": {
                        "idempotent": False,
                        "steps": [
                            {"kind": "record-retirement", "key": "record"}
                        ],
                    }
                },
            ),
            ServiceSpec(
                name="reorder-svc",
                servers=3,
                slots=200,
                connections=1300,
                service_ms=service_ms,
                kinds={"reorder": {"idempotent": False}},
            ),
            ServiceSpec(
                name="gatekeeper",
                servers=3,
                slots=20,
                connections=200,
                service_ms=service_ms,
                kinds={"gate-check": {"steps": [{"kind": "helmet-state"}]}},
            ),
        ),
        manifest=manifest(kinds),
    )


def parking_discs(*, service_ms: float = 5.0) -> Deployment:
    """Return the deployment of the Bayou Parish Parking Authority.

    On a permit status, kiosk-portal calls failure-domain-info; on a renewal
    it calls cashier.
    """
    common = {"servers": 4, "slots": 45, "connections": 370}
    kinds = {
        "permit-status": kind("kiosk-portal", "high"),
        "area-info": kind("failure-domain-info", "normal"),
        "renew": kind("kiosk-portal", "critical", idempotent=False),
        "charge": kind("cashier", "critical", idempotent=False),
        "print": kind("print-orders", "high", idempotent=False),
    }
    return Deployment(
        region="gulf-south",
        failure_domains=("gs-a", "gs-b", "gs-c", "gs-d"),
        services=(
            ServiceSpec(
                name="kiosk-portal",
                service_ms=service_ms,
                kinds={
                    "permit-status": {"steps": [{"kind": "area-info"}]},
                    "renew": {
                        "idempotent": False,
                        "steps": [{"kind": "charge", "key": "charge"}],
                    },
                },
                **common,
            ),
            ServiceSpec(
                name="print-orders",
                service_ms=service_ms,
                kinds={"print": {"idempotent": False}},
                **common,
            ),
            ServiceSpec(
                name="cashier",
                service_ms=service_ms,
                kinds={"charge": {"idempotent": False}},
                **common,
            ),
            ServiceSpec(
                name="failure-domain-info",
                servers=4,
                slots=15,
                connections=180,
                service_ms=service_ms,
            ),
        ),
        manifest=manifest(kinds),
    )


def kind(
    service: str,
    importance: str,
    *,
    idempotent: bool = True,
    timeout_ms: int = 2000,
) -> dict:
    """Return the manifest entry of one kind."""
    return {
        "service": service,
        "importance": importance,
        "idempotent": idempotent,
        "timeout_ms": timeout_ms,
    }


def manifest(kinds: dict[str, dict]) -> dict:
    """Return a manifest with the given kinds and the services they name."""
    services = sorted({spec["service"] for spec in kinds.values()})
    return {"services": {name: {} for name in services}, "kinds": kinds}
