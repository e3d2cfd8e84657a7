"""How configurations spread from the metadata store to all nodes.

The readers of each failure domain (``proxy.policy.readers``) get a new
configuration from the store. A node that has got it from there, or from
another failure domain, announces its version to all near nodes and to a few
nodes of each other domain; each node pulls it from one that announced it.
Each message between nodes that carries a version is such an announcement, so
that a lost one is made up for by later messages.

Near nodes are in the failure domain of this node, far nodes in others.
Traffic between failure domains is expensive, so that a node waits some time
for a near node before it pulls from a far one.
"""

from collections.abc import Callable
from collections.abc import Iterable
from enum import StrEnum
from math import inf
from random import Random

from logbook import Logger

from flamingosail.proxy.transport.hop import ConfigPull
from flamingosail.proxy.transport.hopconnection import HopProtocol
from flamingosail.proxy.transport.peer import Peer

__all__ = ["ConfigSource", "ConfigSpread"]

# A version that only far nodes have is pulled from one of them after this
# time. Normally a reader of this failure domain has it by then.
FAR_PULL_DELAY_SECONDS = 0.5
# Another node is asked if the configuration has not arrived after this time
# for each request so far, at most after the maximum.
RETRY_STEP_SECONDS = 0.5
MAX_RETRY_SECONDS = 4.0
# Nodes of each other failure domain that are told of a new version. Any of
# them may be frozen or cut off, so they are drawn anew for each version.
TOLD_PER_DOMAIN = 2

log = Logger("proxy.configspread")


class ConfigSource(StrEnum):
    """Where a node got a configuration from."""

    STORE = "store"
    NEAR_PEER = "near peer"
    FAR_PEER = "far peer"


class ConfigSpread:
    """Pulls newer configurations from other nodes and announces new ones.

    ``config_version`` returns the version in force at this node, ``peers`` the
    nodes that it knows and ``connections`` the open connections to and from
    them. ``known_version`` is the newest version that another node has
    announced, since ``known_at`` (the clock's time). ``requests`` counts the
    pulls sent for it, ``pulled_at`` has the time of the last one by the
    address of the node asked, and ``next_pull`` is the timer of the next one.
    """

    def __init__(
        self,
        *,
        clock,
        random: Random,
        config_version: Callable[[], int],
        peers: Callable[[], Iterable[Peer]],
        connections: Callable[[], Iterable[HopProtocol]],
    ):
        self.clock = clock
        self.random = random
        self.config_version = config_version
        self.peers = peers
        self.connections = connections
        self.known_version = 0
        self.known_at = 0.0
        self.requests = 0
        self.pulled_at: dict[str, float] = {}
        self.next_pull = None

    # Pulling.

    @property
    def waits_for_near_node(self) -> bool:
        """Whether a far node has the known version and was not asked yet."""
        return self.next_pull is not None and not self.requests

    def observe(self, version: int, connection: HopProtocol):
        """Record the version that the other end of a connection announced."""
        connection.announced_version = version
        if version <= self.config_version():
            return
        if version > self.known_version:
            self.known_version = version
            self.known_at = self.clock.seconds()
            self.requests = 0
            self.pulled_at.clear()
            self.pull()
        elif self.next_pull is None or (
            connection.near and self.waits_for_near_node
        ):
            self.pull()

    def pull(self):
        """Request a newer configuration that is known, if it is time to.

        The timer stays set until the configuration has arrived or no node is
        left that announced it.
        """
        self.stop()
        source = self.choose_source()
        if source is None:
            return
        delay = self.far_pull_delay()
        if not source.near and delay > 0.0:
            self.schedule_pull(delay)
            return
        self.requests += 1
        if self.requests > 1:
            log.info(
                "configuration requested again",
                extra={
                    "config_version": self.known_version,
                    "requests": self.requests,
                    "near": source.near,
                },
            )
        self.pulled_at[source.peer_address] = self.clock.seconds()
        source.send(ConfigPull(self.config_version()))
        self.schedule_pull(
            min(MAX_RETRY_SECONDS, RETRY_STEP_SECONDS * self.requests)
        )

    def choose_source(self) -> HopProtocol | None:
        """Return the connection to pull on, None if no node has announced it.

        Nodes that were not asked come first, then those asked longest ago;
        near nodes are preferred to far ones.
        """
        version = self.config_version()
        return min(
            (
                connection
                for connection in self.connections()
                if connection.open and connection.announced_version > version
            ),
            key=lambda connection: (
                self.pulled_at.get(connection.peer_address, -inf),
                not connection.near,
                -connection.announced_version,
            ),
            default=None,
        )

    def far_pull_delay(self) -> float:
        """Return the seconds until a far node may be asked.

        There is no reason to wait if no near node can be reached.
        """
        if not any(peer.near and peer.usable for peer in self.peers()):
            return 0.0
        return self.known_at + FAR_PULL_DELAY_SECONDS - self.clock.seconds()

    def schedule_pull(self, delay: float):
        """Call ``pull`` after so many seconds."""
        self.next_pull = self.clock.callLater(delay, self.pull)

    def behind_seconds(self) -> float:
        """Return for how long a newer version has been known.

        It is 0 if no version newer than the one in force is known.
        """
        if self.known_version <= self.config_version():
            return 0.0
        return self.clock.seconds() - self.known_at

    def stop(self):
        """Cancel the next pull."""
        if self.next_pull is not None and self.next_pull.active():
            self.next_pull.cancel()
        self.next_pull = None

    # Announcing.

    def announce(self, source: ConfigSource):
        """Tell other nodes of the version that has come into force.

        The near node that this node may have got it from has told the others.
        """
        if self.known_version <= self.config_version():
            self.stop()
        if source is ConfigSource.NEAR_PEER:
            return
        now = self.clock.seconds()
        for peer in self.peers_to_tell():
            peer.connection.ping(now)

    def peers_to_tell(self) -> list[Peer]:
        """Return all near peers and a few of each other failure domain."""
        near: list[Peer] = []
        far: dict[str, list[Peer]] = {}
        for peer in self.peers():
            if peer.connection is None:
                continue
            if peer.near:
                near.append(peer)
            elif peer.usable:
                far.setdefault(peer.failure_domain, []).append(peer)
        for domain_peers in far.values():
            near += self.random.sample(
                domain_peers, min(TOLD_PER_DOMAIN, len(domain_peers))
            )
        return near
