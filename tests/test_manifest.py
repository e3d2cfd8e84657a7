"""Tests of parsing and validating manifests."""

import json

from hypothesis import given
from hypothesis import strategies
from testtools import TestCase

from flamingosail.errors import ManifestError
from flamingosail.manifest import MAX_MANIFEST_BYTES
from flamingosail.manifest import parse_manifest
from flamingosail.priority import Importance

KIND = {
    "service": "gatekeeper",
    "importance": "critical",
    "idempotent": True,
    "timeout_ms": 2000,
}


def find_errors(document) -> dict[str, str]:
    """Return the reported reasons by the place of the error."""
    body = document
    if not isinstance(document, bytes):
        body = json.dumps(document).encode()
    try:
        parse_manifest(body, version=0)
    except ExceptionGroup as group:
        return {error.place: error.reason for error in group.exceptions}
    return {}


def with_kind(**members) -> dict:
    """Return a manifest with one kind: KIND updated by ``members``."""
    kind = {**KIND, **members}
    return {"services": {"gatekeeper": {}}, "kinds": {"gate-check": kind}}


class ValidManifestTest(TestCase):
    """Guards against wrong defaults and bounds of the fields."""

    def test_fills_in_the_defaults(self):
        body = json.dumps(with_kind()).encode()
        manifest = parse_manifest(body, version=7)
        kind = manifest.kinds["gate-check"]
        self.assertEqual(7, manifest.version)
        self.assertEqual(body, manifest.body)
        self.assertIs(Importance.CRITICAL, kind.importance)
        self.assertEqual(256, kind.max_calls)
        self.assertEqual(3, kind.max_retries)
        self.assertFalse(kind.key_required)
        self.assertFalse(kind.trust_refusal)
        service = manifest.services["gatekeeper"]
        self.assertEqual(0.1, service.retry_budget_ratio)
        self.assertEqual(10, service.retry_budget_cap)

    def test_requires_a_key_for_kinds_that_are_not_idempotent(self):
        body = json.dumps(with_kind(idempotent=False)).encode()
        manifest = parse_manifest(body, version=0)
        self.assertTrue(manifest.kinds["gate-check"].key_required)

    def test_accepts_values_at_the_bounds_only(self):
        for name, low, high in (
            ("timeout_ms", 1, 600_000),
            ("max_calls", 1, 65_536),
            ("max_retries", 0, 64),
        ):
            for value in (low, high):
                self.assertEqual({}, find_errors(with_kind(**{name: value})))
            for value in (low - 1, high + 1):
                self.assertEqual(
                    {
                        f"kinds.gate-check.{name}": (
                            f"must be from {low} to {high}, not {value}"
                        )
                    },
                    find_errors(with_kind(**{name: value})),
                )


class InvalidManifestTest(TestCase):
    """Guards against errors that are not reported or hide each other."""

    def test_reports_all_errors_at_once(self):
        document = {
            "services": {
                "a": {"retry_budget_ratio": 2, "retry_budget_cap": "x"},
                "b": [],
            },
            "kinds": {
                "k": {
                    "service": "nowhere",
                    "importance": "urgent",
                    "idempotent": False,
                    "key_required": False,
                    "max_calls": True,
                    "max_retries": 1.5,
                    "colour": "red",
                },
            },
            "extra": 1,
        }
        self.assertEqual(
            {
                "extra": "unknown key",
                "services.a.retry_budget_ratio": "must be from 0 to 1, not 2",
                "services.a.retry_budget_cap": "must be of type int",
                "services.b": "must be an object",
                "kinds.k.service": "service 'nowhere' is not in the manifest",
                "kinds.k.importance": (
                    "must be one of critical, high, normal, low, not 'urgent'"
                ),
                "kinds.k.timeout_ms": "is missing",
                "kinds.k.key_required": (
                    "must not be false for a kind that is not idempotent"
                ),
                "kinds.k.max_calls": "must be of type int",
                "kinds.k.max_retries": "must be of type int",
                "kinds.k.colour": "unknown key",
            },
            find_errors(document),
        )

    def test_reports_missing_and_mistyped_sections(self):
        self.assertEqual(
            {
                "services": "must be an object",
                "kinds": "must be an object",
            },
            find_errors({"services": []}),
        )

    def test_reports_no_kind_errors_for_an_invalid_services_section(self):
        document = {"services": None, "kinds": with_kind()["kinds"]}
        self.assertEqual(
            {"services": "must be an object"}, find_errors(document)
        )

    def test_reports_no_kind_errors_for_an_invalid_service_entry(self):
        document = {**with_kind(), "services": {"gatekeeper": 1}}
        self.assertEqual(
            {"services.gatekeeper": "must be an object"}, find_errors(document)
        )

    def test_reports_invalid_names(self):
        reason = "name must have 1 to 64 printable characters"
        document = {
            "services": {"": {}, "x" * 65: {}, "a\n": {}, "y" * 64: {}},
            "kinds": {},
        }
        self.assertEqual(
            {
                "services.": reason,
                "services." + "x" * 65: reason,
                "services.a\n": reason,
            },
            find_errors(document),
        )

    def test_reports_repeated_keys(self):
        body = b'{"services":{"a":{},"a":{}},"kinds":{}}'
        self.assertEqual(
            {"manifest": "key 'a' is repeated in one object"},
            find_errors(body),
        )

    def test_reports_an_oversized_body(self):
        body = b" " * (MAX_MANIFEST_BYTES + 1)
        self.assertEqual(
            {"manifest": "1048577 bytes exceed 1048576"}, find_errors(body)
        )

    def test_reports_deep_nesting_instead_of_overflowing_the_stack(self):
        # 50,000 nested levels exceed the recursion limit of the decoder.
        for body in (b"[" * 100_000, b'{"services":' * 50_000):
            self.assertIn("not valid JSON", find_errors(body)["manifest"])

    def test_reports_documents_that_are_not_objects(self):
        for body in (b"[]", b"1", b"null", b'"x"'):
            self.assertEqual(
                {"manifest": "must be an object"}, find_errors(body)
            )


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                ["services", "kinds", "service", "timeout_ms", "a"]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=20,
)


class ArbitraryInputTest(TestCase):
    """Guards against input that raises anything but ManifestError."""

    @given(strategies.binary(max_size=64))
    def test_bytes_give_only_manifest_errors(self, body):
        self.check(body)

    @given(JSON_VALUES)
    def test_documents_give_only_manifest_errors(self, document):
        self.check(json.dumps(document).encode())

    def check(self, body):
        try:
            parse_manifest(body, version=0)
        except ExceptionGroup as group:
            for error in group.exceptions:
                self.assertIsInstance(error, ManifestError)
