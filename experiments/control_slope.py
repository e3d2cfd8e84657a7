"""Measures traffic and CPU time of the membership protocol by node count.

Runs the membership services of all nodes in one process, on a simulated
clock and a loopback network, and prints one JSON line per number of nodes::

    python -m experiments.control_slope [--large] [SIZE ...]

``--large`` adds the loss of one failure domain, and a partition between the
regions and its end. Byte counts are encoded messages without TCP and ZMTP
headers.
"""

import sys
import time
import tracemalloc
from json import dumps
from random import Random

from experiments.heapclock import HeapClock
from flamingosail.codec import decode
from flamingosail.codec import encode
from flamingosail.gossip import Gossip
from flamingosail.identity import new_incarnation
from flamingosail.membership import MemberTable
from flamingosail.messages import MemberRecord
from flamingosail.messages import Records
from flamingosail.transport import LoopbackNetwork

# Two regions with five failure domains, as at the target size.
DOMAINS = (
    ("west-bengal", "kolkata-n"),
    ("west-bengal", "kolkata-s"),
    ("west-bengal", "howrah-r"),
    ("gulf-south", "gs-a"),
    ("gulf-south", "gs-b"),
)
SIZES = (25, 50, 100, 200)
SERVICES = 82
WITHIN_REGION_S = 0.0014
BETWEEN_REGIONS_S = 0.010
STEP_S = 0.002
STEADY_S = 20.0
TIMEOUT_S = 120.0


class SimulatedNode:
    """The membership services of one node."""

    def __init__(self, *, simulation, index, name):
        random = simulation.random
        region, domain = DOMAINS[index % len(DOMAINS)]
        self.region, self.domain = region, domain
        self.address = f"10.{index % 5}.{index // 250}.{index % 250}:7400"
        self.transport = simulation.network.attach(self.address)
        simulation.regions[self.address] = region
        own = MemberRecord(
            node=name,
            incarnation=str(new_incarnation(name, random)),
            version=1,
            address=self.address,
            failure_domain=domain,
            region=region,
            service=f"service-{index % SERVICES}",
            state="ready",
        )
        self.table = MemberTable(own_record=own, clock=simulation.clock)
        self.gossip = Gossip(
            table=self.table,
            transport=self.transport,
            clock=simulation.clock,
            random=Random(random.getrandbits(32)),
            seeds=simulation.seeds,
        )


class Simulation:
    """Nodes on one simulated clock; counts the messages they send."""

    def __init__(self, size: int):
        self.clock = HeapClock()
        self.random = Random(size)
        self.regions: dict[str, str] = {}
        self.partitioned = False
        self.messages = 0
        self.network = LoopbackNetwork(clock=self.clock, delay=self.delay)
        self.seeds = [f"10.{index}.0.{index}:7400" for index in range(3)]
        self.nodes: list[SimulatedNode] = []
        for index in range(size):
            self.start(index)
            self.run(0.1)
        self.run_until(self.converged)
        self.run(15.0)

    def start(self, index: int) -> SimulatedNode:
        """Start one node, which knows only the seeds."""
        name = f"vm-{index:04d}.example"
        node = SimulatedNode(simulation=self, index=index, name=name)
        self.nodes.append(node)
        node.gossip.start()
        return node

    def delay(self, source, address, message) -> float | None:
        """Return the delay of a message in seconds, or None to drop it."""
        self.messages += 1
        if self.regions[source] == self.regions[address]:
            return WITHIN_REGION_S
        return None if self.partitioned else BETWEEN_REGIONS_S

    def kill(self, node: SimulatedNode):
        """End a node without a notification to the others."""
        self.nodes.remove(node)
        node.transport.send = lambda address, message: None
        node.gossip._tick_call.cancel()
        self.network.detach(node.address)

    def run(self, seconds: float):
        """Advance the simulated clock by a number of seconds."""
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self.clock.advance(STEP_S)

    def run_until(self, condition) -> float | None:
        """Advance the clock until a condition holds.

        Returns the seconds it took, or None after ``TIMEOUT_S``.
        """
        start = self.clock.seconds()
        while not condition():
            if self.clock.seconds() - start > TIMEOUT_S:
                return None
            self.clock.advance(STEP_S)
        return self.clock.seconds() - start

    def converged(self) -> bool:
        """Whether every member table holds exactly the running nodes."""
        first = self.nodes[0].table
        return len(first.live()) == len(self.nodes) and all(
            node.table.table_hash == first.table_hash for node in self.nodes
        )

    def regions_converged(self) -> bool:
        """Whether every table has as many nodes as run in its own region."""
        for region in {node.region for node in self.nodes}:
            same_region = [
                node for node in self.nodes if node.region == region
            ]
            if any(
                len(node.table.live()) != len(same_region)
                for node in same_region
            ):
                return False
        return True

    def sent_by_node(self) -> dict[SimulatedNode, int]:
        """Return the bytes that each node has sent so far."""
        return {node: node.transport.sent_bytes for node in self.nodes}

    def measure_change(
        self, change, *, until=None, settle_s: float = 20.0
    ) -> dict:
        """Apply a change; return its cost beyond the steady traffic.

        Measures from the change to ``settle_s`` seconds after ``until`` holds
        (default: the tables have converged).
        """
        steady = self.steady_bytes
        before, start = self.sent_by_node(), self.clock.seconds()
        cpu_seconds = time.process_time()
        change()
        seconds = self.run_until(until or self.converged)
        self.run(settle_s)
        cpu_seconds = time.process_time() - cpu_seconds
        elapsed = self.clock.seconds() - start
        extra_bytes = [
            node.transport.sent_bytes - before.get(node, 0) - steady * elapsed
            for node in self.nodes
        ]
        return {
            "seconds_until_known": round(seconds, 3) if seconds else None,
            "bytes_per_node": round(sum(extra_bytes) / len(extra_bytes)),
            "bytes_of_busiest": round(max(extra_bytes)),
            "cpu_ms_per_node": round(1000 * cpu_seconds / len(extra_bytes), 1),
            "measured_over_s": round(elapsed, 1),
        }

    def measure_steady(self) -> dict:
        """Return traffic and CPU time per node while nothing changes."""
        before, messages = self.sent_by_node(), self.messages
        cpu_seconds = time.process_time()
        self.run(STEADY_S)
        cpu_seconds = time.process_time() - cpu_seconds
        count = len(self.nodes) * STEADY_S
        total = sum(self.sent_by_node().values()) - sum(before.values())
        self.steady_bytes = total / count
        return {
            "bytes_per_s": round(self.steady_bytes),
            "messages_per_s": round((self.messages - messages) / count, 1),
            "cpu_percent_of_core": round(100 * cpu_seconds / count, 3),
        }


