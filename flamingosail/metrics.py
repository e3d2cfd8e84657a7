"""Counters and timings, sent to a statsd server once a second.

Counting costs a call one dictionary increment per metric; formatting and
sending are done once per batch. ``METRICS`` describes every name.
"""

from collections.abc import Callable
from random import Random

from logbook import Logger
from statsd import StatsClient
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from flamingosail.kernel import Service
from flamingosail.settings import MetricsSettings

__all__ = ["METRICS", "Metrics", "open_client"]

ROOTS_ENTERED = "roots.entered"
ROOTS_ANSWERED = "roots.answered"
ROOTS_REFUSED = "roots.refused"
CALLS_REFUSED_EARLY = "calls.refused_early"
CALLS_SENT = "calls.sent"
CALLS_RETRIED = "calls.retried"
CALLS_SERVED = "calls.served"
CALLS_REFUSED = "calls.refused"
CALLS_EXPIRED = "calls.expired"
CALLS_DUPLICATE = "calls.duplicate"
ANSWERS_LATE = "answers.late"
ANSWERS_BAD = "answers.bad"
SENDS_FAILED = "sends.failed"
KEYS_ISSUED = "keys.issued"
MEMBERS_SUSPECTED = "members.suspected"
ROOT_TIME = "roots.time"

METRICS = {
    ROOTS_ENTERED: "requests of callers that entered at this node",
    ROOTS_ANSWERED: "of these, answered by a backend server",
    ROOTS_REFUSED: "of these, ended by a refusal",
    CALLS_REFUSED_EARLY: "calls refused unsent, because of learned pressure",
    CALLS_SENT: "attempts sent to a server's node",
    CALLS_RETRIED: "of these, attempts beyond the first of a call",
    CALLS_SERVED: "calls answered by this node's backend server",
    CALLS_REFUSED: "calls refused at this node before dispatch",
    CALLS_EXPIRED: "calls dropped from the queue after their deadline",
    CALLS_DUPLICATE: "calls dropped because their id was seen before",
    ANSWERS_LATE: "answers dropped because their call was closed",
    ANSWERS_BAD: "answers dropped because of a wrong digest or form",
    SENDS_FAILED: "messages that the transport did not accept",
    KEYS_ISSUED: "idempotency keys issued",
    MEMBERS_SUSPECTED: "members that this node suspected first",
    ROOT_TIME: "ms from the arrival of a caller's request to its answer",
}

SEND_INTERVAL_SECONDS = 1.0
# On average one of this many timings is kept; the others cost an increment.
TIMING_SAMPLE_INTERVAL = 16
# Bounds the datagrams of one batch under a high call rate.
MAX_SAMPLES_PER_INTERVAL = 64


def open_client(settings: MetricsSettings) -> StatsClient | None:
    """Return a client of the statsd server, None if none is configured."""
    host = settings.statsd_host
    if host is None:
        return None
    return StatsClient(
        host=host,
        port=settings.statsd_port,
        prefix=settings.prefix or None,
        ipv6=":" in host,
    )


class Metrics(Service):
    """Counts events and samples times.

    Without a client, the totals are still kept for the dump. Metric names
    are the constants of this module.
    """

    name = "metrics"

    def __init__(
        self,
        *,
        clock: IReactorTime,
        random: Random,
        client: StatsClient | None = None,
    ):
        self.random = random
        self.client = client
        self.log = Logger("metrics")
        self.counts = dict.fromkeys(METRICS, 0)
        self.sent_totals = dict(self.counts)
        self.counter_readers: dict[str, Callable[[], int]] = {}
        self.timings_until_sample = dict.fromkeys(METRICS, 1)
        self.samples: dict[str, list[float]] = {name: [] for name in METRICS}
        self.loop = LoopingCall(self.flush)
        self.loop.clock = clock

    def count(self, name: str, amount: int = 1):
        """Add to a counter."""
        self.counts[name] += amount

    def register_counter(self, name: str, read: Callable[[], int]):
        """Register a function that returns the total of a counter."""
        self.counter_readers[name] = read

    def timing(self, name: str, seconds: float):
        """Count a timing and sample about one in 16 of them."""
        self.counts[name] += 1
        self.timings_until_sample[name] -= 1
        if self.timings_until_sample[name] <= 0:
            self._keep_sample(name, seconds)

    def _keep_sample(self, name: str, seconds: float):
        # A random interval avoids always sampling the same call of a
        # periodic pattern.
        self.timings_until_sample[name] = self.random.randint(
            1, 2 * TIMING_SAMPLE_INTERVAL - 1
        )
        values = self.samples[name]
        if len(values) < MAX_SAMPLES_PER_INTERVAL:
            values.append(seconds * 1000)

    def start(self):
        """Send a batch every second if there is a client."""
        if self.client is not None:
            self.loop.start(SEND_INTERVAL_SECONDS, now=False)

    def stop(self):
        """Send the last batch and close the socket."""
        if self.loop.running:
            self.loop.stop()
        if self.client is not None:
            self.flush()
            self.client.close()
            self.client = None

    def flush(self):
        """Send the increases and samples since the last batch."""
        try:
            with self.client.pipeline() as batch:
                self._add_counts(batch)
                self._add_samples(batch)
        except Exception:
            # An exception would end the LoopingCall and all later batches.
            self.log.exception("metrics not sent")

    def _read_registered_counters(self):
        for name, read in self.counter_readers.items():
            self.counts[name] = read()

    def _add_counts(self, batch):
        self._read_registered_counters()
        for name, total in self.counts.items():
            if total != self.sent_totals[name]:
                batch.incr(f"{name}.count", total - self.sent_totals[name])
                self.sent_totals[name] = total

    def _add_samples(self, batch):
        for name, values in self.samples.items():
            for milliseconds in values:
                batch.timing(name, milliseconds)
            values.clear()

    def dump(self) -> dict:
        """Return the totals since the start, by metric name."""
        self._read_registered_counters()
        return {"sending": self.client is not None, "totals": self.counts}
