"""Tests of the store client and of the watches that follow the store."""

import base64
from random import Random
from types import SimpleNamespace

from flamingosail_platform.store import decode_records
from flamingosail_platform.store import encode_record
from flamingosail_platform.store import Position
from flamingosail_platform.store import Record
from flamingosail_platform.store import RecordsTrimmed
from flamingosail_platform.store import StoreClient
from flamingosail_platform.store import StoreConnection
from flamingosail_platform.store import StoreUnavailable
from flamingosail_platform.watch import ConfigWatch
from flamingosail_platform.watch import EXPIRY_SECONDS
from flamingosail_platform.watch import MemberEntry
from flamingosail_platform.watch import MemberWatch
from msgspec.json import encode
from testtools import ExpectedException
from testtools import TestCase
from twisted.internet.defer import fail
from twisted.internet.defer import succeed
from twisted.internet.task import Clock
from twisted.internet.task import deferLater
from twisted.internet.testing import MemoryReactorClock

from flamingosail.proxy.shared.storeera import StoreEra
from flamingosail.settings import Address
from tests.proxyfakes import ClosingTransport

APPLY_SECONDS = 2.0


class RecordsTest(TestCase):
    """Decoding must keep the boundaries of records."""

    def test_encoded_records_decode_to_the_same_records(self):
        records = [
            Record(key="config", value=b"{}"),
            Record(key="gone", value=b""),
        ]
        data = b"".join(map(encode_record, records))
        self.assertEqual(records, decode_records(data))

    def test_a_truncated_record_is_rejected(self):
        data = encode_record(Record(key="config", value=b"{}"))
        with ExpectedException(StoreUnavailable):
            decode_records(data[:-1])


class FakeStore:
    """A topic of records; ``failures`` are raised by the next calls.

    ``at_end`` is what reads say of their last position.
    """

    at_end = False

    def __init__(self):
        self.records = []
        self.failures = []
        self.calls = []
        self.era = StoreEra()

    def respond(self, name, value):
        self.calls.append(name)
        if self.failures:
            return fail(self.failures.pop(0))
        return succeed(value)

    def read_newest(self, topic):
        newest = {record.key: record for record in self.records}
        records = [record for record in newest.values() if record.value]
        return self.respond("newest", (records, self.end()))

    def read(self, topic, position, wait_seconds):
        records = self.records[position.offset :]
        return self.respond("read", (records, self.end()))

    def end(self) -> Position:
        return Position(era=0, offset=len(self.records), at_end=self.at_end)

    def append(self, topic, record):
        self.records.append(record)
        return self.respond("append", None)


