"""Inbound connections from the peers of a mesh node."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

from msgspec.structs import replace

from apricotwalk.core import SMALL_BODY_BYTES, BodyMemory, ServerSocket, Service
from apricotwalk.peering._frames import FrameProtocol
from apricotwalk.peering._messages import (
    CancelMessage,
    ForwardMessage,
    GoAwayMessage,
    GossipDigest,
    PeerMessage,
    PingMessage,
    PongMessage,
    ReplyMessage,
)
from apricotwalk.settings import Address

__all__ = ["PeerHandler", "PeerListener"]

# All peers reconnect at the same time after a restart, while the event loop may be busy.
BACKLOG_CONNECTION_COUNT = 1024
# This default is for listeners that are used without a node.
DEFAULT_BODY_MEMORY_BYTES = 64 * 1024 * 1024


class PeerHandler(ABC):
    """Handles the messages that peers send."""

    @abstractmethod
    async def handle_forward(self, message: ForwardMessage) -> ReplyMessage:
        """Run a forwarded request and return its outcome; must not raise."""

    @abstractmethod
    def handle_withdrawal(self, request_ids: list[str]) -> None:
        """Refuse the forwarded requests that have not started; their replies are still sent."""

    @abstractmethod
    def gossip_digest(self) -> GossipDigest:
        """Return the summary of this node's state."""

    @abstractmethod
    def handle_gossip_digest(
        self, digest: GossipDigest, send: Callable[[PeerMessage], bool]
    ) -> None:
        """Compare the digest of a peer with the local one and request what is missing."""

    @abstractmethod
    def handle_control(self, message: PeerMessage, send: Callable[[PeerMessage], bool]) -> None:
        """Handle a message about members, configuration or suspects."""


class _AcceptedConnection(FrameProtocol):
    def __init__(self, listener: "PeerListener", handler: PeerHandler) -> None:
        super().__init__(listener.memory)
        self._listener = listener
        self._handler = handler
        self._tasks_by_call: dict[int, asyncio.Task[None]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._listener.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self._listener.connections.discard(self)
        for task in self._tasks_by_call.values():
            task.cancel()

    def handle_message(self, message: PeerMessage) -> None:
        if isinstance(message, ForwardMessage):
            task = asyncio.get_running_loop().create_task(self._answer(message))
            self._tasks_by_call[message.call] = task
        elif isinstance(message, CancelMessage):
            self.transfers.cancel(message.call)
            running = self._tasks_by_call.get(message.call)
            if running is not None:
                running.cancel()
        elif isinstance(message, PingMessage):
            self.send(PongMessage(*self._handler.gossip_digest()))
            self._handler.handle_gossip_digest(message.digest, self.send)
        elif isinstance(message, GoAwayMessage):
            # A request that was received together with this message is queued by its task first.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._handler.handle_withdrawal, message.withdrawn_request_ids)
        else:
            self._handler.handle_control(message, self.send)

    async def _answer(self, message: ForwardMessage) -> None:
        self._listener.calls_in_flight += 1
        try:
            reply = await self._handler.handle_forward(message)
            length = len(reply.body)
            if length > SMALL_BODY_BYTES:
                await self.transfers.send_body(message.call, reply.body)
                reply = replace(reply, body=b"", body_length=length)
            self.send(reply)
        finally:
            self._listener.calls_in_flight -= 1
            self._tasks_by_call.pop(message.call, None)


class PeerListener(Service):
    """Accepts connections from peers and runs each forwarded request in a task.

    Parameters
    ----------
    address : Address
        Address to listen on.
    handler : PeerHandler
        Handles the messages of peers.
    memory : BodyMemory, optional
        Memory for the large bodies of requests.
    """

    def __init__(
        self, address: Address, handler: PeerHandler, memory: BodyMemory | None = None
    ) -> None:
        self.memory = memory or BodyMemory(DEFAULT_BODY_MEMORY_BYTES)
        self._socket = ServerSocket(
            address.host,
            address.port,
            lambda: _AcceptedConnection(self, handler),
            BACKLOG_CONNECTION_COUNT,
        )
        self.connections: set[_AcceptedConnection] = set()
        self.calls_in_flight = 0

    async def start(self) -> None:
        """Start to accept connections."""
        await self._socket.start()

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or a peer may not have all of its reply."""
        has_unsent = any(connection.unsent_bytes for connection in self.connections)
        return self.calls_in_flight > 0 or has_unsent

    def send_go_away(self) -> None:
        """Ask every connected peer to send no new requests to this node."""
        for connection in self.connections:
            connection.send(GoAwayMessage())

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message on every accepted connection."""
        for connection in self.connections:
            connection.send(message)

    async def close(self) -> None:
        """Stop listening and close every connection once its write buffer is flushed."""
        await self._socket.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.close()
