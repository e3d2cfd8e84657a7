"""Requests and answers, independent of their wire format."""

from dataclasses import dataclass
from dataclasses import replace

from xxhash import xxh64_hexdigest

from flamingosail.allowance import Allowance
from flamingosail.allowance import NO_ALLOWANCE
from flamingosail.errors import Refusal
from flamingosail.errors import RefusalCode
from flamingosail.priority import PRIORITY_RANGE
from flamingosail.verdict import Verdict

__all__ = ["Answer", "Headers", "Request", "refuse"]

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class Request:
    """A request as sent by a caller or a backend server.

    ``kind`` is a kind of the manifest and ``target`` the path with its query.
    ``key`` is the idempotency key. ``timeout_ms`` is how long the sender still
    waits; None if it sent no timeout.
    """

    kind: str
    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    key: str | None = None
    timeout_ms: int | None = None

    def digest(self) -> str:
        """Return a hash of kind, method, target and body.

        Two requests with the same hash count as repeats of one request.
        """
        head = f"{self.kind}\0{self.method}\0{self.target}\0".encode()
        return xxh64_hexdigest(head + self.body)


@dataclass(frozen=True, slots=True)
class Answer:
    """The result of a request: an answer of a backend server or a refusal.

    ``allowance`` is the unspent part of the allowance that the call was lent.
    ``pressure`` is the lowest admission threshold met by the call and the
    calls below it, from 1 to 512 (512: no overload). ``key`` is an unused
    idempotency key offered to the caller, if any.
    """

    verdict: Verdict
    status: int
    headers: Headers = ()
    body: bytes = b""
    refusal: Refusal | None = None
    allowance: Allowance = NO_ALLOWANCE
    pressure: int = PRIORITY_RANGE
    key: str | None = None

    @property
    def succeeded(self) -> bool:
        """Whether a backend server answered with a status below 500."""
        return self.refusal is None and self.status < 500

    def with_allowance(self, allowance: Allowance) -> "Answer":
        """Return a copy of the answer with another unspent allowance."""
        return replace(self, allowance=allowance)


def refuse(
    code: RefusalCode,
    verdict: Verdict,
    detail: str,
    *,
    allowance: Allowance = NO_ALLOWANCE,
    pressure: int = PRIORITY_RANGE,
    key: str | None = None,
) -> Answer:
    """Return an answer with a refusal and the HTTP status of its code."""
    refusal = Refusal(code=code, verdict=verdict, detail=detail)
    return Answer(
        verdict=verdict,
        status=refusal.status,
        refusal=refusal,
        allowance=allowance,
        pressure=pressure,
        key=key,
    )
