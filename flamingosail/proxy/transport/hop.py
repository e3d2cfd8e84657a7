"""Messages between nodes and their framing on a TCP connection.

A hop is a connection between two nodes. A frame is four bytes of length
(big-endian) and a msgpack array whose first element is the number of the
message type. Calls and replies are multiplexed by ``stream``.
"""

from typing import Union

from msgspec import Struct
from msgspec.msgpack import Decoder
from msgspec.msgpack import Encoder

from flamingosail.decoding import decode_untrusted
from flamingosail.errors import CodecError
from flamingosail.proxy.policy.overload import LoadReport
from flamingosail.proxy.policy.quota import QuotaLease

__all__ = [
    "Call",
    "CallsResumed",
    "Cancel",
    "Clearance",
    "ConfigCopy",
    "ConfigPull",
    "CrashEvidence",
    "DomainLoad",
    "Evidence",
    "FrameBuffer",
    "HeaderTable",
    "Hello",
    "MAX_FRAME_BYTES",
    "Members",
    "MembersPull",
    "Message",
    "Outcome",
    "Ping",
    "Pong",
    "Probe",
    "ProbeReply",
    "QuotaAsk",
    "QuotaGrant",
    "QuotaView",
    "Reply",
    "ResumeCalls",
    "ServerTerms",
    "Status",
    "encode_frame",
]

# The largest body that a client may send (64 MiB), with room for its header.
MAX_FRAME_BYTES = 68 * 1024 * 1024
LENGTH_BYTES = 4
# Header lines that each end of a connection stores: at most 256 KiB.
MAX_TABLE_ENTRIES = 256
MAX_ENTRY_BYTES = 1024


class Outcome:
    """How a call ended at the gate; the values are sent between nodes.

    ANSWERED: the server responded. REFUSED: the request was not sent to the
    server. LOST: the server may have run it. SHED: the server itself rejected
    it before running it. QUARANTINED: the request was not sent to the server,
    and may not be sent to another one, because servers crashed that ran it.
    """

    ANSWERED = 0
    REFUSED = 1
    LOST = 2
    SHED = 3
    QUARANTINED = 4


class Call(Struct, tag=1, array_like=True, gc=False):
    """A request for the backend server beside the receiving node.

    ``head_index`` and ``head`` are the header lines as ``HeaderTable``
    encodes them. ``left_ms`` is the remaining time in milliseconds.
    ``root_route`` is the key of the route of the root request, ``rank`` the
    position in queues (lower is served first), and ``is_retry`` says that a
    server may already have run this call or one that led to it.
    """

    stream: int
    request_id: bytes
    service: str
    request_line: bytes
    head_index: int
    head: bytes
    body: bytes
    left_ms: int
    idempotent: bool
    root_route: int
    rank: int
    is_retry: bool


class Reply(Struct, tag=2, array_like=True, gc=False):
    """The result of a call.

    ``outcome`` is one of ``Outcome``. ``signature`` is the server's signature
    of its response, ``head_index`` and ``head`` are the other header lines as
    in ``Call``; ``reason`` says why the call failed. ``running``, ``waiting``
    and ``capacity`` describe the gate after the call.
    """

    stream: int
    outcome: int
    status: int
    signature: bytes
    head_index: int
    head: bytes
    body: bytes
    reason: str
    running: int
    waiting: int
    capacity: int


class Cancel(Struct, tag=3, array_like=True, gc=False):
    """Cancels a call."""

    stream: int


class CrashEvidence(Struct, array_like=True, gc=False):
    """A crash of a backend server, with the requests that ran there.

    ``instance`` and ``start_ms`` identify the server process, ``age_ms`` is
    how long ago it crashed. ``blamed`` has the fingerprint of the request that
    is taken to have crashed it, if that is known, ``suspects`` those of the
    others.
    """

    instance: str
    start_ms: int
    age_ms: int
    suspects: list[int]
    blamed: list[int]


class Clearance(Struct, array_like=True, gc=False):
    """A request was answered, or an operator has cleared it, so long ago."""

    fingerprint: int
    age_ms: int


class Evidence(Struct, array_like=True, gc=False):
    """What a node knows of requests that crash servers."""

    crashes: list[CrashEvidence]
    clearances: list[Clearance]


