"""Load balancing: the choice of a backend server for a call.

Power of two choices: of two random candidates the one with the lower cost is
chosen. The cost is computed from this node's own calls in flight to the
server and the latency of earlier ones, plus the distance. It follows the
latency-aware cost of Prequal (NSDI 2024), but sends no probes.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from random import Random

from twisted.internet.interfaces import IReactorTime

from flamingosail.kernel import Service
from flamingosail.messages import MemberRecord

__all__ = ["Distances", "Router", "ServerStats"]

LATENCY_EWMA_WEIGHT = 0.1
INITIAL_LATENCY_SECONDS = 0.001
# A refusal or a failure counts with at least this latency. Such answers are
# fast, and their real latency would attract all traffic to a failing server.
FAILURE_LATENCY_SECONDS = 1.0
CONSECUTIVE_FAILURES_TO_EJECT = 5
OUTCOME_WINDOW_CALLS = 20
FAILURE_RATIO_TO_EJECT = 0.5
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
RAMP_SECONDS = 10.0
# Only calls update the latency, so without decay a server whose calls failed
# would look slow for ever once it gets no more calls.
LATENCY_HALF_LIFE_SECONDS = 1.0
# A server whose answer says that it is draining is left out for this long. By
# then its member record has arrived, which is flooded at once and repaired
# within two rounds of anti-entropy. The mark expires so that a late answer
# does not keep out a server that is ready again.
DRAINING_MARK_SECONDS = 10.0
RAMP_START_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class Distances:
    """Added cost, in seconds, of calls to another failure domain or region."""

    failure_domain: float = 0.0028
    region: float = 0.010


@dataclass(slots=True)
class ServerStats:
    """This node's statistics of one server incarnation; times in seconds.

    ``latency`` is an exponentially weighted moving average.
    ``recent_failures`` holds whether each of the last calls failed. After an
    ejection, ``trial_in_flight`` is true while one call tests the server.
    """

    first_seen: float
    last_seen: float
    distance: float
    in_flight: int = 0
    latency: float = INITIAL_LATENCY_SECONDS
    consecutive_failures: int = 0
    recent_failures: deque = field(
        default_factory=lambda: deque(maxlen=OUTCOME_WINDOW_CALLS)
    )
    ejected_until: float = 0.0
    ejection_seconds: float = FIRST_EJECTION_SECONDS
    trial_in_flight: bool = False


class Router(Service):
    """Chooses servers and keeps statistics of the calls to them."""

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
        self.start_time = clock.seconds()

    def start(self):
        """Subscribe to changes of the member table."""
        self.members.listeners.append(self.on_members_changed)

    def choose(
        self, *, service: str, exclude: frozenset[str] = frozenset()
    ) -> MemberRecord | None:
        """Return a ready server of ``service``, or None if there is none.

        ``exclude`` holds the incarnations that this call has already tried;
        they are chosen again only if there are no others.
        """
        servers = [
            server
            for server in self.members.servers(service)
            if not self.draining or not self.is_draining(server.incarnation)
        ]
        untried = [s for s in servers if s.incarnation not in exclude]
        usable = self.exclude_ejected(untried or servers)
        if len(usable) < 2:
            return usable[0] if usable else None
        first, second = self.random.sample(usable, 2)
        if self.cost(second) < self.cost(first):
            return second
        return first

    def exclude_ejected(
        self, servers: list[MemberRecord]
    ) -> list[MemberRecord]:
        """Leave out ejected servers unless they are more than half."""
        now = self.clock.seconds()
        usable = [s for s in servers if self.is_usable(s, now)]
        if 2 * len(usable) >= len(servers):
            return usable
        return servers

    def is_usable(self, server: MemberRecord, now: float) -> bool:
        """Return whether a server is not ejected, or is due for a trial."""
        stats = self.stats.get(server.incarnation)
        if stats is None or not stats.ejected_until:
            return True
        return now >= stats.ejected_until and not stats.trial_in_flight

    def stats_for(self, server: MemberRecord) -> ServerStats:
        """Return the statistics of a server, created if it has none."""
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
        stats = self.stats_for(server)
        latency = self.decayed_latency(stats)
        load = (stats.in_flight + 1) * latency / self.weight(stats)
        return load + stats.distance

    def decayed_latency(self, stats: ServerStats) -> float:
        """Return the latency average, which decays while no call is open."""
        idle = self.clock.seconds() - stats.last_seen
        if stats.in_flight or stats.latency <= INITIAL_LATENCY_SECONDS:
            return stats.latency
        decayed = stats.latency * 0.5 ** (idle / LATENCY_HALF_LIFE_SECONDS)
        return max(INITIAL_LATENCY_SECONDS, decayed)

    def weight(self, stats: ServerStats) -> float:
        """Return a weight from 0.1 to 1.

        A server ramps up to 1 if this node first saw it later than
        RAMP_SECONDS after its own start.
        """
        if stats.first_seen - self.start_time < RAMP_SECONDS:
            return 1.0
        age = self.clock.seconds() - stats.first_seen
        if age >= RAMP_SECONDS:
            return 1.0
        return max(RAMP_START_WEIGHT, age / RAMP_SECONDS)

    def record_sent(self, server: MemberRecord):
        """Record that a call was sent to a server."""
        stats = self.stats_for(server)
        stats.latency = self.decayed_latency(stats)
        stats.last_seen = self.clock.seconds()
        stats.in_flight += 1
        if stats.ejected_until:
            stats.trial_in_flight = True

    def record_finished(
        self,
        server: MemberRecord,
        *,
        seconds: float,
        failed: bool,
        refused: bool,
    ):
        """Record the end of a call.

        ``failed`` is set for a lost call or a server error, ``refused`` for
        a refusal under overload, which does not count towards ejection.
        """
        stats = self.stats.get(server.incarnation)
        if stats is None:
            return
        stats.in_flight -= 1
        stats.last_seen = self.clock.seconds()
        if failed or refused:
            seconds = max(seconds, FAILURE_LATENCY_SECONDS)
        stats.latency += LATENCY_EWMA_WEIGHT * (seconds - stats.latency)
        if not refused:
            self.record_outcome(stats, failed)
        elif stats.trial_in_flight:
            # A refused trial is no evidence; the next call is the new trial.
            stats.trial_in_flight = False

    def record_abandoned(self, server: MemberRecord):
        """Record that the caller cancelled a call.

        Latency and failures stay unchanged: a cancellation is no evidence
        about the server.
        """
        stats = self.stats.get(server.incarnation)
        if stats is not None:
            stats.in_flight -= 1
            stats.trial_in_flight = False

    def record_outcome(self, stats: ServerStats, failed: bool):
        """Eject a server after failures; end its ejection after a success."""
        stats.recent_failures.append(failed)
        if not failed:
            stats.consecutive_failures = 0
            if stats.trial_in_flight:
                stats.trial_in_flight = False
                stats.ejected_until = 0.0
                stats.ejection_seconds = FIRST_EJECTION_SECONDS
                stats.recent_failures.clear()
            return
        stats.consecutive_failures += 1
        full = len(stats.recent_failures) == OUTCOME_WINDOW_CALLS
        failure_ratio = sum(stats.recent_failures) / OUTCOME_WINDOW_CALLS
        if stats.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT or (
            full and failure_ratio >= FAILURE_RATIO_TO_EJECT
        ):
            self.eject(stats)

    def eject(self, stats: ServerStats):
        """Send a server no calls for a period that doubles each time.

        Calls that were sent before the ejection and fail during it do not
        extend it: twenty of them would raise it to the maximum at once.
        """
        if self.clock.seconds() < stats.ejected_until:
            return
        stats.ejected_until = self.clock.seconds() + stats.ejection_seconds
        stats.ejection_seconds = min(
            MAX_EJECTION_SECONDS, stats.ejection_seconds * 2
        )
        stats.trial_in_flight = False
        stats.recent_failures.clear()

    def mark_draining(self, incarnation: str):
        """Send no more calls to a server that reported it is draining."""
        self.draining[incarnation] = self.clock.seconds()

    def is_draining(self, incarnation: str) -> bool:
        """Return whether a server recently reported that it is draining."""
        marked_at = self.draining.get(incarnation)
        if marked_at is None:
            return False
        return self.clock.seconds() - marked_at < DRAINING_MARK_SECONDS

    def on_members_changed(self, changed: tuple[MemberRecord, ...]):
        """Drop statistics of departed servers and obsolete draining marks."""
        gone = [
            incarnation
            for incarnation, stats in self.stats.items()
            if not stats.in_flight and self.members.find(incarnation) is None
        ]
        for incarnation in gone:
            del self.stats[incarnation]
        ready = {item.incarnation for item in changed if item.state == "ready"}
        self.draining = {
            incarnation: marked_at
            for incarnation, marked_at in self.draining.items()
            if incarnation not in ready
            and self.members.find(incarnation) is not None
        }

    def dump(self) -> dict:
        """Return the statistics of each server."""
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
