"""The nodes of other VMs and the connections to them.

Each node dials every other node and sends its calls on the connection that
it dialled; on connections that it accepted it only serves.
"""

from collections.abc import Callable
from itertools import count

from logbook import Logger
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.internet.task import LoopingCall

from flamingosail.errors import CodecError
from flamingosail.proxy.gate import Gate
from flamingosail.proxy.gate import Job
from flamingosail.proxy.hop import Call
from flamingosail.proxy.hop import Cancel
from flamingosail.proxy.hop import ConfigCopy
from flamingosail.proxy.hop import ConfigPull
from flamingosail.proxy.hop import encode_frame
from flamingosail.proxy.hop import FrameBuffer
from flamingosail.proxy.hop import HeaderBlocks
from flamingosail.proxy.hop import Hello
from flamingosail.proxy.hop import Outcome
from flamingosail.proxy.hop import Ping
from flamingosail.proxy.hop import Pong
from flamingosail.proxy.hop import Reply
from flamingosail.proxy.hop import Status
from flamingosail.proxy.overload import LoadReport
from flamingosail.settings import Address
from flamingosail.sockets import detect_dead_peer
from flamingosail.sockets import prepare
from flamingosail.sockets import write_now

__all__ = ["LocalServer", "Peer", "PeerTable", "RemoteServer"]

TICK_SECONDS = 0.5
# Bytes between failure domains are dear, and near servers are used first.
NEAR_PING_SECONDS = 0.5
FAR_PING_SECONDS = 1.0
# A connection without any input for so many pings gets no new calls.
SUSPECT_PINGS = 1.8
# A connection without any input for this long is closed; its calls are lost.
SILENT_SECONDS = 2.5
DIAL_TIMEOUT_SECONDS = 1.0
REDIAL_SECONDS = 0.5
# A node that has been unreachable for long is dialled less often.
MAX_REDIAL_SECONDS = 4.0

# About the last ten calls decide.
FAILURE_SMOOTHING = 0.1

log = Logger("proxy.peers")


class RemoteServer:
    """A backend server as the nodes that send to it see it.

    ``room``, ``running`` and ``waiting`` are those of its gate at the last
    message; ``sent`` counts this node's own calls that are not ended, and
    ``failures`` is the share of the last ones that failed.
    """

    local = False

    def __init__(self):
        self.state = "absent"
        self.service = ""
        self.instance = ""
        self.room = 0
        self.running = 0
        self.waiting = 0
        self.sent = 0
        self.sent_at_report = 0
        self.failures = 0.0
        self.cold_until = 0.0
        self.failure_domain = ""

    def take_report(self, running: int, waiting: int, room: int):
        """Note the load that the gate reported."""
        self.running = running
        self.waiting = waiting
        self.room = room
        self.sent_at_report = self.sent

    def note_outcome(self, failed: bool):
        """Take in how a call ended."""
        self.failures += FAILURE_SMOOTHING * (failed - self.failures)

    def load(self) -> float:
        """Return the requests at the server, with those on their way."""
        on_the_way = self.sent - self.sent_at_report
        return self.running + self.waiting + max(0, on_the_way)


