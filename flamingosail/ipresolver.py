"""Name resolution without threads: only IP addresses are accepted.

The resolver that twisted installs by default asks the system in a thread,
also for text that already is an IP address. Nodes know all addresses by IP
number and run on one thread.
"""

from collections.abc import Sequence
from ipaddress import ip_address

from twisted.internet.address import IPv4Address
from twisted.internet.address import IPv6Address
from twisted.internet.interfaces import IHostnameResolver
from twisted.internet.interfaces import IHostResolution
from twisted.internet.interfaces import IResolutionReceiver
from zope.interface import implementer

__all__ = ["IpResolver"]


@implementer(IHostResolution)
class IpResolution:
    """A resolution that ends where it begins."""

    def __init__(self, *, name: str):
        self.name = name

    def cancel(self):
        """Do nothing: the resolution has ended."""


@implementer(IHostnameResolver)
class IpResolver:
    """Resolves IP addresses to themselves and nothing else."""

    def resolveHostName(  # noqa: N802 - named by twisted
        self,
        resolutionReceiver: IResolutionReceiver,  # noqa: N803
        hostName: str,  # noqa: N803
        portNumber: int = 0,  # noqa: N803
        addressTypes: Sequence | None = None,  # noqa: N803
        transportSemantics: str = "TCP",  # noqa: N803
    ) -> IpResolution:
        """Report the address of an IP number; a name has none."""
        resolution = IpResolution(name=hostName)
        resolutionReceiver.resolutionBegan(resolution)
        try:
            version = ip_address(hostName).version
        except ValueError:
            resolutionReceiver.resolutionComplete()
            return resolution
        kind = IPv4Address if version == 4 else IPv6Address
        if addressTypes is None or kind in addressTypes:
            resolutionReceiver.addressResolved(
                kind(transportSemantics, hostName, portNumber)
            )
        resolutionReceiver.resolutionComplete()
        return resolution
