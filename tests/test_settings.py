"""Tests of the settings file."""

from pathlib import Path

from testtools import TestCase

from flamingosail.errors import SettingsError
from flamingosail.settings import Address
from flamingosail.settings import parse_settings
from flamingosail.settings import read_settings

EXAMPLE = Path(__file__).parent.parent / "docs" / "node.ini"

MINIMAL = """\
[node]
name = n1
failure_domain = gs-a
region = gulf-south
[listen]
peers = 10.0.0.1:7400
callers = 10.0.0.1:7401
backend = 127.0.0.1:7402
control = [::1]:7403
[log]
url = http://10.0.0.9:80/
retention_seconds = 3600
"""


def settings_errors(text: str) -> list[str]:
    """Return the messages of all errors in a settings text."""
    try:
        parse_settings(text)
    except ExceptionGroup as group:
        matching, rest = group.split(SettingsError)
        assert rest is None
        return [str(error) for error in matching.exceptions]
    return []


class SettingsTest(TestCase):
    """Guards against a node that starts with invalid settings."""

    def test_the_documented_example_is_valid(self):
        settings = read_settings(EXAMPLE)
        self.assertEqual("kolkata-n-histbook-1", settings.node.name)
        self.assertEqual(2, len(settings.peers.seeds))
        self.assertIsNone(settings.metrics.statsd_host)

    def test_the_example_states_the_defaults(self):
        example = read_settings(EXAMPLE)
        minimal = parse_settings(MINIMAL)
        for section in ("metrics", "logging", "admission", "routing"):
            self.assertEqual(
                getattr(minimal, section), getattr(example, section)
            )
        self.assertEqual(30.0, minimal.node.stop_timeout_seconds)
        self.assertEqual(20.0, minimal.admission.queue_delay_target_ms)
        self.assertEqual(2.8, minimal.routing.failure_domain_distance_ms)
        self.assertEqual(10.0, minimal.routing.region_distance_ms)

    def test_reads_addresses(self):
        settings = parse_settings(MINIMAL)
        self.assertEqual(Address("10.0.0.1", 7400), settings.listen.peers)
        self.assertEqual(Address("::1", 7403), settings.listen.control)
        self.assertEqual("[::1]:7403", str(settings.listen.control))
        self.assertEqual("http://10.0.0.9:80", settings.log.url)

    def test_reports_all_errors_at_once(self):
        text = MINIMAL.replace("name = n1", "name = n.1")
        text = text.replace("127.0.0.1:7402", "10.0.0.1:7402")
        text = text.replace("region = gulf-south\n", "")
        text += "retention = 3\n[colour]\nsky = blue\n"
        self.assertEqual(
            [
                "[colour]: unknown section",
                "[node] name = 'n.1': is not 1 to 63 letters, digits, '-' "
                "or '_', starting with a letter or digit",
                "[node] region: required key is missing",
                "[listen] backend = '10.0.0.1:7402': "
                "is not a loopback address",
                "[log] retention = '3': unknown key",
            ],
            settings_errors(text),
        )

    def test_refuses_invalid_values_of_the_right_form(self):
        cases = {
            "10.0.0.1:7400": "0.0.0.0:7400",
            "10.0.0.1:7401": "example.com:7401",
            "127.0.0.1:7402": "127.0.0.1:65536",
            "[::1]:7403": "::1:7403",
            "http://10.0.0.9:80/": "ftp://10.0.0.9/",
            "3600": "nan",
        }
        for valid, invalid in cases.items():
            errors = settings_errors(MINIMAL.replace(valid, invalid))
            self.assertEqual(1, len(errors), (invalid, errors))
            self.assertIn(repr(invalid), errors[0])

    def test_refuses_a_seed_that_cannot_be_reached(self):
        errors = settings_errors(
            MINIMAL + "[peers]\nseeds = 10.0.0.2:1, 10.0.0.3:0\n"
        )
        self.assertEqual(1, len(errors))
        self.assertIn("seed '10.0.0.3:0': port 0", errors[0])

    def test_refuses_a_duplicate_key_and_a_default_section(self):
        self.assertIn(
            "already exists",
            settings_errors(
                MINIMAL.replace("[listen]", "name = n2\n[listen]")
            )[0],
        )
        self.assertEqual(
            ["[DEFAULT]: unknown section"],
            settings_errors("[DEFAULT]\nname = n2\n" + MINIMAL),
        )

    def test_reports_a_missing_file(self):
        error = self.assertRaises(
            ExceptionGroup, read_settings, "/nonexistent/node.ini"
        )
        self.assertIsInstance(error.exceptions[0], SettingsError)
