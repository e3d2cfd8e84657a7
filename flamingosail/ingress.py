"""Admission, queueing and dispatch of calls for the own backend server."""

from collections.abc import Callable
from random import Random

from twisted.internet.interfaces import IReactorTime

from flamingosail.admission import AdmissionControl
from flamingosail.allowance import Allowance
from flamingosail.backend import Announcement
from flamingosail.backend import Backend
from flamingosail.callqueue import CallQueue
from flamingosail.context import CallContext
from flamingosail.errors import RefusalCode
from flamingosail.errors import SendFailed
from flamingosail.exchange import answer_message
from flamingosail.kernel import Service
from flamingosail.limit import ConcurrencyLimit
from flamingosail.messages import Call
from flamingosail.messages import Cancel
from flamingosail.pause import PauseMonitor
from flamingosail.priority import PRIORITY_RANGE
from flamingosail.replay import ReplayWindow
from flamingosail.request import Answer
from flamingosail.request import refuse
from flamingosail.request import Request
from flamingosail.transport import Transport
from flamingosail.verdict import Verdict
from flamingosail.work import InboundCall

__all__ = ["Ingress"]

TOKEN_BITS = 128
# Calls with less time left than this fraction of the usual own time are not
# started.
MIN_TIME_FRACTION = 0.9
# A server that has slowed to a third needs all its slots; fewer concurrent
# calls would not make it faster.
SLOW_CALL_FACTOR = 4.0
TIMEOUT_CODES = frozenset(
    (RefusalCode.CANCELLED, RefusalCode.DEADLINE_EXCEEDED)
)


