"""Figures of one scenario, from the generator and the stand-ins."""

from collections import Counter
from dataclasses import dataclass

__all__ = ["Records", "Timeline", "figures_of", "recovery_seconds"]

# Connections are opened in this time.
WARM_UP_SECONDS = 0.5
RECOVERY_WINDOW_SECONDS = 1.0
RECOVERY_TOLERANCE = 0.05


@dataclass(frozen=True, slots=True)
class Timeline:
    """Lengths of the phases in seconds."""

    before: float
    trigger: float
    after: float

    @property
    def trigger_end(self) -> float:
        """When the trigger ends."""
        return self.before + self.trigger

    @property
    def end(self) -> float:
        """When the load ends."""
        return self.before + self.trigger + self.after


@dataclass(frozen=True, slots=True)
class Records:
    """What the stand-ins recorded, summed over the servers.

    ``targets`` holds by service the arrived and started requests of
    "kind target"; ``runs`` the runs of "kind target" that are not
    idempotent.
    """

    targets: dict[str, dict[str, list[int]]]
    runs: Counter

    def attempts_per_root(self, service: str) -> int:
        """Return the most requests of one root that arrived at a service."""
        arrived: Counter[str] = Counter()
        for name, (arrivals, _) in self.targets[service].items():
            arrived[name.partition(" ")[2]] += arrivals
        return max(arrived.values(), default=0)

    def started(self) -> set[str]:
        """Return the targets that were started at any service."""
        return {
            name.partition(" ")[2]
            for found in self.targets.values()
            for name, (_, starts) in found.items()
            if starts
        }

    def duplicates(self) -> int:
        """Return the runs beyond one."""
        return sum(count - 1 for count in self.runs.values() if count > 1)


def total(series: dict[str, list[int]], begin: float, end: float) -> int:
    """Return the sum of all series over a span of time in seconds."""
    first, last = round(begin * 10), round(end * 10)
    return sum(sum(values[first:last]) for values in series.values())


def recovery_seconds(results: dict, timeline: Timeline) -> float | None:
    """Return the seconds from the end of the trigger to recovery.

    Recovered is whoever has answered, of the requests of one second, a share
    within 5% of the share before the trigger; the time counts to the end of
    that second, so that 1.0 is the least. Shares of the offered requests are
    compared since the number of arrivals varies by chance.
    """
    offered, good = results["offered"], results["good"]
    span = (WARM_UP_SECONDS, timeline.before)
    before = total(good, *span) / max(1, total(offered, *span))
    needed = before * (1 - RECOVERY_TOLERANCE)
    begin = timeline.trigger_end
    while begin + RECOVERY_WINDOW_SECONDS <= timeline.end + 1e-9:
        end = begin + RECOVERY_WINDOW_SECONDS
        sent = total(offered, begin, end)
        if sent and total(good, begin, end) / sent >= needed:
            return round(end - timeline.trigger_end, 1)
        begin += 0.1
    return None


def figures_of(
    results: dict,
    records: Records,
    *,
    timeline: Timeline,
    capacity: float,
    bottleneck: str,
) -> dict:
    """Return the figures; ``capacity`` is that during the trigger, per s."""
    span = (timeline.before, timeline.trigger_end)
    offered = total(results["offered"], *span)
    whole = total(results["goodput"], *span)
    allowed = min(capacity * timeline.trigger, offered)
    important = {"critical": results["offered"]["critical"]}
    answered = {"critical": results["good"]["critical"]}
    kinds = results["kinds"].values()
    started = records.started()
    return {
        "goodput_ratio": round(whole / allowed, 4),
        "important_success": round(
            total(answered, 0, timeline.end)
            / total(important, 0, timeline.end),
            4,
        ),
        "recovery_seconds": recovery_seconds(results, timeline),
        "attempts_per_root_max": records.attempts_per_root(bottleneck),
        "duplicates": records.duplicates(),
        "false_not_run": sum(
            target in started for target in results["not_run"]
        ),
        "wrong_answers": sum(found["wrong"] for found in kinds),
    }
