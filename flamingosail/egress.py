"""Outgoing calls: choice of a server, retries, deadline, cancellation."""

from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from flamingosail.attempt import Attempt
from flamingosail.context import CallContext
from flamingosail.errors import RefusalCode
from flamingosail.exchange import Exchange
from flamingosail.ingress import Ingress
from flamingosail.kernel import Service
from flamingosail.manifest import KindSpec
from flamingosail.manifest import ServiceSpec
from flamingosail.pressure import PressureMap
from flamingosail.priority import PRIORITY_RANGE
from flamingosail.request import Answer
from flamingosail.request import refuse
from flamingosail.request import Request
from flamingosail.retry import backoff
from flamingosail.retry import RetryBudget
from flamingosail.retrypool import RetryPool
from flamingosail.routing import Router
from flamingosail.transport import Transport
from flamingosail.verdict import Verdict

__all__ = ["Egress", "OutgoingCall"]

# Refusals that another attempt cannot change, or must not burden.
FINAL_REFUSALS = frozenset(
    (
        RefusalCode.OVERLOADED,
        RefusalCode.CANCELLED,
        RefusalCode.ATTEMPTS_EXHAUSTED,
        RefusalCode.DEADLINE_EXCEEDED,
    )
)


class Egress(Service):
    """Carries calls to servers of other nodes or of this one."""

    name = "egress"

    def __init__(
        self,
        *,
        clock: IReactorTime,
        random: Random,
        transport: Transport,
        incarnation: str,
        exchange: Exchange,
        router: Router,
        retries: RetryPool,
        pressure: PressureMap,
        ingress: Ingress,
    ):
        self.clock = clock
        self.random = random
        self.transport = transport
        self.incarnation = incarnation
        self.exchange = exchange
        self.router = router
        self.retries = retries
        self.pressure = pressure
        self.ingress = ingress
        self.budgets: dict[str, RetryBudget] = {}
        self.calls: set[OutgoingCall] = set()
        self.attempts = 0
        self.retried = 0

    @property
    def in_flight(self) -> int:
        """Calls that have not ended."""
        return len(self.calls)

    def call(
        self, *, request: Request, kind: KindSpec, context: CallContext
    ) -> Deferred[Answer]:
        """Carry out one call and return its answer.

        The Deferred never fails. Cancelling it ends the call here; the
        server's node goes on with a call that is not idempotent.
        """
        if not self.pressure.admits(kind.name, context.priority):
            return _fired(
                refuse(
                    RefusalCode.OVERLOADED,
                    Verdict.NOT_RUN,
                    f"a service that {kind.name} needs is overloaded",
                    allowance=context.allowance,
                    pressure=max(1, int(self.pressure.threshold(kind.name))),
                )
            )
        call = OutgoingCall(
            egress=self, request=request, kind=kind, context=context
        )
        self.calls.add(call)
        call.start()
        return call.done

    def budget(self, kind: KindSpec) -> RetryBudget:
        """Return the retry budget towards the service of a kind."""
        budget = self.budgets.get(kind.service)
        if budget is None:
            spec = self.service_spec(kind.service)
            budget = self.budgets[kind.service] = RetryBudget.of(spec)
        return budget

    def service_spec(self, service: str) -> ServiceSpec:
        """Return the manifest's settings of a service."""
        manifest = self.ingress.manifest.current
        if manifest is not None and service in manifest.services:
            return manifest.services[service]
        return ServiceSpec(name=service)

    def on_manifest(self, manifest):
        """Forget the budgets, whose settings may have changed."""
        self.budgets.clear()

    def dump(self) -> dict:
        """Return counts of calls, attempts and retries."""
        return {
            "in_flight": len(self.calls),
            "attempts": self.attempts,
            "retried": self.retried,
            "pressure": self.pressure.dump(),
            "retry_tokens": {
                service: round(budget.tokens, 1)
                for service, budget in self.budgets.items()
            },
        }


