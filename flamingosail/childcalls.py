"""Child calls: calls that the node's own backend server makes."""

from twisted.internet.defer import Deferred

from flamingosail.allowance import Allowance
from flamingosail.context import CallContext
from flamingosail.context import MAX_DEPTH
from flamingosail.entry import fired
from flamingosail.entry import raise_refusal
from flamingosail.entry import RequestHandler
from flamingosail.entry import RequestRefused
from flamingosail.errors import RefusalCode
from flamingosail.ingress import Ingress
from flamingosail.keys import KeyEntry
from flamingosail.keys import KeyState
from flamingosail.manifest import KindSpec
from flamingosail.priority import LOWEST_PRIORITY
from flamingosail.request import Answer
from flamingosail.request import refuse
from flamingosail.request import Request
from flamingosail.verdict import Verdict
from flamingosail.work import InboundCall

__all__ = ["ChildCalls"]


class ChildCalls(RequestHandler):
    """Makes the child calls of requests that the backend server works on.

    A child call inherits the priority and the deadline of its parent and
    gets a part of its allowance.
    """

    name = "children"

    def __init__(self, *, ingress: Ingress, **shared):
        super().__init__(**shared)
        self.ingress = ingress

    def submit(self, request: Request, token: str | None) -> Deferred[Answer]:
        """Make a call for the node's own backend server.

        ``token`` names the request that the server works on; a call without
        one has the lowest priority and no retries. Calls for a request that
        has ended are refused, since its allowance has been given back.
        """
        try:
            kind = self.find_kind(request)
            if not token:
                return self.call_without_parent(request, kind)
            parent = self.ingress.serving.get(token)
            if parent is None:
                raise_refusal(
                    RefusalCode.NOT_ALLOWED,
                    "the request that the call belongs to has ended",
                )
            return self.call_child(request, kind, parent)
        except RequestRefused as ended:
            return fired(ended.answer)

    def call_without_parent(
        self, request: Request, kind: KindSpec
    ) -> Deferred[Answer]:
        """Make a call that belongs to no request."""
        if kind.key_required:
            raise_refusal(
                RefusalCode.NOT_ALLOWED,
                f"kind {kind.name} needs the context of a request",
            )
        root = self.new_root_id()
        context = CallContext(
            root=root,
            root_address=self.transport.address,
            priority=LOWEST_PRIORITY,
            deadline=self.clock.seconds() + self.timeout(request, kind),
            allowance=Allowance(kind.max_calls),
            depth=1,
            idempotent=kind.idempotent,
        )
        return self.egress.call(request=request, kind=kind, context=context)

    def call_child(
        self, request: Request, kind: KindSpec, parent: InboundCall
    ) -> Deferred[Answer]:
        """Make a child call of the request that the server works on."""
        if parent.context.depth >= MAX_DEPTH:
            raise_refusal(
                RefusalCode.NOT_ALLOWED, f"deeper than {MAX_DEPTH} calls"
            )
        if kind.idempotent:
            return self.call_with_retry_check(request, kind, parent)
        if parent.context.idempotent:
            raise_refusal(
                RefusalCode.NOT_ALLOWED,
                "an idempotent request may run again, so it cannot call "
                f"{kind.name}, which is not idempotent",
            )
        if request.key is None:
            raise_refusal(
                RefusalCode.KEY_REQUIRED,
                f"kind {kind.name} needs an Idempotency-Key",
            )
        return self.call_with_key(request, kind, parent)

    def call_with_retry_check(
        self, request: Request, kind: KindSpec, parent: InboundCall
    ) -> Deferred[Answer]:
        """Make a child call; if it repeats a failed one, request a retry.

        Cancelling the Deferred cancels the call, or refuses it as not run
        while the retry has not been granted.
        """
        if request.digest() not in parent.failed_digests:
            return self.start_child_call(request, kind, parent)
        child: Deferred[Answer] | None = None

        def cancel(deferred: Deferred[Answer]):
            if child is not None:
                child.cancel()
                return
            done.callback(
                refuse(
                    RefusalCode.CANCELLED,
                    Verdict.NOT_RUN,
                    "nobody waits for the answer",
                )
            )

        done: Deferred[Answer] = Deferred(cancel)

        def on_decision(granted: bool):
            nonlocal child
            if done.called:
                return
            if granted and parent.token in self.ingress.serving:
                child = self.start_child_call(request, kind, parent)
                child.chainDeferred(done)
                return
            done.callback(
                refuse(
                    RefusalCode.ATTEMPTS_EXHAUSTED,
                    Verdict.NOT_RUN,
                    "the request has ended or has used up its retries",
                )
            )

        self.retries.request_retry(
            parent.context.root_address, parent.context.root, on_decision
        )
        return done

    def call_with_key(
        self, request: Request, kind: KindSpec, parent: InboundCall
    ) -> Deferred[Answer]:
        """Make a child call with a key, at most once."""
        digest = request.digest()
        entry = parent.child_keys.get(request.key)
        if entry is None:
            entry = parent.child_keys[request.key] = KeyEntry(
                root=parent.context.root, digest=digest
            )
        if entry.digest != digest:
            raise_refusal(
                RefusalCode.KEY_REUSED, "the key belongs to another request"
            )
        if entry.state is KeyState.ANSWERED:
            return fired(entry.answer)
        done = self.join(entry, self.timeout(request, kind))
        if entry.state is KeyState.FRESH:
            entry.start_run()
            child = self.call_with_retry_check(request, kind, parent)
            child.addCallback(entry.finish)
        return done

    def start_child_call(
        self, request: Request, kind: KindSpec, parent: InboundCall
    ) -> Deferred[Answer]:
        """Make a call with a part of its parent's allowance."""
        now = self.clock.seconds()
        kept, lent = parent.allowance.split()
        parent.allowance = kept
        parent.child_started(now)
        context = parent.context
        done = self.egress.call(
            request=request,
            kind=kind,
            context=CallContext(
                root=context.root,
                root_address=context.root_address,
                priority=context.priority,
                deadline=min(
                    context.deadline, now + self.timeout(request, kind)
                ),
                allowance=lent,
                depth=context.depth + 1,
                idempotent=kind.idempotent,
            ),
        )
        if kind.idempotent:
            parent.child_calls.add(done)
        done.addCallback(self.on_child_ended, done, request, parent)
        return done

    def on_child_ended(
        self,
        answer: Answer,
        done: Deferred[Answer],
        request: Request,
        parent: InboundCall,
    ) -> Answer:
        """Return the unspent allowance to the parent; record a failure."""
        parent.child_calls.discard(done)
        parent.allowance = parent.allowance.add(answer.allowance)
        parent.pressure = min(parent.pressure, answer.pressure)
        parent.child_finished(self.clock.seconds())
        if not answer.succeeded:
            parent.failed_digests.add(request.digest())
        return answer
