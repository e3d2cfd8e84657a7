"""What all entries of requests share: kinds, timeouts and waiting."""

from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from flamingosail.allowance import NO_ALLOWANCE
from flamingosail.egress import Egress
from flamingosail.errors import RefusalCode
from flamingosail.kernel import Service
from flamingosail.keys import KeyEntry
from flamingosail.keys import KeyState
from flamingosail.manifest import KindSpec
from flamingosail.request import Answer
from flamingosail.request import refuse
from flamingosail.request import Request
from flamingosail.retrypool import RetryPool
from flamingosail.transport import Transport
from flamingosail.verdict import Verdict

__all__ = ["end_request", "Entry", "fired", "RequestEnded"]

ROOT_BITS = 64


class RequestEnded(Exception):
    """Carries the answer of a request that ends before it becomes a call."""

    def __init__(self, answer: Answer):
        super().__init__(answer.refusal)
        self.answer = answer


class Entry(Service):
    """Base of the services that turn requests into calls."""

    def __init__(
        self,
        *,
        clock: IReactorTime,
        random: Random,
        transport: Transport,
        incarnation: str,
        manifest,
        retries: RetryPool,
        egress: Egress,
    ):
        self.clock = clock
        self.random = random
        self.transport = transport
        self.incarnation = incarnation
        self.manifest = manifest
        self.retries = retries
        self.egress = egress

    def new_root(self) -> str:
        """Return the id of a root without a key."""
        return f"{self.incarnation}.{self.random.getrandbits(ROOT_BITS):x}"

    def kind_of(self, request: Request) -> KindSpec:
        """Return the kind of a request.

        :raises RequestEnded: if there is no manifest or no such kind.
        """
        manifest = self.manifest.current
        if manifest is None:
            end_request(RefusalCode.NO_MANIFEST, "no manifest is in force yet")
        kind = manifest.kinds.get(request.kind)
        if kind is None:
            end_request(
                RefusalCode.UNKNOWN_KIND,
                f"kind {request.kind!r} is not in the manifest",
            )
        return kind

    def timeout(self, request: Request, kind: KindSpec) -> float:
        """Return the seconds a request may take."""
        wanted = request.timeout_ms
        if wanted is None:
            return kind.timeout_ms / 1000
        return min(wanted, kind.timeout_ms) / 1000

    def join(self, entry: KeyEntry, seconds: float | None) -> Deferred[Answer]:
        """Wait for the end of a run, at most for ``seconds``.

        A run that is not idempotent goes on when nobody waits any more:
        its answer is kept for a repeat of the key.
        """
        timer = None

        def end(answer: Answer):
            if timer is not None and timer.active():
                timer.cancel()
            done.callback(answer)

        def leave(code: RefusalCode, detail: str):
            entry.waiters.remove(end)
            if entry.idempotent and not entry.waiters and entry.call:
                entry.call.cancel()
            end(refuse(code, Verdict.MAY_HAVE_RUN, detail))

        done: Deferred[Answer] = Deferred(
            lambda deferred: leave(
                RefusalCode.CANCELLED, "nobody waits for the answer"
            )
        )
        if seconds is not None and entry.state is KeyState.RUNNING:
            # The run has the deadline of the request that started it.
            timer = self.clock.callLater(
                seconds,
                leave,
                RefusalCode.DEADLINE_EXCEEDED,
                "the deadline has passed",
            )
        entry.waiters.append(end)
        return done


def end_request(
    code: RefusalCode,
    detail: str,
    *,
    verdict: Verdict = Verdict.NOT_RUN,
    key: str | None = None,
):
    """Refuse a request.

    :raises RequestEnded: always.
    """
    raise RequestEnded(
        refuse(code, verdict, detail, allowance=NO_ALLOWANCE, key=key)
    )


def fired(answer: Answer) -> Deferred[Answer]:
    """Return a Deferred that has fired with an answer."""
    done: Deferred[Answer] = Deferred()
    done.callback(answer)
    return done
