"""Errors of the decision core and the refusals that callers see."""

from dataclasses import dataclass
from enum import StrEnum

from flamingosail.verdict import Verdict

__all__ = [
    "CodecError",
    "FlamingosailError",
    "LogUnavailable",
    "ManifestError",
    "Refusal",
    "RefusalCode",
    "SendFailed",
    "SettingsError",
]


class FlamingosailError(Exception):
    """Base class of all errors raised by this package."""


class CodecError(FlamingosailError):
    """A message between nodes could not be encoded or decoded."""


class SendFailed(FlamingosailError):
    """The transport did not accept a message, which was therefore not sent."""


class LogUnavailable(FlamingosailError):
    """The log service did not answer; an append may have taken effect."""


class SettingsError(FlamingosailError):
    """An error in the settings file."""


class ManifestError(FlamingosailError):
    """An error in a manifest; ``place`` is the dotted path of the field."""

    def __init__(self, place: str, reason: str):
        super().__init__(f"{place}: {reason}")
        self.place = place
        self.reason = reason


class RefusalCode(StrEnum):
    """Reasons for which a node ends a request itself; values are public."""

    ATTEMPTS_EXHAUSTED = "attempts-exhausted"
    BAD_ANSWER = "bad-answer"
    BODY_TOO_LARGE = "body-too-large"
    CANCELLED = "cancelled"
    CONNECTION_LOST = "connection-lost"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    HEADER_TOO_LARGE = "header-too-large"
    KEY_EXPIRED = "key-expired"
    KEY_INVALID = "key-invalid"
    KEY_OWNER_UNREACHABLE = "key-owner-unreachable"
    KEY_REQUIRED = "key-required"
    KEY_REUSED = "key-reused"
    MALFORMED = "malformed"
    NOT_ALLOWED = "not-allowed"
    NO_MANIFEST = "no-manifest"
    NO_SERVER = "no-server"
    OVERLOADED = "overloaded"
    SHUTTING_DOWN = "shutting-down"
    UNKNOWN_KIND = "unknown-kind"
    WRONG_INCARNATION = "wrong-incarnation"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a node ended a request without an answer of a backend server."""

    code: RefusalCode
    verdict: Verdict
    detail: str

    @property
    def status(self) -> int:
        """HTTP status of the refusal."""
        return REFUSAL_STATUS[self.code]


REFUSAL_STATUS = {
    RefusalCode.ATTEMPTS_EXHAUSTED: 503,
    RefusalCode.BAD_ANSWER: 502,
    RefusalCode.BODY_TOO_LARGE: 413,
    RefusalCode.CANCELLED: 499,
    RefusalCode.CONNECTION_LOST: 502,
    RefusalCode.DEADLINE_EXCEEDED: 504,
    RefusalCode.HEADER_TOO_LARGE: 431,
    RefusalCode.KEY_EXPIRED: 409,
    RefusalCode.KEY_INVALID: 400,
    RefusalCode.KEY_OWNER_UNREACHABLE: 503,
    RefusalCode.KEY_REQUIRED: 428,
    RefusalCode.KEY_REUSED: 422,
    RefusalCode.MALFORMED: 400,
    RefusalCode.NOT_ALLOWED: 409,
    RefusalCode.NO_MANIFEST: 503,
    RefusalCode.NO_SERVER: 503,
    RefusalCode.OVERLOADED: 503,
    RefusalCode.SHUTTING_DOWN: 503,
    RefusalCode.UNKNOWN_KIND: 400,
    RefusalCode.WRONG_INCARNATION: 503,
}
