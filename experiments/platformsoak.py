"""Fault soak: injects faults around real nodes and checks the guarantees.

A seed determines the faults: connections through loopback proxies are
delayed, reset, silenced, or dropped in one direction or both; nodes and
servers are stopped, suspended, killed and started again, with overlaps; the
store fails, loses its history, holds long polls to their end, and comes back
from an older copy; configurations change.
Meanwhile clients send requests. The responses and the runs at the backend
servers are compared with the guarantees:

- a non-idempotent request runs at most once,
- a request with a response of 429, 503, 408 or 421 did not run,
- a 200 response is complete and belongs to its request,
- a server gets no more than the rate limit that it states,
- a server that states that it leaves gets nothing after its drain time,
- a node exits with code 0 unless it was killed,
- a request that crashes servers crashes few of them,
- after the faults, requests are served again, and all nodes have the newest
  configuration in force,
- a further configuration is in force at all nodes in time, although the store
  ends no long poll with it.
"""

import asyncio
import json
import signal
import sys
from argparse import ArgumentParser
from collections import Counter
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from random import Random

from flamingosail_platform.store import encode_record
from flamingosail_platform.store import Record
from platform_standins.server import EXIT_CRASHED
from platform_standins.server import send_request

from experiments.disturbedlink import Link
from experiments.platformcluster import Cluster
from experiments.platformcluster import configuration
from experiments.platformcluster import HOST

__all__ = ["FAULT_KINDS", "run_soak", "SoakReport"]

# Long enough for all processes to start on a busy machine.
START_SECONDS = 60.0
RECOVERY_SECONDS = 15.0
CLIENTS = 12
DEADLINE_MS = 2000
# A client goes on to another VM after this time without a response.
CLIENT_TIMEOUT_SECONDS = 4.0
# Bounds of the platform: the tolerated number of runs in a window of this
# length is 1.5 times the limit and 5, from the stability time after the limit
# was first stated on; a server may get requests for the drain time after it
# first stated that it leaves.
LIMIT_WINDOW_SECONDS = 4.0
STABILITY_SECONDS = 3.0
DRAIN_SECONDS = 2.0
CONFIG_APPLY_SECONDS = 2.0
VERSION_CHECK_SECONDS = 0.05
# Methods of Soak that inject a fault.
FAULT_KINDS = (
    "inject_link_fault",
    "pause_node",
    "kill_node",
    "stop_node",
    "replace_server",
    "inject_store_fault",
    "change_configuration",
    "limit_server",
    "remove_server",
    "restore_store",
    "send_deadly_requests",
    "silence_connections",
    "hold_polls",
)
# The platform tolerates three crashes and three more sends, by nodes that were
# not restarted, paused or cut off meanwhile.
DEADLY_PATH = "/read/deadly"
DEADLY_REQUESTS = 8
MAX_CRASHES = 6
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass
class SoakReport:
    """The results of a soak.

    ``statuses`` counts responses by status, 0 for none; ``violations`` has a
    line for each violated guarantee; ``served_at_end`` is the share of 200
    responses after the faults.
    """

    seed: int
    statuses: Counter = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    served_at_end: float = 0.0