def drain_cost(simulation: Simulation) -> dict:
    """Return the cost of draining one server."""
    node = simulation.nodes[7]

    def drain_known():
        name = node.table.own_record.node
        return all(
            other.table.by_node(name).state == "draining"
            for other in simulation.nodes
        )

    return simulation.measure_change(
        lambda: node.table.update_own_record(state="draining"),
        until=drain_known,
    )


def table_bytes(simulation: Simulation) -> int:
    """Return the memory of one member table, measured on a new copy."""
    table = simulation.nodes[0].table
    encoded = encode(Records(sender="", records=table.live()))
    tracemalloc.start()
    copy = MemberTable(own_record=table.own_record, clock=simulation.clock)
    copy.merge(decode(encoded).records)
    copy.servers("")
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size


def measure(size: int, large: bool) -> dict:
    """Return all figures for one number of nodes."""
    simulation = Simulation(size)
    result = {"nodes": size, "steady": simulation.measure_steady()}
    result["table_bytes"] = table_bytes(simulation)
    result["drain"] = drain_cost(simulation)
    result["join"] = simulation.measure_change(lambda: simulation.start(size))
    result["removal"] = simulation.measure_change(
        lambda: simulation.kill(simulation.nodes[11])
    )
    if large:
        result["domain_loss"] = domain_loss(simulation)
        result["partition"], result["healing"] = partition(simulation)
    return result


def domain_loss(simulation: Simulation) -> dict:
    """Return the cost of losing all nodes of one failure domain."""

    def kill_domain():
        for node in list(simulation.nodes):
            if node.domain == "gs-b":
                simulation.kill(node)

    return simulation.measure_change(kill_domain, settle_s=40.0)


def partition(simulation: Simulation) -> tuple[dict, dict]:
    """Return the costs of a partition between the regions and of its end."""

    def set_partitioned(value):
        simulation.partitioned = value

    lost = simulation.measure_change(
        lambda: set_partitioned(True),
        until=simulation.regions_converged,
        settle_s=40.0,
    )
    healed = simulation.measure_change(
        lambda: set_partitioned(False), settle_s=40.0
    )
    return lost, healed


def main(arguments: list[str]):
    """Print one line per number of nodes."""
    large = "--large" in arguments
    sizes = [int(item) for item in arguments if item != "--large"]
    for size in sizes or SIZES:
        print(dumps(measure(size, large)), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
