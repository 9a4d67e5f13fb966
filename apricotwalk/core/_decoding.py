"""Decoding of bytes received from other processes."""

from typing import Protocol, TypeVar

import msgspec

from apricotwalk.core._errors import WireError

__all__ = ["MAX_COUNT", "decode_payload", "parse_count"]

# MessagePack cannot encode larger signed integers, so a larger count could not be passed on.
MAX_COUNT = 2**63 - 1
MAX_COUNT_DIGITS = 19

Content = TypeVar("Content", covariant=True)


class _Decoder(Protocol[Content]):
    def decode(self, buf: bytes | msgspec.Raw, /) -> Content: ...


def decode_payload(decoder: _Decoder[Content], payload: bytes | msgspec.Raw, name: str) -> Content:
    """Decode and validate `payload`.

    Parameters
    ----------
    decoder : msgspec decoder
        Decoder of the expected type.
    payload : bytes or msgspec.Raw
        Bytes received from the other process.
    name : str
        Name of the payload in the error message.

    Raises
    ------
    WireError
        If the payload is malformed, nested too deeply, or does not match the type of the decoder.

    Notes
    -----
    The decoders of msgspec report nesting beyond the limit of the interpreter as `RecursionError`,
    which is not a subclass of `ValueError`.
    """
    try:
        return decoder.decode(payload)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as error:
        raise WireError(f"malformed {name} of {len(memoryview(payload))} bytes: {error}") from error


def parse_count(text: str, largest: int = MAX_COUNT) -> int:
    """Convert decimal digits to a number of at least 0.

    Parameters
    ----------
    text : str
        ASCII digits.  Other characters that Unicode classifies as digits are refused.
    largest : int
        Largest accepted number.

    Raises
    ------
    ValueError
        If the text is not a number, or one above `largest`.

    Examples
    --------
    >>> parse_count("42")
    42
    """
    if not (text.isascii() and text.isdecimal()) or len(text) > MAX_COUNT_DIGITS:
        raise ValueError(f"expected a decimal number of at most {largest}, got {text[:40]!r}")
    number = int(text)
    if number > largest:
        raise ValueError(f"expected a decimal number of at most {largest}, got {text}")
    return number
