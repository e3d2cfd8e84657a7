"""One attempt of an outgoing call, sent to one backend server."""

from flamingosail.allowance import Allowance
from flamingosail.context import CallContext
from flamingosail.errors import RefusalCode
from flamingosail.errors import SendFailed
from flamingosail.messages import Call
from flamingosail.messages import Cancel
from flamingosail.messages import MemberRecord
from flamingosail.request import Answer
from flamingosail.request import refuse
from flamingosail.verdict import Verdict
from flamingosail.work import InboundCall

__all__ = ["Attempt"]

# An idempotent call without an answer after this fraction of its remaining
# time is retried at another server, so that a silent connection does not use
# up the whole deadline.
SLOW_ATTEMPT_FRACTION = 0.5


class Attempt:
    """One attempt of ``call``, an OutgoingCall, at ``server``.

    ``allowance`` is the part of the call's allowance that it may spend.
    """

    def __init__(self, *, call, server: MemberRecord, allowance: Allowance):
        self.call = call
        self.egress = call.egress
        self.server = server
        self.allowance = allowance
        self.sent_at = self.egress.clock.seconds()
        self.call_id = 0
        self.work: InboundCall | None = None
        self.slow_timer = None
        self.ended = False

    def start(self):
        """Submit the call locally or send it to the server's node."""
        self.egress.router.record_sent(self.server)
        if self.server.incarnation == self.egress.incarnation:
            self.submit_locally()
        else:
            self.send()
        if not self.ended and self.call.kind.idempotent:
            remaining = self.call.context.deadline - self.sent_at
            self.slow_timer = self.egress.clock.callLater(
                remaining * SLOW_ATTEMPT_FRACTION,
                self.call.on_slow_attempt,
                self,
            )

    def submit_locally(self):
        """Submit the call to the ingress of this node."""
        call = self.call
        context = call.context
        self.work = InboundCall(
            request=call.request,
            context=CallContext(
                root=context.root,
                root_address=context.root_address,
                priority=context.priority,
                deadline=context.deadline,
                allowance=self.allowance,
                depth=context.depth,
                idempotent=call.kind.idempotent,
            ),
            reply=self.on_answer,
            trust_refusal=call.kind.trust_refusal,
        )
        self.egress.ingress.submit(self.work)

    def send(self):
        """Send the call to the server's node."""
        egress = self.egress
        self.call_id = egress.exchange.open_call(
            self.server.incarnation, self.on_answer
        )
        try:
            egress.transport.send(self.server.address, self.build_message())
        except SendFailed as error:
            egress.exchange.close_call(self.call_id)
            self.on_answer(
                refuse(
                    RefusalCode.CONNECTION_LOST,
                    Verdict.NOT_RUN,
                    f"node {self.server.node}: {error}",
                    allowance=self.allowance,
                )
            )

    def build_message(self) -> Call:
        """Return the Call message of this attempt."""
        request = self.call.request
        context = self.call.context
        return Call(
            sender=self.egress.incarnation,
            reply_to=self.egress.transport.address,
            call_id=self.call_id,
            target=self.server.incarnation,
            root=context.root,
            root_address=context.root_address,
            kind=request.kind,
            priority=context.priority,
            remaining_ms=context.remaining(self.sent_at) * 1000,
            calls=self.allowance.calls,
            depth=context.depth,
            idempotent=self.call.kind.idempotent,
            method=request.method,
            path=request.target,
            headers=request.headers,
            body=request.body,
        )

    def on_answer(self, answer: Answer):
        """Pass the answer to the call; later answers are ignored."""
        if self.ended:
            return
        self.finish(
            failed=answer.refusal is not None or answer.status >= 500,
            refused=answer.refusal is not None
            and answer.refusal.code is RefusalCode.OVERLOADED,
        )
        returned = answer.allowance.capped_at(self.allowance)
        self.call.on_attempt_ended(self, answer.with_allowance(returned))

    def abandon(self, *, failed: bool):
        """Stop waiting for the answer; the attempt's allowance is lost.

        ``failed`` is true if the server did not answer in time, false if
        the caller cancelled.
        """
        if self.ended:
            return
        if failed:
            self.finish(failed=True, refused=False)
        else:
            self.stop()
            self.egress.router.record_abandoned(self.server)
        if self.work is not None:
            self.egress.ingress.cancel(self.work)
            return
        self.egress.exchange.close_call(self.call_id)
        cancel = Cancel(sender=self.egress.incarnation, call_id=self.call_id)
        try:
            self.egress.transport.send(self.server.address, cancel)
        except SendFailed:
            # The server's node will end the call at its deadline.
            return

    def finish(self, *, failed: bool, refused: bool):
        """Stop, and record latency and outcome at the router."""
        self.stop()
        self.egress.router.record_finished(
            self.server,
            seconds=self.egress.clock.seconds() - self.sent_at,
            failed=failed,
            refused=refused,
        )

    def stop(self):
        """Cancel the timer and ignore answers from now on."""
        self.ended = True
        if self.slow_timer is not None and self.slow_timer.active():
            self.slow_timer.cancel()
