"""A store that was restored from an older copy must be read anew."""

from random import Random
from types import SimpleNamespace

from flamingosail_platform.store import encode_record
from flamingosail_platform.store import Record
from flamingosail_platform.store import StoreClient
from flamingosail_platform.watch import ConfigWatch
from flamingosail_platform.watch import MemberWatch
from platform_standins.store import StoreServer
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.defer import fail
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from flamingosail.httpclient import HttpResponse
from flamingosail.proxy.shared.storeera import StoreEra
from flamingosail.settings import Address


class StandInClient(StoreClient):
    """Calls a stand-in store in this process, without a connection.

    ``held`` are the reads that wait for a record; they stay silent. While
    ``down``, calls fail.
    """

    def __init__(self, *, clock: Clock, server: StoreServer):
        super().__init__(
            reactor=clock, address=Address("10.0.0.1", 1), era=StoreEra()
        )
        self.server = server
        self.held: list[Deferred] = []
        self.down = False

    def exchange(self, method, path, query, body, timeout):
        if self.down:
            return fail(ConnectionError("down"))
        topic = self.server.topic(query["topic"])
        waits = query.get("waitMs") and query["from"] == topic.end_offset
        if path == "/v1/log-read" and waits:
            self.held.append(Deferred())
            return self.held[-1]
        return succeed(self.response(path, query, body))

    def response(self, path, query, body) -> HttpResponse:
        text = {name: str(value) for name, value in query.items()}
        call = self.server.dispatch(path, text, SimpleNamespace(body=body))
        try:
            call.send(None)
        except StopIteration as stop:
            status, content = stop.value
        headers = ((b"Store-Era", b"%d" % self.server.era),)
        return HttpResponse(status, headers, content)


