"""An odd entry of another writer must not keep the others from being read."""

import json
from random import Random

from flamingosail_platform.configuration import parse_configuration
from flamingosail_platform.control import ControlHandler
from flamingosail_platform.store import Record
from flamingosail_platform.watch import ConfigWatch
from flamingosail_platform.watch import EXPIRY_SECONDS
from flamingosail_platform.watch import MemberWatch
from platform_standins.store import StoreServer
from testtools import ExpectedException
from testtools import TestCase
from twisted.internet.task import Clock

from experiments.platformcluster import configuration
from flamingosail.errors import CodecError
from flamingosail.proxy.transport.hop import FrameBuffer
from flamingosail.settings import Address
from tests.test_store_restored import StandInClient

NESTED = b"[" * 100_000 + b"]" * 100_000
# Values of entries that name no address to use.
ODD_VALUES = (
    NESTED,
    b'{"written": 1, "x": ' + NESTED + b"}",
    b'{"written": 1e999}',
    b'{"written": ' + b"9" * 400 + b"}",
    b'{"written": "now"}',
    b'{"written": "\xff"}',
    b"{}",
    b"\xff\x00",
)
ODD_KEYS = (
    "10.0.0.9:99999",
    "10.0.0.9:0",
    "10.0.0.9:-1",
    "10.0.0.9:" + "9" * 5000,
    "[fe80::1%x]:80",
    "nobody:80",
    "",
)
FRESH = b'{"written": 1e9}'


class OddRecordTest(TestCase):
    """Guards against watches that end, or stand still, at one odd record."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.server = StoreServer()
        self.received = []

    def watch(self, watch_class, **options):
        watch = watch_class(
            clock=self.clock,
            random=Random(1),
            store=StandInClient(clock=self.clock, server=self.server),
            **options,
        )
        watch.run()
        return watch

    def member_watch(self):
        return self.watch(
            MemberWatch,
            own_address=Address("10.0.0.5", 5),
            on_member=self.received.append,
            on_removed=lambda address: None,
            wall_clock=lambda: 1e9 + self.clock.seconds(),
        )

    def append(self, topic: str, key: str, value: bytes):
        self.server.topic(topic).append([Record(key=key, value=value)])

    def test_addresses_behind_odd_records_are_read(self):
        for number, value in enumerate(ODD_VALUES):
            self.append("keyed.members", f"10.0.0.9:{number + 1}", value)
        for key in ODD_KEYS:
            self.append("keyed.members", key, FRESH)
        self.append("keyed.members", "10.0.0.7:7", FRESH)
        self.member_watch()
        self.assertEqual([Address("10.0.0.7", 7)], self.received)
        # The node's own address is written all the same.
        newest = self.server.topic("keyed.members").newest()
        self.assertIn("10.0.0.5:5", newest)

    def test_an_address_of_the_far_future_expires(self):
        """Guards against an address that is dialled for ever."""
        entry = b'{"written": %d}' % (1e9 + 2 * EXPIRY_SECONDS)
        self.append("keyed.members", "10.0.0.9:9", entry)
        self.member_watch()
        self.clock.pump([5.0] * 300)
        self.assertEqual([], self.received)
        newest = self.server.topic("keyed.members").newest()
        self.assertEqual(b"", newest["10.0.0.9:9"].value)

    def test_a_record_that_cannot_be_handled_does_not_stop_the_next(self):
        """Guards against errors that no check foresaw."""

        def handle(document):
            if document == b"odd":
                raise RuntimeError("bug")
            self.received.append(document)

        self.append("keyed.op", "config", b"first")
        self.watch(ConfigWatch, on_document=handle, apply_seconds=2.0)
        self.append("keyed.op", "config", b"odd")
        self.append("keyed.op", "config", b"last")
        self.clock.pump([0.5] * 4)
        self.assertEqual([b"first", b"last"], self.received)


class OddConfigurationTest(TestCase):
    """Guards against a document that no node can act on or pass on."""

    def check(self, change, *, valid=False):
        document = configuration(7, "front", "deep")
        change(document, document["virtualHosts"][0]["paths"][0])
        data = json.dumps(document).encode()
        if valid:
            parse_configuration(data)
        else:
            with ExpectedException(ValueError):
                parse_configuration(data)

    def test_deep_nesting_is_invalid(self):
        data = json.dumps(configuration(7, "front", "deep")).encode()
        with ExpectedException(ValueError):
            parse_configuration(data[:-1] + b', "x": ' + NESTED + b"}")

    def test_numbers_that_do_not_fit_are_invalid(self):
        """A version beyond 64 bits ended all pings to other nodes."""
        for key, value in (
            ("priority", 2**80),
            ("priority", -1),
            ("timeoutS", 1e300),
            ("maxAttempts", 10**30),
            ("maxAttempts", 0),
        ):
            self.check(lambda _, route, k=key, v=value: route.update({k: v}))
        for value in (2**70, -1, 0):
            self.check(lambda top, _, v=value: top.update(version=v))
        for key, value in (
            ("idleTimeoutS", -5),
            ("headerTimeoutS", 1e308),
            ("maxHeaderBytes", -1),
            ("maxBodyBytes", 2**80),
        ):
            self.check(
                lambda top, _, k=key, v=value: top["limits"].update({k: v})
            )
        for weight in (-1.0, 1e308):
            split = [
                {"service": "front", "weight": weight},
                {"service": "deep", "weight": 1e308},
            ]
            self.check(lambda _, route, s=split: route.update(trafficSplit=s))

    def test_the_largest_numbers_are_valid(self):
        self.check(
            lambda top, route: (
                top.update(version=2**53),
                top["limits"].update(maxBodyBytes=2**40),
                route.update(timeoutS=86_400.0, priority=1000),
            ),
            valid=True,
        )


class OddMessageTest(TestCase):
    """Guards against errors that end a connection without a reason."""

    def test_an_odd_report_of_a_server_is_rejected(self):
        handler = ControlHandler(clock=Clock(), node=None)
        for body in (NESTED, b'{"address": ' + NESTED + b"}", b'"\xff"'):
            self.assertNotEqual("", handler.handle_heartbeat("i-1", body))
            self.assertNotEqual("", handler.handle_deregistration("i-1", body))

    def test_an_odd_frame_of_a_peer_is_rejected(self):
        # Arrays of msgpack with one element each, and an invalid string.
        for body in (b"\x91" * 100_000, b"\x92\x07\xa1\xff"):
            frame = len(body).to_bytes(4, "big") + body
            with ExpectedException(CodecError):
                FrameBuffer().feed(frame)
