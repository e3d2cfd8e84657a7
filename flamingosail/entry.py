"""Base of the services that accept requests from outside a node."""

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

__all__ = ["raise_refusal", "RequestHandler", "fired", "RequestRefused"]

ROOT_BITS = 64


class RequestRefused(Exception):
    """A request was refused before it became a call; holds the answer."""

    def __init__(self, answer: Answer):
        super().__init__(answer.refusal)
        self.answer = answer


class RequestHandler(Service):
    """Looks up kinds and timeouts of requests and waits for keyed runs."""

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

    def new_root_id(self) -> str:
        """Return a new id for a root request that has no key."""
        return f"{self.incarnation}.{self.random.getrandbits(ROOT_BITS):x}"

    def find_kind(self, request: Request) -> KindSpec:
        """Return the manifest's entry for the kind of a request.

        :raises RequestRefused: if there is no manifest or no such kind.
        """
        manifest = self.manifest.current
        if manifest is None:
            raise_refusal(
                RefusalCode.NO_MANIFEST, "no manifest is in force yet"
            )
        kind = manifest.kinds.get(request.kind)
        if kind is None:
            raise_refusal(
                RefusalCode.UNKNOWN_KIND,
                f"kind {request.kind!r} is not in the manifest",
            )
        return kind

    def timeout(self, request: Request, kind: KindSpec) -> float:
        """Return the timeout of a request in seconds.

        A request may shorten the timeout of its kind, not extend it.
        """
        requested_ms = request.timeout_ms
        if requested_ms is None:
            return kind.timeout_ms / 1000
        return min(requested_ms, kind.timeout_ms) / 1000

    def join(self, entry: KeyEntry, seconds: float | None) -> Deferred[Answer]:
        """Wait for the answer of a run, at most for ``seconds``.

        An idempotent run is cancelled when the last waiter leaves. Any other
        run goes on, and its answer is stored for a repeat of the key.
        """
        timer = None

        def resolve(answer: Answer):
            if timer is not None and timer.active():
                timer.cancel()
            done.callback(answer)

        def stop_waiting(code: RefusalCode, detail: str):
            entry.waiters.remove(resolve)
            if entry.idempotent and not entry.waiters and entry.call:
                entry.call.cancel()
            resolve(refuse(code, Verdict.MAY_HAVE_RUN, detail))

        done: Deferred[Answer] = Deferred(
            lambda deferred: stop_waiting(
                RefusalCode.CANCELLED, "nobody waits for the answer"
            )
        )
        if seconds is not None and entry.state is KeyState.RUNNING:
            # The run itself has the deadline of the request that started it.
            timer = self.clock.callLater(
                seconds,
                stop_waiting,
                RefusalCode.DEADLINE_EXCEEDED,
                "the deadline has passed",
            )
        entry.waiters.append(resolve)
        return done


def raise_refusal(
    code: RefusalCode,
    detail: str,
    *,
    verdict: Verdict = Verdict.NOT_RUN,
    key: str | None = None,
):
    """Refuse a request by an exception.

    :raises RequestRefused: always.
    """
    raise RequestRefused(
        refuse(code, verdict, detail, allowance=NO_ALLOWANCE, key=key)
    )


def fired(answer: Answer) -> Deferred[Answer]:
    """Return a Deferred that has already fired with an answer."""
    done: Deferred[Answer] = Deferred()
    done.callback(answer)
    return done