class Ingress(Service):
    """Admits, queues and dispatches calls for the backend server."""

    name = "ingress"

    def __init__(
        self,
        *,
        clock: IReactorTime,
        random: Random,
        transport: Transport,
        incarnation: str,
        backend: Backend,
        manifest,
        admission: AdmissionControl,
        limit: ConcurrencyLimit,
        replay: ReplayWindow,
        pause: PauseMonitor,
    ):
        self.clock = clock
        self.random = random
        self.transport = transport
        self.incarnation = incarnation
        self.backend = backend
        self.manifest = manifest
        self.admission = admission
        self.limit = limit
        self.replay = replay
        self.pause = pause
        self.queue = CallQueue(clock=clock, on_drop=self.on_drop)
        self.announcement: Announcement | None = None
        self.draining = False
        self.closed = False
        self.server_lost = False
        self.on_outcome: Callable[[Answer], None] = lambda answer: None
        self.serving: dict[str, InboundCall] = {}
        self.remote_calls: dict[tuple[str, int], InboundCall] = {}
        self.served = 0
        # Requests being served and waiting, as reported by the backend server.
        self.load_report: tuple[int, int] | None = None
        transport.add_handler(Call, self.on_call)
        transport.add_handler(Cancel, self.on_cancel)

    @property
    def in_flight(self) -> int:
        """Number of calls that are queued or at the backend server."""
        return len(self.queue) + len(self.serving)

    def announce(self, announcement: Announcement):
        """Use the backend server that announced itself."""
        self.announcement = announcement
        self.server_lost = False
        self.backend.connect(announcement)
        self.limit.configure(
            slots=announcement.slots, connections=announcement.connections
        )

    def mark_server_lost(self):
        """Refuse queued and new calls until a server is announced."""
        self.server_lost = True
        while (call := self.queue.pop()) is not None:
            self.refuse(
                call, RefusalCode.NO_SERVER, "the backend server is gone"
            )
        self.admission.queued = self.queue.lengths()

    def on_call(self, message: Call):
        """Handle a call from another node, unless it is a duplicate."""
        if not self.replay.accept(message.sender, message.call_id):
            return
        call_key = (message.sender, message.call_id)
        if message.target != self.incarnation:
            refusal = refuse(
                RefusalCode.WRONG_INCARNATION,
                Verdict.NOT_RUN,
                "the call is for another incarnation of this node",
                allowance=Allowance(message.calls),
            )
            self.send_answer(message.reply_to, call_key, refusal)
            return
        call = self.make_call(message, call_key)
        self.remote_calls[call_key] = call
        self.submit(call)

    def make_call(
        self, message: Call, call_key: tuple[str, int]
    ) -> InboundCall:
        """Return the call of a message, whose answer goes to its sender."""
        remaining = message.remaining_ms / 1000 - self.pause.read_delay()
        context = CallContext(
            root=message.root,
            root_address=message.root_address,
            priority=min(max(message.priority, 0), PRIORITY_RANGE - 1),
            deadline=self.clock.seconds() + remaining,
            allowance=Allowance(max(message.calls, 0)),
            depth=message.depth,
            idempotent=message.idempotent,
        )
        request = Request(
            kind=message.kind,
            method=message.method,
            target=message.path,
            headers=message.headers,
            body=message.body,
        )

        def reply(answer: Answer):
            self.remote_calls.pop(call_key, None)
            self.send_answer(message.reply_to, call_key, answer)

        return InboundCall(
            request=request,
            context=context,
            reply=reply,
            trust_refusal=self.trusts_refusal(message.kind),
        )

    def trusts_refusal(self, kind: str) -> bool:
        """Return whether refusals of a kind prove that it did not run."""
        manifest = self.manifest.current
        spec = manifest.kinds.get(kind) if manifest else None
        return spec is not None and spec.trust_refusal

    def send_answer(
        self, address: str, call_key: tuple[str, int], answer: Answer
    ):
        """Send an answer to the node that made the call.

        ``call_key`` is the calling incarnation and its call id.
        """
        message = answer_message(
            answer,
            sender=self.incarnation,
            to=call_key[0],
            call_id=call_key[1],
            draining=self.draining or self.server_lost,
        )
        try:
            self.transport.send(address, message)
        except SendFailed:
            # The calling node ends the call at its deadline.
            return

    def submit(self, call: InboundCall):
        """Admit, queue or refuse a call."""
        if self.announcement is None or self.closed or self.server_lost:
            code = (
                RefusalCode.SHUTTING_DOWN
                if self.closed
                else RefusalCode.NO_SERVER
            )
            self.refuse(call, code, "no backend server takes calls here")
            return
        remaining = call.deadline - self.clock.seconds()
        if remaining <= 0:
            self.refuse(call, RefusalCode.DEADLINE_EXCEEDED, "arrived late")
            return
        if not self.admission.admits(call.priority):
            self.refuse(call, RefusalCode.OVERLOADED, "priority refused")
            return
        if (
            self.expected_wait_seconds(call) + self.min_service_seconds()
            > remaining
        ):
            self.refuse(call, RefusalCode.OVERLOADED, "wait exceeds deadline")
            return
        if not self.queue.push(call):
            self.refuse(call, RefusalCode.OVERLOADED, "the queue is full")
            return
        self.dispatch()

    def expected_wait_seconds(self, call: InboundCall) -> float:
        """Return the seconds that a call is expected to wait in the queue."""
        ahead = self.queue.ahead_of(call.priority)
        if not ahead:
            return 0.0
        return ahead * self.limit.latency / max(1.0, self.limit.limit)

    def min_service_seconds(self) -> float:
        """Return the time in seconds that a call needs to be answered in time.

        It is 0 while no call is at the server, so that the next call corrects
        an estimate that has become too high.
        """
        return MIN_TIME_FRACTION * self.limit.latency if self.serving else 0.0

    def dispatch(self):
        """Send queued calls to the backend server up to its limit."""
        while self.queue.size and self.limit.has_capacity:
            call = self.queue.pop()
            if call is None:
                break
            remaining = call.deadline - self.clock.seconds()
            if remaining < self.min_service_seconds():
                self.refuse(
                    call, RefusalCode.DEADLINE_EXCEEDED, "too little time left"
                )
                continue
            self.serve(call)
        self.admission.queued = self.queue.lengths()
        self.admission.slots = max(1.0, self.limit.limit)

    def serve(self, call: InboundCall):
        """Send one call to the backend server."""
        now = self.clock.seconds()
        self.admission.record_dispatch()
        self.limit.started()
        call.dispatched_at = now
        call.token = f"{self.random.getrandbits(TOKEN_BITS):x}"
        self.serving[call.token] = call
        call.pending_answer = self.backend.serve(
            request=call.request,
            token=call.token,
            timeout=call.deadline - now,
        )
        call.pending_answer.addCallbacks(
            self.on_served,
            self.on_serve_error,
            callbackArgs=(call,),
            errbackArgs=(call,),
        )

    def on_serve_error(self, failure, call: InboundCall):
        """Turn an unexpected error of the backend client into a refusal."""
        detail = f"the backend client failed: {failure.getErrorMessage()}"
        self.on_served(
            refuse(RefusalCode.BAD_ANSWER, Verdict.MAY_HAVE_RUN, detail), call
        )

    def on_served(self, answer: Answer, call: InboundCall):
        """Handle the end of a call at the backend server."""
        del self.serving[call.token]
        now = self.clock.seconds()
        if call.open_children:
            call.child_wait_seconds += now - call.waiting_since
        own_seconds = max(
            0.0, now - call.dispatched_at - call.child_wait_seconds
        )
        refused = answer.refusal is not None
        failed = refused and self.indicates_overload(
            answer, own_seconds, now - call.dispatched_at
        )
        self.limit.finished(own_seconds=own_seconds, failed=failed)
        if not refused:
            self.admission.record_completion()
            self.admission.service_seconds = self.limit.latency
            self.served += 1
        # Before the reply, which may cause an immediate retry.
        self.on_outcome(answer)
        call.reply(self.final_answer(answer, call))
        call.cancel_children()
        self.dispatch()

    def indicates_overload(
        self, answer: Answer, own_seconds: float, elapsed: float
    ) -> bool:
        """Return whether a refusal indicates that the server is overloaded.

        A call that ran out of time or was cancelled indicates nothing if its
        own time was not unusually long: it arrived late, or waited for child
        calls. The own time must also exceed half of ``elapsed``, since that of
        a server that mostly waits is milliseconds, which noise alone doubles.
        """
        if answer.refusal.code not in TIMEOUT_CODES:
            return True
        usual = SLOW_CALL_FACTOR * self.limit.latency
        return own_seconds > max(usual, elapsed / 2)

    def final_answer(self, answer: Answer, call: InboundCall) -> Answer:
        """Return an answer with the proven verdict, allowance and pressure."""
        verdict = answer.verdict
        if verdict is Verdict.NOT_RUN and not self.proves_not_run(
            answer, call
        ):
            verdict = Verdict.MAY_HAVE_RUN
        refusal = answer.refusal
        if refusal is not None and refusal.verdict is not verdict:
            answer = refuse(refusal.code, verdict, refusal.detail)
        return Answer(
            verdict=verdict,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            refusal=answer.refusal,
            allowance=call.allowance,
            pressure=min(call.pressure, self.admission.threshold),
        )

    def proves_not_run(self, answer: Answer, call: InboundCall) -> bool:
        """Return whether a not-run verdict of the backend client is proven.

        A server that made child calls has started the request, whatever its
        answer says.
        """
        if call.child_count:
            return False
        refusal = answer.refusal
        connection = RefusalCode.CONNECTION_LOST
        if refusal is not None and refusal.code is connection:
            return True
        return call.trust_refusal

    def refuse(self, call: InboundCall, code: RefusalCode, detail: str):
        """Refuse a call that was not sent to the backend server."""
        call.reply(
            refuse(
                code,
                Verdict.NOT_RUN,
                detail,
                allowance=call.allowance,
                pressure=min(call.pressure, self.admission.threshold),
            )
        )

    def on_drop(self, call: InboundCall, expired: bool):
        """Refuse a call that the queue dropped before its dispatch."""
        if expired:
            code, detail = RefusalCode.DEADLINE_EXCEEDED, "expired in queue"
        else:
            code, detail = RefusalCode.OVERLOADED, "displaced in queue"
        self.refuse(call, code, detail)

    def on_cancel(self, message: Cancel):
        """Cancel a call whose sender no longer waits."""
        call = self.remote_calls.get((message.sender, message.call_id))
        if call is not None:
            self.cancel(call)

    def cancel(self, call: InboundCall):
        """Cancel a call, unless it may have started and is not idempotent."""
        if call.cancelled:
            return
        if not call.token:
            call.cancelled = True
            self.refuse(call, RefusalCode.CANCELLED, "cancelled in queue")
        elif call.context.idempotent:
            call.cancelled = True
            self.backend.cancel(call.token)
            call.cancel_children()

    def dump(self) -> dict:
        """Return the state of the ingress and its parts."""
        announcement = self.announcement
        return {
            "service": announcement.service if announcement else None,
            "draining": self.draining,
            "serving": len(self.serving),
            "served": self.served,
            "load_report": self.load_report,
            "duplicates": self.replay.duplicates,
            "queue": self.queue.dump(),
            "limit": self.limit.dump(),
            "admission": self.admission.dump(),
        }
