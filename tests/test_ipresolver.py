"""Tests of the resolver of IP addresses."""

from testtools import TestCase
from twisted.internet.address import IPv4Address
from twisted.internet.address import IPv6Address

from flamingosail.ipresolver import IpResolver


class Receiver:
    """Records the calls of a resolver."""

    def __init__(self):
        self.calls = []

    def resolutionBegan(self, resolution):  # noqa: N802
        self.calls.append("began")

    def addressResolved(self, address):  # noqa: N802
        self.calls.append(address)

    def resolutionComplete(self):  # noqa: N802
        self.calls.append("complete")


class IpResolverTest(TestCase):
    """Guards against lookups in a thread by the system's resolver."""

    def resolve(self, name):
        receiver = Receiver()
        IpResolver().resolveHostName(receiver, name, 80)
        self.assertEqual("began", receiver.calls[0])
        self.assertEqual("complete", receiver.calls[-1])
        return receiver.calls[1:-1]

    def test_ip_addresses_are_their_own_result(self):
        self.assertEqual(
            [IPv4Address("TCP", "127.0.0.1", 80)], self.resolve("127.0.0.1")
        )
        self.assertEqual([IPv6Address("TCP", "::1", 80)], self.resolve("::1"))

    def test_names_are_not_resolved(self):
        self.assertEqual([], self.resolve("localhost"))
