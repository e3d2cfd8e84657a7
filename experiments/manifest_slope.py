"""Measures the cost of one manifest change by the number of nodes.

Run as ``python -m experiments.manifest_slope [SIZE ...]``. Complete nodes run
in one process on a simulated clock; only 2 of each failure domain poll the
log often. Prints a JSON line for each size: seconds from the append until
the manifest is in force at all nodes, with the log reachable from all failure
domains and from only one, and bytes per node.
"""

import json
import sys
import time
from random import Random

from experiments.heapclock import HeapClock
from flamingosail.backend import Backend
from flamingosail.manifesthistory import encode_record
from flamingosail.manifesthistory import NO_VERSION
from flamingosail.manifesthistory import Publication
from flamingosail.manifestservice import MANIFEST_STREAM
from flamingosail.node import build_node
from flamingosail.node import Node
from flamingosail.node import NodePlace
from flamingosail.transport import LoopbackNetwork
from standins.memorylog import MemoryLog

__all__ = ["main"]

SIZES = (25, 50, 100, 200)
SERVICES = 82
KINDS_PER_SERVICE = 3
FAILURE_DOMAINS = 5
WITHIN_REGION_SECONDS = 0.0014
BETWEEN_REGIONS_SECONDS = 0.010
LOG_SECONDS = 0.005
JOIN_SECONDS = 20.0
TIMEOUT_SECONDS = 30.0


class Simulation:
    """Nodes over 2 regions and 5 failure domains."""

    def __init__(self, size: int):
        self.clock = HeapClock()
        self.random = Random(size)
        self.logs = []
        self.log = MemoryLog(clock=self.clock)
        self.log.delay = LOG_SECONDS
        self.network = LoopbackNetwork(clock=self.clock, delay=self.delay)
        self.regions: dict[str, str] = {}
        self.nodes = [self.start(index) for index in range(size)]
        self.clock.advance(JOIN_SECONDS)

    def delay(self, source, address, message) -> float:
        """Return the one-way delay between two nodes in seconds."""
        if self.regions[source] == self.regions[address]:
            return WITHIN_REGION_SECONDS
        return BETWEEN_REGIONS_SECONDS

    def start(self, index: int) -> Node:
        """Start one node."""
        name = f"node-{index}"
        domain = index % FAILURE_DOMAINS
        region = f"region-{domain % 2}"
        self.regions[name] = region
        log = MemoryLog(clock=self.clock)
        log.delay = LOG_SECONDS
        # Every node has its own client of the shared log, so that the log can
        # be unreachable for single failure domains.
        log.streams, log.first = self.log.streams, self.log.first
        self.logs.append((domain, log))
        node = build_node(
            clock=self.clock,
            random=Random(self.random.getrandbits(32)),
            transport=self.network.attach(name),
            place=NodePlace(
                incarnation=f"{name}~{index:016x}",
                failure_domain=f"domain-{domain}",
                region=region,
            ),
            backend=Backend(),
            log=log,
            seeds=("node-0", "node-1"),
            retention=7 * 86400.0,
        )
        node.kernel.start()
        return node

    def limit_log_to_one_domain(self):
        """Make the log unreachable for all failure domains but the first."""
        for domain, log in self.logs:
            log.down = domain != 0

    def publish(self, base: int) -> tuple[int, float | None]:
        """Append a manifest; wait until it is in force at all nodes.

        Returns its version and the seconds it took, or None for the seconds
        after ``TIMEOUT_SECONDS``.
        """
        record = Publication(
            publication_id=f"{base + 1:032x}", base=base, body=manifest_body()
        )
        self.log.append(stream=MANIFEST_STREAM, data=encode_record(record))
        version = len(self.log.streams[MANIFEST_STREAM]) - 1
        start_time = self.clock.seconds()
        while self.clock.seconds() - start_time < TIMEOUT_SECONDS:
            self.clock.advance(0.005)
            if all(node.manifest.version >= version for node in self.nodes):
                return version, round(self.clock.seconds() - start_time, 3)
        return version, None

    def sent_bytes(self) -> list[int]:
        """Return the bytes that each node has sent so far."""
        return [node.transport.sent_bytes for node in self.nodes]


def manifest_body() -> bytes:
    """Return an encoded manifest with as many kinds as at the target size."""
    kinds = {
        f"service-{service}-kind-{number}": {
            "service": f"service-{service}",
            "importance": "normal",
            "idempotent": True,
            "timeout_ms": 2000,
        }
        for service in range(SERVICES)
        for number in range(KINDS_PER_SERVICE)
    }
    services = {f"service-{number}": {} for number in range(SERVICES)}
    return json.dumps({"services": services, "kinds": kinds}).encode()


def measure(size: int) -> dict:
    """Return the figures for one number of nodes."""
    simulation = Simulation(size)
    before = simulation.sent_bytes()
    start_time = time.process_time()
    version, seconds_with_log = simulation.publish(NO_VERSION)
    cpu_seconds = time.process_time() - start_time
    sent = [
        after - earlier
        for after, earlier in zip(simulation.sent_bytes(), before, strict=True)
    ]
    simulation.limit_log_to_one_domain()
    _, seconds_one_domain = simulation.publish(version)
    return {
        "nodes": size,
        "manifest_bytes": len(manifest_body()),
        "seconds_with_log": seconds_with_log,
        "seconds_one_domain_with_log": seconds_one_domain,
        "bytes_per_node": round(sum(sent) / size),
        "bytes_busiest_node": max(sent),
        "processor_ms_per_node": round(cpu_seconds / size * 1000, 2),
    }


def main():
    """Print one line of figures for each size."""
    sizes = [int(size) for size in sys.argv[1:]] or SIZES
    for size in sizes:
        print(json.dumps(measure(size)), flush=True)


if __name__ == "__main__":
    main()
