"""Messages between nodes.

Messages are frozen msgspec structs in array form: on the wire a message is
an array that starts with its type, without field names. Fields are only
ever appended, with a default, so that nodes of neighbouring versions
understand each other.
"""

from msgspec import Struct

__all__ = [
    "Call",
    "CallAnswer",
    "Cancel",
    "Digest",
    "Forward",
    "ManifestCopy",
    "ManifestPull",
    "MemberRecord",
    "Message",
    "Probe",
    "ProbeAnswer",
    "Records",
    "RetryGrant",
    "RetryRequest",
    "Suspect",
    "WireHeaders",
]

WireHeaders = tuple[tuple[bytes, bytes], ...]


class Message(Struct, frozen=True, array_like=True):
    """Base of all messages. ``sender`` is the sending node's incarnation."""

    sender: str


class Call(Message, frozen=True, array_like=True, tag="call"):
    """A call for the backend server of the receiving node.

    ``call_id`` rises with each call of the sender. ``remaining_ms`` is the
    time left when the call was sent. ``root_address`` is where the retry
    pool of the root is kept.
    """

    reply_to: str
    call_id: int
    target: str
    root: str
    root_address: str
    kind: str
    priority: int
    remaining_ms: float
    calls: int
    depth: int
    idempotent: bool
    method: str
    path: str
    headers: WireHeaders
    body: bytes


class Forward(Message, frozen=True, array_like=True, tag="forward"):
    """A caller's request for the node that owns its idempotency key."""

    reply_to: str
    call_id: int
    target: str
    remaining_ms: float
    key: str
    kind: str
    method: str
    path: str
    headers: WireHeaders
    body: bytes


class CallAnswer(Message, frozen=True, array_like=True, tag="answer"):
    """The answer to a Call or a Forward.

    ``to`` is the incarnation that sent the call; ids are unique within it.
    ``digest`` is the xxh64 of the body. ``refusal`` is a refusal code, empty
    when the backend server answered; ``detail`` explains it.
    """

    to: str
    call_id: int
    verdict: int
    status: int
    headers: WireHeaders
    body: bytes
    digest: int
    refusal: str
    detail: str
    calls: int
    pressure: int
    draining: bool
    key: str | None = None


class Cancel(Message, frozen=True, array_like=True, tag="cancel"):
    """Says that nobody waits for the answer to a call any more."""

    call_id: int


class MemberRecord(Struct, frozen=True, array_like=True):
    """What a node says of itself; higher versions replace lower ones.

    ``state`` is starting, ready, draining, left or, set by others, removed.
    ``replaces`` is the nonce of the earlier incarnation of the same node
    that this one has outbid, if any.
    """

    node: str
    incarnation: str
    version: int
    address: str
    failure_domain: str
    region: str
    service: str
    state: str
    replaces: str = ""


class RetryRequest(Message, frozen=True, array_like=True, tag="retry"):
    """Asks the node where a root entered for one retry."""

    reply_to: str
    ticket: int
    root: str


class RetryGrant(Message, frozen=True, array_like=True, tag="grant"):
    """The answer to a RetryRequest.

    ``to`` is the incarnation that asked; tickets are unique within it.
    """

    ticket: int
    granted: bool
    to: str = ""


class Records(Message, frozen=True, array_like=True, tag="records"):
    """Member records that the receiver may not have."""

    records: tuple[MemberRecord, ...]


class Digest(Message, frozen=True, array_like=True, tag="digest"):
    """Versions of all member records of the sender.

    Each entry is node name, nonce and version of a member that is not gone.
    The receiver answers with the records that are newer at its side and, if
    ``reply`` is set, with its own digest.
    """

    reply_to: str
    entries: tuple[tuple[str, str, int], ...]
    reply: bool


class Probe(Message, frozen=True, array_like=True, tag="probe"):
    """Asks a neighbour whether it is alive."""

    reply_to: str
    sequence: int
    table_hash: int
    manifest_version: int


class ProbeAnswer(Message, frozen=True, array_like=True, tag="alive"):
    """The answer to a Probe."""

    reply_to: str
    sequence: int
    table_hash: int
    manifest_version: int


class Suspect(Message, frozen=True, array_like=True, tag="suspect"):
    """Says that a member does not answer probes."""

    node: str
    incarnation: str
    version: int


class ManifestPull(Message, frozen=True, array_like=True, tag="pull"):
    """Asks for the manifest if it is newer than ``version``."""

    reply_to: str
    version: int


class ManifestCopy(Message, frozen=True, array_like=True, tag="manifest"):
    """A manifest with the log offset that is its version."""

    version: int
    body: bytes
