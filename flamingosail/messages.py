"""Messages between nodes.

Messages are frozen msgspec structs in array form: on the wire a message is
an array that starts with its type, without field names. New fields are only
appended, with a default, so that nodes of adjacent versions are compatible.
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
    """Base of all messages; ``sender`` is the sending node's incarnation."""

    sender: str


class Call(Message, frozen=True, array_like=True, tag="call"):
    """A call to the backend server of the receiving node.

    ``call_id`` increases with each call of the sender. ``remaining_ms`` is
    the time to the deadline when the call was sent. ``root`` is the id of
    the root request, and ``root_address`` the node that holds its retry
    pool.
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
    """A caller's request, forwarded to the owner of its idempotency key."""

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

    ``to`` is the incarnation that sent the call; call ids are unique only
    within one incarnation. ``digest`` is the xxh64 of the body. ``refusal``
    is a refusal code, empty when the backend server answered; ``detail``
    explains it.
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
    """Cancels a call whose answer is no longer awaited."""

    call_id: int


class MemberRecord(Struct, frozen=True, array_like=True):
    """A member as published by its node; higher versions supersede lower.

    ``state`` is starting, ready, draining, left or, set by other nodes,
    removed. ``replaces`` is the nonce of the earlier incarnation of the
    same node that this one has superseded, if any.
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
    """Asks the entry node of a root request for one retry.

    ``ticket`` identifies the RetryRequest within the sender's incarnation.
    """

    reply_to: str
    ticket: int
    root: str


class RetryGrant(Message, frozen=True, array_like=True, tag="grant"):
    """The answer to a RetryRequest.

    ``to`` is the incarnation that sent it; ``ticket`` is copied from it.
    """

    ticket: int
    granted: bool
    to: str = ""


class Records(Message, frozen=True, array_like=True, tag="records"):
    """Member records that the receiver may lack."""

    records: tuple[MemberRecord, ...]


class Digest(Message, frozen=True, array_like=True, tag="digest"):
    """The versions of all live members in the table of the sender.

    Each entry is node name, nonce and version. The receiver answers with
    the records that the sender lacks and, if ``reply`` is set, with its own
    digest.
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
    """Reports that a member does not answer probes."""

    node: str
    incarnation: str
    version: int


class ManifestPull(Message, frozen=True, array_like=True, tag="pull"):
    """Asks for the manifest if the receiver has one above ``version``."""

    reply_to: str
    version: int


class ManifestCopy(Message, frozen=True, array_like=True, tag="manifest"):
    """A manifest; ``version`` is its offset in the log."""

    version: int
    body: bytes