class Soak:
    """One soak of a cluster; ``seconds`` is how long faults are injected.

    ``kinds`` names the faults, see ``FAULT_KINDS``.
    """

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        layout: dict[str, int],
        kinds: Sequence[str],
    ):
        self.kinds = kinds
        self.random = Random(seed)
        self.seconds = seconds
        self.cluster = Cluster(layout=layout)
        self.report = SoakReport(seed=seed)
        self.links: dict[str, Link] = {}
        self.status_by_id: dict[str, int] = {}
        self.non_idempotent_ids: set[str] = set()
        self.restarting: set[str] = set()
        self.restoring = False
        self.version = 0
        self.requests_sent = 0
        self.load_running = True
        self.recent_statuses: Counter = Counter()

    async def run(self) -> SoakReport:
        """Start everything, inject faults and check the guarantees."""
        try:
            await self.start()
            clients = [
                asyncio.create_task(self.run_client(number))
                for number in range(CLIENTS)
            ]
            await self.inject_faults()
            await self.remove_faults()
            await self.check_recovery()
            await self.check_configuration_time()
            self.load_running = False
            await asyncio.wait(clients, timeout=CLIENT_TIMEOUT_SECONDS + 1)
            for client in clients:
                client.cancel()
            self.check_runs()
            self.check_crashes()
            self.check_terms()
        finally:
            self.cluster.stop()
            for link in self.links.values():
                link.server.close()
                link.reset()
            # Lets the connections of the proxies close before the event loop.
            await asyncio.sleep(0.1)
        return self.report

    async def start(self):
        """Start the processes and wait until every VM serves requests.

        :raises RuntimeError: if not all do after ``START_SECONDS``.
        """
        cluster = self.cluster
        cluster.start_store()
        await self.add_link(
            "store", cluster.store_port, cluster.real_store_port
        )
        for name, vm in cluster.vms.items():
            await self.add_link(name, vm.advertised, vm.peers)
            self.start_vm(name)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + START_SECONDS
        while loop.time() < deadline:
            with suppress(OSError):
                if not self.version:
                    await self.write_configuration()
                names = list(cluster.vms)
                served = [await self.probe(name) for name in names]
                if all(served):
                    return
            await asyncio.sleep(0.2)
        raise RuntimeError(f"the cluster does not serve: {cluster.folder}")

    async def add_link(self, name: str, port: int, target: int):
        """Start a proxy that forwards a port to a target port."""
        link = self.links[name] = Link(target=target)
        link.server = await asyncio.start_server(
            link.handle_connection, HOST, port
        )

    def start_vm(self, name: str):
        """Start the node and the backend server of a VM."""
        self.cluster.start_node(name)
        self.start_server(name)

    def start_server(self, name: str):
        """Start the backend server of a VM; one of front makes two calls."""
        deep = name.startswith("deep")
        self.cluster.start_server(
            name, calls=0 if deep else 2, call_host="soak.example"
        )

    async def write_configuration(self):
        """Write the next configuration to the store, not through its proxy."""
        document = configuration(self.version + 1, "front", "deep")
        record = Record(key="config", value=json.dumps(document).encode())
        status, _ = await send_request(
            HOST,
            self.cluster.real_store_port,
            "/v1/log-append?topic=keyed.op&part=0",
            encode_record(record),
            {},
        )
        if status == 200:
            self.version += 1

    # Clients.

    async def probe(self, name: str) -> bool:
        """Return whether a read request at a VM gets a 200 response."""
        self.requests_sent += 1
        headers = self.headers(f"probe{self.requests_sent}")
        try:
            status, _ = await asyncio.wait_for(
                send_request(
                    HOST,
                    self.cluster.vms[name].clients,
                    "/read/x",
                    b"",
                    headers,
                ),
                CLIENT_TIMEOUT_SECONDS,
            )
        except (OSError, TimeoutError):
            return False
        return status == 200

    def headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of a request."""
        return {
            "Host": "soak.example",
            "Flamingosail-Request-Id": request_id,
            "Flamingosail-Deadline-Ms": str(DEADLINE_MS),
        }

    async def run_client(self, number: int):
        """Send requests to random VMs, one after the other."""
        random = Random(f"{self.report.seed}-{number}")
        while self.load_running:
            name = random.choice(list(self.cluster.vms))
            non_idempotent = random.random() < 0.4
            self.requests_sent += 1
            request_id = f"c{number}n{self.requests_sent}"
            if non_idempotent:
                self.non_idempotent_ids.add(request_id)
            try:
                status, body = await asyncio.wait_for(
                    send_request(
                        HOST,
                        self.cluster.vms[name].clients,
                        "/order/x" if non_idempotent else "/read/x",
                        b"order" if non_idempotent else b"",
                        self.headers(request_id),
                    ),
                    CLIENT_TIMEOUT_SECONDS,
                )
            except (OSError, TimeoutError):
                status, body = 0, b""
                await asyncio.sleep(0.05)
            self.status_by_id[request_id] = status
            self.report.statuses[status] += 1
            self.recent_statuses[status] += 1
            if status == 200 and f" {request_id} ".encode() not in body:
                self.record_violation(
                    f"{request_id}: response to another request: {body!r}"
                )
            await asyncio.sleep(random.uniform(0.0, 0.04))

    # Faults.

    async def inject_faults(self):
        """Inject faults at random intervals; they may overlap."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds
        running = set()
        while loop.time() < end:
            task = asyncio.create_task(
                getattr(self, self.random.choice(self.kinds))()
            )
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self.random.uniform(0.3, 1.2))
        if running:
            await asyncio.wait(running)

    def record_fault(self, text: str):
        """Record a fault in the report."""
        self.report.faults.append(text)

    def random_vm(self) -> str:
        """Return the name of a random VM."""
        return self.random.choice(list(self.cluster.vms))

    async def inject_link_fault(self):
        """Delay, drop (one direction or both) or reset the link of a node."""
        name = self.random_vm()
        mode = self.random.choice(("delay", "silent", "deaf", "mute", "reset"))
        self.record_fault(f"link {name} {mode}")
        link = self.links[name]
        if mode == "reset":
            link.reset()
            return
        link.mode = mode
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        link.mode = ""

    async def silence_connections(self):
        """Silence all open connections, or those to one node or the store."""
        name = self.random.choice(("", "store", self.random_vm()))
        self.record_fault(f"silence {name or 'all'}")
        for link_name, link in self.links.items():
            if name in ("", link_name):
                link.silence()

    async def hold_polls(self):
        """Let the store hold each long poll to its end for some seconds."""
        self.record_fault("hold polls")
        await self.set_store_faults({"holds_polls": True})
        await asyncio.sleep(self.random.uniform(1.0, 4.0))
        await self.set_store_faults({})

    async def set_store_faults(self, faults: dict):
        """Set the faults of the store; those that are left out end."""
        await send_request(
            HOST,
            self.cluster.real_store_port,
            "/faults",
            json.dumps(faults).encode(),
            {},
        )

    async def pause_node(self):
        """Suspend a node for a while."""
        name = f"node-{self.random_vm()}"
        self.record_fault(f"pause {name}")
        self.cluster.signal(name, signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 2.5))
        self.cluster.signal(name, signal.SIGCONT)

    async def kill_node(self):
        """Kill a node and start it again; its server keeps running."""
        name = self.random_vm()
        self.record_fault(f"kill {name}")
        await self.restart_node(name, signal.SIGKILL)

    async def stop_node(self):
        """Shut a node down with SIGTERM and start it again."""
        name = self.random_vm()
        self.record_fault(f"stop {name}")
        await self.restart_node(name, signal.SIGTERM)

    async def restart_node(self, name: str, number: int):
        """End a node with a signal, check its exit code and start it again."""
        process = self.cluster.processes[f"node-{name}"]
        if process.poll() is not None or name in self.restarting:
            return
        self.restarting.add(name)
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)
        for _ in range(80):
            if process.poll() is not None:
                break
            await asyncio.sleep(0.1)
        else:
            process.kill()
            process.wait()
            self.record_violation(f"node {name} did not end 8 s after SIGTERM")
        # Seeds 19 and 32: a SIGTERM during the start of the interpreter ends
        # the process by the signal, before it has listened or logged.
        started = self.cluster.has_written(f"node-{name}")
        if number == signal.SIGTERM and process.returncode and started:
            self.record_violation(
                f"node {name} exited with {process.returncode}"
            )
        await asyncio.sleep(self.random.uniform(0.0, 0.5))
        self.cluster.start_node(name)
        self.restarting.discard(name)

    async def limit_server(self):
        """Let a backend server state a rate limit for some seconds."""
        name = f"server-{self.random_vm()}"
        if not self.cluster.has_written(name):
            return  # it has not installed its signal handlers yet
        self.record_fault(f"limit {name}")
        process = self.cluster.processes[name]
        self.cluster.signal(name, signal.SIGUSR1)
        await asyncio.sleep(self.random.uniform(4.0, 9.0))
        if process is self.cluster.processes[name]:
            self.cluster.signal(name, signal.SIGUSR1)

    async def remove_server(self):
        """Let a backend server state that it leaves, then replace it."""
        name = self.random_vm()
        if not self.cluster.has_written(f"server-{name}"):
            return  # it has not installed its signal handlers yet
        self.record_fault(f"leave {name}")
        process = self.cluster.processes[f"server-{name}"]
        self.cluster.signal(f"server-{name}", signal.SIGUSR2)
        await asyncio.sleep(DRAIN_SECONDS + self.random.uniform(1.0, 3.0))
        if process is self.cluster.processes[f"server-{name}"]:
            await self.end_server(name)

    async def replace_server(self):
        """Kill a backend server and start a new one at the same address."""
        name = self.random_vm()
        self.record_fault(f"server {name}")
        await self.end_server(name)

    async def end_server(self, name: str):
        """Kill a backend server, and start a new one after a while."""
        process = self.cluster.processes[f"server-{name}"]
        if process.poll() is not None:
            return
        process.kill()
        process.wait()
        await asyncio.sleep(self.random.uniform(0.0, 1.5))
        self.start_server(name)

    async def inject_store_fault(self):
        """Let the store refuse, hang, reset, be slow or lose its history."""
        mode = self.random.choice(("busy", "silent", "reset", "slow", "drop"))
        self.record_fault(f"store {mode}")
        port = self.cluster.real_store_port
        if mode == "drop":
            await send_request(HOST, port, "/drop-history", b"{}", {})
            return
        faults = {"delay": 0.5} if mode == "slow" else {"mode": mode}
        await self.set_store_faults(faults)
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        await self.set_store_faults({})

    async def restore_store(self):
        """Let the store go away and come back from an older copy.

        The operator writes the newest configuration again.
        """
        if self.restoring:
            return
        self.restoring = True
        self.record_fault("restore")
        port = self.cluster.real_store_port
        await send_request(HOST, port, "/copy", b"{}", {})
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        await self.set_store_faults({"mode": "reset"})
        await asyncio.sleep(self.random.uniform(0.0, 2.0))
        await send_request(HOST, port, "/restore", b"{}", {})
        await self.set_store_faults({})
        if self.random.random() < 0.5:
            await asyncio.sleep(self.random.uniform(0.0, 1.0))
        with suppress(OSError, TimeoutError):
            await asyncio.wait_for(self.write_configuration(), 1.0)
        self.restoring = False

    async def send_deadly_requests(self):
        """Send a request that crashes servers, again and again.

        Servers that have crashed are started again.
        """
        self.record_fault("deadly")
        for _ in range(DEADLY_REQUESTS):
            self.requests_sent += 1
            headers = self.headers(f"deadly{self.requests_sent}")
            vm = self.cluster.vms[self.random_vm()]
            with suppress(OSError, TimeoutError):
                await asyncio.wait_for(
                    send_request(HOST, vm.clients, DEADLY_PATH, b"", headers),
                    CLIENT_TIMEOUT_SECONDS,
                )
            await asyncio.sleep(self.random.uniform(0.1, 0.4))
            for name in self.cluster.vms:
                process = self.cluster.processes[f"server-{name}"]
                if process.poll() == EXIT_CRASHED:
                    self.start_server(name)

    async def change_configuration(self):
        """Write the next configuration."""
        self.record_fault("configuration")
        with suppress(OSError, TimeoutError):
            await asyncio.wait_for(self.write_configuration(), 1.0)

    async def remove_faults(self):
        """Remove all faults; start the nodes that have exited again."""
        for link in self.links.values():
            link.mode = ""
        await self.set_store_faults({})
        for name in self.cluster.vms:
            process = self.cluster.processes[f"node-{name}"]
            process.send_signal(signal.SIGCONT)
            if process.poll() is not None:
                self.record_violation(f"node {name} exited by itself")
                self.cluster.start_node(name)

    # Guarantees.

    def record_violation(self, line: str):
        """Record a violated guarantee."""
        self.report.violations.append(line)

    async def check_recovery(self):
        """Check that 95% of the requests are served soon after the faults."""
        await asyncio.sleep(RECOVERY_SECONDS / 3)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + 2 * RECOVERY_SECONDS / 3
        while loop.time() < deadline:
            self.recent_statuses.clear()
            await asyncio.sleep(1.0)
            total = sum(self.recent_statuses.values())
            share = self.recent_statuses[200] / max(1, total)
            self.report.served_at_end = share
            versions = await self.versions_in_force()
            if total and share >= 0.95 and versions == {self.version}:
                return
        self.record_violation(
            f"served {share:.2f} of the requests after the faults; versions"
            f" {versions} in force, {self.version} written"
        )

    async def check_configuration_time(self):
        """Check that a change is in force in time if it ends no long poll."""
        await self.set_store_faults({"holds_polls": True})
        # Ends the long polls that began before.
        await self.write_configuration()
        await asyncio.sleep(CONFIG_APPLY_SECONDS)
        await self.write_configuration()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CONFIG_APPLY_SECONDS
        versions = await self.versions_in_force()
        while versions != {self.version} and loop.time() < deadline:
            await asyncio.sleep(VERSION_CHECK_SECONDS)
            versions = await self.versions_in_force()
        if versions != {self.version}:
            self.record_violation(
                f"versions {versions} in force {CONFIG_APPLY_SECONDS} s after"
                f" {self.version} was written"
            )
        await self.set_store_faults({})

    async def versions_in_force(self) -> set[int]:
        """Return the versions of the configuration at the nodes."""
        start = b"\nflamingosail_config_version "
        versions = set()
        for vm in self.cluster.vms.values():
            with suppress(OSError, TimeoutError):
                _, text = await asyncio.wait_for(
                    send_request(HOST, vm.metrics, "/metrics", b"", {}),
                    CLIENT_TIMEOUT_SECONDS,
                )
                versions.add(int(float(text.partition(start)[2].split()[0])))
        return versions

    def check_terms(self):
        """Compare the runs at each server with what it has asked for."""
        for server in self.cluster.server_records():
            for start, end, rate in server.limits:
                most = 1.5 * rate * LIMIT_WINDOW_SECONDS + 5
                runs = [
                    time
                    for time in server.runs
                    if start + STABILITY_SECONDS <= time < end
                ]
                for time in runs:
                    window = time + LIMIT_WINDOW_SECONDS
                    count = sum(time <= other < window for other in runs)
                    if count > most:
                        self.record_violation(
                            f"{server.instance} states {rate} a second and"
                            f" got {count} in {LIMIT_WINDOW_SECONDS} s"
                        )
                        break
            late = [
                time
                for time in server.runs
                if time > server.leaves_at + DRAIN_SECONDS
            ]
            if late:
                self.record_violation(
                    f"{server.instance} left and got {len(late)} requests, the"
                    f" last {late[-1] - server.leaves_at:.2f} s later"
                )

    def check_crashes(self):
        """Check that a request that crashes servers was found out."""
        crashes = sum(
            self.cluster.output(name).count("\nCRASH ")
            for name in self.cluster.processes
            if name.startswith("server-")
        )
        if crashes > MAX_CRASHES:
            self.record_violation(f"one request crashed {crashes} servers")

    def check_runs(self):
        """Compare the runs at the servers with the responses to clients."""
        runs = Counter(run[0] for run in self.cluster.runs())
        for request_id in self.non_idempotent_ids:
            if runs[request_id] > 1:
                self.record_violation(
                    f"{request_id} ran {runs[request_id]} times"
                )
        for request_id, status in self.status_by_id.items():
            if status in NOT_RUN_STATUSES and runs[request_id]:
                self.record_violation(
                    f"{request_id} ran, but its response was {status}"
                )
            if status == 200 and not runs[request_id]:
                self.record_violation(f"{request_id} got 200, but never ran")


def run_soak(
    *,
    seed: int,
    seconds: float,
    vms: int = 3,
    kinds: Sequence[str] = FAULT_KINDS,
) -> tuple[SoakReport, str]:
    """Run one soak; return its report and the path of its logs."""
    soak = Soak(
        seed=seed,
        seconds=seconds,
        layout={"front": vms, "deep": vms},
        kinds=kinds,
    )
    return asyncio.run(soak.run()), str(soak.cluster.folder)


def main(arguments: list[str] | None = None):
    """Run the seeds in turn; exit with 1 if a guarantee was violated."""
    parser = ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--vms", type=int, default=3, help="of each service")
    options = parser.parse_args(arguments)
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        report, folder = run_soak(
            seed=seed, seconds=options.seconds, vms=options.vms
        )
        failed += bool(report.violations)
        line = {
            "seed": seed,
            "statuses": dict(report.statuses),
            "faults": len(report.faults),
            "served_at_end": round(report.served_at_end, 3),
            "broken": report.violations[:5],
            "logs": folder,
        }
        print(json.dumps(line), flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
