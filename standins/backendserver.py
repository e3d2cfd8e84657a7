"""Stand-in for a backend server that runs beside a node.

    python -m standins.backendserver --service histbook --slots 150

Flags override the JSON file given with ``--settings``, such as
``docs/backendserver.json``. Once it listens, it prints one JSON line with
its port. It retries the announcement to its node until accepted and repeats
it whenever a load report fails or needed a new connection.

Besides requests it serves ``POST /control`` (see ``ControlCommand``),
``GET /runs``, ``GET /targets``, ``GET /stats``, ``GET /health`` and
``DELETE /flamingosail/requests/<token>``.
"""

import json
import os
import sys
from dataclasses import dataclass
from dataclasses import fields
from pathlib import Path
from random import Random
from typing import Annotated
from typing import Literal

import cappa
from msgspec import convert
from msgspec import json as msgjson
from msgspec import Meta
from msgspec import Struct
from twisted.internet.defer import Deferred
from twisted.internet.defer import fail
from twisted.internet.defer import inlineCallbacks
from twisted.internet.defer import succeed
from twisted.internet.task import LoopingCall

from flamingosail.settings import Address
from standins.wire import Client
from standins.wire import ServerFactory
from standins.wire import WireError
from standins.wire import WireRequest
from standins.wire import WireResponse
from standins.workload import Distribution
from standins.workload import error_response
from standins.workload import JSON_CONTENT_TYPE
from standins.workload import KindConfig
from standins.workload import Workload

__all__ = ["BackendServer", "BackendSettings", "ControlCommand", "main"]

ANNOUNCE_INTERVAL_SECONDS = 0.25
LOAD_REPORT_INTERVAL_SECONDS = 1.0
CONTROL_TIMEOUT_SECONDS = 2.0
CANCEL_TARGET_PREFIX = "/flamingosail/requests/"
Count = Annotated[int, Meta(ge=1)]
Milliseconds = Annotated[float, Meta(ge=0)]


