"""Counters and timings, sent to a statsd server once a second.

A call costs a dictionary increment per metric; formatting and sending
happen in the batch. ``METRICS`` describes every name.
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
# One of this many timings is kept, so that most cost one increment.
TIMING_SAMPLE_INTERVAL = 16
# Bounds the datagrams of one batch when calls are fast and many.
MAX_SAMPLES_PER_INTERVAL = 64


def open_client(settings: MetricsSettings) -> StatsClient | None:
    """Return a client for the configured server, None without one."""
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

    Without a client the totals are still kept for the dump. The names are
    the constants of this module.
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
        self.sent = dict(self.counts)
        self.sources: dict[str, Callable[[], int]] = {}
        self.until_sample = dict.fromkeys(METRICS, 1)
        self.samples: dict[str, list[float]] = {name: [] for name in METRICS}
        self.loop = LoopingCall(self.flush)
        self.loop.clock = clock

    def count(self, name: str, amount: int = 1):
        """Add to a counter."""
        self.counts[name] += amount

    def follow(self, name: str, read: Callable[[], int]):
        """Take the total of a counter that a service keeps itself."""
        self.sources[name] = read

    def timing(self, name: str, seconds: float):
        """Count a timing and keep about one in 16 of them."""
        self.counts[name] += 1
        self.until_sample[name] -= 1
        if self.until_sample[name] <= 0:
            self._sample(name, seconds)

    def _sample(self, name: str, seconds: float):
        # A random distance avoids always hitting the same call of a
        # repeating pattern.
        self.until_sample[name] = self.random.randint(
            1, 2 * TIMING_SAMPLE_INTERVAL - 1
        )
        kept = self.samples[name]
        if len(kept) < MAX_SAMPLES_PER_INTERVAL:
            kept.append(seconds * 1000)

    def start(self):
        """Send a batch every second from now on, if configured."""
        if self.client is not None:
            self.loop.start(SEND_INTERVAL_SECONDS, now=False)

    def stop(self):
        """Send what is left and close the socket."""
        if self.loop.running:
            self.loop.stop()
        if self.client is not None:
            self.flush()
            self.client.close()
            self.client = None

    def flush(self):
        """Send what changed since the last batch."""
        try:
            with self.client.pipeline() as batch:
                self._add_counts(batch)
                self._add_samples(batch)
        except Exception:
            # A LoopingCall would end; metrics must not stop for good.
            self.log.exception("metrics not sent")

    def _read_sources(self):
        for name, read in self.sources.items():
            self.counts[name] = read()

    def _add_counts(self, batch):
        self._read_sources()
        for name, total in self.counts.items():
            if total != self.sent[name]:
                batch.incr(f"{name}.count", total - self.sent[name])
                self.sent[name] = total

    def _add_samples(self, batch):
        for name, kept in self.samples.items():
            for milliseconds in kept:
                batch.timing(name, milliseconds)
            kept.clear()

    def dump(self) -> dict:
        """Return the totals since the start by name."""
        self._read_sources()
        return {"sending": self.client is not None, "totals": self.counts}
