"""Failure detection: probes of the neighbours, suspicion and removal.

The detector sends nothing; ``Gossip`` sends the probes and suspicions that
it returns. ``now`` is always the current time in seconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from msgspec.structs import replace

from flamingosail.membership import LIVE_STATES
from flamingosail.membership import MemberTable
from flamingosail.membership import nonce_of
from flamingosail.messages import MemberRecord

__all__ = [
    "Detector",
    "PROBE_INTERVAL_S",
    "REMOVAL_TIMEOUT_S",
    "SUSPICION_TIMEOUT_S",
]

PROBE_INTERVAL_S = 1.0
SUSPICION_TIMEOUT_S = 2.0
REMOVAL_TIMEOUT_S = 4.0

# Eight probes in SUSPICION_TIMEOUT_S: if 20% of messages are lost, one probe
# or its answer is lost with probability 0.36, all eight with less than 0.0003.
PROBE_RETRY_S = 0.25

# If a link fails in one direction, one neighbour keeps suspecting a member
# that always refutes. Each refutation doubles the neighbour's timeout for the
# next suspicion, up to this limit.
MAX_SUSPICION_TIMEOUT_S = 64.0

# A removal by another node is accepted at once if the member has been
# suspected here for at least this long.
MIN_SUSPICION_AGE_S = 2.0
SUSPICION_TTL_S = 30.0


@dataclass(slots=True)
class ProbeState:
    """The probes of one neighbour.

    ``unanswered_since`` and ``first_unanswered`` are the time and the
    sequence number of the first probe since the last answer.
    """

    record: MemberRecord
    next_probe: float
    suspicion_timeout: float = SUSPICION_TIMEOUT_S
    awaiting_answer: bool = False
    unanswered_since: float = 0.0
    first_unanswered: int = 0

    def seconds_unanswered(self, now: float) -> float:
        """Return for how many seconds probes have had no answer."""
        return now - self.unanswered_since if self.awaiting_answer else 0.0


@dataclass(slots=True)
class Suspicion:
    """One version of a member that does not answer probes.

    ``removed_by_other`` is set if another node has already removed this
    version.
    """

    record: MemberRecord
    since: float
    removed_by_other: bool = False


class Detector:
    """Probes the neighbours and holds own and received suspicions."""

    def __init__(self, *, table: MemberTable):
        self.table = table
        self.probe_states: dict[str, ProbeState] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.sequence = 0

    def set_neighbours(self, neighbours: Iterable[MemberRecord], now: float):
        """Probe exactly these members from now on."""
        probe_states = {}
        for record in neighbours:
            state = self.probe_states.get(record.node)
            if state is None or not _same_incarnation(state.record, record):
                state = ProbeState(record=record, next_probe=now)
            elif state.record.version != record.version:
                self._update_record(state, record, now)
            probe_states[record.node] = state
        self.probe_states = probe_states

    def due_probes(self, now: float) -> list[tuple[MemberRecord, int]]:
        """Return the members to probe now, each with a sequence number."""
        probes = []
        for state in self.probe_states.values():
            if now < state.next_probe:
                continue
            self.sequence += 1
            if not state.awaiting_answer:
                state.awaiting_answer = True
                state.unanswered_since = now
                state.first_unanswered = self.sequence
            state.next_probe = now + PROBE_RETRY_S
            probes.append((state.record, self.sequence))
        return probes

    def record_answer(self, incarnation: str, sequence: int):
        """Record the answer to a probe."""
        state = self.probe_states.get(incarnation.rpartition("~")[0])
        if state is None or state.record.incarnation != incarnation:
            return
        if not state.awaiting_answer or sequence < state.first_unanswered:
            return
        state.awaiting_answer = False
        state.suspicion_timeout = SUSPICION_TIMEOUT_S
        state.next_probe = state.unanswered_since + PROBE_INTERVAL_S

    def suspect_unresponsive(self, now: float) -> list[MemberRecord]:
        """Suspect neighbours that do not answer; return the new suspects."""
        records = []
        for state in self.probe_states.values():
            if state.seconds_unanswered(now) < state.suspicion_timeout:
                continue
            if self.suspect(state.record, now):
                records.append(state.record)
        return records

    def suspect(
        self,
        record: MemberRecord,
        now: float,
        *,
        removed_by_other: bool = False,
    ) -> bool:
        """Store a suspicion; return whether it is new.

        Suspicions of a version other than the one in the table are ignored.
        """
        known = self.table.by_node(record.node)
        if known is None or known.state not in LIVE_STATES:
            return False
        if (
            not _same_incarnation(known, record)
            or known.version != record.version
        ):
            return False
        suspicion = self._find_suspicion(known)
        if suspicion is not None:
            suspicion.removed_by_other |= removed_by_other
            return False
        self.suspicions[record.node] = Suspicion(known, now, removed_by_other)
        return True

    def must_defer_removal(self, record: MemberRecord, now: float) -> bool:
        """Return whether the member may still refute a received removal.

        After a partition each side holds the other side's members as
        removed. Accepting these removals at once would empty the tables of
        both sides until the members refute them.
        """
        known = self.table.by_node(record.node)
        if record.state != "removed" or known is None:
            return False
        if record.node == self.table.own_record.node:
            return False
        if (
            not _same_incarnation(known, record)
            or known.version != record.version
        ):
            return False
        suspicion = self._find_suspicion(record)
        is_old = (
            suspicion is not None
            and now - suspicion.since >= MIN_SUSPICION_AGE_S
        )
        return known.state in LIVE_STATES and not is_old

    def due_removals(self, now: float) -> list[MemberRecord]:
        """Return the ``removed`` records to merge now.

        A suspected member is removed if it did not refute the suspicion
        within REMOVAL_TIMEOUT_S, and either its probes from here are
        unanswered or another node has removed it.
        """
        records = []
        for suspicion in list(self.suspicions.values()):
            known = self.table.by_node(suspicion.record.node)
            age = now - suspicion.since
            if known != suspicion.record or age > SUSPICION_TTL_S:
                del self.suspicions[suspicion.record.node]
            elif age >= REMOVAL_TIMEOUT_S and (
                suspicion.removed_by_other
                or self._is_unresponsive(suspicion, now)
            ):
                records.append(replace(known, state="removed"))
        return records

    def restart_timeouts(self, now: float):
        """Restart all probes and suspicions after a pause of this process."""
        for state in self.probe_states.values():
            state.awaiting_answer = False
            state.next_probe = now
        for suspicion in self.suspicions.values():
            suspicion.since = now

    def _is_unresponsive(self, suspicion: Suspicion, now: float) -> bool:
        state = self.probe_states.get(suspicion.record.node)
        return (
            state is not None
            and state.seconds_unanswered(now) >= SUSPICION_TIMEOUT_S
        )

    def _find_suspicion(self, record: MemberRecord) -> Suspicion | None:
        suspicion = self.suspicions.get(record.node)
        if suspicion is None or not _same_incarnation(
            suspicion.record, record
        ):
            return None
        return (
            suspicion if suspicion.record.version == record.version else None
        )

    def _update_record(
        self, state: ProbeState, record: MemberRecord, now: float
    ):
        """Store a new version; back off if the member refuted a suspicion."""
        if state.seconds_unanswered(now) >= SUSPICION_TIMEOUT_S:
            state.suspicion_timeout = min(
                2 * state.suspicion_timeout, MAX_SUSPICION_TIMEOUT_S
            )
            state.awaiting_answer = False
            state.next_probe = now
        state.record = record


def _same_incarnation(one: MemberRecord, other: MemberRecord) -> bool:
    return nonce_of(one.incarnation) == nonce_of(other.incarnation)
