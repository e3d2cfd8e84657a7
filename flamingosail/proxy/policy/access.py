"""Which requests are allowed by the client accounts of a configuration.

A request to a route that is not public needs the key of an account. The calls
that the backend server of this VM makes while it runs a request need none:
the request that they belong to was allowed.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from flamingosail.proxy.shared.freshness import Freshness
from flamingosail.proxy.shared.routes import Route
from flamingosail.proxy.shared.routes import RouteTable
from flamingosail.proxy.shared.tenants import Tenant

__all__ = ["Access", "AccessPolicy", "Denial"]

# An unknown key is called unknown only while the proof of the configuration is
# younger than this share of the lease. Later, the key may have been added.
CERTAIN_LEASE_SHARE = 0.5


class Denial(StrEnum):
    """Why a request is not allowed; the values are metric labels."""

    NO_KEY = "no key"
    UNKNOWN_KEY = "unknown key"
    # The node cannot tell whether the request is allowed.
    OUTDATED = "the configuration may be outdated"
    UNKNOWN_PARENT = "call of an unknown request"

    @property
    def final(self) -> bool:
        """Whether the same request is not allowed later either."""
        return self in (Denial.NO_KEY, Denial.UNKNOWN_KEY)


@dataclass(frozen=True, slots=True)
class Access:
    """The client account of a request, or why it is not allowed."""

    tenant: Tenant | None = None
    denial: Denial | None = None


ALLOWED = Access()


class AccessPolicy:
    """Decides on the requests that enter at this node.

    ``behind_seconds`` returns for how long a newer configuration than the one
    in force has been known.
    """

    def __init__(
        self, *, freshness: Freshness, behind_seconds: Callable[[], float]
    ):
        self.freshness = freshness
        self.behind_seconds = behind_seconds

    def check(
        self,
        table: RouteTable,
        route: Route,
        *,
        credential: bytes | None,
        is_call: bool,
        names_parent: bool,
    ) -> Access:
        """Return the client account of a request, or the denial.

        ``is_call`` says that a request which runs at the backend server of
        this VM made it, ``names_parent`` that its id has the form of such a
        call. A restarted node does not know the requests that its server runs.
        """
        if table.tenants is None or route.public or is_call:
            return ALLOWED
        if not self.freshness.is_current():
            return Access(denial=Denial.OUTDATED)
        if not credential:
            if names_parent and credential is None:
                return Access(denial=Denial.UNKNOWN_PARENT)
            return Access(denial=Denial.NO_KEY)
        tenant = table.tenants.find(credential)
        if tenant is not None:
            return Access(tenant=tenant)
        if self.may_lack_keys():
            return Access(denial=Denial.OUTDATED)
        return Access(denial=Denial.UNKNOWN_KEY)

    def may_lack_keys(self) -> bool:
        """Return whether a newer configuration may have further keys."""
        if self.behind_seconds() > 0.0:
            return True
        freshness = self.freshness
        return freshness.required and (
            freshness.age_seconds()
            > freshness.lease_seconds * CERTAIN_LEASE_SHARE
        )
