"""Tests of the messages between nodes and of their cost."""

from random import Random

from testtools import TestCase
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from flamingosail.proxy.policy.balance import LoadBalancer
from flamingosail.proxy.policy.overload import Admission
from flamingosail.proxy.policy.overload import LoadReport
from flamingosail.proxy.policy.quarantine import Verdict
from flamingosail.proxy.shared.freshness import Freshness
from flamingosail.proxy.shared.loadreports import aggregate_by_service
from flamingosail.proxy.shared.loadreports import LoadReports
from flamingosail.proxy.shared.servers import LocalServer
from flamingosail.proxy.transport.hop import Call
from flamingosail.proxy.transport.hop import ConfigPull
from flamingosail.proxy.transport.hop import CrashEvidence
from flamingosail.proxy.transport.hop import DomainLoad
from flamingosail.proxy.transport.hop import encode_frame
from flamingosail.proxy.transport.hop import Evidence
from flamingosail.proxy.transport.hop import FrameBuffer
from flamingosail.proxy.transport.hop import Hello
from flamingosail.proxy.transport.hop import Members
from flamingosail.proxy.transport.hop import MembersPull
from flamingosail.proxy.transport.hop import Ping
from flamingosail.proxy.transport.hop import Pong
from flamingosail.proxy.transport.hop import QuotaGrant
from flamingosail.proxy.transport.hop import ServerTerms
from flamingosail.proxy.transport.hop import Status
from flamingosail.proxy.transport.hopconnection import InboundConnection
from flamingosail.proxy.transport.peer import Peer
from flamingosail.proxy.transport.peers import PeerTable
from flamingosail.proxy.transport.peers import TICK_SECONDS
from flamingosail.settings import Address
from tests.proxyfakes import ClosingTransport
from tests.proxyfakes import make_gate
from tests.proxyfakes import make_quotas
from tests.proxyfakes import make_report

OWN = Address("10.0.0.5", 80)
CALL = {
    "request_id": b"a",
    "service": "histbook",
    "request_line": b"GET /a HTTP/1.1\r\n",
    "head": b"",
    "body": b"",
    "left_ms": 1000,
    "idempotent": True,
    "root_route": 1,
    "rank": 1,
    "is_retry": False,
}


