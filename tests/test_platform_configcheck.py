"""Tests of the check of a configuration before it is sent."""

import json
from contextlib import redirect_stderr
from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory

from flamingosail_platform.configcheck import check_document
from flamingosail_platform.configcheck import differences
from flamingosail_platform.configcheck import main
from flamingosail_platform.configcheck import Severity
from flamingosail_platform.configuration import parse_configuration
from testtools import TestCase


def route(**changes) -> dict:
    return {
        "name": "r-read",
        "pathPrefix": "/read/",
        "routeType": "safe",
        "timeoutS": 2,
        "targetLatencyS": 1,
        "priority": 1,
        "maxAttempts": 2,
        "service": "histbook",
        **changes,
    }


def document(*routes: dict, **changes) -> bytes:
    return json.dumps(
        {
            "version": 7,
            "services": [{"name": "histbook", "healthPath": "/health"}],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 1_000_000,
                "headerTimeoutS": 3,
                "idleTimeoutS": 15,
            },
            "virtualHosts": [
                {"host": "h.example", "paths": list(routes) or [route()]}
            ],
            **changes,
        }
    ).encode()


def texts(*routes: dict, **changes) -> str:
    findings = check_document(document(*routes, **changes))
    return "\n".join(map(str, findings))


class ConfigCheckTest(TestCase):
    """Guards against documents that nodes ignore, wholly or in part."""

    def test_a_sound_document_has_no_findings(self):
        self.assertEqual("", texts(tenants=[tenant()]))

    def test_an_invalid_document_is_an_error(self):
        (finding,) = check_document(document(route(service="absent")))
        self.assertIs(Severity.ERROR, finding.severity)
        self.assertIn("absent", finding.text)

    def test_bytes_that_are_no_json(self):
        (finding,) = check_document(b"\xff{")
        self.assertIs(Severity.ERROR, finding.severity)

    def test_an_older_version_is_an_error(self):
        in_force = parse_configuration(document(version=7))
        (finding,) = check_document(document(version=7), in_force)
        self.assertEqual("version", finding.place)

    def test_entries_that_never_match(self):
        self.assertIn(
            "paths[0] ('r-read'): never matches",
            texts(route(), route(name="r-other")),
        )
        self.assertIn("never matches", texts(route(pathPrefix="/read?x=/")))
        split = [
            {"service": "histbook", "weight": 1},
            {"service": "other", "weight": 0},
        ]
        found = texts(
            route(trafficSplit=split),
            services=[{"name": "histbook"}, {"name": "other"}],
        )
        self.assertIn("'other' with weight 0", found)
        self.assertIn("no route leads to it", found)
        self.assertIn("service is ignored", found)
        self.assertIn("it has no key", texts(tenants=[tenant(apiKeys=[])]))

    def test_limits_that_contradict_each_other(self):
        self.assertIn(
            "timeoutS 0.8 is less than targetLatencyS 1",
            texts(route(timeoutS=0.8)),
        )
        self.assertIn(
            "burst 3 is less than one second",
            texts(tenants=[tenant(burst=3)]),
        )
        self.assertIn("without ratePerS", texts(tenants=[tenant(ratePerS=0)]))
        found = texts(
            limits={
                "maxHeaderBytes": 0,
                "maxBodyBytes": 1,
                "headerTimeoutS": 9,
                "idleTimeoutS": 8,
            }
        )
        self.assertIn("limits.maxHeaderBytes", found)
        self.assertIn("limits.headerTimeoutS", found)

    def test_no_line_contains_a_key(self):
        both = [tenant(), tenant(name="other")]
        self.assertIn("hold the same key", texts(tenants=both))
        self.assertNotIn("secret", texts(tenants=both))
        lines = differences(
            parse_configuration(document(tenants=[tenant()])),
            parse_configuration(
                document(tenants=[tenant(apiKeys=["new-secret"], burst=50)])
            ),
        )
        self.assertNotIn("secret", str(lines))
        self.assertIn(
            "tenant acme: burst 20.0 -> 50.0, 1 keys added, 1 keys removed",
            lines,
        )

    def test_what_differs_from_the_version_in_force(self):
        lines = differences(
            parse_configuration(
                document(route(), route(name="r-b", pathPrefix="/b/"))
            ),
            parse_configuration(
                document(
                    route(timeoutS=3),
                    route(name="r-c", pathPrefix="/c/"),
                    version=9,
                )
            ),
        )
        self.assertEqual(
            [
                "version: 7 -> 9",
                "route h.example/b/: removed",
                "route h.example/c/: added",
                "route h.example/read/: timeout_seconds 2.0 -> 3.0",
            ],
            lines,
        )


class CommandTest(TestCase):
    """Guards the exit codes, on which a deployment pipeline relies."""

    def run_command(self, *arguments: str) -> tuple[int, str]:
        output = StringIO()
        with redirect_stdout(output), redirect_stderr(output):
            error = self.assertRaises(SystemExit, main, list(arguments))
        return error.code, output.getvalue()

    def test_exit_codes(self):
        folder = self.useTemporaryFolder()
        new, old = folder / "new.json", folder / "old.json"
        new.write_bytes(document(version=8))
        old.write_bytes(document())
        self.assertEqual((0, ""), self.run_command(str(new)))
        code, output = self.run_command(str(new), "--in-force", str(old))
        self.assertEqual((0, "version: 7 -> 8\n"), (code, output))
        new.write_bytes(document(route(timeoutS=0.5)))
        self.assertEqual(1, self.run_command(str(new))[0])
        code, output = self.run_command(str(folder / "missing.json"))
        self.assertEqual(2, code)
        self.assertIn("cannot be read", output)

    def useTemporaryFolder(self) -> Path:  # noqa: N802 - like useFixture
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return Path(folder.name)


def tenant(**changes) -> dict:
    return {
        "name": "acme",
        "apiKeys": ["secret"],
        "ratePerS": 10,
        "burst": 20,
        **changes,
    }