class Ping(Struct, tag=4, array_like=True, gc=False):
    """Requests a Pong; carries the sender's configuration version.

    ``report`` is None between failure domains. ``store_era`` is the newest era
    of the metadata store that the sender knows of. ``evidence_digest`` is
    equal at nodes with the same evidence; ``evidence`` is None if the receiver
    is not known to lack a part of it. ``replies_received`` counts the replies
    that the sender has received on this connection. ``quota_lease`` is None
    between failure domains, and without tenants.
    """

    config_version: int
    report: LoadReport | None
    store_era: int = 0
    evidence_digest: int = 0
    evidence: Evidence | None = None
    replies_received: int = 0
    quota_lease: QuotaLease | None = None


class ServerTerms(Struct, array_like=True, gc=False):
    """What a backend server has asked of its callers.

    ``instance`` and ``start_ms`` identify the server process. ``rate_limit``
    is in requests per second, None if it stated none.
    ``drain_remaining_seconds`` is how long it may still get requests before it
    stops, negative once that time has passed, None if it does not stop.
    """

    instance: str
    start_ms: int
    rate_limit: float | None
    drain_remaining_seconds: float | None


class Status(Struct, tag=5, array_like=True, gc=False):
    """The state of the sender's backend server.

    ``state`` is ready, draining or absent. ``capacity`` is how many requests
    the server may run at a time and ``cold_seconds`` how long it stays slow
    after its start. ``leaving`` says that the sending node is stopping; the
    log of the receiving node also calls this state ``leaving``.
    ``terms`` is None if no server is known.
    """

    state: str
    service: str
    instance: str
    capacity: int
    running: int
    waiting: int
    cold_seconds: float
    leaving: bool
    config_version: int
    terms: ServerTerms | None = None


class Pong(Struct, tag=6, array_like=True, gc=False):
    """Reply to a Ping with the load of the sender's gate.

    ``reaches_store`` is false if the sender's last call to the metadata store
    failed. ``slowness_percent`` is how long its server takes for a request,
    compared with the mean of its service, the fields from ``store_era`` to
    ``evidence`` are those of ``Ping``. ``config_age_ms`` is how long ago its
    configuration was proved to be the newest, None without a proof
    (``proxy.shared.freshness``). ``run_ms`` is the mean time of its server's
    requests in milliseconds, 0 if the node does not learn it.
    """

    running: int
    waiting: int
    capacity: int
    config_version: int
    reaches_store: bool = True
    slowness_percent: int = 100
    store_era: int = 0
    evidence_digest: int = 0
    evidence: Evidence | None = None
    config_age_ms: int | None = None
    run_ms: int = 0


class Hello(Struct, tag=7, array_like=True, gc=False):
    """The first message in both directions; identifies the sender.

    ``terms`` are those that the receiver last announced for its own server,
    None if it announced none: the receiver may have restarted since.
    ``evidence`` is None if the sender has none. ``token`` names the connection
    in ``ResumeCalls``; it is 0 if the receiver dialled it.
    """

    node: str
    failure_domain: str
    address: str
    terms: ServerTerms | None = None
    evidence: Evidence | None = None
    token: int = 0


class ConfigPull(Struct, tag=8, array_like=True, gc=False):
    """Requests the configuration if it is newer than ``version``."""

    version: int


class ConfigCopy(Struct, tag=9, array_like=True, gc=False):
    """Reply to a ConfigPull: the document as the operator wrote it."""

    document: bytes


class DomainLoad(Struct, tag=10, array_like=True, gc=False):
    """The aggregated load reports of a failure domain, one for each service.

    ``nodes`` is the number of reports that were aggregated.
    """

    nodes: int
    reports: list[LoadReport]


class Probe(Struct, tag=16, array_like=True, gc=False):
    """Requests a ProbeReply; ``replies_received`` is that of ``Ping``."""

    replies_received: int


class ProbeReply(Struct, tag=17, array_like=True, gc=False):
    """Says that a Probe has arrived."""


class ResumeCalls(Struct, tag=18, array_like=True, gc=False):
    """Asks what became of the calls of a former connection.

    ``token`` is that of its Hello, ``streams`` are those of the calls. Calls
    on it that the receiver has not read yet must never run.
    """

    token: int
    streams: list[int]


