"""Nodes as processes, servers and clients as tasks, for the cases 6 to 10.

Each VM has a loopback address of its own, so that nodes are started with the
command of ``deploy/system.toml`` and all have the same ports, as on the
platform. The metadata store is the project's stand-in, a separate process.
"""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path

__all__ = [
    "Answer",
    "Case",
    "Client",
    "configuration",
    "encode_request",
    "read_response",
    "Request",
    "route",
    "run_case",
    "Server",
]

ROOT = Path(__file__).resolve().parent.parent
CLIENTS, SERVER, READY, PEERS, CONTROL, STORE = range(8300, 8306)
METRICS = 9464
START_SECONDS = 30.0
# Python itself exits with 1 after an error; ``run.sh`` turns 10 into 1.
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 10, 2


class NotRunError(Exception):
    """The case could not be run."""


class Request:
    """A request that a server has received."""

    def __init__(self, head: bytes, body: bytes):
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ", 2)
        self.headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.headers[name.lower()] = value.strip()
        self.body = body
        self.id = self.headers.get("flamingosail-request-id", "")


class Answer:
    """The response of a server; ``head`` holds further header lines."""

    def __init__(self, status: int, body: bytes = b"", head: str = ""):
        self.status, self.body, self.head = status, body, head

    def encode(self, method: str = "GET") -> bytes:
        """Return the bytes of the response."""
        start = (
            f"HTTP/1.1 {self.status} -\r\n{self.head}"
            f"Content-Length: {len(self.body)}\r\n\r\n"
        ).encode()
        return start if method == "HEAD" else start + self.body


