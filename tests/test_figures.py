"""Tests of the figures of the measurement."""

from collections import Counter

from testtools import TestCase

from experiments.figures import compute_figures
from experiments.figures import recovery_seconds
from experiments.figures import ServerCounts
from experiments.figures import Timeline

TIMELINE = Timeline(before=1.0, trigger=1.0, after=3.0)


def series(*spans: tuple[int, int]) -> list[int]:
    """Return a series of spans, each (number of 100 ms buckets, value)."""
    return [value for length, value in spans for _ in range(length)]


class FiguresTest(TestCase):
    """Guards against figures that hide lost or repeated requests."""

    def results(self, good, **changes) -> dict:
        offered = {"critical": series((50, 2)), "normal": series((50, 8))}
        return {
            "offered": offered,
            "good": good,
            "goodput": good,
            "not_run": [],
            "kinds": {"a": {"wrong": 0}},
            **changes,
        }

    def figures(self, results, targets=None, runs=None) -> dict:
        return compute_figures(
            results,
            ServerCounts(
                targets=targets or {"deep": {}}, runs=Counter(runs or {})
            ),
            timeline=TIMELINE,
            capacity=50.0,
            bottleneck="deep",
        )

    def test_goodput_is_compared_with_the_capacity_of_the_trigger(self):
        good = {"critical": series((50, 2)), "normal": series((50, 2))}
        figures = self.figures(self.results(good))
        self.assertEqual(0.8, figures["goodput_ratio"])
        self.assertEqual(1.0, figures["important_success"])

    def test_refused_critical_requests_lower_the_success(self):
        good = {
            "critical": series((10, 2), (10, 1), (30, 2)),
            "normal": series((50, 8)),
        }
        self.assertEqual(
            0.9, self.figures(self.results(good))["important_success"]
        )

    def test_recovery_counts_to_the_end_of_a_good_second(self):
        good = {
            "critical": series((50, 2)),
            "normal": series((10, 8), (10, 0), (10, 0), (20, 8)),
        }
        # The 5% tolerance of a window is 0.6 of the requests that one bad
        # bucket loses, so the window may not contain a bad bucket.
        self.assertEqual(2.0, recovery_seconds(self.results(good), TIMELINE))

    def test_recovery_is_missing_if_goodput_stays_low(self):
        good = {
            "critical": series((50, 2)),
            "normal": series((10, 8), (40, 4)),
        }
        self.assertIsNone(recovery_seconds(self.results(good), TIMELINE))

    def test_counts_of_the_stand_in_servers(self):
        good = {"critical": series((50, 2)), "normal": series((50, 8))}
        targets = {
            "front": {"root /1": [1, 1], "root /2": [1, 0]},
            "deep": {"a /1": [2, 2], "b /1": [1, 0], "a /2": [1, 0]},
        }
        figures = self.figures(
            self.results(good, not_run=["/1", "/2", "/3"]),
            targets=targets,
            runs={"charge /1": 3, "charge /2": 1, "renew /1": 2},
        )
        self.assertEqual(3, figures["attempts_per_root_max"])
        self.assertEqual(3, figures["duplicates"])
        self.assertEqual(1, figures["false_not_run"])