class CallsResumed(Struct, tag=19, array_like=True, gc=False):
    """Reply to a ResumeCalls.

    The calls ``resumed`` get their replies on this connection, those in
    ``absent`` have not arrived and never run. The others may have run.
    """

    token: int
    resumed: list[int]
    absent: list[int]


class QuotaAsk(Struct, tag=11, array_like=True, gc=False):
    """Asks for tokens of tenants.

    Each entry has a number that the grant repeats, the name of a tenant, the
    tokens that requests wait for, and those that may be added as a surplus. If
    ``borrow`` is true, only tokens that the receiver can spare are wanted.
    """

    borrow: bool
    entries: list[tuple[int, str, float, float]]


class QuotaGrant(Struct, tag=12, array_like=True, gc=False):
    """Reply to entries of a QuotaAsk.

    Each entry has the number of the ask, the tokens, and the seconds after
    which a request without a token may return; negative if the sender cannot
    tell whether the quota is used up.
    """

    entries: list[tuple[int, float, float]]


class QuotaView(Struct, tag=13, array_like=True, gc=False):
    """A set of nodes, by ``node_id``, which a QuotaLease names by its digest.

    It is sent once on a connection, before the first lease that names it.
    """

    members: list[int]


class MembersPull(Struct, tag=14, array_like=True, gc=False):
    """Asks for the members, if the receiver knows all of them."""


class Members(Struct, tag=15, array_like=True, gc=False):
    """Reply to a MembersPull: the address and failure domain of each node.

    The failure domain is empty if the sender does not know it.
    """

    entries: list[tuple[str, str]]


Message = Union[  # noqa: UP007 - msgspec needs the runtime type
    Call,
    Reply,
    Cancel,
    Ping,
    Status,
    Pong,
    Hello,
    ConfigPull,
    ConfigCopy,
    DomainLoad,
    Probe,
    ProbeReply,
    ResumeCalls,
    CallsResumed,
    QuotaAsk,
    QuotaGrant,
    QuotaView,
    MembersPull,
    Members,
]
_encoder = Encoder()
_decoder = Decoder(Message)


class HeaderTable:
    """Header compression for one direction of a connection.

    The requests of a client differ in little but their id, so the other
    header lines are sent once and replaced by their index from then on.
    """

    def __init__(self):
        self.indexes: dict[bytes, int] = {}
        self.entries: dict[int, bytes] = {}

    def pack(self, head: bytes) -> tuple[int, bytes]:
        """Return the index of header lines, and the lines if they are new.

        Lines with the index 0 are not stored.
        """
        if not head:
            return 0, head
        index = self.indexes.get(head)
        if index is not None:
            return index, b""
        if (
            len(self.indexes) >= MAX_TABLE_ENTRIES
            or len(head) > MAX_ENTRY_BYTES
        ):
            return 0, head
        index = self.indexes[head] = len(self.indexes) + 1
        return index, head

    def unpack(self, index: int, head: bytes) -> bytes:
        """Return the header lines that the peer packed.

        :raises CodecError: if the index is unknown or the table is full.
        """
        if not index:
            return head
        if head:
            if len(self.entries) > MAX_TABLE_ENTRIES:
                raise CodecError("the header table is full")
            self.entries[index] = head
            return head
        try:
            return self.entries[index]
        except KeyError:
            raise CodecError(
                f"header table index {index} is unknown"
            ) from None


def encode_frame(message: Message) -> bytes:
    """Return the frame of a message."""
    body = _encoder.encode(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameBuffer:
    """Splits the input of a connection into messages."""

    def __init__(self):
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Append data and return the messages that are complete.

        :raises CodecError: if a frame is too long or not a message.
        """
        buffer = self.buffer
        buffer += data
        messages = []
        start, size = 0, len(buffer)
        try:
            while size - start >= LENGTH_BYTES:
                body_start = start + LENGTH_BYTES
                length = int.from_bytes(buffer[start:body_start], "big")
                if length > MAX_FRAME_BYTES:
                    raise CodecError(f"a frame of {length} bytes is too long")
                end = body_start + length
                if end > size:
                    break
                with memoryview(buffer)[body_start:end] as frame:
                    messages.append(decode_untrusted(_decoder, frame))
                start = end
        except ValueError as error:
            raise CodecError(str(error)) from error
        if start:
            del buffer[:start]
        return messages
