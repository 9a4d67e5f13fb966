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

from apricotwalk.core import BodyMemory, WireError
from apricotwalk.peering._body_transfers import BodyTransfers
from apricotwalk.peering._messages import (
    BodyAcceptMessage,
    BodyOfferMessage,
    BodyPartMessage,
    ForwardMessage,
    PeerMessage,
    ReplyMessage,
    decode_peer_message,
    encode_peer_message,
)

__all__ = ["FrameProtocol"]

_MESSAGES_WITH_BODY = (ForwardMessage, ReplyMessage)
_TRANSFER_MESSAGES = (BodyAcceptMessage, BodyOfferMessage, BodyPartMessage)
_LENGTH = struct.Struct(">I")
# Large bodies cross in parts; the largest other message lists the members of the whole fleet.
MAX_FRAME_BYTES = 16 * 1024 * 1024


class FrameProtocol(asyncio.Protocol):
    """Connection that exchanges length-prefixed peer messages in both directions.

    Parameters
    ----------
    memory : BodyMemory
        Memory for the large bodies that are received.

    Notes
    -----
    A malformed or oversized frame closes the connection.
    """

    def __init__(self, memory: BodyMemory) -> None:
        self.transport: asyncio.Transport | None = None
        self._received = bytearray()
        self.transfers = BodyTransfers(self.send, memory, self.expects_body)

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
                self._dispatch(message)
        except WireError as error:
            logger.warning("peer sent a malformed message: {}", error)
            self.close()
            return
        if position:
            del received[:position]

    def _dispatch(self, message: PeerMessage) -> None:
        if isinstance(message, _MESSAGES_WITH_BODY):
            if message.body_length:
                message = self.transfers.attach(message)
            self.handle_message(message)
        elif isinstance(message, _TRANSFER_MESSAGES):
            self.record_transfer()
            self.transfers.handle(message)
        else:
            self.handle_message(message)

    def expects_body(self, call: int) -> bool:
        """Return whether the body of an attempt may be received."""
        return True

    def record_transfer(self) -> None:
        """Take note of a part of a body, which shows like any message that the peer is alive."""

    def pause_writing(self) -> None:
        """Interrupt the transfer of bodies; called by the event loop."""
        self.transfers.pause()

    def resume_writing(self) -> None:
        """Continue the transfer of bodies; called by the event loop."""
        self.transfers.resume()

    def connection_lost(self, error: Exception | None) -> None:
        """End the transfer of bodies; called by the event loop."""
        self.transfers.close()

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the kernel has not taken yet."""
        transport = self.transport
        return transport.get_write_buffer_size() if transport is not None and self.is_open else 0

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
