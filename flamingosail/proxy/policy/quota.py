"""Quotas of tenants over all nodes, as tokens that are moved between nodes.

A tenant's rate and burst are divided evenly among the failure domains, and in
each domain among its nodes. Each node lends the share that is its own, tenant
by tenant, to one near node, the tenant's holder, which mints tokens with all
shares lent to it. A share is lent to one holder at a time, so that the shares
of all holders never exceed the whole, whichever nodes reach each other.

The first node of a request takes a token from its holder. A holder without
tokens borrows some from the tenant's holders in other failure domains. What is
given is gone from the giver's bucket before it is sent: a lost message loses
tokens and cannot create any.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from math import inf

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from flamingosail.proxy.shared.tenants import Tenant

__all__ = [
    "HolderBook",
    "HolderChoice",
    "Ledger",
    "NodeViews",
    "QuotaLease",
    "RecentRate",
    "SURPLUS_SECONDS",
    "node_id",
    "view_digest",
]

# Tokens that a first node has not spent expire this long after it asked for
# them. They are all from the last SURPLUS_SECONDS, so that they exceed the
# burst by at most the rate over this time: half of the 10% that the rule
# allows over its window of 5 s.
SURPLUS_SECONDS = 0.25
MAX_SURPLUS_TOKENS = 8.0
# A share counts for this long after the announcement that lent it. Near nodes
# are pinged at least every 1.5 s.
LEASE_SECONDS = 2.0
# A node does not lend a share to another holder before the lease of the former
# one has ended there, with a margin for messages on their way.
FORMER_VIEW_SECONDS = 2.5
# A near node stays in the view for this long after it was last reached, so
# that lost packets do not move the tenants that it holds.
UNREACHED_SECONDS = 1.0
# All holders together may hold so many tokens beyond the burst, so that a
# burst of less than a token in each domain can still be spent. It is half of
# what the rule allows beyond its window.
SPARE_TOKENS = 10.0
# A holder keeps the demand of its own failure domain over this time, except
# for requests that wait elsewhere.
RESERVE_SECONDS = 0.25
MAX_RETRY_AFTER_SECONDS = 1.0
MIN_RETRY_AFTER_SECONDS = 0.02
IDLE_SECONDS = 10.0
# The end of a lease is noticed within this time.
RECOUNT_SECONDS = 0.1
MAX_CACHED_VIEWS = 64
MAX_CACHED_CHOICES = 20_000
RATE_INTERVAL_SECONDS = 0.5

View = tuple[int, ...]


class QuotaLease(Struct, array_like=True, gc=False):
    """Lends the sender's share to the holders that its views agree on.

    ``known`` is the number of nodes that the sender knows in its failure
    domain, ``views`` are digests of the views that it has used lately.
    """

    known: int
    views: list[int]


@lru_cache(maxsize=4096)
def node_id(address: str) -> int:
    """Return the number by which nodes name the node at an address."""
    return xxh3_64_intdigest(address.encode())


@lru_cache(maxsize=256)
def view_digest(members: View) -> int:
    """Return a number that identifies a set of nodes."""
    return xxh3_64_intdigest(
        b"".join(member.to_bytes(8, "big") for member in members)
    )


class HolderChoice:
    """Rendezvous hashing of tenants over sets of nodes, with a cache."""

    def __init__(self):
        self.cache: dict[tuple[View, str], int] = {}

    def choose(self, members: View, tenant: str) -> int | None:
        """Return the holder of a tenant, None if there are no members."""
        key = (members, tenant)
        holder = self.cache.get(key)
        if holder is None and members:
            if len(self.cache) >= MAX_CACHED_CHOICES:
                self.cache.clear()
            name = tenant.encode()
            holder = self.cache[key] = max(
                members,
                key=lambda member: xxh3_64_intdigest(name, seed=member),
            )
        return holder


class RecentRate:
    """The mean rate of events over the last half to one second."""

    __slots__ = ("current", "previous", "started_at")

    def __init__(self, now: float):
        self.current = 0.0
        self.previous = 0.0
        self.started_at = now

    def add(self, amount: float, now: float):
        """Count events."""
        self.advance(now)
        self.current += amount

    def advance(self, now: float):
        """Begin a new interval if the current one has ended."""
        elapsed = now - self.started_at
        if elapsed >= RATE_INTERVAL_SECONDS:
            late = elapsed >= 2 * RATE_INTERVAL_SECONDS
            self.previous = 0.0 if late else self.current
            self.current = 0.0
            self.started_at = now

    def per_second(self, now: float) -> float:
        """Return the rate."""
        self.advance(now)
        return (self.previous + self.current) / (
            RATE_INTERVAL_SECONDS + now - self.started_at
        )


class NodeViews:
    """The set of near nodes among which this node chooses holders.

    ``current`` is the set in use, ``former`` has those that were replaced
    lately, with the time of that. ``lends_from`` is when this node begins to
    lend its share: infinite until it knows the other nodes.
    """

    def __init__(self, *, own_id: int):
        self.own_id = own_id
        self.lends_from = inf
        self.current: View = (own_id,)
        self.former: list[tuple[float, View]] = []
        self.reached_at: dict[int, float] = {}

    def update(
        self, reached: Iterable[int], leaving: Iterable[int], now: float
    ):
        """Use the near nodes that were reached lately and do not leave."""
        for member in reached:
            self.reached_at[member] = now
        for member in leaving:
            self.reached_at.pop(member, None)
        cutoff = now - UNREACHED_SECONDS
        self.reached_at = {
            member: at
            for member, at in self.reached_at.items()
            if at >= cutoff
        }
        members = tuple(sorted({self.own_id, *self.reached_at}))
        if members != self.current:
            if now >= self.lends_from:
                self.former.append((now, self.current))
            self.current = members

    def lent(self, now: float) -> list[View]:
        """Return the views that have to agree on a holder of the share."""
        if now < self.lends_from:
            return []
        cutoff = now - FORMER_VIEW_SECONDS
        self.former = [entry for entry in self.former if entry[0] > cutoff]
        return list(
            dict.fromkeys([self.current, *(view for _, view in self.former)])
        )


@dataclass(slots=True)
class Bucket:
    """The tokens of a tenant at its holder.

    ``share`` is the part of the failure domain's rate that fills it. Refused
    requests are asked to return at ``next_room``.
    """

    tenant: Tenant
    tokens: float
    updated_at: float
    share: float
    demand: RecentRate
    next_room: float = 0.0
    used_at: float = 0.0


class HolderBook:
    """Leases of shares, and the buckets of the tenants held here.

    ``domains`` is the number of failure domains. ``full_until`` is the time
    until which new buckets are full; later they hold what has been minted
    since the leases last changed.
    """

    def __init__(
        self,
        *,
        views: NodeViews,
        choice: HolderChoice,
        domains: int,
        full_until: float = -inf,
    ):
        self.views = views
        self.choice = choice
        self.domains = domains
        self.full_until = full_until
        self.known = 1
        self.known_views: dict[int, View] = {}
        # By node: when the lease ends, known nodes and digests of views.
        self.leases: dict[int, tuple[float, int, tuple[int, ...]]] = {}
        self.buckets: dict[str, Bucket] = {}
        self.counted: list[tuple[tuple[View, ...], int]] = []
        self.nodes = 1
        self.recount_at = -inf
        self.changed_at = -inf
        self.shares: dict[str, float] = {}

    # Leases.

    def learn_view(self, members: Iterable[int]):
        """Remember a set of nodes that later leases name by its digest."""
        members = tuple(sorted(members))
        if len(self.known_views) >= MAX_CACHED_VIEWS:
            named = {
                digest for lease in self.leases.values() for digest in lease[2]
            }
            self.known_views = {
                digest: view
                for digest, view in self.known_views.items()
                if digest in named
            }
        self.known_views[view_digest(members)] = members
        self.recount_at = -inf

    def accept_lease(self, node: int, lease: QuotaLease, now: float):
        """Count the share that a near node lends."""
        views = tuple(lease.views)
        former = self.leases.get(node)
        if former is not None and former[0] <= now:
            # Others may have had the share in between.
            self.recount(now)
            former = None
        self.leases[node] = (now + LEASE_SECONDS, lease.known, views)
        if former is None or former[1:] != (lease.known, views):
            self.recount_at = -inf

    def forget(self, now: float):
        """Drop all tokens and leases, whose age is unknown."""
        self.leases.clear()
        self.buckets.clear()
        self.full_until = -inf
        self.changed_at = now
        self.recount_at = -inf

    def recount(self, now: float):
        """Group the leases in force by their views."""
        self.leases = {
            node: lease
            for node, lease in self.leases.items()
            if lease[0] > now
        }
        counts: dict[tuple[View, ...], int] = {}
        own = tuple(self.views.lent(now))
        if own:
            counts[own] = 1
        nodes = self.known
        for _, known, digests in self.leases.values():
            nodes = max(nodes, known)
            views = tuple(self.known_views.get(item) for item in digests)
            if views and None not in views:
                counts[views] = counts.get(views, 0) + 1
        counted = sorted(counts.items())
        if (counted, nodes) != (self.counted, self.nodes):
            for bucket in self.buckets.values():
                self.fill(bucket, now)
            self.counted, self.nodes = counted, nodes
            self.shares.clear()
            if now > self.full_until:
                self.changed_at = now
            self.recount_at = now + RECOUNT_SECONDS
            for name, bucket in self.buckets.items():
                bucket.share = self.share(name, now)
                self.fill(bucket, now)
        self.recount_at = now + RECOUNT_SECONDS

    def share(self, tenant: str, now: float) -> float:
        """Return the part of the domain's rate that is lent to this node."""
        if now >= self.recount_at:
            self.recount(now)
        share = self.shares.get(tenant)
        if share is None:
            if len(self.shares) >= MAX_CACHED_CHOICES:
                self.shares.clear()
            lenders = sum(
                count
                for views, count in self.counted
                if all(
                    self.choice.choose(view, tenant) == self.views.own_id
                    for view in views
                )
            )
            share = self.shares[tenant] = min(1.0, lenders / self.nodes)
        return share

    # Tokens.

    def capacity(self, burst: float, share: float) -> float:
        """Return how many tokens a bucket may hold."""
        return share and max(
            burst / self.domains * share,
            min(1.0, SPARE_TOKENS / self.domains * share),
        )

    def fill(self, bucket: Bucket, now: float):
        """Mint the tokens since the last call."""
        tenant = bucket.tenant
        minted = tenant.rate / self.domains * bucket.share
        bucket.tokens = min(
            self.capacity(tenant.burst, bucket.share),
            bucket.tokens + minted * max(0.0, now - bucket.updated_at),
        )
        bucket.updated_at = now

    def bucket(self, tenant: Tenant, now: float) -> Bucket:
        """Return the bucket of a tenant, filled until now."""
        share = self.share(tenant.name, now)
        bucket = self.buckets.get(tenant.name)
        if bucket is None:
            since = inf if now <= self.full_until else now - self.changed_at
            tokens = tenant.rate / self.domains * share * since if share else 0
            bucket = self.buckets[tenant.name] = Bucket(
                tenant, tokens, now, share, RecentRate(now)
            )
        # A lower limit cuts the bucket at once.
        bucket.tenant = tenant
        self.fill(bucket, now)
        return bucket

    def take(
        self, tenant: Tenant, need: float, surplus: float, now: float
    ) -> float:
        """Take whole tokens: at most ``need``, or more if there are plenty.

        A surplus is only given from the upper half of the bucket.
        """
        bucket = self.bucket(tenant, now)
        bucket.used_at = now
        bucket.demand.add(need, now)
        given = min(need, bucket.tokens // 1)
        if given == need:
            half = self.capacity(tenant.burst, bucket.share) / 2
            room = max(0.0, bucket.tokens - given - half)
            given += min(surplus, room) // 1
        bucket.tokens -= given
        return given

    def lend(
        self, tenant: Tenant, need: float, surplus: float, now: float
    ) -> float:
        """Take tokens for another failure domain.

        Requests wait for ``need`` there; a surplus is only given from what
        this domain does not need soon itself.
        """
        bucket = self.bucket(tenant, now)
        given = min(need, bucket.tokens)
        kept = bucket.demand.per_second(now) * RESERVE_SECONDS
        given += min(surplus, max(0.0, bucket.tokens - given - kept))
        bucket.tokens -= given
        return given

    def shortage(self, tenant: Tenant, now: float) -> float:
        """Return how many tokens to borrow for what is asked here soon."""
        bucket = self.bucket(tenant, now)
        demand = bucket.demand.per_second(now)
        minted = tenant.rate / self.domains * bucket.share
        soon = max(0.0, demand - minted) * RESERVE_SECONDS
        return max(0.0, soon - bucket.tokens)

    def add(self, tenant: Tenant, tokens: float, now: float):
        """Add tokens that were borrowed or not spent."""
        bucket = self.bucket(tenant, now)
        bucket.tokens = min(
            self.capacity(tenant.burst, bucket.share), bucket.tokens + tokens
        )

    def distribute(
        self, tenant: Tenant, tokens: float, needs: list[float], now: float
    ) -> list[float]:
        """Add borrowed tokens and take whole ones for waiting requests.

        The requests come before the limit of the bucket applies.
        """
        bucket = self.bucket(tenant, now)
        bucket.tokens += tokens
        given = []
        for need in needs:
            given.append(min(need, bucket.tokens // 1))
            bucket.tokens -= given[-1]
        self.fill(bucket, now)
        return given

    def retry_after(self, tenant: Tenant, count: float, now: float) -> float:
        """Return in how many seconds refused requests should return.

        They are spread over the time in which the bucket gets tokens for
        them; the first of ``count`` requests gets this time.
        """
        bucket = self.bucket(tenant, now)
        interval = self.domains / tenant.rate
        wait = max(bucket.next_room, now) + interval - now
        bucket.next_room = now + min(
            MAX_RETRY_AFTER_SECONDS, wait + (count - 1) * interval
        )
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait))

    def prune(self, now: float):
        """Drop idle buckets that would be no fuller if made again."""
        for name, bucket in list(self.buckets.items()):
            if bucket.used_at < now - IDLE_SECONDS:
                self.fill(bucket, now)
                tenant = bucket.tenant
                minted = tenant.rate / self.domains * bucket.share
                if (
                    not bucket.share
                    or bucket.tokens >= minted * (now - self.changed_at)
                    or bucket.tokens
                    >= self.capacity(tenant.burst, bucket.share)
                ):
                    del self.buckets[name]


class Ledger:
    """The tokens of one tenant that a first node has and did not spend."""

    __slots__ = ("arrivals", "expires_at", "tokens")

    def __init__(self, now: float):
        self.tokens = 0.0
        self.expires_at = 0.0
        self.arrivals = RecentRate(now)

    def spend(self, now: float) -> bool:
        """Spend a token; return False if there is none."""
        if self.tokens < 1.0 or now >= self.expires_at:
            return False
        self.tokens -= 1.0
        return True

    def refund(self, now: float):
        """Take back a token that was spent at this very moment."""
        if now < self.expires_at:
            self.tokens += 1.0

    def wanted_surplus(self, now: float) -> float:
        """Return the requests to be expected until a surplus expires."""
        expected = self.arrivals.per_second(now) * SURPLUS_SECONDS
        return min(MAX_SURPLUS_TOKENS, expected // 1)

    def receive(
        self, tokens: float, asked_at: float, now: float, *, most: float
    ):
        """Add tokens that were asked for at ``asked_at``.

        ``most`` is the burst of the tenant in force.
        """
        if now >= self.expires_at:
            self.tokens = 0.0
        if now < asked_at + SURPLUS_SECONDS:
            self.tokens = min(max(1.0, most), self.tokens + tokens)
            self.expires_at = asked_at + SURPLUS_SECONDS
