"""Tests of what the publisher says became of a manifest."""

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
    """Guards against a wrong report, above all after a lost answer."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.log = MemoryLog(clock=self.clock)

    def publisher(self, seed=0):
        return Publisher(
            clock=self.clock, random=Random(seed), log=self.log, patience=5.0
        )

    def store(self, record):
        return self.log._store(MANIFEST_STREAM, encode_record(record))

    def rival(self, base):
        record = Publication(publication_id="rival", base=base, body=BODY)
        return self.store(record)

    def wait(self, deferred, seconds=6.0):
        results = []
        deferred.addCallback(results.append)
        for _ in range(round(seconds / 0.05)):
            if results:
                break
            self.clock.advance(0.05)
        self.assertEqual(1, len(results))
        return results[0]

    def test_publishes_on_top_of_the_accepted_manifest(self):
        first = self.wait(self.publisher(1).publish(MANIFEST))
        self.assertEqual((ReportState.ACCEPTED, 0), self.brief(first))
        second = self.wait(self.publisher(2).publish(MANIFEST))
        self.assertEqual((ReportState.ACCEPTED, 1), self.brief(second))
        self.assertNotEqual(first.publication_id, second.publication_id)

    def brief(self, report):
        return report.state, report.version

    def test_reports_a_race_that_was_lost(self):
        self.rival(-1)
        self.log.delay = 0.2
        deferred = self.publisher().publish(MANIFEST)
        # The publisher has read version 0 as its base by now.
        self.rival(0)
        report = self.wait(deferred)
        self.assertEqual(ReportState.REFUSED, report.state)
        self.assertIn("base 0 is superseded", report.reason)

    def test_resolves_a_lost_answer_by_reading(self):
        self.log.lose_answers = 1
        report = self.wait(self.publisher().publish(MANIFEST))
        self.assertEqual((ReportState.ACCEPTED, 0), self.brief(report))
        self.assertEqual(1, self.log.appends)

    def test_an_append_still_under_way_is_unknown(self):
        self.log.late_appends = 1
        publisher = self.publisher()
        report = self.wait(publisher.publish(MANIFEST))
        self.assertEqual(ReportState.UNKNOWN, report.state)
        self.assertEqual(report.publication_id, publisher.pending)
        self.log.deliver_late()
        later = self.wait(self.publisher().resolve(report.publication_id))
        self.assertEqual((ReportState.ACCEPTED, 0), self.brief(later))

    def test_an_append_under_way_is_refused_once_superseded(self):
        self.log.late_appends = 1
        deferred = self.publisher().publish(MANIFEST)
        self.clock.advance(0.05)
        self.rival(-1)
        report = self.wait(deferred)
        self.assertEqual(ReportState.REFUSED, report.state)
        self.log.deliver_late()
        later = self.wait(self.publisher().resolve(report.publication_id))
        self.assertEqual(ReportState.REFUSED, later.state)

    def test_a_gap_after_the_append_is_not_taken_for_a_refusal(self):
        # The record is accepted at once, but its confirmation takes 0.2 s;
        # meanwhile it is superseded and trimmed.
        self.rival(-1)
        self.log.delay = 0.2
        deferred = self.publisher().publish(MANIFEST)
        self.clock.advance(0.2)
        self.rival(1)
        self.store(RetentionCopy(version=2, as_of=3, body=BODY))
        self.log.trim(MANIFEST_STREAM, 3)
        report = self.wait(deferred, seconds=20)
        self.assertEqual(ReportState.UNKNOWN, report.state)

    def test_sends_nothing_if_the_log_cannot_be_read(self):
        self.log.down = True
        report = self.wait(self.publisher().publish(MANIFEST))
        self.assertEqual(ReportState.UNKNOWN, report.state)
        self.assertIn("nothing was sent", report.reason)
        self.assertIsNone(report.publication_id)
        self.assertEqual(0, self.log.appends)

    def test_sends_nothing_if_the_base_cannot_be_known(self):
        self.rival(-1)
        self.rival(0)
        self.log.trim(MANIFEST_STREAM, 1)
        report = self.wait(self.publisher().publish(MANIFEST))
        self.assertEqual(ReportState.UNKNOWN, report.state)
        self.assertEqual(0, self.log.appends)

    def test_a_log_that_goes_down_after_the_append_is_unknown(self):
        self.log.delay = 0.2
        deferred = self.publisher().publish(MANIFEST)
        self.clock.advance(0.25)
        self.log.down = True
        report = self.wait(deferred)
        self.assertEqual(ReportState.UNKNOWN, report.state)
        self.assertIsNotNone(report.publication_id)

    def test_waits_for_a_log_that_comes_back(self):
        self.log.down = True
        deferred = self.publisher().publish(MANIFEST)
        self.clock.advance(1)
        self.log.down = False
        report = self.wait(deferred)
        self.assertEqual(ReportState.ACCEPTED, report.state)

    def test_an_id_that_is_not_in_the_log_is_unknown(self):
        report = self.wait(self.publisher().resolve("nothing"))
        self.assertEqual(ReportState.UNKNOWN, report.state)
        self.assertIn("not in the log", report.reason)

    def test_shows_the_accepted_manifest(self):
        report = self.wait(self.publisher().show())
        self.assertEqual((ReportState.OK, None), self.brief(report))
        self.rival(-1)
        report = self.wait(self.publisher().show())
        self.assertEqual((ReportState.OK, 0), self.brief(report))
        self.assertEqual({"services": {}, "kinds": {}}, report.manifest)
