"""Routing configuration."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from flamingosail.proxy.shared.tenants import TenantTable

__all__ = [
    "ClientLimits",
    "Route",
    "RouteTable",
    "WeightedRoundRobin",
    "WeightedService",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """A service and the weight of its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How the requests under a path prefix are handled.

    A request is answered within ``timeout_seconds``. ``priority`` 0 is the
    most important. At most ``max_attempts`` servers may run one request.
    A ``public`` route needs no key of a client account. ``target_seconds`` is
    the time within which clients want a response, None if it is not stated.
    """

    name: str
    services: tuple[WeightedService, ...]
    idempotent: bool
    timeout_seconds: float
    priority: int
    max_attempts: int
    public: bool = False
    target_seconds: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Limits on the size and duration of a client's requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteTable:
    """One version of the configuration.

    ``hosts`` maps a host to its routes by path prefix; each prefix begins and
    ends with a slash. ``health_paths`` holds the paths of the services' health
    endpoints by service. ``tenants`` are the client accounts, None if requests
    need no key.
    """

    version: int
    hosts: Mapping[bytes, Mapping[bytes, Route]]
    limits: ClientLimits
    health_paths: Mapping[str, str] = field(default_factory=dict)
    tenants: TenantTable | None = None

    def find(self, host: bytes, target: bytes) -> Route | None:
        """Return the route with the longest prefix that matches the path."""
        prefixes = self.hosts.get(host)
        if prefixes is None:
            prefixes = self.hosts.get(host.lower().partition(b":")[0])
            if prefixes is None:
                return None
        path = target.partition(b"?")[0]
        end = path.rfind(b"/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None


class WeightedRoundRobin:
    """Distributes the requests of a route over its services by weight.

    Smooth weighted round robin: no service is ever a whole request ahead of
    its share. ``credits`` holds, by the name and services of a route, one
    number for each of these services. A service earns its weight with each
    request of the route; the one with the most credit gets the request and
    pays the sum of the weights.
    """

    def __init__(self):
        self.credits: dict[tuple, list[float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        services = route.services
        if len(services) == 1:
            return services[0].service
        key = (route.name, services)
        credits = self.credits.get(key)
        if credits is None:
            credits = self.credits[key] = [0.0] * len(services)
        total = 0.0
        best = 0
        for i, item in enumerate(services):
            credits[i] += item.weight
            total += item.weight
            if credits[i] > credits[best]:
                best = i
        credits[best] -= total
        return services[best].service

    def reset(self):
        """Discard the credits when the configuration changes."""
        self.credits.clear()
