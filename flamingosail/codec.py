"""Encoding of messages between nodes."""

from typing import Union

from msgspec import DecodeError
from msgspec.msgpack import Decoder
from msgspec.msgpack import Encoder

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

PROTOCOL_VERSION = 1
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
_encoder = Encoder()
_decoder = Decoder(_MESSAGE)


def encode(message: Message) -> bytes:
    """Return the wire form: one version byte, then msgpack.

    :raises CodecError: if the message exceeds MAX_MESSAGE_BYTES.
    """
    data = _VERSION_PREFIX + _encoder.encode(message)
    if len(data) > MAX_MESSAGE_BYTES:
        raise CodecError(
            f"message of {len(data)} bytes exceeds {MAX_MESSAGE_BYTES}"
        )
    return data


def decode(data: bytes) -> Message:
    """Return the message in ``data``.

    :raises CodecError: if it is too large, of another protocol version, or
        not a valid message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise CodecError(
            f"message of {len(data)} bytes exceeds {MAX_MESSAGE_BYTES}"
        )
    if data[:1] != _VERSION_PREFIX:
        raise CodecError(f"unknown protocol version {data[:1].hex() or '-'}")
    try:
        return _decoder.decode(memoryview(data)[1:])
    except (DecodeError, UnicodeDecodeError) as error:
        raise CodecError(f"malformed message: {error}") from error
