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

# Refusals after which a retry would be useless or would add to an overload.
FINAL_REFUSALS = frozenset(
    (
        RefusalCode.OVERLOADED,
        RefusalCode.CANCELLED,
        RefusalCode.ATTEMPTS_EXHAUSTED,
        RefusalCode.DEADLINE_EXCEEDED,
    )
)


class Egress(Service):
    """Sends calls to backend servers, through their nodes or locally."""

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
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.calls: set[OutgoingCall] = set()
        self.attempts = 0
        self.retried = 0

    @property
    def in_flight(self) -> int:
        """Number of calls that have not ended."""
        return len(self.calls)

    def call(
        self, *, request: Request, kind: KindSpec, context: CallContext
    ) -> Deferred[Answer]:
        """Make one call and return its answer.

        The Deferred never fails. Cancelling it ends the call at this node;
        the server's node still completes a call that is not idempotent.
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

    def retry_budget(self, kind: KindSpec) -> RetryBudget:
        """Return the retry budget of the service of a kind."""
        budget = self.retry_budgets.get(kind.service)
        if budget is None:
            spec = self.service_spec(kind.service)
            budget = self.retry_budgets[kind.service] = RetryBudget.from_spec(
                spec
            )
        return budget

    def service_spec(self, service: str) -> ServiceSpec:
        """Return the settings of a service, defaults if it has none."""
        manifest = self.ingress.manifest.current
        if manifest is not None and service in manifest.services:
            return manifest.services[service]
        return ServiceSpec(name=service)

    def on_manifest(self, manifest):
        """Drop the retry budgets, whose settings may have changed."""
        self.retry_budgets.clear()

    def dump(self) -> dict:
        """Return counts of calls, attempts and retries."""
        return {
            "in_flight": len(self.calls),
            "attempts": self.attempts,
            "retried": self.retried,
            "pressure": self.pressure.dump(),
            "retry_tokens": {
                service: round(budget.tokens, 1)
                for service, budget in self.retry_budgets.items()
            },
        }


class OutgoingCall:
    """One call with its attempts, of which at most one is open at a time.

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
        self.tried_servers: frozenset[str] = frozenset()
        self.retry_count = 0
        self.attempt: Attempt | None = None
        self.timer = None
        self.retry_pending = False
        self.finished = False
        self.done: Deferred[Answer] = Deferred(self.on_cancelled)

    def start(self):
        """Set the deadline timer and start the first attempt."""
        clock = self.egress.clock
        remaining = self.context.remaining(clock.seconds())
        self.timer = clock.callLater(remaining, self.on_deadline)
        if remaining > 0:
            self.start_attempt()

    def start_attempt(self):
        """Send the call to a server, if possible one not tried yet."""
        if self.finished:
            return
        remaining = self.allowance.spend()
        if remaining is None:
            self.refuse(RefusalCode.ATTEMPTS_EXHAUSTED, "no attempts are left")
            return
        server = self.egress.router.choose(
            service=self.kind.service, exclude=self.tried_servers
        )
        if server is None:
            self.refuse(
                RefusalCode.NO_SERVER,
                f"no server of {self.kind.service} is known",
            )
            return
        self.allowance, allowance = remaining.split()
        self.tried_servers |= {server.incarnation}
        self.egress.attempts += 1
        self.attempt = Attempt(call=self, server=server, allowance=allowance)
        self.attempt.start()

    def on_attempt_ended(self, attempt: "Attempt", answer: Answer):
        """Retry the call if allowed, otherwise finish with the answer."""
        if self.attempt is not attempt:
            return
        self.attempt = None
        self.allowance = self.allowance.add(answer.allowance)
        self.verdict = max(self.verdict, answer.verdict)
        self.pressure = min(self.pressure, answer.pressure)
        self.egress.pressure.update(self.kind.name, answer.pressure)
        if answer.succeeded:
            self.egress.retry_budget(self.kind).record_success()
        if self.finished:
            return
        if self.is_retryable(answer) and self.request_retry(
            self.on_retry_decided, answer
        ):
            return
        self.finish(answer)

    def is_retryable(self, answer: Answer) -> bool:
        """Return whether the call may be sent again after this answer."""
        refusal = answer.refusal
        if refusal is None or refusal.code in FINAL_REFUSALS:
            return False
        return self.kind.idempotent or self.verdict is Verdict.NOT_RUN

    def request_retry(self, on_decision, *args) -> bool:
        """Request a retry from the root's entry node.

        Returns False without a request if the allowance or the retry budget
        is used up or the service is overloaded.
        """
        egress = self.egress
        if not self.allowance.calls:
            return False
        if egress.pressure.overloaded(self.kind.name):
            return False
        if not egress.retry_budget(self.kind).try_spend():
            return False
        self.retry_pending = True
        egress.retries.request_retry(
            self.context.root_address,
            self.context.root,
            lambda granted: on_decision(granted, *args),
        )
        return True

    def on_retry_decided(self, granted: bool, answer: Answer):
        """Retry after a backoff if granted, otherwise finish."""
        self.retry_pending = False
        if self.finished:
            return
        if not granted:
            self.finish(answer)
            return
        self.retry_count += 1
        self.egress.retried += 1
        delay = backoff(self.retry_count, self.egress.random)
        self.egress.clock.callLater(delay, self.start_attempt)

    def on_slow_attempt(self, attempt: "Attempt"):
        """Request a retry to replace an attempt without an answer."""
        if self.attempt is attempt and not self.retry_pending:
            self.request_retry(self.on_replacement_decided, attempt)

    def on_replacement_decided(self, granted: bool, attempt: "Attempt"):
        """If granted, abandon the slow attempt and start another one."""
        self.retry_pending = False
        if not granted or self.finished or self.attempt is not attempt:
            return
        self.abandon_attempt(failed=True)
        self.retry_count += 1
        self.egress.retried += 1
        self.start_attempt()

    def on_deadline(self):
        """Refuse the call because its deadline has passed."""
        self.abandon_attempt(failed=True)
        self.refuse(RefusalCode.DEADLINE_EXCEEDED, "the deadline has passed")

    def on_cancelled(self, deferred: Deferred):
        """End the call because the caller cancelled it."""
        self.abandon_attempt(failed=False)
        self.refuse(RefusalCode.CANCELLED, "the caller is gone")

    def abandon_attempt(self, *, failed: bool):
        """Abandon the open attempt, if there is one."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self.verdict = max(self.verdict, Verdict.MAY_HAVE_RUN)
            attempt.abandon(failed=failed)

    def refuse(self, code: RefusalCode, detail: str):
        """Finish with a refusal."""
        self.finish(refuse(code, self.verdict, detail))

    def finish(self, answer: Answer):
        """Fire the Deferred with the answer and the strongest verdict."""
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
    """Return a Deferred that has already fired with an answer."""
    done: Deferred[Answer] = Deferred()
    done.callback(answer)
    return done
