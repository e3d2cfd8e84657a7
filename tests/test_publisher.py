"""Tests of the results that the publisher reports."""

from random import Random

from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.manifest import parse_manifest
from flamingosail.manifesthistory import encode_record
from flamingosail.manifesthistory import Publication
from flamingosail.manifesthistory import RetentionCopy
from flamingosail.manifestservice import MANIFEST_STREAM
from flamingosail.publisher import Publisher
from flamingosail.publisher import ReportState
from standins.memorylog import MemoryLog

BODY = b'{"services": {}, "kinds": {}}'
MANIFEST = parse_manifest(BODY, version=-1)


class PublisherTest(TestCase):
    """Guards against wrong results, above all after a lost response."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.log = MemoryLog(clock=self.clock)

    def make_publisher(self, seed=0):
        return Publisher(
            clock=self.clock, random=Random(seed), log=self.log, patience=5.0
        )

    def store(self, record):
        return self.log._store(MANIFEST_STREAM, encode_record(record))

    def publish_competing(self, base):
        record = Publication(publication_id="competing", base=base, body=BODY)
        return self.store(record)

    def await_result(self, deferred, seconds=6.0):
        results = []
        deferred.addCallback(results.append)
        for _ in range(round(seconds / 0.05)):
            if results:
                break
            self.clock.advance(0.05)
        self.assertEqual(1, len(results))
        return results[0]

    def test_publishes_on_top_of_the_accepted_manifest(self):
        first = self.await_result(self.make_publisher(1).publish(MANIFEST))
        self.assertEqual(
            (ReportState.ACCEPTED, 0), self.state_and_version(first)
        )
        second = self.await_result(self.make_publisher(2).publish(MANIFEST))
        self.assertEqual(
            (ReportState.ACCEPTED, 1), self.state_and_version(second)
        )
        self.assertNotEqual(first.publication_id, second.publication_id)

    def state_and_version(self, report):
        return report.state, report.version

    def test_reports_a_refusal_after_a_lost_race(self):
        self.publish_competing(-1)
        self.log.delay = 0.2
        deferred = self.make_publisher().publish(MANIFEST)
        # By now the publisher has read version 0, its base.
        self.publish_competing(0)
        report = self.await_result(deferred)
        self.assertEqual(ReportState.REFUSED, report.state)
        self.assertIn("base 0 is superseded", report.reason)

    def test_resolves_a_lost_response_by_reading(self):
        self.log.lose_answers = 1
        report = self.await_result(self.make_publisher().publish(MANIFEST))
        self.assertEqual(
            (ReportState.ACCEPTED, 0), self.state_and_version(report)
        )
        self.assertEqual(1, self.log.appends)

    def test_an_append_in_flight_is_unknown(self):
        self.log.late_appends = 1
        publisher = self.make_publisher()
        report = self.await_result(publisher.publish(MANIFEST))
        self.assertEqual(ReportState.UNKNOWN, report.state)
        self.assertEqual(report.publication_id, publisher.pending_id)
        self.log.deliver_late()
        later = self.await_result(
            self.make_publisher().resolve(report.publication_id)
        )
        self.assertEqual(
            (ReportState.ACCEPTED, 0), self.state_and_version(later)
        )

    def test_an_append_in_flight_is_refused_once_superseded(self):
        self.log.late_appends = 1
        deferred = self.make_publisher().publish(MANIFEST)
        self.clock.advance(0.05)
        self.publish_competing(-1)
        report = self.await_result(deferred)
        self.assertEqual(ReportState.REFUSED, report.state)
        self.log.deliver_late()
        later = self.await_result(
            self.make_publisher().resolve(report.publication_id)
        )
        self.assertEqual(ReportState.REFUSED, later.state)

    def test_a_gap_after_the_append_is_not_reported_as_a_refusal(self):
        # The record is accepted at once, but is superseded and trimmed
        # during the 0.2 s until the append is confirmed.
        self.publish_competing(-1)
        self.log.delay = 0.2
        deferred = self.make_publisher().publish(MANIFEST)
        self.clock.advance(0.2)
        self.publish_competing(1)
        self.store(RetentionCopy(version=2, as_of=3, body=BODY))
        self.log.trim(MANIFEST_STREAM, 3)
        report = self.await_result(deferred, seconds=20)
        self.assertEqual(ReportState.UNKNOWN, report.state)

    def test_sends_nothing_if_the_log_cannot_be_read(self):
        self.log.down = True
        report = self.await_result(self.make_publisher().publish(MANIFEST))
        self.assertEqual(ReportState.UNKNOWN, report.state)
        self.assertIn("nothing was sent", report.reason)
        self.assertIsNone(report.publication_id)
        self.assertEqual(0, self.log.appends)

    def test_sends_nothing_if_the_base_cannot_be_known(self):
        self.publish_competing(-1)
        self.publish_competing(0)
        self.log.trim(MANIFEST_STREAM, 1)
        report = self.await_result(self.make_publisher().publish(MANIFEST))
        self.assertEqual(ReportState.UNKNOWN, report.state)
        self.assertEqual(0, self.log.appends)

    def test_a_log_that_goes_down_after_the_append_is_unknown(self):
        self.log.delay = 0.2
        deferred = self.make_publisher().publish(MANIFEST)
        self.clock.advance(0.25)
        self.log.down = True
        report = self.await_result(deferred)
        self.assertEqual(ReportState.UNKNOWN, report.state)
        self.assertIsNotNone(report.publication_id)

    def test_waits_for_the_log_to_recover(self):
        self.log.down = True
        deferred = self.make_publisher().publish(MANIFEST)
        self.clock.advance(1)
        self.log.down = False
        report = self.await_result(deferred)
        self.assertEqual(ReportState.ACCEPTED, report.state)

    def test_an_id_that_is_not_in_the_log_is_unknown(self):
        report = self.await_result(self.make_publisher().resolve("nothing"))
        self.assertEqual(ReportState.UNKNOWN, report.state)
        self.assertIn("not in the log", report.reason)

    def test_shows_the_accepted_manifest(self):
        report = self.await_result(self.make_publisher().show())
        self.assertEqual(
            (ReportState.OK, None), self.state_and_version(report)
        )
        self.publish_competing(-1)
        report = self.await_result(self.make_publisher().show())
        self.assertEqual((ReportState.OK, 0), self.state_and_version(report))
        self.assertEqual({"services": {}, "kinds": {}}, report.manifest)
