"""The work of a stand-in backend server: slots, steps and cancellation."""

import json
from collections import Counter
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Literal

from msgspec import Struct
from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.defer import FirstError
from twisted.internet.defer import gatherResults
from twisted.internet.defer import inlineCallbacks
from twisted.internet.defer import succeed
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.python.log import err
from xxhash import xxh64_hexdigest

from standins.wire import WireAnswer
from standins.wire import WireError
from standins.wire import WireRequest

__all__ = ["check_answer", "KindTable", "Step", "Workload"]

DEFAULT_TIMEOUT_MS = 60_000
JSON_TYPE = ("Content-Type", "application/json")
Distribution = Literal["fixed", "exponential"]


class Step(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A call that a kind makes before it answers.

    ``target`` defaults to the target of the request being served. ``key``
    is set for steps that are not idempotent.
    """

    kind: str
    method: str = "POST"
    target: str | None = None
    key: str | None = None


class KindTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How requests of a kind are served."""

    idempotent: bool = True
    parallel: bool = False
    service_ms: float | None = None
    steps: tuple[Step, ...] = ()


@dataclass(slots=True, eq=False)
class Work:
    """A request that is queued or being served."""

    request: WireRequest
    done: Deferred
    arrived: float
    running: Deferred | None = field(default=None)

    @property
    def kind(self) -> str:
        """The kind of the request."""
        return self.request.headers.get("flamingosail-kind", "")

    @property
    def token(self) -> str | None:
        """The context of the request, which cancellations name."""
        return self.request.headers.get("flamingosail-context")


class StepFailed(Exception):
    """A step got no whole answer with a status below 400."""


class Workload:
    """Serves at most ``slots`` requests at a time, the others wait FIFO.

    ``call`` sends a step's request, with a timeout in seconds, and returns
    a Deferred of a WireAnswer. ``runs`` counts the started requests that
    are not idempotent; ``targets`` holds the arrived and the started
    requests of every kind and target. The attributes ``service_ms``,
    ``frozen`` and ``failing`` may be changed at any time; call ``thaw``
    after clearing ``frozen``.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        random: Random,
        service: str,
        slots: int,
        service_ms: float,
        distribution: Distribution,
        kinds: dict[str, KindTable],
        call: Callable[..., Deferred],
        padding_bytes: int = 0,
    ):
        self.clock = clock
        self.random = random
        self.service = service
        self.slots = slots
        self.service_ms = service_ms
        self.distribution = distribution
        self.kinds = kinds
        self.call = call
        self.padding_bytes = padding_bytes
        self.frozen = False
        self.failing = False
        self.queue: deque[Work] = deque()
        self.serving: set[Work] = set()
        self.thawed: list[Deferred] = []
        self.runs: Counter[str] = Counter()
        self.targets: dict[str, list[int]] = {}
        self.counts: Counter[str] = Counter()
        self.most_serving = 0

    def serve(self, request: WireRequest) -> Deferred[WireAnswer]:
        """Return the answer, which may be a failure with status 5xx."""
        if self.failing and not self.frozen:
            self.counts["failed"] += 1
            return succeed(error_answer(500, "failing"))
        work = Work(request, Deferred(), self.clock.seconds())
        self._target(work)[0] += 1
        self.queue.append(work)
        self._dispatch()
        return work.done

    def cancel(self, token: str) -> bool:
        """End the request with the given context; False if there is none."""
        for work in [*self.queue, *self.serving]:
            if work.token == token:
                self._cancel(work)
                return True
        return False

    def _cancel(self, work: Work):
        self.counts["cancelled"] += 1
        if work.running is not None:
            work.running.cancel()
            return
        self.queue.remove(work)
        verdict = (("Flamingosail-Verdict", "not-run"),)
        work.done.callback(error_answer(503, "cancelled", verdict))

    def thaw(self):
        """Go on with everything that waited while ``frozen`` was set."""
        waiting, self.thawed = self.thawed, []
        for deferred in waiting:
            deferred.callback(None)
        self._dispatch()

    def _dispatch(self):
        while (
            self.queue and not self.frozen and len(self.serving) < self.slots
        ):
            work = self.queue.popleft()
            self.serving.add(work)
            self.most_serving = max(self.most_serving, len(self.serving))
            self._record(work)
            work.running = self._run(work)
            work.running.addBoth(self._finish, work)

    def _target(self, work: Work) -> list[int]:
        name = f"{work.kind} {work.request.target}"
        return self.targets.setdefault(name, [0, 0])

    def _record(self, work: Work):
        self.counts["started"] += 1
        self._target(work)[1] += 1
        if self._table(work).idempotent:
            return
        request = work.request
        key = request.headers.get("idempotency-key")
        identity = key or xxh64_hexdigest(request.body)
        self.runs[f"{work.kind} {identity} {request.target}"] += 1

    def _finish(self, answer: WireAnswer, work: Work):
        self.serving.discard(work)
        self.counts["answered" if answer.status < 500 else "failed"] += 1
        work.done.callback(answer)
        self._dispatch()

    @inlineCallbacks
    def _run(self, work: Work):
        """Serve one request; never fails."""
        try:
            yield deferLater(self.clock, self._service_seconds(work))
            yield self._while_frozen()
            yield self._take_steps(work)
            yield self._while_frozen()
        except CancelledError:
            return error_answer(499, "cancelled")
        except StepFailed as error:
            return error_answer(502, str(error))
        except Exception:
            # The slot must become free, and the fault visible.
            err()
            return error_answer(500, "fault of the stand-in")
        return own_answer(work.request, self.service, self.padding_bytes)

    def _service_seconds(self, work: Work) -> float:
        mean = self._table(work).service_ms
        mean = (self.service_ms if mean is None else mean) / 1000
        if self.distribution == "exponential" and mean > 0:
            return self.random.expovariate(1 / mean)
        return mean

    def _while_frozen(self) -> Deferred:
        if not self.frozen:
            return succeed(None)
        waiting = Deferred(lambda deferred: self.thawed.remove(deferred))
        self.thawed.append(waiting)
        return waiting

    @inlineCallbacks
    def _take_steps(self, work: Work):
        table = self._table(work)
        if not table.parallel:
            for step in table.steps:
                yield self._take_step(work, step)
            return
        taken = [self._take_step(work, step) for step in table.steps]
        try:
            yield gatherResults(taken, consumeErrors=True)
        except FirstError as error:
            for step in taken:
                step.cancel()
            error.subFailure.raiseException()

    @inlineCallbacks
    def _take_step(self, work: Work, step: Step):
        left = self._left_seconds(work)
        if left <= 0:
            raise StepFailed(f"step {step.kind}: no time left")
        target = work.request.target if step.target is None else step.target
        try:
            answer = yield self.call(
                method=step.method,
                target=target,
                headers=step_headers(work, step, left),
                timeout=left,
            )
        except WireError as error:
            raise StepFailed(f"step {step.kind}: {error}") from error
        if answer.status >= 400:
            raise StepFailed(f"step {step.kind}: status {answer.status}")
        if not check_answer(answer.body, target):
            self.counts["foreign"] += 1
            raise StepFailed(f"step {step.kind}: foreign or truncated answer")

    def _left_seconds(self, work: Work) -> float:
        timeout = work.request.headers.get("flamingosail-timeout-ms", "")
        timeout_ms = (
            int(timeout) if timeout.isdecimal() else DEFAULT_TIMEOUT_MS
        )
        return work.arrived + timeout_ms / 1000 - self.clock.seconds()

    def _table(self, work: Work) -> KindTable:
        return self.kinds.get(work.kind, DEFAULT_TABLE)

    def load(self) -> dict[str, int]:
        """Return the load as a node's control listener takes it."""
        return {"in_flight": len(self.serving), "queued": len(self.queue)}

    def stats(self) -> dict:
        """Return counts, load and the most requests served at a time."""
        return {
            **self.load(),
            "most_in_flight": self.most_serving,
            "slots": self.slots,
            "counts": dict(self.counts),
        }


DEFAULT_TABLE = KindTable()


def step_headers(work: Work, step: Step, left: float) -> dict[str, str]:
    """Return the headers of a step's request."""
    headers = {
        "Flamingosail-Kind": step.kind,
        "Flamingosail-Timeout-Ms": str(max(int(left * 1000), 1)),
    }
    if work.token is not None:
        headers["Flamingosail-Context"] = work.token
    if step.key is not None:
        # The digest makes the key differ between roots even where a node
        # does not scope it to the request being served.
        digest = xxh64_hexdigest(work.request.target.encode())
        headers["Idempotency-Key"] = f"{step.key}-{digest}"
    return headers


def own_answer(request: WireRequest, service: str, padding: int) -> WireAnswer:
    """Return an answer that names the request's path."""
    fields = {"path": request.target, "service": service, "pad": "x" * padding}
    fields["checksum"] = checksum(fields)
    return WireAnswer(200, json.dumps(fields).encode(), (JSON_TYPE,))


def checksum(fields: dict) -> str:
    """Return the checksum of an answer without it."""
    joined = "\0".join((fields["path"], fields["service"], fields["pad"]))
    return xxh64_hexdigest(joined.encode())


def check_answer(body: bytes, target: str) -> bool:
    """Whether a body is the whole answer to a request for the target."""
    try:
        fields = json.loads(body)
        return fields["path"] == target and fields["checksum"] == checksum(
            fields
        )
    except (ValueError, TypeError, KeyError):
        return False


def error_answer(
    status: int, reason: str, headers: tuple[tuple[str, str], ...] = ()
) -> WireAnswer:
    """Return an answer without a path."""
    body = json.dumps({"error": reason}).encode()
    return WireAnswer(status, body, (JSON_TYPE, *headers))
