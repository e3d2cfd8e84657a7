"""Idempotency keys: at most one run for each.

A key names the node incarnation that issued it. Only that incarnation may
start the key, so no agreement between nodes is needed, and a key whose owner
is gone is never started again.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import Enum
from hashlib import blake2b
from heapq import heappop
from heapq import heappush
from hmac import compare_digest
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from flamingosail.allowance import Allowance
from flamingosail.errors import FlamingosailError
from flamingosail.errors import RefusalCode
from flamingosail.identity import Incarnation
from flamingosail.kernel import Service
from flamingosail.request import Answer
from flamingosail.request import refuse
from flamingosail.verdict import Verdict

__all__ = [
    "InvalidKey",
    "KEY_LIFETIME_SECONDS",
    "Key",
    "KeyEntry",
    "KeyState",
    "KeyTable",
]

KEY_LIFETIME_SECONDS = 600.0
MAX_KEYS = 100_000
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAC_BYTES = 16
SECRET_BYTES = 32
NONCE_BITS = 64
MAX_KEY_LENGTH = 256


class InvalidKey(FlamingosailError):
    """A text is not a key that a node issued."""


@dataclass(frozen=True, slots=True)
class Key:
    """A parsed key: ``incarnation.issued.nonce.mac``.

    ``issued`` is in milliseconds since the start of the incarnation, so its
    age never depends on the clock of another machine.
    """

    incarnation: str
    issued_ms: int
    nonce: str
    mac: str

    def __str__(self) -> str:
        return f"{self.signed}.{self.mac}"

    @property
    def signed(self) -> str:
        """The part that the mac covers."""
        return f"{self.incarnation}.{self.issued_ms}.{self.nonce}"

    @classmethod
    def parse(cls, text: str) -> "Key":
        """Return the key written in ``text``; its mac is not checked.

        :raises InvalidKey: if the text does not have the form of a key.
        """
        parts = text.rsplit(".", 3)
        if len(text) > MAX_KEY_LENGTH or len(parts) != 4:
            raise InvalidKey("the key was not issued by a node")
        incarnation, issued, nonce, mac = parts
        try:
            Incarnation.parse(incarnation)
            issued_ms = int(issued)
        except ValueError:
            raise InvalidKey("the key was not issued by a node") from None
        return cls(
            incarnation=incarnation, issued_ms=issued_ms, nonce=nonce, mac=mac
        )


class KeyState(Enum):
    """What has become of a key at its owner."""

    FRESH = "fresh"
    RUNNING = "running"
    ANSWERED = "answered"
    EXPIRED = "expired"
    REUSED = "reused"
    FULL = "full"


@dataclass(slots=True)
class KeyEntry:
    """What the owner knows of a key that has been used.

    ``root`` is the id of the root request; a key and its successors share
    it. ``runs`` counts the runs that made attempts, ``allowance`` is what
    the next run may spend; None before the first.
    """

    root: str
    digest: str
    state: KeyState = KeyState.FRESH
    runs: int = 0
    allowance: Allowance | None = None
    answer: Answer | None = None
    waiters: list[Callable[[Answer], None]] = field(default_factory=list)
    call: Deferred[Answer] | None = None
    idempotent: bool = False

    def begin(self):
        """Mark a fresh key as running."""
        self.state = KeyState.RUNNING
        self.runs += 1

    def finish(self, answer: Answer):
        """Keep the end of a run and hand it to all waiters.

        Also a proven not-run ends the key: an earlier submission of it may
        still be on its way, and must not run after a caller was told that
        the request did not.
        """
        self.call = None
        self.state = KeyState.ANSWERED
        self.answer = answer
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter(answer)


class KeyTable(Service):
    """Issues keys and remembers those that were used.

    Memory is bounded: beyond ``max_keys`` a first use is refused, and
    beyond ``max_answer_bytes`` only the verdict of an answer is kept.
    """

    name = "keys"

    def __init__(
        self,
        *,
        clock: IReactorTime,
        random: Random,
        incarnation: str,
        on_forget: Callable[[str], None] = lambda root: None,
        max_keys: int = MAX_KEYS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ):
        self.clock = clock
        self.random = random
        self.incarnation = incarnation
        self.on_forget = on_forget
        self.max_keys = max_keys
        self.max_answer_bytes = max_answer_bytes
        self.secret = random.randbytes(SECRET_BYTES)
        self.started = clock.seconds()
        self.entries: dict[str, KeyEntry] = {}
        self.expiry: list[tuple[float, str]] = []
        self.answer_bytes = 0
        self.issued = 0

    def issue(self) -> str:
        """Return a fresh key that this incarnation owns."""
        self.issued += 1
        age_ms = int((self.clock.seconds() - self.started) * 1000)
        key = Key(
            incarnation=self.incarnation,
            issued_ms=age_ms,
            nonce=f"{self.random.getrandbits(NONCE_BITS):x}",
            mac="",
        )
        return str(replace(key, mac=self.mac(key)))

    def mac(self, key: Key) -> str:
        """Return the mac of a key under the secret of this incarnation."""
        return blake2b(
            key.signed.encode(), key=self.secret, digest_size=MAC_BYTES
        ).hexdigest()

    def check(self, key: Key):
        """Check a key that names this incarnation.

        :raises InvalidKey: if this incarnation did not issue it.
        """
        if not compare_digest(key.mac.encode(), self.mac(key).encode()):
            raise InvalidKey("the key was not issued by the node it names")

    def use(self, key: Key, digest: str) -> tuple[KeyState, KeyEntry | None]:
        """Return the state of a checked key for a request.

        The entry is None in the states EXPIRED, REUSED and FULL.
        """
        self.forget_expired()
        root = key.signed
        entry = self.entries.get(root)
        if entry is not None:
            if entry.digest != digest:
                return KeyState.REUSED, None
            return entry.state, entry
        expires = self.started + key.issued_ms / 1000 + KEY_LIFETIME_SECONDS
        if expires <= self.clock.seconds():
            return KeyState.EXPIRED, None
        if len(self.entries) >= self.max_keys:
            return KeyState.FULL, None
        entry = KeyEntry(root=root, digest=digest)
        self.add(root, expires, entry)
        return KeyState.FRESH, entry

    def add(self, signed: str, expires: float, entry: KeyEntry):
        """Keep an entry until it expires."""
        self.entries[signed] = entry
        heappush(self.expiry, (expires, signed))

    def finish(self, answer: Answer, entry: KeyEntry):
        """End a run; its answer is stored while memory lasts."""
        if answer.verdict is Verdict.NOT_RUN:
            if answer.allowance == entry.allowance:
                entry.runs -= 1  # No attempt was made.
            entry.allowance = answer.allowance
            answer = replace(answer, key=self.successor(entry))
        entry.finish(answer)
        entry.answer = self.kept(answer)

    def refuse(self, answer: Answer, entry: KeyEntry) -> Answer:
        """End a fresh key without a run and return its answer."""
        if answer.key is None:
            answer = replace(answer, key=self.successor(entry))
        entry.finish(answer)
        return answer

    def successor(self, entry: KeyEntry) -> str | None:
        """Return a key for another run of a request that did not run.

        It keeps what is left of the allowance, and the retries of the root.
        None if the table is full.
        """
        if len(self.entries) >= self.max_keys:
            return None
        text = self.issue()
        self.add(
            Key.parse(text).signed,
            self.clock.seconds() + KEY_LIFETIME_SECONDS,
            KeyEntry(
                root=entry.root,
                digest=entry.digest,
                runs=entry.runs,
                allowance=entry.allowance,
            ),
        )
        return text

    def kept(self, answer: Answer) -> Answer:
        """Return the answer to store: only its verdict if memory is full."""
        size = _stored_bytes(answer)
        if self.answer_bytes + size > self.max_answer_bytes:
            return refuse(
                RefusalCode.BAD_ANSWER,
                answer.verdict,
                "the request has ended, but its answer is not kept",
            )
        self.answer_bytes += size
        return answer

    def forget_expired(self):
        """Drop keys past their lifetime, except those that still run."""
        now = self.clock.seconds()
        while self.expiry and self.expiry[0][0] <= now:
            _, signed = heappop(self.expiry)
            entry = self.entries[signed]
            if entry.state is KeyState.RUNNING:
                heappush(self.expiry, (now + KEY_LIFETIME_SECONDS, signed))
                continue
            del self.entries[signed]
            if entry.answer is not None:
                self.answer_bytes -= _stored_bytes(entry.answer)
            if entry.answer is None or entry.answer.key is None:
                self.on_forget(entry.root)

    def dump(self) -> dict:
        """Return the use of the table."""
        return {
            "issued": self.issued,
            "keys": len(self.entries),
            "answer_bytes": self.answer_bytes,
        }


def _stored_bytes(answer: Answer) -> int:
    """Return the bytes of an answer that count towards the bound."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers
