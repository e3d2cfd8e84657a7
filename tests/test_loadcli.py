"""Tests of the load script, run as a process."""

import json
import signal
import socket
import subprocess
import sys
from pathlib import Path

from testtools import TestCase

from flamingosail import __version__

ROOT = Path(__file__).parent.parent
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def start(*arguments: str) -> subprocess.Popen:
    """Start the script."""
    return subprocess.Popen(
        [sys.executable, "-m", "flamingosail.loadcli", *arguments],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        # Processes that a shell starts in the background inherit an ignored
        # SIGINT; the test of Ctrl-C needs the default.
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )


class LoadScriptTest(TestCase):
    """Guards against wrong exit codes and malformed output."""

    def run_script(self, *arguments: str) -> tuple[int, str, str]:
        process = start(*arguments)
        output, errors = process.communicate(timeout=30)
        return process.returncode, output, errors

    def listen(self) -> tuple[socket.socket, str]:
        """Listen on a free port; return the socket and its address."""
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        server.settimeout(20)
        return server, f"127.0.0.1:{server.getsockname()[1]}"

    def test_prints_the_results_of_a_run(self):
        server, address = self.listen()
        process = start(
            address, "--kind", "gate-check:20:critical", "--seconds", "0.2"
        )
        self.addCleanup(process.kill)
        connection, _ = server.accept()
        self.addCleanup(connection.close)
        connection.settimeout(20)
        request = connection.recv(65536)
        connection.sendall(RESPONSE)
        self.assertIn(b"Flamingosail-Kind: gate-check\r\n", request)
        server.close()
        output, errors = process.communicate(timeout=30)
        self.assertEqual((0, ""), (process.returncode, errors))
        kind = json.loads(output)["kinds"]["gate-check"]
        self.assertGreaterEqual(kind["whole_in_time"], 1)

    def test_reports_that_no_request_got_a_response(self):
        server, address = self.listen()
        server.close()
        code, output, errors = self.run_script(
            address, "--kind", "a:50", "--seconds", "0.2"
        )
        self.assertEqual((1, ""), (code, errors))
        kind = json.loads(output)["kinds"]["a"]
        self.assertEqual(kind["sent"], sum(kind["errors"].values()))

    def test_prints_the_results_on_ctrl_c(self):
        server, address = self.listen()
        process = start(address, "--kind", "a:100", "--seconds", "60")
        self.addCleanup(process.kill)
        connection, _ = server.accept()
        self.addCleanup(connection.close)
        process.send_signal(signal.SIGINT)
        output, errors = process.communicate(timeout=30)
        self.assertEqual((130, ""), (process.returncode, errors))
        self.assertGreaterEqual(json.loads(output)["kinds"]["a"]["sent"], 1)

    def test_usage(self):
        address = "127.0.0.1:1"
        for arguments in (
            [],
            [address],
            ["localhost:1", "--kind", "a:1"],
            [address, "--kind", "a"],
            [address, "--kind", "a:0"],
            [address, "--kind", "a:nan"],
            [address, "--kind", "a:1:huge"],
            [address, "--kind", "a:1", "--kind", "a:2"],
            [address, "--kind", "a:1", "--path", "x"],
            [address, "--kind", "a:1", "--seconds", "-1"],
        ):
            code, output, errors = self.run_script(*arguments)
            self.assertEqual((2, ""), (code, output), arguments)
            self.assertNotIn("Traceback", errors)
        code, output, _ = self.run_script("--version")
        self.assertEqual((0, __version__), (code, output.strip()))
        code, output, _ = self.run_script("--help")
        self.assertEqual(0, code)
        for number in ("0 ", "1 ", "2 ", "130 "):
            self.assertIn(number, output)
