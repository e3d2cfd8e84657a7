"""End-to-end tests with real processes: store, nodes, backend servers."""

import json
import signal
import socket
import threading
import time
import urllib.error
import urllib.request
from pathlib import Path

from flamingosail_platform.store import encode_record
from flamingosail_platform.store import Record
from platform_standins.server import ENDLESS
from platform_standins.server import EXIT_CRASHED
from testtools import TestCase

from experiments.platformcluster import Cluster
from experiments.platformcluster import configuration
from experiments.platformcluster import HOST
from experiments.platformcluster import ROOT

START_SECONDS = 60.0
# Stability time and time to apply a configuration of the platform.
RESTORED_SECONDS = 3.0 + 2.0


def call(
    port: int, path: str, *, body=None, headers=None, method=None
) -> tuple:
    """Return status, headers and body of one request."""
    request = urllib.request.Request(
        f"http://{HOST}:{port}{path}",
        data=body,
        headers=headers or {},
        method=method,
    )
    try:
        with urllib.request.urlopen(request, timeout=5) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


class NodeStartTest(TestCase):
    """A node must exit if a listener cannot open or a setting is invalid."""

    def test_a_node_exits_if_an_address_is_in_use(self):
        """Soak seed 42: the node went on without its store, serving nothing.

        An address in use ended the start before the watches were running.
        """
        cluster = Cluster(layout={"deep": 1})
        self.addCleanup(cluster.stop)
        with socket.socket() as listener:
            listener.bind((HOST, cluster.vms["deep-0"].ready))
            listener.listen()
            cluster.start_node("deep-0")
            code = cluster.processes["node-deep-0"].wait(START_SECONDS)
        self.assertEqual(1, code)
        self.assertIn("not started", cluster.output("node-deep-0"))

    def test_invalid_settings_are_reported(self):
        cluster = Cluster(layout={"deep": 1})
        self.addCleanup(cluster.stop)
        cluster.start_node("deep-0")
        cluster.processes["node-deep-0"].kill()
        cluster.processes["node-deep-0"].wait()
        path = cluster.folder / "deep-0.conf"
        path.write_text(path.read_text().replace("appAddr=", "appAddr=x"))
        cluster.spawn(
            "check",
            [ROOT / "platform" / "node.py", "--check"],
            FLAMINGOSAIL_BOOT=str(path),
        )
        self.assertEqual(2, cluster.processes["check"].wait(START_SECONDS))
        self.assertIn("appAddr", cluster.output("check"))


class ClusterTest(TestCase):
    """Base class of tests with a store, nodes and backend servers."""

    layout = {"front": 2, "deep": 2}

    def setUp(self):
        super().setUp()
        cluster = self.cluster = self.create_cluster()
        self.addCleanup(self.cluster.stop)
        self.start_store()
        for name, vm in cluster.vms.items():
            # Nodes connect to each other without a proxy between them.
            fields = dict(vm.__dict__, advertised=vm.peers)
            cluster.vms[name] = type(vm)(**fields)
            cluster.start_node(name)
        self.start_servers()
        self.wait_until(lambda: self.publish_configuration(1))

    def create_cluster(self) -> Cluster:
        """Return the cluster without its processes."""
        return Cluster(layout=self.layout)

    def start_servers(self):
        """Start the backend servers; those of ``front`` call ``deep``."""
        for name, vm in self.cluster.vms.items():
            calls = 2 if vm.service == "front" else 0
            self.cluster.start_server(
                name, calls=calls, call_host="soak.example"
            )

    def start_store(self):
        """Start the store where the nodes and the tests reach it."""
        self.cluster.start_store(self.cluster.store_port)

    def gauges(self, name: str) -> set[int]:
        """Return the values of a gauge at the nodes."""
        start = f"\nflamingosail_{name} ".encode()
        return {
            int(float(text.partition(start)[2].split()[0]))
            for vm in self.cluster.vms.values()
            for text in [call(vm.metrics, "/metrics")[2]]
        }

    def publish_configuration(self, version: int) -> bool:
        """Write a configuration to the store; return whether it succeeded."""
        document = json.dumps(configuration(version, "front", "deep"))
        record = Record(key="config", value=document.encode())
        path = "/v1/log-append?topic=keyed.op&part=0"
        port = self.cluster.store_port
        return call(port, path, body=encode_record(record))[0] == 200

    def wait_until(self, condition):
        """Wait until a condition holds; fail after ``START_SECONDS``."""
        deadline = time.monotonic() + START_SECONDS
        while True:
            try:
                if condition():
                    return
            except OSError:
                pass
            if time.monotonic() > deadline:
                logs = [self.cluster.output(n) for n in self.cluster.processes]
                raise AssertionError("\n".join(logs)[-4000:])
            time.sleep(0.1)

    def request(self, vm, path: str, request_id: str, body=None):
        """Send a request to a node."""
        headers = {
            "Host": "soak.example",
            "Flamingosail-Request-Id": request_id,
            "Flamingosail-Deadline-Ms": "2000",
        }
        return call(vm.clients, path, body=body, headers=headers)

    def wait_until_served(self):
        """Wait until each node is ready and serves a request."""
        for vm in self.cluster.vms.values():
            self.wait_until(
                lambda vm=vm: call(vm.ready, "/v1/readiness")[0] == 200
            )
            self.wait_until(
                lambda vm=vm: (
                    self.request(vm, "/read/a", f"warm{time.time()}")[0] == 200
                )
            )


