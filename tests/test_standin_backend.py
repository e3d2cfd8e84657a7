"""Tests of the stand-in backend server as a process."""

import json
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from pathlib import Path

from testtools import TestCase

from standins.backendserver import main
from standins.workload import check_answer
from tests.scripts import run_script

ROOT = Path(__file__).parent.parent


class BackendServerTest(TestCase):
    """Guards against a stand-in that does not follow the published HTTP."""

    def start(self, *arguments: str) -> subprocess.Popen:
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        return process

    def server(self, *arguments: str) -> int:
        """Start a stand-in and return its port."""
        process = self.start(
            "standins.backendserver", "--service", "cashier", *arguments
        )
        self.server_pid = process.pid
        return json.loads(process.stdout.readline())["port"]

    def node(self, port: int = 0) -> tuple[subprocess.Popen, int]:
        """Start a control listener and return its process and port."""
        process = self.start("tests.control_process", str(port))
        return process, int(process.stdout.readline())

    def ask(self, port, method, target, body=b"", **headers):
        """Return status and body of an answer."""
        connection = HTTPConnection("127.0.0.1", port, timeout=20)
        names = {k.replace("_", "-"): v for k, v in headers.items()}
        if isinstance(body, dict):
            body = json.dumps(body).encode()
        connection.request(method, target, body, names)
        answer = connection.getresponse()
        content = answer.read()
        connection.close()
        return answer.status, content

    def get(self, port: int, target: str) -> dict:
        return json.loads(self.ask(port, "GET", target)[1])

    def wait_for(self, condition):
        deadline = time.monotonic() + 20
        while not condition():
            self.assertTrue(time.monotonic() < deadline, "not in 20 s")
            time.sleep(0.02)

    def test_serves_a_chain_of_steps(self):
        last = self.server("--slots", "4")
        steps = {
            "renew": {
                "parallel": True,
                "steps": [{"kind": "check"}, {"kind": "charge", "key": "c"}],
            }
        }
        first = self.server(
            "--egress", f"127.0.0.1:{last}", "--kinds", json.dumps(steps)
        )
        status, body = self.ask(
            first, "POST", "/renew/1", b"x", Flamingosail_Kind="renew"
        )
        self.assertEqual(200, status, body)
        self.assertTrue(check_answer(body, "/renew/1"))
        self.assertEqual(2, self.get(last, "/stats")["counts"]["answered"])

    def test_limits_slots_and_counts_runs(self):
        kinds = {"charge": {"idempotent": False}}
        port = self.server(
            "--slots", "2", "--service-ms", "50", "--kinds", json.dumps(kinds)
        )

        def charge(number):
            return self.ask(
                port,
                "POST",
                "/charge",
                b"",
                Flamingosail_Kind="charge",
                Idempotency_Key=f"k{number % 4}",
            )[0]

        began = time.monotonic()
        with ThreadPoolExecutor(6) as pool:
            self.assertEqual([200] * 6, list(pool.map(charge, range(6))))
        self.assertTrue(time.monotonic() - began >= 0.15)
        self.assertEqual(2, self.get(port, "/stats")["most_in_flight"])
        self.assertEqual(
            {
                "charge k0 /charge": 2,
                "charge k1 /charge": 2,
                "charge k2 /charge": 1,
                "charge k3 /charge": 1,
            },
            self.get(port, "/runs"),
        )

    def test_cancels_by_context(self):
        port = self.server("--service-ms", "60000")
        with ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(
                self.ask,
                port,
                "POST",
                "/slow",
                b"",
                Flamingosail_Kind="x",
                Flamingosail_Context="abc",
            )
            self.wait_for(lambda: self.get(port, "/stats")["in_flight"])
            target = "/flamingosail/requests/abc"
            self.assertEqual(204, self.ask(port, "DELETE", target)[0])
            self.assertEqual(499, waiting.result(timeout=20)[0])
        self.assertEqual(404, self.ask(port, "DELETE", target)[0])

    def test_obeys_control_orders(self):
        port = self.server()
        order = {"failing": True, "report": "idle"}
        self.assertEqual(200, self.ask(port, "POST", "/control", order)[0])
        self.assertEqual(500, self.ask(port, "GET", "/x")[0])
        self.assertEqual(200, self.ask(port, "GET", "/health")[0])
        order = {"report": "honest"}
        self.assertEqual(200, self.ask(port, "POST", "/control", order)[0])
        self.assertEqual(503, self.ask(port, "GET", "/health")[0])
        for wrong in ({"frozn": True}, {"service_ms": -1}, b"{"):
            self.assertEqual(400, self.ask(port, "POST", "/control", wrong)[0])
        order = {"failing": False, "frozen": True}
        self.assertEqual(200, self.ask(port, "POST", "/control", order)[0])
        with ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(self.ask, port, "GET", "/x")
            self.wait_for(lambda: self.get(port, "/stats")["queued"])
            order = {"frozen": False}
            self.ask(port, "POST", "/control", order)
            self.assertEqual(200, waiting.result(timeout=20)[0])

    def test_announces_itself_again_to_a_new_node(self):
        node, control = self.node()
        node.kill()
        node.wait()
        port = self.server(
            "--control",
            f"127.0.0.1:{control}",
            "--slots",
            "45",
            "--connections",
            "370",
        )
        self.assertFalse(self.get(port, "/stats")["announced"])
        for _ in range(2):
            node, _ = self.node(control)
            self.wait_for(
                lambda: self.get(control, "/dump/calls")["announced"]
            )
            self.assertEqual(
                {
                    "service": "cashier",
                    "host": "127.0.0.1",
                    "port": port,
                    "slots": 45,
                    "connections": 370,
                    "pid": self.server_pid,
                },
                self.get(control, "/dump/calls")["announced"][0],
            )
            self.wait_for(lambda: self.get(control, "/dump/calls")["load"])
            order = {"drain": True}
            self.assertEqual(202, self.ask(port, "POST", "/control", order)[0])
            self.assertEqual(1, self.get(control, "/dump/calls")["drains"])
            node.kill()
            node.wait()

    def test_refuses_connections_over_the_limit(self):
        port = self.server("--connections", "1")
        held = HTTPConnection("127.0.0.1", port, timeout=20)
        self.addCleanup(held.close)
        held.request("GET", "/x")
        held.getresponse().read()
        self.assertRaises(OSError, self.ask, port, "GET", "/x")
        held.request("GET", "/x")
        self.assertEqual(200, held.getresponse().status)

    def test_reads_settings_with_flags_over_them(self):
        path = ROOT / "docs" / "backendserver.json"
        port = self.server("--settings", str(path), "--slots", "7")
        self.assertEqual(7, self.get(port, "/stats")["slots"])

    def test_refuses_wrong_settings(self):
        for arguments in (
            [],
            ["--service", "x", "--slots", "0"],
            ["--service", "x", "--distribution", "pareto"],
            ["--service", "x", "--kinds", '{"a": {"step": []}}'],
            ["--service", "x", "--control", "localhost:1"],
        ):
            done = run_script(main, *arguments)
            self.assertEqual(1, done.code, (arguments, done.errors))
            self.assertNotIn("Traceback", done.errors)
