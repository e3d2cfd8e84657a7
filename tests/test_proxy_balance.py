"""Tests of load balancing over backend servers."""

from collections import Counter
from random import Random

from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.proxy.balance import LoadBalancer
from flamingosail.proxy.balance import ServerGroup
from flamingosail.proxy.servers import RemoteServer

__all__ = []

FAILURE_DOMAINS = ("fd-a", "fd-b", "fd-c")


class Server(RemoteServer):
    """A server that counts how often its load is read."""

    usable = True

    def __init__(self, failure_domain: str, *, running: int = 0):
        super().__init__()
        self.failure_domain = failure_domain
        self.state = "ready"
        self.capacity = 20
        self.running = running
        self.load_reads = 0

    def load(self):
        self.load_reads += 1
        return super().load()


class LoadBalancerTest(TestCase):
    """Guards the cost of a choice and the preference for our own domain."""

    def setUp(self):
        super().setUp()
        self.balancer = LoadBalancer(
            clock=Clock(), random=Random(3), failure_domain="fd-b"
        )

    def servers(self, *, load: int):
        """Return 30 servers; those of our domain run ``load`` requests."""
        return ServerGroup(
            [
                Server(domain, running=load if domain == "fd-b" else 0)
                for domain in FAILURE_DOMAINS * 10
            ],
            "fd-b",
        )

    def test_few_servers_are_compared_while_slots_are_free(self):
        servers = self.servers(load=10)
        chosen = self.balancer.choose(servers)
        self.assertEqual("fd-b", chosen.failure_domain)
        self.assertEqual(4, sum(server.load_reads for server in servers))

    def test_other_domains_are_used_when_our_own_is_full(self):
        servers = self.servers(load=60)
        chosen = self.balancer.choose(servers)
        self.assertNotEqual("fd-b", chosen.failure_domain)

    def test_the_only_free_server_of_our_domain_is_found(self):
        servers = self.servers(load=60)
        servers.same_domain[7].running = 0
        for _ in range(20):
            chosen = self.balancer.choose(servers)
            self.assertEqual(servers.same_domain[7], chosen)

    def test_unreachable_servers_are_not_chosen(self):
        servers = self.servers(load=10)
        for server in servers.same_domain + servers.other_domains[:19]:
            server.usable = False
        chosen = self.balancer.choose(servers)
        self.assertEqual(servers.other_domains[19], chosen)

    def test_stale_load_does_not_send_all_requests_to_one_server(self):
        # One of the ten servers has a slightly lower reported load.
        servers = self.servers(load=10)
        servers.same_domain[0].running = 7
        chosen = Counter(self.balancer.choose(servers) for _ in range(200))
        self.assertLess(chosen[servers.same_domain[0]], 100)