class StoreRestoredTest(TestCase):
    """Neither a configuration nor an address may be missed."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.server = StoreServer()
        self.received = []
        self.client = StandInClient(clock=self.clock, server=self.server)

    def start_watch(self, watch_class, *, reader=True, **options):
        watch = watch_class(
            clock=self.clock,
            random=Random(1),
            store=self.client,
            is_reader=lambda: reader,
            **options,
        )
        watch.run()
        self.clock.pump([0.5] * 4)
        return watch

    def start_config_watch(self, **options) -> ConfigWatch:
        return self.start_watch(
            ConfigWatch,
            on_document=self.received.append,
            apply_seconds=2.0,
            **options,
        )

    def start_member_watch(self, **options) -> MemberWatch:
        return self.start_watch(
            MemberWatch,
            own_address=Address("10.0.0.5", 5),
            on_member=lambda address: None,
            on_removed=lambda address: None,
            wall_clock=lambda: 1e9 + self.clock.seconds(),
            **options,
        )

    def publish(self, *values: bytes):
        topic = self.server.topic("keyed.op")
        topic.append([Record(key="config", value=value) for value in values])

    def restore_with_reused_offsets(self):
        """Lose versions 2 and 3; versions 3 and 4 get their offsets."""
        self.server.copy = {}
        self.publish(b"1")
        self.server.copy = dict(self.server.topics)
        self.server.topics = {}
        self.publish(b"1", b"2", b"3")
        watch = self.start_config_watch()
        self.server.restore()
        self.publish(b"3", b"4")
        return watch

    def test_a_record_at_a_reused_offset_is_not_missed(self):
        """Guards against a configuration that no reader ever saw.

        A reader went on from its offset in a store that had given out that
        offset again.
        """
        self.restore_with_reused_offsets()
        self.client.held[-1].errback(ConnectionError("closed"))
        self.clock.pump([0.5] * 4)
        self.assertEqual(b"4", self.received[-1])

    def test_a_poll_that_went_silent_is_ended_by_what_a_peer_says(self):
        """Guards against waiting for a poll that the store has forgotten."""
        self.restore_with_reused_offsets()
        self.client.era.observe(1, source="peer")
        self.clock.pump([0.1] * 4)
        self.assertEqual(b"4", self.received[-1])

    def test_an_answer_of_an_earlier_era_is_dropped(self):
        """Guards against a late answer that brings its offset back."""
        watch = self.restore_with_reused_offsets()
        late = HttpResponse(
            200,
            ((b"store-era", b"0"),),
            bytes(16) + encode_record(Record(key="config", value=b"old")),
        )
        self.client.era.number = 1  # known from another call
        self.client.held[-1].callback(late)
        self.clock.pump([0.5] * 4)
        self.assertNotIn(b"old", self.received)
        self.assertEqual(b"4", self.received[-1])
        self.assertEqual((1, 3), (watch.position.era, watch.position.offset))

    def test_pages_of_two_eras_are_not_joined(self):
        """Guards against an offset of one era with records of another."""
        self.publish(b"1")
        pages = [
            HttpResponse(
                200,
                ((b"Store-Era", b"0"),),
                b'{"items": [{"key": "config", "value": "b2xk"}],'
                b' "endOffset": 7, "hasMore": true}',
            )
        ]
        exchange = self.client.exchange

        def exchange_page(*args):
            if pages:
                page = pages.pop()
                self.server.copy = self.server.topics
                self.server.restore()
                return succeed(page)
            return exchange(*args)

        self.client.exchange = exchange_page
        watch = self.start_config_watch()
        self.assertEqual([b"1"], self.received)
        self.assertEqual((1, 1), (watch.position.era, watch.position.offset))

    def test_a_standby_forgets_its_offset(self):
        """Guards against a node that becomes a reader at an old offset."""
        readers = set()
        self.publish(b"1", b"2", b"3")
        watch = self.start_config_watch(reader=False)
        watch.is_reader = lambda: bool(readers)
        self.server.copy = {}
        self.server.restore()
        self.publish(b"3", b"4", b"5")
        self.client.era.observe(1, source="peer")
        self.clock.pump([0.5] * 4)
        self.assertEqual(b"3", self.received[-1])
        readers.add("this node")
        self.clock.pump([0.5] * 2)
        self.assertEqual(b"5", self.received[-1])

    def test_a_lost_address_is_written_again(self):
        """Guards against nodes that do not find each other after a restore."""
        self.start_member_watch(reader=False)
        self.server.copy = {}
        self.server.restore()
        self.assertEqual({}, self.server.topic("keyed.members").newest())
        self.client.era.observe(1, source="peer")
        self.clock.pump([0.5] * 2)
        newest = self.server.topic("keyed.members").newest()
        self.assertEqual(["10.0.0.5:5"], list(newest))

    def test_an_address_that_was_not_lost_is_not_written_again(self):
        self.start_member_watch()
        self.server.copy = dict(self.server.topics)
        self.server.restore()
        self.client.era.observe(1, source="peer")
        self.clock.pump([0.5] * 2)
        self.assertEqual(1, self.server.topic("keyed.members").end_offset)

    def test_a_restored_store_that_stays_away_is_asked_again(self):
        self.start_member_watch(reader=False)
        self.server.copy = {}
        self.server.restore()
        self.client.down = True
        self.client.era.observe(1, source="peer")
        self.clock.pump([0.5] * 8)
        self.client.down = False
        self.clock.pump([0.5] * 4)
        newest = self.server.topic("keyed.members").newest()
        self.assertEqual(["10.0.0.5:5"], list(newest))

    def test_an_invalid_era_is_a_failed_call(self):
        self.publish(b"1")
        exchange = self.client.exchange
        answers = [b"x", b"9" * 40, b"-1"]

        def spoil(response):
            if answers:
                headers = ((b"Store-Era", answers.pop()),)
                return HttpResponse(200, headers, response.body)
            return response

        self.client.exchange = lambda *args: exchange(*args).addCallback(spoil)
        self.start_config_watch()
        self.clock.pump([0.5] * 4)
        self.assertEqual([b"1"], self.received)
        self.assertEqual(0, self.client.era.number)
