"""Requests that were running when backend servers crashed.

A crash ends all requests that ran at a server, and at most one of them is to
blame. All become suspects. From then on a suspect runs at a server only while
no other suspect runs there (``flamingosail.proxy.gate``): if it is answered it
is cleared, and if the server crashes again it is put in quarantine and not
sent to servers any more.

The evidence consists of facts: which requests ran when a server crashed, and
when a request was cleared. Every node holds all facts that it has heard of.
The node beside a server tells all others of its crash at once, and any two
nodes whose evidence differs exchange it, at the latest with their pings. Facts
of several nodes add up in any order.
"""

from collections.abc import Callable
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from logbook import Logger
from twisted.internet.interfaces import IReactorTime

from flamingosail.proxy.transport.hop import Clearance
from flamingosail.proxy.transport.hop import CrashEvidence
from flamingosail.proxy.transport.hop import Evidence

__all__ = ["Quarantine", "Verdict"]

# How long a request is not sent to servers, after the first crash that it is
# to blame for; the time doubles with each further one.
QUARANTINE_SECONDS = 600.0
MAX_QUARANTINE_SECONDS = 86_400.0
# Other facts expire after this time.
SUSPICION_SECONDS = 600.0
# Bounds of what a node holds.
MAX_REQUESTS = 4096
MAX_CLEARANCES = 4096
# Crashes of one request that are stored.
MAX_CRASHES = 16
MAX_ID_CHARACTERS = 200
EXPIRY_INTERVAL_SECONDS = 5.0
DIGEST_BYTES = 8

log = Logger("proxy.quarantine")


