"""Tests of the choice among servers."""

from collections import Counter
from random import Random

from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.proxy.balance import Balance
from flamingosail.proxy.balance import ServerGroup
from flamingosail.proxy.servers import RemoteServer

__all__ = []

FAILURE_DOMAINS = ("fd-a", "fd-b", "fd-c")


class Server(RemoteServer):
    """A server that counts how often it is looked at."""

    usable = True

    def __init__(self, failure_domain: str, *, running: int = 0):
        super().__init__()
        self.failure_domain = failure_domain
        self.state = "ready"
        self.capacity = 20
        self.running = running
        self.looks = 0

    def load(self):
        self.looks += 1
        return super().load()


class BalanceTest(TestCase):
    """Guards the price of a choice and its preference for near servers."""

    def setUp(self):
        super().setUp()
        self.balance = Balance(
            clock=Clock(), random=Random(3), failure_domain="fd-b"
        )

    def servers(self, *, near: int):
        """Return 30 servers, those of the own domain as loaded as said."""
        return ServerGroup(
            [
                Server(domain, running=near if domain == "fd-b" else 0)
                for domain in FAILURE_DOMAINS * 10
            ],
            "fd-b",
        )

    def test_few_servers_are_looked_at_while_they_have_room(self):
        servers = self.servers(near=10)
        chosen = self.balance.choose(servers)
        self.assertEqual("fd-b", chosen.failure_domain)
        self.assertEqual(4, sum(server.looks for server in servers))

    def test_far_servers_are_taken_when_near_ones_are_full(self):
        servers = self.servers(near=60)
        chosen = self.balance.choose(servers)
        self.assertNotEqual("fd-b", chosen.failure_domain)

    def test_the_only_near_server_with_room_is_found(self):
        servers = self.servers(near=60)
        servers.near[7].running = 0
        for _ in range(20):
            chosen = self.balance.choose(servers)
            self.assertEqual(servers.near[7], chosen)

    def test_a_server_that_cannot_be_reached_is_passed_over(self):
        servers = self.servers(near=10)
        for server in servers.near + servers.far[:19]:
            server.usable = False
        chosen = self.balance.choose(servers)
        self.assertEqual(servers.far[19], chosen)

    def test_old_news_do_not_send_all_to_one_server(self):
        # Ten servers, of which one looked a little better to all nodes.
        servers = self.servers(near=10)
        servers.near[0].running = 7
        chosen = Counter(self.balance.choose(servers) for _ in range(200))
        self.assertLess(chosen[servers.near[0]], 100)
