"""One attempt of an outgoing call at one server."""

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

# An idempotent call without an answer is tried elsewhere after this share of
# its time, so that a silent connection does not use up the whole deadline.
SILENT_SHARE = 0.5


class Attempt:
    """One attempt of ``call``, an OutgoingCall, at one server."""

    def __init__(self, *, call, server: MemberRecord, lent: Allowance):
        self.call = call
        self.egress = call.egress
        self.server = server
        self.lent = lent
        self.sent_at = self.egress.clock.seconds()
        self.call_id = 0
        self.work: InboundCall | None = None
        self.silence = None
        self.ended = False

    def start(self):
        """Hand the call to the own ingress or to the server's node."""
        self.egress.router.sent(self.server)
        if self.server.incarnation == self.egress.incarnation:
            self.serve_here()
        else:
            self.send()
        if not self.ended and self.call.kind.idempotent:
            remaining = self.call.context.deadline - self.sent_at
            self.silence = self.egress.clock.callLater(
                remaining * SILENT_SHARE, self.call.on_silent, self
            )

    def serve_here(self):
        """Hand the call to the ingress of this node."""
        call = self.call
        context = call.context
        self.work = InboundCall(
            request=call.request,
            context=CallContext(
                root=context.root,
                root_address=context.root_address,
                priority=context.priority,
                deadline=context.deadline,
                allowance=self.lent,
                depth=context.depth,
                idempotent=call.kind.idempotent,
            ),
            reply=self.end,
            trust_refusal=call.kind.trust_refusal,
        )
        self.egress.ingress.submit(self.work)

    def send(self):
        """Send the call to the node of the server."""
        egress = self.egress
        self.call_id = egress.exchange.open(self.server.incarnation, self.end)
        try:
            egress.transport.send(self.server.address, self.message())
        except SendFailed as error:
            egress.exchange.close(self.call_id)
            self.end(
                refuse(
                    RefusalCode.CONNECTION_LOST,
                    Verdict.NOT_RUN,
                    f"node {self.server.node}: {error}",
                    allowance=self.lent,
                )
            )

    def message(self) -> Call:
        """Return the message that asks for this attempt."""
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
            calls=self.lent.calls,
            depth=context.depth,
            idempotent=self.call.kind.idempotent,
            method=request.method,
            path=request.target,
            headers=request.headers,
            body=request.body,
        )

    def end(self, answer: Answer):
        """Take the answer of the attempt, once."""
        if self.ended:
            return
        self.close(
            failed=answer.refusal is not None or answer.status >= 500,
            refused=answer.refusal is not None
            and answer.refusal.code is RefusalCode.OVERLOADED,
        )
        returned = answer.allowance.limit(self.lent)
        self.call.on_attempt_ended(self, answer.with_allowance(returned))

    def abandon(self, *, failed: bool):
        """Stop waiting for the answer; what was lent is lost.

        ``failed`` says that the server did not answer in time.
        """
        if self.ended:
            return
        if failed:
            self.close(failed=True, refused=False)
        else:
            self.release()
            self.egress.router.given_up(self.server)
        if self.work is not None:
            self.egress.ingress.cancel(self.work)
            return
        self.egress.exchange.close(self.call_id)
        cancel = Cancel(sender=self.egress.incarnation, call_id=self.call_id)
        try:
            self.egress.transport.send(self.server.address, cancel)
        except SendFailed:
            # The server's node ends the call at its deadline.
            return

    def close(self, *, failed: bool, refused: bool):
        """Release timers and report to the router."""
        self.release()
        self.egress.router.finished(
            self.server,
            seconds=self.egress.clock.seconds() - self.sent_at,
            failed=failed,
            refused=refused,
        )

    def release(self):
        """Take no answer any more and stop the timer."""
        self.ended = True
        if self.silence is not None and self.silence.active():
            self.silence.cancel()
