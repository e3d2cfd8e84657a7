"""Open-loop load generator for nodes.

Requests are sent at times drawn from Poisson processes, regardless of the
responses to earlier ones, and latency is measured from the intended send
time. A stall of the nodes or of this process therefore shows in the latency
of every request that it delayed (no coordinated omission).
"""

import json
from collections import deque
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Protocol as Interface

from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeout
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from flamingosail.httpclient import BadResponse
from flamingosail.httpclient import HttpClientProtocol
from flamingosail.httpclient import HttpResponse
from flamingosail.httpwire import encode_message
from flamingosail.loadresults import LoadResults
from flamingosail.loadresults import Outcome

__all__ = [
    "LoadClient",
    "LoadGenerator",
    "LoadKind",
    "LoadRequest",
    "NodeClient",
    "Phase",
]

CONNECT_TIMEOUT_SECONDS = 2.0
PROBLEM_PREFIX = "urn:flamingosail:"
KEYS_TARGET = "/flamingosail/keys"


@dataclass(frozen=True, slots=True)
class LoadKind:
    """A kind of request; ``timeout`` is in seconds from the intended time.

    ``importance`` only labels the results. With ``needs_key`` an idempotency
    key is fetched from the node before the first attempt, within the timeout.
    """

    name: str
    importance: str = "normal"
    needs_key: bool = False
    timeout: float = 2.0
    method: str = "POST"


@dataclass(frozen=True, slots=True)
class Phase:
    """A period with constant rates in requests/s by name of kind."""

    seconds: float
    rates: dict[str, float]


class LoadClient(Interface):
    """Sends the requests of the generator to one node."""

    def request(self, data: bytes) -> Deferred:
        """Send a request; return a Deferred of its HttpResponse."""


class NodeClient:
    """An unbounded pool of keep-alive connections to one node."""

    def __init__(self, *, reactor, host: str, port: int):
        self.endpoint = TCP4ClientEndpoint(
            reactor, host, port, timeout=CONNECT_TIMEOUT_SECONDS
        )
        self.factory = Factory.forProtocol(HttpClientProtocol)
        self.factory.noisy = False
        self.idle: deque[HttpClientProtocol] = deque()

    def request(self, data: bytes) -> Deferred:
        """Send a request; cancelling the Deferred closes its connection."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_intact():
                return self.send_on(connection, data)
            connection.abort()
        opened = self.endpoint.connect(self.factory)
        return opened.addCallback(self.send_on, data)

    def send_on(
        self, connection: HttpClientProtocol, data: bytes
    ) -> Deferred[HttpResponse]:
        """Send a request on a connection, then release the connection."""
        return connection.send(data).addCallback(self.release, connection)

    def release(
        self, response: HttpResponse, connection: HttpClientProtocol
    ) -> HttpResponse:
        """Return a connection to the pool if it is reusable."""
        if connection.idle:
            self.idle.append(connection)
        return response

    def close(self):
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().abort()


@dataclass(slots=True, eq=False)
class LoadRequest:
    """A request in progress; its target is unique within the run.

    ``intended`` is the send time in seconds since the start of the run.
    ``client`` is the index of the node that gets the next attempt.
    """

    kind: LoadKind
    target: str
    intended: float
    client: int
    key: bytes | None = None
    attempts: int = 0
    last_outcome: Outcome | None = field(default=None)


class LoadGenerator:
    """Sends the load of all phases and collects the results.

    ``check`` is called with the body of a response and the target of its
    request, and returns whether it is the complete response to that request.
    ``retries`` is the maximum number of retries of a failed request, sent
    without delay to the next node with the same key. ``attempt_timeout`` is
    the timeout of one attempt in seconds; None leaves only the timeout of
    the request. ``on_end`` is called with each request that has ended.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        clients: Sequence[LoadClient],
        kinds: Sequence[LoadKind],
        phases: Sequence[Phase],
        check: Callable[[bytes, str], bool],
        seed: int = 0,
        retries: int = 0,
        attempt_timeout: float | None = None,
        path: str = "/load",
        on_end: Callable[[LoadRequest], None] = lambda request: None,
    ):
        self.clock = clock
        self.clients = clients
        self.kinds = kinds
        self.phases = phases
        self.check = check
        self.retries = retries
        self.attempt_timeout = attempt_timeout
        self.path = path
        self.on_end = on_end
        self.seed = seed
        # Separate generators keep the arrivals independent of the responses.
        self.arrivals = {kind: Random(f"{seed} {kind.name}") for kind in kinds}
        self.random = Random(f"{seed} nodes")
        self.results = LoadResults(kinds=kinds)
        self.started_at = 0.0
        self.sent = 0
        self.in_flight = 0
        self.unfinished_kinds = 0
        self.done: Deferred[LoadResults] = Deferred()

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return self.clock.seconds() - self.started_at

    def start(self) -> Deferred[LoadResults]:
        """Start the run; the Deferred fires when all requests have ended."""
        self.started_at = self.clock.seconds()
        self.unfinished_kinds = len(self.kinds)
        for kind in self.kinds:
            self.schedule_arrival(kind, 0.0)
        return self.done

    def next_arrival(self, kind: LoadKind, after: float) -> float | None:
        """Return the time of the next request of a kind, None at the end.

        A Poisson process is memoryless, so the interval can be drawn again
        at every change of the rate.
        """
        phase_start = 0.0
        for phase in self.phases:
            phase_end = phase_start + phase.seconds
            rate = phase.rates.get(kind.name, 0.0)
            if after < phase_end and rate > 0:
                start = max(after, phase_start)
                arrival = start + self.arrivals[kind].expovariate(rate)
                if arrival < phase_end:
                    return arrival
            phase_start = phase_end
        return None

    def schedule_arrival(self, kind: LoadKind, after: float):
        """Schedule the next request of a kind."""
        intended = self.next_arrival(kind, after)
        if intended is None:
            self.unfinished_kinds -= 1
            self.finish_if_idle()
            return
        self.clock.callLater(
            max(0.0, intended - self.now), self.send_new, kind, intended
        )

    def send_new(self, kind: LoadKind, intended: float):
        """Send a request and schedule the next one of its kind."""
        self.sent += 1
        self.in_flight += 1
        request = LoadRequest(
            kind=kind,
            target=f"{self.path}/{self.seed}/{kind.name}/{self.sent}",
            intended=intended,
            client=self.random.randrange(len(self.clients)),
        )
        self.results.record_sent(kind, intended, self.now)
        self.start_attempt(request)
        self.schedule_arrival(kind, intended)

    def start_attempt(self, request: LoadRequest):
        """Make the next attempt; fetch its key first if it needs one."""
        request.attempts += 1
        remaining = request.intended + request.kind.timeout - self.now
        if remaining <= 0:
            self.end(request, Outcome.timeout())
            return
        if request.kind.needs_key and request.key is None:
            done = self.send_attempt(request, encode_key_request(), remaining)
            done.addCallback(self.handle_key, request)
        else:
            done = self.send_attempt(
                request, encode_request(request, remaining), remaining
            )
            done.addCallback(self.classify_response, request)
        done.addErrback(failed_outcome)
        done.addCallback(self.handle_outcome, request)

    def send_attempt(
        self, request: LoadRequest, data: bytes, remaining: float
    ) -> Deferred:
        """Send ``data`` to the node of the request, with a timeout."""
        if self.attempt_timeout is not None:
            remaining = min(remaining, self.attempt_timeout)
        done = self.clients[request.client].request(data)
        return done.addTimeout(remaining, self.clock)

    def handle_key(self, response: HttpResponse, request: LoadRequest):
        """Send the request with its key, or return why there is none."""
        request.key = find_header(response, b"idempotency-key")
        if request.key is None:
            return refusal_outcome(response)
        request.attempts -= 1
        self.start_attempt(request)
        return None

    def classify_response(
        self, response: HttpResponse, request: LoadRequest
    ) -> Outcome:
        """Return the outcome of an attempt that got a response."""
        if response.status >= 400:
            return refusal_outcome(response)
        if not self.check(response.body, request.target):
            return Outcome.wrong()
        return Outcome.whole()

    def handle_outcome(self, outcome: Outcome | None, request: LoadRequest):
        """End the request, or retry it at the next node."""
        if outcome is None:
            return
        self.results.record_attempt(request.kind, outcome)
        remaining = request.intended + request.kind.timeout - self.now
        if outcome.final or request.attempts > self.retries or remaining <= 0:
            self.end(request, outcome)
            return
        request.client = (request.client + 1) % len(self.clients)
        self.start_attempt(request)

    def end(self, request: LoadRequest, outcome: Outcome):
        """Record the end of a request."""
        request.last_outcome = outcome
        self.results.record_end(
            request.kind, request.intended, self.now, outcome
        )
        self.in_flight -= 1
        self.on_end(request)
        self.finish_if_idle()

    def finish_if_idle(self):
        """Fire ``done`` if no request is in flight or still to be sent."""
        if (
            not self.unfinished_kinds
            and not self.in_flight
            and not self.done.called
        ):
            self.done.callback(self.results)


