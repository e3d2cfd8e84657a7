"""Tests of how a configuration reaches the nodes that do not read it."""

from testtools import TestCase
from twisted.internet.testing import MemoryReactorClock

from flamingosail.proxy.shared.configspread import ConfigSource
from flamingosail.proxy.transport.hop import ConfigCopy
from flamingosail.proxy.transport.hop import ConfigPull
from flamingosail.proxy.transport.hop import encode_frame
from flamingosail.proxy.transport.hop import FrameBuffer
from flamingosail.proxy.transport.hop import Hello
from flamingosail.proxy.transport.hop import Ping
from flamingosail.proxy.transport.hop import Pong
from flamingosail.proxy.transport.hop import Status
from flamingosail.proxy.transport.peer import Peer
from flamingosail.settings import Address
from tests.proxyfakes import ClosingTransport
from tests.proxyfakes import make_node
from tests.proxyfakes import make_table

# The platform's shortest time to apply a configuration is 2 s. Half of it is
# left for the way to the first node, and from failure domain to failure
# domain.
SPREAD_SECONDS = 1.0


class ConfigSpreadTest(TestCase):
    """No version may wait for the next message of another node."""

    def setUp(self):
        super().setUp()
        self.clock = MemoryReactorClock()
        self.clock.advance(10.0)
        self.node = make_node(
            self.clock, lambda document: make_table(int(document))
        )
        self.table = self.node.peers
        self.transports = {}

    def connect(self, host: str, failure_domain: str, version=1) -> Peer:
        """Add a connected peer with a version in force."""
        address = Address(host, 80)
        self.table.add(address)
        peer = self.table.peers[address]
        protocol = self.clock.tcpClients[-1][2].buildProtocol(None)
        self.transports[peer] = ClosingTransport()
        protocol.makeConnection(self.transports[peer])
        self.receive(peer, Hello("peer", failure_domain, str(address)))
        self.receive(
            peer,
            Status("ready", "histbook", "i", 9, 0, 0, 0.0, False, version),
        )
        return peer

    def receive(self, peer: Peer, message):
        """Deliver a message from a peer."""
        peer.connection.dataReceived(encode_frame(message))

    def sent(self, peer: Peer, kind: type) -> list:
        """Return the messages of a kind that were sent to a peer."""
        messages = FrameBuffer().feed(self.transports[peer].value())
        return [message for message in messages if type(message) is kind]

    def announced(self, *peers: Peer) -> int:
        """Return how many peers were told of the version in force."""
        return sum(
            self.node.config_version()
            in {ping.config_version for ping in self.sent(peer, Ping)}
            for peer in peers
        )

    def apply(self, version: int, source=ConfigSource.STORE):
        """Put a version in force."""
        self.node.apply_config(b"%d" % version, source)

    def test_a_version_of_a_far_peer_is_pulled_without_another_message(self):
        """Guards against a version that waits for the second ping.

        Between failure domains, pings may be seconds apart.
        """
        self.apply(1)
        self.connect("10.0.0.1", "fd-a")
        far = self.connect("10.0.0.2", "fd-b")
        self.receive(far, Pong(0, 0, 10, 2))
        self.assertEqual([], self.sent(far, ConfigPull))
        self.clock.advance(SPREAD_SECONDS)
        self.assertEqual([ConfigPull(1)], self.sent(far, ConfigPull))

    def test_a_version_is_announced_to_other_failure_domains(self):
        """Guards against a domain whose own readers hear late.

        Nothing was sent to other failure domains on a change.
        """
        near = [self.connect(f"10.0.0.{n}", "fd-a") for n in range(6, 9)]
        far = {
            domain: [
                self.connect(f"10.0.{domain}.{n}", f"fd-{domain}")
                for n in range(20)
            ]
            for domain in (1, 2)
        }
        self.apply(2)
        self.assertEqual(3, self.announced(*near))
        for peers in far.values():
            self.assertEqual(2, self.announced(*peers))

    def test_a_version_of_a_far_peer_is_announced(self):
        """Guards against nodes that all pull from other failure domains."""
        self.apply(1)
        near = self.connect("10.0.0.1", "fd-a")
        far = self.connect("10.0.0.2", "fd-b")
        third = self.connect("10.0.0.3", "fd-c")
        self.receive(far, ConfigCopy(b"2"))
        self.assertEqual(2, self.node.config_version())
        self.assertEqual(2, self.announced(near, third))

    def test_a_pull_that_stays_unanswered_is_sent_to_another_peer(self):
        """Guards against a version that one silent connection holds up."""
        self.apply(1)
        peers = [self.connect(f"10.0.0.{n}", "fd-a") for n in (1, 2)]
        far = self.connect("10.0.0.3", "fd-b")
        for peer in (*peers, far):
            self.receive(peer, Pong(0, 0, 10, 2))
        self.assertEqual(1, self.pulls(*peers, far))
        self.clock.advance(SPREAD_SECONDS)
        self.assertEqual(2, self.pulls(*peers))

    def pulls(self, *peers: Peer) -> int:
        """Return how many peers were asked for a configuration."""
        return sum(bool(self.sent(peer, ConfigPull)) for peer in peers)
