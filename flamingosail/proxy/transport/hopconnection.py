"""Protocols for the two ends of a connection between nodes."""

from collections import deque

from logbook import Logger
from msgspec.structs import replace
from twisted.internet.protocol import Protocol

from flamingosail.errors import CodecError
from flamingosail.proxy.job import Job
from flamingosail.proxy.shared.heldbytes import Holder
from flamingosail.proxy.transport.callrecovery import FORGET_SECONDS
from flamingosail.proxy.transport.callrecovery import ReplyFields
from flamingosail.proxy.transport.callrecovery import SilenceDetector
from flamingosail.proxy.transport.callrecovery import UnconfirmedReplies
from flamingosail.proxy.transport.hop import Call
from flamingosail.proxy.transport.hop import CallsResumed
from flamingosail.proxy.transport.hop import Cancel
from flamingosail.proxy.transport.hop import ConfigCopy
from flamingosail.proxy.transport.hop import ConfigPull
from flamingosail.proxy.transport.hop import DomainLoad
from flamingosail.proxy.transport.hop import encode_frame
from flamingosail.proxy.transport.hop import Evidence
from flamingosail.proxy.transport.hop import FrameBuffer
from flamingosail.proxy.transport.hop import HeaderTable
from flamingosail.proxy.transport.hop import Hello
from flamingosail.proxy.transport.hop import Members
from flamingosail.proxy.transport.hop import MembersPull
from flamingosail.proxy.transport.hop import Outcome
from flamingosail.proxy.transport.hop import Ping
from flamingosail.proxy.transport.hop import Pong
from flamingosail.proxy.transport.hop import Probe
from flamingosail.proxy.transport.hop import ProbeReply
from flamingosail.proxy.transport.hop import QuotaAsk
from flamingosail.proxy.transport.hop import QuotaGrant
from flamingosail.proxy.transport.hop import QuotaView
from flamingosail.proxy.transport.hop import Reply
from flamingosail.proxy.transport.hop import ResumeCalls
from flamingosail.proxy.transport.hop import Status
from flamingosail.proxy.transport.output import OutputBuffer
from flamingosail.sockets import detect_dead_peer
from flamingosail.sockets import disable_nagle

