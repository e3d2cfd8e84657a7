"""How a node learns which other nodes there are.

The metadata store has a record of each node. A node that cannot read it asks
the nodes that have connected to it: those that knew it before it restarted
dial it again. Until it has read all records, or another node that knows all
has answered, the nodes that it has heard of may be a small part of them.
"""

from collections.abc import Callable
from collections.abc import Iterable
from random import Random

from logbook import Logger

from flamingosail.proxy.transport.hop import Members
from flamingosail.proxy.transport.hop import MembersPull
from flamingosail.proxy.transport.hopconnection import HopProtocol
from flamingosail.proxy.transport.peer import Peer
from flamingosail.settings import Address

__all__ = ["MemberSpread"]

# Nodes that are asked at a time; any of them may not know the members either.
ASKED_PEERS = 3

log = Logger("proxy.memberspread")


class MemberSpread:
    """Asks other nodes for the members, and answers those that ask.

    ``complete`` says that this node knows all members that had joined when
    they were read. ``own`` are the address and the failure domain of this
    node, ``peers`` returns the nodes that it knows, and ``add`` is called with
    the address and the failure domain of a member. The domain is empty if it
    is not known.
    """

    def __init__(
        self,
        *,
        random: Random,
        own: tuple[Address, str],
        peers: Callable[[], Iterable[Peer]],
        add: Callable[[Address, str], None],
    ):
        self.random = random
        self.own = own
        self.peers = peers
        self.add = add
        self.complete = False

    def confirm(self, source: str):
        """Record that all members are known, from ``source``."""
        if not self.complete:
            self.complete = True
            log.info("members known", extra={"source": source})

    def pull(self):
        """Ask some nodes if the members are not known; once a tick."""
        if self.complete:
            return
        usable = [peer for peer in self.peers() if peer.usable]
        count = min(ASKED_PEERS, len(usable))
        for peer in self.random.sample(usable, count):
            peer.connection.send(MembersPull())

    def reply(self, connection: HopProtocol):
        """Answer a MembersPull if this node knows the members."""
        if self.complete:
            address, failure_domain = self.own
            connection.send(
                Members(
                    [
                        (str(address), failure_domain),
                        *(
                            (str(peer.address), peer.failure_domain)
                            for peer in self.peers()
                        ),
                    ]
                )
            )

    def receive(self, message: Members):
        """Add the members that another node knows."""
        for address, failure_domain in message.entries:
            self.add(Address.parse(address), failure_domain)
        self.confirm("peer")
