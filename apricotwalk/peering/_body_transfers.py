"""Transfer of large bodies in parts over a connection between two nodes."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from msgspec.structs import replace

from apricotwalk.core import BodyMemory, CountedBody, WireError
from apricotwalk.peering._messages import (
    BodyAcceptMessage,
    BodyOfferMessage,
    BodyPartMessage,
    ForwardMessage,
    PeerMessage,
    ReplyMessage,
)

__all__ = ["BodyTransfers", "TransferMessage"]

TransferMessage = BodyAcceptMessage | BodyOfferMessage | BodyPartMessage

# A part delays the small messages behind it by 5 ms at 100 Mbit/s.
PART_BYTES = 65_536


@dataclass(slots=True)
class _IncomingBody:
    body: CountedBody
    length: int


class BodyTransfers:
    """Large bodies that cross one connection, in both directions.

    Parameters
    ----------
    send : callable
        Sends a message and returns whether the connection was open.
    memory : BodyMemory
        Memory for the bodies that are received.
    is_expected : callable
        Returns whether the body of an attempt is still wanted; an offer of another one crossed its
        cancellation and is ignored.

    Notes
    -----
    The sender offers a body, waits until the receiver has the memory for it, and sends it in parts
    between other messages, no faster than the connection takes them.  The request or reply to
    which the body belongs follows the last part.
    """

    def __init__(
        self,
        send: Callable[[PeerMessage], bool],
        memory: BodyMemory,
        is_expected: Callable[[int], bool],
    ) -> None:
        self._send = send
        self._is_expected = is_expected
        self._memory = memory
        self._incoming_by_call: dict[int, _IncomingBody] = {}
        self._accepts_by_call: dict[int, asyncio.Future[None]] = {}
        self._is_writable = asyncio.Event()
        self._is_writable.set()

    def pause(self) -> None:
        """Send no further part until `resume`, because the connection takes no more bytes."""
        self._is_writable.clear()

    def resume(self) -> None:
        """Continue to send parts."""
        self._is_writable.set()

    async def send_body(
        self, call: int, body: bytes | bytearray, accept_seconds: float | None = None
    ) -> bool:
        """Send a body, and return whether the connection stayed open.

        Parameters
        ----------
        call : int
            Identifier of the attempt to which the body belongs.
        body : bytes or bytearray
            The body.
        accept_seconds : float, optional
            Time within which the receiver must accept it, in seconds; by default without bound.

        Raises
        ------
        TimeoutError
            If the receiver has not accepted the body in time.
        """
        accepted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._accepts_by_call[call] = accepted
        try:
            if not self._send(BodyOfferMessage(call, len(body))):
                return False
            async with asyncio.timeout(accept_seconds):
                await accepted
        except ConnectionError:
            return False
        finally:
            self._accepts_by_call.pop(call, None)
        view = memoryview(body)
        for start in range(0, len(body), PART_BYTES):
            await self._is_writable.wait()
            if not self._send(BodyPartMessage(call, bytes(view[start : start + PART_BYTES]))):
                return False
            await asyncio.sleep(0)
        return True

    def handle(self, message: TransferMessage) -> None:
        """Handle a message of a transfer.

        Raises
        ------
        WireError
            If a body is longer than it was offered.
        """
        if isinstance(message, BodyPartMessage):
            self._append(message)
        elif isinstance(message, BodyOfferMessage):
            self._receive_offer(message)
        else:
            accepted = self._accepts_by_call.get(message.call)
            if accepted is not None and not accepted.done():
                accepted.set_result(None)

    def attach(self, message: ForwardMessage | ReplyMessage) -> ForwardMessage | ReplyMessage:
        """Return a request or reply with the body whose parts preceded it.

        Raises
        ------
        WireError
            If the body is not complete.
        """
        incoming = self._incoming_by_call.pop(message.call, None)
        length = len(incoming.body) if incoming is not None else 0
        if incoming is None or length != message.body_length:
            raise WireError(f"body of {length} bytes instead of {message.body_length}")
        return replace(message, body=incoming.body)

    def cancel(self, call: int) -> None:
        """Drop the received part of a body that is no longer needed."""
        incoming = self._incoming_by_call.pop(call, None)
        if incoming is not None:
            self._memory.stop_waiting(incoming.body)

    def close(self) -> None:
        """Drop every received body and end every transfer after the connection is lost."""
        for call in list(self._incoming_by_call):
            self.cancel(call)
        for accepted in self._accepts_by_call.values():
            if not accepted.done():
                accepted.set_exception(ConnectionError("connection lost during a transfer"))
        self._is_writable.set()

    def _receive_offer(self, offer: BodyOfferMessage) -> None:
        if not self._is_expected(offer.call):
            return
        body = CountedBody(self._memory)
        self.cancel(offer.call)
        self._incoming_by_call[offer.call] = _IncomingBody(body, offer.length)
        if self._memory.try_acquire(body, offer.length):
            self._send(BodyAcceptMessage(offer.call))
            return
        self._memory.acquire_later(body, offer.length, lambda: self._accept_later(offer.call))

    def _accept_later(self, call: int) -> None:
        if call in self._incoming_by_call:
            self._send(BodyAcceptMessage(call))

    def _append(self, part: BodyPartMessage) -> None:
        incoming = self._incoming_by_call.get(part.call)
        if incoming is None:
            return  # the call was cancelled while the part was on its way
        if len(incoming.body) + len(part.data) > incoming.length:
            raise WireError(f"body of more than the offered {incoming.length} bytes")
        incoming.body += part.data
