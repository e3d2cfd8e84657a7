"""Binary encoding of the messages between nodes."""

from typing import Union

from msgspec import DecodeError
from msgspec.msgpack import Decoder
from msgspec.msgpack import Encoder
from xxhash import xxh64_digest

from flamingosail.errors import CodecError
from flamingosail.messages import Call
from flamingosail.messages import CallAnswer
from flamingosail.messages import Cancel
from flamingosail.messages import Digest
from flamingosail.messages import Forward
from flamingosail.messages import ManifestCopy
from flamingosail.messages import ManifestPull
from flamingosail.messages import Message
from flamingosail.messages import Probe
from flamingosail.messages import ProbeAnswer
from flamingosail.messages import Records
from flamingosail.messages import RetryGrant
from flamingosail.messages import RetryRequest
from flamingosail.messages import Suspect

__all__ = ["MAX_MESSAGE_BYTES", "PROTOCOL_VERSION", "decode", "encode"]

# Version 1 had no checksum of the message.
PROTOCOL_VERSION = 2
MAX_MESSAGE_BYTES = 1_310_720

_MESSAGE = Union[  # noqa: UP007 - msgspec needs the runtime type
    Call,
    CallAnswer,
    Cancel,
    Digest,
    Forward,
    ManifestCopy,
    ManifestPull,
    Probe,
    ProbeAnswer,
    Records,
    RetryGrant,
    RetryRequest,
    Suspect,
]
_VERSION_PREFIX = bytes([PROTOCOL_VERSION])
_CHECKSUM_BYTES = 8
_HEADER_BYTES = len(_VERSION_PREFIX) + _CHECKSUM_BYTES
_encoder = Encoder()
_decoder = Decoder(_MESSAGE)


def encode(message: Message) -> bytes:
    """Return the wire form: version byte, xxh64 of the rest, msgpack.

    The TCP checksum misses some corruption, and a corrupted verdict, key or
    path could pass as a valid one.

    :raises CodecError: if the message exceeds MAX_MESSAGE_BYTES.
    """
    payload = _encoder.encode(message)
    data = _VERSION_PREFIX + xxh64_digest(payload) + payload
    if len(data) > MAX_MESSAGE_BYTES:
        raise CodecError(
            f"message of {len(data)} bytes exceeds {MAX_MESSAGE_BYTES}"
        )
    return data


def decode(data: bytes) -> Message:
    """Decode the wire form of a message.

    :raises CodecError: if ``data`` is too large, of another protocol
        version, corrupted or not a valid message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise CodecError(
            f"message of {len(data)} bytes exceeds {MAX_MESSAGE_BYTES}"
        )
    if data[:1] != _VERSION_PREFIX:
        raise CodecError(f"unknown protocol version {data[:1].hex() or '-'}")
    payload = memoryview(data)[_HEADER_BYTES:]
    if data[len(_VERSION_PREFIX) : _HEADER_BYTES] != xxh64_digest(payload):
        raise CodecError("the message does not match its checksum")
    try:
        return _decoder.decode(payload)
    except (DecodeError, UnicodeDecodeError) as error:
        raise CodecError(f"malformed message: {error}") from error
