"""Learned concurrency limit of a backend server.

Some servers slow down or reject requests long before all their slots are in
use. The limit is the concurrency at which a server completes the most work per
second; requests beyond it wait at the gate, in order of their rank.

Run times are compared between levels of concurrency. Three things would be
taken for a knee if they were not left out: the time that child calls take, a
change in the mix of routes, and spells in which the server's machine is slow
for everything, during which requests also pile up.
"""

from dataclasses import dataclass
from math import exp
from math import inf
from math import log as ln
from math import sqrt

from logbook import Logger
from twisted.internet.interfaces import IReactorTime

__all__ = [
    "ConcurrencyLimit",
    "MachineSpeed",
    "ServerLoad",
    "parse_server_load",
]

# Levels of concurrency that are compared, as fractions of the slots.
LEVELS = 20
# Time constant of the decay of measurements.
DECAY_SECONDS = 4.0
# Limit of the weight of a level, which bounds the time until it is forgotten.
MAX_SAMPLES = 200.0
# Least interval between two changes of the limit. A server that turns slow
# fills up, so that its first slow requests run at a high concurrency; after a
# few steps the lower levels are as slow, and the limit rises again.
STEP_SECONDS = 0.5
# While a limit is used up, nothing is learnt of lower levels. It is therefore
# reduced for a moment, to one share of it after the other: behind a steep knee
# a small reduction does not show that a large one would pay.
# The interval doubles after each round of probes.
PROBE_INTERVAL_SECONDS = 3.0
MAX_PROBE_INTERVAL_SECONDS = 24.0
MIN_PROBE_SECONDS = 0.15
# Requests that run when a probe begins have mostly ended after two run times.
PROBE_RUNS = 3.0
PROBE_SHARES = (0.85, 0.7, 0.55)
# Least number of recent requests on both sides of a level.
MIN_SAMPLES = 12.0
# Standard errors by which a lower level must be better.
SIGNIFICANCE = 3.0
# A lower level is preferred if it completes at least the n-th power of the
# work in proportion to its concurrency, with n this number. At 1, a server
# that shares a fixed throughput among its requests would keep all slots.
CONCURRENCY_WEIGHT = 0.9
# Lower bound of the limit, so that the upper levels can be measured again.
MIN_LIMIT_SHARE = 0.25
# The mean run time of a route moves more slowly than the measurements decay;
# otherwise it would follow the changes that it is to show.
ROUTE_DECAY_SECONDS = 30.0
MIN_ROUTE_SAMPLES = 50
# Weight of the newest request in the mean run time of all requests.
RUN_SMOOTHING = 0.02
# Logarithms of run times are bounded by that of this factor, which limits the
# weight of a few very long requests.
MAX_RATIO = 20.0
MIN_RUN_SECONDS = 0.0005

# Changes of the limit that are smaller than this share are not logged.
LOGGED_CHANGE = 0.15

# The slowness of a machine is usually 100 percent. What is farther from that
# than a factor of ten is an error of the server.
USUAL_SLOWNESS_PERCENT = 100
MIN_SLOWNESS_PERCENT = 10
MAX_SLOWNESS_PERCENT = 1000
# A single figure may be an outlier; spells of slowness last longer than this.
SLOWNESS_SMOOTHING_SECONDS = 0.15

log = Logger("proxy.gate")


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLoad:
    """The load that a server stated in a response.

    ``machine_slowness`` is the time that work takes on the server's machine,
    relative to the usual time; None if it is not stated or not credible.
    ``shares_machine`` says that the server states it at all.
    """

    running: int
    waiting: int
    slots: int
    machine_slowness: float | None = None
    shares_machine: bool = False


def parse_server_load(value: bytes) -> ServerLoad | None:
    """Return the load in a header value, None if it is malformed.

    The value has three numbers or, if the machine is shared, four.
    """
    parts = value.split(b",")
    if len(parts) not in (3, 4):
        return None
    numbers = []
    for part in parts:
        digits = part.strip()
        if not digits.isdigit() or len(digits) > 9:
            return None
        numbers.append(int(digits))
    slowness = None
    if len(numbers) == 4 and (
        MIN_SLOWNESS_PERCENT <= numbers[3] <= MAX_SLOWNESS_PERCENT
    ):
        slowness = numbers[3] / USUAL_SLOWNESS_PERCENT
    return ServerLoad(
        running=numbers[0],
        waiting=numbers[1],
        slots=numbers[2],
        machine_slowness=slowness,
        shares_machine=len(numbers) == 4,
    )


