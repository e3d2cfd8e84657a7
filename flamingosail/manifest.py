"""Parses and validates the manifest: services, request kinds, limits.

A manifest is a JSON object with two members::

    {"services": {"gatekeeper": {}},
     "kinds": {"gate-check": {"service": "gatekeeper",
                              "importance": "critical",
                              "idempotent": true,
                              "timeout_ms": 2000}}}
"""

import json
from dataclasses import dataclass
from dataclasses import field

from msgspec import DecodeError
from msgspec.json import decode

from flamingosail.errors import ManifestError
from flamingosail.priority import Importance

__all__ = [
    "KindSpec",
    "MAX_MANIFEST_BYTES",
    "Manifest",
    "ServiceSpec",
    "parse_manifest",
]

MAX_MANIFEST_BYTES = 1_048_576
DEFAULT_MAX_CALLS = 256
DEFAULT_MAX_RETRIES = 3
DEFAULT_RETRY_RATIO = 0.1
DEFAULT_RETRY_CAP = 10
MAX_TIMEOUT_MS = 600_000
MAX_NAME_LENGTH = 64


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service and its retry budget.

    Each success adds ``retry_budget_ratio`` tokens to the budget, up to
    ``retry_budget_cap``; a retry spends one token.
    """

    name: str
    retry_budget_ratio: float = DEFAULT_RETRY_RATIO
    retry_budget_cap: int = DEFAULT_RETRY_CAP


@dataclass(frozen=True, slots=True)
class KindSpec:
    """A kind of request.

    ``max_calls`` limits the attempts made for one root request of this
    kind, child calls included; ``max_retries`` the retries among them.
    ``trust_refusal`` states that a refusal by the backend server with the
    verdict not-run proves that it has not started the request.
    """

    name: str
    service: str
    importance: Importance
    idempotent: bool
    timeout_ms: int
    max_calls: int = DEFAULT_MAX_CALLS
    max_retries: int = DEFAULT_MAX_RETRIES
    key_required: bool = False
    trust_refusal: bool = False


@dataclass(frozen=True, slots=True)
class Manifest:
    """A valid manifest. ``version`` is its offset in the log stream."""

    version: int
    body: bytes
    services: dict[str, ServiceSpec] = field(repr=False)
    kinds: dict[str, KindSpec] = field(repr=False)


@dataclass(frozen=True, slots=True)
class FieldRule:
    """Type and range of one member of an object in the manifest."""

    type: type
    required: bool = False
    low: float | None = None
    high: float | None = None
    choices: tuple[str, ...] = ()


SERVICE_FIELDS = {
    "retry_budget_ratio": FieldRule(type=float, low=0, high=1),
    "retry_budget_cap": FieldRule(type=int, low=0, high=10_000),
}
KIND_FIELDS = {
    "service": FieldRule(type=str, required=True),
    "importance": FieldRule(
        type=str,
        required=True,
        choices=tuple(level.name.lower() for level in Importance),
    ),
    "idempotent": FieldRule(type=bool, required=True),
    "timeout_ms": FieldRule(
        type=int, required=True, low=1, high=MAX_TIMEOUT_MS
    ),
    "max_calls": FieldRule(type=int, low=1, high=65_536),
    "max_retries": FieldRule(type=int, low=0, high=64),
    "key_required": FieldRule(type=bool),
    "trust_refusal": FieldRule(type=bool),
}


def parse_manifest(body: bytes, *, version: int) -> Manifest:
    """Return the manifest in ``body``.

    :raises ExceptionGroup: of ManifestError, with every error found.
    """
    errors: list[ManifestError] = []
    document = _decode(body, errors)
    services = _check_section(document, "services", SERVICE_FIELDS, errors)
    kinds = _check_section(document, "kinds", KIND_FIELDS, errors)
    if isinstance(document.get("services"), dict):
        _check_references(services, kinds, errors)
    _check_keys(kinds, errors)
    if errors:
        raise ExceptionGroup("invalid manifest", errors)
    return Manifest(
        version=version,
        body=body,
        services={
            name: ServiceSpec(name=name, **members)
            for name, members in services.items()
        },
        kinds={
            name: _build_kind_spec(name, members)
            for name, members in kinds.items()
        },
    )


def _decode(body: bytes, errors: list[ManifestError]) -> dict:
    if len(body) > MAX_MANIFEST_BYTES:
        errors.append(
            ManifestError(
                "manifest", f"{len(body)} bytes exceed {MAX_MANIFEST_BYTES}"
            )
        )
        return {"services": {}, "kinds": {}}
    try:
        document = decode(body)
        duplicates = _find_duplicate_keys(body)
    except (DecodeError, UnicodeDecodeError, RecursionError) as error:
        errors.append(ManifestError("manifest", f"not valid JSON: {error}"))
        return {"services": {}, "kinds": {}}
    errors.extend(
        ManifestError("manifest", f"key {key!r} is repeated in one object")
        for key in duplicates
    )
    if not isinstance(document, dict):
        errors.append(ManifestError("manifest", "must be an object"))
        return {"services": {}, "kinds": {}}
    errors.extend(
        ManifestError(key, "unknown key")
        for key in document
        if key not in ("services", "kinds")
    )
    return document


def _find_duplicate_keys(body: bytes) -> list[str]:
    """Return the keys that occur more than once in one object.

    JSON decoders keep only the last, which would silently drop a kind.
    """
    duplicates = []

    def check(pairs: list[tuple[str, object]]) -> dict:
        members = {}
        for key, value in pairs:
            if key in members:
                duplicates.append(key)
            members[key] = value
        return members

    json.loads(body, object_pairs_hook=check)
    return duplicates


def _check_section(
    document: dict,
    section: str,
    fields: dict[str, FieldRule],
    errors: list[ManifestError],
) -> dict[str, dict]:
    entries = document.get(section)
    if not isinstance(entries, dict):
        errors.append(ManifestError(section, "must be an object"))
        return {}
    checked = {}
    for name, members in entries.items():
        place = f"{section}.{name}"
        if not name or len(name) > MAX_NAME_LENGTH or not name.isprintable():
            errors.append(
                ManifestError(
                    place,
                    f"name must have 1 to {MAX_NAME_LENGTH} printable "
                    "characters",
                )
            )
        # A service entry of the wrong type still counts as defined, so that
        # the error is not repeated for each kind that refers to the service.
        checked[name] = members if isinstance(members, dict) else {}
        if isinstance(members, dict):
            _check_members(place, members, fields, errors)
        else:
            errors.append(ManifestError(place, "must be an object"))
    return checked


def _check_members(
    place: str,
    members: dict,
    fields: dict[str, FieldRule],
    errors: list[ManifestError],
):
    for key in members:
        if key not in fields:
            errors.append(ManifestError(f"{place}.{key}", "unknown key"))
    for key, rule in fields.items():
        if key in members:
            reason = _find_error(members[key], rule)
            if reason:
                errors.append(ManifestError(f"{place}.{key}", reason))
        elif rule.required:
            errors.append(ManifestError(f"{place}.{key}", "is missing"))


def _find_error(value: object, rule: FieldRule) -> str | None:
    accepted = (int, float) if rule.type is float else rule.type
    is_bool = isinstance(value, bool)
    if not isinstance(value, accepted) or is_bool != (rule.type is bool):
        return f"must be of type {rule.type.__name__}"
    if rule.low is not None and not rule.low <= value <= rule.high:
        return f"must be from {rule.low} to {rule.high}, not {value}"
    if rule.choices and value not in rule.choices:
        return f"must be one of {', '.join(rule.choices)}, not {value!r}"
    return None


def _check_references(
    services: dict[str, dict],
    kinds: dict[str, dict],
    errors: list[ManifestError],
):
    for name, members in kinds.items():
        service = members.get("service")
        if isinstance(service, str) and service not in services:
            errors.append(
                ManifestError(
                    f"kinds.{name}.service",
                    f"service {service!r} is not in the manifest",
                )
            )


def _check_keys(kinds: dict[str, dict], errors: list[ManifestError]):
    for name, members in kinds.items():
        key_required = members.get("key_required", True)
        if members.get("idempotent") is False and key_required is False:
            errors.append(
                ManifestError(
                    f"kinds.{name}.key_required",
                    "must not be false for a kind that is not idempotent",
                )
            )


def _build_kind_spec(name: str, members: dict) -> KindSpec:
    values = dict(members)
    values["importance"] = Importance[values["importance"].upper()]
    values.setdefault("key_required", not values["idempotent"])
    return KindSpec(name=name, **values)
