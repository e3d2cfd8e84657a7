"""Exchange of quota tokens between nodes; see ``proxy.policy.quota``.

The first node of a request asks the tenant's holder in its failure domain for
a token. Requests that arrive in one turn of the reactor ask together. If the
holder does not answer, the first node asks the holders in other failure
domains for tokens that they can spare.
"""

from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from enum import auto
from enum import Enum
from functools import partial
from math import inf
from random import Random

from logbook import Logger

from flamingosail.proxy.nodemetrics import NodeMetrics
from flamingosail.proxy.policy.quota import HolderBook
from flamingosail.proxy.policy.quota import HolderChoice
from flamingosail.proxy.policy.quota import Ledger
from flamingosail.proxy.policy.quota import MAX_RETRY_AFTER_SECONDS
from flamingosail.proxy.policy.quota import node_id
from flamingosail.proxy.policy.quota import NodeViews
from flamingosail.proxy.policy.quota import QuotaLease
from flamingosail.proxy.policy.quota import view_digest
from flamingosail.proxy.shared.tenants import Tenant
from flamingosail.proxy.shared.tenants import TenantTable
from flamingosail.proxy.transport.hop import QuotaAsk
from flamingosail.proxy.transport.hop import QuotaGrant
from flamingosail.proxy.transport.hop import QuotaView

__all__ = ["Draw", "QuotaExchange"]

# A round trip takes about 0.2 ms in a failure domain and a few milliseconds
# between them.
ANSWER_SECONDS = 0.1
# A holder that got nothing from other failure domains waits this long before
# it borrows again.
BORROW_PAUSE_SECONDS = 0.1
# After a refusal, a first node collects the requests of the tenant for this
# long before it asks again, so that one tenant far over its quota does not
# occupy its holder.
REFUSED_PAUSE_SECONDS = 0.05
# A node that starts lends its share after this time at the earliest, since
# the leases of its former process have to end.
START_SECONDS = 3.0
FIRST_START_SECONDS = 1.0
# Nor does it lend before it knows the other nodes, and has given those that do
# not know it yet this time to connect to it.
JOIN_SECONDS = 1.0
LOG_INTERVAL_SECONDS = 10.0
LOGGED_TENANTS = 10
# Further tenants share the label "other".
MAX_LABELS = 100
# A jump of the time since boot against the steady clock by this much means
# that the machine was suspended.
SUSPENDED_SECONDS = 0.2

log = Logger("proxy.quotas")


class Draw(Enum):
    """Whether a request may be sent.

    GRANTED: it has a token. WAITING: the decision follows. OVER: the tenant's
    quota is used up. UNKNOWN: no holder has answered.
    """

    GRANTED = auto()
    WAITING = auto()
    OVER = auto()
    UNKNOWN = auto()


@dataclass(slots=True, kw_only=True)
class TenantDraws:
    """The requests of a tenant that wait for a token at their first node.

    ``asked`` is how many of the waiting requests the ask in progress is for;
    0 if none is. ``domains`` are the other failure domains that are left to
    ask. ``retry_after`` is None until a holder has answered. The next ask is
    sent at ``ask_after`` at the earliest.
    """

    tenant: Tenant
    ledger: Ledger
    waiting: deque = field(default_factory=deque)
    asked: int = 0
    asked_at: float = 0.0
    domains: list[str] = field(default_factory=list)
    retry_after: float | None = None
    ask_after: float = 0.0


@dataclass(slots=True, kw_only=True)
class Loan:
    """Tokens that a holder is borrowing for a tenant.

    ``entries`` are the asks that wait for them: the tokens asked for, those
    given already, and the function that gets the answer.
    """

    tenant: Tenant
    entries: list[tuple[float, float, Callable]] = field(default_factory=list)
    unanswered: int = 0
    tokens: float = 0.0