def encode_key_request() -> bytes:
    """Return an encoded request for an idempotency key."""
    start = f"POST {KEYS_TARGET} HTTP/1.1\r\n".encode("ascii")
    return encode_message(start, ((b"Host", b"node"),), b"", 0)


def encode_request(request: LoadRequest, remaining: float) -> bytes:
    """Return an encoded attempt; ``remaining`` seconds is its timeout."""
    kind = request.kind
    start = (
        f"{kind.method} {request.target} HTTP/1.1\r\n"
        "Host: node\r\n"
        f"Flamingosail-Kind: {kind.name}\r\n"
        f"Flamingosail-Timeout-Ms: {max(1, int(remaining * 1000))}\r\n"
    ).encode("ascii")
    headers = ()
    if request.key is not None:
        headers = ((b"Idempotency-Key", request.key),)
    return encode_message(start, headers, b"", 0)


def find_header(response: HttpResponse, name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` is in lower case."""
    for known, value in response.headers:
        if known.lower() == name:
            return value
    return None


def refusal_outcome(response: HttpResponse) -> Outcome:
    """Return the outcome of a response that is not a success."""
    verdict = find_header(response, b"flamingosail-verdict") or b"none"
    try:
        code = json.loads(response.body)["type"].removeprefix(PROBLEM_PREFIX)
    except (ValueError, KeyError, TypeError, AttributeError):
        code = f"status-{response.status}"
    return Outcome.refused(code, verdict.decode("latin-1"))


def failed_outcome(failure: Failure) -> Outcome:
    """Return the outcome of an attempt without a complete response."""
    if failure.check(DeferredTimeout):
        return Outcome.timeout()
    if failure.check(BadResponse):
        return Outcome.wrong()
    return Outcome.error(failure.type.__name__)
