"""Requests and answers as the decision core sees them."""

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
    """A request as a caller or a backend server sent it.

    ``timeout_ms`` is the time the sender still waits, None if not stated.
    """

    kind: str
    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    key: str | None = None
    timeout_ms: int | None = None

    def digest(self) -> str:
        """Return a digest of what makes two requests identical."""
        head = f"{self.kind}\0{self.method}\0{self.target}\0".encode()
        return xxh64_hexdigest(head + self.body)


@dataclass(frozen=True, slots=True)
class Answer:
    """The end of a request: a backend server's answer or a refusal.

    ``allowance`` is the unspent part of what the call was lent.
    ``pressure`` is the lowest admission threshold met in the chain, from 1
    to 512 (512: no overload). ``key`` is a fresh idempotency key offered to
    the caller, if any.
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
        """Whether a backend server answered without a server error."""
        return self.refusal is None and self.status < 500

    def with_allowance(self, allowance: Allowance) -> "Answer":
        """Return the same answer with another unspent allowance."""
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
    """Return the answer that carries a refusal."""
    refusal = Refusal(code=code, verdict=verdict, detail=detail)
    return Answer(
        verdict=verdict,
        status=refusal.status,
        refusal=refusal,
        allowance=allowance,
        pressure=pressure,
        key=key,
    )
