"""The way to one peer, over one connection at a time that is replaced when it ends."""

import asyncio

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from apricotwalk.control import NO_KEYS, KeyRing
from apricotwalk.core import (
    ALL_ON,
    CallFailure,
    MechanismSwitches,
    Service,
    Verdict,
    WireError,
)
from apricotwalk.settings import Address
from apricotwalk.wire._connection import PeerConnection
from apricotwalk.wire._handshake import greet_peer
from apricotwalk.wire._messages import (
    AnswerMessage,
    CallMessage,
    HelloMessage,
    OwnedCallMessage,
    SuspectsMessage,
)

__all__ = ["PeerLink"]

CONNECT_TIMEOUT_SECONDS = 0.5


class PeerLink(Service):
    """One connection to one peer, shared by every call to it.

    Parameters
    ----------
    address : Address
        Where the peer listens.
    hello : HelloMessage
        What this node says first.
    largest_frame_bytes : int
        Frames above this size end the connection.
    switches : MechanismSwitches
        Mechanisms that are on.
    keys : KeyRing
        Keys with which both sides prove who they are.
    """

    def __init__(
        self,
        address: Address,
        hello: HelloMessage,
        largest_frame_bytes: int,
        switches: MechanismSwitches = ALL_ON,
        keys: KeyRing = NO_KEYS,
    ) -> None:
        self.address = address
        self._switches = switches
        self._hello = hello
        self._keys = keys
        self._largest_frame_bytes = largest_frame_bytes
        self._connecting: asyncio.Lock = asyncio.Lock()
        self._current: PeerConnection | None = None
        self._earlier: list[PeerConnection] = []
        self._earlier_late_answers = 0

    @property
    def late_answers(self) -> int:
        """Number of answers that came when nobody waited for them any more."""
        connections = [*self._earlier, *([self._current] if self._current else [])]
        return self._earlier_late_answers + sum(each.late_answers for each in connections)

    async def start(self) -> None:
        """Open the connection.

        Raises
        ------
        CallFailure
            With verdict ``NOT_RUN`` if the peer cannot be reached.
        """
        await self._connection()

    async def close(self) -> None:
        """Close every connection; calls that still wait may have run."""
        connections = [*self._earlier, *([self._current] if self._current else [])]
        for connection in connections:
            await connection.close()

    async def call(
        self, message: CallMessage | OwnedCallMessage, timeout_seconds: float
    ) -> AnswerMessage:
        """Send a call and wait for its answer.

        Raises
        ------
        CallFailure
            ``NOT_RUN`` if the call was never written, ``MAY_HAVE_RUN`` if it was written and
            no answer came.
        """
        connection = self._current
        if connection is None or not connection.takes_calls:
            connection = await self._connection()
        return await connection.call(message, timeout_seconds)

    async def send(self, message: SuspectsMessage) -> None:
        """Send a message that has no answer.

        Raises
        ------
        CallFailure
            If the peer cannot be reached.
        """
        connection = await self._connection()
        connection.send(message)

    async def _connection(self) -> PeerConnection:
        async with self._connecting:
            if self._current is not None and self._current.takes_calls:
                return self._current
            connection = PeerConnection(
                self.address, await self._connect(), self._largest_frame_bytes, self._switches
            )
            self._retire_current()
            self._current = connection
            return connection

    def _retire_current(self) -> None:
        if self._current is not None:
            self._earlier.append(self._current)
        for connection in [each for each in self._earlier if each.is_closed]:
            self._earlier.remove(connection)
            self._earlier_late_answers += connection.late_answers

    async def _connect(self) -> IOStream:
        try:
            stream = await TCPClient().connect(
                self.address.host, self.address.port, timeout=CONNECT_TIMEOUT_SECONDS
            )
            stream.set_nodelay(True)
            await greet_peer(stream, self._hello, self._keys)
        except (OSError, StreamClosedError, TimeoutError, WireError) as error:
            raise CallFailure(
                Verdict.NOT_RUN, "peer-unreachable", f"cannot connect to {self.address}: {error}"
            ) from error
        return stream
