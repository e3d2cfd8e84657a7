"""Calls for the node's own backend server."""

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
from flamingosail.work import Work

__all__ = ["Ingress"]

TOKEN_BITS = 128
# Calls with less time than this share of the usual own time are not begun.
LEAST_TIME_SHARE = 0.9
# A server that has slowed to a third needs all its slots; fewer calls at a
# time would not make it faster.
SLOW_CALL_FACTOR = 4.0
OUT_OF_TIME = frozenset((RefusalCode.CANCELLED, RefusalCode.DEADLINE_EXCEEDED))


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
        self.lost = False
        self.on_outcome: Callable[[Answer], None] = lambda answer: None
        self.serving: dict[str, Work] = {}
        self.remote: dict[tuple[str, int], Work] = {}
        self.served = 0
        # Requests in service and waiting, as the backend server says.
        self.load_report: tuple[int, int] | None = None
        transport.add_handler(Call, self.on_call)
        transport.add_handler(Cancel, self.on_cancel)

    @property
    def in_flight(self) -> int:
        """Calls that are queued or at the backend server."""
        return len(self.queue) + len(self.serving)

    def announce(self, announcement: Announcement):
        """Use the backend server that announced itself."""
        self.announcement = announcement
        self.lost = False
        self.backend.connect(announcement)
        self.limit.configure(
            slots=announcement.slots, connections=announcement.connections
        )

    def lose_server(self):
        """Refuse queued and new calls until a server is announced."""
        self.lost = True
        while (work := self.queue.pop()) is not None:
            self.refuse(
                work, RefusalCode.NO_SERVER, "the backend server is gone"
            )
        self.admission.queued = self.queue.lengths()

    def on_call(self, message: Call):
        """Take a call from another node."""
        if not self.replay.accept(message.sender, message.call_id):
            return
        call = (message.sender, message.call_id)
        if message.target != self.incarnation:
            refusal = refuse(
                RefusalCode.WRONG_INCARNATION,
                Verdict.NOT_RUN,
                "the call is for another incarnation of this node",
                allowance=Allowance(message.calls),
            )
            self.send_answer(message.reply_to, call, refusal)
            return
        work = self.work_of(message, call)
        self.remote[call] = work
        self.submit(work)

    def work_of(self, message: Call, call: tuple[str, int]) -> Work:
        """Return the work that a message asks for."""
        remaining = message.remaining_ms / 1000 - self.pause.waited()
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
            self.remote.pop(call, None)
            self.send_answer(message.reply_to, call, answer)

        return Work(
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

    def send_answer(self, address: str, call: tuple[str, int], answer: Answer):
        """Send an answer to the node that made the call."""
        message = answer_message(
            answer,
            sender=self.incarnation,
            to=call[0],
            call_id=call[1],
            draining=self.draining or self.lost,
        )
        try:
            self.transport.send(address, message)
        except SendFailed:
            # The caller's node ends the call at its deadline.
            return

    def submit(self, work: Work):
        """Admit, queue or refuse a call."""
        if self.announcement is None or self.closed or self.lost:
            code = (
                RefusalCode.SHUTTING_DOWN
                if self.closed
                else RefusalCode.NO_SERVER
            )
            self.refuse(work, code, "no backend server takes calls here")
            return
        remaining = work.deadline - self.clock.seconds()
        if remaining <= 0:
            self.refuse(work, RefusalCode.DEADLINE_EXCEEDED, "arrived late")
            return
        if not self.admission.admits(work.priority):
            self.refuse(work, RefusalCode.OVERLOADED, "priority refused")
            return
        if self.expected_wait(work) + self.least_time() > remaining:
            self.refuse(work, RefusalCode.OVERLOADED, "wait exceeds deadline")
            return
        if not self.queue.push(work):
            self.refuse(work, RefusalCode.OVERLOADED, "the queue is full")
            return
        self.dispatch()

    def expected_wait(self, work: Work) -> float:
        """Return the seconds a call would wait in the queue."""
        ahead = self.queue.ahead_of(work.priority)
        if not ahead:
            return 0.0
        return ahead * self.limit.latency / max(1.0, self.limit.limit)

    def least_time(self) -> float:
        """Return the seconds below which a call cannot be answered in time.

        0 while no call is at the server, so that an estimate that has become
        too high is corrected by the next call.
        """
        return LEAST_TIME_SHARE * self.limit.latency if self.serving else 0.0

    def dispatch(self):
        """Hand queued calls to the backend server while it has room."""
        while self.queue.size and self.limit.has_room:
            work = self.queue.pop()
            if work is None:
                break
            remaining = work.deadline - self.clock.seconds()
            if remaining < self.least_time():
                self.refuse(
                    work, RefusalCode.DEADLINE_EXCEEDED, "too little time left"
                )
                continue
            self.serve(work)
        self.admission.queued = self.queue.lengths()
        self.admission.slots = max(1.0, self.limit.limit)

    def serve(self, work: Work):
        """Hand one call to the backend server."""
        now = self.clock.seconds()
        self.admission.dispatched()
        self.limit.started()
        work.dispatched = now
        work.token = f"{self.random.getrandbits(TOKEN_BITS):x}"
        self.serving[work.token] = work
        work.served = self.backend.serve(
            request=work.request,
            token=work.token,
            timeout=work.deadline - now,
        )
        work.served.addCallbacks(
            self.on_served,
            self.on_serve_error,
            callbackArgs=(work,),
            errbackArgs=(work,),
        )

    def on_serve_error(self, failure, work: Work):
        """Turn an unexpected error of the client into a refusal."""
        detail = f"the backend client failed: {failure.getErrorMessage()}"
        self.on_served(
            refuse(RefusalCode.BAD_ANSWER, Verdict.MAY_HAVE_RUN, detail), work
        )

    def on_served(self, answer: Answer, work: Work):
        """Take the end of a call from the backend server."""
        del self.serving[work.token]
        now = self.clock.seconds()
        if work.open_children:
            work.children_seconds += now - work.children_since
        own = max(0.0, now - work.dispatched - work.children_seconds)
        refused = answer.refusal is not None
        failed = refused and self.blames(answer, own, now - work.dispatched)
        self.limit.finished(own_seconds=own, failed=failed)
        if not refused:
            self.admission.completed()
            self.admission.service_seconds = self.limit.latency
            self.served += 1
        # Before the reply, which may lead to a retry at once.
        self.on_outcome(answer)
        work.reply(self.completed(answer, work))
        work.cancel_children()
        self.dispatch()

    def blames(self, answer: Answer, own: float, elapsed: float) -> bool:
        """Return whether a refusal is a sign of overload of the server.

        A call that ran out of time says nothing if the server had it for no
        longer than usual: it came late, or waited for calls of its own. A
        server that mostly waits has an own time of milliseconds, which noise
        alone doubles.
        """
        if answer.refusal.code not in OUT_OF_TIME:
            return True
        usual = SLOW_CALL_FACTOR * self.limit.latency
        return own > max(usual, elapsed / 2)

    def completed(self, answer: Answer, work: Work) -> Answer:
        """Return the answer as the calling node gets it."""
        verdict = answer.verdict
        if verdict is Verdict.NOT_RUN and not self.proves_not_run(
            answer, work
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
            allowance=work.allowance,
            pressure=min(work.pressure, self.admission.threshold),
        )

    def proves_not_run(self, answer: Answer, work: Work) -> bool:
        """Return whether a not-run of the backend client can be believed.

        A server that made calls of its own has begun, whatever it says.
        """
        if work.children:
            return False
        refusal = answer.refusal
        connection = RefusalCode.CONNECTION_LOST
        if refusal is not None and refusal.code is connection:
            return True
        return work.trust_refusal

    def refuse(self, work: Work, code: RefusalCode, detail: str):
        """End a call that was not handed to the backend server."""
        work.reply(
            refuse(
                code,
                Verdict.NOT_RUN,
                detail,
                allowance=work.allowance,
                pressure=min(work.pressure, self.admission.threshold),
            )
        )

    def on_drop(self, work: Work, expired: bool):
        """End a call that left the queue without being dispatched."""
        if expired:
            code, detail = RefusalCode.DEADLINE_EXCEEDED, "expired in queue"
        else:
            code, detail = RefusalCode.OVERLOADED, "displaced in queue"
        self.refuse(work, code, detail)

    def on_cancel(self, message: Cancel):
        """Stop a call whose sender no longer waits."""
        work = self.remote.get((message.sender, message.call_id))
        if work is not None:
            self.cancel(work)

    def cancel(self, work: Work):
        """Stop a call, unless it is not idempotent and may have begun."""
        if work.cancelled:
            return
        if not work.token:
            work.cancelled = True
            self.refuse(work, RefusalCode.CANCELLED, "cancelled in queue")
        elif work.context.idempotent:
            work.cancelled = True
            self.backend.cancel(work.token)
            work.cancel_children()

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
