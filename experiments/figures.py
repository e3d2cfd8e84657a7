"""Figures of one scenario, from the load generator and the servers."""

from collections import Counter
from dataclasses import dataclass

__all__ = ["ServerCounts", "Timeline", "compute_figures", "recovery_seconds"]

# Left out of the share before the trigger: connections open in this time.
WARM_UP_SECONDS = 0.5
RECOVERY_WINDOW_SECONDS = 1.0
RECOVERY_TOLERANCE = 0.05


@dataclass(frozen=True, slots=True)
class Timeline:
    """Seconds before, during and after the trigger."""

    before: float
    trigger: float
    after: float

    @property
    def trigger_end(self) -> float:
        """End of the trigger in seconds since the start of the load."""
        return self.before + self.trigger

    @property
    def end(self) -> float:
        """End of the load in seconds since its start."""
        return self.before + self.trigger + self.after


@dataclass(frozen=True, slots=True)
class ServerCounts:
    """Request counts of the stand-in servers, summed over the servers.

    ``targets`` maps a service to the number of arrived and of started
    requests by "kind target". ``runs`` counts the runs of non-idempotent
    requests by "kind target".
    """

    targets: dict[str, dict[str, list[int]]]
    runs: Counter

    def attempts_per_root(self, service: str) -> int:
        """Return the most requests of one root request at a service."""
        arrived: Counter[str] = Counter()
        for name, (arrivals, _) in self.targets[service].items():
            arrived[name.partition(" ")[2]] += arrivals
        return max(arrived.values(), default=0)

    def started(self) -> set[str]:
        """Return the targets that any service has started to run."""
        return {
            name.partition(" ")[2]
            for by_target in self.targets.values()
            for name, (_, starts) in by_target.items()
            if starts
        }

    def duplicates(self) -> int:
        """Return the number of repeated runs of non-idempotent requests."""
        return sum(count - 1 for count in self.runs.values() if count > 1)


def sum_between(series: dict[str, list[int]], begin: float, end: float) -> int:
    """Return the sum of all series between two times in seconds."""
    first, last = round(begin * 10), round(end * 10)  # Buckets of 100 ms.
    return sum(sum(values[first:last]) for values in series.values())


def recovery_seconds(results: dict, timeline: Timeline) -> float | None:
    """Return the seconds from the end of the trigger to recovery.

    Recovery is the end of the first window of one second whose share of
    successful requests is within 5% of the share before the trigger, so that
    1.0 is the least; None means that there is none. Shares of the offered
    requests are compared because the number of arrivals varies by chance.
    """
    offered, good = results["offered"], results["good"]
    span = (WARM_UP_SECONDS, timeline.before)
    share_before = sum_between(good, *span) / max(
        1, sum_between(offered, *span)
    )
    required = share_before * (1 - RECOVERY_TOLERANCE)
    begin = timeline.trigger_end
    while begin + RECOVERY_WINDOW_SECONDS <= timeline.end + 1e-9:
        end = begin + RECOVERY_WINDOW_SECONDS
        sent = sum_between(offered, begin, end)
        if sent and sum_between(good, begin, end) / sent >= required:
            return round(end - timeline.trigger_end, 1)
        begin += 0.1
    return None


def compute_figures(
    results: dict,
    counts: ServerCounts,
    *,
    timeline: Timeline,
    capacity: float,
    bottleneck: str,
) -> dict:
    """Return the figures; ``capacity`` is in requests/s during the trigger."""
    span = (timeline.before, timeline.trigger_end)
    offered = sum_between(results["offered"], *span)
    completed = sum_between(results["goodput"], *span)
    achievable = min(capacity * timeline.trigger, offered)
    critical_offered = {"critical": results["offered"]["critical"]}
    critical_good = {"critical": results["good"]["critical"]}
    kinds = results["kinds"].values()
    started = counts.started()
    return {
        "goodput_ratio": round(completed / achievable, 4),
        "important_success": round(
            sum_between(critical_good, 0, timeline.end)
            / sum_between(critical_offered, 0, timeline.end),
            4,
        ),
        "recovery_seconds": recovery_seconds(results, timeline),
        "attempts_per_root_max": counts.attempts_per_root(bottleneck),
        "duplicates": counts.duplicates(),
        "false_not_run": sum(
            target in started for target in results["not_run"]
        ),
        "wrong_answers": sum(kind["wrong"] for kind in kinds),
    }