class HopProtocol(Protocol):
    """Frames in both directions; the base of both ends."""

    def __init__(self, *, table: "PeerTable"):
        self.table = table
        self.frames = FrameBuffer()
        self.sent_blocks = HeaderBlocks()
        self.received_blocks = HeaderBlocks()
        self.last_input = table.clock.seconds()
        self.open = False

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Prepare the transport and introduce this node."""
        self.open = True
        prepare(self.transport)
        detect_dead_peer(self.transport)
        self.send(self.table.hello())

    def send(self, message):
        """Write a message."""
        if self.open:
            write_now(self.transport, encode_frame(message))

    def dataReceived(self, data):  # noqa: N802 - named by twisted
        """Handle the messages that are complete."""
        self.last_input = self.table.clock.seconds()
        try:
            for message in self.frames.feed(data):
                self.received(message)
        except CodecError as error:
            log.warning("peer sent garbage", extra={"cause": str(error)})
            self.transport.abortConnection()

    def received(self, message):
        """Handle one message."""
        raise NotImplementedError


class ServingConnection(HopProtocol):
    """A connection that another node dialled, to call our server."""

    def __init__(self, *, table: "PeerTable"):
        super().__init__(table=table)
        self.jobs: dict[int, Job] = {}
        self.peer_address = ""
        self.report: LoadReport | None = None

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Tell the state of our server."""
        super().connectionMade()
        self.table.serving.add(self)
        self.send(self.table.status())

    def connectionLost(self, reason=None):  # noqa: N802 - named by twisted
        """Cancel the requests that the other node waits for."""
        self.open = False
        self.table.serving.discard(self)
        jobs, self.jobs = self.jobs, {}
        for job in jobs.values():
            self.table.gate.cancel(job)

    def received(self, message):
        """Handle one message."""
        kind = type(message)
        if kind is Call:
            self.called(message)
        elif kind is Cancel:
            job = self.jobs.pop(message.stream, None)
            if job is not None:
                self.table.gate.cancel(job)
        elif kind is Ping:
            gate = self.table.gate
            self.send(
                Pong(
                    message.number,
                    len(gate.running),
                    gate.waiting,
                    gate.room,
                    self.table.config_version(),
                )
            )
            self.table.heard_version(message.config_version, self)
            self.report = message.report
        elif kind is Hello:
            self.peer_address = message.address
            self.table.introduced(message)
        elif kind is ConfigPull:
            self.table.send_config(self, message.version)
        elif kind is ConfigCopy:
            self.table.on_config(message.document)

    def called(self, call: Call):
        """Take a call to the gate."""
        job = Job(
            request_id=call.request_id,
            service=call.service,
            line=call.line,
            head=self.received_blocks.unpack(call.block, call.head),
            body=call.body,
            deadline=self.table.clock.seconds() + call.left_ms / 1000,
            idempotent=call.idempotent,
            origin=call.origin,
            rank=call.rank,
            repeat=call.repeat,
            on_end=self.ended,
            stream=call.stream,
        )
        self.jobs[call.stream] = job
        self.table.gate.take(job)

    def ended(self, job: Job, outcome, status, proof, head, body, reason):
        """Send the reply of a call."""
        self.jobs.pop(job.stream, None)
        if not self.open:
            return
        block, head = self.sent_blocks.pack(head)
        gate = self.table.gate
        self.send(
            Reply(
                job.stream,
                outcome,
                status,
                proof,
                block,
                head,
                body,
                reason,
                len(gate.running),
                gate.waiting,
                gate.room,
            )
        )


class CallingConnection(HopProtocol):
    """A connection that this node dialled, for its calls."""

    def __init__(self, *, peer: "Peer"):
        super().__init__(table=peer.table)
        self.peer = peer
        self.calls: dict = {}
        self.pings = count(1)
        self.pinged = 0.0

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Report that the peer can be reached."""
        super().connectionMade()
        self.peer.connected(self)

    def connectionLost(self, reason=None):  # noqa: N802 - named by twisted
        """End the calls: they may have run."""
        self.open = False
        calls, self.calls = self.calls, {}
        self.peer.disconnected(self)
        for attempt in calls.values():
            attempt.ended(
                Outcome.LOST,
                0,
                b"",
                b"",
                b"",
                "the connection to the node ended",
            )

    def received(self, message):
        """Handle one message."""
        kind = type(message)
        peer = self.peer
        if kind is Reply:
            peer.take_report(message.running, message.waiting, message.room)
            head = self.received_blocks.unpack(message.block, message.head)
            attempt = self.calls.pop(message.stream, None)
            if attempt is not None:
                attempt.ended(
                    message.outcome,
                    message.status,
                    message.proof,
                    head,
                    message.body,
                    message.reason,
                )
        elif kind is Pong:
            peer.take_report(message.running, message.waiting, message.room)
            self.table.heard_version(message.config_version, self)
        elif kind is Status:
            peer.take_status(message)
            self.table.heard_version(message.config_version, self)
        elif kind is Hello:
            peer.take_hello(message)
        elif kind is ConfigPull:
            self.table.send_config(self, message.version)
        elif kind is ConfigCopy:
            self.table.on_config(message.document)

    def call(self, stream: int, fields: dict):
        """Send a call."""
        block, head = self.sent_blocks.pack(fields["head"])
        self.send(Call(**{**fields, "head": head}, stream=stream, block=block))

    def tick(self, now: float) -> bool:
        """Ping the peer; return False if it has been silent too long."""
        silent = now - self.last_input
        if silent > SILENT_SECONDS:
            return False
        if now - self.pinged >= self.peer.ping_seconds * 0.9:
            self.pinged = now
            self.send(
                Ping(
                    next(self.pings),
                    self.table.config_version(),
                    self.table.own_report,
                )
            )
        return True


class CallingFactory(ClientFactory):
    """Dials a peer."""

    noisy = False

    def __init__(self, *, peer: "Peer"):
        self.peer = peer

    def buildProtocol(self, addr):  # noqa: N802 - named by twisted
        """Return the protocol of a dialled connection."""
        return CallingConnection(peer=self.peer)

    def clientConnectionFailed(  # noqa: N802 - named by twisted
        self, connector, reason
    ):
        """Report a failed attempt."""
        self.peer.dial_failed()


class Peer(RemoteServer):
    """A node of another VM and the server beside it."""

    def __init__(self, *, table: "PeerTable", address: Address):
        super().__init__()
        self.table = table
        self.address = address
        self.connection: CallingConnection | None = None
        self.streams = count(1)
        self.dialling = False
        self.failures = 0
        self.next_dial = 0.0
        self.node = ""
        self.lost_logged = True

    def dial(self, now: float):
        """Open a connection unless one is open or being opened."""
        if self.connection or self.dialling or now < self.next_dial:
            return
        self.dialling = True
        self.table.reactor.connectTCP(
            self.address.host,
            self.address.port,
            CallingFactory(peer=self),
            timeout=DIAL_TIMEOUT_SECONDS,
        )

    def dial_failed(self):
        """Wait before the next attempt."""
        self.dialling = False
        self.failures += 1
        wait = min(
            MAX_REDIAL_SECONDS, REDIAL_SECONDS * max(1, self.failures // 8)
        )
        self.next_dial = self.table.clock.seconds() + wait

    def connected(self, connection: CallingConnection):
        """Use a new connection."""
        self.dialling = False
        self.failures = 0
        self.connection = connection
        log.info("peer reached", extra={"peer": str(self.address)})

    def disconnected(self, connection: CallingConnection):
        """Note that the connection ended; another is dialled soon."""
        if self.connection is connection:
            self.connection = None
            self.state = "absent"
            self.next_dial = 0.0
            self.table.changed(self)
            log.info("peer lost", extra={"peer": str(self.address)})

    def take_hello(self, hello: Hello):
        """Note who answers at the address."""
        self.node = hello.node
        self.failure_domain = hello.failure_domain

    def take_status(self, status: Status):
        """Note the state of the server."""
        self.state = "leaving" if status.leaving else status.state
        self.service = status.service
        self.instance = status.instance
        self.cold_until = self.table.clock.seconds() + status.cold_seconds
        self.take_report(status.running, status.waiting, status.room)
        log.info(
            "peer state",
            extra={
                "peer": str(self.address),
                "service": self.service,
                "instance": self.instance,
                "state": self.state,
            },
        )
        self.table.changed(self)

    @property
    def ping_seconds(self) -> float:
        """Seconds between pings."""
        near = self.failure_domain == self.table.local.failure_domain
        return NEAR_PING_SECONDS if near else FAR_PING_SECONDS

    @property
    def usable(self) -> bool:
        """Whether calls may be sent now."""
        connection = self.connection
        return (
            connection is not None
            and connection.open
            and self.table.clock.seconds() - connection.last_input
            < SUSPECT_PINGS * self.ping_seconds
        )

    def call(self, attempt, message_fields: dict):
        """Send a call; ``attempt.ended`` is called once."""
        connection = self.connection
        stream = next(self.streams)
        attempt.stream = stream
        attempt.connection = connection
        connection.calls[stream] = attempt
        connection.call(stream, message_fields)

    def cancel(self, attempt):
        """Tell the peer that nobody waits for a call."""
        connection = attempt.connection
        if connection.calls.pop(attempt.stream, None) is not None:
            connection.send(Cancel(attempt.stream))

    def tick(self, now: float):
        """Dial, ping, or close a silent connection."""
        connection = self.connection
        if connection is None:
            self.dial(now)
        elif not connection.tick(now):
            log.warning("peer silent", extra={"peer": str(self.address)})
            connection.transport.abortConnection()


class LocalServer(RemoteServer):
    """The server beside this node, reached without a connection."""

    local = True
    usable = True

    def __init__(self, *, gate: Gate, failure_domain: str):
        super().__init__()
        self.gate = gate
        self.failure_domain = failure_domain
        self.address = "local"

    def load(self) -> float:
        """Return the requests at the server."""
        return len(self.gate.running) + self.gate.waiting

    def refresh(self):
        """Take over the state of the gate."""
        report = self.gate.report
        self.state = self.gate.state
        self.room = self.gate.room
        if report is not None:
            self.service = report.service
            self.instance = report.instance
            self.cold_until = report.cold_until

    def call(self, attempt, fields: dict):
        """Take a call to the gate."""
        job = Job(
            request_id=fields["request_id"],
            service=fields["service"],
            line=fields["line"],
            head=fields["head"],
            body=fields["body"],
            deadline=self.gate.clock.seconds() + fields["left_ms"] / 1000,
            idempotent=fields["idempotent"],
            origin=fields["origin"],
            rank=fields["rank"],
            repeat=fields["repeat"],
            on_end=lambda job, *end: attempt.ended(*end),
        )
        attempt.connection = job
        self.gate.take(job)

    def cancel(self, attempt):
        """Drop a call that nobody waits for."""
        self.gate.cancel(attempt.connection)


class PeerTable(Factory):
    """All nodes that are known, and the listener for their calls.

    ``hello``, ``status`` and ``load_report`` make this node's messages;
    ``on_reports`` takes the load reports of all nodes, ``on_config`` a
    configuration that a peer sent; ``config_document`` returns the one in
    force.
    """

    noisy = False

    def __init__(
        self,
        *,
        reactor: IReactorTCP,
        gate: Gate,
        local: LocalServer,
        own_address: Address,
        hello: Callable,
        status: Callable,
        load_report: Callable,
        on_reports: Callable,
        config_version: Callable,
        config_document: Callable,
        on_config: Callable,
    ):
        self.reactor = reactor
        self.clock = reactor
        self.gate = gate
        self.local = local
        self.own_address = own_address
        self.hello = hello
        self.status = status
        self.load_report = load_report
        self.on_reports = on_reports
        self.config_version = config_version
        self.config_document = config_document
        self.on_config = on_config
        self.peers: dict[Address, Peer] = {}
        self.serving: set[ServingConnection] = set()
        self.by_service: dict[str, list[RemoteServer]] = {}
        self.pulled = (0, 0.0)
        self.own_report = LoadReport()
        self.loop = LoopingCall(self.tick)
        self.loop.clock = reactor

    def buildProtocol(self, addr):  # noqa: N802 - named by twisted
        """Return the protocol of an accepted connection."""
        return ServingConnection(table=self)

    def start(self):
        """Dial and ping from now on."""
        self.loop.start(TICK_SECONDS, now=True)

    def stop(self):
        """Stop pinging."""
        if self.loop.running:
            self.loop.stop()

    def tick(self):
        """Look at each peer."""
        now = self.clock.seconds()
        self.own_report = self.load_report()
        for peer in list(self.peers.values()):
            peer.tick(now)
        self.on_reports(self.reports(now))

    def reports(self, now: float) -> list[LoadReport]:
        """Return the latest report of each node that was heard lately."""
        # Of a node that has just returned the former connection may be open.
        latest = {
            connection.peer_address: connection.report
            for connection in sorted(
                self.serving, key=lambda connection: connection.last_input
            )
            if connection.report is not None
            and now - connection.last_input < SILENT_SECONDS
        }
        return [self.own_report, *latest.values()]

    def add(self, address: Address):
        """Learn of a node; a known one that returned is dialled at once."""
        if address == self.own_address:
            return
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = Peer(table=self, address=address)
            log.info("peer added", extra={"peer": str(address)})
        if peer.connection is None:
            peer.failures = 0
            peer.next_dial = 0.0
            peer.dial(self.clock.seconds())

    def remove(self, address: Address):
        """Forget a node that is gone for good."""
        peer = self.peers.get(address)
        if peer is not None and peer.connection is None:
            del self.peers[address]
            self.changed(peer)

    def introduced(self, hello: Hello):
        """Dial back a node that dialled us."""
        self.add(Address.parse(hello.address))

    def changed(self, changed: RemoteServer | None = None):
        """Group the servers by service again."""
        grouped: dict[str, list[RemoteServer]] = {}
        for server in (self.local, *self.peers.values()):
            if server.state in ("ready", "draining", "leaving"):
                grouped.setdefault(server.service, []).append(server)
        self.by_service = grouped

    def local_changed(self):
        """Tell all peers the state of our server."""
        self.local.refresh()
        self.changed()
        status = self.status()
        for connection in list(self.serving):
            connection.send(status)

    def heard_version(self, version: int, connection: HopProtocol):
        """Ask for a configuration that is newer than ours."""
        own = self.config_version()
        if version <= own:
            return
        now = self.clock.seconds()
        asked, when = self.pulled
        if version > asked or now - when > TICK_SECONDS:
            self.pulled = (version, now)
            connection.send(ConfigPull(own))

    def send_config(self, connection: HopProtocol, version: int):
        """Answer a ConfigPull."""
        if self.config_version() > version:
            connection.send(ConfigCopy(self.config_document()))
