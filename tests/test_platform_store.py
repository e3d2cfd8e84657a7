"""Tests of the store client and of what follows the store."""

import base64
from random import Random

from flamingosail_platform.store import decode_records
from flamingosail_platform.store import encode_record
from flamingosail_platform.store import Record
from flamingosail_platform.store import RecordsTrimmed
from flamingosail_platform.store import StoreClient
from flamingosail_platform.store import StoreUnavailable
from flamingosail_platform.watch import ConfigWatch
from flamingosail_platform.watch import LAPSE_SECONDS
from flamingosail_platform.watch import MemberEntry
from flamingosail_platform.watch import MemberWatch
from msgspec.json import encode
from testtools import ExpectedException
from testtools import TestCase
from twisted.internet.defer import fail
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from flamingosail.settings import Address


class RecordsTest(TestCase):
    """Guards against records that are cut or joined."""

    def test_records_survive_their_encoding(self):
        records = [
            Record(key="config", value=b"{}"),
            Record(key="gone", value=b""),
        ]
        data = b"".join(map(encode_record, records))
        self.assertEqual(records, decode_records(data))

    def test_an_answer_that_ends_within_a_record_is_refused(self):
        data = encode_record(Record(key="config", value=b"{}"))
        with ExpectedException(StoreUnavailable):
            decode_records(data[:-1])


class FakeStore:
    """A topic of records; ``failures`` are raised by the next calls."""

    def __init__(self):
        self.records = []
        self.failures = []
        self.calls = []

    def answer(self, name, value):
        self.calls.append(name)
        if self.failures:
            return fail(self.failures.pop(0))
        return succeed(value)

    def read_newest(self, topic):
        newest = {record.key: record for record in self.records}
        records = [record for record in newest.values() if record.value]
        return self.answer("newest", (records, len(self.records)))

    def read(self, topic, offset, wait_seconds):
        end = len(self.records)
        return self.answer("read", (self.records[offset:], end))

    def append(self, topic, record):
        self.records.append(record)
        return self.answer("append", None)


class WatchTest(TestCase):
    """Guards against missing a change, and against nodes that never go."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.store = FakeStore()
        self.base = {
            "clock": self.clock,
            "random": Random(1),
            "store": self.store,
        }
        self.seen = []
        self.gone = []

    def config_watch(self) -> ConfigWatch:
        watch = ConfigWatch(on_document=self.seen.append, **self.base)
        # The store of the tests does not wait for records.
        watch.pause_seconds = 1.0
        return watch

    def put(self, value: bytes):
        self.store.records.append(Record(key="config", value=value))

    def test_each_configuration_is_handed_on(self):
        self.put(b"1")
        self.config_watch().run()
        self.put(b"2")
        self.clock.pump([0.5] * 4)
        self.assertEqual([b"1", b"2"], self.seen)

    def test_the_newest_is_read_when_history_was_dropped(self):
        self.put(b"1")
        self.config_watch().run()
        self.put(b"2")
        self.store.failures = [RecordsTrimmed("dropped")]
        self.clock.pump([0.5] * 4)
        self.assertEqual(b"2", self.seen[-1])

    def test_a_store_that_fails_is_asked_again_within_seconds(self):
        self.store.failures = [StoreUnavailable("down")] * 3
        self.config_watch().run()
        self.put(b"1")
        self.clock.pump([0.5] * 8)
        self.assertEqual([b"1"], self.seen)

    def test_an_unexpected_error_does_not_end_the_watch(self):
        self.store.failures = [RuntimeError("bug")]
        self.config_watch().run()
        self.put(b"1")
        self.clock.pump([0.5] * 6)
        self.assertEqual([b"1"], self.seen)

    def member_watch(self, port: int) -> MemberWatch:
        return MemberWatch(
            own=Address("10.0.0.1", port),
            on_member=lambda address: self.seen.append((port, address.port)),
            on_gone=lambda address: self.gone.append(address.port),
            wall_clock=lambda: 1e9 + self.clock.seconds(),
            **self.base,
        )

    def test_of_two_nodes_that_start_together_one_sees_the_other(self):
        self.member_watch(1).run()
        self.member_watch(2).run()
        self.assertIn((2, 1), self.seen)

    def test_a_listed_node_does_not_write_at_each_start(self):
        self.member_watch(1).run()
        self.member_watch(1).run()
        self.assertEqual(1, self.store.calls.count("append"))

    def test_a_machine_that_is_gone_is_deleted_and_forgotten(self):
        entry = encode(MemberEntry(written=1e9 - LAPSE_SECONDS - 1))
        self.store.records.append(Record(key="10.0.0.9:9", value=entry))
        self.member_watch(1).run()
        self.clock.pump([5.0] * 300)
        self.assertEqual([], [pair for pair in self.seen if pair[1] == 9])
        self.assertIn(9, self.gone)

    def test_members_of_other_writers_are_ignored(self):
        for key, value in (("nonsense", b"{}"), ("10.0.0.9:9", b"\xff{")):
            self.store.records.append(Record(key=key, value=value))
        self.member_watch(1).run()
        self.assertEqual([], self.seen)


class StoreClientTest(TestCase):
    """Guards against answers of the store that are not understood."""

    def client(self, *answers):
        client = StoreClient(reactor=Clock(), address=Address("10.0.0.1", 1))
        waiting = list(answers)
        client.call = lambda *args: succeed(waiting.pop(0))
        return client

    def page(self, keys, **more):
        value = base64.b64encode(b"v").decode()
        items = [{"key": key, "value": value, "offset": 1} for key in keys]
        document = {"items": items, "endOffset": 9, **more}
        return type("Response", (), {"body": encode(document)})()

    def test_all_pages_of_the_newest_records_are_read(self):
        client = self.client(
            self.page(["a"], hasMore=True), self.page(["b"], endOffset=12)
        )
        records, end = self.successful(client.read_newest("keyed.op"))
        self.assertEqual(["a", "b"], [record.key for record in records])
        # What was written between the pages must be read again.
        self.assertEqual(9, end)

    def successful(self, deferred):
        results = []
        deferred.addCallback(results.append)
        return results[0]
