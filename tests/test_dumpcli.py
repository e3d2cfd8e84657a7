"""Tests of the dump script."""

import json
import signal
import socket
import subprocess
import sys
from pathlib import Path

from testtools import TestCase

from flamingosail import __version__
from flamingosail.dumpcli import main
from flamingosail.dumpcli import render
from tests.scripts import run_script

ROOT = Path(__file__).parent.parent
# A shell without job control starts background processes with SIGINT
# ignored, and Python keeps that; the test of Ctrl-C needs the default.
SCRIPT = (
    "import signal; "
    "signal.signal(signal.SIGINT, signal.default_int_handler); "
    "from flamingosail.dumpcli import main; main()"
)


def start(*command: str) -> subprocess.Popen:
    """Start python with arguments in the project's directory."""
    return subprocess.Popen(
        [sys.executable, *command],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


class DumpScriptTest(TestCase):
    """Guards against wrong exit codes and malformed output."""

    def run_script(self, *arguments: str, **options) -> tuple[int, str, str]:
        result = run_script(main, *arguments, **options)
        return result.code, result.output, result.errors

    def run_process(self, *arguments: str) -> tuple[int, str, str]:
        process = start("-c", SCRIPT, *arguments)
        output, errors = process.communicate(timeout=30)
        return process.returncode, output, errors

    def start_node(self) -> str:
        """Start a process with a control listener; return its address."""
        process = start("-m", "tests.control_process")
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        return f"127.0.0.1:{int(process.stdout.readline())}"

    def silent_server(self) -> tuple[socket.socket, str]:
        """Listen without responding; return the socket and its address."""
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        server.settimeout(20)
        return server, f"127.0.0.1:{server.getsockname()[1]}"

    def test_shows_the_state_of_a_node(self):
        address = self.start_node()
        code, output, errors = self.run_process(address)
        self.assertEqual((0, ""), (code, errors))
        self.assertIn("[control]\n", output)
        self.assertIn("[queue]\nlength  2\n", output)

        code, output, _ = self.run_script(address, "--json")
        self.assertEqual(0, code)
        self.assertEqual(2, json.loads(output)["queue"]["length"])

        code, output, _ = self.run_script(address, "queue", "--json")
        self.assertEqual(0, code)
        self.assertEqual(2, json.loads(output)["length"])

        for name in ("quue", "a/b c", ".."):
            code, output, errors = self.run_script(address, name)
            self.assertEqual((3, ""), (code, output), errors)

    def test_reports_a_node_that_is_not_reachable(self):
        server, address = self.silent_server()
        server.close()
        code, output, errors = self.run_process(address)
        self.assertEqual((1, ""), (code, output))
        self.assertIn(address, errors)
        self.assertNotIn("Traceback", errors)

    def test_gives_up_on_a_node_that_does_not_answer(self):
        _, address = self.silent_server()
        code, _, errors = self.run_script(address, speed=20.0)
        self.assertEqual(1, code, errors)
        self.assertNotIn("Traceback", errors)

    def test_ends_cleanly_on_ctrl_c(self):
        server, address = self.silent_server()
        process = start("-c", SCRIPT, address)
        connection, _ = server.accept()
        self.addCleanup(connection.close)
        process.send_signal(signal.SIGINT)
        output, errors = process.communicate(timeout=30)
        self.assertEqual((130, "", ""), (process.returncode, output, errors))

    def test_usage(self):
        for arguments in ([], ["localhost:1"], ["127.0.0.1:0"], ["--x"]):
            self.assertEqual(2, self.run_script(*arguments)[0], arguments)
        code, output, _ = self.run_script("--version")
        self.assertEqual((0, __version__), (code, output.strip()))
        code, output, _ = self.run_script("--help")
        self.assertEqual(0, code)
        for number in ("0 ", "1 ", "2 ", "3 "):
            self.assertIn(number, output)


class RenderTest(TestCase):
    """Guards against misaligned columns."""

    def test_aligns_values_and_tables(self):
        dump = {
            "queue": {
                "length": 2,
                "oldest_ms": 1.5,
                "note": "a\nb",
                "none": [],
                "servers": [
                    {"name": "s1", "weight": 0.5},
                    {"name": "server-2", "ready": True},
                ],
                "kinds": {"gate-check": {"refused": 1}, "x": {"refused": 20}},
                "counts": {"sent": 10, "ok": 9},
            },
            "empty": {},
        }
        self.assertEqual(
            "[queue]\n"
            "length     2\n"
            "oldest_ms  1.5\n"
            'note       "a\\nb"\n'
            "none       []\n"
            "\n"
            "servers:\n"
            "name      weight  ready\n"
            "s1        0.5\n"
            "server-2          true\n"
            "\n"
            "kinds:\n"
            "            refused\n"
            "gate-check  1\n"
            "x           20\n"
            "\n"
            "counts:\n"
            "sent  10\n"
            "ok    9\n"
            "\n"
            "[empty]\n",
            render(dump),
        )