class BackendSettings(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of the stand-in; see ``Workload`` for most of them.

    ``control`` and ``egress`` are the addresses (ip:port) of the node's
    listeners. ``port`` 0 means a free port. ``connections`` is the number
    accepted at a time, and ``seed`` that of the random service times.
    """

    service: str
    host: str = "127.0.0.1"
    port: Annotated[int, Meta(ge=0, le=65535)] = 0
    slots: Count = 1
    connections: Count = 1000
    service_ms: Milliseconds = 1.0
    distribution: Distribution = "fixed"
    seed: int = 0
    control: str | None = None
    egress: str | None = None
    padding_bytes: Annotated[int, Meta(ge=0)] = 0
    kinds: dict[str, KindConfig] = {}


class ControlCommand(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """The body of ``POST /control``; fields left out change nothing.

    A ``frozen`` server starts and answers no request; a ``failing`` one
    answers 500 at once. ``report`` makes health and load reports ``honest``,
    always ``idle`` or always ``failed``. ``drain`` asks the node to drain.
    """

    service_ms: Milliseconds | None = None
    frozen: bool | None = None
    failing: bool | None = None
    report: Literal["honest", "idle", "failed"] | None = None
    drain: bool = False


class BackendServer:
    """Serves a workload over HTTP, and announces it and its load to a node.

    ``connections_at_announcement`` is the number of control connections
    opened when the last announcement was accepted.
    """

    def __init__(self, *, reactor, settings: BackendSettings):
        self.reactor = reactor
        self.settings = settings
        self.report = "honest"
        self.announced = False
        self.connections_at_announcement = 0
        self.load_report_loop: LoopingCall | None = None
        self.control = create_client(reactor, settings.control)
        self.egress = create_client(reactor, settings.egress)
        self.workload = Workload(
            clock=reactor,
            random=Random(settings.seed),
            service=settings.service,
            slots=settings.slots,
            service_ms=settings.service_ms,
            distribution=settings.distribution,
            kinds=settings.kinds,
            call=self.call,
            padding_bytes=settings.padding_bytes,
        )
        self.listening_port = None

    def start(self):
        """Listen and start announcing to the node, if one is configured."""
        factory = ServerFactory(
            handler=self.handle, max_connections=self.settings.connections
        )
        self.listening_port = self.reactor.listenTCP(
            self.settings.port, factory, interface=self.settings.host
        )
        if self.control is not None:
            self._announce()

    @property
    def port(self) -> int:
        """The port on which the server listens."""
        return self.listening_port.getHost().port

    def call(self, **request) -> Deferred[WireResponse]:
        """Send a step's request through the node."""
        if self.egress is None:
            return fail(WireError("no egress address is set"))
        return self.egress.request(**request)

    def handle(self, request: WireRequest) -> Deferred[WireResponse]:
        """Dispatch a request to the stand-in's endpoints or to the workload.

        Requests with Flamingosail-Kind go to the workload, except for
        cancellations.
        """
        if request.method == "DELETE" and request.target.startswith(
            CANCEL_TARGET_PREFIX
        ):
            token = request.target.removeprefix(CANCEL_TARGET_PREFIX)
            found = self.workload.cancel(token)
            return succeed(WireResponse(204 if found else 404))
        endpoint = {
            ("GET", "/runs"): self._runs,
            ("GET", "/targets"): self._targets,
            ("GET", "/stats"): self._stats,
            ("GET", "/health"): self._health,
            ("POST", "/control"): self._control,
        }.get((request.method, request.target))
        if endpoint is not None and "flamingosail-kind" not in request.headers:
            return endpoint(request)
        return self.workload.serve(request)

    def _runs(self, request: WireRequest) -> Deferred[WireResponse]:
        return json_response(dict(self.workload.runs))

    def _targets(self, request: WireRequest) -> Deferred[WireResponse]:
        return json_response(self.workload.targets)

    def _stats(self, request: WireRequest) -> Deferred[WireResponse]:
        return json_response(
            {**self.workload.stats(), "announced": self.announced}
        )

    def _health(self, request: WireRequest) -> Deferred[WireResponse]:
        workload = self.workload
        if self.report == "honest":
            healthy = not (workload.frozen or workload.failing)
        else:
            healthy = self.report == "idle"
        return json_response({"healthy": healthy}, 200 if healthy else 503)

    def _control(self, request: WireRequest) -> Deferred[WireResponse]:
        try:
            command = msgjson.decode(request.body, type=ControlCommand)
        except ValueError as error:
            return succeed(error_response(400, str(error)))
        self._apply(command)
        if command.drain:
            return self._drain()
        return json_response({})

    def _apply(self, command: ControlCommand):
        workload = self.workload
        if command.service_ms is not None:
            workload.service_ms = command.service_ms
        if command.failing is not None:
            workload.failing = command.failing
        if command.report is not None:
            self.report = command.report
        if command.frozen is not None:
            workload.frozen = command.frozen
            if not command.frozen:
                workload.thaw()

    @inlineCallbacks
    def _drain(self):
        if self.control is None:
            return error_response(409, "no control address is set")
        try:
            response = yield self._post("/drain", {})
        except WireError as error:
            return error_response(502, str(error))
        return WireResponse(
            response.status, response.body, (JSON_CONTENT_TYPE,)
        )

    def _post(self, target: str, value: dict) -> Deferred[WireResponse]:
        return self.control.request(
            method="POST",
            target=target,
            headers={"Content-Type": "application/json"},
            body=json.dumps(value).encode(),
            timeout=CONTROL_TIMEOUT_SECONDS,
        )

    @inlineCallbacks
    def _announce(self):
        """Announce the server, then report its load; repeat on failure."""
        self.announced = False
        announcement = {
            "service": self.settings.service,
            "host": self.settings.host,
            "port": self.port,
            "slots": self.settings.slots,
            "connections": self.settings.connections,
            "pid": os.getpid(),
        }
        if (yield self._try_post("/announce", announcement)):
            self.announced = True
            self.connections_at_announcement = self.control.connections_opened
            loop = LoopingCall(self._report_load)
            loop.clock = self.reactor
            self.load_report_loop = loop
            yield loop.start(LOAD_REPORT_INTERVAL_SECONDS, now=False)
        self.reactor.callLater(ANNOUNCE_INTERVAL_SECONDS, self._announce)

    @inlineCallbacks
    def _report_load(self):
        load = self.workload.load()
        if self.report == "idle":
            load = {"in_flight": 0, "queued": 0}
        elif self.report == "failed":
            load = {"in_flight": self.settings.slots, "queued": 1_000}
        accepted = yield self._try_post("/load", load)
        # A new connection may mean that the node restarted between two
        # reports; the new process needs the announcement.
        if (
            not accepted
            or self.control.connections_opened
            != self.connections_at_announcement
        ):
            self.load_report_loop.stop()

    @inlineCallbacks
    def _try_post(self, target: str, value: dict):
        """Send JSON to the node and return whether it accepted it."""
        try:
            response = yield self._post(target, value)
        except WireError:
            return False
        return response.status < 300


def create_client(reactor, address: str | None) -> Client | None:
    """Return a client for an ip:port address, None if there is none.

    :raises ValueError: if the address is invalid.
    """
    if address is None:
        return None
    parsed = Address.parse(address)
    return Client(reactor=reactor, host=parsed.host, port=parsed.port)


def json_response(value: dict, status: int = 200) -> Deferred[WireResponse]:
    """Return a fired Deferred of a response with a JSON body."""
    body = json.dumps(value).encode()
    return succeed(WireResponse(status, body, (JSON_CONTENT_TYPE,)))


@cappa.command(name="standins.backendserver", help="A backend server.")
@dataclass(frozen=True, kw_only=True)
class BackendCommand:
    """Flags; those left out keep the value of the file or the default."""

    settings: Annotated[Path | None, cappa.Arg(long=True)] = None
    service: Annotated[str | None, cappa.Arg(long=True)] = None
    host: Annotated[str | None, cappa.Arg(long=True)] = None
    port: Annotated[int | None, cappa.Arg(long=True)] = None
    slots: Annotated[int | None, cappa.Arg(long=True)] = None
    connections: Annotated[int | None, cappa.Arg(long=True)] = None
    service_ms: Annotated[float | None, cappa.Arg(long=True)] = None
    distribution: Annotated[str | None, cappa.Arg(long=True)] = None
    seed: Annotated[int | None, cappa.Arg(long=True)] = None
    control: Annotated[str | None, cappa.Arg(long=True)] = None
    egress: Annotated[str | None, cappa.Arg(long=True)] = None
    padding_bytes: Annotated[int | None, cappa.Arg(long=True)] = None
    kinds: Annotated[
        str | None, cappa.Arg(long=True, help="Table of kinds as JSON.")
    ] = None


def merge_settings(command: BackendCommand) -> BackendSettings:
    """Return the settings of the file, overridden by the flags.

    :raises OSError: if the file can't be read.
    :raises ValueError: if a setting is invalid.
    """
    values = {}
    if command.settings is not None:
        values = msgjson.decode(command.settings.read_bytes(), type=dict)
    for flag in fields(command):
        value = getattr(command, flag.name)
        if flag.name != "settings" and value is not None:
            values[flag.name] = value
    if isinstance(values.get("kinds"), str):
        values["kinds"] = msgjson.decode(values["kinds"])
    return convert(values, BackendSettings)


def main(argv: list[str] | None = None):
    """Run the stand-in until the process is terminated."""
    command = cappa.parse(BackendCommand, argv=argv, completion=False)
    from twisted.internet import reactor

    try:
        settings = merge_settings(command)
        server = BackendServer(reactor=reactor, settings=settings)
    except (OSError, ValueError) as error:
        sys.exit(f"standins.backendserver: {error}")
    server.start()
    line = {
        "port": server.port,
        "pid": os.getpid(),
        "service": settings.service,
    }
    print(json.dumps(line), flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
