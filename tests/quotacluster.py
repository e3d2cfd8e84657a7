"""Nodes that exchange quota tokens in memory, with failures of links."""

from collections import Counter
from random import Random
from types import SimpleNamespace

from twisted.internet.task import Clock

from flamingosail.proxy.nodemetrics import NodeMetrics
from flamingosail.proxy.shared.quotas import Draw
from flamingosail.proxy.shared.quotas import QuotaExchange
from flamingosail.proxy.shared.tenants import Tenant
from flamingosail.proxy.shared.tenants import TenantTable
from flamingosail.proxy.transport.hop import encode_frame
from flamingosail.proxy.transport.hop import FrameBuffer
from flamingosail.proxy.transport.hop import QuotaAsk
from flamingosail.proxy.transport.hop import QuotaGrant

TICK_SECONDS = 0.5
WINDOW_SECONDS = 5.0


def window_bound(tenant: Tenant) -> float:
    """Return how many requests of a tenant may be sent in a window."""
    return 1.1 * (tenant.rate * WINDOW_SECONDS + tenant.burst) + 20


def largest_window(times: list[float]) -> int:
    """Return the largest number of events in a window."""
    most = first = 0
    for last, time in enumerate(times):
        while times[first] <= time - WINDOW_SECONDS:
            first += 1
        most = max(most, last - first + 1)
    return most


class Link:
    """What one node knows of another, and the connection to it."""

    state = "ready"

    def __init__(self, cluster, source, target):
        self.cluster = cluster
        self.source = source
        self.target = target
        self.address = target.address
        self.failure_domain = target.failure_domain
        self.near = source.failure_domain == target.failure_domain
        self.connection = self

    @property
    def usable(self) -> bool:
        """Whether the other node seems to be reached."""
        return self.cluster.connected(self.source, self.target)

    def send(self, message):
        """Send a message over the link."""
        self.cluster.transmit(self.source, self.target, message)


class Node:
    """A node with its links.

    ``cut`` means that it reaches no other one, ``knows_members`` that it has
    learnt of all others; before, it only knows those of other domains.
    """

    def __init__(self, *, address: str, failure_domain: str):
        self.address = address
        self.failure_domain = failure_domain
        self.cut = False
        self.knows_members = True
        self.links = []
        self.quotas = None

    def known_links(self) -> list[Link]:
        """Return the links to the nodes that this one knows."""
        return [
            link for link in self.links if self.knows_members or not link.near
        ]


