"""Tests of the metrics."""

import socket
from random import Random

from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail import metrics
from flamingosail.metrics import METRICS
from flamingosail.metrics import Metrics
from flamingosail.metrics import open_client
from flamingosail.settings import MetricsSettings


class MetricsTest(TestCase):
    """Guards against lost counts and batches that grow with the load."""

    def setUp(self):
        super().setUp()
        self.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.server.close)
        self.server.bind(("127.0.0.1", 0))
        self.server.settimeout(5)
        self.clock = Clock()

    def build(self) -> Metrics:
        settings = MetricsSettings(
            statsd_host="127.0.0.1",
            statsd_port=self.server.getsockname()[1],
            prefix="fs",
        )
        built = Metrics(
            clock=self.clock, random=Random(7), client=open_client(settings)
        )
        built.start()
        self.addCleanup(built.stop)
        return built

    def received(self) -> list[str]:
        return self.server.recv(65536).decode().splitlines()

    def test_sends_the_increase_of_each_second(self):
        built = self.build()
        built.count(metrics.CALLS_SENT)
        built.count(metrics.CALLS_SENT, 2)
        self.clock.advance(1)
        self.assertEqual(["fs.calls.sent.count:3|c"], self.received())
        self.clock.advance(1)
        built.count(metrics.CALLS_SENT)
        self.clock.advance(1)
        self.assertEqual(["fs.calls.sent.count:1|c"], self.received())

    def test_stop_sends_the_last_batch(self):
        built = self.build()
        built.timing(metrics.ROOT_TIME, 0.25)
        built.stop()
        self.assertEqual(
            ["fs.roots.time.count:1|c", "fs.roots.time:250.000000|ms"],
            self.received(),
        )

    def test_samples_timings_and_counts_all(self):
        built = self.build()
        for _ in range(800):
            built.timing(metrics.ROOT_TIME, 0.001)
        self.assertEqual(800, built.dump()["totals"][metrics.ROOT_TIME])
        sampled = len(built.samples[metrics.ROOT_TIME])
        self.assertTrue(
            25 <= sampled <= metrics.MAX_SAMPLES_PER_INTERVAL, sampled
        )
        for _ in range(100_000):
            built.timing(metrics.ROOT_TIME, 0.001)
        self.assertEqual(
            metrics.MAX_SAMPLES_PER_INTERVAL,
            len(built.samples[metrics.ROOT_TIME]),
        )

    def test_counts_without_a_statsd_server(self):
        self.assertIsNone(open_client(MetricsSettings()))
        built = Metrics(clock=self.clock, random=Random(7))
        built.start()
        built.count(metrics.KEYS_ISSUED)
        self.clock.advance(5)
        built.stop()
        dump = built.dump()
        self.assertFalse(dump["sending"])
        self.assertEqual(1, dump["totals"][metrics.KEYS_ISSUED])

    def test_an_error_in_a_batch_does_not_prevent_later_ones(self):
        built = self.build()
        pipeline = built.client.pipeline
        built.client.pipeline = lambda: 1 / 0
        built.count(metrics.KEYS_ISSUED)
        self.clock.advance(1)
        built.client.pipeline = pipeline
        self.clock.advance(1)
        self.assertEqual(["fs.keys.issued.count:1|c"], self.received())

    def test_every_constant_is_described(self):
        names = {
            value
            for name, value in vars(metrics).items()
            if name.isupper() and isinstance(value, str)
        }
        self.assertEqual(set(METRICS), names)
