"""Tests of ManifestService: log polling, peers and retention copies."""

from random import Random

from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.identity import Incarnation
from flamingosail.manifest import parse_manifest
from flamingosail.manifesthistory import encode_record
from flamingosail.manifesthistory import Publication
from flamingosail.manifesthistory import RetentionCopy
from flamingosail.manifestservice import MANIFEST_STREAM
from flamingosail.manifestservice import ManifestService
from flamingosail.messages import ManifestCopy
from flamingosail.messages import ManifestPull
from flamingosail.transport import LoopbackNetwork
from standins.memorylog import MemoryLog

BODY = b'{"services": {}, "kinds": {}}'
RETENTION = 800.0
DELAY = 0.001


class ServiceTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.log = MemoryLog(clock=self.clock, retention=RETENTION)
        self.lost = set()
        self.sent = []
        self.network = LoopbackNetwork(clock=self.clock, delay=self.delay)
        self.readers = set()
        self.services = {}

    def delay(self, source, address, message):
        self.sent.append((source, address, message))
        return None if address in self.lost else DELAY

    def add_node(self, name, *, neighbours=(), reader=True, log=None):
        if reader:
            self.readers.add(name)
        service = ManifestService(
            clock=self.clock,
            random=Random(name),
            log=log or self.log,
            transport=self.network.attach(name),
            incarnation=Incarnation(node=name, nonce="1"),
            neighbours=lambda: neighbours,
            is_reader=lambda: name in self.readers,
            retention=RETENTION,
        )
        self.services[name] = service
        self.addCleanup(service.stop)
        return service

    def publish(self, base, name="p", body=BODY):
        record = Publication(publication_id=name, base=base, body=body)
        return self.log._store(MANIFEST_STREAM, encode_record(record))

    def advance(self, seconds, step=0.05):
        for _ in range(round(seconds / step)):
            self.clock.advance(step)

    def count_copies(self):
        page = self.log.page(MANIFEST_STREAM, 0, 10_000)
        return sum(b"as_of" in record.data for record in page.records)


class LogReadingTest(ServiceTestCase):
    """Guards against new versions in force late and against reverting."""

    def test_a_reader_polls_every_500_ms_and_notifies_listeners(self):
        service = self.add_node("a")
        seen = []
        service.listeners.append(seen.append)
        service.start()
        self.assertIsNone(service.current)
        self.publish(-1)
        self.advance(0.6)
        self.assertEqual(0, service.current.version)
        self.assertEqual([service.current], seen)
        self.publish(0)
        self.advance(0.6)
        self.assertEqual([0, 1], [manifest.version for manifest in seen])

    def test_other_nodes_poll_every_10_s_until_they_are_readers(self):
        service = self.add_node("a", reader=False)
        service.start()
        self.publish(-1)
        self.advance(9)
        self.assertIsNone(service.current)
        self.assertEqual(1, self.log.reads)
        self.advance(1.5)
        self.assertEqual(0, service.current.version)
        self.publish(0)
        self.readers.add("a")
        self.advance(0.6)
        self.assertEqual(1, service.current.version)

    def test_reads_many_pages_without_waiting(self):
        for base in range(-1, 49):
            self.publish(base)
        service = self.add_node("a")
        service.start()
        self.advance(0.3)
        self.assertEqual(49, service.current.version)

    def test_adopts_only_higher_versions(self):
        service = self.add_node("a")
        self.assertTrue(service.adopt(parse_manifest(BODY, version=5)))
        self.assertFalse(service.adopt(parse_manifest(BODY, version=5)))
        self.assertFalse(service.adopt(parse_manifest(BODY, version=4)))
        self.publish(-1)
        service.start()
        self.advance(1)
        self.assertEqual(5, service.current.version)

    def test_a_failing_listener_does_not_stop_the_others(self):
        service = self.add_node("a")
        seen = []
        service.listeners.append(lambda manifest: 1 / 0)
        service.listeners.append(seen.append)
        service.start()
        self.publish(-1)
        self.advance(0.6)
        self.publish(0)
        self.advance(0.6)
        self.assertEqual([0, 1], [manifest.version for manifest in seen])


class LogFaultTest(ServiceTestCase):
    """Guards against losing or reverting a manifest in a log outage."""

    def test_keeps_the_manifest_while_the_log_is_down(self):
        service = self.add_node("a")
        service.start()
        self.publish(-1)
        self.advance(1)
        self.log.down = True
        self.publish(0)
        self.advance(100)
        self.assertEqual(0, service.current.version)
        self.assertEqual("log is down", service.dump()["log_error"])
        self.log.down = False
        self.advance(0.6)
        self.assertEqual(1, service.current.version)
        self.assertEqual("", service.dump()["log_error"])

    def test_reads_a_slow_log_one_read_at_a_time(self):
        self.log.delay = 4.0
        service = self.add_node("a")
        service.start()
        self.publish(-1)
        self.advance(9)
        self.assertEqual(0, service.current.version)
        self.assertLessEqual(self.log.reads, 3)

    def test_times_out_reads_without_a_response(self):
        self.log.delay = 1000.0
        service = self.add_node("a")
        service.start()
        self.advance(3)
        self.log.delay = 0.0
        self.publish(-1)
        self.advance(3)
        self.assertEqual(0, service.current.version)
        self.publish(0)
        self.advance(1000, step=0.5)
        self.assertEqual(1, service.current.version)

    def test_ignores_a_page_older_than_the_version_in_force(self):
        self.publish(-1)
        self.log.delay = 2.0
        service = self.add_node("a")
        service.start()
        service.adopt(parse_manifest(BODY, version=7))
        self.advance(4)
        self.assertEqual(7, service.current.version)

    def test_stop_cancels_reads_and_polling(self):
        self.log.delay = 1.0
        service = self.add_node("a")
        service.start()
        service.on_newer_manifest(4, "nowhere")
        service.stop()
        self.advance(5)
        self.assertEqual(1, self.log.reads)


