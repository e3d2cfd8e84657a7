"""Measures the latency and processor time that two nodes add to a call.

Run as ``python -m experiments.call_cost``. Prints one JSON line for the
latency of single calls, interleaved with direct calls, and one for the
processor time of each node with several concurrent calls.
"""

import json
import os
import socket
import time
from argparse import ArgumentParser

from experiments.deployments import Deployment
from experiments.deployments import kind
from experiments.deployments import manifest
from experiments.deployments import ServiceSpec
from experiments.processes import Platform

__all__ = ["main"]

BLOCK_CALLS = 100
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class RawCaller:
    """One keep-alive connection that sends the same request each time."""

    def __init__(self, port: int, headers: dict[str, str]):
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
        self.request = (
            "GET /helmet/1 HTTP/1.1\r\nHost: x\r\n" + "".join(lines) + "\r\n"
        ).encode()

    def send(self):
        """Send the request without waiting for the response."""
        self.socket.sendall(self.request)

    def receive(self):
        """Read one response, which must be small enough for one recv.

        :raises RuntimeError: if it is not a success.
        """
        response = self.socket.recv(65536)
        if not response.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"unexpected response: {response[:300]!r}")

    def call(self) -> float:
        """Send one request; return the seconds until its response."""
        start = time.perf_counter()
        self.send()
        self.receive()
        return time.perf_counter() - start


def deployment() -> Deployment:
    """Return two services with one server each and no service time."""
    services = tuple(
        ServiceSpec(
            name=name, servers=1, slots=200, connections=500, service_ms=0.0
        )
        for name in ("entry", "target")
    )
    return Deployment(
        region="region-1",
        failure_domains=("domain-1",),
        services=services,
        manifest=manifest(
            {
                "ask": kind("target", "normal"),
                "unused": kind("entry", "normal"),
            }
        ),
    )


def quantiles(seconds: list[float]) -> dict[str, float]:
    """Return p50 and p99 in milliseconds."""
    ordered = sorted(seconds)
    return {
        "p50_ms": round(ordered[len(ordered) // 2] * 1000, 3),
        "p99_ms": round(ordered[int(len(ordered) * 0.99)] * 1000, 3),
    }


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def measure_latency(direct: RawCaller, through: RawCaller, calls: int):
    """Print the latency of direct and proxied calls in alternate blocks."""
    seconds = {"direct": [], "through": []}
    for _ in range(calls // BLOCK_CALLS):
        for name, caller in (("direct", direct), ("through", through)):
            seconds[name] += [caller.call() for _ in range(BLOCK_CALLS)]
    results = {name: quantiles(values) for name, values in seconds.items()}
    results["added"] = {
        key: round(results["through"][key] - results["direct"][key], 3)
        for key in ("p50_ms", "p99_ms")
    }
    print(json.dumps({"calls": calls, "at_a_time": 1, **results}))


def measure_processor(platform: Platform, callers: list, rounds: int):
    """Print the processor time per call of each node, in us."""
    pids = {
        "entry_node": platform.nodes["entry-0"].node.pid,
        "server_node": platform.nodes["target-0"].node.pid,
    }
    before = {name: processor_seconds(pid) for name, pid in pids.items()}
    start = time.monotonic()
    for _ in range(rounds):
        for caller in callers:
            caller.send()
        for caller in callers:
            caller.receive()
    elapsed = time.monotonic() - start
    calls = rounds * len(callers)
    cost = {
        f"{name}_us": round(
            (processor_seconds(pid) - before[name]) / calls * 1e6, 1
        )
        for name, pid in pids.items()
    }
    print(
        json.dumps(
            {
                "calls": calls,
                "at_a_time": len(callers),
                "calls_per_second": round(calls / elapsed),
                **cost,
            }
        )
    )


def main():
    """Run the experiment."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=6000)
    parser.add_argument("--at-a-time", type=int, default=8)
    arguments = parser.parse_args()
    with Platform(deployment()) as platform:
        platform.start()
        report = platform.publish(platform.deployment.manifest)
        platform.wait_for_manifest(report["version"])
        headers = {"Flamingosail-Kind": "ask"}
        port = platform.nodes["entry-0"].callers_port
        through = RawCaller(port, headers)
        direct = RawCaller(platform.nodes["target-0"].server_port, headers)
        for caller in (through, direct):
            for _ in range(500):
                caller.call()
        measure_latency(direct, through, arguments.calls)
        callers = [
            RawCaller(port, headers) for _ in range(arguments.at_a_time)
        ]
        measure_processor(
            platform, callers, arguments.calls // arguments.at_a_time
        )


if __name__ == "__main__":
    main()
