"""Protocols for the two ends of a connection between nodes."""

from logbook import Logger
from msgspec.structs import replace
from twisted.internet.protocol import Protocol

from flamingosail.errors import CodecError
from flamingosail.proxy.job import Job
from flamingosail.proxy.transport.hop import Call
from flamingosail.proxy.transport.hop import Cancel
from flamingosail.proxy.transport.hop import ConfigCopy
from flamingosail.proxy.transport.hop import ConfigPull
from flamingosail.proxy.transport.hop import DomainLoad
from flamingosail.proxy.transport.hop import encode_frame
from flamingosail.proxy.transport.hop import Evidence
from flamingosail.proxy.transport.hop import FrameBuffer
from flamingosail.proxy.transport.hop import HeaderTable
from flamingosail.proxy.transport.hop import Hello
from flamingosail.proxy.transport.hop import Outcome
from flamingosail.proxy.transport.hop import Ping
from flamingosail.proxy.transport.hop import Pong
from flamingosail.proxy.transport.hop import Reply
from flamingosail.proxy.transport.hop import Status
from flamingosail.sockets import detect_dead_peer
from flamingosail.sockets import disable_nagle
from flamingosail.sockets import write_now

__all__ = [
    "HopProtocol",
    "InboundConnection",
    "OutboundConnection",
]

# If nothing arrives within this time after a ping, the connection is closed
# and its calls are lost.
PING_TIMEOUT_SECONDS = 2.0
# Evidence of crashes is sent again after this time to a node that has got it
# and still differs: times of facts may have been shifted on their way.
RESEND_EVIDENCE_SECONDS = 30.0

log = Logger("proxy.peers")


