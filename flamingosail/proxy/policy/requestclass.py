"""Classes of root requests that are admitted and queued alike.

A class has the requests of one route. Those of client accounts with a
priority of their own are classes apart, one for each such priority.
"""

from flamingosail.proxy.policy.overload import route_key
from flamingosail.proxy.shared.routes import Route
from flamingosail.proxy.shared.routes import RouteTable
from flamingosail.proxy.shared.tenants import Tenant

__all__ = ["class_key", "class_priorities", "request_priority"]

# Priorities of routes that are distinguished within one of a client account.
ROUTE_PRIORITIES = 64


def class_key(route: Route, tenant: Tenant | None) -> int:
    """Return the key of a class, the same at all nodes."""
    if tenant is None or tenant.priority is None:
        return route_key(route.name)
    return route_key(f"{route.name}\n{tenant.priority}")


def request_priority(route: Route, tenant: Tenant | None) -> int:
    """Return the priority of a root request; that of its account precedes."""
    if tenant is None or tenant.priority is None:
        return route.priority
    return tenant.priority * ROUTE_PRIORITIES + min(
        route.priority, ROUTE_PRIORITIES - 1
    )


def class_priorities(table: RouteTable) -> dict[int, int]:
    """Return the priority of each class of a configuration by its key."""
    tenants = table.tenants.by_name.values() if table.tenants else ()
    # One account stands for all of its priority.
    representatives = {tenant.priority: tenant for tenant in tenants}
    return {
        class_key(route, tenant): request_priority(route, tenant)
        for paths in table.hosts.values()
        for route in paths.values()
        for tenant in (None, *representatives.values())
    }