__all__ = [
    "CANCEL_SECONDS",
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
TOKEN_BITS = 62
# The calls of a connection that ended are cancelled after this time, in which
# the other node may resume them on another one.
CANCEL_SECONDS = 0.25

# The objects of a call, besides its body.
CALL_OVERHEAD_BYTES = 2048

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
        self.held = table.held
        self.input_bytes = 0
        self.output: OutputBuffer | None = None

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Set the socket options and send a Hello."""
        self.open = True
        self.output = OutputBuffer(
            transport=self.transport,
            held=self.held,
            holder=Holder.PEER_OUTPUT,
        )
        self.table.hops.add(self)
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
            self.output.write(encode_frame(message))

    def dataReceived(self, data):  # noqa: N802 - named by twisted
        """Handle the messages that are complete."""
        self.mark_alive()
        try:
            messages = self.frames.feed(data)
            self.count_input(len(self.frames.buffer))
            for message in messages:
                try:
                    self.handle_message(message)
                except CodecError:
                    raise
                except Exception:
                    # The error is not the other node's. Closing the
                    # connection would put all its calls in doubt.
                    log.exception(
                        "message failed",
                        extra={
                            "peer": self.peer_address,
                            "kind": type(message).__name__,
                        },
                    )
        except CodecError as error:
            log.warning("peer sent garbage", extra={"cause": str(error)})
            self.transport.abortConnection()

    def count_input(self, size: int):
        """Count the part of a message that has arrived.

        If too much is held, the connection with the longest part is aborted,
        since the rest of a message cannot be refused.
        """
        if size != self.input_bytes:
            added, self.input_bytes = size - self.input_bytes, size
            self.held.add(Holder.PEER_INPUT, added)
            if added > 0 and self.held.exceeded:
                self.held.relieve()
                if self.held.total > self.held.limit:
                    self.table.drop_largest_input()

    def release(self):
        """Release what is held for a connection that has ended."""
        self.frames.buffer.clear()
        self.count_input(0)
        self.output.release()
        self.table.hops.discard(self)

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

    ``jobs`` holds the calls that have not ended, by stream, ``held_calls``
    their sizes, and ``replies`` the replies that may not have arrived.
    ``highest_stream`` is that of the last call; streams increase. ``token``
    names the connection in ``hop.ResumeCalls``. Once ``replaced`` by another
    connection, nothing further is read.
    """

    def __init__(self, *, table):
        super().__init__(table=table)
        self.jobs: dict[int, Job] = {}
        self.held_calls: dict[int, int] = {}
        self.failure_domain = ""
        self.token = 0
        self.highest_stream = 0
        self.replies = UnconfirmedReplies()
        self.replaced = False

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
        """Cancel the calls of the other node if it does not resume them."""
        self.open = False
        self.release()
        self.table.inbound.discard(self)
        clock = self.table.clock
        if self.jobs:
            clock.callLater(CANCEL_SECONDS, self.cancel_jobs)
        if self.token:
            clock.callLater(FORGET_SECONDS, self.forget)

    def forget(self):
        """Drop what was kept for a node that asks about its calls."""
        if self.table.inbound_by_token.get(self.token) is self:
            del self.table.inbound_by_token[self.token]
        self.confirm_replies(self.replies.sent)

    def cancel_jobs(self):
        """Cancel the calls that have not been resumed elsewhere."""
        jobs, self.jobs = self.jobs, {}
        for stream, job in jobs.items():
            self.release_call(stream)
            self.table.gate.cancel(job)

    def dataReceived(self, data):  # noqa: N802 - named by twisted
        """Handle the messages that are complete."""
        if not self.replaced:
            super().dataReceived(data)

    def handle_message(self, message):
        """Handle one message."""
        kind = type(message)
        if self.replaced:
            return
        if kind is Call:
            self.handle_call(message)
        elif kind is Cancel:
            job = self.jobs.pop(message.stream, None)
            if job is not None:
                self.release_call(message.stream)
                self.table.gate.cancel(job)
        elif kind is Probe:
            self.confirm_replies(message.replies_received)
            self.send(ProbeReply())
        elif kind is ResumeCalls:
            self.resume_calls(message)
        elif kind is Ping:
            self.confirm_replies(message.replies_received)
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
                    self.table.freshness.age_ms(),
                    round(1000 * gate.server.concurrency.run_seconds),
                )
            )
            self.table.store_era.observe(message.store_era, source="peer")
            self.table.spread.observe(message.config_version, self)
            if message.report is not None:
                self.table.reports.add_report(
                    self.peer_address, message.report
                )
            if message.quota_lease is not None and self.near:
                self.table.quotas.handle_lease(
                    self.peer_address, message.quota_lease
                )
        elif kind is QuotaAsk:
            self.table.quotas.handle_ask(message, self.send)
        elif kind is QuotaView:
            self.table.quotas.handle_view(message)
        elif kind is DomainLoad:
            self.table.handle_aggregate(
                self.failure_domain, self.peer_address, message
            )
        elif kind is Hello:
            self.peer_address = message.address
            self.failure_domain = message.failure_domain
            self.token = message.token
            if message.token:
                self.table.inbound_by_token[message.token] = self
            if message.terms is not None:
                self.table.gate.server.recall(message.terms)
            if message.evidence is not None:
                self.table.quarantine.merge(message.evidence)
            self.table.handle_hello(message)
        elif kind is ConfigPull:
            self.table.send_config(self, message.version)
        elif kind is ConfigCopy:
            self.table.receive_config(message.document, near=self.near)
        elif kind is MembersPull:
            self.table.member_spread.reply(self)

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
        self.highest_stream = call.stream
        size = len(call.body) + CALL_OVERHEAD_BYTES
        self.held_calls[call.stream] = size
        self.held.add(Holder.PEER_CALLS, size)
        if self.held.allows(size):
            self.table.gate.submit(job)
        else:
            reason = "no memory for the request"
            self.table.gate.fail(job, Outcome.REFUSED, reason)

    def release_call(self, stream: int):
        """Subtract a call that has ended."""
        self.held.add(Holder.PEER_CALLS, -self.held_calls.pop(stream, 0))

    def resume_calls(self, message: ResumeCalls):
        """Take over the calls of a connection that is silent or closed.

        What has not been read from it is not read any more, so that a call
        that has not arrived never will.
        """
        former = self.table.inbound_by_token.pop(message.token, None)
        if former is None or former is self:
            self.send(CallsResumed(message.token, [], []))
            return
        former.replaced = True
        replies = former.replies.by_stream()
        resumed, absent, unsent = [], [], []
        for stream in message.streams:
            job = former.jobs.pop(stream, None)
            if job is not None:
                job.on_end = self.send_reply
                self.jobs[stream] = job
                self.held_calls[stream] = former.held_calls.pop(stream, 0)
                resumed.append(stream)
            elif stream in replies:
                resumed.append(stream)
                unsent.append(stream)
            elif stream > former.highest_stream:
                absent.append(stream)
        if resumed:
            self.highest_stream = max(self.highest_stream, *resumed)
        log.info(
            "calls resumed",
            extra={
                "peer": self.peer_address,
                "running": len(resumed) - len(unsent),
                "answered": len(unsent),
                "absent": len(absent),
                "unknown": len(message.streams) - len(resumed) - len(absent),
            },
        )
        self.send(CallsResumed(message.token, resumed, absent))
        for stream in unsent:
            self.send_fields(stream, replies[stream])
        former.cancel_jobs()
        if former.open:
            former.transport.abortConnection()

    def send_reply(
        self, job: Job, outcome, status, signature, head, body, reason
    ):
        """Send the result of a call, unless the connection is closed."""
        self.jobs.pop(job.stream, None)
        self.release_call(job.stream)
        fields = ReplyFields(outcome, status, signature, head, body, reason)
        if self.open and not self.has_memory(len(body)):
            fields = ReplyFields(
                Outcome.LOST, 0, b"", b"", b"", "no memory for the answer"
            )
        self.send_fields(job.stream, fields)

    def has_memory(self, size: int) -> bool:
        """Return whether a body may be held, after others were released."""
        if not size or self.held.allows(size):
            return True
        self.held.relieve()
        return self.held.allows(size)

    def confirm_replies(self, received: int):
        """Drop the replies that the other node has received."""
        before = self.replies.kept_bytes
        self.replies.confirm(received)
        self.held.add(Holder.PEER_REPLIES, self.replies.kept_bytes - before)

    def send_fields(self, stream: int, fields: ReplyFields):
        """Send the result of a call and keep it until it is confirmed."""
        before = self.replies.kept_bytes
        self.replies.add(stream, fields)
        self.held.add(Holder.PEER_REPLIES, self.replies.kept_bytes - before)
        if not self.open:
            return
        head_index, head = self.sent_headers.pack(fields.head)
        gate = self.table.gate
        self.send(
            Reply(
                stream,
                fields.outcome,
                fields.status,
                fields.signature,
                head_index,
                head,
                fields.body,
                fields.reason,
                len(gate.running),
                gate.waiting,
                gate.capacity,
            )
        )