class PeerTableTest(TestCase):
    """Guards the cost of the mesh and the detection of silent peers."""

    def setUp(self):
        super().setUp()
        self.clock = MemoryReactorClock()
        self.clock.advance(10.0)
        gate = make_gate(self.clock)
        self.report = LoadReport(
            "histbook",
            10,
            2,
            {1: 30},
            {1: 25},
            {1: 24},
            {1: 20},
            {1: 50},
            {1: 9},
        )
        self.table = PeerTable(
            reactor=self.clock,
            random=Random(1),
            gate=gate,
            local=LocalServer(gate=gate, failure_domain="fd-a"),
            own_address=OWN,
            hello=lambda: Hello("own", "fd-a", str(OWN)),
            status=lambda: None,
            load_report=lambda: self.report,
            on_reports=lambda reports: None,
            config_version=lambda: 1,
            config_document=lambda: b"",
            on_config=lambda document, source: None,
            quotas=make_quotas(self.clock),
        )
        self.transports = {}

    def connect(self, host: str, failure_domain: str) -> Peer:
        """Add a connected peer that has sent its Hello."""
        address = Address(host, 80)
        self.table.add(address)
        peer = self.table.peers[address]
        protocol = self.clock.tcpClients[-1][2].buildProtocol(None)
        self.transports[peer] = ClosingTransport()
        protocol.makeConnection(self.transports[peer])
        self.receive(peer, Hello("peer", failure_domain, str(address)))
        return peer

    def receive(self, peer: Peer, message):
        """Deliver a message from a peer."""
        peer.connection.dataReceived(encode_frame(message))

    def pop_sent(self, peer: Peer, kind: type) -> list:
        """Return the messages sent to a peer since the last call."""
        transport = self.transports[peer]
        messages = FrameBuffer().feed(transport.value())
        transport.clear()
        return [message for message in messages if type(message) is kind]

    def run_for(self, seconds: float, *responding: Peer) -> dict:
        """Advance the clock and return the pings sent to each peer."""
        pings = {peer: [] for peer in self.transports}
        for _ in range(round(seconds / TICK_SECONDS)):
            self.clock.advance(TICK_SECONDS)
            self.table.tick()
            for peer in self.transports:
                new = self.pop_sent(peer, Ping)
                pings[peer] += new
                if new and peer in responding:
                    self.respond(peer, new[-1].evidence_digest)
        return pings

    def respond(self, peer: Peer, digest: int):
        """Answer a ping as a peer with this digest of its evidence."""
        self.receive(peer, Pong(0, 0, 10, 1, True, 100, 0, digest))

    def test_a_node_that_cannot_read_the_members_asks_for_them(self):
        """Nodes of a restarted domain would only know those of others."""
        far = self.connect("10.0.2.1", "fd-b")
        self.run_for(0.5, far)
        self.table.tick()
        self.assertEqual(1, len(self.pop_sent(far, MembersPull)))
        self.receive(
            far,
            Members(
                [
                    ("10.0.2.1:80", "fd-b"),
                    (str(OWN), "fd-a"),
                    ("10.0.0.6:80", "fd-a"),
                    ("10.0.3.1:80", ""),
                ]
            ),
        )
        self.assertEqual(
            {"10.0.2.1": "fd-b", "10.0.0.6": "fd-a", "10.0.3.1": ""},
            {
                address.host: peer.failure_domain
                for address, peer in self.table.peers.items()
            },
        )
        self.assertTrue(self.table.peers[Address("10.0.0.6", 80)].near)
        self.assertTrue(self.table.member_spread.complete)
        self.table.tick()
        self.assertEqual([], self.pop_sent(far, MembersPull))

    def test_only_a_node_that_knows_the_members_tells_them(self):
        """What a restarted node has heard of is a part of them."""
        self.connect("10.0.2.1", "fd-b")
        asking = InboundConnection(table=self.table)
        transport = ClosingTransport()
        asking.makeConnection(transport)
        transport.clear()
        asking.dataReceived(encode_frame(MembersPull()))
        self.assertEqual(b"", transport.value())
        self.table.member_spread.confirm("store")
        asking.dataReceived(encode_frame(MembersPull()))
        (members,) = FrameBuffer().feed(transport.value())
        self.assertEqual(
            [(str(OWN), "fd-a"), ("10.0.2.1:80", "fd-b")], members.entries
        )

    def test_an_error_in_one_message_does_not_close_the_connection(self):
        """All calls to an innocent peer were in doubt."""
        near = self.connect("10.0.0.6", "fd-a")
        self.table.quotas.handle_grant = lambda message: 1 / 0
        self.receive(near, QuotaGrant([]))
        self.assertFalse(self.transports[near].aborted)
        self.receive(near, Pong(3, 0, 10, 1))
        self.assertEqual(3, near.running)

    def test_many_far_peers_without_calls_are_pinged_less_often(self):
        near = self.connect("10.0.0.6", "fd-a")
        far = [self.connect(f"10.0.2.{n}", "fd-b") for n in range(64)]
        pings = self.run_for(20.0, near, *far)
        self.assertGreaterEqual(len(pings[near]), 38)
        self.assertLessEqual(sum(len(pings[peer]) for peer in far), 64 * 6)
        self.assertIsNone(pings[far[0]][0].report)
        self.assertIsNotNone(pings[near][0].report)

    def test_few_far_peers_are_pinged_each_second(self):
        """Guards against sending too many calls to other failure domains.

        With older loads, four domains of one server each did so.
        """
        far = self.connect("10.0.0.7", "fd-b")
        self.assertGreaterEqual(len(self.run_for(20.0, far)[far]), 18)

    def test_a_call_to_an_idle_far_peer_sends_a_ping_first(self):
        """Without it, an unreachable peer gets calls for a ping interval."""
        far = self.connect("10.0.0.7", "fd-b")
        self.table.idle_ping_seconds = 4.0
        self.run_for(6.5, far)
        far.connection.call(1, CALL)
        data = self.transports[far].value()
        kinds = [type(message) for message in FrameBuffer().feed(data)]
        self.assertEqual([Ping, Call], kinds)
        self.assertTrue(far.usable)
        self.clock.advance(1.0)
        self.assertFalse(far.usable)

    def test_a_silent_peer_gets_no_calls_and_is_closed(self):
        near = self.connect("10.0.0.6", "fd-a")
        self.run_for(1.0)
        self.assertFalse(near.usable)
        self.run_for(2.0)
        self.assertTrue(self.transports[near].aborted)

    def test_an_error_in_one_tick_does_not_stop_the_pings(self):
        near = self.connect("10.0.0.6", "fd-a")
        self.table.on_reports = lambda reports: 1 / 0
        self.table.start()
        self.pop_sent(near, Ping)
        self.table.on_reports = lambda reports: None
        self.clock.pump([TICK_SECONDS] * 4)
        self.assertNotEqual([], self.pop_sent(near, Ping))
        self.table.stop()

    def test_peers_in_a_large_domain_are_pinged_less_often(self):
        peers = [self.connect(f"10.0.1.{n}", "fd-a") for n in range(40)]
        pings = self.run_for(10.0, *peers)
        self.assertLessEqual(sum(map(len, pings.values())), 440)

    def test_the_store_is_read_by_two_nodes_of_a_failure_domain(self):
        self.assertTrue(self.table.is_store_reader())
        first = self.connect("10.0.0.1", "fd-a")
        self.connect("10.0.0.2", "fd-b")
        self.connect("10.0.0.9", "fd-a")
        self.assertTrue(self.table.is_store_reader())
        second = self.connect("10.0.0.3", "fd-a")
        self.assertFalse(self.table.is_store_reader())
        # One of the readers does not reach the store.
        self.receive(first, Pong(0, 0, 10, 1, False))
        self.assertTrue(self.table.is_store_reader())
        self.receive(first, Pong(0, 0, 10, 1, True))
        self.assertFalse(self.table.is_store_reader())
        # One of the readers goes silent.
        self.run_for(2.0, first)
        self.assertFalse(second.usable)
        self.assertTrue(self.table.is_store_reader())

    def test_few_nodes_call_a_store_that_is_down(self):
        for number in range(1, 5):
            peer = self.connect(f"10.0.0.{number}", "fd-a")
            self.assertEqual(number < 4, self.table.is_store_reader())
            self.receive(peer, Pong(0, 0, 10, 1, False))

    def test_the_era_of_the_store_reaches_all_nodes(self):
        """Guards against offsets of a store that was restored meanwhile."""
        peer = self.connect("10.0.0.1", "fd-b")
        self.receive(peer, Pong(0, 0, 10, 1, True, 100, 2))
        self.assertEqual(2, self.table.store_era.number)
        self.receive(peer, Pong(0, 0, 10, 1, True, 100, 1))
        self.assertEqual(2, self.table.store_era.number)
        sent = self.run_for(2.0, peer)[peer]
        self.assertEqual(2, sent[-1].store_era)

    def test_the_run_time_of_a_server_is_known_while_its_node_tells_it(self):
        """A node may be replaced by one of an older release."""
        peer = self.connect("10.0.0.1", "fd-b")
        self.receive(peer, Pong(0, 0, 10, 1, run_ms=140))
        self.assertEqual(0.14, peer.run_seconds)
        self.receive(peer, Pong(0, 0, 10, 1))
        self.assertEqual(0.0, peer.run_seconds)
        self.assertEqual(10, peer.capacity)

    def test_a_crash_is_announced_to_all_peers_at_once(self):
        """Guards against nodes that send on what has crashed a server."""
        near = self.connect("10.0.0.1", "fd-a")
        far = self.connect("10.0.0.2", "fd-b")
        quarantine = self.table.quarantine
        quarantine.on_change = self.table.announce_evidence
        quarantine.record_crash(("i-1", 1), [7, 8], None)
        for peer in (near, far):
            crash = self.pop_sent(peer, Ping)[-1].evidence.crashes[0]
            self.assertEqual([7, 8], crash.suspects)
        # The same evidence is not sent again.
        for pings in self.run_for(3.0, near, far).values():
            self.assertEqual({None}, {ping.evidence for ping in pings})

    def test_news_do_not_hide_older_evidence(self):
        """Guards against a node that misses a crash for long."""
        lacks = self.connect("10.0.0.2", "fd-b")
        quarantine = self.table.quarantine
        quarantine.on_change = self.table.announce_evidence
        quarantine.merge(Evidence([CrashEvidence("i-1", 1, 50, [], [8])], []))
        quarantine.record_crash(("i-2", 1), [7], None)
        pings = self.pop_sent(lacks, Ping)
        self.respond(lacks, 5)
        pings += self.run_for(2.0, lacks)[lacks]
        told = {
            crash.instance
            for ping in pings
            if ping.evidence is not None
            for crash in ping.evidence.crashes
        }
        self.assertEqual({"i-1", "i-2"}, told)

    def test_evidence_of_a_crash_is_passed_on(self):
        """Guards against a cut between the node that knows and another."""
        knows = self.connect("10.0.0.1", "fd-a")
        lacks = self.connect("10.0.0.2", "fd-b")
        evidence = Evidence([CrashEvidence("i-1", 1, 50, [7], [8])], [])
        digest = self.digest_of(evidence)
        self.receive(knows, Pong(0, 0, 10, 1, True, 100, 0, digest, evidence))
        self.assertEqual(digest, self.table.quarantine.digest)
        self.respond(lacks, 0)
        pings = self.run_for(1.5, knows, lacks)
        self.assertEqual(evidence.crashes[0].blamed, [8])
        passed_on = [ping.evidence for ping in pings[lacks] if ping.evidence]
        self.assertEqual(1, len(passed_on))
        self.assertEqual([8], passed_on[0].crashes[0].blamed)
        # The node that told it does not get it back.
        self.assertIsNone(pings[knows][0].evidence)

    def digest_of(self, evidence: Evidence) -> int:
        quarantine = make_gate(self.clock).quarantine
        quarantine.merge(evidence)
        return quarantine.digest

    def test_a_new_connection_begins_with_the_evidence(self):
        """Guards against a restarted node that runs what others refuse."""
        self.table.hello = lambda: Hello(
            "own", "fd-a", str(OWN), None, self.table.quarantine.evidence()
        )
        self.table.quarantine.record_crash(("i-1", 1), [7], None)
        peer = self.connect("10.0.0.1", "fd-a")
        hello = self.pop_sent(peer, Hello)[0]
        self.assertEqual([7], hello.evidence.crashes[0].suspects)
        self.receive(
            peer,
            Hello(
                "peer",
                "fd-a",
                "10.0.0.1:80",
                None,
                Evidence([CrashEvidence("i-2", 1, 50, [], [7])], []),
            ),
        )
        self.assertIs(Verdict.QUARANTINED, self.table.quarantine.verdict(7))

    def test_a_configuration_is_pulled_from_near_peers_first(self):
        """One reader would otherwise send it to all failure domains."""
        near = self.connect("10.0.0.1", "fd-a")
        far = self.connect("10.0.0.2", "fd-b")
        self.receive(far, Pong(0, 0, 10, 2))
        self.assertEqual([], self.pop_sent(far, ConfigPull))
        self.receive(near, Pong(0, 0, 10, 2))
        self.assertEqual(1, len(self.pop_sent(near, ConfigPull)))
        self.clock.advance(1.0)
        self.receive(far, Pong(0, 0, 10, 2))
        self.assertEqual(1, len(self.pop_sent(far, ConfigPull)))

    def test_a_node_without_near_peers_pulls_at_once(self):
        far = self.connect("10.0.0.2", "fd-b")
        self.receive(far, Pong(0, 0, 10, 2))
        self.assertEqual(1, len(self.pop_sent(far, ConfigPull)))

    def test_servers_are_grouped_once_for_many_changes(self):
        """With n nodes starting, n groupings of n servers were made."""
        groupings = []
        group_servers = self.table.group_servers
        self.table.group_servers = lambda: (
            groupings.append(1) or group_servers()
        )
        for number in range(11, 19):
            peer = self.connect(f"10.0.0.{number}", "fd-a")
            self.receive(
                peer,
                Status("ready", "histbook", "i", 9, 0, 0, 0.0, False, 1),
            )
        servers = self.table.by_service["histbook"].same_domain
        self.assertEqual((8, 1), (len(servers), len(groupings)))

    def test_a_draining_server_gets_nothing_after_its_time(self):
        """Its gate may be frozen and not know how much time has passed."""
        peer = self.connect("10.0.0.6", "fd-a")
        self.receive(
            peer,
            Status(
                "draining",
                "histbook",
                "i",
                9,
                0,
                0,
                0,
                False,
                1,
                ServerTerms("i", 1000, None, 1.3),
            ),
        )
        balancer = LoadBalancer(
            clock=self.clock, random=Random(1), failure_domain="fd-a"
        )
        servers = self.table.by_service["histbook"]
        self.clock.advance(1.2)
        self.assertIs(peer, balancer.choose(servers))
        self.clock.advance(0.2)
        self.assertIsNone(balancer.choose(servers))

    def test_a_peer_that_restarts_is_told_the_terms_of_its_server(self):
        """It has forgotten them; its server may not state them again."""
        peer = self.connect("10.0.0.6", "fd-a")
        terms = ServerTerms("i", 1000, 12.0, 1.5)
        status = Status(
            "draining", "histbook", "i", 9, 0, 0, 0, False, 1, terms
        )
        self.receive(peer, status)
        peer.connection.connectionLost()
        self.clock.advance(1.0)
        peer = self.connect("10.0.0.6", "fd-a")
        (hello,) = self.pop_sent(peer, Hello)
        self.assertEqual(ServerTerms("i", 1000, 12.0, 0.5), hello.terms)
        # The peer knows no server yet.
        status = Status("absent", "histbook", "", 0, 0, 0, 0, False, 1)
        self.receive(peer, status)
        peer.connection.connectionLost()
        peer = self.connect("10.0.0.6", "fd-a")
        (hello,) = self.pop_sent(peer, Hello)
        self.assertEqual(12.0, hello.terms.rate_limit)

    def test_recalled_terms_reach_the_gate(self):
        inbound = self.table.buildProtocol(None)
        inbound.makeConnection(ClosingTransport())
        terms = ServerTerms("i-1", 1000, 12.0, None)
        hello = Hello("peer", "fd-a", "10.0.0.6:80", terms)
        inbound.dataReceived(encode_frame(hello))
        server = self.table.gate.server
        server.handle_report(make_report())
        self.assertEqual(12.0, server.limiter.rate)

    def test_a_status_of_an_earlier_release_is_understood(self):
        status = Status("draining", "histbook", "i", 9, 0, 0, 0.0, False, 1)
        frame = encode_frame(status)
        # The former message ended with the configuration's version.
        body = bytes([frame[4] - 1]) + frame[5:-1]
        former = len(body).to_bytes(4, "big") + body
        self.assertEqual([status], FrameBuffer().feed(former))

    def test_a_pong_of_an_earlier_release_is_understood(self):
        frame = encode_frame(Pong(1, 2, 3, 4))
        # The former message ended with the configuration's version.
        body = bytes([frame[4] - 1]) + frame[5:-1]
        former = len(body).to_bytes(4, "big") + body
        self.assertEqual([Pong(1, 2, 3, 4)], FrameBuffer().feed(former))

    def test_a_late_pong_proves_the_time_of_its_ping(self):
        """Guards against a lease renewed by what lay in a buffer.

        Each Pong counts for its own Ping, and one without a Ping not at all.
        """
        freshness = self.table.freshness = Freshness(
            seconds=self.clock.seconds,
            config_version=lambda: 1,
            revocation_seconds=5.0,
        )
        peer = self.connect("10.0.0.6", "fd-a")
        pong = Pong(0, 0, 9, 1, config_age_ms=500)
        self.receive(peer, pong)
        self.assertFalse(freshness.is_current())
        start = self.clock.seconds()
        for elapsed in (0.0, 1.0):
            peer.connection.ping(start + elapsed)
            self.clock.advance(1.0)
        self.clock.advance(2.0)
        self.receive(peer, pong)
        self.assertEqual(start - 0.5, freshness.proved_at)
        self.receive(peer, pong)
        self.assertEqual(start + 0.5, freshness.proved_at)
        self.receive(peer, pong)
        self.assertEqual(start + 0.5, freshness.proved_at)

    def test_one_node_of_a_domain_sends_the_aggregate(self):
        near, far = (
            self.connect("10.0.0.6", "fd-a"),
            self.connect("10.0.0.7", "b"),
        )
        self.table.reports.add_report("10.0.0.6:80", self.report)
        self.table.tick()
        self.assertEqual([], self.pop_sent(near, DomainLoad))
        (message,) = self.pop_sent(far, DomainLoad)
        self.assertEqual(2, message.nodes)
        self.assertEqual(
            [
                LoadReport(
                    "histbook",
                    20,
                    4,
                    {1: 60},
                    {1: 50},
                    {1: 48},
                    {1: 40},
                    {1: 100},
                    {1: 18},
                )
            ],
            message.reports,
        )

    def test_the_aggregate_updates_far_servers_with_an_old_load(self):
        """Without it they look idle, and a full domain gets further calls."""
        first = self.connect("10.0.0.7", "fd-b")
        second = self.connect("10.0.0.8", "fd-b")
        for peer, capacity in ((first, 10), (second, 30)):
            status = Status(
                "ready", "histbook", "i", capacity, 0, 0, 0, False, 1
            )
            self.receive(peer, status)
        self.clock.advance(2.0)
        self.receive(second, Pong(3, 0, 30, 1))
        report = LoadReport("histbook", 40, 20, usage={1: 3000, 2: 1000})
        self.table.handle_aggregate(
            "fd-b", "10.0.0.7:80", DomainLoad(2, [report])
        )
        self.assertEqual((10, 5), (first.running, first.waiting))
        self.assertEqual((3, 0), (second.running, second.waiting))

    def test_the_next_node_aggregates_when_the_aggregator_is_silent(self):
        aggregator = self.connect("10.0.0.4", "fd-a")
        far = self.connect("10.0.0.7", "fd-b")
        self.table.tick()
        self.assertEqual([], self.pop_sent(far, DomainLoad))
        self.clock.advance(1.0)
        self.assertFalse(aggregator.usable)
        self.table.tick()
        self.assertEqual(1, len(self.pop_sent(far, DomainLoad)))