class WatchTest(TestCase):
    """The newest records must be handled and expired nodes removed."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.store = FakeStore()
        self.watch_options = {
            "clock": self.clock,
            "random": Random(1),
            "store": self.store,
        }
        self.received = []
        self.removed = []

    def config_watch(self) -> ConfigWatch:
        watch = ConfigWatch(
            on_document=self.received.append,
            apply_seconds=APPLY_SECONDS,
            **self.watch_options,
        )
        # FakeStore does not hold a read as the long poll does; without an
        # interval the watch would poll without end.
        watch.poll_interval_seconds = 1.0
        return watch

    def publish(self, value: bytes):
        self.store.records.append(Record(key="config", value=value))

    def test_each_configuration_is_passed_on(self):
        self.publish(b"1")
        self.config_watch().run()
        self.publish(b"2")
        self.clock.pump([0.5] * 4)
        self.assertEqual([b"1", b"2"], self.received)

    def test_the_newest_records_are_read_when_older_ones_were_trimmed(self):
        self.publish(b"1")
        self.config_watch().run()
        self.publish(b"2")
        # FakeStore trims no records; the failure is injected.
        self.store.failures = [RecordsTrimmed("dropped")]
        self.clock.pump([0.5] * 4)
        self.assertEqual(b"2", self.received[-1])

    def test_a_failing_store_is_retried_within_seconds(self):
        self.store.failures = [StoreUnavailable("down")] * 3
        self.config_watch().run()
        self.publish(b"1")
        self.clock.pump([0.5] * 8)
        self.assertEqual([b"1"], self.received)

    def test_an_unexpected_error_does_not_end_the_watch(self):
        self.store.failures = [RuntimeError("bug")]
        self.config_watch().run()
        self.publish(b"1")
        self.clock.pump([0.5] * 6)
        self.assertEqual([b"1"], self.received)

    def held_reads(self, *, seconds: float, apply_seconds: float) -> list:
        """Return how long each read of a watch lets the store hold it.

        The store holds each of them to its end.
        """
        waits = []

        def hold(topic, position, wait_seconds):
            waits.append(wait_seconds)
            return deferLater(
                self.clock, wait_seconds, lambda: ([], self.store.end())
            )

        self.store.read = hold
        ConfigWatch(
            on_document=self.received.append,
            apply_seconds=apply_seconds,
            **self.watch_options,
        ).run()
        self.clock.pump([0.05] * round(seconds / 0.05))
        return waits

    def test_long_polls_end_in_time_to_apply_a_configuration(self):
        """Guards against a change that is seen too late.

        The store may tell of it at the end of a poll only.
        """
        waits = self.held_reads(seconds=20.0, apply_seconds=APPLY_SECONDS)
        self.assertLessEqual(max(waits), 0.75 * APPLY_SECONDS)

    def test_a_proof_is_as_old_as_the_sending_of_its_read(self):
        """Guards against a lease renewed by a read that the store held."""
        read_at, proved_at = [], []

        def hold(topic, position, wait_seconds):
            read_at.append(self.clock.seconds())
            return deferLater(
                self.clock,
                wait_seconds,
                lambda: ([], Position(era=0, offset=0, at_end=True)),
            )

        self.store.read = hold
        ConfigWatch(
            on_document=self.received.append,
            apply_seconds=APPLY_SECONDS,
            revocation_seconds=5.0,
            on_current=proved_at.append,
            **self.watch_options,
        ).run()
        self.clock.pump([0.05] * 100)
        self.assertGreater(len(proved_at), 3)
        self.assertEqual(read_at[: len(proved_at)], proved_at)

    def test_records_that_were_not_handled_are_no_proof(self):
        """Guards against a lease while newer records wait in the store."""
        proved_at = []
        watch = self.config_watch()
        watch.on_current = proved_at.append
        watch.run()
        self.publish(b"1")
        self.clock.pump([0.5] * 4)
        # FakeStore never says that there are no further records.
        self.assertEqual([b"1"], self.received)
        self.assertEqual([], proved_at)
        watch.on_document = None
        self.publish(b"2")
        self.store.end = lambda: Position(era=0, offset=2, at_end=True)
        self.clock.pump([0.5])
        self.assertEqual([], proved_at)

    def test_a_read_that_stops_short_of_the_end_says_so(self):
        """Guards against a lease on the first part of many records."""
        record = encode_record(Record(key="config", value=b"1"))
        positions = []
        for end, size in ((1, 16), (2, 16), (1, 4)):
            client = StoreClient(
                reactor=self.clock,
                address=Address("10.0.0.9", 80),
                era=StoreEra(),
            )
            head = end.to_bytes(8, "big") + bytes(8)
            body = (head + record)[: None if size == 16 else size]
            response = SimpleNamespace(status=200, headers=[], body=body)
            client.exchange = lambda *args, r=response: succeed(r)
            client.read("t", Position(era=0, offset=0), 0.0).addCallback(
                lambda result: positions.append(result[1].at_end)
            )
        self.assertEqual([True, False, False], positions)

    def test_readers_do_not_all_poll_at_the_same_time(self):
        """Guards against many readers that see no more than one would."""
        waits = self.held_reads(seconds=20.0, apply_seconds=APPLY_SECONDS)
        self.assertGreater(max(waits) - min(waits), 0.1 * APPLY_SECONDS)

    def test_a_short_or_long_time_to_apply_bounds_the_polls(self):
        """A store would be called without pause, or hold a poll too long."""
        self.assertLess(
            len(self.held_reads(seconds=20.0, apply_seconds=0.0)), 60
        )
        waits = self.held_reads(seconds=20.0, apply_seconds=3600.0)
        self.assertLessEqual(max(waits), 6.0)

    def member_watch(self, port: int) -> MemberWatch:
        return MemberWatch(
            own_address=Address("10.0.0.1", port),
            on_member=lambda address: self.received.append(
                (port, address.port)
            ),
            on_removed=lambda address: self.removed.append(address.port),
            wall_clock=lambda: 1e9 + self.clock.seconds(),
            **self.watch_options,
        )

    def test_of_two_nodes_that_start_together_one_sees_the_other(self):
        self.member_watch(1).run()
        self.member_watch(2).run()
        self.assertIn((2, 1), self.received)

    def test_the_members_are_known_once_all_are_read(self):
        """A node that has not read them would take itself for the only one."""
        self.store.failures = [StoreUnavailable("busy")] * 2
        complete = []
        self.store.at_end = True
        watch = self.member_watch(1)
        watch.on_complete = lambda: complete.append(self.clock.seconds())
        watch.run()
        self.clock.pump([0.1] * 5)
        self.assertEqual([], complete)
        self.clock.pump([0.1] * 20)
        self.assertEqual(1, len(complete))

    def test_members_without_the_own_record_are_not_all(self):
        """Nodes that join later would not know this one."""
        complete = []
        self.store.at_end = True
        watch = self.member_watch(1)
        watch.on_complete = lambda: complete.append(True)
        watch.write_own_record = lambda: fail(StoreUnavailable("busy"))
        watch.run()
        self.clock.pump([0.5] * 8)
        self.assertEqual([], complete)

    def test_a_restarted_node_does_not_renew_a_fresh_record(self):
        self.member_watch(1).run()
        self.member_watch(1).run()
        self.assertEqual(1, self.store.calls.count("append"))

    def test_at_the_first_start_a_node_writes_and_then_reads(self):
        for port in (1, 2):
            watch = self.member_watch(port)
            watch.write_first = True
            watch.run()
        self.assertEqual(["append", "newest"] * 2, self.store.calls)
        self.assertIn((2, 1), self.received)

    def test_a_first_write_without_answer_is_repeated(self):
        self.store.failures = [StoreUnavailable("lost")]
        watch = self.member_watch(1)
        watch.write_first = True
        watch.run()
        self.clock.pump([0.5] * 4)
        self.assertEqual(["append", "append", "newest"], self.store.calls)

    def test_only_readers_poll_again(self):
        """All nodes polled, also while the store was down."""
        readers = {1}
        self.publish(b"1")
        for number in (1, 2):
            watch = self.config_watch()
            watch.is_reader = lambda number=number: number in readers
            watch.run()
        self.assertEqual([b"1", b"1"], self.received)
        self.publish(b"2")
        self.clock.pump([0.5] * 8)
        self.assertEqual([b"1", b"1", b"2"], self.received)
        readers.add(2)
        self.clock.pump([0.5] * 2)
        self.assertEqual([b"1", b"1", b"2", b"2"], self.received)

    def test_a_standby_polls_until_its_first_success(self):
        self.store.failures = [StoreUnavailable("down")] * 3
        reachable = []
        watch = self.config_watch()
        watch.is_reader = lambda: False
        watch.on_reachable = reachable.append
        watch.run()
        self.publish(b"1")
        self.clock.pump([0.5] * 20)
        self.assertEqual([b"1"], self.received)
        self.assertEqual([False, False, False, True], reachable)

    def test_a_standby_polls_seldom(self):
        watch = self.config_watch()
        watch.is_reader = lambda: False
        watch.run()
        self.publish(b"1")
        self.clock.pump([1.0] * 122)
        self.assertEqual([b"1"], self.received)

    def test_an_expired_record_is_deleted_and_its_node_removed(self):
        entry = encode(MemberEntry(written=1e9 - EXPIRY_SECONDS - 1))
        self.store.records.append(Record(key="10.0.0.9:9", value=entry))
        self.member_watch(1).run()
        self.clock.pump([5.0] * 300)
        self.assertEqual([], [pair for pair in self.received if pair[1] == 9])
        self.assertIn(9, self.removed)

    def test_invalid_member_records_are_ignored(self):
        for key, value in (("nonsense", b"{}"), ("10.0.0.9:9", b"\xff{")):
            self.store.records.append(Record(key=key, value=value))
        self.member_watch(1).run()
        self.assertEqual([], self.received)


class StoreClientTest(TestCase):
    """Paged responses of the store must be read completely."""

    def client(self, *responses):
        client = StoreClient(
            reactor=Clock(), address=Address("10.0.0.1", 1), era=StoreEra()
        )
        remaining = list(responses)
        client.call = lambda *args: succeed(remaining.pop(0))
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
        records, position = self.result_of(client.read_newest("keyed.op"))
        self.assertEqual(["a", "b"], [record.key for record in records])
        # Records written between the pages must be read again.
        self.assertEqual(9, position.offset)

    def result_of(self, deferred):
        results = []
        deferred.addCallback(results.append)
        return results[0]


class SilentStoreTest(TestCase):
    """A connection to the store may pass nothing and stay open."""

    def setUp(self):
        super().setUp()
        self.reactor = MemoryReactorClock()
        self.client = StoreClient(
            reactor=self.reactor,
            address=Address("10.0.0.1", 1),
            era=StoreEra(),
        )

    def add_idle_connection(self) -> ClosingTransport:
        connection = StoreConnection()
        transport = ClosingTransport()
        transport.getHandle = None  # nothing to peek at
        connection.connectionMade = lambda: setattr(connection, "open", True)
        connection.makeConnection(transport)
        self.client.idle_connections.append(connection)
        return transport

    def test_after_a_timeout_no_idle_connection_is_used(self):
        """Guards against a further timeout for each idle connection.

        When one has gone silent, the others most likely have, too.
        """
        transports = [self.add_idle_connection() for _ in range(3)]
        failures = []
        for _ in range(2):
            call = self.client.append("t", Record(key="k", value=b"v"))
            call.addErrback(failures.append)
            self.reactor.advance(2.1)
        written = [transport for transport in transports if transport.value()]
        self.assertEqual(1, len(written))
        self.assertTrue(all(transport.aborted for transport in transports))
        self.assertEqual(1, len(self.reactor.tcpClients))
