"""Starts and stops the processes of a deployment on loopback addresses."""

import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import SystemRandom

from experiments.deployments import Deployment
from experiments.deployments import ServiceSpec

__all__ = ["get_json", "NodeProcess", "Platform", "post_json"]

START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 15.0
PORT_RANGE = range(12_000, 32_000)
# Ports given out so far, so that platforms that start at the same time do not
# get the same ones.
ALLOCATED_PORTS: set[int] = set()
ROOT = Path(__file__).parent.parent

NODE_SETTINGS = """\
[node]
name = {name}
failure_domain = {failure_domain}
region = {region}
stop_timeout_seconds = 10
[listen]
peers = 127.0.0.1:{ports[0]}
callers = 127.0.0.1:{ports[1]}
backend = 127.0.0.1:{ports[2]}
control = 127.0.0.1:{ports[3]}
[peers]
seeds = {seeds}
[log]
url = http://127.0.0.1:{log_port}
retention_seconds = {retention}
[logging]
level = {level}
"""


@dataclass(slots=True)
class NodeProcess:
    """The processes of a node and its backend server, and their ports.

    ``server_port`` is 0 until the server has printed its port.
    """

    name: str
    service: str
    failure_domain: str
    peers_port: int
    callers_port: int
    control_port: int
    node: subprocess.Popen
    server: subprocess.Popen
    server_port: int = 0

    def dump(self, service: str) -> dict:
        """Return the state dump of one service of the node's kernel."""
        return get_json(self.control_port, f"/dump/{service}")


