"""Tests of flamingosail-publish as a process, against the stand-in."""

import json
import signal
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from urllib.request import Request
from urllib.request import urlopen

from testtools import TestCase

from flamingosail import __version__
from flamingosail.publishcli import EXIT_OK
from flamingosail.publishcli import EXIT_REFUSED
from flamingosail.publishcli import EXIT_UNKNOWN
from flamingosail.publishcli import EXIT_USAGE

ROOT = Path(__file__).parent.parent
SCRIPT = [sys.executable, "-m", "flamingosail.publishcli"]
SERVER = [sys.executable, "-m", "standins.logserver", "--port", "0"]
VALID = b'{"services": {"a": {}}, "kinds": {}}'
INVALID = b'{"services": {"a": 1}, "kinds": 2}'


class PublishScriptTest(TestCase):
    """Guards against exit codes and outputs that mislead an operator."""

    def setUp(self):
        super().setUp()
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.valid = Path(directory.name, "valid.json")
        self.valid.write_bytes(VALID)
        self.invalid = Path(directory.name, "invalid.json")
        self.invalid.write_bytes(INVALID)

    def serve(self):
        server = subprocess.Popen(
            [*SERVER, "--retention", "60"], stdout=subprocess.PIPE, cwd=ROOT
        )
        self.addCleanup(server.stdout.close)
        self.addCleanup(server.wait, 10)
        self.addCleanup(server.terminate)
        port = json.loads(server.stdout.readline())["port"]
        self.url = f"http://127.0.0.1:{port}"

    def control(self, **changes):
        body = json.dumps(changes).encode()
        request = Request(self.url + "/control", data=body, method="PUT")
        with urlopen(request, timeout=5) as answer:
            self.assertEqual(200, answer.status)

    def run_script(self, *arguments):
        return subprocess.run(
            [*SCRIPT, *map(str, arguments)],
            capture_output=True,
            cwd=ROOT,
            text=True,
            timeout=30,
        )

    def report(self, *arguments):
        done = self.run_script(*arguments, "--log", self.url, "--json")
        self.assertEqual("", done.stderr)
        return done.returncode, json.loads(done.stdout)

    def test_version_help_and_usage(self):
        done = self.run_script("--version")
        self.assertEqual(
            (EXIT_OK, __version__), (done.returncode, done.stdout.strip())
        )
        done = self.run_script("--help")
        self.assertEqual(EXIT_OK, done.returncode)
        self.assertIn("Exit codes: 0 accepted or ok; 1 refused", done.stdout)
        for arguments in (
            [],
            ["bogus"],
            ["check"],
            ["check", "/does/not/exist"],
            ["show"],
            ["show", "--log", "nonsense"],
        ):
            done = self.run_script(*arguments)
            self.assertEqual(EXIT_USAGE, done.returncode, arguments)
            self.assertNotIn("Traceback", done.stderr)

    def test_check_needs_no_log(self):
        self.assertEqual(
            EXIT_OK, self.run_script("check", self.valid).returncode
        )
        done = self.run_script("check", self.invalid)
        self.assertEqual(EXIT_REFUSED, done.returncode)
        self.assertIn("services.a: must be an object", done.stdout)
        self.assertIn("kinds: must be an object", done.stdout)

    def test_publishes_shows_and_resolves(self):
        self.serve()
        code, report = self.report("publish", self.valid)
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

    def test_a_lost_answer_is_resolved_and_an_outage_is_unknown(self):
        self.serve()
        self.control(lose_answers=1)
        code, report = self.report("publish", self.valid)
        self.assertEqual((EXIT_OK, "accepted"), (code, report["state"]))
        self.control(down=True)
        code, report = self.report("publish", self.valid, "--timeout", "0.5")
        self.assertEqual((EXIT_UNKNOWN, "unknown"), (code, report["state"]))
        self.assertIn("nothing was sent", report["reason"])

    def test_ctrl_c_reports_unknown_without_a_traceback(self):
        self.serve()
        self.control(down=True)
        process = subprocess.Popen(
            [*SCRIPT, "show", "--log", self.url, "--timeout", "60"],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            output, errors = process.communicate(timeout=3)
            self.fail(f"ended early: {output} {errors}")
        except subprocess.TimeoutExpired:
            process.send_signal(signal.SIGINT)
        output, errors = process.communicate(timeout=10)
        self.assertEqual(EXIT_UNKNOWN, process.returncode)
        self.assertEqual("unknown: interrupted\n", output)
        self.assertEqual("", errors)
