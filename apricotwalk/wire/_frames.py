"""Length-prefixed frames on a Tornado stream."""

from tornado.iostream import IOStream

from apricotwalk.core import WireError
from apricotwalk.wire._messages import Message, decode_message, encode_message

__all__ = ["read_frame", "write_frame"]

LENGTH_BYTES = 4


async def read_frame(stream: IOStream, max_bytes: int) -> Message:
    """Read one message, waiting until its frame has arrived.

    Raises
    ------
    WireError
        If the frame exceeds `max_bytes` or is malformed.
    StreamClosedError
        If the connection is closed before the frame is complete.
    """
    length = int.from_bytes(await stream.read_bytes(LENGTH_BYTES), "big")
    if length > max_bytes:
        raise WireError(f"frame of {length} bytes is larger than {max_bytes}")
    return decode_message(await stream.read_bytes(length))


def write_frame(stream: IOStream, message: Message) -> None:
    """Queue one message for sending.

    Raises
    ------
    StreamClosedError
        If the connection is closed.
    """
    payload = encode_message(message)
    future = stream.write(len(payload).to_bytes(LENGTH_BYTES, "big") + payload)
    future.add_done_callback(_retrieve_exception)


def _retrieve_exception(future: "object") -> None:
    """Retrieve the exception of a failed write, which asyncio would log otherwise."""
    if not future.cancelled():  # type: ignore[attr-defined]
        future.exception()  # type: ignore[attr-defined]
