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

    ``allowance`` is what later runs may spend; None before the first run.
    """

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

        A proven not-run makes the key fresh again, with what is left of its
        allowance. A run without any attempt does not count.
        """
        self.call = None
        if answer.verdict is Verdict.NOT_RUN:
            self.state = KeyState.FRESH
            if answer.allowance == self.allowance:
                self.runs -= 1
            self.allowance = answer.allowance
        else:
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

    def peek(self, text: str) -> KeyState:
        """Return the state of a key without using it.

        The state is FRESH if the key certainly has not led to a run, and
        EXPIRED if this node cannot know.
        """
        try:
            key = Key.parse(text)
        except InvalidKey:
            return KeyState.FRESH
        if key.incarnation != self.incarnation:
            return KeyState.EXPIRED
        entry = self.entries.get(key.signed)
        if entry is not None:
            return entry.state
        expires = self.started + key.issued_ms / 1000 + KEY_LIFETIME_SECONDS
        expired = expires <= self.clock.seconds()
        return KeyState.EXPIRED if expired else KeyState.FRESH

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
        entry = self.entries[root] = KeyEntry(digest=digest)
        heappush(self.expiry, (expires, root))
        return KeyState.FRESH, entry

    def finish(self, answer: Answer, entry: KeyEntry):
        """End a run; its answer is stored while memory lasts."""
        entry.finish(answer)
        if entry.answer is not None:
            entry.answer = self.kept(entry.answer)

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
            _, root = heappop(self.expiry)
            entry = self.entries[root]
            if entry.state is KeyState.RUNNING:
                heappush(self.expiry, (now + KEY_LIFETIME_SECONDS, root))
                continue
            del self.entries[root]
            if entry.answer is not None:
                self.answer_bytes -= _stored_bytes(entry.answer)
            self.on_forget(root)

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
