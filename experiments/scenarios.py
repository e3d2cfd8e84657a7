"""The measured scenarios: a fault or an overload each, and its load."""

import json
import signal
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPConnection

from experiments.processes import Platform
from experiments.scaled import ScaledDeployment

__all__ = ["SCENARIOS", "Scenario", "Testbed"]

# Multiples of the capacity of the deployment.
STEADY_LOAD = 0.7
STEADY_CRITICAL_LOAD = 0.2
SLOWDOWN_FACTOR = 3
CONTROL_TIMEOUT_SECONDS = 10.0


class Testbed:
    """A running deployment whose stand-in servers can be controlled.

    Control connections are opened before the load starts because it may use
    up the connections that the backend servers accept.
    """

    def __init__(self, *, platform: Platform, scaled: ScaledDeployment):
        self.platform = platform
        self.scaled = scaled
        self.connections: dict[str, HTTPConnection] = {}

    def connect(self):
        """Open a control connection to each backend server."""
        for name, node in self.platform.nodes.items():
            self.connections[name] = HTTPConnection(
                "127.0.0.1", node.server_port, timeout=CONTROL_TIMEOUT_SECONDS
            )
            self.get_json(name, "/stats")

    @property
    def bottleneck_nodes(self) -> list[str]:
        """The names of the nodes of the bottleneck service."""
        return [
            node.name
            for node in self.platform.nodes.values()
            if node.service == self.scaled.bottleneck
        ]

    def get_json(self, name: str, path: str) -> dict:
        """Return the JSON object at a path of a node's backend server."""
        connection = self.connections[name]
        connection.request("GET", path)
        return json.load(connection.getresponse())

    def post_control(self, name: str, **changes):
        """Change settings of a node's backend server."""
        connection = self.connections[name]
        connection.request("POST", "/control", json.dumps(changes))
        connection.getresponse().read()

    def slow_bottleneck(self):
        """Slow the bottleneck service to a third of its speed."""
        self.set_service_ms(
            self.scaled.bottleneck_spec.service_ms * SLOWDOWN_FACTOR
        )

    def restore_bottleneck(self):
        """Restore the service time of the bottleneck."""
        self.set_service_ms(self.scaled.bottleneck_spec.service_ms)

    def set_service_ms(self, value: float):
        """Set the service time of all servers of the bottleneck."""
        for name in self.bottleneck_nodes:
            self.post_control(name, service_ms=value)

    def freeze_server(self):
        """Suspend one backend server of the bottleneck."""
        self.frozen_server.send_signal(signal.SIGSTOP)

    def resume_server(self):
        """Resume the suspended backend server."""
        self.frozen_server.send_signal(signal.SIGCONT)

    def freeze_node(self):
        """Suspend one node of the bottleneck."""
        self.frozen_node.send_signal(signal.SIGSTOP)

    def resume_node(self):
        """Resume the suspended node."""
        self.frozen_node.send_signal(signal.SIGCONT)

    def freeze_log(self):
        """Suspend the log service."""
        self.platform.log_service.send_signal(signal.SIGSTOP)

    def resume_log(self):
        """Resume the log service."""
        self.platform.log_service.send_signal(signal.SIGCONT)

    def do_nothing(self):
        """Do nothing: the trigger is the load alone."""

    @property
    def frozen_server(self):
        """The backend server process that is suspended."""
        return self.platform.nodes[self.bottleneck_nodes[0]].server

    @property
    def frozen_node(self):
        """The node process that is suspended."""
        return self.platform.nodes[self.bottleneck_nodes[0]].node


@dataclass(frozen=True, slots=True)
class Scenario:
    """A trigger (a fault, an overload or both) and the load during it.

    ``load`` is the total load and ``critical`` the part of it in critical
    kinds; both, and the ``capacity`` that the trigger leaves, are multiples
    of the capacity of the deployment. Callers retry a failed request
    ``retries`` times. ``start_trigger`` and ``end_trigger`` inject and
    remove the fault.
    """

    name: str
    region: str
    load: float = STEADY_LOAD
    critical: float = STEADY_CRITICAL_LOAD
    capacity: float = 1.0
    retries: int = 0
    start_trigger: Callable[[Testbed], None] = Testbed.do_nothing
    end_trigger: Callable[[Testbed], None] = Testbed.do_nothing


SCENARIOS = (
    Scenario(
        name="slow",
        region="west-bengal",
        capacity=1 / SLOWDOWN_FACTOR,
        start_trigger=Testbed.slow_bottleneck,
        end_trigger=Testbed.restore_bottleneck,
    ),
    Scenario("overload-2", "west-bengal", load=2.0, critical=0.5),
    Scenario("overload-4", "gulf-south", load=4.0, critical=0.5),
    Scenario("overload-10", "west-bengal", load=10.0, critical=0.5),
    Scenario("retry-hard", "gulf-south", load=2.0, critical=0.5, retries=3),
    Scenario(
        name="log-away",
        region="west-bengal",
        start_trigger=Testbed.freeze_log,
        end_trigger=Testbed.resume_log,
    ),
    Scenario(
        name="server-frozen",
        region="gulf-south",
        capacity=2 / 3,
        start_trigger=Testbed.freeze_server,
        end_trigger=Testbed.resume_server,
    ),
    Scenario(
        name="node-frozen",
        region="west-bengal",
        capacity=2 / 3,
        start_trigger=Testbed.freeze_node,
        end_trigger=Testbed.resume_node,
    ),
)