class Verdict(Enum):
    """Whether a request may be sent to a server.

    SUSPECT: only while no other suspect runs there.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True, kw_only=True)
class Involvement:
    """A request was running when a server crashed.

    ``at`` is in the reactor's time. ``blamed`` says that this request, and no
    other one there, is taken to have crashed the server.
    """

    at: float
    blamed: bool


class Quarantine:
    """The evidence that this node has, and what follows from it.

    ``involvements`` maps the fingerprint of a request to the crashes that it
    was involved in, by server process, ``clearances`` to when it was last
    cleared. ``suspects`` are the requests with crashes since. ``digest`` is
    equal at nodes that agree about the crashes and about who is to blame; it
    is 0 without a crash. ``on_change`` is called with the new facts when this
    node adds a crash or clears a request.
    """

    def __init__(
        self, *, clock: IReactorTime, on_change: Callable[[Evidence], None]
    ):
        self.clock = clock
        self.on_change = on_change
        self.involvements: dict[int, dict[tuple[str, int], Involvement]] = {}
        self.clearances: dict[int, float] = {}
        self.suspects: set[int] = set()
        self.digest = 0
        self.expired_at = 0.0

    # Verdicts.

    def verdict(self, fingerprint: int) -> Verdict:
        """Return whether a request may be sent to a server now."""
        if fingerprint not in self.suspects:
            return Verdict.CLEAR
        if self.clock.seconds() < self.quarantined_until(fingerprint):
            return Verdict.QUARANTINED
        return Verdict.SUSPECT

    def quarantined_until(self, fingerprint: int) -> float:
        """Return the end of a quarantine; 0 for a request without one."""
        crashes = [
            involvement
            for involvement in self.involvements.get(fingerprint, {}).values()
            if not self.is_cleared(fingerprint, involvement)
        ]
        count = sum(involvement.blamed for involvement in crashes)
        if not count:
            return 0.0
        seconds = min(
            MAX_QUARANTINE_SECONDS, QUARANTINE_SECONDS * 2 ** (count - 1)
        )
        return max(involvement.at for involvement in crashes) + seconds

    def is_cleared(self, fingerprint: int, involvement: Involvement) -> bool:
        """Return whether a request was cleared after a crash."""
        cleared_at = self.clearances.get(fingerprint)
        return cleared_at is not None and involvement.at <= cleared_at

    # Facts that this node observes.

    def record_crash(
        self,
        incarnation: tuple[str, int],
        fingerprints: Collection[int],
        blamed: int | None,
    ):
        """Add the crash of the backend server of this VM.

        ``blamed`` is the request that is to blame, if that is known.
        """
        now = self.clock.seconds()
        for fingerprint in fingerprints:
            self.add_crash(
                incarnation, fingerprint, now, fingerprint == blamed
            )
        suspects = [number for number in fingerprints if number != blamed]
        crash = CrashEvidence(
            *incarnation, 0, suspects, [] if blamed is None else [blamed]
        )
        self.on_change(Evidence([crash], []))

    def clear(self, fingerprint: int, *, reason: str):
        """Drop what speaks against a request, at all nodes."""
        if fingerprint not in self.suspects:
            return
        log.info(
            "request cleared",
            extra={"fingerprint": f"{fingerprint:016x}", "reason": reason},
        )
        self.add_clearance(fingerprint, self.clock.seconds())
        self.on_change(Evidence([], [Clearance(fingerprint, 0)]))

    # Facts of other nodes.

    def evidence(self) -> Evidence | None:
        """Return all facts for another node, None if there is no crash."""
        if not self.involvements:
            return None
        now = self.clock.seconds()
        crashes: dict[tuple[str, int], CrashEvidence] = {}
        for fingerprint, involvements in self.involvements.items():
            for incarnation, involvement in involvements.items():
                crash = crashes.get(incarnation)
                if crash is None:
                    age_ms = round((now - involvement.at) * 1000)
                    crash = CrashEvidence(*incarnation, age_ms, [], [])
                    crashes[incarnation] = crash
                kind = crash.blamed if involvement.blamed else crash.suspects
                kind.append(fingerprint)
        return Evidence(
            list(crashes.values()),
            [
                Clearance(fingerprint, round((now - at) * 1000))
                for fingerprint, at in self.clearances.items()
            ],
        )

    def merge(self, evidence: Evidence):
        """Add the facts of another node."""
        now = self.clock.seconds()
        for crash in evidence.crashes:
            incarnation = crash.instance[:MAX_ID_CHARACTERS], crash.start_ms
            at = now - max(0, crash.age_ms) / 1000
            for fingerprint in crash.suspects:
                self.add_crash(incarnation, fingerprint, at, False)
            for fingerprint in crash.blamed:
                self.add_crash(incarnation, fingerprint, at, True)
        for clearance in evidence.clearances:
            self.add_clearance(
                clearance.fingerprint, now - max(0, clearance.age_ms) / 1000
            )

    # Facts.

    def add_crash(
        self,
        incarnation: tuple[str, int],
        fingerprint: int,
        at: float,
        blamed: bool,
    ):
        """Add that a request was running when a server crashed."""
        if self.clock.seconds() - at > SUSPICION_SECONDS and not blamed:
            return
        involvements = self.involvements.get(fingerprint)
        if involvements is None:
            if len(self.involvements) >= MAX_REQUESTS:
                self.evict(self.involvements)
            involvements = self.involvements[fingerprint] = {}
        known = involvements.get(incarnation)
        if known is not None and known.at <= at:
            return
        if known is None and len(involvements) >= MAX_CRASHES:
            oldest = min(
                involvements,
                key=lambda name: (
                    involvements[name].blamed,
                    involvements[name].at,
                ),
            )
            if (blamed, at) <= (
                involvements[oldest].blamed,
                involvements[oldest].at,
            ):
                return
            self.digest ^= self.digest_of(
                fingerprint, oldest, involvements.pop(oldest)
            )
        before = self.quarantined_until(fingerprint)
        if known is not None:
            # The message that told it first was on its way for longer.
            blamed = known.blamed
            self.digest ^= self.digest_of(fingerprint, incarnation, known)
        involvement = Involvement(at=at, blamed=blamed)
        self.digest ^= self.digest_of(fingerprint, incarnation, involvement)
        involvements[incarnation] = involvement
        self.update_suspect(fingerprint)
        until = self.quarantined_until(fingerprint)
        if until and not before:
            log.warning(
                "request quarantined",
                extra={
                    "fingerprint": f"{fingerprint:016x}",
                    "crashes": [instance for instance, _ in involvements],
                    "seconds": round(until - self.clock.seconds()),
                },
            )

    def add_clearance(self, fingerprint: int, at: float):
        """Add that a request was cleared; void its crashes up to then."""
        if at <= self.clearances.get(fingerprint, at - 1):
            return
        crashes = self.involvements.get(fingerprint, {}).items()
        for crash in crashes:
            self.digest ^= self.digest_of(fingerprint, *crash)
        if fingerprint not in self.clearances:
            while len(self.clearances) >= MAX_CLEARANCES:
                self.evict(self.clearances)
        self.clearances[fingerprint] = at
        for crash in crashes:
            self.digest ^= self.digest_of(fingerprint, *crash)
        self.update_suspect(fingerprint)

    def update_suspect(self, fingerprint: int):
        """Add or remove a request as a suspect."""
        crashes = self.involvements.get(fingerprint, {}).values()
        if all(self.is_cleared(fingerprint, crash) for crash in crashes):
            self.suspects.discard(fingerprint)
        else:
            self.suspects.add(fingerprint)

    def digest_of(
        self,
        fingerprint: int,
        incarnation: tuple[str, int],
        involvement: Involvement,
    ) -> int:
        """Return a number that identifies a fact.

        Nodes may differ in which suspects were cleared, until each has
        answered them; they may not in who is to blame.
        """
        instance, start_ms = incarnation
        lifted = involvement.blamed and self.is_cleared(
            fingerprint, involvement
        )
        text = f"{fingerprint} {involvement.blamed} {lifted} {start_ms} "
        digest = blake2b((text + instance).encode(), digest_size=DIGEST_BYTES)
        return int.from_bytes(digest.digest(), "big")

    # Limits.

    def forget(self, fingerprint: int):
        """Drop all facts about a request."""
        for crash in self.involvements.get(fingerprint, {}).items():
            self.digest ^= self.digest_of(fingerprint, *crash)
        self.involvements.pop(fingerprint, None)
        self.clearances.pop(fingerprint, None)
        self.suspects.discard(fingerprint)

    def evict(self, fingerprints: Collection[int]):
        """Forget the oldest of some requests, if possible a mere suspect."""
        self.forget(
            next(
                (
                    fingerprint
                    for fingerprint in fingerprints
                    if not self.quarantined_until(fingerprint)
                ),
                next(iter(fingerprints)),
            )
        )

    def expire(self):
        """Drop facts that have expired; called with each tick."""
        now = self.clock.seconds()
        if now - self.expired_at < EXPIRY_INTERVAL_SECONDS:
            return
        self.expired_at = now
        for fingerprint in {*self.involvements, *self.clearances}:
            times = [
                involvement.at
                for involvement in self.involvements.get(
                    fingerprint, {}
                ).values()
            ]
            times.append(self.clearances.get(fingerprint, 0.0))
            until = self.quarantined_until(fingerprint)
            kept_until = (
                until + MAX_QUARANTINE_SECONDS
                if until
                else max(times) + SUSPICION_SECONDS
            )
            if now > kept_until:
                self.forget(fingerprint)

    # For operators.

    def entries(self) -> list[dict]:
        """Return the suspects and quarantined requests with their crashes."""
        now = self.clock.seconds()
        return [
            {
                "fingerprint": f"{fingerprint:016x}",
                "verdict": self.verdict(fingerprint).value,
                "remaining_seconds": max(
                    0, round(self.quarantined_until(fingerprint) - now)
                ),
                "crashes": [
                    {
                        "instance": instance,
                        "born": start_ms,
                        "seconds_ago": round(now - involvement.at, 3),
                        "blamed": involvement.blamed,
                    }
                    for (instance, start_ms), involvement in (
                        self.involvements[fingerprint].items()
                    )
                ],
            }
            for fingerprint in sorted(self.suspects)
        ]