class Cluster:
    """Nodes in failure domains, on a clock that the test advances.

    ``sent`` has the times of granted requests, ``refused`` counts the others
    by tenant and Draw. ``loss`` is the share of messages that are lost,
    ``duplication`` of those that arrive twice, and ``delay`` how late they
    are in seconds.
    """

    def __init__(self, *, domains: dict[str, int], tenants: list[Tenant]):
        self.clock = Clock()
        self.clock.advance(100.0)
        self.random = Random(5)
        self.loss = 0.0
        self.duplication = 0.0
        self.delay = 0.0
        self.cut_domains = set()
        self.cut_links = set()
        self.messages = Counter()
        self.sent: dict[str, list[float]] = {}
        self.refused = Counter()
        self.retry_after = []
        self.set_tenants(tenants)
        self.nodes = [
            Node(address=f"{domain}{i}:80", failure_domain=domain)
            for domain, size in domains.items()
            for i in range(size)
        ]
        self.domains = tuple(domains)
        for node in self.nodes:
            node.links = [
                Link(self, node, other)
                for other in self.nodes
                if other is not node
            ]
            self.start(node, first_start=True)
        self.next_tick = self.clock.seconds()

    def start(self, node: Node, *, first_start: bool = False):
        """Start a node, which has forgotten all that it knew."""
        node.quotas = QuotaExchange(
            clock=self.clock,
            random=self.random,
            own_address=node.address,
            failure_domain=node.failure_domain,
            failure_domains=self.domains,
            first_start=first_start,
            peers=node.known_links,
            members_known=lambda: node.knows_members,
            metrics=NodeMetrics(),
        )
        node.quotas.on_decision = self.decided
        node.quotas.set_tenants(self.table)

    def set_tenants(self, tenants: list[Tenant]):
        """Put limits in force at all nodes."""
        self.tenants = {tenant.name: tenant for tenant in tenants}
        self.table = TenantTable.of(tenants)
        for node in getattr(self, "nodes", ()):
            node.quotas.set_tenants(self.table)

    def connected(self, one: Node, other: Node) -> bool:
        """Return whether messages between two nodes arrive."""
        return (
            not (one.cut or other.cut)
            and frozenset((one.address, other.address)) not in self.cut_links
            and (
                one.failure_domain == other.failure_domain
                or not self.cut_domains
                & {one.failure_domain, other.failure_domain}
            )
        )

    def transmit(self, source: Node, target: Node, message):
        """Deliver a message, unless it is lost."""
        self.messages[type(message).__name__] += 1
        if self.random.random() < self.loss:
            return
        copies = 1 + (self.random.random() < self.duplication)
        (message,) = FrameBuffer().feed(encode_frame(message))
        quotas = target.quotas
        for _ in range(copies):
            self.clock.callLater(
                self.random.random() * self.delay + 0.0002,
                lambda: (
                    self.connected(source, target)
                    and target.quotas is quotas
                    and self.deliver(source, target, message)
                ),
            )

    def deliver(self, source: Node, target: Node, message):
        """Handle a message at its target."""
        if isinstance(message, QuotaAsk):
            target.quotas.handle_ask(
                message, lambda reply: self.transmit(target, source, reply)
            )
        elif isinstance(message, QuotaGrant):
            target.quotas.handle_grant(message)

    def tick(self):
        """Update the views of all nodes, and ping."""
        for node in self.nodes:
            node.quotas.tick()
        for node in self.nodes:
            for link in node.known_links():
                other = link.target.quotas
                if link.near and link.usable:
                    lease = node.quotas.lease(other.handle_view, set())
                    if self.random.random() >= self.loss:
                        other.handle_lease(node.address, lease)

    def advance(self, seconds: float):
        """Let time pass, with the ticks in it."""
        end = self.clock.seconds() + seconds
        while self.next_tick <= end:
            self.clock.advance(self.next_tick - self.clock.seconds())
            self.tick()
            self.next_tick += TICK_SECONDS
        self.clock.advance(end - self.clock.seconds())

    def request(self, node: Node, name: str):
        """Let a client send a request of a tenant to a node."""
        tenant = self.tenants[name]
        request = SimpleNamespace(tenant=tenant, done=False)
        draw = node.quotas.draw(tenant, request)
        if draw is not Draw.WAITING:
            self.decided(request, draw, 0.0)

    def decided(self, request, draw: Draw, retry_after: float):
        """Record what became of a request."""
        name = request.tenant.name
        if draw is Draw.GRANTED:
            self.sent.setdefault(name, []).append(self.clock.seconds())
        else:
            self.refused[name, draw] += 1
            self.retry_after.append(retry_after)

    def play(
        self,
        rates: dict[str, float],
        seconds: float,
        nodes: list | None = None,
    ):
        """Send requests of each tenant at a rate, to random nodes."""
        step = 0.02
        due = dict.fromkeys(rates, 0.0)
        for _ in range(round(seconds / step)):
            for name, rate in rates.items():
                due[name] += rate * step * self.random.uniform(0.0, 2.0)
                while due[name] >= 1.0:
                    due[name] -= 1.0
                    self.request(self.random.choice(nodes or self.nodes), name)
            self.advance(step)

    def total_refused(self) -> int:
        """Return the number of refused requests."""
        return sum(self.refused.values())
