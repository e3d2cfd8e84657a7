"""Traffic and work of the membership protocol by the number of nodes.

Runs the membership services of all nodes in one process, on a simulated
clock and a loopback network, and prints one JSON line per size::

    python -m experiments.control_slope [--large] [SIZE ...]

``--large`` adds the loss of one failure domain and the healing of a region
partition. Byte counts are encoded messages without TCP and ZMTP headers.
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
LIMIT_S = 120.0


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
    """Nodes on one clock, with counts of all they send."""

    def __init__(self, size: int):
        self.clock = HeapClock()
        self.random = Random(size)
        self.regions: dict[str, str] = {}
        self.cut = False
        self.messages = 0
        self.network = LoopbackNetwork(clock=self.clock, delay=self.delay)
        self.seeds = [f"10.{index}.0.{index}:7400" for index in range(3)]
        self.nodes: list[SimulatedNode] = []
        for index in range(size):
            self.start(index)
            self.run(0.1)
        self.run_until(self.agreed)
        self.run(15.0)

    def start(self, index: int) -> SimulatedNode:
        """Start one node that knows only the seeds."""
        name = f"vm-{index:04d}.example"
        node = SimulatedNode(simulation=self, index=index, name=name)
        self.nodes.append(node)
        node.gossip.start()
        return node

    def delay(self, source, address, message) -> float | None:
        """Return the delay of a message, None while the regions are cut."""
        self.messages += 1
        if self.regions[source] == self.regions[address]:
            return WITHIN_REGION_S
        return None if self.cut else BETWEEN_REGIONS_S

    def kill(self, node: SimulatedNode):
        """End a node without a word to the others."""
        self.nodes.remove(node)
        node.transport.send = lambda address, message: None
        node.gossip._tick_call.cancel()
        self.network.detach(node.address)

    def run(self, seconds: float):
        """Advance the clock."""
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self.clock.advance(STEP_S)

    def run_until(self, condition) -> float | None:
        """Return after how many seconds the condition held."""
        start = self.clock.seconds()
        while not condition():
            if self.clock.seconds() - start > LIMIT_S:
                return None
            self.clock.advance(STEP_S)
        return self.clock.seconds() - start

    def agreed(self) -> bool:
        """Whether all tables hold exactly the nodes that run."""
        first = self.nodes[0].table
        return len(first.live()) == len(self.nodes) and all(
            node.table.table_hash == first.table_hash for node in self.nodes
        )

    def sides_agreed(self) -> bool:
        """Whether each region holds exactly its own nodes."""
        for region in {node.region for node in self.nodes}:
            side = [node for node in self.nodes if node.region == region]
            if any(len(node.table.live()) != len(side) for node in side):
                return False
        return True

    def sent(self) -> dict[SimulatedNode, int]:
        """Return the bytes that each node has sent."""
        return {node: node.transport.sent_bytes for node in self.nodes}

    def cost(self, change, *, until=None, settle: float = 20.0) -> dict:
        """Apply a change; return its bytes beyond the steady traffic."""
        steady = self.steady_bytes
        before, start = self.sent(), self.clock.seconds()
        work = time.process_time()
        change()
        seconds = self.run_until(until or self.agreed)
        self.run(settle)
        work = time.process_time() - work
        elapsed = self.clock.seconds() - start
        extra = [
            node.transport.sent_bytes - before.get(node, 0) - steady * elapsed
            for node in self.nodes
        ]
        return {
            "seconds_until_known": round(seconds, 3) if seconds else None,
            "bytes_per_node": round(sum(extra) / len(extra)),
            "bytes_of_busiest": round(max(extra)),
            "cpu_ms_per_node": round(1000 * work / len(extra), 1),
            "measured_over_s": round(elapsed, 1),
        }

    def measure_steady(self) -> dict:
        """Return traffic and work per node without any change."""
        before, messages = self.sent(), self.messages
        work = time.process_time()
        self.run(STEADY_S)
        work = time.process_time() - work
        count = len(self.nodes) * STEADY_S
        total = sum(self.sent().values()) - sum(before.values())
        self.steady_bytes = total / count
        return {
            "bytes_per_s": round(self.steady_bytes),
            "messages_per_s": round((self.messages - messages) / count, 1),
            "cpu_percent_of_core": round(100 * work / count, 3),
        }


def drain_cost(simulation: Simulation) -> dict:
    """Return the cost of one drain."""
    node = simulation.nodes[7]

    def known():
        name = node.table.own_record.node
        return all(
            other.table.by_node(name).state == "draining"
            for other in simulation.nodes
        )

    return simulation.cost(
        lambda: node.table.update_own_record(state="draining"), until=known
    )


def table_bytes(simulation: Simulation) -> int:
    """Return the memory of one copy of the table, measured by building it."""
    table = simulation.nodes[0].table
    wire = encode(Records(sender="", records=table.live()))
    tracemalloc.start()
    copy = MemberTable(own_record=table.own_record, clock=simulation.clock)
    copy.merge(decode(wire).records)
    copy.servers("")
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size


def measure(size: int, large: bool) -> dict:
    """Return all figures of one number of nodes."""
    simulation = Simulation(size)
    result = {"nodes": size, "steady": simulation.measure_steady()}
    result["table_bytes"] = table_bytes(simulation)
    result["drain"] = drain_cost(simulation)
    result["join"] = simulation.cost(lambda: simulation.start(size))
    result["removal"] = simulation.cost(
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

    return simulation.cost(kill_domain, settle=40.0)


def partition(simulation: Simulation) -> tuple[dict, dict]:
    """Return the costs of losing contact between regions and of healing."""

    def cut(value):
        simulation.cut = value

    lost = simulation.cost(
        lambda: cut(True), until=simulation.sides_agreed, settle=40.0
    )
    healed = simulation.cost(lambda: cut(False), settle=40.0)
    return lost, healed


def main(arguments: list[str]):
    """Print one line per number of nodes."""
    large = "--large" in arguments
    sizes = [int(item) for item in arguments if item != "--large"]
    for size in sizes or SIZES:
        print(dumps(measure(size, large)), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
