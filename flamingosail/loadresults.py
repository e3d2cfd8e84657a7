"""What a load generator has counted."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

__all__ = ["KindResults", "LoadResults", "Outcome", "SERIES_SECONDS"]

SERIES_SECONDS = 0.1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt or a request ended.

    ``result`` is whole, wrong, refused, timeout or error; ``code`` and
    ``verdict`` are those of a refusal, or the class of an error.
    """

    result: str
    code: str = ""
    verdict: str = ""

    @classmethod
    def whole(cls) -> "Outcome":
        """A complete answer to the request."""
        return cls("whole")

    @classmethod
    def wrong(cls) -> "Outcome":
        """An answer that is damaged or belongs to another request."""
        return cls("wrong")

    @classmethod
    def timeout(cls) -> "Outcome":
        """No answer in time."""
        return cls("timeout")

    @classmethod
    def refused(cls, code: str, verdict: str) -> "Outcome":
        """An answer with an error status."""
        return cls("refused", code, verdict)

    @classmethod
    def error(cls, code: str) -> "Outcome":
        """No connection, or one that closed before the answer."""
        return cls("error", code)

    @property
    def final(self) -> bool:
        """Whether a caller that repeats failed requests stops here."""
        return self.result in ("whole", "wrong")


class KindResults:
    """The results of one kind; latency in us from the intended time."""

    def __init__(self):
        self.sent = 0
        self.whole = 0
        self.late = 0
        self.wrong = 0
        self.timeouts = 0
        self.attempts = 0
        self.refused: Counter[tuple[str, str]] = Counter()
        self.errors: Counter[str] = Counter()
        self.latency = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def count(self, outcome: Outcome):
        """Count the end of a request, except for whole answers."""
        if outcome.result == "wrong":
            self.wrong += 1
        elif outcome.result == "timeout":
            self.timeouts += 1
        elif outcome.result == "refused":
            self.refused[outcome.code, outcome.verdict] += 1
        elif outcome.result == "error":
            self.errors[outcome.code] += 1

    def as_dict(self) -> dict:
        """Return plain values."""
        return {
            "sent": self.sent,
            "whole_in_time": self.whole,
            "whole_late": self.late,
            "wrong": self.wrong,
            "timeouts": self.timeouts,
            "attempts": self.attempts,
            "refused": [
                {"code": code, "verdict": verdict, "count": count}
                for (code, verdict), count in sorted(self.refused.items())
            ],
            "errors": dict(self.errors),
            "latency_ms": percentiles(self.latency),
        }


class LoadResults:
    """The results of all kinds, and series with one value per 100 ms.

    ``offered`` and ``good`` are, by importance, the requests and those
    answered whole in time by their intended time; ``goodput`` has the latter
    by the time of the answer. ``latency`` has [count, sum, maximum] in
    seconds of the whole answers by intended time. ``lag`` is a histogram in
    us of the time from the intended to the actual sending; a large one says
    that the generator itself did not keep up.
    """

    def __init__(self, *, kinds: Sequence):
        self.kinds = {kind.name: KindResults() for kind in kinds}
        names = sorted({kind.importance for kind in kinds})
        self.offered: dict[str, list[int]] = {name: [] for name in names}
        self.good: dict[str, list[int]] = {name: [] for name in names}
        self.goodput: dict[str, list[int]] = {name: [] for name in names}
        self.latency: list[list[float]] = []
        self.lag = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def sent(self, kind, intended: float, now: float):
        """Count a request."""
        self.lag.record_value(microseconds(now - intended))
        self.kinds[kind.name].sent += 1
        add_one(self.offered[kind.importance], intended)

    def attempted(self, kind, outcome: Outcome):
        """Count an attempt that has ended."""
        self.kinds[kind.name].attempts += 1

    def ended(self, kind, intended: float, now: float, outcome: Outcome):
        """Count the end of a request; times since the start of the run."""
        found = self.kinds[kind.name]
        found.count(outcome)
        if outcome.result != "whole":
            return
        seconds = max(0.0, now - intended)
        found.latency.record_value(microseconds(seconds))
        if seconds > kind.timeout:
            found.late += 1
            return
        found.whole += 1
        add_one(self.good[kind.importance], intended)
        add_one(self.goodput[kind.importance], now)
        self.note_latency(intended, seconds)

    def note_latency(self, intended: float, seconds: float):
        """Add to the series of latencies."""
        index = int(intended / SERIES_SECONDS)
        while len(self.latency) <= index:
            self.latency.append([0, 0.0, 0.0])
        cell = self.latency[index]
        cell[0] += 1
        cell[1] += seconds
        cell[2] = max(cell[2], seconds)

    def as_dict(self) -> dict:
        """Return plain values."""
        return {
            "kinds": {name: k.as_dict() for name, k in self.kinds.items()},
            "series_seconds": SERIES_SECONDS,
            "offered": self.offered,
            "good": self.good,
            "goodput": self.goodput,
            "latency": self.latency,
            "send_lag_ms": percentiles(self.lag),
        }


def microseconds(seconds: float) -> int:
    """Return a time within the range of the histograms."""
    return min(MAX_LATENCY_US, max(1, round(seconds * 1e6)))


def percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return percentiles of a histogram of microseconds, in ms."""
    return {
        f"p{percentile:g}": round(
            histogram.get_value_at_percentile(percentile) / 1000, 3
        )
        for percentile in PERCENTILES
    }


def add_one(series: list[int], at: float):
    """Count one at a time since the start of the run."""
    index = int(at / SERIES_SECONDS)
    if len(series) <= index:
        series.extend([0] * (index + 1 - len(series)))
    series[index] += 1
