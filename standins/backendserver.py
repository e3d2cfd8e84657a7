"""A stand-in for a backend server, run beside its node.

    python -m standins.backendserver --service histbook --slots 150

Flags override the JSON file given with ``--settings``;
``docs/backendserver.json`` is an example. It prints one JSON
line with its port when it listens, announces itself to its node until that
works, and again whenever a load report fails or needed a new connection.

Besides requests it serves ``POST /control`` (see ``ControlOrder``),
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
from standins.wire import WireAnswer
from standins.wire import WireError
from standins.wire import WireRequest
from standins.workload import Distribution
from standins.workload import error_answer
from standins.workload import JSON_TYPE
from standins.workload import KindTable
from standins.workload import Workload

__all__ = ["BackendServer", "BackendSettings", "ControlOrder", "main"]

ANNOUNCE_INTERVAL_SECONDS = 0.25
LOAD_INTERVAL_SECONDS = 1.0
CONTROL_TIMEOUT_SECONDS = 2.0
CANCEL_PREFIX = "/flamingosail/requests/"
Count = Annotated[int, Meta(ge=1)]
Milliseconds = Annotated[float, Meta(ge=0)]


class BackendSettings(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings; ``control`` and ``egress`` are listeners of the node."""

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
    kinds: dict[str, KindTable] = {}