class OutgoingCall:
    """One call with all its attempts, at most one of them open.

    ``verdict`` is the strongest verdict of any attempt so far.
    """

    def __init__(
        self,
        *,
        egress: Egress,
        request: Request,
        kind: KindSpec,
        context: CallContext,
    ):
        self.egress = egress
        self.request = request
        self.kind = kind
        self.context = context
        self.allowance = context.allowance
        self.verdict = Verdict.NOT_RUN
        self.pressure = PRIORITY_RANGE
        self.tried: frozenset[str] = frozenset()
        self.retries = 0
        self.attempt: Attempt | None = None
        self.timer = None
        self.waits_for_retry = False
        self.finished = False
        self.done: Deferred[Answer] = Deferred(self.on_cancelled)

    def start(self):
        """Set the deadline and make the first attempt."""
        clock = self.egress.clock
        remaining = self.context.remaining(clock.seconds())
        self.timer = clock.callLater(remaining, self.on_deadline)
        if remaining > 0:
            self.try_once()

    def try_once(self):
        """Send the call to a server that has not been tried yet."""
        if self.finished:
            return
        left = self.allowance.spend()
        if left is None:
            self.refuse(RefusalCode.ATTEMPTS_EXHAUSTED, "no attempts are left")
            return
        server = self.egress.router.choose(
            service=self.kind.service, exclude=self.tried
        )
        if server is None:
            self.refuse(
                RefusalCode.NO_SERVER,
                f"no server of {self.kind.service} is known",
            )
            return
        self.allowance, lent = left.lend()
        self.tried |= {server.incarnation}
        self.egress.attempts += 1
        self.attempt = Attempt(call=self, server=server, lent=lent)
        self.attempt.start()

    def on_attempt_ended(self, attempt: "Attempt", answer: Answer):
        """Finish, or retry if that is allowed."""
        if self.attempt is not attempt:
            return
        self.attempt = None
        self.allowance = self.allowance.add(answer.allowance)
        self.verdict = max(self.verdict, answer.verdict)
        self.pressure = min(self.pressure, answer.pressure)
        self.egress.pressure.update(self.kind.name, answer.pressure)
        if answer.succeeded:
            self.egress.budget(self.kind).succeeded()
        if self.finished:
            return
        if self.may_retry(answer) and self.ask_for_retry(
            self.on_retry_decided, answer
        ):
            return
        self.finish(answer)

    def may_retry(self, answer: Answer) -> bool:
        """Return whether the end of an attempt allows another one."""
        refusal = answer.refusal
        if refusal is None or refusal.code in FINAL_REFUSALS:
            return False
        return self.kind.idempotent or self.verdict is Verdict.NOT_RUN

    def ask_for_retry(self, decide, *args) -> bool:
        """Ask the root for a retry; return False if that is pointless."""
        egress = self.egress
        if not self.allowance.calls:
            return False
        if egress.pressure.overloaded(self.kind.name):
            return False
        if not egress.budget(self.kind).take():
            return False
        self.waits_for_retry = True
        egress.retries.ask(
            self.context.root_address,
            self.context.root,
            lambda granted: decide(granted, *args),
        )
        return True

    def on_retry_decided(self, granted: bool, answer: Answer):
        """Retry after a backoff, or give the answer that there is."""
        self.waits_for_retry = False
        if self.finished:
            return
        if not granted:
            self.finish(answer)
            return
        self.retries += 1
        self.egress.retried += 1
        delay = backoff(self.retries, self.egress.random)
        self.egress.clock.callLater(delay, self.try_once)

    def on_silent(self, attempt: "Attempt"):
        """Try elsewhere if an attempt has had no answer for long."""
        if self.attempt is attempt and not self.waits_for_retry:
            self.ask_for_retry(self.on_replacement_decided, attempt)

    def on_replacement_decided(self, granted: bool, attempt: "Attempt"):
        """Give an attempt up for another one."""
        self.waits_for_retry = False
        if not granted or self.finished or self.attempt is not attempt:
            return
        self.abandon_attempt(failed=True)
        self.retries += 1
        self.egress.retried += 1
        self.try_once()

    def on_deadline(self):
        """End the call because its time is up."""
        self.abandon_attempt(failed=True)
        self.refuse(RefusalCode.DEADLINE_EXCEEDED, "the deadline has passed")

    def on_cancelled(self, deferred: Deferred):
        """End the call because nobody waits for it any more."""
        self.abandon_attempt(failed=False)
        self.refuse(RefusalCode.CANCELLED, "the caller is gone")

    def abandon_attempt(self, *, failed: bool):
        """Give the open attempt up, if there is one."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self.verdict = max(self.verdict, Verdict.MAY_HAVE_RUN)
            attempt.abandon(failed=failed)

    def refuse(self, code: RefusalCode, detail: str):
        """Finish with a refusal."""
        self.finish(refuse(code, self.verdict, detail))

    def finish(self, answer: Answer):
        """Give the answer, with the verdict over all attempts."""
        if self.finished:
            return
        self.finished = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.egress.calls.discard(self)
        refusal = answer.refusal
        if refusal is not None and answer.verdict < self.verdict:
            answer = refuse(refusal.code, self.verdict, refusal.detail)
        self.done.callback(
            Answer(
                verdict=answer.verdict,
                status=answer.status,
                headers=answer.headers,
                body=answer.body,
                refusal=answer.refusal,
                allowance=self.allowance,
                pressure=min(self.pressure, answer.pressure),
            )
        )


def _fired(answer: Answer) -> Deferred[Answer]:
    """Return a Deferred that has fired with an answer."""
    done: Deferred[Answer] = Deferred()
    done.callback(answer)
    return done
