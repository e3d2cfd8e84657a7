"""Open-loop load on nodes.

Requests are sent at times drawn in advance from Poisson processes, whether
or not earlier ones were answered, and latency counts from the intended time.
A stall of the nodes or of this process therefore shows in the latency of
every request that it delayed (no coordinated omission).
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

    ``importance`` is only a label of the results. With ``needs_key`` a key
    is fetched from the node before the first attempt, within the timeout.
    """

    name: str
    importance: str = "normal"
    needs_key: bool = False
    timeout: float = 2.0
    method: str = "POST"


@dataclass(frozen=True, slots=True)
class Phase:
    """A time with constant rates in requests/s by name of kind."""

    seconds: float
    rates: dict[str, float]


class LoadClient(Interface):
    """What the generator needs of a node."""

    def request(self, data: bytes) -> Deferred:
        """Send a request; return a Deferred of its HttpResponse."""


class NodeClient:
    """Keep-alive connections to one node, as many as are in use at once."""

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
                return self.exchange(connection, data)
            connection.abort()
        opened = self.endpoint.connect(self.factory)
        return opened.addCallback(self.exchange, data)

    def exchange(
        self, connection: HttpClientProtocol, data: bytes
    ) -> Deferred[HttpResponse]:
        """Send a request on a connection and keep the connection."""
        return connection.send(data).addCallback(self.keep, connection)

    def keep(
        self, response: HttpResponse, connection: HttpClientProtocol
    ) -> HttpResponse:
        """Use a connection again if it can take another request."""
        if connection.idle:
            self.idle.append(connection)
        return response

    def close(self):
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().abort()


@dataclass(slots=True, eq=False)
class LoadRequest:
    """A request on its way; its target is unique within the run.

    ``intended`` is in seconds since the start of the run. ``client`` is
    the index of the node that gets the next attempt.
    """

    kind: LoadKind
    target: str
    intended: float
    client: int
    key: bytes | None = None
    attempts: int = 0
    last: Outcome | None = field(default=None)


