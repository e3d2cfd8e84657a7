"""Name resolution without threads: only IP addresses are accepted.

The default resolver of twisted calls the system's resolver in a thread, even
for IP addresses. Nodes have a single thread and connect to IP addresses only.
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
    """A resolution that completes synchronously."""

    def __init__(self, *, name: str):
        self.name = name

    def cancel(self):
        """Do nothing: the resolution is already complete."""


@implementer(IHostnameResolver)
class IpResolver:
    """Resolves IP addresses to themselves; names have no address."""

    def resolveHostName(  # noqa: N802 - named by twisted
        self,
        resolutionReceiver: IResolutionReceiver,  # noqa: N803
        hostName: str,  # noqa: N803
        portNumber: int = 0,  # noqa: N803
        addressTypes: Sequence | None = None,  # noqa: N803
        transportSemantics: str = "TCP",  # noqa: N803
    ) -> IpResolution:
        """Report an IP address as its own result; a name has none."""
        resolution = IpResolution(name=hostName)
        resolutionReceiver.resolutionBegan(resolution)
        try:
            version = ip_address(hostName).version
        except ValueError:
            resolutionReceiver.resolutionComplete()
            return resolution
        address_class = IPv4Address if version == 4 else IPv6Address
        if addressTypes is None or address_class in addressTypes:
            resolutionReceiver.addressResolved(
                address_class(transportSemantics, hostName, portNumber)
            )
        resolutionReceiver.resolutionComplete()
        return resolution