class ControlOrder(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """The body of ``POST /control``; members left out change nothing.

    ``frozen`` starts and answers nothing, ``failing`` answers 500 at once.
    ``report`` makes health and load reports honest, always ``idle`` or
    always ``failed``. ``drain`` tells the node that the server leaves.
    """

    service_ms: Milliseconds | None = None
    frozen: bool | None = None
    failing: bool | None = None
    report: Literal["honest", "idle", "failed"] | None = None
    drain: bool = False


class BackendServer:
    """Connects a workload to its listener and its node."""

    def __init__(self, *, reactor, settings: BackendSettings):
        self.reactor = reactor
        self.settings = settings
        self.report = "honest"
        self.announced = False
        self.connects = 0
        self.loop: LoopingCall | None = None
        self.control = connect(reactor, settings.control)
        self.egress = connect(reactor, settings.egress)
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
        self.listening = None

    def start(self):
        """Listen, then report to the node until the process ends."""
        factory = ServerFactory(
            handler=self.handle, connections=self.settings.connections
        )
        self.listening = self.reactor.listenTCP(
            self.settings.port, factory, interface=self.settings.host
        )
        if self.control is not None:
            self._announce()

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return self.listening.getHost().port

    def call(self, **request) -> Deferred[WireAnswer]:
        """Send a step's request through the node."""
        if self.egress is None:
            return fail(WireError("no egress address is set"))
        return self.egress.request(**request)

    def handle(self, request: WireRequest) -> Deferred[WireAnswer]:
        """Answer a request, or an order to the stand-in itself."""
        if request.method == "DELETE" and request.target.startswith(
            CANCEL_PREFIX
        ):
            token = request.target.removeprefix(CANCEL_PREFIX)
            found = self.workload.cancel(token)
            return succeed(WireAnswer(204 if found else 404))
        own = {
            ("GET", "/runs"): self._runs,
            ("GET", "/targets"): self._targets,
            ("GET", "/stats"): self._stats,
            ("GET", "/health"): self._health,
            ("POST", "/control"): self._control,
        }.get((request.method, request.target))
        if own is not None and "flamingosail-kind" not in request.headers:
            return own(request)
        return self.workload.serve(request)

    def _runs(self, request: WireRequest) -> Deferred[WireAnswer]:
        return json_answer(dict(self.workload.runs))

    def _targets(self, request: WireRequest) -> Deferred[WireAnswer]:
        return json_answer(self.workload.targets)

    def _stats(self, request: WireRequest) -> Deferred[WireAnswer]:
        return json_answer(
            {**self.workload.stats(), "announced": self.announced}
        )

    def _health(self, request: WireRequest) -> Deferred[WireAnswer]:
        workload = self.workload
        if self.report == "honest":
            good = not (workload.frozen or workload.failing)
        else:
            good = self.report == "idle"
        return json_answer({"healthy": good}, 200 if good else 503)

    def _control(self, request: WireRequest) -> Deferred[WireAnswer]:
        try:
            order = msgjson.decode(request.body, type=ControlOrder)
        except ValueError as error:
            return succeed(error_answer(400, str(error)))
        self._apply(order)
        if order.drain:
            return self._drain()
        return json_answer({})

    def _apply(self, order: ControlOrder):
        workload = self.workload
        if order.service_ms is not None:
            workload.service_ms = order.service_ms
        if order.failing is not None:
            workload.failing = order.failing
        if order.report is not None:
            self.report = order.report
        if order.frozen is not None:
            workload.frozen = order.frozen
            if not order.frozen:
                workload.thaw()

    @inlineCallbacks
    def _drain(self):
        if self.control is None:
            return error_answer(409, "no control address is set")
        try:
            answer = yield self._post("/drain", {})
        except WireError as error:
            return error_answer(502, str(error))
        return WireAnswer(answer.status, answer.body, (JSON_TYPE,))

    def _post(self, target: str, value: dict) -> Deferred[WireAnswer]:
        return self.control.request(
            method="POST",
            target=target,
            headers={"Content-Type": "application/json"},
            body=json.dumps(value).encode(),
            timeout=CONTROL_TIMEOUT_SECONDS,
        )

    @inlineCallbacks
    def _announce(self):
        """Announce until it works, then report the load."""
        self.announced = False
        announcement = {
            "service": self.settings.service,
            "host": self.settings.host,
            "port": self.port,
            "slots": self.settings.slots,
            "connections": self.settings.connections,
            "pid": os.getpid(),
        }
        if (yield self._accepted("/announce", announcement)):
            self.announced = True
            self.connects = self.control.connects
            reports = LoopingCall(self._report_load)
            reports.clock = self.reactor
            self.loop = reports
            yield reports.start(LOAD_INTERVAL_SECONDS, now=False)
        self.reactor.callLater(ANNOUNCE_INTERVAL_SECONDS, self._announce)

    @inlineCallbacks
    def _report_load(self):
        load = self.workload.load()
        if self.report == "idle":
            load = {"in_flight": 0, "queued": 0}
        elif self.report == "failed":
            load = {"in_flight": self.settings.slots, "queued": 1_000}
        accepted = yield self._accepted("/load", load)
        # A new connection may lead to a new node, which took the place of
        # the old one between two reports and needs the announcement.
        if not accepted or self.control.connects != self.connects:
            self.loop.stop()

    @inlineCallbacks
    def _accepted(self, target: str, value: dict):
        try:
            answer = yield self._post(target, value)
        except WireError:
            return False
        return answer.status < 300


def connect(reactor, address: str | None) -> Client | None:
    """Return a client for an address written as ip:port."""
    if address is None:
        return None
    node = Address.parse(address)
    return Client(reactor=reactor, host=node.host, port=node.port)


def json_answer(value: dict, status: int = 200) -> Deferred[WireAnswer]:
    """Return an answer with a JSON body."""
    body = json.dumps(value).encode()
    return succeed(WireAnswer(status, body, (JSON_TYPE,)))


@cappa.command(name="standins.backendserver", help="A backend server.")
@dataclass(frozen=True, kw_only=True)
class BackendCommand:
    """Flags; those left out keep the value in the file or the default."""

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


def combine(command: BackendCommand) -> BackendSettings:
    """Return the settings of the file with the flags put over them.

    :raises ValueError: if they are not valid.
    """
    values = {}
    if command.settings is not None:
        values = msgjson.decode(command.settings.read_bytes(), type=dict)
    for item in fields(command):
        value = getattr(command, item.name)
        if item.name != "settings" and value is not None:
            values[item.name] = value
    if isinstance(values.get("kinds"), str):
        values["kinds"] = msgjson.decode(values["kinds"])
    return convert(values, BackendSettings)


def main(argv: list[str] | None = None):
    """Run the stand-in until it is ended."""
    command = cappa.parse(BackendCommand, argv=argv, completion=False)
    from twisted.internet import reactor

    try:
        settings = combine(command)
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
