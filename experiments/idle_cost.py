"""Measures processor time, memory and traffic of nodes without calls.

Run as ``python -m experiments.idle_cost``. Starts the 13 nodes of one
deployment; membership, probes, log polling and metrics stay active. Prints
one JSON line for the nodes that poll the log for their failure domain
(readers) and one for the others.
"""

import json
import time

from experiments.call_cost import processor_seconds
from experiments.deployments import helmet_ledger
from experiments.processes import NodeProcess
from experiments.processes import Platform

__all__ = ["main"]

SETTLE_SECONDS = 15.0
OBSERVE_SECONDS = 20.0


def snapshot(node: NodeProcess) -> dict:
    """Return processor seconds, resident kB and bytes sent so far."""
    with open(f"/proc/{node.node.pid}/status") as file:
        fields = dict(line.split(":", 1) for line in file)
    transport = node.dump("transport")
    return {
        "cpu": processor_seconds(node.node.pid),
        "resident_kb": int(fields["VmRSS"].split()[0]),
        "sent": transport["sent_bytes"],
    }


def main():
    """Run the experiment."""
    with Platform(helmet_ledger()) as platform:
        platform.start()
        report = platform.publish(platform.deployment.manifest)
        platform.wait_for_manifest(report["version"])
        time.sleep(SETTLE_SECONDS)
        nodes = platform.nodes.values()
        before = {node.name: snapshot(node) for node in nodes}
        time.sleep(OBSERVE_SECONDS)
        groups: dict[str, list[dict]] = {"readers": [], "others": []}
        for node in nodes:
            after, earlier = snapshot(node), before[node.name]
            reader = node.dump("manifest")["reader"]
            groups["readers" if reader else "others"].append(
                {
                    "cpu_percent": (after["cpu"] - earlier["cpu"])
                    / OBSERVE_SECONDS
                    * 100,
                    "resident_mb": after["resident_kb"] / 1000,
                    "sent_bytes_per_second": (after["sent"] - earlier["sent"])
                    / OBSERVE_SECONDS,
                }
            )
    for name, results in groups.items():
        line = {"group": name, "nodes": len(results)}
        for key in results[0]:
            values = [entry[key] for entry in results]
            line[key] = round(sum(values) / len(values), 2)
            line[f"{key}_max"] = round(max(values), 2)
        print(json.dumps(line))


if __name__ == "__main__":
    main()
