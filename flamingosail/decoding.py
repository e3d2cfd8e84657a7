"""Decoding of bytes that may come from another writer."""

from msgspec import DecodeError

__all__ = ["decode_untrusted"]


def decode_untrusted(decoder, data: bytes):
    """Return what a decoder of msgspec makes of data.

    :raises ValueError: if the data is malformed, of another type, out of
        range, or nested too deeply.
    """
    try:
        return decoder.decode(data)
    except (DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error