class QuotaExchange:
    """Draws tokens for requests, and answers the asks of other nodes.

    ``peers`` returns the known nodes. ``failure_domains`` are the names of
    all failure domains. ``members_known`` returns whether ``peers`` has all
    nodes; nothing is lent before, since the share of this node depends on
    their number. ``on_decision`` is called with a request that waited,
    a Draw and the seconds for Retry-After. ``boot_time`` returns the seconds
    since boot with those in which the machine was suspended.
    """

    def __init__(
        self,
        *,
        clock,
        random: Random,
        own_address: str,
        failure_domain: str,
        failure_domains: Iterable[str],
        first_start: bool,
        peers: Callable[[], Iterable],
        metrics: NodeMetrics,
        members_known: Callable[[], bool] = lambda: True,
        boot_time: Callable[[], float] | None = None,
    ):
        self.clock = clock
        self.random = random
        self.failure_domain = failure_domain
        self.other_domains = sorted(set(failure_domains) - {failure_domain})
        self.peers = peers
        self.members_known = members_known
        self.metrics = metrics
        self.boot_time = boot_time or clock.seconds
        self.on_decision: Callable = lambda request, draw, retry_after: None
        self.tenants: TenantTable | None = None
        now = clock.seconds()
        start = FIRST_START_SECONDS if first_start else START_SECONDS
        self.earliest_lending = now + start
        self.own_id = node_id(own_address)
        self.choice = HolderChoice()
        self.views = NodeViews(own_id=self.own_id)
        self.book = HolderBook(
            views=self.views,
            choice=self.choice,
            domains=1 + len(self.other_domains),
            full_until=now + START_SECONDS if first_start else -inf,
        )
        self.by_id: dict[int, object] = {}
        self.far_views: dict[str, tuple[int, ...]] = {}
        self.draws: dict[str, TenantDraws] = {}
        self.loans: dict[str, Loan] = {}
        self.borrow_after: dict[str, float] = {}
        # By number: when the ask was sent, and the function for the answer.
        self.unanswered: dict[int, tuple[float, Callable]] = {}
        self.last_number = 0
        self.outbox: dict[tuple[int, bool], list] = {}
        self.asking: list[TenantDraws] = []
        self.flush_timer = None
        self.answer_timer = None
        self.clock_offset = self.boot_time() - now
        self.lent_tokens = 0.0
        self.borrowed_tokens = 0.0
        self.granted: dict[str, int] = {}
        self.refused: dict[str, int] = {}
        self.labels: set[str] = set()
        self.logged_at = now

    # State of the nodes.

    def set_tenants(self, tenants: TenantTable | None):
        """Use the tenants of a new configuration."""
        self.tenants = tenants

    def tick(self):
        """Update the set of near nodes; must be called twice a second."""
        now = self.clock.seconds()
        self.check_suspended(now)
        near = 0
        reached: list[int] = []
        leaving: list[int] = []
        far: dict[str, list[int]] = {}
        self.by_id.clear()
        for peer in self.peers():
            identity = node_id(str(peer.address))
            self.by_id[identity] = peer
            # One that was never reached may be in this failure domain.
            near += peer.near or not peer.failure_domain
            if peer.state == "leaving":
                leaving.append(identity)
            elif peer.usable and peer.near:
                reached.append(identity)
            elif peer.usable:
                far.setdefault(peer.failure_domain, []).append(identity)
        self.far_views = {
            domain: tuple(sorted(members)) for domain, members in far.items()
        }
        if self.views.lends_from == inf and self.members_known():
            self.views.lends_from = max(
                self.earliest_lending, now + JOIN_SECONDS
            )
        self.views.update(reached, leaving, now)
        self.book.known = 1 + near
        self.book.recount(now)
        if now - self.logged_at >= LOG_INTERVAL_SECONDS:
            self.logged_at = now
            self.log_use()
            self.prune(now)

    def check_suspended(self, now: float):
        """Drop all tokens if the machine was suspended.

        Its leases have ended elsewhere meanwhile, and the steady clock does
        not show it.
        """
        offset = self.boot_time() - now
        if offset - self.clock_offset > SUSPENDED_SECONDS:
            log.warning(
                "quota tokens dropped",
                extra={"suspended": round(offset - self.clock_offset, 3)},
            )
            self.book.forget(now)
            for draws in self.draws.values():
                draws.ledger.expires_at = 0.0
        self.clock_offset = offset

    def prune(self, now: float):
        """Drop the state of tenants without traffic."""
        self.book.prune(now)
        for name, draws in list(self.draws.items()):
            if not draws.waiting and not draws.ledger.arrivals.per_second(now):
                del self.draws[name]
        self.borrow_after = {
            name: at for name, at in self.borrow_after.items() if at > now
        }

    def log_use(self):
        """Log the tenants with the most refused requests at this node."""
        most = sorted(self.refused, key=self.refused.get, reverse=True)
        for name in most[:LOGGED_TENANTS]:
            tenant = self.tenants and self.tenants.by_name.get(name)
            log.info(
                "quota used up",
                extra={
                    "tenant": name,
                    "granted": self.granted.get(name, 0),
                    "refused": self.refused[name],
                    "seconds": LOG_INTERVAL_SECONDS,
                    "rate": tenant.rate if tenant else None,
                    "burst": tenant.burst if tenant else None,
                },
            )
        self.granted.clear()
        self.refused.clear()

    def lease(self, send: Callable, sent: set[int]) -> QuotaLease | None:
        """Return the lease for a near node; None without tenants.

        ``sent`` has the digests of the views that were sent to it with
        ``send`` before.
        """
        if self.tenants is None:
            return None
        digests = []
        for view in self.views.lent(self.clock.seconds()):
            digest = view_digest(view)
            digests.append(digest)
            if digest not in sent:
                sent.add(digest)
                send(QuotaView(list(view)))
        return QuotaLease(self.book.known, digests)

    def handle_view(self, message: QuotaView):
        """Remember a set of nodes that leases name."""
        self.book.learn_view(message.members)

    def handle_lease(self, address: str, lease: QuotaLease):
        """Count the share of a near node."""
        self.book.accept_lease(node_id(address), lease, self.clock.seconds())

    # First node.

    def draw(self, tenant: Tenant, request) -> Draw:
        """Take a token for a request, or ask for one.

        ``request.done`` tells whether a waiting request has ended.
        """
        now = self.clock.seconds()
        self.check_suspended(now)
        draws = self.draws.get(tenant.name)
        if draws is None:
            draws = self.draws[tenant.name] = TenantDraws(
                tenant=tenant, ledger=Ledger(now)
            )
        draws.tenant = tenant
        draws.ledger.arrivals.add(1, now)
        if not draws.waiting:
            if draws.ledger.spend(now):
                self.count_granted(tenant.name)
                return Draw.GRANTED
            if self.holder_of(tenant) == self.own_id and self.book.take(
                tenant, 1, 0, now
            ):
                draws.ledger.expires_at = 0.0
                self.borrow_ahead(tenant, now)
                self.count_granted(tenant.name)
                return Draw.GRANTED
        draws.waiting.append(request)
        if not draws.asked:
            self.ask_soon(draws)
        return Draw.WAITING

    def refund(self, tenant: Tenant):
        """Take back a token of a request that is not sent after all.

        It must be called in the turn in which the token was granted.
        """
        now = self.clock.seconds()
        draws = self.draws.get(tenant.name)
        if draws is not None and draws.ledger.expires_at > now:
            draws.ledger.refund(now)
        elif self.holder_of(tenant) == self.own_id:
            self.book.add(tenant, 1, now)

    def holder_of(self, tenant: Tenant) -> int:
        """Return the node that holds a tenant in this failure domain."""
        return self.choice.choose(self.views.current, tenant.name)

    def ask_soon(self, draws: TenantDraws):
        """Ask for the waiting requests, at the end of this turn if allowed."""
        draws.asked = -1
        delay = draws.ask_after - self.clock.seconds()
        if delay > 0:
            self.clock.callLater(delay, self.add_ask, draws)
        else:
            self.add_ask(draws)

    def add_ask(self, draws: TenantDraws):
        """Ask for the waiting requests at the end of this turn."""
        self.asking.append(draws)
        self.flush_soon()

    def flush_soon(self):
        """Send the messages of this turn at its end."""
        if self.flush_timer is None:
            self.flush_timer = self.clock.callLater(0, self.flush)

    def flush(self):
        """Ask for waiting requests, and send the messages of this turn."""
        self.flush_timer = None
        now = self.clock.seconds()
        asking, self.asking = self.asking, []
        for draws in asking:
            draws.waiting = deque(
                request for request in draws.waiting if not request.done
            )
            draws.asked = len(draws.waiting)
            if draws.asked:
                draws.asked_at = now
                draws.retry_after = None
                draws.domains = self.random.sample(
                    self.other_domains, len(self.other_domains)
                )
                self.ask_holder(draws, now)
        outbox, self.outbox = self.outbox, {}
        for (identity, borrow), entries in outbox.items():
            peer = self.by_id.get(identity)
            if peer is not None and peer.connection is not None:
                peer.connection.send(QuotaAsk(borrow, entries))

    def ask_holder(self, draws: TenantDraws, now: float):
        """Ask the holder in this failure domain."""
        holder = self.holder_of(draws.tenant)
        surplus = draws.ledger.wanted_surplus(now)
        on_answer = partial(self.handle_answer, draws)
        if holder == self.own_id:
            self.hold(draws.tenant, draws.asked, surplus, on_answer, now)
        elif not self.ask(
            holder, draws.tenant, draws.asked, surplus, on_answer, now
        ):
            self.ask_other_domain(draws, now)

    def ask_other_domain(self, draws: TenantDraws, now: float):
        """Ask the holder in the next failure domain, or refuse."""
        while draws.domains:
            holder = self.far_holder(draws.domains.pop(), draws.tenant)
            if holder is not None and self.ask(
                holder,
                draws.tenant,
                draws.asked,
                0.0,
                partial(self.handle_answer, draws, from_far=True),
                now,
                borrow=True,
            ):
                self.flush_soon()
                return
        self.end_ask(draws, now)

    def handle_answer(
        self,
        draws: TenantDraws,
        tokens: float,
        retry_after: float | None,
        *,
        from_far: bool = False,
    ):
        """Use the tokens of a holder; ``retry_after`` is None without answer.

        Other failure domains are only asked if the holder of this one cannot
        tell, since it would have borrowed there itself.
        """
        now = self.clock.seconds()
        answered = retry_after is not None and retry_after >= 0
        draws.ledger.receive(
            tokens, draws.asked_at, now, most=draws.tenant.burst
        )
        served = self.serve(draws, now)
        draws.asked = max(0, draws.asked - served)
        if answered:
            draws.retry_after = retry_after
        if draws.asked and (from_far or not answered):
            self.ask_other_domain(draws, now)
        else:
            self.end_ask(draws, now)

    def serve(self, draws: TenantDraws, now: float) -> int:
        """Grant the waiting requests tokens; return how many were tried."""
        served = 0
        while draws.waiting:
            request = draws.waiting[0]
            if not request.done:
                if not draws.ledger.spend(now):
                    break
                self.count_granted(draws.tenant.name)
            draws.waiting.popleft()
            served += 1
            if not request.done:
                self.decide(request, Draw.GRANTED, 0.0)
        return served

    def decide(self, request, draw: Draw, retry_after: float):
        """Go on with a request that has waited.

        An error in its handling must not keep the other requests of its
        tenant waiting, nor close the connection to the holder.
        """
        try:
            self.on_decision(request, draw, retry_after)
        except Exception:
            log.exception("request failed after it waited for its quota")

    def end_ask(self, draws: TenantDraws, now: float):
        """Refuse the requests of an ask that got no token."""
        name = draws.tenant.name
        refused = min(draws.asked, len(draws.waiting))
        requests = [draws.waiting.popleft() for _ in range(refused)]
        draws.asked = 0
        if refused:
            draws.ask_after = now + REFUSED_PAUSE_SECONDS
        if draws.waiting:
            self.ask_soon(draws)
        interval = self.book.domains / draws.tenant.rate
        wait = draws.retry_after
        for request in requests:
            if request.done:
                continue
            if wait is None:
                self.metrics.count("quota_unknown", self.label(name))
                self.decide(request, Draw.UNKNOWN, 0.0)
                continue
            self.refused[name] = self.refused.get(name, 0) + 1
            self.metrics.count("quota_refused", self.label(name))
            self.decide(request, Draw.OVER, wait)
            wait = min(MAX_RETRY_AFTER_SECONDS, wait + interval)

    # Messages.

    def ask(
        self,
        identity: int,
        tenant: Tenant,
        need: float,
        surplus: float,
        on_answer: Callable,
        now: float,
        *,
        borrow: bool = False,
    ) -> bool:
        """Ask a node for tokens; return False if it cannot be reached.

        ``on_answer`` is called once, after ANSWER_SECONDS at the latest.
        """
        peer = self.by_id.get(identity)
        if peer is None or not peer.usable:
            return False
        self.last_number += 1
        number = self.last_number
        self.unanswered[number] = (now, on_answer)
        self.outbox.setdefault((identity, borrow), []).append(
            (number, tenant.name, need, surplus)
        )
        if self.answer_timer is None:
            self.answer_timer = self.clock.callLater(
                ANSWER_SECONDS, self.expire_asks
            )
        return True

    def expire_asks(self):
        """Go on without the answers that are late."""
        self.answer_timer = None
        now = self.clock.seconds()
        for number, (asked_at, on_answer) in list(self.unanswered.items()):
            if asked_at > now - ANSWER_SECONDS + 1e-6:
                break
            if self.unanswered.pop(number, None) is not None:
                on_answer(0.0, None)
        if self.unanswered and self.answer_timer is None:
            oldest = next(iter(self.unanswered.values()))[0]
            self.answer_timer = self.clock.callLater(
                max(0.001, oldest + ANSWER_SECONDS - now), self.expire_asks
            )

    def handle_grant(self, message: QuotaGrant):
        """Use the tokens of another node; late ones are lost."""
        for number, tokens, retry_after in message.entries:
            ask = self.unanswered.pop(number, None)
            if ask is not None and tokens >= 0:
                ask[1](tokens, retry_after)

    def handle_ask(self, message: QuotaAsk, send: Callable):
        """Answer another node with ``send``, at once where possible."""
        now = self.clock.seconds()
        self.check_suspended(now)
        answers: list[tuple[int, float, float]] = []
        in_turn = True

        def answer(number: int, tokens: float, retry_after: float):
            if in_turn:
                answers.append((number, tokens, retry_after))
            else:
                send(QuotaGrant([(number, tokens, retry_after)]))

        for number, name, need, surplus in message.entries:
            tenant = self.tenants and self.tenants.by_name.get(name)
            if tenant is None:
                answer(number, 0.0, -1.0)
            elif not tenant.rate:
                answer(number, need, 0.0)
            elif message.borrow:
                tokens = self.book.lend(tenant, need, surplus, now)
                self.lent_tokens += tokens
                answer(number, tokens, MAX_RETRY_AFTER_SECONDS)
            else:
                self.hold(tenant, need, surplus, partial(answer, number), now)
        in_turn = False
        if answers:
            send(QuotaGrant(answers))

    # Holder.

    def hold(
        self,
        tenant: Tenant,
        need: float,
        surplus: float,
        answer: Callable,
        now: float,
    ):
        """Give tokens to a near node, borrowing some if there are too few."""
        given = self.book.take(tenant, need, surplus, now)
        if given >= need:
            answer(given, 0.0)
            self.borrow_ahead(tenant, now)
            return
        loan = self.loans.get(tenant.name)
        if loan is None:
            loan = self.borrow(tenant, need - given, now)
        if loan is None:
            self.answer_short(tenant, need, given, answer, now)
        else:
            loan.entries.append((need, given, answer))

    def answer_short(
        self,
        tenant: Tenant,
        need: float,
        given: float,
        answer: Callable,
        now: float,
    ):
        """Give fewer tokens than were asked for."""
        wait = 0.0
        if given < need and not self.book.share(tenant.name, now):
            # A holder without shares has just started, or has just become the
            # holder; it does not know whether the quota is used up.
            wait = -1.0
        elif given < need:
            wait = self.book.retry_after(tenant, need - given, now)
        answer(given, wait)

    def borrow_ahead(self, tenant: Tenant, now: float):
        """Borrow before the bucket of a tenant is empty."""
        if (
            self.other_domains
            and tenant.name not in self.loans
            and self.borrow_after.get(tenant.name, 0.0) <= now
            and self.book.shortage(tenant, now) >= 1.0
        ):
            self.borrow(tenant, 0.0, now)

    def borrow(
        self, tenant: Tenant, missing: float, now: float
    ) -> Loan | None:
        """Ask the other failure domains for tokens; None if not possible."""
        if self.borrow_after.get(tenant.name, 0.0) > now:
            return None
        holders = [
            holder
            for domain in self.other_domains
            if (holder := self.far_holder(domain, tenant)) is not None
        ]
        if not holders:
            return None
        loan = Loan(tenant=tenant)
        ahead = self.book.shortage(tenant, now) / len(holders)
        # Each is asked for a little more than its part, so that another one
        # may have less.
        part = min(missing, missing / len(holders) + 1.0)
        for holder in holders:
            loan.unanswered += self.ask(
                holder,
                tenant,
                part,
                ahead,
                partial(self.handle_loan, loan),
                now,
                borrow=True,
            )
        if not loan.unanswered:
            return None
        self.flush_soon()
        self.loans[tenant.name] = loan
        return loan

    def far_holder(self, domain: str, tenant: Tenant) -> int | None:
        """Return the holder of a tenant in another failure domain."""
        return self.choice.choose(self.far_views.get(domain, ()), tenant.name)

    def handle_loan(
        self, loan: Loan, tokens: float, retry_after: float | None
    ):
        """Add borrowed tokens; after the last answer, serve who waits."""
        loan.tokens += tokens
        loan.unanswered -= 1
        if loan.unanswered:
            return
        now = self.clock.seconds()
        tenant = loan.tenant
        del self.loans[tenant.name]
        self.borrowed_tokens += loan.tokens
        if loan.tokens < 1.0:
            self.borrow_after[tenant.name] = now + BORROW_PAUSE_SECONDS
        missing = [need - given for need, given, _ in loan.entries]
        added = self.book.distribute(tenant, loan.tokens, missing, now)
        for (need, given, answer), more in zip(
            loan.entries, added, strict=True
        ):
            self.answer_short(tenant, need, given + more, answer, now)

    # Metrics.

    def count_granted(self, name: str):
        """Count a request that may be sent, for the log."""
        self.granted[name] = self.granted.get(name, 0) + 1

    def label(self, name: str) -> str:
        """Return the metric label of a tenant; their number is bounded."""
        if name not in self.labels:
            if len(self.labels) >= MAX_LABELS:
                return "other"
            self.labels.add(name)
        return name