class HopProtocol(Protocol):
    """Framing and header compression; the base class of both ends.

    ``table`` is the PeerTable of this node. ``sent_digest`` is the digest of
    the evidence that was last sent, at ``sent_at``. ``peer_differs`` says that
    the last message of the other node had a digest other than ours.
    ``announced_version`` is the version of its configuration, as it last said
    on this connection, and ``peer_address`` its address as text.
    """

    def __init__(self, *, table):
        self.table = table
        self.frames = FrameBuffer()
        self.sent_headers = HeaderTable()
        self.received_headers = HeaderTable()
        self.sent_digest = 0
        self.sent_at = 0.0
        self.peer_differs = False
        self.announced_version = 0
        self.peer_address = ""
        self.open = False

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Set the socket options and send a Hello."""
        self.open = True
        disable_nagle(self.transport)
        detect_dead_peer(self.transport)
        self.mark_evidence_sent()
        self.send(self.hello())

    def hello(self) -> Hello:
        """Return the first message."""
        return self.table.hello()

    def send(self, message):
        """Send a message if the connection is open."""
        if self.open:
            write_now(self.transport, encode_frame(message))

    def dataReceived(self, data):  # noqa: N802 - named by twisted
        """Handle the messages that are complete."""
        self.mark_alive()
        try:
            for message in self.frames.feed(data):
                self.handle_message(message)
        except CodecError as error:
            log.warning("peer sent garbage", extra={"cause": str(error)})
            self.transport.abortConnection()

    def unsent_evidence(self) -> Evidence | None:
        """Return the evidence if the other node lacks it, to be sent."""
        elapsed = self.table.clock.seconds() - self.sent_at
        if not self.peer_differs or (
            self.sent_digest == self.table.quarantine.digest
            and elapsed < RESEND_EVIDENCE_SECONDS
        ):
            return None
        self.mark_evidence_sent()
        return self.table.quarantine.evidence()

    def mark_evidence_sent(self):
        """Record that the other node gets all evidence of this node."""
        self.sent_digest = self.table.quarantine.digest
        self.sent_at = self.table.clock.seconds()

    def handle_evidence(self, message: Ping | Pong):
        """Add the evidence of the other node."""
        quarantine = self.table.quarantine
        if message.evidence is not None:
            quarantine.merge(message.evidence)
        self.peer_differs = message.evidence_digest != quarantine.digest

    def mark_alive(self):
        """Handle the arrival of data; does nothing by default."""

    def handle_message(self, message):
        """Handle one message."""
        raise NotImplementedError


class InboundConnection(HopProtocol):
    """A connection that another node dialled to call the local server.

    ``jobs`` holds the calls that have not ended, by stream.
    """

    def __init__(self, *, table):
        super().__init__(table=table)
        self.jobs: dict[int, Job] = {}
        self.failure_domain = ""

    @property
    def near(self) -> bool:
        """Whether the other node is in our failure domain."""
        return self.failure_domain == self.table.local.failure_domain

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Send the state of the local server."""
        super().connectionMade()
        self.table.inbound.add(self)
        self.send(self.table.status())

    def connectionLost(self, reason=None):  # noqa: N802 - named by twisted
        """Cancel the calls of the other node."""
        self.open = False
        self.table.inbound.discard(self)
        jobs, self.jobs = self.jobs, {}
        for job in jobs.values():
            self.table.gate.cancel(job)

    def handle_message(self, message):
        """Handle one message."""
        kind = type(message)
        if kind is Call:
            self.handle_call(message)
        elif kind is Cancel:
            job = self.jobs.pop(message.stream, None)
            if job is not None:
                self.table.gate.cancel(job)
        elif kind is Ping:
            self.handle_evidence(message)
            gate = self.table.gate
            self.send(
                Pong(
                    len(gate.running),
                    gate.waiting,
                    gate.capacity,
                    self.table.config_version(),
                    self.table.reaches_store,
                    round(100 * gate.server.speed.slowness()),
                    self.table.store_era.number,
                    self.table.quarantine.digest,
                    self.unsent_evidence(),
                    round(1000 * gate.server.concurrency.run_seconds),
                )
            )
            self.table.store_era.observe(message.store_era, source="peer")
            self.table.spread.observe(message.config_version, self)
            if message.report is not None:
                self.table.reports.add_report(
                    self.peer_address, message.report
                )
        elif kind is DomainLoad:
            self.table.handle_aggregate(
                self.failure_domain, self.peer_address, message
            )
        elif kind is Hello:
            self.peer_address = message.address
            self.failure_domain = message.failure_domain
            if message.terms is not None:
                self.table.gate.server.recall(message.terms)
            if message.evidence is not None:
                self.table.quarantine.merge(message.evidence)
            self.table.handle_hello(message)
        elif kind is ConfigPull:
            self.table.send_config(self, message.version)
        elif kind is ConfigCopy:
            self.table.receive_config(message.document, near=self.near)

    def handle_call(self, call: Call):
        """Submit a call to the gate."""
        job = Job(
            request_id=call.request_id,
            service=call.service,
            request_line=call.request_line,
            head=self.received_headers.unpack(call.head_index, call.head),
            body=call.body,
            deadline=self.table.clock.seconds() + call.left_ms / 1000,
            idempotent=call.idempotent,
            root_route=call.root_route,
            rank=call.rank,
            is_retry=call.is_retry,
            on_end=self.send_reply,
            stream=call.stream,
        )
        self.jobs[call.stream] = job
        self.table.gate.submit(job)

    def send_reply(
        self, job: Job, outcome, status, signature, head, body, reason
    ):
        """Send the result of a call, unless the connection is closed."""
        self.jobs.pop(job.stream, None)
        if not self.open:
            return
        head_index, head = self.sent_headers.pack(head)
        gate = self.table.gate
        self.send(
            Reply(
                job.stream,
                outcome,
                status,
                signature,
                head_index,
                head,
                body,
                reason,
                len(gate.running),
                gate.waiting,
                gate.capacity,
            )
        )


