"""Request processing of a stand-in backend server.

It has a limited number of slots, makes child calls ("steps") and supports
cancellation.
"""

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

from standins.wire import WireError
from standins.wire import WireRequest
from standins.wire import WireResponse

__all__ = ["is_valid_response", "KindConfig", "Step", "Workload"]

DEFAULT_TIMEOUT_MS = 60_000
JSON_CONTENT_TYPE = ("Content-Type", "application/json")
Distribution = Literal["fixed", "exponential"]


class Step(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A child call made while serving a request of a kind.

    ``target`` defaults to the target of the request being served. ``key``
    is the prefix of the idempotency key of a step that is not idempotent.
    """

    kind: str
    method: str = "POST"
    target: str | None = None
    key: str | None = None


class KindConfig(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """How requests of a kind are served.

    The steps follow the service time, concurrently if ``parallel`` is set.
    ``service_ms`` overrides the default of the server.
    """

    idempotent: bool = True
    parallel: bool = False
    service_ms: float | None = None
    steps: tuple[Step, ...] = ()


@dataclass(slots=True, eq=False)
class InboundRequest:
    """A request that is queued or being served.

    ``done`` fires with the response. ``arrived_at`` is in seconds of the
    clock. ``execution`` is set once the request has started.
    """

    request: WireRequest
    done: Deferred
    arrived_at: float
    execution: Deferred | None = field(default=None)

    @property
    def kind(self) -> str:
        """The kind of the request."""
        return self.request.headers.get("flamingosail-kind", "")

    @property
    def token(self) -> str | None:
        """The context token, by which the request can be cancelled."""
        return self.request.headers.get("flamingosail-context")


class StepFailed(Exception):
    """A step got no complete response with a status below 400."""


class Workload:
    """Serves at most ``slots`` requests at a time; others wait in FIFO order.

    ``call`` sends a step's request, with a timeout in seconds, and returns
    a Deferred of a WireResponse. ``runs`` counts the started requests that
    are not idempotent by kind, key (or hash of the body) and target;
    ``targets`` maps kind and target to the numbers of arrived and of started
    requests. ``counts["foreign"]`` counts step responses that are truncated
    or belong to another target.

    The attributes ``service_ms``, ``frozen`` and ``failing`` may be changed
    at any time; call ``thaw`` after clearing ``frozen``. ``padding_bytes``
    is added to each response body.
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
        kinds: dict[str, KindConfig],
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
        self.queue: deque[InboundRequest] = deque()
        self.in_flight: set[InboundRequest] = set()
        self.thaw_waiters: list[Deferred] = []
        self.runs: Counter[str] = Counter()
        self.targets: dict[str, list[int]] = {}
        self.counts: Counter[str] = Counter()
        self.max_in_flight = 0

    def serve(self, request: WireRequest) -> Deferred[WireResponse]:
        """Return the response; failures have status 499 or 5xx."""
        if self.failing and not self.frozen:
            self.counts["failed"] += 1
            return succeed(error_response(500, "failing"))
        inbound = InboundRequest(request, Deferred(), self.clock.seconds())
        self._target_counts(inbound)[0] += 1
        self.queue.append(inbound)
        self._dispatch()
        return inbound.done

    def cancel(self, token: str) -> bool:
        """Cancel the request with a context token; False if there is none."""
        for inbound in [*self.queue, *self.in_flight]:
            if inbound.token == token:
                self._cancel(inbound)
                return True
        return False

    def _cancel(self, inbound: InboundRequest):
        self.counts["cancelled"] += 1
        if inbound.execution is not None:
            inbound.execution.cancel()
            return
        self.queue.remove(inbound)
        verdict = (("Flamingosail-Verdict", "not-run"),)
        inbound.done.callback(error_response(503, "cancelled", verdict))

    def thaw(self):
        """Resume all requests that waited while ``frozen`` was set."""
        waiting, self.thaw_waiters = self.thaw_waiters, []
        for deferred in waiting:
            deferred.callback(None)
        self._dispatch()

    def _dispatch(self):
        while (
            self.queue and not self.frozen and len(self.in_flight) < self.slots
        ):
            inbound = self.queue.popleft()
            self.in_flight.add(inbound)
            self.max_in_flight = max(self.max_in_flight, len(self.in_flight))
            self._record_start(inbound)
            inbound.execution = self._run(inbound)
            inbound.execution.addBoth(self._finish, inbound)

    def _target_counts(self, inbound: InboundRequest) -> list[int]:
        name = f"{inbound.kind} {inbound.request.target}"
        return self.targets.setdefault(name, [0, 0])

    def _record_start(self, inbound: InboundRequest):
        self.counts["started"] += 1
        self._target_counts(inbound)[1] += 1
        if self._kind_config(inbound).idempotent:
            return
        request = inbound.request
        key = request.headers.get("idempotency-key")
        identity = key or xxh64_hexdigest(request.body)
        self.runs[f"{inbound.kind} {identity} {request.target}"] += 1

    def _finish(self, response: WireResponse, inbound: InboundRequest):
        self.in_flight.discard(inbound)
        self.counts["answered" if response.status < 500 else "failed"] += 1
        inbound.done.callback(response)
        self._dispatch()

    @inlineCallbacks
    def _run(self, inbound: InboundRequest):
        """Serve one request; never fails, errors become responses."""
        try:
            yield deferLater(self.clock, self._service_seconds(inbound))
            yield self._wait_while_frozen()
            yield self._run_steps(inbound)
            yield self._wait_while_frozen()
        except CancelledError:
            return error_response(499, "cancelled")
        except StepFailed as error:
            return error_response(502, str(error))
        except Exception:
            # An exception must free the slot and show in the log.
            err()
            return error_response(500, "internal error of the stand-in")
        return success_response(
            inbound.request, self.service, self.padding_bytes
        )

    def _service_seconds(self, inbound: InboundRequest) -> float:
        mean = self._kind_config(inbound).service_ms
        mean = (self.service_ms if mean is None else mean) / 1000
        if self.distribution == "exponential" and mean > 0:
            return self.random.expovariate(1 / mean)
        return mean

    def _wait_while_frozen(self) -> Deferred:
        if not self.frozen:
            return succeed(None)
        waiting = Deferred(lambda deferred: self.thaw_waiters.remove(deferred))
        self.thaw_waiters.append(waiting)
        return waiting

    @inlineCallbacks
    def _run_steps(self, inbound: InboundRequest):
        config = self._kind_config(inbound)
        if not config.parallel:
            for step in config.steps:
                yield self._run_step(inbound, step)
            return
        deferreds = [self._run_step(inbound, step) for step in config.steps]
        try:
            yield gatherResults(deferreds, consumeErrors=True)
        except FirstError as error:
            for deferred in deferreds:
                deferred.cancel()
            error.subFailure.raiseException()

    @inlineCallbacks
    def _run_step(self, inbound: InboundRequest, step: Step):
        remaining_seconds = self._remaining_seconds(inbound)
        if remaining_seconds <= 0:
            raise StepFailed(f"step {step.kind}: the deadline has passed")
        target = inbound.request.target if step.target is None else step.target
        try:
            response = yield self.call(
                method=step.method,
                target=target,
                headers=step_headers(inbound, step, remaining_seconds),
                timeout=remaining_seconds,
            )
        except WireError as error:
            raise StepFailed(f"step {step.kind}: {error}") from error
        if response.status >= 400:
            raise StepFailed(f"step {step.kind}: status {response.status}")
        if not is_valid_response(response.body, target):
            self.counts["foreign"] += 1
            raise StepFailed(
                f"step {step.kind}: foreign or truncated response"
            )

    def _remaining_seconds(self, inbound: InboundRequest) -> float:
        timeout = inbound.request.headers.get("flamingosail-timeout-ms", "")
        timeout_ms = (
            int(timeout) if timeout.isdecimal() else DEFAULT_TIMEOUT_MS
        )
        return inbound.arrived_at + timeout_ms / 1000 - self.clock.seconds()

    def _kind_config(self, inbound: InboundRequest) -> KindConfig:
        return self.kinds.get(inbound.kind, DEFAULT_KIND)

    def load(self) -> dict[str, int]:
        """Return the body of a load report to the node."""
        return {"in_flight": len(self.in_flight), "queued": len(self.queue)}

    def stats(self) -> dict:
        """Return the counts, load, slots and peak concurrency."""
        return {
            **self.load(),
            "most_in_flight": self.max_in_flight,
            "slots": self.slots,
            "counts": dict(self.counts),
        }


DEFAULT_KIND = KindConfig()


def step_headers(
    inbound: InboundRequest, step: Step, remaining_seconds: float
) -> dict[str, str]:
    """Return the headers of a step's request."""
    headers = {
        "Flamingosail-Kind": step.kind,
        "Flamingosail-Timeout-Ms": str(max(int(remaining_seconds * 1000), 1)),
    }
    if inbound.token is not None:
        headers["Flamingosail-Context"] = inbound.token
    if step.key is not None:
        # The digest of the target makes the key differ between root requests
        # even where a node does not scope it to the request being served.
        digest = xxh64_hexdigest(inbound.request.target.encode())
        headers["Idempotency-Key"] = f"{step.key}-{digest}"
    return headers


def success_response(
    request: WireRequest, service: str, padding_bytes: int
) -> WireResponse:
    """Return the response to a request, with its target and a checksum."""
    fields = {
        "path": request.target,
        "service": service,
        "pad": "x" * padding_bytes,
    }
    fields["checksum"] = checksum(fields)
    return WireResponse(200, json.dumps(fields).encode(), (JSON_CONTENT_TYPE,))


def checksum(fields: dict) -> str:
    """Return the checksum over the other fields of a response."""
    joined = "\0".join((fields["path"], fields["service"], fields["pad"]))
    return xxh64_hexdigest(joined.encode())


def is_valid_response(body: bytes, target: str) -> bool:
    """Whether a body is a complete response to a request for the target."""
    try:
        fields = json.loads(body)
        return fields["path"] == target and fields["checksum"] == checksum(
            fields
        )
    except (ValueError, TypeError, KeyError):
        return False


def error_response(
    status: int, reason: str, headers: tuple[tuple[str, str], ...] = ()
) -> WireResponse:
    """Return a response with an error message as JSON."""
    body = json.dumps({"error": reason}).encode()
    return WireResponse(status, body, (JSON_CONTENT_TYPE, *headers))
