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
    "FrameBuffer",
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

    ``head`` is the request line and the header lines, without the empty
    line. ``left_ms`` is the time left in milliseconds. ``origin`` is the key
    of the route on which the whole request began, ``rank`` its place in
    queues (lower is served first), and ``repeat`` says that this call, or
    one that led to it, was sent before.
    """

    stream: int
    request_id: bytes
    service: str
    head: bytes
    body: bytes
    left_ms: int
    idempotent: bool
    origin: int
    rank: int
    repeat: bool


class Reply(Struct, tag=2, array_like=True, gc=False):
    """The end of a call.

    ``head`` holds the header lines of the server's answer; ``reason`` says
    why there is none. ``running``, ``waiting`` and ``room`` describe the
    gate after the call.
    """

    stream: int
    outcome: int
    status: int
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
    """Asks for a Pong; carries the version of the configuration and load."""

    number: int
    config_version: int
    report: LoadReport


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

    number: int
    running: int
    waiting: int
    room: int
    config_version: int


class Hello(Struct, tag=7, array_like=True, gc=False):
    """The first message in both directions."""

    node: str
    incarnation: str
    failure_domain: str
    address: str


class ConfigPull(Struct, tag=8, array_like=True, gc=False):
    """Asks for the configuration, if it is newer than ``version``."""

    version: int


class ConfigCopy(Struct, tag=9, array_like=True, gc=False):
    """A configuration as the operator wrote it."""

    document: bytes


Message = Union[  # noqa: UP007 - msgspec needs the runtime type
    Call, Reply, Cancel, Ping, Status, Pong, Hello, ConfigPull, ConfigCopy
]
_encoder = Encoder()
_decoder = Decoder(Message)


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
