"""Counters, histograms and time series of a load run."""

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

    ``result`` is whole, wrong, refused, timeout or error; whole means a
    complete response that passed the check. ``code`` and ``verdict`` are
    those of a refusal; for an error, ``code`` is the name of its class.
    """

    result: str
    code: str = ""
    verdict: str = ""

    @classmethod
    def whole(cls) -> "Outcome":
        """A complete response to the request."""
        return cls("whole")

    @classmethod
    def wrong(cls) -> "Outcome":
        """A damaged response, or one to another request."""
        return cls("wrong")

    @classmethod
    def timeout(cls) -> "Outcome":
        """No response before the timeout."""
        return cls("timeout")

    @classmethod
    def refused(cls, code: str, verdict: str) -> "Outcome":
        """A response with an error status."""
        return cls("refused", code, verdict)

    @classmethod
    def error(cls, code: str) -> "Outcome":
        """No connection, or one that closed before the response."""
        return cls("error", code)

    @property
    def final(self) -> bool:
        """Whether the request is not retried after this outcome."""
        return self.result in ("whole", "wrong")


class KindResults:
    """Results of one kind; latency is in us from the intended time."""

    def __init__(self):
        self.sent = 0
        self.whole_in_time = 0
        self.whole_late = 0
        self.wrong = 0
        self.timeouts = 0
        self.attempts = 0
        self.refused: Counter[tuple[str, str]] = Counter()
        self.errors: Counter[str] = Counter()
        self.latency = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def record_failure(self, outcome: Outcome):
        """Count a request that ended without a complete response."""
        if outcome.result == "wrong":
            self.wrong += 1
        elif outcome.result == "timeout":
            self.timeouts += 1
        elif outcome.result == "refused":
            self.refused[outcome.code, outcome.verdict] += 1
        elif outcome.result == "error":
            self.errors[outcome.code] += 1

    def as_dict(self) -> dict:
        """Return the results as JSON-serializable values."""
        return {
            "sent": self.sent,
            "whole_in_time": self.whole_in_time,
            "whole_late": self.whole_late,
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
    """Results of all kinds, and time series with one value per 100 ms.

    ``offered`` counts the requests and ``good`` the successful ones (complete
    response before the timeout), both by importance and intended time;
    ``goodput`` counts the successful ones by the time of their response.
    ``latency`` has [count, sum, maximum] in seconds of the successful ones by
    intended time. ``send_lag`` is a histogram in us of the delay from the
    intended to the actual send time; large values mean that the generator
    itself did not keep up.
    """

    def __init__(self, *, kinds: Sequence):
        self.kinds = {kind.name: KindResults() for kind in kinds}
        names = sorted({kind.importance for kind in kinds})
        self.offered: dict[str, list[int]] = {name: [] for name in names}
        self.good: dict[str, list[int]] = {name: [] for name in names}
        self.goodput: dict[str, list[int]] = {name: [] for name in names}
        self.latency: list[list[float]] = []
        self.send_lag = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def record_sent(self, kind, intended: float, now: float):
        """Count a request that is sent at ``now``."""
        self.send_lag.record_value(microseconds(now - intended))
        self.kinds[kind.name].sent += 1
        add_one(self.offered[kind.importance], intended)

    def record_attempt(self, kind, outcome: Outcome):
        """Count an attempt that has ended."""
        self.kinds[kind.name].attempts += 1

    def record_end(self, kind, intended: float, now: float, outcome: Outcome):
        """Count the end of a request; times since the start of the run."""
        kind_results = self.kinds[kind.name]
        kind_results.record_failure(outcome)
        if outcome.result != "whole":
            return
        seconds = max(0.0, now - intended)
        kind_results.latency.record_value(microseconds(seconds))
        if seconds > kind.timeout:
            kind_results.whole_late += 1
            return
        kind_results.whole_in_time += 1
        add_one(self.good[kind.importance], intended)
        add_one(self.goodput[kind.importance], now)
        self.record_latency(intended, seconds)

    def record_latency(self, intended: float, seconds: float):
        """Add a latency to the time series."""
        index = int(intended / SERIES_SECONDS)
        while len(self.latency) <= index:
            self.latency.append([0, 0.0, 0.0])
        entry = self.latency[index]
        entry[0] += 1
        entry[1] += seconds
        entry[2] = max(entry[2], seconds)

    def as_dict(self) -> dict:
        """Return the results as JSON-serializable values."""
        return {
            "kinds": {name: k.as_dict() for name, k in self.kinds.items()},
            "series_seconds": SERIES_SECONDS,
            "offered": self.offered,
            "good": self.good,
            "goodput": self.goodput,
            "latency": self.latency,
            "send_lag_ms": percentiles(self.send_lag),
        }


def microseconds(seconds: float) -> int:
    """Return a time in us, clamped to the range of the histograms."""
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
    """Add one to a series at a time since the start of the run."""
    index = int(at / SERIES_SECONDS)
    if len(series) <= index:
        series.extend([0] * (index + 1 - len(series)))
    series[index] += 1
