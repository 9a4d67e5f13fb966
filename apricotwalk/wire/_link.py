"""A link to one peer, which uses one connection at a time and reconnects on demand."""

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
from apricotwalk.wire._handshake import initiate_handshake
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
    """A link to one peer, whose connection is shared by all calls to this peer.

    Parameters
    ----------
    address : Address
        Address on which the peer listens.
    hello : HelloMessage
        First message on each connection.
    max_frame_bytes : int
        Size in bytes above which a received frame ends its connection.
    switches : MechanismSwitches
        Mechanisms that are enabled.
    keys : KeyRing
        Keys with which both sides authenticate.
    """

    def __init__(
        self,
        address: Address,
        hello: HelloMessage,
        max_frame_bytes: int,
        switches: MechanismSwitches = ALL_ON,
        keys: KeyRing = NO_KEYS,
    ) -> None:
        self.address = address
        self._switches = switches
        self._hello = hello
        self._keys = keys
        self._max_frame_bytes = max_frame_bytes
        self._connect_lock: asyncio.Lock = asyncio.Lock()
        self._current: PeerConnection | None = None
        self._previous: list[PeerConnection] = []
        self._late_answers_of_closed = 0

    @property
    def late_answers(self) -> int:
        """Number of answers received after their call had timed out or been cancelled."""
        connections = [*self._previous, *([self._current] if self._current else [])]
        return self._late_answers_of_closed + sum(
            connection.late_answers for connection in connections
        )

    async def start(self) -> None:
        """Open the connection.

        Raises
        ------
        CallFailure
            With verdict ``NOT_RUN`` if no connection can be established.
        """
        await self._open_connection()

    async def close(self) -> None:
        """Close all connections; pending calls fail and may have run."""
        connections = [*self._previous, *([self._current] if self._current else [])]
        for connection in connections:
            await connection.close()

    async def call(
        self, message: CallMessage | OwnedCallMessage, timeout_seconds: float
    ) -> AnswerMessage:
        """Send a call and wait for its answer.

        Raises
        ------
        CallFailure
            With verdict ``NOT_RUN`` if the call was never written, ``MAY_HAVE_RUN`` if it was
            written and no answer was received.
        """
        connection = self._current
        if connection is None or not connection.accepts_calls:
            connection = await self._open_connection()
        return await connection.call(message, timeout_seconds)

    async def send(self, message: SuspectsMessage) -> None:
        """Send a one-way message.

        Raises
        ------
        CallFailure
            If no connection can be established.
        """
        connection = await self._open_connection()
        connection.send(message)

    async def _open_connection(self) -> PeerConnection:
        async with self._connect_lock:
            if self._current is not None and self._current.accepts_calls:
                return self._current
            connection = PeerConnection(
                self.address, await self._connect(), self._max_frame_bytes, self._switches
            )
            self._replace_current()
            self._current = connection
            return connection

    def _replace_current(self) -> None:
        if self._current is not None:
            self._previous.append(self._current)
        for connection in [earlier for earlier in self._previous if earlier.is_closed]:
            self._previous.remove(connection)
            self._late_answers_of_closed += connection.late_answers

    async def _connect(self) -> IOStream:
        try:
            stream = await TCPClient().connect(
                self.address.host, self.address.port, timeout=CONNECT_TIMEOUT_SECONDS
            )
            stream.set_nodelay(True)
            await initiate_handshake(stream, self._hello, self._keys)
        except (OSError, StreamClosedError, TimeoutError, WireError) as error:
            raise CallFailure(
                Verdict.NOT_RUN, "peer-unreachable", f"cannot connect to {self.address}: {error}"
            ) from error
        return stream
