"""Tests of the watch over the node's own backend server."""

from dataclasses import replace

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.internet.task import Clock

from flamingosail.backend import Announcement
from flamingosail.backend import Backend
from flamingosail.backendwatch import BackendWatch
from flamingosail.backendwatch import CHECK_SECONDS
from flamingosail.backendwatch import UNSENT_IN_A_ROW
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
    """Holds the connection attempts of the watch."""

    def __init__(self):
        self.attempts = []

    def probe(self):
        self.attempts.append(Deferred())
        return self.attempts[-1]


class FakeIngress:
    """Records what the watch tells it."""

    def __init__(self):
        self.draining = False
        self.announcement = None
        self.calls = []

    def announce(self, announcement):
        self.announcement = announcement
        self.calls.append("announce")

    def lose_server(self):
        self.calls.append("lose")


class BackendWatchTest(TestCase):
    """Guards against calls for a server that is not there."""

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
        self.backend.attempts.pop().errback(error or ConnectionRefusedError())

    def accept_probe(self):
        self.backend.attempts.pop().callback(None)

    def lose(self):
        self.watch.announce(SERVER)
        self.clock.advance(CHECK_SECONDS)
        self.fail_probe()

    def test_nothing_is_tried_before_the_first_announcement(self):
        self.clock.advance(CHECK_SECONDS)
        self.watch.note_outcome(NOT_SENT)
        self.assertEqual([], self.backend.attempts)
        self.assertEqual("starting", self.state)

    def test_an_idle_server_that_died_is_noticed_within_a_check(self):
        self.lose()
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
            self.watch.note_outcome(LOST)
            self.accept_probe()
        self.assertEqual("ready", self.state)
        self.assertEqual(["announce"], self.ingress.calls)

    def test_a_full_backlog_alone_does_not_lose_the_server(self):
        self.watch.announce(SERVER)
        for outcome in (NOT_SENT, NOT_SENT, SERVED, NOT_SENT):
            self.watch.note_outcome(outcome)
        self.fail_probe(ConnectTimeout())
        self.assertEqual("ready", self.state)

    def test_calls_in_a_row_without_a_connection_lose_the_server(self):
        self.watch.announce(SERVER)
        for _ in range(UNSENT_IN_A_ROW):
            self.watch.note_outcome(NOT_SENT)
        self.assertEqual(1, len(self.backend.attempts))
        self.fail_probe(ConnectTimeout())
        self.assertEqual("draining", self.state)

    def test_a_server_that_accepts_again_is_ready_and_cold(self):
        self.lose()
        self.clock.advance(CHECK_SECONDS)
        self.fail_probe()
        self.assertEqual("draining", self.state)
        self.clock.advance(CHECK_SECONDS)
        self.accept_probe()
        self.assertEqual("ready", self.state)
        self.assertEqual(["announce", "lose", "announce"], self.ingress.calls)

    def test_an_announcement_after_the_loss_is_cold(self):
        self.lose()
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
        self.clock.advance(CHECK_SECONDS)
        early = self.backend.attempts.pop()
        self.watch.announce(replace(SERVER, port=8001))
        early.errback(ConnectionRefusedError())
        self.assertEqual("ready", self.state)

    def test_a_drained_server_returns_only_by_an_announcement(self):
        self.watch.announce(SERVER)
        self.watch.drain()
        self.assertEqual("draining", self.state)
        self.clock.advance(CHECK_SECONDS)
        self.fail_probe()
        self.clock.advance(CHECK_SECONDS)
        self.accept_probe()
        self.assertEqual("draining", self.state)
        self.watch.announce(SERVER)
        self.assertEqual("ready", self.state)

    def test_a_leaving_node_takes_no_server_back(self):
        self.watch.announce(SERVER)
        self.watch.leave()
        self.watch.announce(SERVER)
        self.assertEqual("draining", self.state)
        self.assertTrue(self.ingress.draining)

    def test_a_stopped_watch_leaves_the_record_alone(self):
        self.watch.announce(SERVER)
        self.clock.advance(CHECK_SECONDS)
        self.watch.stop()
        self.members.update_own_record(state="left")
        self.fail_probe()
        self.watch.note_outcome(LOST)
        self.assertEqual([], self.backend.attempts)
        self.assertEqual("left", self.state)
        self.assertEqual([], self.clock.getDelayedCalls())
