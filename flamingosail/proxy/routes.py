"""The routing configuration in force."""

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = [
    "ClientLimits",
    "Route",
    "RouteTable",
    "SplitBalance",
    "WeightedService",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """A service and its share of the requests of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where the requests below a path go and what may be done with them.

    ``timeout_seconds`` bounds how long a request is kept waiting,
    ``priority`` is its rank (0 is the most important) and ``max_attempts``
    the number of servers that may run one request.
    """

    name: str
    services: tuple[WeightedService, ...]
    idempotent: bool
    timeout_seconds: float
    priority: int
    max_attempts: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Bounds of what a client may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteTable:
    """One version of the configuration.

    ``hosts`` maps a host to its path prefixes; each begins and ends with a
    slash.
    """

    version: int
    hosts: Mapping[bytes, Mapping[bytes, Route]]
    limits: ClientLimits

    def find(self, host: bytes, target: bytes) -> Route | None:
        """Return the route with the longest prefix of the target's path."""
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


class SplitBalance:
    """Spreads the requests of routes over their services by weight.

    Smooth weighted round robin: after any number of requests each service is
    at most one request off its share.
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

    def forget(self):
        """Start anew, for another configuration."""
        self.credits.clear()
