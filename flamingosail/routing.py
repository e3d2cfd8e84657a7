"""The choice of a backend server for a call.

Two random candidates are compared by the node's own view of them: its calls
in flight there and the latency it has seen, with the distance added. This
is the power of two choices with the latency-aware cost of Prequal
(NSDI 2024), but without probes.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from random import Random

from twisted.internet.interfaces import IReactorTime

from flamingosail.kernel import Service
from flamingosail.messages import MemberRecord

__all__ = ["Distances", "Router", "ServerStats"]

LATENCY_SMOOTHING = 0.1
INITIAL_LATENCY_SECONDS = 0.001
# A refusal or a failure comes back fast; counted as a fast answer it would
# draw all traffic to the server that fails.
FAILURE_LATENCY_SECONDS = 1.0
FAILURES_IN_A_ROW = 5
RECENT_OUTCOMES = 20
FAILED_SHARE = 0.5
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
RAMP_SECONDS = 10.0
# Without this a server whose calls failed would look slow for ever once no
# more calls go to it: only calls refresh its latency.
LATENCY_HALF_LIFE_SECONDS = 1.0
# A drain told by an answer counts until the member record has arrived; it is
# flooded at once and repaired within two rounds of anti-entropy. An answer
# that is late must not keep a server out that has come back.
DRAINING_SECONDS = 10.0
RAMP_START_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class Distances:
    """Added cost in seconds of leaving the failure domain or the region."""

    failure_domain: float = 0.0028
    region: float = 0.010


@dataclass(slots=True)
class ServerStats:
    """What this node has seen of one server incarnation."""

    first_seen: float
    last_seen: float
    distance: float
    in_flight: int = 0
    latency: float = INITIAL_LATENCY_SECONDS
    failures: int = 0
    outcomes: deque = field(
        default_factory=lambda: deque(maxlen=RECENT_OUTCOMES)
    )
    ejected_until: float = 0.0
    ejection_seconds: float = FIRST_EJECTION_SECONDS
    on_trial: bool = False


class Router(Service):
    """Chooses servers and keeps this node's statistics of them."""

    name = "router"

    def __init__(
        self,
        *,
        clock: IReactorTime,
        random: Random,
        members,
        failure_domain: str,
        region: str,
        distances: Distances = Distances(),  # noqa: B008 - frozen
    ):
        self.clock = clock
        self.random = random
        self.members = members
        self.failure_domain = failure_domain
        self.region = region
        self.distances = distances
        self.stats: dict[str, ServerStats] = {}
        self.draining: dict[str, float] = {}
        self.started = clock.seconds()

    def start(self):
        """Follow the changes of the member table."""
        self.members.listeners.append(self.on_members_changed)

    def choose(
        self, *, service: str, exclude: frozenset[str] = frozenset()
    ) -> MemberRecord | None:
        """Return a ready server of ``service``, or None if there is none.

        ``exclude`` holds incarnations that this call has already tried;
        they are used again only if nothing else is left.
        """
        servers = [
            server
            for server in self.members.servers(service)
            if not self.draining or not self.is_draining(server.incarnation)
        ]
        untried = [s for s in servers if s.incarnation not in exclude]
        usable = self.without_ejected(untried or servers)
        if len(usable) < 2:
            return usable[0] if usable else None
        first, second = self.random.sample(usable, 2)
        if self.cost(second) < self.cost(first):
            return second
        return first

    def without_ejected(
        self, servers: list[MemberRecord]
    ) -> list[MemberRecord]:
        """Leave out ejected servers, at most half of them."""
        now = self.clock.seconds()
        usable = [s for s in servers if self.accepts(s, now)]
        if 2 * len(usable) >= len(servers):
            return usable
        return servers

    def accepts(self, server: MemberRecord, now: float) -> bool:
        """Return whether a server is not ejected or due for a trial."""
        stats = self.stats.get(server.incarnation)
        if stats is None or not stats.ejected_until:
            return True
        return now >= stats.ejected_until and not stats.on_trial

    def stats_of(self, server: MemberRecord) -> ServerStats:
        """Return the statistics of a server, new ones at first sight."""
        stats = self.stats.get(server.incarnation)
        if stats is None:
            now = self.clock.seconds()
            stats = self.stats[server.incarnation] = ServerStats(
                first_seen=now,
                last_seen=now,
                distance=self.distance(server),
            )
        return stats

    def distance(self, server: MemberRecord) -> float:
        """Return the added cost of reaching a server, in seconds."""
        if server.region != self.region:
            return self.distances.region
        if server.failure_domain != self.failure_domain:
            return self.distances.failure_domain
        return 0.0

    def cost(self, server: MemberRecord) -> float:
        """Return the expected cost of one more call, in seconds."""
        stats = self.stats_of(server)
        latency = self.latency(stats)
        load = (stats.in_flight + 1) * latency / self.weight(stats)
        return load + stats.distance

    def latency(self, stats: ServerStats) -> float:
        """Return the latency seen, which fades while no call is sent."""
        idle = self.clock.seconds() - stats.last_seen
        if stats.in_flight or stats.latency <= INITIAL_LATENCY_SECONDS:
            return stats.latency
        faded = stats.latency * 0.5 ** (idle / LATENCY_HALF_LIFE_SECONDS)
        return max(INITIAL_LATENCY_SECONDS, faded)

    def weight(self, stats: ServerStats) -> float:
        """Return 0.1 to 1; a server that joined later ramps up."""
        if stats.first_seen - self.started < RAMP_SECONDS:
            return 1.0
        age = self.clock.seconds() - stats.first_seen
        if age >= RAMP_SECONDS:
            return 1.0
        return max(RAMP_START_WEIGHT, age / RAMP_SECONDS)

    def sent(self, server: MemberRecord):
        """Count a call that goes out to a server."""
        stats = self.stats_of(server)
        stats.latency = self.latency(stats)
        stats.last_seen = self.clock.seconds()
        stats.in_flight += 1
        if stats.ejected_until:
            stats.on_trial = True

    def finished(
        self,
        server: MemberRecord,
        *,
        seconds: float,
        failed: bool,
        refused: bool,
    ):
        """Take in the end of a call.

        ``failed`` is a lost call or a server error, ``refused`` a refusal
        under overload, which does not eject.
        """
        stats = self.stats.get(server.incarnation)
        if stats is None:
            return
        stats.in_flight -= 1
        stats.last_seen = self.clock.seconds()
        if failed or refused:
            seconds = max(seconds, FAILURE_LATENCY_SECONDS)
        stats.latency += LATENCY_SMOOTHING * (seconds - stats.latency)
        if not refused:
            self.note_outcome(stats, failed)
        elif stats.on_trial:
            # A refused trial says nothing; the next call decides.
            stats.on_trial = False

    def given_up(self, server: MemberRecord):
        """Take in that nobody waits for a call any more.

        The time until then says nothing about the server.
        """
        stats = self.stats.get(server.incarnation)
        if stats is not None:
            stats.in_flight -= 1
            stats.on_trial = False

    def note_outcome(self, stats: ServerStats, failed: bool):
        """Eject a server after failures, take it back after a success."""
        stats.outcomes.append(failed)
        if not failed:
            stats.failures = 0
            if stats.on_trial:
                stats.on_trial = False
                stats.ejected_until = 0.0
                stats.ejection_seconds = FIRST_EJECTION_SECONDS
                stats.outcomes.clear()
            return
        stats.failures += 1
        full = len(stats.outcomes) == RECENT_OUTCOMES
        share = sum(stats.outcomes) / RECENT_OUTCOMES
        if stats.failures >= FAILURES_IN_A_ROW or (
            full and share >= FAILED_SHARE
        ):
            self.eject(stats)

    def eject(self, stats: ServerStats):
        """Send a server nothing for a time that doubles each time.

        Calls that were sent before the ejection and fail during it do not
        prolong it: twenty of them would make it the longest at once.
        """
        if self.clock.seconds() < stats.ejected_until:
            return
        stats.ejected_until = self.clock.seconds() + stats.ejection_seconds
        stats.ejection_seconds = min(
            MAX_EJECTION_SECONDS, stats.ejection_seconds * 2
        )
        stats.on_trial = False
        stats.outcomes.clear()

    def note_draining(self, incarnation: str):
        """Send nothing more to a server that said it is draining."""
        self.draining[incarnation] = self.clock.seconds()

    def is_draining(self, incarnation: str) -> bool:
        """Return whether a server said lately that it is draining."""
        noted = self.draining.get(incarnation)
        if noted is None:
            return False
        return self.clock.seconds() - noted < DRAINING_SECONDS

    def on_members_changed(self, changed: tuple[MemberRecord, ...]):
        """Forget what was seen of servers that are gone or came back."""
        gone = [
            incarnation
            for incarnation, stats in self.stats.items()
            if not stats.in_flight and self.members.find(incarnation) is None
        ]
        for incarnation in gone:
            del self.stats[incarnation]
        ready = {item.incarnation for item in changed if item.state == "ready"}
        self.draining = {
            incarnation: noted
            for incarnation, noted in self.draining.items()
            if incarnation not in ready
            and self.members.find(incarnation) is not None
        }

    def dump(self) -> dict:
        """Return what is known of each server."""
        now = self.clock.seconds()
        return {
            incarnation: {
                "in_flight": stats.in_flight,
                "latency_ms": round(stats.latency * 1000, 2),
                "distance_ms": stats.distance * 1000,
                "ejected_seconds": max(
                    0.0, round(stats.ejected_until - now, 1)
                ),
            }
            for incarnation, stats in self.stats.items()
        }