class LoadReportsTest(TestCase):
    """Guards against admission that counts a node twice or not at all."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.reports = LoadReports(clock=self.clock)
        self.own = LoadReport("deep", 4, 0, {1: 10})

    def single(self, service, capacity, waiting, offered, completed, usage):
        """Return a report with one call for each 20 ms of usage."""
        calls = {key: number * 5 for key, number in usage.items()}
        return LoadReport(
            service,
            capacity,
            waiting,
            offered,
            offered,
            offered,
            completed,
            usage,
            calls,
        )

    def test_aggregates_give_the_same_shares_as_their_reports(self):
        singles = [
            self.single("deep", 10, 3, {1: 400}, {1: 200}, {1: 900, 2: 50}),
            self.single("deep", 0, 9, {1: 100}, {1: 50}, {1: 700}),
            self.single("deep", 10, 8, {1: 500}, {1: 200}, {1: 950, 2: 40}),
            self.single("front", 50, 0, {2: 300}, {2: 250}, {1: 200}),
        ]
        shares = []
        for reports in (singles, aggregate_by_service(singles)):
            admission = Admission(clock=self.clock)
            admission.compute_shares(reports, {1: 1, 2: 2})
            shares.append(admission.shares)
        self.assertNotEqual({}, shares[0])
        self.assertEqual(*shares)

    def test_the_aggregate_has_rejections_and_accounts(self):
        """Other domains did not see that a service rejects calls."""
        singles = [
            LoadReport(
                "deep",
                4,
                arrivals=100,
                rejected=rejected,
                accounts={1: {7: 30, account: 10}},
            )
            for account, rejected in ((8, 20), (9, 90))
        ]
        [total] = aggregate_by_service(singles)
        self.assertEqual((200, 110), (total.arrivals, total.rejected))
        self.assertEqual({1: {7: 60, 8: 10, 9: 10}}, total.accounts)

    def test_the_aggregate_over_more_nodes_counts(self):
        """A node that is cut off from its domain also acts as aggregator."""
        whole = LoadReport("deep", 40, 0)
        part = LoadReport("deep", 4, 0)
        self.reports.add_aggregate("fd-b", "10.0.0.1:80", 10, [whole])
        self.reports.add_aggregate("fd-b", "10.0.0.9:80", 1, [part])
        self.assertEqual([self.own, whole], self.reports.all_reports(self.own))

    def test_old_reports_do_not_count(self):
        self.reports.add_report("10.0.0.2:80", self.own)
        self.reports.add_aggregate("fd-b", "10.0.0.1:80", 1, [self.own])
        self.assertEqual(3, len(self.reports.all_reports(self.own)))
        self.clock.advance(3.0)
        self.assertEqual([self.own], self.reports.all_reports(self.own))
