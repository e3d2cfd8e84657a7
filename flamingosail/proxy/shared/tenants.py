"""Client accounts of a configuration, found by the key of a request."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import sha256

__all__ = ["Tenant", "TenantTable", "key_digest"]


def key_digest(key: bytes) -> bytes:
    """Return the digest under which a key is stored and looked up."""
    return sha256(key).digest()


@dataclass(frozen=True, slots=True, kw_only=True)
class Tenant:
    """A client account, the limits on its requests and its keys.

    ``priority`` precedes that of the route, 0 is the most important, None if
    the account has none. ``rate`` is in requests per second, 0 without a
    limit, and ``burst`` in requests. ``key_digests`` has the digest of each
    of its keys.
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    key_digests: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class TenantTable:
    """The client accounts of one version of the configuration."""

    by_name: Mapping[str, Tenant]
    by_digest: Mapping[bytes, Tenant]

    @classmethod
    def of(cls, tenants: Iterable[Tenant]) -> "TenantTable":
        """Return the table of some accounts.

        :raises ValueError: if two accounts have the same name, or two keys
            are the same. The message contains no key.
        """
        by_name: dict[str, Tenant] = {}
        by_digest: dict[bytes, Tenant] = {}
        for tenant in tenants:
            if tenant.name in by_name:
                raise ValueError(f"tenant {tenant.name!r} is listed twice")
            by_name[tenant.name] = tenant
            for digest in tenant.key_digests:
                holder = by_digest.setdefault(digest, tenant)
                if holder is not tenant:
                    raise ValueError(
                        f"tenants {holder.name!r} and {tenant.name!r} hold the"
                        " same key"
                    )
            if len(set(tenant.key_digests)) < len(tenant.key_digests):
                raise ValueError(
                    f"tenant {tenant.name!r} holds the same key twice"
                )
        return cls(by_name=by_name, by_digest=by_digest)

    def find(self, credential: bytes) -> Tenant | None:
        """Return the account that holds a key, None if no account does."""
        return self.by_digest.get(key_digest(credential))