class OutboundConnection(HopProtocol):
    """A connection that this node dialled to send calls to a Peer.

    ``pending`` holds the attempts that have not ended, by stream.
    ``unanswered_since`` is the time of the first ping since data arrived,
    ``pinged_at`` has the times of the pings without a Pong, in the time of
    ``Freshness``.
    ``token`` names the connection to the other node, ``replies_received``
    counts its replies. ``suspected`` is set while the connection is taken to
    be silent; its calls are then resumed on another one.
    ``sent_views`` has the digests of the quota views that the peer knows.
    """

    def __init__(self, *, peer):
        super().__init__(table=peer.table)
        self.peer = peer
        self.peer_address = str(peer.address)
        self.pending: dict = {}
        self.last_ping_at = 0.0
        self.unanswered_since: float | None = None
        self.pinged_at: deque[float] = deque()
        self.token = self.table.random.getrandbits(TOKEN_BITS)
        self.replies_received = 0
        self.silence = SilenceDetector()
        self.suspected = False
        self.sent_views: set[int] = set()

    @property
    def near(self) -> bool:
        """Whether the peer is in our failure domain."""
        return self.peer.near

    def connectionMade(self):  # noqa: N802 - named by twisted
        """Ask for calls in doubt, then make the connection available.

        If a silent connection is being replaced, the new one has to prove
        first that the other node reads it.
        """
        super().connectionMade()
        for token, streams in self.peer.recovering.tokens_and_streams():
            self.send(ResumeCalls(token, streams))
        self.peer.dialled(self)

    def hello(self) -> Hello:
        """Return the first message; it precedes all calls."""
        return replace(
            super().hello(),
            terms=self.peer.remembered_terms(),
            token=self.token,
        )

    def connectionLost(self, reason=None):  # noqa: N802 - named by twisted
        """Ask the other node for the pending calls on a new connection."""
        self.open = False
        self.release()
        self.peer.disconnected(self)

    def abort(self):
        """Close the connection at once."""
        if self.open:
            self.transport.abortConnection()

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
            self.replies_received += 1
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
            # Each Ping is answered by one Pong, in order.
            if self.pinged_at:
                self.table.freshness.observe_age(
                    message.config_version,
                    message.config_age_ms,
                    self.pinged_at.popleft(),
                )
        elif kind is Status:
            peer.handle_status(message)
            self.table.spread.observe(message.config_version, self)
        elif kind is CallsResumed:
            peer.recovering.settle(message, self)
        elif kind is Hello:
            peer.handle_hello(message)
            peer.connected(self)
            if message.evidence is not None:
                self.table.quarantine.merge(message.evidence)
        elif kind is ConfigPull:
            self.table.send_config(self, message.version)
        elif kind is ConfigCopy:
            self.table.receive_config(message.document, near=self.near)
        elif kind is QuotaGrant:
            self.table.quotas.handle_grant(message)
        elif kind is Members:
            self.table.member_spread.receive(message)

    def mark_alive(self):
        """Record that the peer is alive."""
        self.unanswered_since = None
        self.silence.data_arrived(
            self.table.clock.seconds(), pending=bool(self.pending)
        )

    def check_silence(self, now: float):
        """Probe a peer that is not heard while its calls are pending."""
        if self.suspected or not self.pending:
            return
        if self.silence.is_silent(now):
            self.peer.suspect(self, now)
        elif self.silence.is_probe_due(now):
            self.send(Probe(self.replies_received))

    def call(self, stream: int, fields: dict):
        """Send a call, preceded by a ping if one is due.

        ``fields`` are those of ``hop.Call`` without ``stream`` and
        ``head_index``; its ``head`` is replaced by the packed one.
        """
        peer = self.peer
        now = peer.last_call_at = self.table.clock.seconds()
        if now - self.last_ping_at >= peer.busy_ping_seconds:
            self.ping(now)
        self.silence.call_sent(now)
        self.table.check_soon()
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
        self.pinged_at.append(self.table.freshness.seconds())
        report = lease = None
        if self.peer.near:
            report = self.table.own_report
            lease = self.table.quotas.lease(self.send, self.sent_views)
        self.send(
            Ping(
                self.table.config_version(),
                report,
                self.table.store_era.number,
                self.table.quarantine.digest,
                news or self.unsent_evidence(),
                self.replies_received,
                lease,
            )
        )