class Server:
    """A backend server as ``PROTOCOL.md`` describes it.

    ``work`` is awaited with the request and returns the body of the answer.
    ``runs`` has the time and the id of each request that it began to run.
    """

    def __init__(self, case: "Case", vm: str, service: str, **options):
        self.case, self.vm, self.service = case, vm, service
        self.id = options.get("id", f"i-{random.getrandbits(32):08x}")
        self.born = int(time.time() * 1000)
        self.slots = options.get("slots", 50)
        self.work = options.get("work", self.plain_work)
        self.state = "ready"
        self.healthy = True
        self.sequence = 0
        self.runs: list[tuple[float, str]] = []
        self.listener = None
        self.beats = None

    async def plain_work(self, request: Request) -> bytes:
        """Take some milliseconds and return a short body."""
        await asyncio.sleep(0.02)
        return b"done"

    async def start(self):
        """Listen, and report every 1.5 s to the node of this VM."""
        self.listener = await asyncio.start_server(
            self.serve_connection, self.vm, SERVER, limit=1 << 20
        )
        self.beats = asyncio.create_task(self.report_always())

    async def report_always(self):
        """Send a heartbeat every 1.5 s."""
        while True:
            await self.report()
            await asyncio.sleep(1.5)

    def heartbeat(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                "address": f"{self.vm}:{SERVER}",
                "born": self.born,
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.case.zone_of(self.vm),
                    "slots": self.slots,
                },
                "status": {
                    "state": self.state,
                    "seq": self.sequence,
                    "coldRemainingS": 0,
                },
            }
        ).encode()

    async def report(self, body: bytes | None = None) -> int:
        """Send a heartbeat; return the status, 0 without an answer."""
        return await self.tell("Heartbeat", body or self.heartbeat())

    async def deregister(self) -> int:
        """Say that this server leaves; return the status."""
        self.healthy = False
        return await self.tell(
            "Deregister", json.dumps({"born": self.born}).encode()
        )

    async def tell(self, call: str, body: bytes) -> int:
        """Make a call to the node of this VM; return the status or 0."""
        try:
            async with asyncio.timeout(1.0):
                status, _, _ = await Client(self.vm, CONTROL).send(
                    "POST",
                    f"/v1/Instances.{call}/{self.id}",
                    f"Host: {self.vm}:{CONTROL}\r\n"
                    "Content-Type: application/json\r\n",
                    body,
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = 0
        return status

    async def serve_connection(self, reader, writer):
        """Answer the requests of one connection in order."""
        try:
            while True:
                request = await read_request(reader)
                await self.respond(request, reader, writer)
                await writer.drain()
                if not self.healthy:
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass  # the node has closed the connection
        finally:
            writer.close()

    async def respond(self, request: Request, reader, writer):
        """Run one request and write its answer."""
        answer = await self.answer(request)
        writer.write(answer.encode(request.method))

    async def answer(self, request: Request) -> Answer:
        """Run a request, unless it is for another server."""
        # A server that leaves says so in its responses.
        close = "" if self.healthy else "Connection: close\r\n"
        if request.target == "/health":
            status = 200 if self.healthy else 503
            return Answer(
                status,
                head=f"{close}Flamingosail-Instance-Id: {self.id}\r\n",
            )
        named = f"{close}Flamingosail-Request-Id: {request.id}\r\n"
        if request.headers.get("flamingosail-expected-instance") != self.id:
            named += f"Flamingosail-Instance-Id: {self.id}\r\n"
            return Answer(421, head=named)
        self.runs.append((self.case.now(), request.id))
        self.case.note(f"{self.id} runs {request.method} {request.id}")
        body = await self.work(request)
        return Answer(200, body, named + self.stamp(request.id))

    def stamp(self, request_id: str) -> str:
        """Return the header line by which clients know the answer."""
        return f"Flamingosail-Server-Stamp: {self.id}.{request_id}\r\n"

    async def stop(self):
        """Stop listening and reporting."""
        if self.beats is not None:
            self.beats.cancel()
        if self.listener is not None:
            self.listener.close()


async def read_request(reader) -> Request:
    """Read one request with a Content-Length, or without a body."""
    head = (await reader.readuntil(b"\r\n\r\n"))[:-4]
    request = Request(head, b"")
    length = int(request.headers.get("content-length", "0"))
    if length:
        request.body = await reader.readexactly(length)
    return request


class Client:
    """Sends requests to a port of a VM, each on a new connection."""

    def __init__(self, vm: str, port: int = CLIENTS):
        self.vm, self.port = vm, port

    async def send(
        self, method: str, target: str, head: str = "", body: bytes = b""
    ) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body of the response."""
        reader, writer = await asyncio.open_connection(self.vm, self.port)
        try:
            writer.write(encode_request(method, target, head, body))
            return await read_response(reader, method)
        finally:
            writer.close()


def encode_request(
    method: str, target: str, head: str = "", body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    if "host:" not in head.lower():
        head = "Host: case.example\r\n" + head
    if body or method in ("POST", "PUT"):
        head += f"Content-Length: {len(body)}\r\n"
    return f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body


async def read_response(
    reader, method: str
) -> tuple[int, dict[str, str], bytes]:
    """Read one response of a node."""
    head = (await reader.readuntil(b"\r\n\r\n"))[:-4].decode("latin-1")
    lines = head.split("\r\n")
    status = int(lines[0].split()[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if method != "HEAD" and status not in (204, 304):
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length)
    return status, headers, body


class Case:
    """The processes, the record and the result of one case."""

    def __init__(self, folder: Path, **options):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = (folder / "record.txt").open("w")
        self.started = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.zones: dict[str, str] = {}
        self.bounds: dict[str, str] = options.get("bounds", {})
        self.processes: dict[str, subprocess.Popen] = {}
        self.servers: list[Server] = []
        self.net = self.free_net()
        self.note(f"TROUBLE={int(self.trouble)}")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def note(self, text: str):
        """Write a line to the record."""
        self.record.write(f"{self.now():8.3f} {text}\n")
        self.record.flush()

    # Addresses.

    def free_net(self) -> str:
        """Return three bytes of loopback addresses that nothing uses."""
        for _ in range(100):
            net = f"127.{random.randint(2, 254)}.{random.randint(1, 254)}"
            try:
                for last in (1, 2, 3):
                    for port in (CLIENTS, SERVER, METRICS, STORE):
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{last}", port))
            except OSError:
                continue
            return net
        raise NotRunError("no free loopback addresses")

    def vm(self, number: int, zone: str) -> str:
        """Return the address of a VM in a zone."""
        address = f"{self.net}.{number}"
        self.zones[address] = zone
        return address

    def zone_of(self, vm: str) -> str:
        """Return the zone of a VM."""
        return self.zones[vm]

    @property
    def store(self) -> str:
        """The address of the metadata store."""
        return f"{self.net}.200"

    # Processes.

    def spawn(self, name: str, words: list[str], **environment: str):
        """Start a process whose output goes to a file of the folder."""
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                words,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": str(self.folder),
                    "LANG": "C.UTF-8",
                    **environment,
                },
            )

    async def start_store(self):
        """Start the project's stand-in of the metadata store."""
        self.spawn(
            "store",
            [
                *("python3", "-S", "-m", "platform_standins.store"),
                *(self.store, str(STORE)),
            ],
            PYTHONPATH=f"{ROOT}/target/deps:{ROOT}/platform:{ROOT}",
        )
        await self.until(lambda: can_connect(self.store, STORE))

    def start_node(self, vm: str, service: str, *, first: bool, **settings):
        """Start the node of a VM with the command of the deploy file.

        ``settings`` replace those of the file, with ``_`` for each dot.
        """
        bounds = {
            "drainS": "2",
            "graceS": "6",
            "configApplyS": "2",
            "stabilityWindowS": "3",
            "retryBudgetRatio": "0.2",
            "budgetMinRetries": "47",
            **self.bounds,
        }
        values = {
            "node": f"sidecar-{vm}",
            "zone": self.zones[vm],
            "service": service,
            **{f"zones.{zone}": "r" for zone in set(self.zones.values())},
            "listen.outbound": f"{vm}:{CLIENTS}",
            "listen.inbound": f"{vm}:{PEERS}",
            "listen.ready": f"{vm}:{READY}",
            "listen.control": f"{vm}:{CONTROL}",
            "appAddr": f"{vm}:{SERVER}",
            "platform.address": f"{self.store}:{STORE}",
            "bootstrap": "true" if first else "false",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "bounds": ",".join(f"{k}={v}" for k, v in bounds.items()),
            **{k.replace("_", "."): v for k, v in settings.items()},
        }
        path = self.folder / f"{vm}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in values.items()))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.spawn(
            f"node-{vm}",
            shlex.split(deploy["roles"]["node"]["run"]),
            FLAMINGOSAIL_BOOT=str(path),
            PYTHONPATH=f"{ROOT}/target/deps",
        )
        self.note(f"node of {vm} started")

    def signal_node(self, vm: str, number: int):
        """Send a signal to a node that this case started."""
        self.note(f"{signal.Signals(number).name} to the node of {vm}")
        self.processes[f"node-{vm}"].send_signal(number)

    def wait_node(self, vm: str):
        """Wait until the process of a node has ended."""
        self.processes[f"node-{vm}"].wait()

    async def publish(self, document: dict):
        """Write a configuration to the store."""
        content = b"\x06config" + json.dumps(document).encode()
        status, _, _ = await Client(self.store, STORE).send(
            "POST",
            "/v1/log-append?topic=keyed.op&part=0",
            body=len(content).to_bytes(4, "big") + content,
        )
        if status != 200:
            raise NotRunError(f"the store answered {status}")
        self.note(f"configuration {document['version']} acknowledged")

    async def set_store_faults(self, **faults):
        """Let the store fail in the ways of its ``Faults``."""
        await Client(self.store, STORE).send(
            "POST", "/faults", body=json.dumps(faults).encode()
        )
        self.note(f"store faults {faults}")

    async def start_server(self, vm: str, service: str, **options) -> Server:
        """Start a server on a VM."""
        kind = options.pop("kind", Server)
        server = kind(self, vm, service, **options)
        self.servers.append(server)
        await server.start()
        return server

    async def until(self, condition, seconds: float = START_SECONDS):
        """Wait until a condition holds, which may be a coroutine function."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                result = condition()
                if asyncio.iscoroutine(result):
                    async with asyncio.timeout(2.0):
                        result = await result
                if result:
                    return
            await asyncio.sleep(0.05)
        raise NotRunError("the system did not start in time")

    async def until_ready(self, vms):
        """Wait until nodes say that they are ready."""
        for vm in vms:

            async def is_ready(vm=vm):
                status, _, _ = await Client(vm, READY).send(
                    "GET", "/v1/readiness"
                )
                return status == 200

            await self.until(is_ready)

    async def stop(self):
        """End all processes that this case started."""
        for server in self.servers:
            await server.stop()
        for process in self.processes.values():
            if process.poll() is None:
                with suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def can_connect(host: str, port: int) -> bool:
    """Return whether something listens at an address."""
    with socket.socket() as probe:
        return probe.connect_ex((host, port)) == 0


def route(path: str, service: str, kind: str = "safe", **fields) -> dict:
    """Return the route of the paths below one name."""
    return {
        "name": f"r-{path}",
        "pathPrefix": f"/{path}/",
        "routeType": kind,
        "timeoutS": 5,
        "targetLatencyS": 1.2,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        **fields,
    }


def configuration(version: int, services: list[str], *routes: dict) -> dict:
    """Return a configuration with routes of one host."""
    return {
        "version": version,
        "services": [
            {"name": service, "healthPath": "/health"} for service in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
        "virtualHosts": [{"host": "case.example", "paths": list(routes)}],
    }


def run_case(folder: Path, play, **options):
    """Play a case and exit; ``play`` returns why the rule is broken or ""."""
    case = Case(folder, **options)

    async def main() -> int:
        try:
            async with asyncio.timeout(110.0):
                broken = await play(case)
        except Exception as error:
            case.note(f"not run: {type(error).__name__}: {error}")
            return EXIT_NOT_RUN
        finally:
            await case.stop()
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
        case.note(f"BROKEN: {broken}" if broken else "held")
        return EXIT_BROKEN if broken else EXIT_HELD

    code = asyncio.run(main())
    case.record.close()
    # Streams that are still open complain when the interpreter ends.
    os._exit(code)