class LoadGenerator:
    """Sends the load of all phases and collects the results.

    ``check`` is called with the body of an answer and the target of its
    request, and returns whether it is the whole answer to that request.
    ``retries`` is how often a caller repeats a request that failed, at once,
    at the next node and with the same key. ``attempt_timeout`` in seconds
    is when such a caller gives up an attempt; None waits for the timeout of
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
        # Separate sources keep the arrivals independent of the answers.
        self.arrivals = {kind: Random(f"{seed} {kind.name}") for kind in kinds}
        self.random = Random(f"{seed} nodes")
        self.results = LoadResults(kinds=kinds)
        self.started_at = 0.0
        self.sent = 0
        self.open = 0
        self.sending = 0
        self.done: Deferred[LoadResults] = Deferred()

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return self.clock.seconds() - self.started_at

    def start(self) -> Deferred[LoadResults]:
        """Start; the Deferred fires when all requests have ended."""
        self.started_at = self.clock.seconds()
        self.sending = len(self.kinds)
        for kind in self.kinds:
            self.await_arrival(kind, 0.0)
        return self.done

    def next_arrival(self, kind: LoadKind, after: float) -> float | None:
        """Return the time of the next request of a kind, None at the end.

        A Poisson process has no memory, so that the draw may begin anew at
        every change of the rate.
        """
        begin = 0.0
        for phase in self.phases:
            end = begin + phase.seconds
            rate = phase.rates.get(kind.name, 0.0)
            if after < end and rate > 0:
                start = max(after, begin)
                arrival = start + self.arrivals[kind].expovariate(rate)
                if arrival < end:
                    return arrival
            begin = end
        return None

    def await_arrival(self, kind: LoadKind, after: float):
        """Wait for the next intended time of a kind."""
        intended = self.next_arrival(kind, after)
        if intended is None:
            self.sending -= 1
            self.finish_if_idle()
            return
        self.clock.callLater(
            max(0.0, intended - self.now), self.arrive, kind, intended
        )

    def arrive(self, kind: LoadKind, intended: float):
        """Send a request at its time."""
        self.sent += 1
        self.open += 1
        request = LoadRequest(
            kind=kind,
            target=f"{self.path}/{self.seed}/{kind.name}/{self.sent}",
            intended=intended,
            client=self.random.randrange(len(self.clients)),
        )
        self.results.sent(kind, intended, self.now)
        self.attempt(request)
        self.await_arrival(kind, intended)

    def attempt(self, request: LoadRequest):
        """Make the next attempt, or fetch the key that it needs."""
        request.attempts += 1
        left = request.intended + request.kind.timeout - self.now
        if left <= 0:
            self.end(request, Outcome.timeout())
            return
        if request.kind.needs_key and request.key is None:
            done = self.send(request, key_request(), left)
            done.addCallback(self.on_key, request)
        else:
            done = self.send(request, encode_request(request, left), left)
            done.addCallback(self.outcome, request)
        done.addErrback(failed_outcome)
        done.addCallback(self.on_outcome, request)

    def send(self, request: LoadRequest, data: bytes, left: float) -> Deferred:
        """Send to the node of the request, for a limited time."""
        if self.attempt_timeout is not None:
            left = min(left, self.attempt_timeout)
        done = self.clients[request.client].request(data)
        return done.addTimeout(left, self.clock)

    def on_key(self, response: HttpResponse, request: LoadRequest):
        """Go on with the key, or return why there is none."""
        request.key = header(response, b"idempotency-key")
        if request.key is None:
            return refusal_outcome(response)
        request.attempts -= 1
        self.attempt(request)
        return None

    def outcome(self, response: HttpResponse, request: LoadRequest) -> Outcome:
        """Return how an attempt ended."""
        if response.status >= 400:
            return refusal_outcome(response)
        if not self.check(response.body, request.target):
            return Outcome.wrong()
        return Outcome.whole()

    def on_outcome(self, outcome: Outcome | None, request: LoadRequest):
        """End the request, or repeat it at the next node."""
        if outcome is None:
            return
        self.results.attempted(request.kind, outcome)
        left = request.intended + request.kind.timeout - self.now
        if outcome.final or request.attempts > self.retries or left <= 0:
            self.end(request, outcome)
            return
        request.client = (request.client + 1) % len(self.clients)
        self.attempt(request)

    def end(self, request: LoadRequest, outcome: Outcome):
        """Count the end of a request."""
        request.last = outcome
        self.results.ended(request.kind, request.intended, self.now, outcome)
        self.open -= 1
        self.on_end(request)
        self.finish_if_idle()

    def finish_if_idle(self):
        """Fire when nothing is left to send or to wait for."""
        if not self.sending and not self.open and not self.done.called:
            self.done.callback(self.results)


def key_request() -> bytes:
    """Return the request for a key."""
    first = f"POST {KEYS_TARGET} HTTP/1.1\r\n".encode("ascii")
    return encode_message(first, ((b"Host", b"node"),), b"", 0)


def encode_request(request: LoadRequest, left: float) -> bytes:
    """Return an attempt with the time that is left for it."""
    kind = request.kind
    first = (
        f"{kind.method} {request.target} HTTP/1.1\r\n"
        "Host: node\r\n"
        f"Flamingosail-Kind: {kind.name}\r\n"
        f"Flamingosail-Timeout-Ms: {max(1, int(left * 1000))}\r\n"
    ).encode("ascii")
    headers = ()
    if request.key is not None:
        headers = ((b"Idempotency-Key", request.key),)
    return encode_message(first, headers, b"", 0)


def header(response: HttpResponse, name: bytes) -> bytes | None:
    """Return the first header of a name in lower case."""
    for known, value in response.headers:
        if known.lower() == name:
            return value
    return None


def refusal_outcome(response: HttpResponse) -> Outcome:
    """Return the outcome of an answer that is not a success."""
    verdict = header(response, b"flamingosail-verdict") or b"none"
    try:
        code = json.loads(response.body)["type"].removeprefix(PROBLEM_PREFIX)
    except (ValueError, KeyError, TypeError, AttributeError):
        code = f"status-{response.status}"
    return Outcome.refused(code, verdict.decode("latin-1"))


def failed_outcome(failure: Failure) -> Outcome:
    """Return the outcome of an attempt without a complete answer."""
    if failure.check(DeferredTimeout):
        return Outcome.timeout()
    if failure.check(BadResponse):
        return Outcome.wrong()
    return Outcome.error(failure.type.__name__)