class PlatformProcessTest(ClusterTest):
    """The entry point, the connections between processes, and shutdown."""

    def resident_mb(self) -> float:
        """Return the memory of the largest node in MB."""
        sizes = []
        for name in self.cluster.vms:
            pid = self.cluster.processes[f"node-{name}"].pid
            status = Path(f"/proc/{pid}/status").read_text()
            line = status.partition("VmHWM:")[2].split()
            sizes.append(int(line[0]) / 1000)
        return max(sizes)

    def test_bytes_without_end_from_a_server(self):
        """They end in bounded time and memory, and disturb no other."""
        self.wait_until_served()
        vm = self.cluster.vms["front-0"]
        before = self.resident_mb()
        others = []
        stopping = threading.Event()

        def send_others():
            while not stopping.is_set():
                name = f"other{len(others)}"
                others.append(self.request(vm, "/read/a", name)[0])

        thread = threading.Thread(target=send_others)
        thread.start()
        try:
            for kind in ENDLESS:
                started = time.monotonic()
                status, *_ = self.request(vm, f"/read/{kind}", f"id-{kind}")
                self.assertEqual(502, status, kind)
                self.assertLess(time.monotonic() - started, 2.5, kind)
        finally:
            stopping.set()
            thread.join()
        self.assertEqual({200}, set(others))
        # Requests and responses may take an eighth of 200 MB each, and a
        # message exists up to three times.
        self.assertLess(self.resident_mb() - before, 75)

    def test_requests_take_two_hops_and_a_node_shuts_down_gracefully(self):
        vms = self.cluster.vms
        self.wait_until_served()
        deep = vms["deep-0"]
        status, headers, body = self.request(deep, "/read/a", "id1")
        self.assertEqual(200, status)
        self.assertEqual("id1", headers["Flamingosail-Request-Id"])
        self.assertIn("Flamingosail-Server-Stamp", headers)
        self.assertIn(b" id1 ", body)
        # A non-idempotent request runs once; a path without a route gets 404.
        order = self.request(deep, "/order/a", "id2", b"x" * 5000)
        self.assertEqual((200, True), (order[0], order[2].endswith(b"5000")))
        self.assertEqual(404, self.request(deep, "/none", "id3")[0])
        ran = [run[0] for run in self.cluster.runs()]
        self.assertEqual(1, ran.count("id2"))
        self.assertEqual(1, ran.count("id2.0"))
        self.assertIn(b"request_seconds", call(deep.metrics, "/metrics")[2])
        # A node that stops still answers on open connections and exits
        # with 0.
        client = socket.create_connection((HOST, deep.clients), timeout=5)
        self.cluster.signal("node-deep-0", signal.SIGTERM)
        self.wait_until(lambda: call(deep.ready, "/v1/readiness")[0] == 503)
        client.sendall(
            b"GET /read/a HTTP/1.1\r\nHost: soak.example\r\n"
            b"Flamingosail-Request-Id: id4\r\n\r\n"
        )
        response = client.recv(65536)
        client.close()
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
        self.assertIn(b"Connection: close", response)
        process = self.cluster.processes["node-deep-0"]
        self.assertEqual(0, process.wait(8))
        # The other nodes still serve requests.
        front = vms["front-0"]
        self.assertEqual(200, self.request(front, "/read/a", "id5")[0])


