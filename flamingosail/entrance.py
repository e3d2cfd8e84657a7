"""Entry point of requests from callers and from the own backend server."""

from twisted.internet.defer import Deferred

from flamingosail.allowance import Allowance
from flamingosail.childcalls import ChildCalls
from flamingosail.context import CallContext
from flamingosail.entry import fired
from flamingosail.entry import raise_refusal
from flamingosail.entry import RequestHandler
from flamingosail.entry import RequestRefused
from flamingosail.errors import RefusalCode
from flamingosail.errors import SendFailed
from flamingosail.exchange import answer_message
from flamingosail.exchange import Exchange
from flamingosail.ingress import Ingress
from flamingosail.keys import InvalidKey
from flamingosail.keys import Key
from flamingosail.keys import KeyEntry
from flamingosail.keys import KeyState
from flamingosail.keys import KeyTable
from flamingosail.manifest import KindSpec
from flamingosail.messages import Forward
from flamingosail.priority import root_priority
from flamingosail.request import Answer
from flamingosail.request import refuse
from flamingosail.request import Request
from flamingosail.verdict import Verdict

__all__ = ["Entrance"]


class Entrance(RequestHandler):
    """Starts root requests for callers; passes child calls to ChildCalls."""

    name = "entrance"

    def __init__(
        self,
        *,
        members,
        exchange: Exchange,
        keys: KeyTable,
        ingress: Ingress,
        children: ChildCalls,
        **shared,
    ):
        super().__init__(**shared)
        self.members = members
        self.exchange = exchange
        self.keys = keys
        self.ingress = ingress
        self.children = children
        self.closed = False
        self.requests = 0
        self.transport.add_handler(Forward, self.on_forward)

    def issue_key(self) -> str:
        """Return a new idempotency key of this node."""
        return self.keys.issue()

    def submit(self, request: Request) -> Deferred[Answer]:
        """Serve a caller's request and return its answer.

        The Deferred never fails: refusals are answers too. A caller that no
        longer waits cancels it.
        """
        self.requests += 1
        try:
            if request.key is not None:
                return self.submit_with_key(request)
            return self.submit_without_key(
                request, self.find_startable_kind(request)
            )
        except RequestRefused as refused:
            return fired(refused.answer)

    def find_startable_kind(self, request: Request) -> KindSpec:
        """Return the kind of a request that may start a run here.

        :raises RequestRefused: if the node is shutting down, has no manifest
            or does not know the kind.
        """
        if self.closed:
            raise_refusal(
                RefusalCode.SHUTTING_DOWN, "the node is shutting down"
            )
        return self.find_kind(request)

    # Requests without a key

    def submit_without_key(
        self, request: Request, kind: KindSpec
    ) -> Deferred[Answer]:
        """Serve a request whose repeats cannot be recognized."""
        if kind.key_required:
            raise_refusal(
                RefusalCode.KEY_REQUIRED,
                f"kind {kind.name} needs an Idempotency-Key issued by a node",
                key=self.issue_key(),
            )
        root = self.new_root_id()
        self.retries.open(root, kind.max_retries)
        done = self.call_root(request, kind, root, Allowance(kind.max_calls))
        done.addCallback(self.close_root, root)
        return done

    def close_root(self, answer: Answer, root: str) -> Answer:
        """Remove the retry pool of a root that has ended."""
        self.retries.close(root)
        return answer

    def call_root(
        self,
        request: Request,
        kind: KindSpec,
        root: str,
        allowance: Allowance,
    ) -> Deferred[Answer]:
        """Make the first call of a root request."""
        context = CallContext(
            root=root,
            root_address=self.transport.address,
            priority=root_priority(kind.importance, root),
            deadline=self.clock.seconds() + self.timeout(request, kind),
            allowance=allowance,
            depth=1,
            idempotent=kind.idempotent,
        )
        return self.egress.call(request=request, kind=kind, context=context)

    # Requests with a key

    def submit_with_key(self, request: Request) -> Deferred[Answer]:
        """Serve a request here or forward it to the owner of its key."""
        try:
            key = Key.parse(request.key)
            if key.incarnation == self.incarnation:
                self.keys.verify(key)
                return self.serve_owned_key(key, request)
        except InvalidKey as error:
            raise_refusal(
                RefusalCode.KEY_INVALID, str(error), key=self.issue_key()
            )
        try:
            kind = self.find_startable_kind(request)
        except RequestRefused as refused:
            # Only the owner knows whether the key has been used.
            refusal = refused.answer.refusal
            raise_refusal(
                refusal.code, refusal.detail, verdict=Verdict.MAY_HAVE_RUN
            )
        return self.forward(key, request, kind)

    def serve_owned_key(self, key: Key, request: Request) -> Deferred[Answer]:
        """Serve a request whose key this node owns.

        Starts a run, waits for a running one or returns the stored answer. The
        last two also work while no request may start.
        """
        state, entry = self.keys.get_or_create(key, request.digest())
        if state is KeyState.ANSWERED:
            return fired(entry.answer)
        if state is KeyState.RUNNING:
            return self.join(entry, self.wait_seconds(request))
        if state is not KeyState.FRESH:
            self.refuse_key(state)
        try:
            kind = self.find_startable_kind(request)
            self.reserve_run(entry, kind)
        except RequestRefused as refused:
            return fired(self.keys.refuse(refused.answer, entry))
        done = self.join(entry, self.timeout(request, kind))
        self.start_keyed_run(entry, request, kind)
        return done

    def reserve_run(self, entry: KeyEntry, kind: KindSpec):
        """Open the root's retry pool and use a retry for a repeated run.

        :raises RequestRefused: if no retries are left.
        """
        self.retries.open(entry.root, kind.max_retries)
        if entry.runs and not self.retries.try_spend(entry.root):
            raise_refusal(
                RefusalCode.ATTEMPTS_EXHAUSTED,
                "the request has used up its retries",
            )

    def wait_seconds(self, request: Request) -> float | None:
        """Return how many seconds a repeat waits for a running request.

        None if its kind is no longer in the manifest; the run has a deadline.
        """
        manifest = self.manifest.current
        kind = manifest.kinds.get(request.kind) if manifest else None
        return self.timeout(request, kind) if kind is not None else None

    def refuse_key(self, state: KeyState):
        """Refuse a request whose key cannot be used.

        :raises RequestRefused: always.
        """
        if state is KeyState.EXPIRED:
            raise_refusal(
                RefusalCode.KEY_EXPIRED,
                "the key is too old to know whether it was used",
                verdict=Verdict.MAY_HAVE_RUN,
                key=self.issue_key(),
            )
        if state is KeyState.REUSED:
            raise_refusal(
                RefusalCode.KEY_REUSED,
                "the key belongs to another request",
                key=self.issue_key(),
            )
        # The table keeps no entry for this refusal, so another submission of
        # the key may still run.
        raise_refusal(
            RefusalCode.OVERLOADED,
            "the key table is full",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    def start_keyed_run(
        self, entry: KeyEntry, request: Request, kind: KindSpec
    ):
        """Start a run for a key in state FRESH."""
        if entry.allowance is None:
            entry.allowance = Allowance(kind.max_calls)
        entry.start_run()
        entry.idempotent = kind.idempotent
        entry.call = self.call_root(request, kind, entry.root, entry.allowance)
        entry.call.addCallback(self.keys.finish, entry)

    def forward(
        self, key: Key, request: Request, kind: KindSpec
    ) -> Deferred[Answer]:
        """Forward a request to the node that owns its key."""
        owner = self.members.find(key.incarnation)
        if owner is None:
            return fired(self.owner_unreachable("is not known any more"))
        done: Deferred[Answer] = Deferred(lambda deferred: give_up("left"))
        timeout = self.timeout(request, kind)
        call_id = self.exchange.open_call(
            owner.incarnation,
            lambda answer: finish(answer),
            on_lost=lambda answer: give_up("is gone"),
        )
        timer = self.clock.callLater(
            timeout, lambda: give_up("did not answer")
        )

        def finish(answer: Answer):
            if timer.active():
                timer.cancel()
            done.callback(answer)

        def give_up(reason: str):
            self.exchange.close_call(call_id)
            finish(self.owner_unreachable(reason))

        message = Forward(
            sender=self.incarnation,
            reply_to=self.transport.address,
            call_id=call_id,
            target=owner.incarnation,
            remaining_ms=timeout * 1000,
            key=request.key,
            kind=request.kind,
            method=request.method,
            path=request.target,
            headers=request.headers,
            body=request.body,
        )
        try:
            self.transport.send(owner.address, message)
        except SendFailed:
            give_up("is not reachable")
        return done

    def owner_unreachable(self, reason: str) -> Answer:
        """Return the refusal for a key whose owner cannot be reached."""
        return refuse(
            RefusalCode.KEY_OWNER_UNREACHABLE,
            Verdict.MAY_HAVE_RUN,
            f"the node that issued the key {reason}",
            key=self.issue_key(),
        )

    def on_forward(self, message: Forward):
        """Serve a request that another node forwarded to the key's owner.

        A duplicate is dropped, so that a late one cannot run after the first
        copy ended as not-run.
        """
        replay = self.ingress.replay
        if not replay.accept(message.sender, message.call_id):
            return
        request = Request(
            kind=message.kind,
            method=message.method,
            target=message.path,
            headers=message.headers,
            body=message.body,
            key=message.key,
            timeout_ms=max(1, int(message.remaining_ms)),
        )
        try:
            if message.target != self.incarnation:
                raise_refusal(
                    RefusalCode.KEY_OWNER_UNREACHABLE,
                    "the node that issued the key was restarted",
                    verdict=Verdict.MAY_HAVE_RUN,
                )
            done = self.submit(request)
        except RequestRefused as refused:
            done = fired(refused.answer)
        done.addCallback(self.answer_forward, message)

    def answer_forward(self, answer: Answer, message: Forward):
        """Return the answer of a request to the node that forwarded it."""
        reply = answer_message(
            answer,
            sender=self.incarnation,
            to=message.sender,
            call_id=message.call_id,
            draining=self.ingress.draining,
        )
        try:
            self.transport.send(message.reply_to, reply)
        except SendFailed:
            # The caller repeats the key and then gets the stored answer.
            return

    def submit_child(
        self, request: Request, token: str | None
    ) -> Deferred[Answer]:
        """Make a child call of the own backend server; see ChildCalls."""
        return self.children.submit(request, token)

    def dump(self) -> dict:
        """Return the number of requests and whether the entrance is closed."""
        return {"requests": self.requests, "closed": self.closed}
