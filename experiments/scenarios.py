"""What goes wrong in the measured scenarios, and for how long."""

import json
import signal
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPConnection

from experiments.processes import Platform
from experiments.scaled import ScaledDeployment

__all__ = ["Bench", "SCENARIOS", "Scenario"]

USUAL_LOAD = 0.7
USUAL_CRITICAL = 0.2
SLOW_FACTOR = 3
CONTROL_TIMEOUT_SECONDS = 10.0


class Bench:
    """A running platform with its stand-ins at hand.

    Connections to the stand-ins are opened before the load, which may use
    up the connections that they accept.
    """

    def __init__(self, *, platform: Platform, scaled: ScaledDeployment):
        self.platform = platform
        self.scaled = scaled
        self.connections: dict[str, HTTPConnection] = {}

    def connect(self):
        """Open the connections to the stand-ins."""
        for name, node in self.platform.nodes.items():
            self.connections[name] = HTTPConnection(
                "127.0.0.1", node.server_port, timeout=CONTROL_TIMEOUT_SECONDS
            )
            self.get(name, "/stats")

    @property
    def bottleneck(self) -> list[str]:
        """The names of the nodes of the service that is the bottleneck."""
        return [
            node.name
            for node in self.platform.nodes.values()
            if node.service == self.scaled.bottleneck
        ]

    def get(self, name: str, path: str) -> dict:
        """Return a JSON object of a stand-in."""
        connection = self.connections[name]
        connection.request("GET", path)
        return json.load(connection.getresponse())

    def order(self, name: str, **order):
        """Give a stand-in an order."""
        connection = self.connections[name]
        connection.request("POST", "/control", json.dumps(order))
        connection.getresponse().read()

    def slow_down(self):
        """Slow the service that is the bottleneck to a third."""
        self.set_service_ms(self.scaled.shape.service_ms * SLOW_FACTOR)

    def speed_up(self):
        """End the slowness."""
        self.set_service_ms(self.scaled.shape.service_ms)

    def set_service_ms(self, value: float):
        """Set the service time of the bottleneck."""
        for name in self.bottleneck:
            self.order(name, service_ms=value)

    def freeze_server(self):
        """Stop one backend server of the bottleneck."""
        self.server.send_signal(signal.SIGSTOP)

    def resume_server(self):
        """Let the backend server go on."""
        self.server.send_signal(signal.SIGCONT)

    def freeze_node(self):
        """Stop one node of the bottleneck."""
        self.node.send_signal(signal.SIGSTOP)

    def resume_node(self):
        """Let the node go on."""
        self.node.send_signal(signal.SIGCONT)

    def freeze_log(self):
        """Stop the log service."""
        self.platform.log.send_signal(signal.SIGSTOP)

    def resume_log(self):
        """Let the log service go on."""
        self.platform.log.send_signal(signal.SIGCONT)

    def nothing(self):
        """Do nothing: the trigger is the demand itself."""

    @property
    def server(self):
        """The backend server process that is frozen."""
        return self.platform.nodes[self.bottleneck[0]].server

    @property
    def node(self):
        """The node process that is frozen."""
        return self.platform.nodes[self.bottleneck[0]].node


@dataclass(frozen=True, slots=True)
class Scenario:
    """A trigger; load and capacity are given relative to the capacity.

    ``load`` and ``critical`` are the demand during the trigger, in all and
    of the critical kinds. Callers repeat a failed request ``retries`` times.
    """

    name: str
    region: str
    load: float = USUAL_LOAD
    critical: float = USUAL_CRITICAL
    capacity: float = 1.0
    retries: int = 0
    begin: Callable[[Bench], None] = Bench.nothing
    end: Callable[[Bench], None] = Bench.nothing


SCENARIOS = (
    Scenario(
        name="slow",
        region="west-bengal",
        capacity=1 / SLOW_FACTOR,
        begin=Bench.slow_down,
        end=Bench.speed_up,
    ),
    Scenario("overload-2", "west-bengal", load=2.0, critical=0.5),
    Scenario("overload-4", "gulf-south", load=4.0, critical=0.5),
    Scenario("overload-10", "west-bengal", load=10.0, critical=0.5),
    Scenario("retry-hard", "gulf-south", load=2.0, critical=0.5, retries=3),
    Scenario(
        name="log-away",
        region="west-bengal",
        begin=Bench.freeze_log,
        end=Bench.resume_log,
    ),
    Scenario(
        name="server-frozen",
        region="gulf-south",
        capacity=2 / 3,
        begin=Bench.freeze_server,
        end=Bench.resume_server,
    ),
    Scenario(
        name="node-frozen",
        region="west-bengal",
        capacity=2 / 3,
        begin=Bench.freeze_node,
        end=Bench.resume_node,
    ),
)
