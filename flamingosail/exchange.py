"""Matches answers from other nodes to the open calls of this one."""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from xxhash import xxh64_intdigest

from flamingosail.allowance import Allowance
from flamingosail.errors import Refusal
from flamingosail.errors import RefusalCode
from flamingosail.kernel import Service
from flamingosail.messages import Call
from flamingosail.messages import CallAnswer
from flamingosail.messages import Forward
from flamingosail.messages import MemberRecord
from flamingosail.messages import Message
from flamingosail.priority import PRIORITY_RANGE
from flamingosail.request import Answer
from flamingosail.request import refuse
from flamingosail.transport import Transport
from flamingosail.verdict import Verdict

__all__ = ["Exchange", "answer_message"]

GONE_STATES = frozenset(("left", "removed"))


@dataclass(frozen=True, slots=True)
class OpenCall:
    """A call that waits for an answer from the incarnation ``callee``."""

    callee: str
    on_answer: Callable[[Answer], None]
    on_lost: Callable[[Answer], None]


class Exchange(Service):
    """Table of the calls that wait for an answer from another node.

    An answer is delivered only if it names this incarnation and an open call
    id and comes from the incarnation that was called; duplicate and late
    answers no longer match an open call. If its body does not match its
    digest, the call ends with a refusal. ``on_draining`` is called with the
    incarnation of a node whose answer says that it is draining.
    """

    name = "exchange"

    def __init__(
        self,
        *,
        transport: Transport,
        incarnation: str,
        on_draining: Callable[[str], None],
    ):
        self.incarnation = incarnation
        self.on_draining = on_draining
        self.call_ids = count(1)
        self.open_calls: dict[int, OpenCall] = {}
        # Answers without a matching open call, and answers not decodable.
        self.stray_answers = 0
        self.damaged_answers = 0
        transport.add_handler(CallAnswer, self.on_answer)

    def open_call(
        self,
        callee: str,
        on_answer: Callable[[Answer], None],
        on_lost: Callable[[Answer], None] | None = None,
    ) -> int:
        """Add a call to ``callee`` and return its call id.

        ``on_lost``, by default ``on_answer``, is called with a refusal if
        the callee is gone or the message was never sent.
        """
        call_id = next(self.call_ids)
        self.open_calls[call_id] = OpenCall(
            callee, on_answer, on_lost or on_answer
        )
        return call_id

    def close_call(self, call_id: int):
        """Remove a call; its answer will be ignored."""
        self.open_calls.pop(call_id, None)

    def on_members_changed(self, changed: tuple[MemberRecord, ...]):
        """Fail the calls to nodes that are gone or were restarted."""
        for record in changed:
            gone = record.state in GONE_STATES
            self.fail_calls(record, "" if gone else record.incarnation)

    def fail_calls(self, record: MemberRecord, current: str):
        """Fail the calls to all incarnations of a node except ``current``."""
        prefix = f"{record.node}~"
        lost = [
            call_id
            for call_id, call in self.open_calls.items()
            if call.callee.startswith(prefix) and call.callee != current
        ]
        for call_id in lost:
            call = self.open_calls.pop(call_id, None)
            if call is not None:
                call.on_lost(
                    refuse(
                        RefusalCode.CONNECTION_LOST,
                        Verdict.MAY_HAVE_RUN,
                        "the node of the backend server is gone",
                    )
                )

    def on_dropped(self, message: Message):
        """Fail the call whose message the transport dropped unsent."""
        if not isinstance(message, Call | Forward):
            return
        call = self.open_calls.pop(message.call_id, None)
        if call is None:
            return
        calls = message.calls if isinstance(message, Call) else 0
        call.on_lost(
            refuse(
                RefusalCode.CONNECTION_LOST,
                Verdict.NOT_RUN,
                f"no connection to {message.target}",
                allowance=Allowance(calls),
            )
        )

    def on_answer(self, message: CallAnswer):
        """Deliver an answer to its open call."""
        waiting = self.open_calls.get(message.call_id)
        if (
            waiting is None
            or message.to != self.incarnation
            or message.sender != waiting.callee
        ):
            self.stray_answers += 1
            return
        del self.open_calls[message.call_id]
        if message.draining:
            self.on_draining(message.sender)
        waiting.on_answer(self.decode_answer(message))

    def decode_answer(self, message: CallAnswer) -> Answer:
        """Return the answer of a message, or a refusal if it is damaged."""
        try:
            if xxh64_intdigest(message.body) != message.digest:
                raise ValueError("the body does not match its digest")
            return _parse_answer(message)
        except ValueError as error:
            self.damaged_answers += 1
            return refuse(
                RefusalCode.BAD_ANSWER, Verdict.MAY_HAVE_RUN, str(error)
            )

    def dump(self) -> dict:
        """Return the number of open calls and of rejected answers."""
        return {
            "open": len(self.open_calls),
            "stray_answers": self.stray_answers,
            "damaged_answers": self.damaged_answers,
        }


def _parse_answer(message: CallAnswer) -> Answer:
    """Return the Answer of a message.

    :raises ValueError: if the verdict, the refusal code, the allowance or
        the pressure is not valid.
    """
    verdict = Verdict(message.verdict)
    refusal = None
    if message.refusal:
        refusal = Refusal(
            code=RefusalCode(message.refusal),
            verdict=verdict,
            detail=message.detail,
        )
    if not 1 <= message.pressure <= PRIORITY_RANGE:
        raise ValueError(f"pressure {message.pressure} is out of range")
    return Answer(
        verdict=verdict,
        status=message.status,
        headers=message.headers,
        body=message.body,
        refusal=refusal,
        allowance=Allowance(message.calls),
        pressure=message.pressure,
        key=message.key,
    )


def answer_message(
    answer: Answer, *, sender: str, to: str, call_id: int, draining: bool
) -> CallAnswer:
    """Return the message that carries an answer."""
    refusal = answer.refusal
    return CallAnswer(
        sender=sender,
        to=to,
        call_id=call_id,
        verdict=int(answer.verdict),
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        digest=xxh64_intdigest(answer.body),
        refusal=refusal.code.value if refusal else "",
        detail=refusal.detail if refusal else "",
        calls=answer.allowance.calls,
        pressure=answer.pressure,
        draining=draining,
        key=answer.key,
    )
