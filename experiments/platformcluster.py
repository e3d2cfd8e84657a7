"""Runs platform nodes and stand-ins as processes on loopback.

Each VM is a node and a backend server with ports of their own. A test can put
proxies that inject faults between nodes, and between nodes and the store.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from math import inf
from pathlib import Path
from random import SystemRandom

__all__ = ["Cluster", "free_ports", "ServerRecord", "Vm"]

ROOT = Path(__file__).resolve().parent.parent
PORT_RANGE = (10_000, 30_000)
BLOCK_PORTS = 100
HOST = "127.0.0.1"
FAILURE_DOMAINS = ("fd-a", "fd-b", "fd-c")


def free_ports(count: int) -> tuple[list[int], list[socket.socket]]:
    """Return ports that are free now, and the sockets that reserve them.

    Ports come in blocks. The first port of a block is bound as long as its
    socket is open, so that clusters that run at the same time get other
    blocks. They are below the ephemeral range: the kernel could give an
    ephemeral port to an outgoing connection before its listener binds it.
    """
    ports: list[int] = []
    guards = []
    starts = list(range(*PORT_RANGE, BLOCK_PORTS))
    SystemRandom().shuffle(starts)
    while len(ports) < count:
        start = starts.pop()
        guard = socket.socket()
        try:
            guard.bind((HOST, start))
        except OSError:
            guard.close()
            continue
        guards.append(guard)
        for port in range(start + 1, start + BLOCK_PORTS):
            with socket.socket() as probe, suppress(OSError):
                probe.bind((HOST, port))
                ports.append(port)
    return ports, guards


@dataclass(frozen=True, kw_only=True)
class Vm:
    """A VM: its name, service and failure domain, and its ports on loopback.

    The node listens for other nodes on ``peers`` but tells them to connect to
    ``advertised``, where a proxy may forward to ``peers``. ``server`` is the
    port of the backend server; all others belong to the node.
    """

    name: str
    service: str
    failure_domain: str
    clients: int
    peers: int
    advertised: int
    ready: int
    control: int
    metrics: int
    server: int


@dataclass(kw_only=True)
class ServerRecord:
    """When a backend server ran requests, and what it stated.

    Times are monotonic, in seconds. ``limits`` holds the start and end of each
    stated rate limit with its rate, ``leaves_at`` is when the server first
    stated that it leaves, infinite if it did not.
    """

    instance: str
    runs: list[float] = field(default_factory=list)
    limits: list[tuple[float, float, float]] = field(default_factory=list)
    leaves_at: float = inf


def add_server_line(records: dict[str, ServerRecord], words: list[str]):
    """Add a line that a stand-in server wrote to its record."""
    match words:
        case ["RAN", _, instance, _, time]:
            server_record(records, instance).runs.append(float(time))
        case ["LIMIT", rate, instance, time]:
            limits = server_record(records, instance).limits
            if float(rate):
                limits.append((float(time), inf, float(rate)))
            elif limits:
                start, _, rate = limits[-1]
                limits[-1] = start, float(time), rate
        case ["LEAVES", instance, time]:
            server_record(records, instance).leaves_at = float(time)


def server_record(
    records: dict[str, ServerRecord], instance: str
) -> ServerRecord:
    """Return the record of an instance; a new one if there is none."""
    return records.setdefault(instance, ServerRecord(instance=instance))


class Cluster:
    """Starts and ends the processes of some VMs and the store.

    ``layout`` maps a service to its number of VMs; ``folder`` is for settings
    and logs, and ``settings`` are added to those of each node. Nodes reach the
    store at ``store_port``, which a proxy may serve; the store itself listens
    on ``real_store_port``.
    """

    def __init__(
        self,
        *,
        layout: dict[str, int],
        folder: Path | None = None,
        settings: dict[str, str] | None = None,
    ):
        self.settings = settings or {}
        self.folder = folder or Path(tempfile.mkdtemp(prefix="cluster-"))
        self.processes: dict[str, subprocess.Popen] = {}
        self.log_sizes: dict[str, int] = {}
        self.vms: dict[str, Vm] = {}
        total = sum(layout.values())
        ports, self.port_guards = free_ports(8 * total + 2)
        self.real_store_port, self.store_port = ports.pop(), ports.pop()
        for service, count in layout.items():
            for number in range(count):
                name = f"{service}-{number}"
                self.vms[name] = Vm(
                    name=name,
                    service=service,
                    failure_domain=FAILURE_DOMAINS[
                        number % len(FAILURE_DOMAINS)
                    ],
                    **{
                        listener: ports.pop()
                        for listener in (
                            "clients",
                            "peers",
                            "advertised",
                            "ready",
                            "control",
                            "metrics",
                            "server",
                        )
                    },
                )

    # Processes.

    def spawn(self, name: str, arguments: list, **environment):
        """Start a Python process; append its output to ``NAME.log``."""
        path = f"{ROOT / 'platform'}:{ROOT}"
        with (self.folder / f"{name}.log").open("ab") as output:
            self.log_sizes[name] = output.tell()
            self.processes[name] = subprocess.Popen(
                [sys.executable, *map(str, arguments)],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONPATH": path, **environment},
            )

    def start_store(self, port: int | None = None):
        """Start the stand-in of the metadata store."""
        port = port or self.real_store_port
        self.spawn("store", ["-m", "platform_standins.store", HOST, port])

    def start_node(self, name: str, **bounds: float):
        """Write the settings of a node and start it."""
        vm = self.vms[name]
        settings = self.folder / f"{name}.conf"
        values = {
            "node": name,
            "zone": vm.failure_domain,
            "service": vm.service,
            "listen.outbound": f"{HOST}:{vm.clients}",
            "listen.inbound": f"{HOST}:{vm.peers}",
            "listen.ready": f"{HOST}:{vm.ready}",
            "listen.control": f"{HOST}:{vm.control}",
            "appAddr": f"{HOST}:{vm.server}",
            "platform.address": f"{HOST}:{self.store_port}",
            "bounds": "drainS=2,graceS=6,"
            "retryBudgetRatio=0.2,budgetMinRetries=47",
            **self.settings,
        }
        settings.write_text(
            "".join(f"{key}={value}\n" for key, value in values.items())
        )
        self.spawn(
            f"node-{name}",
            [
                ROOT / "platform" / "node.py",
                f"--metrics-port={vm.metrics}",
                f"--advertised={HOST}:{vm.advertised}",
            ],
            FLAMINGOSAIL_BOOT=str(settings),
        )

    def start_server(self, name: str, **config):
        """Start the backend server of a VM."""
        vm = self.vms[name]
        fields = {
            "service": vm.service,
            "host": HOST,
            "port": vm.server,
            "control_port": vm.control,
            "node_port": vm.clients,
            **config,
        }
        self.spawn(
            f"server-{name}",
            ["-m", "platform_standins.server", json.dumps(fields)],
        )

    def signal(self, name: str, number: int):
        """Send a signal to a process that this cluster started."""
        process = self.processes.get(name)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def stop(self):
        """End all processes; kill those that do not end at once."""
        for name in self.processes:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        for name, process in self.processes.items():
            with suppress(subprocess.TimeoutExpired):
                process.wait(0.5 if name.startswith("server") else 0.1)
            if process.poll() is None:
                process.kill()
                process.wait()
        for guard in self.port_guards:
            guard.close()

    def has_written(self, name: str) -> bool:
        """Return whether a process has written anything since its start."""
        path = self.folder / f"{name}.log"
        return path.stat().st_size > self.log_sizes[name]

    def output(self, name: str) -> str:
        """Return all output of a process."""
        path = self.folder / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def server_records(self) -> list[ServerRecord]:
        """Return what each backend server has written."""
        records: dict[str, ServerRecord] = {}
        for name in self.processes:
            if name.startswith("server-"):
                for line in self.output(name).splitlines():
                    add_server_line(records, line.split())
        return list(records.values())

    def runs(self) -> list[tuple[str, str, str]]:
        """Return (request id, instance, service) of each run at a server."""
        return [
            tuple(line.split()[1:4])
            for name in self.processes
            if name.startswith("server-")
            for line in self.output(name).splitlines()
            if line.startswith("RAN ")
        ]


def configuration(version: int, front: str, deep: str) -> dict:
    """Return a configuration with three routes for the host soak.example.

    Of these, r-order and r-read lead to the service ``front``, r-deep to
    ``deep``.
    """

    def route(name, prefix, kind, service, priority, timeout_s, attempts):
        return {
            "name": name,
            "pathPrefix": prefix,
            "routeType": kind,
            "service": service,
            "priority": priority,
            "timeoutS": timeout_s,
            "targetLatencyS": timeout_s / 2,
            "maxAttempts": attempts,
        }

    return {
        "version": version,
        "services": [
            {"name": service, "healthPath": "/health"}
            for service in (front, deep)
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
        "virtualHosts": [
            {
                "host": "soak.example",
                "paths": [
                    route("r-order", "/order/", "unsafe", front, 0, 2.0, 1),
                    route("r-read", "/read/", "safe", front, 2, 2.0, 2),
                    route("r-deep", "/deep/", "safe", deep, 1, 1.0, 2),
                ],
            }
        ],
    }
