"""Tests of flamingosail-publish against the stand-in log service."""

import json
import signal
import subprocess
import sys
from pathlib import Path
from socket import create_server
from tempfile import TemporaryDirectory
from urllib.request import Request
from urllib.request import urlopen

from testtools import TestCase

from flamingosail import __version__
from flamingosail.publishcli import EXIT_OK
from flamingosail.publishcli import EXIT_REFUSED
from flamingosail.publishcli import EXIT_UNKNOWN
from flamingosail.publishcli import EXIT_USAGE
from flamingosail.publishcli import main
from tests.scripts import Done
from tests.scripts import run_script

ROOT = Path(__file__).parent.parent
SCRIPT = [sys.executable, "-m", "flamingosail.publishcli"]
SERVER = [sys.executable, "-m", "standins.logserver", "--port", "0"]
VALID = b'{"services": {"a": {}}, "kinds": {}}'
LOG_IS_DOWN = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n"
    b"Connection: close\r\n\r\n{}"
)
INVALID = b'{"services": {"a": 1}, "kinds": 2}'


class PublishScriptTest(TestCase):
    """Guards against wrong exit codes and misleading output."""

    def setUp(self):
        super().setUp()
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.valid = Path(directory.name, "valid.json")
        self.valid.write_bytes(VALID)
        self.invalid = Path(directory.name, "invalid.json")
        self.invalid.write_bytes(INVALID)

    def start_log_server(self):
        server = subprocess.Popen(
            [*SERVER, "--retention", "60"], stdout=subprocess.PIPE, cwd=ROOT
        )
        self.addCleanup(server.stdout.close)
        self.addCleanup(server.wait, 10)
        self.addCleanup(server.terminate)
        port = json.loads(server.stdout.readline())["port"]
        self.url = f"http://127.0.0.1:{port}"

    def set_faults(self, **changes):
        body = json.dumps(changes).encode()
        request = Request(self.url + "/control", data=body, method="PUT")
        with urlopen(request, timeout=5) as response:
            self.assertEqual(200, response.status)

    def run_script(self, *arguments) -> Done:
        return run_script(main, *arguments)

    def run_process(self, *arguments) -> Done:
        done = subprocess.run(
            [*SCRIPT, *map(str, arguments)],
            capture_output=True,
            cwd=ROOT,
            text=True,
            timeout=30,
        )
        return Done(done.returncode, done.stdout, done.stderr)

    def report(self, *arguments, run=None):
        run = run or self.run_script
        done = run(*arguments, "--log", self.url, "--json")
        self.assertEqual("", done.errors)
        return done.code, json.loads(done.output)

    def test_version_help_and_usage(self):
        done = self.run_script("--version")
        self.assertEqual(
            (EXIT_OK, __version__), (done.code, done.output.strip())
        )
        done = self.run_script("--help")
        self.assertEqual(EXIT_OK, done.code)
        self.assertIn("Exit codes: 0 accepted or ok; 1 refused", done.output)
        for arguments in (
            [],
            ["bogus"],
            ["check"],
            ["check", "/does/not/exist"],
            ["show"],
            ["show", "--log", "nonsense"],
        ):
            done = self.run_script(*arguments)
            self.assertEqual(EXIT_USAGE, done.code, arguments)
            self.assertNotIn("Traceback", done.errors)

    def test_check_needs_no_log(self):
        self.assertEqual(EXIT_OK, self.run_script("check", self.valid).code)
        done = self.run_script("check", self.invalid)
        self.assertEqual(EXIT_REFUSED, done.code)
        self.assertIn("services.a: must be an object", done.output)
        self.assertIn("kinds: must be an object", done.output)

    def test_publishes_shows_and_resolves(self):
        self.start_log_server()
        code, report = self.report("publish", self.valid, run=self.run_process)
        self.assertEqual((EXIT_OK, "accepted"), (code, report["state"]))
        self.assertEqual(0, report["version"])
        code, shown = self.report("show")
        self.assertEqual((EXIT_OK, 0), (code, shown["version"]))
        self.assertEqual(json.loads(VALID), shown["manifest"])
        code, found = self.report("resolve", report["publication_id"])
        self.assertEqual((EXIT_OK, "accepted"), (code, found["state"]))
        code, found = self.report("resolve", "0" * 32)
        self.assertEqual((EXIT_UNKNOWN, "unknown"), (code, found["state"]))
        code, refused = self.report("publish", self.invalid)
        self.assertEqual((EXIT_REFUSED, "refused"), (code, refused["state"]))

    def test_a_lost_response_is_resolved_and_an_outage_is_unknown(self):
        self.start_log_server()
        self.set_faults(lose_answers=1)
        code, report = self.report("publish", self.valid)
        self.assertEqual((EXIT_OK, "accepted"), (code, report["state"]))
        self.set_faults(down=True)
        code, report = self.report("publish", self.valid, "--timeout", "0.5")
        self.assertEqual((EXIT_UNKNOWN, "unknown"), (code, report["state"]))
        self.assertIn("nothing was sent", report["reason"])

    def test_ctrl_c_reports_unknown_without_a_traceback(self):
        server = create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        server.settimeout(20)
        process = subprocess.Popen(
            [
                *SCRIPT,
                "show",
                "--log",
                f"http://127.0.0.1:{server.getsockname()[1]}",
                "--timeout",
                "60",
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        # The second connection shows that the script is running and retries
        # after a failed read.
        for _ in range(2):
            connection, _ = server.accept()
            connection.recv(4096)
            connection.sendall(LOG_IS_DOWN)
            connection.close()
        process.send_signal(signal.SIGINT)
        output, errors = process.communicate(timeout=10)
        self.assertEqual(EXIT_UNKNOWN, process.returncode)
        self.assertEqual("unknown: interrupted\n", output)
        self.assertEqual("", errors)
