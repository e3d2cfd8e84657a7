"""Test doubles for the proxy: headers, transport, gate, reports, jobs."""

from collections.abc import Callable
from dataclasses import replace
from random import Random
from types import SimpleNamespace

from twisted.internet.testing import MemoryReactorClock
from twisted.internet.testing import StringTransport

from flamingosail.proxy.dialect import Dialect
from flamingosail.proxy.gate import Gate
from flamingosail.proxy.job import Job
from flamingosail.proxy.job import ServerReport
from flamingosail.proxy.node import NodeConfig
from flamingosail.proxy.node import ProxyNode
from flamingosail.proxy.nodemetrics import NodeMetrics
from flamingosail.proxy.policy.overload import LoadMeter
from flamingosail.proxy.policy.quarantine import Quarantine
from flamingosail.proxy.shared.quotas import QuotaExchange
from flamingosail.proxy.shared.routes import ClientLimits
from flamingosail.proxy.shared.routes import Route
from flamingosail.proxy.shared.routes import RouteTable
from flamingosail.proxy.shared.routes import WeightedService
from flamingosail.proxy.shared.serverstate import ServerState
from flamingosail.proxy.transport.backendserver import ServerResponse
from flamingosail.settings import Address

DIALECT = Dialect(
    request_id=b"x-id",
    deadline=b"x-deadline",
    expected_instance=b"x-expected",
    credential=b"x-key",
    tenant=b"x-tenant",
    caller_service=b"x-caller",
    not_executed=b"x-not-executed",
    signature=b"x-signature",
    load=b"x-load",
    instance=b"x-instance",
    rate_limit=b"x-rate-limit",
    leaving=b"x-leaving",
)


class ClosingTransport(StringTransport):
    """A transport that records how it was closed."""

    closed = aborted = False

    def loseConnection(self):  # noqa: N802 - named by twisted
        self.closed = True

    def abortConnection(self):  # noqa: N802 - named by twisted
        self.aborted = True

    def setTcpNoDelay(self, enabled):  # noqa: N802 - named by twisted
        pass

    def setTcpKeepAlive(self, enabled):  # noqa: N802 - named by twisted
        pass

    def getHandle(self):  # noqa: N802 - named by twisted
        return SimpleNamespace(setsockopt=lambda *args: None)


class FakePool:
    """Records the requests that a gate sends."""

    address = "127.0.0.1:80"

    def __init__(self):
        self.sent = []
        self.connections = set()
        self.refuses = False

    def send(self, request):
        request.written = True
        self.sent.append(request)

    def probe(self, timeout, report):
        report(self.refuses)

    def close_idle(self):
        pass


def make_route(**changes) -> Route:
    """Return a route; the arguments replace its fields."""
    fields = {
        "name": "r-read",
        "services": (WeightedService(service="histbook", weight=1.0),),
        "idempotent": True,
        "timeout_seconds": 2.0,
        "priority": 1,
        "max_attempts": 2,
    }
    return Route(**{**fields, **changes})


def make_gate(clock=None, *, pool=None, on_change=None) -> Gate:
    """Return a gate without sockets."""
    clock = clock or MemoryReactorClock()
    return Gate(
        clock=clock,
        pool=pool or FakePool(),
        dialect=DIALECT,
        meter=LoadMeter(clock=clock),
        metrics=NodeMetrics(),
        quarantine=Quarantine(clock=clock, on_change=lambda news: None),
        server=ServerState(
            clock=clock,
            drain_seconds=2.0,
            on_change=on_change or (lambda: None),
        ),
        expected_seconds=lambda root_route, service: 0.1,
    )


def make_quotas(clock, **changes) -> QuotaExchange:
    """Return the quota exchange of a node of the failure domain fd-a."""
    fields = {
        "random": Random(1),
        "own_address": "10.0.0.5:80",
        "failure_domain": "fd-a",
        "failure_domains": ("fd-a", "fd-b"),
        "first_start": True,
        "peers": lambda: (),
        "metrics": NodeMetrics(),
    }
    return QuotaExchange(clock=clock, **{**fields, **changes})


def make_report(**changes) -> ServerReport:
    """Return a report of a ready server."""
    fields = {
        "instance": "i-1",
        "service": "histbook",
        "start_ms": 1000,
        "sequence": 1,
        "state": "ready",
        "slots": 2,
        "cold_until": 0.0,
    }
    return ServerReport(**{**fields, **changes})


def make_job(ends: list, **changes) -> Job:
    """Return a job that appends its id and result to ``ends``."""
    fields = {
        "request_id": b"a",
        "service": "histbook",
        "request_line": b"GET /a HTTP/1.1\r\n",
        "head": b"Host: h\r\n",
        "body": b"",
        "deadline": 1.0,
        "idempotent": True,
        "root_route": 7,
        "rank": 3,
        "is_retry": False,
        "on_end": lambda job, *result: ends.append((job.request_id, *result)),
    }
    return Job(**{**fields, **changes})


def make_response(**changes) -> ServerResponse:
    """Return a successful response of a server."""
    fields = {
        "status": 200,
        "head": b"Content-Type: text/plain\r\n",
        "body": b"whole",
        "signature": b"p",
        "not_executed": False,
        "instance": None,
        "rate_limit": None,
        "leaving": False,
        "load": None,
        "keep_alive": False,
    }
    return ServerResponse(**{**fields, **changes})


def make_table(version: int, route: Route | None = None) -> RouteTable:
    """Return a configuration with one route, for the host h."""
    return RouteTable(
        version=version,
        hosts={b"h": {b"/": route or make_route()}},
        limits=ClientLimits(),
    )


def make_node(
    clock: MemoryReactorClock,
    parse_config: Callable[[bytes], RouteTable],
    **config_changes,
) -> ProxyNode:
    """Return a node in the failure domain fd-a that has not been started.

    The other arguments replace fields of its NodeConfig.
    """
    address = Address("10.0.0.5", 80)
    return ProxyNode(
        reactor=clock,
        random=Random(1),
        config=replace(
            NodeConfig(
                name="n",
                failure_domain="fd-a",
                service="histbook",
                clients=address,
                peers=address,
                advertised=address,
                server=address,
                drain_seconds=2.0,
                retry_ratio=0.2,
                memory_bytes=200_000_000,
                retry_minimum=47,
                stop_seconds=6.0,
            ),
            **config_changes,
        ),
        dialect=DIALECT,
        parse_config=parse_config,
    )