class OutboundConnection(HopProtocol):
    """A connection that this node dialled to send calls to a Peer.

    ``pending`` holds the attempts that have not ended, by stream.
    ``unanswered_since`` is the time of the first ping since data arrived.
    """

    def __init__(self, *, peer):
        super().__init__(table=peer.table)
        self.peer = peer
        self.peer_address = str(peer.address)
        self.pending: dict = {}
        self.last_ping_at = 0.0
        self.unanswered_since: float | None = None

    @property
    def near(self) -> bool:
        """Whether the peer is in our failure domain."""
        return self.peer.near

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Make the connection available to the peer's calls."""
        super().connectionMade()
        self.peer.connected(self)

    def hello(self) -> Hello:
        """Return the first message; it precedes all calls."""
        return replace(super().hello(), terms=self.peer.remembered_terms())

    def connectionLost(self, reason=None):  # noqa: N802 - named by twisted
        """End the pending calls; they may have run."""
        self.open = False
        pending, self.pending = self.pending, {}
        self.peer.disconnected(self)
        for attempt in pending.values():
            attempt.ended(
                Outcome.LOST,
                0,
                b"",
                b"",
                b"",
                "the connection to the node ended",
            )

    def handle_message(self, message):
        """Handle one message."""
        kind = type(message)
        peer = self.peer
        if kind is Reply:
            peer.update_load(
                message.running, message.waiting, message.capacity
            )
            head = self.received_headers.unpack(
                message.head_index, message.head
            )
            attempt = self.pending.pop(message.stream, None)
            if attempt is not None:
                attempt.ended(
                    message.outcome,
                    message.status,
                    message.signature,
                    head,
                    message.body,
                    message.reason,
                )
        elif kind is Pong:
            peer.update_load(
                message.running, message.waiting, message.capacity
            )
            self.handle_evidence(message)
            peer.reaches_store = message.reaches_store
            peer.slowness = message.slowness_percent / 100
            peer.run_seconds = message.run_ms / 1000
            self.table.store_era.observe(message.store_era, source="peer")
            self.table.spread.observe(message.config_version, self)
        elif kind is Status:
            peer.handle_status(message)
            self.table.spread.observe(message.config_version, self)
        elif kind is Hello:
            peer.handle_hello(message)
            if message.evidence is not None:
                self.table.quarantine.merge(message.evidence)
        elif kind is ConfigPull:
            self.table.send_config(self, message.version)
        elif kind is ConfigCopy:
            self.table.receive_config(message.document, near=self.near)

    def mark_alive(self):
        """Record that the peer is alive."""
        self.unanswered_since = None

    def call(self, stream: int, fields: dict):
        """Send a call, preceded by a ping if one is due.

        ``fields`` are those of ``hop.Call`` without ``stream`` and
        ``head_index``; its ``head`` is replaced by the packed one.
        """
        peer = self.peer
        now = peer.last_call_at = self.table.clock.seconds()
        if now - self.last_ping_at >= peer.busy_ping_seconds:
            self.ping(now)
        head_index, fields["head"] = self.sent_headers.pack(fields["head"])
        self.send(Call(**fields, stream=stream, head_index=head_index))

    def unanswered_for(self, now: float) -> float:
        """Return the seconds since the first unanswered ping."""
        since = self.unanswered_since
        return 0.0 if since is None else now - since

    def tick(self, now: float) -> bool:
        """Send a ping if one is due; return False on a timeout."""
        if self.unanswered_for(now) > PING_TIMEOUT_SECONDS:
            return False
        if now - self.last_ping_at >= self.peer.ping_seconds(now) * 0.9:
            self.ping(now)
        return True

    def announce_evidence(self, news: Evidence):
        """Send new facts; if the peer lacks older ones, its Pong shows it."""
        self.ping(self.table.clock.seconds(), news)

    def ping(self, now: float, news: Evidence | None = None):
        """Request the peer's load; near peers also get the load report.

        A peer whose evidence differs gets ours, or the given news.
        """
        self.last_ping_at = now
        if self.unanswered_since is None:
            self.unanswered_since = now
        report = self.table.own_report if self.peer.near else None
        self.send(
            Ping(
                self.table.config_version(),
                report,
                self.table.store_era.number,
                self.table.quarantine.digest,
                news or self.unsent_evidence(),
            )
        )
