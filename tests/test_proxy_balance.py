"""Tests of the choice among servers."""

from random import Random

from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.proxy.balance import Balance
from flamingosail.proxy.balance import nearest_first
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
        self.room = 20
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
        return nearest_first(
            [
                Server(domain, running=near if domain == "fd-b" else 0)
                for domain in FAILURE_DOMAINS * 10
            ],
            "fd-b",
        )

    def test_far_servers_cost_nothing_while_near_ones_have_room(self):
        servers = self.servers(near=10)
        chosen = self.balance.choose(servers)
        self.assertEqual("fd-b", chosen.failure_domain)
        self.assertEqual(10, sum(server.looks for server in servers))

    def test_far_servers_are_taken_when_near_ones_are_full(self):
        servers = self.servers(near=60)
        chosen = self.balance.choose(servers)
        self.assertNotEqual("fd-b", chosen.failure_domain)

    def test_a_server_that_cannot_be_reached_is_passed_over(self):
        servers = self.servers(near=10)
        for server in servers[:10]:
            server.usable = False
        chosen = self.balance.choose(servers)
        self.assertNotEqual("fd-b", chosen.failure_domain)