class PeerTest(ServiceTestCase):
    """Guards against missing a manifest on nodes cut off from the log."""

    def test_a_new_version_spreads_to_neighbours(self):
        down = MemoryLog(clock=self.clock)
        down.down = True
        names = ["a", "b", "c", "d"]
        for name in names:
            neighbours = [other for other in names if other != name]
            log = self.log if name == "a" else down
            self.add_node(name, neighbours=neighbours, log=log).start()
        self.publish(-1)
        self.advance(0.6, step=DELAY)
        for name in names:
            self.assertEqual(0, self.services[name].current.version)
        bodies = [
            address
            for _, address, message in self.sent
            if isinstance(message, ManifestCopy)
        ]
        self.assertEqual(["b", "c", "d"], sorted(bodies))

    def test_pulls_from_another_peer_if_the_first_is_silent(self):
        first = self.add_node("a")
        self.add_node("b").adopt(parse_manifest(BODY, version=3))
        self.network.attach("silent")
        first.on_newer_manifest(9, "silent")
        first.on_newer_manifest(3, "b")
        self.advance(0.4)
        self.assertIsNone(first.current)
        self.advance(0.3)
        self.assertEqual(3, first.current.version)

    def test_pulls_from_the_next_peer_at_once_if_one_is_unreachable(self):
        first = self.add_node("a")
        self.add_node("b").adopt(parse_manifest(BODY, version=3))
        first.on_newer_manifest(9, "nowhere")
        first.on_newer_manifest(3, "b")
        self.advance(0.1)
        self.assertEqual(3, first.current.version)

    def test_ignores_lower_versions_and_invalid_bodies(self):
        service = self.add_node("a")
        service.adopt(parse_manifest(BODY, version=3))
        peer = self.network.attach("b")
        for version, body in ((2, BODY), (3, BODY), (4, b"{}")):
            peer.send(
                "a", ManifestCopy(sender="b~1", version=version, body=body)
            )
        service.on_newer_manifest(2, "b")
        self.advance(0.1)
        self.assertEqual(3, service.current.version)
        self.assertEqual(1, service.dump()["invalid_copies_from_peers"])
        pulls = [m for _, _, m in self.sent if isinstance(m, ManifestPull)]
        self.assertEqual([], pulls)

    def test_continues_a_trimmed_log_from_a_peer_manifest(self):
        self.publish(-1)
        self.publish(0)
        self.log.trim(MANIFEST_STREAM, 1)
        service = self.add_node("a")
        service.start()
        self.advance(1)
        self.assertIsNone(service.current)
        self.assertIsNone(service.dump()["accepted_in_log"])
        service.adopt(parse_manifest(BODY, version=0))
        self.advance(1)
        self.assertEqual(1, service.current.version)


class RetentionTest(ServiceTestCase):
    """Guards against losing the manifest when its record is trimmed."""

    def test_many_nodes_write_one_copy_per_half_retention_time(self):
        self.publish(-1)
        for number in range(20):
            self.add_node(f"n{number}", reader=number < 2).start()
            self.advance(0.5, step=0.5)
        self.advance(RETENTION / 2 - 20, step=0.5)
        self.assertEqual(0, self.count_copies())
        self.advance(RETENTION / 8 + 20, step=0.5)
        self.assertEqual(1, self.count_copies())

    def test_a_new_reader_finds_the_manifest_long_after(self):
        self.publish(-1)
        self.add_node("a").start()
        self.advance(5 * RETENTION, step=0.5)
        page = self.log.page(MANIFEST_STREAM, 0, 1)
        self.assertGreater(page.first, 0)
        late = self.add_node("b")
        late.start()
        self.advance(1)
        self.assertEqual(0, late.current.version)

    def test_tries_again_if_the_log_is_down_when_a_copy_is_due(self):
        self.publish(-1)
        self.add_node("a").start()
        self.advance(1)
        self.log.down = True
        self.advance(RETENTION * 5 / 8, step=0.5)
        self.log.down = False
        self.advance(1)
        self.assertEqual(1, self.count_copies())

    def test_writes_no_copy_while_the_version_is_unknown(self):
        self.publish(-1)
        self.publish(0)
        self.log.trim(MANIFEST_STREAM, 1)
        service = self.add_node("a")
        service.start()
        self.advance(RETENTION, step=0.5)
        self.assertEqual(0, service.copies_written)
        self.assertEqual(0, self.log.appends)

    def test_a_stale_copy_does_not_revert(self):
        self.publish(-1)
        self.publish(0)
        service = self.add_node("a")
        service.start()
        self.advance(1)
        stale = RetentionCopy(version=0, as_of=1, body=BODY)
        self.log._store(MANIFEST_STREAM, encode_record(stale))
        self.advance(1)
        self.assertEqual(1, service.current.version)