class MachineSpeed:
    """Smooths the slowness that the server of a shared machine states."""

    def __init__(self, *, clock: IReactorTime):
        self.clock = clock
        self.slowness = 1.0
        self.updated_at = -inf

    def record(self, slowness: float):
        """Add a stated slowness."""
        now = self.clock.seconds()
        weight = 1.0 - exp(
            (self.updated_at - now) / SLOWNESS_SMOOTHING_SECONDS
        )
        # Responses that arrive at the same time count together.
        self.slowness += max(0.1, weight) * (slowness - self.slowness)
        self.updated_at = now


class Level:
    """Recent requests at one level of concurrency, with decaying weights.

    ``served`` is the weight of the requests that were served, ``rejected``
    that of the others. ``total`` and ``squares`` are the sums of the
    logarithms of the relative run times and of their squares, ``concurrency``
    that of the requests that ran at the same time.
    """

    __slots__ = ("served", "rejected", "total", "squares", "concurrency")

    def __init__(self):
        self.served = self.rejected = 0.0
        self.total = self.squares = self.concurrency = 0.0

    def scale(self, factor: float):
        """Reduce the weight of what was recorded."""
        self.served *= factor
        self.rejected *= factor
        self.total *= factor
        self.squares *= factor
        self.concurrency *= factor

    def add(self, other: "Level"):
        """Include the requests of another level."""
        self.served += other.served
        self.rejected += other.rejected
        self.total += other.total
        self.squares += other.squares
        self.concurrency += other.concurrency

    def throughput(self) -> float:
        """Return the logarithm of the work per second, up to a constant."""
        served = self.served
        share = served / (served + self.rejected)
        return (
            CONCURRENCY_WEIGHT * ln(self.concurrency / served)
            + ln(share)
            - self.total / served
        )

    def variance(self) -> float:
        """Return the variance of the mean in ``throughput``."""
        served = self.served
        mean = self.total / served
        spread = max(0.0, self.squares / served - mean * mean)
        return (spread + self.rejected / (served + self.rejected)) / served


class RouteMean:
    """The mean of the logarithms of a route's run times."""

    __slots__ = ("mean", "samples", "updated_at")

    def __init__(self):
        self.mean = 0.0
        self.samples = 0
        self.updated_at = 0.0

    def update(self, value: float, now: float) -> float:
        """Add a value and return the mean."""
        self.samples += 1
        if self.samples <= MIN_ROUTE_SAMPLES:
            weight = 1.0 / self.samples
        else:
            weight = 1.0 - exp((self.updated_at - now) / ROUTE_DECAY_SECONDS)
        self.updated_at = now
        self.mean += weight * (value - self.mean)
        return self.mean


