"""Decoding of messages received from other processes."""

from typing import Protocol, TypeVar

import msgspec

from apricotwalk.core._errors import WireError

__all__ = ["decode_payload"]

Content = TypeVar("Content", covariant=True)


class _Decoder(Protocol[Content]):
    def decode(self, buf: bytes, /) -> Content: ...


def decode_payload(decoder: _Decoder[Content], payload: bytes, name: str) -> Content:
    """Decode and validate `payload`.

    Parameters
    ----------
    decoder : msgspec decoder
        Decoder of the expected type.
    payload : bytes
        Bytes received from the other process.
    name : str
        Name of the payload in the error message.

    Raises
    ------
    WireError
        If the payload is malformed or does not match the type of the decoder.
    """
    try:
        return decoder.decode(payload)
    except (msgspec.MsgspecError, ValueError) as error:
        raise WireError(f"malformed {name} of {len(payload)} bytes: {error}") from error
