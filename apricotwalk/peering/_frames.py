"""Length-prefixed frames on an asyncio transport.

Notes
-----
`apricotwalk.wire` reads frames with tornado's `IOStream`, which needs two reads per frame.  A
request in a mesh crosses four frames, and an asyncio protocol that extracts the frames from a
receive buffer uses a fifth of that processor time.
"""

import asyncio
import struct
from abc import abstractmethod
from typing import cast

from loguru import logger

from apricotwalk.core import WireError
from apricotwalk.peering._messages import PeerMessage, decode_peer_message, encode_peer_message

__all__ = ["FrameProtocol"]

_LENGTH = struct.Struct(">I")
# Bodies may have up to 64 MB on the external platform; the rest is for header fields and framing.
MAX_FRAME_BYTES = 80 * 1024 * 1024


class FrameProtocol(asyncio.Protocol):
    """Connection that exchanges length-prefixed peer messages in both directions.

    Notes
    -----
    A malformed or oversized frame closes the connection.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._received = bytearray()

    @property
    def is_open(self) -> bool:
        """Whether the connection is established and not closing."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Decode and handle every complete frame received so far; called by the event loop."""
        received = self._received
        received += data
        position = 0
        try:
            while len(received) - position >= _LENGTH.size:
                (length,) = _LENGTH.unpack_from(received, position)
                if length > MAX_FRAME_BYTES:
                    raise WireError(
                        f"frame of {length} bytes exceeds the maximum of {MAX_FRAME_BYTES} bytes"
                    )
                end = position + _LENGTH.size + length
                if end > len(received):
                    break
                message = decode_peer_message(bytes(received[position + _LENGTH.size : end]))
                position = end
                self.handle_message(message)
        except WireError as error:
            logger.warning("peer sent a malformed message: {}", error)
            self.close()
            return
        if position:
            del received[:position]

    def send(self, message: PeerMessage) -> bool:
        """Write `message` to the transport and return whether the connection was open."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        payload = encode_peer_message(message)
        transport.write(_LENGTH.pack(len(payload)) + payload)
        return True

    def close(self) -> None:
        """Abort the connection; data that is still in the write buffer is discarded."""
        if self.transport is not None:
            self.transport.abort()

    @abstractmethod
    def handle_message(self, message: PeerMessage) -> None:
        """Handle a decoded message."""