class ConcurrencyLimit:
    """The number of requests that a server takes well at a time.

    ``enabled`` is set by the first response in which the server says that it
    shares its machine; until then the limit is the number of slots. Levels
    without recent requests are taken to be as good as the others, so that a
    limit which is used up rises again. ``run_seconds`` is the mean time of a
    request at the server, including its child calls; 0 if it is not known.
    """

    def __init__(self, *, clock: IReactorTime):
        self.clock = clock
        self.machine = MachineSpeed(clock=clock)
        self.enabled = False
        self.reset()

    def reset(self, *, cold_until: float = 0.0):
        """Forget the measurements, because another server has started.

        ``cold_until`` is the time until which it is slow at any concurrency;
        run times until then teach nothing.
        """
        now = self.clock.seconds()
        self.levels = [Level() for _ in range(LEVELS)]
        self.routes: dict[int, RouteMean] = {}
        self.share = 1.0
        self.run_seconds = 0.0
        self.decayed_at = now
        self.cold_until = cold_until
        self.next_step_at = now + STEP_SECONDS
        self.used_up = False
        self.logged_share = 1.0
        self.probes = iter(PROBE_SHARES)
        self.probe_share = 1.0
        self.probe_until = 0.0
        self.probe_interval = PROBE_INTERVAL_SECONDS
        self.next_probe_at = now + PROBE_INTERVAL_SECONDS

    def limit(self, slots: int) -> int:
        """Return how many of the slots may be in use, at least one."""
        if not self.enabled:
            return slots
        return max(1, min(slots, int(slots * self.share + 0.5)))

    def limit_now(self, slots: int) -> int:
        """Return the limit, reduced during a probe.

        Other nodes are not told of probes. Servers that are full at the same
        time probe at the same time, and admission would take it for a loss of
        capacity.
        """
        limit = self.limit(slots)
        if self.enabled and self.clock.seconds() < self.probe_until:
            limit = max(1, int(limit * self.probe_share + 0.5))
        return limit

    def record_load(self, load: ServerLoad):
        """Use the load that the server stated in a response."""
        self.enabled = self.enabled or load.shares_machine
        if load.machine_slowness is not None:
            self.machine.record(load.machine_slowness)

    def record_served(
        self,
        root_route: int,
        *,
        seconds: float,
        own_seconds: float,
        concurrency: float,
        slots: int,
    ):
        """Add a served request.

        ``own_seconds`` is ``seconds`` without the time of its child calls,
        ``concurrency`` the mean number of requests that ran during it.
        """
        if not self.enabled:
            return
        if not self.run_seconds:
            self.run_seconds = seconds
        self.run_seconds += RUN_SMOOTHING * (seconds - self.run_seconds)
        if self.clock.seconds() < self.cold_until:
            return
        value = ln(max(MIN_RUN_SECONDS, own_seconds) / self.machine.slowness)
        baseline = self.routes.get(root_route)
        if baseline is None:
            baseline = self.routes[root_route] = RouteMean()
        mean = baseline.update(value, self.clock.seconds())
        bound = ln(MAX_RATIO)
        relative = max(-bound, min(bound, value - mean))
        level = self.level(concurrency, slots)
        level.served += 1.0
        level.total += relative
        level.squares += relative * relative
        level.concurrency += concurrency
        self.update(slots)

    def record_rejected(self, *, concurrency: float, slots: int):
        """Add a request that the server rejected because it was full."""
        if self.enabled:
            self.level(concurrency, slots).rejected += 1.0
            self.update(slots)

    def record_use(self, running: int, slots: int):
        """Note that a request started as the ``running``-th at a time."""
        if self.enabled and running >= self.limit_now(slots):
            self.used_up = True

    def level(self, concurrency: float, slots: int) -> Level:
        """Return the level of a concurrency."""
        index = int((concurrency - 0.5) * LEVELS / max(1, slots))
        return self.levels[max(0, min(LEVELS - 1, index))]

    def update(self, slots: int):
        """Move the limit one level, at most once in STEP_SECONDS."""
        now = self.clock.seconds()
        if now < self.next_step_at:
            return
        self.next_step_at = now + STEP_SECONDS
        factor = exp((self.decayed_at - now) / DECAY_SECONDS)
        self.decayed_at = now
        for level in self.levels:
            level.scale(min(factor, MAX_SAMPLES / max(1.0, level.served)))
        best = self.best_share()
        if self.used_up and now >= self.next_probe_at:
            self.start_probe(now)
        # A level of a small server may be less than a slot.
        step = max(1.0 / LEVELS, 1.0 / max(1, slots))
        if best < self.share:
            self.share = max(best, self.share - step, MIN_LIMIT_SHARE)
        elif self.used_up:
            self.share = min(best, self.share + step)
        self.used_up = False
        if abs(self.share - self.logged_share) > LOGGED_CHANGE:
            log.info(
                "limit learned",
                extra={
                    "limit": self.limit(slots),
                    "usable_slots": slots,
                    "before": round(self.logged_share * slots),
                    "machine_slowness": round(self.machine.slowness, 2),
                },
            )
            self.logged_share = self.share

    def start_probe(self, now: float):
        """Reduce the limit until the requests that run now have ended."""
        share = next(self.probes, None)
        if share is None:
            self.probes = iter(PROBE_SHARES)
            share = next(self.probes)
            self.probe_interval = min(
                MAX_PROBE_INTERVAL_SECONDS, 2 * self.probe_interval
            )
        self.probe_share = share
        self.probe_until = now + max(
            MIN_PROBE_SECONDS, PROBE_RUNS * self.run_seconds
        )
        self.next_probe_at = self.probe_until + self.probe_interval

    def best_share(self) -> float:
        """Return the share of the slots that completes the most work.

        It is 1 if no level is clearly better than those above it.
        """
        best, best_gain = 1.0, 0.0
        above = Level()
        for index in range(LEVELS - 1, 0, -1):
            above.add(self.levels[index])
            if above.served < MIN_SAMPLES:
                continue
            below = Level()
            for level in self.levels[max(0, index - 4) : index]:
                below.add(level)
            if below.served < MIN_SAMPLES:
                continue
            error = sqrt(above.variance() + below.variance())
            gain = below.throughput() - above.throughput()
            if gain > SIGNIFICANCE * error and gain > best_gain:
                best, best_gain = index / LEVELS, gain
        return best
