"""Idempotency keys, each of which allows at most one run of a request.

A key names its owner, the node incarnation that issued it. Only the owner may
start a run for the key, so nodes need no consensus, and no run is started once
the owner is gone.
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
    """A text is malformed as a key, or its MAC is wrong."""


@dataclass(frozen=True, slots=True)
class Key:
    """A parsed key: ``incarnation.issued_ms.nonce.mac``.

    ``issued_ms`` is in milliseconds since the start of the incarnation, so the
    age of a key does not depend on the clock of another machine.
    """

    incarnation: str
    issued_ms: int
    nonce: str
    mac: str

    def __str__(self) -> str:
        return f"{self.signed}.{self.mac}"

    @property
    def signed(self) -> str:
        """The part that the MAC covers; it also identifies the key."""
        return f"{self.incarnation}.{self.issued_ms}.{self.nonce}"

    @classmethod
    def parse(cls, text: str) -> "Key":
        """Parse a key without checking its MAC.

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
    """State of a key at its owner, or why it cannot be used."""

    FRESH = "fresh"
    RUNNING = "running"
    ANSWERED = "answered"
    EXPIRED = "expired"
    REUSED = "reused"
    FULL = "full"


@dataclass(slots=True)
class KeyEntry:
    """State that the owner keeps for a used key.

    ``root`` is the id of the root request, which a key shares with its
    successors, the keys offered after a run that ended as not-run. ``digest``
    identifies the request. ``runs`` counts the runs that made attempts.
    ``allowance`` limits the calls of the next run; None before the first.
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

    def start_run(self):
        """Mark the key as running and count the run."""
        self.state = KeyState.RUNNING
        self.runs += 1

    def finish(self, answer: Answer):
        """Store the answer of a run and pass it to all waiters.

        A proven not-run also ends the key: a delayed earlier submission of it
        must not run after the caller was told that the request did not run.
        """
        self.call = None
        self.state = KeyState.ANSWERED
        self.answer = answer
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter(answer)


class KeyTable(Service):
    """Issues keys and stores the state of those that were used.

    Memory is bounded: beyond ``max_keys`` entries an unused key is refused,
    and beyond ``max_answer_bytes`` only the verdict of an answer is stored.
    ``on_root_expired`` is called with the root id of an expired key, unless
    a successor may still use it.
    """

    name = "keys"

    def __init__(
        self,
        *,
        clock: IReactorTime,
        random: Random,
        incarnation: str,
        on_root_expired: Callable[[str], None] = lambda root: None,
        max_keys: int = MAX_KEYS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ):
        self.clock = clock
        self.random = random
        self.incarnation = incarnation
        self.on_root_expired = on_root_expired
        self.max_keys = max_keys
        self.max_answer_bytes = max_answer_bytes
        self.secret = random.randbytes(SECRET_BYTES)
        self.started = clock.seconds()
        self.entries: dict[str, KeyEntry] = {}
        self.expiry_heap: list[tuple[float, str]] = []
        self.answer_bytes = 0
        self.issued = 0

    def issue(self) -> str:
        """Return a new key of this incarnation."""
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
        """Return the MAC of a key under the secret of this incarnation."""
        return blake2b(
            key.signed.encode(), key=self.secret, digest_size=MAC_BYTES
        ).hexdigest()

    def verify(self, key: Key):
        """Verify the MAC of a key that names this incarnation.

        :raises InvalidKey: if this incarnation did not issue it.
        """
        if not compare_digest(key.mac.encode(), self.mac(key).encode()):
            raise InvalidKey("the key was not issued by the node it names")

    def get_or_create(
        self, key: Key, digest: str
    ) -> tuple[KeyState, KeyEntry | None]:
        """Return state and entry of a verified key for a request's digest.

        A key without an entry gets one. The entry is None in the states
        EXPIRED, REUSED and FULL.
        """
        self.remove_expired()
        root = key.signed
        entry = self.entries.get(root)
        if entry is not None:
            if entry.digest != digest:
                return KeyState.REUSED, None
            return entry.state, entry
        expires_at = self.started + key.issued_ms / 1000 + KEY_LIFETIME_SECONDS
        if expires_at <= self.clock.seconds():
            return KeyState.EXPIRED, None
        if len(self.entries) >= self.max_keys:
            return KeyState.FULL, None
        entry = KeyEntry(root=root, digest=digest)
        self.add(root, expires_at, entry)
        return KeyState.FRESH, entry

    def add(self, signed: str, expires_at: float, entry: KeyEntry):
        """Add an entry and schedule its expiry."""
        self.entries[signed] = entry
        heappush(self.expiry_heap, (expires_at, signed))

    def finish(self, answer: Answer, entry: KeyEntry):
        """End a run and store its answer if memory allows.

        After a not-run, the answer offers a successor of the key.
        """
        if answer.verdict is Verdict.NOT_RUN:
            if answer.allowance == entry.allowance:
                entry.runs -= 1  # No attempt was made.
            entry.allowance = answer.allowance
            answer = replace(answer, key=self.issue_successor(entry))
        entry.finish(answer)
        entry.answer = self.answer_to_store(answer)

    def refuse(self, answer: Answer, entry: KeyEntry) -> Answer:
        """End an unused key without a run; return the answer with a key."""
        if answer.key is None:
            answer = replace(answer, key=self.issue_successor(entry))
        entry.finish(answer)
        return answer

    def issue_successor(self, entry: KeyEntry) -> str | None:
        """Return a key for another run of a request that did not run.

        It inherits the remaining allowance and the retries of the root.
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

    def answer_to_store(self, answer: Answer) -> Answer:
        """Return the answer, or only its verdict if memory is used up."""
        size = _stored_bytes(answer)
        if self.answer_bytes + size > self.max_answer_bytes:
            return refuse(
                RefusalCode.BAD_ANSWER,
                answer.verdict,
                "the request has ended, but its answer is not kept",
            )
        self.answer_bytes += size
        return answer

    def remove_expired(self):
        """Remove keys past their lifetime, except running ones."""
        now = self.clock.seconds()
        while self.expiry_heap and self.expiry_heap[0][0] <= now:
            _, signed = heappop(self.expiry_heap)
            entry = self.entries[signed]
            if entry.state is KeyState.RUNNING:
                heappush(
                    self.expiry_heap, (now + KEY_LIFETIME_SECONDS, signed)
                )
                continue
            del self.entries[signed]
            if entry.answer is not None:
                self.answer_bytes -= _stored_bytes(entry.answer)
            if entry.answer is None or entry.answer.key is None:
                self.on_root_expired(entry.root)

    def dump(self) -> dict:
        """Return the numbers of issued and stored keys, and stored bytes."""
        return {
            "issued": self.issued,
            "keys": len(self.entries),
            "answer_bytes": self.answer_bytes,
        }


def _stored_bytes(answer: Answer) -> int:
    """Return the bytes of an answer that count towards the limit."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers
