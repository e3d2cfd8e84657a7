"""Both ends of a connection between two nodes."""

from logbook import Logger
from twisted.internet.protocol import Protocol

from flamingosail.errors import CodecError
from flamingosail.proxy.hop import Call
from flamingosail.proxy.hop import Cancel
from flamingosail.proxy.hop import ConfigCopy
from flamingosail.proxy.hop import ConfigPull
from flamingosail.proxy.hop import DomainLoad
from flamingosail.proxy.hop import encode_frame
from flamingosail.proxy.hop import FrameBuffer
from flamingosail.proxy.hop import HeaderBlocks
from flamingosail.proxy.hop import Hello
from flamingosail.proxy.hop import Outcome
from flamingosail.proxy.hop import Ping
from flamingosail.proxy.hop import Pong
from flamingosail.proxy.hop import Reply
from flamingosail.proxy.hop import Status
from flamingosail.proxy.job import Job
from flamingosail.sockets import detect_dead_peer
from flamingosail.sockets import prepare
from flamingosail.sockets import write_now

__all__ = [
    "CallingConnection",
    "HopProtocol",
    "ServingConnection",
]

# A connection whose ping has no answer for this long is closed; its calls
# are lost.
UNANSWERED_SECONDS = 2.0

log = Logger("proxy.peers")


class HopProtocol(Protocol):
    """Frames in both directions; the base of both ends.

    ``table`` is the PeerTable of this node.
    """

    def __init__(self, *, table):
        self.table = table
        self.frames = FrameBuffer()
        self.sent_blocks = HeaderBlocks()
        self.received_blocks = HeaderBlocks()
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
        self.heard()
        try:
            for message in self.frames.feed(data):
                self.received(message)
        except CodecError as error:
            log.warning("peer sent garbage", extra={"cause": str(error)})
            self.transport.abortConnection()

    def heard(self):
        """Note that the other end is alive."""

    def received(self, message):
        """Handle one message."""
        raise NotImplementedError


class ServingConnection(HopProtocol):
    """A connection that another node dialled, to call our server."""

    def __init__(self, *, table):
        super().__init__(table=table)
        self.jobs: dict[int, Job] = {}
        self.peer_address = ""
        self.failure_domain = ""

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
                    len(gate.running),
                    gate.waiting,
                    gate.room,
                    self.table.config_version(),
                )
            )
            self.table.heard_version(message.config_version, self)
            if message.report is not None:
                self.table.reports.add_report(
                    self.peer_address, message.report
                )
        elif kind is DomainLoad:
            self.table.take_sum(
                self.failure_domain, self.peer_address, message
            )
        elif kind is Hello:
            self.peer_address = message.address
            self.failure_domain = message.failure_domain
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
    """A connection that this node dialled, for its calls to a Peer."""

    def __init__(self, *, peer):
        super().__init__(table=peer.table)
        self.peer = peer
        self.calls: dict = {}
        self.pinged = 0.0
        self.unanswered_since: float | None = None

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

    def heard(self):
        """Note that the peer is alive."""
        self.unanswered_since = None

    def call(self, stream: int, fields: dict):
        """Send a call, and a ping if the last one is long ago.

        ``fields`` are those of ``hop.Call``; their head lines are replaced.
        """
        peer = self.peer
        now = peer.used_at = self.table.clock.seconds()
        if now - self.pinged >= peer.busy_ping_seconds:
            self.ping(now)
        block, fields["head"] = self.sent_blocks.pack(fields["head"])
        self.send(Call(**fields, stream=stream, block=block))

    def unanswered_for(self, now: float) -> float:
        """Return the seconds since the first ping without an answer."""
        since = self.unanswered_since
        return 0.0 if since is None else now - since

    def tick(self, now: float) -> bool:
        """Ping the peer; return False if it has been silent too long."""
        if self.unanswered_for(now) > UNANSWERED_SECONDS:
            return False
        if now - self.pinged >= self.peer.ping_seconds(now) * 0.9:
            self.ping(now)
        return True

    def ping(self, now: float):
        """Ask the peer for its load."""
        self.pinged = now
        if self.unanswered_since is None:
            self.unanswered_since = now
        report = self.table.own_report if self.peer.near else None
        self.send(Ping(self.table.config_version(), report))