class Platform:
    """The processes of one deployment and the stand-in log service.

    ``module`` is the module that a node process runs. As a context manager,
    it ends every process that it started on exit.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        module: str = "flamingosail.nodecli",
        retention_seconds: float = 3600.0,
        log_level: str = "warning",
    ):
        self.deployment = deployment
        self.module = module
        self.retention_seconds = retention_seconds
        self.log_level = log_level
        self.directory = tempfile.TemporaryDirectory(prefix="flamingosail-")
        self.processes: list[subprocess.Popen] = []
        self.nodes: dict[str, NodeProcess] = {}
        self.log_service: subprocess.Popen | None = None
        self.log_port = 0

    def __enter__(self) -> "Platform":
        return self

    def __exit__(self, *exc_info):
        self.stop()

    def start(self):
        """Start the log service and all nodes with their servers.

        :raises TimeoutError: if not all nodes are ready after 30 s.
        """
        self.log_service, self.log_port = self.start_standin(
            "standins.logserver",
            "--port",
            "0",
            "--retention",
            str(self.retention_seconds),
        )
        domains = self.deployment.failure_domains
        servers = [
            (spec, index)
            for spec in self.deployment.services
            for index in range(spec.servers)
        ]
        ports = free_ports(4 * len(servers))
        seeds = [ports[4 * i] for i in range(min(3, len(servers)))]
        for number, (spec, index) in enumerate(servers):
            self.start_node_and_server(
                spec,
                name=f"{spec.name}-{index}",
                failure_domain=domains[index % len(domains)],
                ports=ports[4 * number : 4 * number + 4],
                seeds=seeds,
            )
        for node in self.nodes.values():
            node.server_port = read_port(node.server)
        self.wait_until(self.all_ready, "not all nodes became ready")

    def start_node_and_server(
        self,
        spec: ServiceSpec,
        *,
        name: str,
        failure_domain: str,
        ports: list[int],
        seeds: list[int],
    ) -> NodeProcess:
        """Start one node and its backend server, without waiting for them.

        ``server_port`` is set once the server has printed it.
        """
        settings = Path(self.directory.name, f"{name}.ini")
        settings.write_text(
            NODE_SETTINGS.format(
                name=name,
                failure_domain=failure_domain,
                region=self.deployment.region,
                ports=ports,
                seeds=", ".join(f"127.0.0.1:{port}" for port in seeds),
                log_port=self.log_port,
                retention=self.retention_seconds,
                level=self.log_level,
            )
        )
        node = self.spawn(self.module, str(settings))
        workload = Path(self.directory.name, f"{name}.json")
        workload.write_text(
            json.dumps(
                {
                    "service": spec.name,
                    "slots": spec.slots,
                    "connections": spec.connections,
                    "service_ms": spec.service_ms,
                    "control": f"127.0.0.1:{ports[3]}",
                    "egress": f"127.0.0.1:{ports[2]}",
                    "kinds": spec.kinds,
                }
            )
        )
        server = self.spawn(
            "standins.backendserver",
            "--settings",
            str(workload),
            stdout=subprocess.PIPE,
            text=True,
        )
        process = NodeProcess(
            name=name,
            service=spec.name,
            failure_domain=failure_domain,
            peers_port=ports[0],
            callers_port=ports[1],
            control_port=ports[3],
            node=node,
            server=server,
        )
        self.nodes[name] = process
        return process

    def spawn(self, module: str, *arguments: str, **options):
        """Start a Python module as a process that ``stop`` will end."""
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments], cwd=ROOT, **options
        )
        self.processes.append(process)
        return process

    def start_standin(self, module: str, *arguments: str):
        """Start a stand-in; return its process and the port it prints."""
        process = self.spawn(
            module, *arguments, stdout=subprocess.PIPE, text=True
        )
        return process, read_port(process)

    def all_ready(self) -> bool:
        """Return whether every node sees every server as ready."""
        return all(
            node.dump("members").get("states", {}).get("ready")
            == len(self.nodes)
            for node in self.nodes.values()
        )

    def runs(self) -> Counter:
        """Return the number of runs of each non-idempotent request."""
        total = Counter()
        for node in self.nodes.values():
            total.update(get_json(node.server_port, "/runs"))
        return total

    def publish(self, document: dict, *options: str) -> dict:
        """Publish a manifest with the publisher; return its JSON report."""
        path = Path(self.directory.name, "manifest.json")
        path.write_text(json.dumps(document))
        result = subprocess.run(
            [
                sys.executable,
                "-m",
                "flamingosail.publishcli",
                "--log",
                f"http://127.0.0.1:{self.log_port}",
                "--json",
                *options,
                "publish",
                str(path),
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=START_TIMEOUT_SECONDS,
        )
        return json.loads(result.stdout)

    def wait_for_manifest(self, version: int) -> float:
        """Wait until all nodes use a version; return the seconds waited.

        :raises TimeoutError: after 30 s.
        """
        start = time.monotonic()
        self.wait_until(
            lambda: all(
                node.dump("manifest")["version"] >= version
                for node in self.nodes.values()
            ),
            f"manifest {version} is not in force everywhere",
        )
        return time.monotonic() - start

    def wait_until(self, condition, message: str):
        """Wait until a condition holds, polling it.

        :raises TimeoutError: with ``message``, after 30 s.
        """
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except (OSError, ValueError):
                pass  # A process does not listen yet.
            time.sleep(0.05)
        raise TimeoutError(message)

    def stop(self):
        """End all processes; kill those that outlast the stop timeout."""
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for process in self.processes:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            if process.stdout is not None:
                process.stdout.close()
        self.directory.cleanup()


def read_port(process: subprocess.Popen) -> int:
    """Wait until a stand-in listens; return the port that it prints."""
    return json.loads(process.stdout.readline())["port"]


def free_ports(port_count: int) -> list[int]:
    """Return ports that are free now and were not returned before.

    They are below the ephemeral range: the kernel could give an ephemeral
    port to an outgoing connection or to a listener on port 0 before the node
    starts.

    :raises OSError: if too few ports are free.
    """
    ports = []
    for port in SystemRandom().sample(PORT_RANGE, len(PORT_RANGE)):
        if port in ALLOCATED_PORTS:
            continue
        ALLOCATED_PORTS.add(port)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == port_count:
            return ports
    raise OSError(f"fewer than {port_count} ports are free")


def get_json(port: int, path: str) -> dict:
    """Return the JSON object at a path of a server on loopback."""
    url = f"http://127.0.0.1:{port}{path}"
    with urllib.request.urlopen(url, timeout=5) as response:
        return json.load(response)


def post_json(port: int, path: str, value: dict):
    """Send a JSON object to a path of a server on loopback."""
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}",
        data=json.dumps(value).encode(),
        headers={"Content-Type": "application/json"},
        method="POST",
    )
    with urllib.request.urlopen(request, timeout=5):
        pass
