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
from standins.workload import is_valid_response
from tests.scripts import run_script

ROOT = Path(__file__).parent.parent


class BackendServerTest(TestCase):
    """Guards against a stand-in that deviates from the documented HTTP."""

    def start_process(self, *arguments: str) -> subprocess.Popen:
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

    def start_server(self, *arguments: str) -> int:
        """Start a stand-in and return its port."""
        process = self.start_process(
            "standins.backendserver", "--service", "cashier", *arguments
        )
        self.server_pid = process.pid
        return json.loads(process.stdout.readline())["port"]

    def start_node(self, port: int = 0) -> tuple[subprocess.Popen, int]:
        """Start a node's control listener; return its process and port."""
        process = self.start_process("tests.control_process", str(port))
        return process, int(process.stdout.readline())

    def send_request(self, port, method, target, body=b"", **headers):
        """Send a request and return the status and body of the response."""
        connection = HTTPConnection("127.0.0.1", port, timeout=20)
        header_values = {k.replace("_", "-"): v for k, v in headers.items()}
        if isinstance(body, dict):
            body = json.dumps(body).encode()
        connection.request(method, target, body, header_values)
        response = connection.getresponse()
        content = response.read()
        connection.close()
        return response.status, content

    def get(self, port: int, target: str) -> dict:
        return json.loads(self.send_request(port, "GET", target)[1])

    def wait_for(self, condition):
        deadline = time.monotonic() + 20
        while not condition():
            self.assertTrue(time.monotonic() < deadline, "not in 20 s")
            time.sleep(0.02)

    def test_serves_a_chain_of_steps(self):
        last = self.start_server("--slots", "4")
        steps = {
            "renew": {
                "parallel": True,
                "steps": [{"kind": "check"}, {"kind": "charge", "key": "c"}],
            }
        }
        first = self.start_server(
            "--egress", f"127.0.0.1:{last}", "--kinds", json.dumps(steps)
        )
        status, body = self.send_request(
            first, "POST", "/renew/1", b"x", Flamingosail_Kind="renew"
        )
        self.assertEqual(200, status, body)
        self.assertTrue(is_valid_response(body, "/renew/1"))
        self.assertEqual(2, self.get(last, "/stats")["counts"]["answered"])

    def test_limits_slots_and_counts_runs(self):
        kinds = {"charge": {"idempotent": False}}
        port = self.start_server(
            "--slots", "2", "--service-ms", "50", "--kinds", json.dumps(kinds)
        )

        def charge(number):
            return self.send_request(
                port,
                "POST",
                "/charge",
                b"",
                Flamingosail_Kind="charge",
                Idempotency_Key=f"k{number % 4}",
            )[0]

        started_at = time.monotonic()
        with ThreadPoolExecutor(6) as pool:
            self.assertEqual([200] * 6, list(pool.map(charge, range(6))))
        self.assertTrue(time.monotonic() - started_at >= 0.15)
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

    def test_cancels_by_context_token(self):
        port = self.start_server("--service-ms", "60000")
        with ThreadPoolExecutor(1) as pool:
            pending = pool.submit(
                self.send_request,
                port,
                "POST",
                "/slow",
                b"",
                Flamingosail_Kind="x",
                Flamingosail_Context="abc",
            )
            self.wait_for(lambda: self.get(port, "/stats")["in_flight"])
            target = "/flamingosail/requests/abc"
            self.assertEqual(204, self.send_request(port, "DELETE", target)[0])
            self.assertEqual(499, pending.result(timeout=20)[0])
        self.assertEqual(404, self.send_request(port, "DELETE", target)[0])

    def test_applies_control_commands(self):
        port = self.start_server()
        command = {"failing": True, "report": "idle"}
        self.assertEqual(
            200, self.send_request(port, "POST", "/control", command)[0]
        )
        self.assertEqual(500, self.send_request(port, "GET", "/x")[0])
        self.assertEqual(200, self.send_request(port, "GET", "/health")[0])
        command = {"report": "honest"}
        self.assertEqual(
            200, self.send_request(port, "POST", "/control", command)[0]
        )
        self.assertEqual(503, self.send_request(port, "GET", "/health")[0])
        for invalid in ({"frozn": True}, {"service_ms": -1}, b"{"):
            self.assertEqual(
                400, self.send_request(port, "POST", "/control", invalid)[0]
            )
        command = {"failing": False, "frozen": True}
        self.assertEqual(
            200, self.send_request(port, "POST", "/control", command)[0]
        )
        with ThreadPoolExecutor(1) as pool:
            pending = pool.submit(self.send_request, port, "GET", "/x")
            self.wait_for(lambda: self.get(port, "/stats")["queued"])
            command = {"frozen": False}
            self.send_request(port, "POST", "/control", command)
            self.assertEqual(200, pending.result(timeout=20)[0])

    def test_repeats_the_announcement_to_a_restarted_node(self):
        node, control = self.start_node()
        node.kill()
        node.wait()
        port = self.start_server(
            "--control",
            f"127.0.0.1:{control}",
            "--slots",
            "45",
            "--connections",
            "370",
        )
        self.assertFalse(self.get(port, "/stats")["announced"])
        for _ in range(2):
            node, _ = self.start_node(control)
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
            command = {"drain": True}
            self.assertEqual(
                202, self.send_request(port, "POST", "/control", command)[0]
            )
            self.assertEqual(1, self.get(control, "/dump/calls")["drains"])
            node.kill()
            node.wait()

    def test_refuses_connections_over_the_limit(self):
        port = self.start_server("--connections", "1")
        connection = HTTPConnection("127.0.0.1", port, timeout=20)
        self.addCleanup(connection.close)
        connection.request("GET", "/x")
        connection.getresponse().read()
        self.assertRaises(OSError, self.send_request, port, "GET", "/x")
        connection.request("GET", "/x")
        self.assertEqual(200, connection.getresponse().status)

    def test_flags_override_the_settings_file(self):
        path = ROOT / "docs" / "backendserver.json"
        port = self.start_server("--settings", str(path), "--slots", "7")
        self.assertEqual(7, self.get(port, "/stats")["slots"])

    def test_rejects_invalid_settings(self):
        for arguments in (
            [],
            ["--service", "x", "--slots", "0"],
            ["--service", "x", "--distribution", "pareto"],
            ["--service", "x", "--kinds", '{"a": {"step": []}}'],
            ["--service", "x", "--control", "localhost:1"],
        ):
            result = run_script(main, *arguments)
            self.assertEqual(1, result.code, (arguments, result.errors))
            self.assertNotIn("Traceback", result.errors)
