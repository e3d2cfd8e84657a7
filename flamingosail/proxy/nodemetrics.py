"""Counters and latency histograms of a node, in text exposition format."""

from prometheus_client import CollectorRegistry
from prometheus_client import Histogram
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.exposition import generate_latest

__all__ = ["NodeMetrics"]

PREFIX = "flamingosail_"
LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0)


class NodeMetrics:
    """Counters by name and label, gauges, and latency histograms.

    ``gauges`` maps a name to a function that is called at each collection.
    ``count`` costs a dictionary increment, ``observe_*`` about 3 us.
    """

    def __init__(self):
        self.counters: dict[tuple[str, str], int] = {}
        self.gauges = {}
        self.registry = CollectorRegistry()
        self.registry.register(self)
        self.request_seconds = Histogram(
            PREFIX + "request_seconds",
            "Seconds from the arrival of a client's request to its answer.",
            ["result"],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.server_seconds = Histogram(
            PREFIX + "server_seconds",
            "Seconds that the backend server took for a request.",
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.results: dict[str, Histogram] = {}

    def count(self, name: str, label: str = ""):
        """Increment a counter."""
        key = (name, label)
        self.counters[key] = self.counters.get(key, 0) + 1

    def observe_request(self, result: str, seconds: float):
        """Observe the latency of a client's request, by its result."""
        histogram = self.results.get(result)
        if histogram is None:
            histogram = self.request_seconds.labels(result)
            self.results[result] = histogram
        histogram.observe(seconds)

    def observe_server(self, seconds: float):
        """Observe the time of a request at the backend server."""
        self.server_seconds.observe(seconds)

    def collect(self):
        """Yield the counters and gauges; the registry calls this."""
        families = {}
        for (name, label), value in sorted(self.counters.items()):
            family = families.get(name)
            if family is None:
                family = families[name] = CounterMetricFamily(
                    PREFIX + name, name.replace("_", " "), labels=["kind"]
                )
            family.add_metric([label], value)
        yield from families.values()
        for name, read in self.gauges.items():
            yield GaugeMetricFamily(
                PREFIX + name, name.replace("_", " "), value=read()
            )

    def text(self) -> bytes:
        """Return all metrics in the text exposition format."""
        return generate_latest(self.registry)
