"""Tests of the health monitoring of the node's own backend server."""

from dataclasses import replace

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.internet.task import Clock

from flamingosail.backend import Announcement
from flamingosail.backend import Backend
from flamingosail.backendwatch import BackendWatch
from flamingosail.backendwatch import CHECK_INTERVAL_SECONDS
from flamingosail.backendwatch import LOST_AFTER_UNSENT_CALLS
from flamingosail.errors import RefusalCode
from flamingosail.membership import MemberTable
from flamingosail.messages import MemberRecord
from flamingosail.request import Answer
from flamingosail.request import refuse
from flamingosail.verdict import Verdict

SERVER = Announcement(
    service="histbook",
    host="127.0.0.1",
    port=8000,
    slots=150,
    connections=1000,
    pid=77,
)
NOT_SENT = refuse(RefusalCode.CONNECTION_LOST, Verdict.NOT_RUN, "refused")
LOST = refuse(RefusalCode.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, "closed")
SERVED = Answer(verdict=Verdict.RAN, status=200)


class FakeBackend(Backend):
    """Keeps the probes of the watch pending until the test fires them."""

    def __init__(self):
        self.probes = []

    def probe(self):
        self.probes.append(Deferred())
        return self.probes[-1]


class FakeIngress:
    """Records the calls of the watch."""

    def __init__(self):
        self.draining = False
        self.announcement = None
        self.calls = []

    def announce(self, announcement):
        self.announcement = announcement
        self.calls.append("announce")

    def mark_server_lost(self):
        self.calls.append("lose")


class BackendWatchTest(TestCase):
    """Guards against calls that are routed to an unavailable server."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.backend = FakeBackend()
        self.ingress = FakeIngress()
        self.members = MemberTable(
            own_record=MemberRecord(
                node="n",
                incarnation="n~1",
                version=1,
                address="127.0.0.1:1",
                failure_domain="kolkata-n",
                region="west-bengal",
                service="",
                state="starting",
            ),
            clock=self.clock,
        )
        self.watch = BackendWatch(
            clock=self.clock,
            backend=self.backend,
            ingress=self.ingress,
            members=self.members,
        )
        self.watch.start()

    @property
    def state(self):
        return self.members.own_record.state

    def fail_probe(self, error=None):
        self.backend.probes.pop().errback(error or ConnectionRefusedError())

    def accept_probe(self):
        self.backend.probes.pop().callback(None)

    def lose_server_by_check(self):
        self.watch.announce(SERVER)
        self.clock.advance(CHECK_INTERVAL_SECONDS)
        self.fail_probe()

    def test_no_check_before_the_first_announcement(self):
        self.clock.advance(CHECK_INTERVAL_SECONDS)
        self.watch.record_outcome(NOT_SENT)
        self.assertEqual([], self.backend.probes)
        self.assertEqual("starting", self.state)

    def test_a_check_detects_that_an_idle_server_died(self):
        self.lose_server_by_check()
        self.assertEqual("draining", self.state)
        self.assertEqual(["announce", "lose"], self.ingress.calls)

    def test_a_lost_connection_leads_to_a_check_at_once(self):
        self.watch.announce(SERVER)
        self.ingress.on_outcome(LOST)
        self.fail_probe()
        self.assertEqual("draining", self.state)

    def test_a_closed_connection_of_a_live_server_changes_nothing(self):
        self.watch.announce(SERVER)
        for _ in range(10):
            self.watch.record_outcome(LOST)
            self.accept_probe()
        self.assertEqual("ready", self.state)
        self.assertEqual(["announce"], self.ingress.calls)

    def test_a_full_backlog_alone_does_not_lose_the_server(self):
        self.watch.announce(SERVER)
        for outcome in (NOT_SENT, NOT_SENT, SERVED, NOT_SENT):
            self.watch.record_outcome(outcome)
        self.fail_probe(ConnectTimeout())
        self.assertEqual("ready", self.state)

    def test_calls_in_a_row_without_a_connection_lose_the_server(self):
        self.watch.announce(SERVER)
        for _ in range(LOST_AFTER_UNSENT_CALLS):
            self.watch.record_outcome(NOT_SENT)
        self.assertEqual(1, len(self.backend.probes))
        self.fail_probe(ConnectTimeout())
        self.assertEqual("draining", self.state)

    def test_a_server_that_accepts_again_is_ready_and_slow_starts(self):
        self.lose_server_by_check()
        self.clock.advance(CHECK_INTERVAL_SECONDS)
        self.fail_probe()
        self.assertEqual("draining", self.state)
        self.clock.advance(CHECK_INTERVAL_SECONDS)
        self.accept_probe()
        self.assertEqual("ready", self.state)
        self.assertEqual(["announce", "lose", "announce"], self.ingress.calls)

    def test_a_lost_server_that_announces_itself_slow_starts(self):
        self.lose_server_by_check()
        self.watch.announce(SERVER)
        self.assertEqual("ready", self.state)
        self.assertEqual(["announce", "lose", "announce"], self.ingress.calls)

    def test_a_repeated_announcement_keeps_the_limit(self):
        self.watch.announce(SERVER)
        version = self.members.own_record.version
        self.watch.announce(SERVER)
        self.assertEqual(["announce"], self.ingress.calls)
        self.assertEqual(version, self.members.own_record.version)

    def test_another_port_or_process_is_a_new_server(self):
        self.watch.announce(SERVER)
        self.watch.announce(replace(SERVER, port=8001))
        self.watch.announce(replace(SERVER, port=8001, pid=78))
        self.assertEqual(["announce"] * 3, self.ingress.calls)

    def test_a_check_of_an_earlier_server_is_ignored(self):
        self.watch.announce(SERVER)
        self.clock.advance(CHECK_INTERVAL_SECONDS)
        earlier_probe = self.backend.probes.pop()
        self.watch.announce(replace(SERVER, port=8001))
        earlier_probe.errback(ConnectionRefusedError())
        self.assertEqual("ready", self.state)

    def test_a_drained_server_is_ready_only_after_an_announcement(self):
        self.watch.announce(SERVER)
        self.watch.drain()
        self.assertEqual("draining", self.state)
        self.clock.advance(CHECK_INTERVAL_SECONDS)
        self.fail_probe()
        self.clock.advance(CHECK_INTERVAL_SECONDS)
        self.accept_probe()
        self.assertEqual("draining", self.state)
        self.watch.announce(SERVER)
        self.assertEqual("ready", self.state)

    def test_a_leaving_node_ignores_announcements(self):
        self.watch.announce(SERVER)
        self.watch.leave()
        self.watch.announce(SERVER)
        self.assertEqual("draining", self.state)
        self.assertTrue(self.ingress.draining)

    def test_a_stopped_watch_does_not_change_the_record(self):
        self.watch.announce(SERVER)
        self.clock.advance(CHECK_INTERVAL_SECONDS)
        self.watch.stop()
        self.members.update_own_record(state="left")
        self.fail_probe()
        self.watch.record_outcome(LOST)
        self.assertEqual([], self.backend.probes)
        self.assertEqual("left", self.state)
        self.assertEqual([], self.clock.getDelayedCalls())