class RestoredStoreTest(ClusterTest):
    """No configuration may be missed when the store is restored."""

    # Both nodes are readers of the store.
    layout = {"front": 1, "deep": 1}

    def test_a_configuration_after_a_restore_of_the_store_is_in_force(self):
        """Guards against a reader at an offset that was given out again."""
        self.wait_until_served()
        store, nodes = self.cluster.store_port, list(self.cluster.vms)
        self.wait_until(lambda: self.gauges("store_reader") == {1})
        call(store, "/copy", body=b"{}")
        for version in (2, 3):
            self.publish_configuration(version)
        self.wait_until(lambda: self.gauges("config_version") == {3})
        for name in nodes:
            self.cluster.signal(f"node-{name}", signal.SIGSTOP)
        call(store, "/restore", body=b"{}")
        # The operator writes again what was lost, then something new: the end
        # of the topic is where it was.
        for version in (3, 4):
            self.publish_configuration(version)
        for name in nodes:
            self.cluster.signal(f"node-{name}", signal.SIGCONT)
        resumed = time.monotonic()
        self.wait_until(
            lambda: (
                self.gauges("config_version") == {4}
                or time.monotonic() - resumed > RESTORED_SECONDS
            )
        )
        self.assertEqual({4}, self.gauges("config_version"))


class DeadlyRequestTest(ClusterTest):
    """No request may crash server after server."""

    layout = {"front": 3, "deep": 1}

    def restart_crashed(self) -> int:
        """Start the servers that have crashed; return how many crashed."""
        for name in self.cluster.vms:
            process = self.cluster.processes[f"server-{name}"]
            if process.poll() == EXIT_CRASHED:
                self.cluster.start_server(name)
        return sum(
            self.cluster.output(f"server-{name}").count("CRASH")
            for name in self.cluster.vms
        )

    def send_deadly(self, vm, number: int) -> tuple:
        return self.request(vm, "/read/deadly", f"deadly-{number}")

    def test_a_request_that_crashes_servers_is_refused_by_all_nodes(self):
        """Guards against a request that ends server after server.

        It comes again under other ids, at each node, also at one that has
        just restarted.
        """
        self.wait_until_served()
        vms = list(self.cluster.vms.values())
        for number in range(12):
            self.send_deadly(vms[number % len(vms)], number)
            time.sleep(0.3)
            self.restart_crashed()
        self.assertIn(self.restart_crashed(), (2, 3))
        restarted = vms[0]
        self.cluster.signal(f"node-{restarted.name}", signal.SIGKILL)
        self.cluster.processes[f"node-{restarted.name}"].wait()
        self.cluster.start_node(restarted.name)
        self.wait_until_served()
        for number, vm in enumerate(vms):
            status, headers, body = self.send_deadly(vm, 100 + number)
            self.assertEqual(502, status)
            self.assertIsNone(headers["Retry-After"])
            self.assertIn(b"quarantined", body)
        self.assertIn(self.restart_crashed(), (2, 3))
        # An operator lifts it at one node, for all of them.
        path = "/quarantine"
        entry = json.loads(call(vms[1].metrics, path)[2])[0]
        call(vms[1].metrics, f"{path}/{entry['fingerprint']}", method="DELETE")
        self.wait_until(
            lambda: all(
                entry["fingerprint"].encode() not in call(vm.metrics, path)[2]
                for vm in vms
            )
        )
