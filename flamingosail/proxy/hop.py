"""Messages between nodes and their framing on a TCP connection.

A frame is four bytes of length (big-endian) and a msgpack array whose first
element names the message. Calls and replies are multiplexed by ``stream``.
"""

from typing import Union

from msgspec import DecodeError
from msgspec import Struct
from msgspec import ValidationError
from msgspec.msgpack import Decoder
from msgspec.msgpack import Encoder

from flamingosail.errors import CodecError
from flamingosail.proxy.overload import LoadReport

__all__ = [
    "Call",
    "Cancel",
    "ConfigCopy",
    "ConfigPull",
    "DomainLoad",
    "FrameBuffer",
    "HeaderBlocks",
    "Hello",
    "MAX_FRAME_BYTES",
    "Message",
    "Outcome",
    "Ping",
    "Pong",
    "Reply",
    "Status",
    "encode_frame",
]

# The largest body that a client may send (64 MiB) and its header.
MAX_FRAME_BYTES = 68 * 1024 * 1024
LENGTH_BYTES = 4
# Bounds what both ends of a connection keep at 256 KiB.
MAX_BLOCKS = 256
MAX_BLOCK_BYTES = 1024


class Outcome:
    """How a call ended at the gate; the values travel between nodes.

    ANSWERED is an answer of the server, REFUSED proves that the server did
    not run the request, LOST says that it may have run, and SHED is a
    refusal that the server itself gave.
    """

    ANSWERED = 0
    REFUSED = 1
    LOST = 2
    SHED = 3


class Call(Struct, tag=1, array_like=True, gc=False):
    """A request for the backend server beside the receiving node.

    ``line`` is the request line, ``block`` a number for header lines that
    went over this connection before, and ``head`` those lines the first
    time; see ``HeaderBlocks``. ``left_ms`` is the time left in
    milliseconds. ``origin`` is the key of the route on which the whole
    request began, ``rank`` its place in queues (lower is served first), and
    ``repeat`` says that this call, or one that led to it, was sent before.
    """

    stream: int
    request_id: bytes
    service: str
    line: bytes
    block: int
    head: bytes
    body: bytes
    left_ms: int
    idempotent: bool
    origin: int
    rank: int
    repeat: bool


class Reply(Struct, tag=2, array_like=True, gc=False):
    """The end of a call.

    ``proof`` is the server's mark on its answer, ``block`` and ``head`` are
    its other header lines as in ``Call``; ``reason`` says why there is no
    answer. ``running``, ``waiting`` and ``room`` describe the
    gate after the call.
    """

    stream: int
    outcome: int
    status: int
    proof: bytes
    block: int
    head: bytes
    body: bytes
    reason: str
    running: int
    waiting: int
    room: int


class Cancel(Struct, tag=3, array_like=True, gc=False):
    """Nobody waits for the reply any more."""

    stream: int


class Ping(Struct, tag=4, array_like=True, gc=False):
    """Asks for a Pong; carries the version of the configuration.

    ``report`` is sent within a failure domain only.
    """

    config_version: int
    report: LoadReport | None


class Status(Struct, tag=5, array_like=True, gc=False):
    """The state of the sender's backend server.

    ``state`` is ready, draining or absent. ``room`` is how many requests the
    server may run at a time and ``cold_seconds`` how long it stays slow.
    """

    state: str
    service: str
    instance: str
    room: int
    running: int
    waiting: int
    cold_seconds: float
    leaving: bool
    config_version: int


class Pong(Struct, tag=6, array_like=True, gc=False):
    """Answers a Ping."""

    running: int
    waiting: int
    room: int
    config_version: int


class Hello(Struct, tag=7, array_like=True, gc=False):
    """The first message in both directions."""

    node: str
    failure_domain: str
    address: str


class ConfigPull(Struct, tag=8, array_like=True, gc=False):
    """Asks for the configuration, if it is newer than ``version``."""

    version: int


class ConfigCopy(Struct, tag=9, array_like=True, gc=False):
    """A configuration as the operator wrote it."""

    document: bytes


class DomainLoad(Struct, tag=10, array_like=True, gc=False):
    """The sums of the reports of a failure domain, one for each service.

    ``nodes`` is how many reports they sum up.
    """

    nodes: int
    reports: list[LoadReport]


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
]
_encoder = Encoder()
_decoder = Decoder(Message)


class HeaderBlocks:
    """Header lines that one end of a connection has sent.

    Requests of one client differ in little but their id, so that their
    other header lines cross the network once and are a number from then on.
    """

    def __init__(self):
        self.numbers: dict[bytes, int] = {}
        self.blocks: dict[int, bytes] = {}

    def pack(self, head: bytes) -> tuple[int, bytes]:
        """Return the number of a block, and its lines if they are new.

        The number 0 stands for lines that are not kept.
        """
        if not head:
            return 0, head
        number = self.numbers.get(head)
        if number is not None:
            return number, b""
        if len(self.numbers) >= MAX_BLOCKS or len(head) > MAX_BLOCK_BYTES:
            return 0, head
        number = self.numbers[head] = len(self.numbers) + 1
        return number, head

    def unpack(self, number: int, head: bytes) -> bytes:
        """Return the lines that the peer means.

        :raises CodecError: if the number was never sent with its lines.
        """
        if not number:
            return head
        if head:
            if len(self.blocks) > MAX_BLOCKS:
                raise CodecError("too many header blocks")
            self.blocks[number] = head
            return head
        try:
            return self.blocks[number]
        except KeyError:
            raise CodecError(f"header block {number} is unknown") from None


def encode_frame(message: Message) -> bytes:
    """Return the bytes of a message with its length before it."""
    body = _encoder.encode(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameBuffer:
    """Cuts the input of a connection into messages."""

    def __init__(self):
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Take in data and return the messages that are complete.

        :raises CodecError: if the input is not a message.
        """
        buffer = self.buffer
        buffer += data
        messages = []
        start, size = 0, len(buffer)
        try:
            while size - start >= LENGTH_BYTES:
                begin = start + LENGTH_BYTES
                length = int.from_bytes(buffer[start:begin], "big")
                if length > MAX_FRAME_BYTES:
                    raise CodecError(f"a frame of {length} bytes is too long")
                end = begin + length
                if end > size:
                    break
                messages.append(_decoder.decode(buffer[begin:end]))
                start = end
        except (DecodeError, ValidationError) as error:
            raise CodecError(str(error)) from error
        if start:
            del buffer[:start]
        return messages
