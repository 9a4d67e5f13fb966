"""The answering side of connections between nodes of a mesh."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

from apricotwalk.core import Service
from apricotwalk.peering._frames import FrameProtocol
from apricotwalk.peering._messages import (
    CancelMessage,
    ForwardMessage,
    GoAwayMessage,
    PeerMessage,
    PingMessage,
    PongMessage,
    ReplyMessage,
)
from apricotwalk.settings import Address

__all__ = ["PeerHandler", "PeerListener"]

# Connections that arrive while the event loop is busy; a fleet reconnects at once after a restart.
BACKLOG = 1024


class PeerHandler(ABC):
    """Does what peers ask for."""

    @abstractmethod
    async def handle_forward(self, message: ForwardMessage) -> ReplyMessage:
        """Return the outcome of a forwarded request; must not raise."""

    @abstractmethod
    def gossip_digest(self) -> tuple[int, int]:
        """Return the version of the configuration in force and the digest of the members."""

    @abstractmethod
    def handle_gossip_digest(
        self, configuration_version: int, members_digest: int, send: Callable[[PeerMessage], bool]
    ) -> None:
        """Compare what a peer knows with what this node knows."""

    @abstractmethod
    def handle_control(self, message: PeerMessage, send: Callable[[PeerMessage], bool]) -> None:
        """Take a message about members, configuration or suspects."""


class _AcceptedConnection(FrameProtocol):
    def __init__(self, owner: "PeerListener", handler: PeerHandler) -> None:
        super().__init__()
        self._owner = owner
        self._handler = handler
        self._tasks_by_call: dict[int, asyncio.Task[None]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._owner.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._owner.connections.discard(self)
        for task in self._tasks_by_call.values():
            task.cancel()

    def take(self, message: PeerMessage) -> None:
        if isinstance(message, ForwardMessage):
            task = asyncio.get_running_loop().create_task(self._answer(message))
            self._tasks_by_call[message.call] = task
        elif isinstance(message, CancelMessage):
            running = self._tasks_by_call.get(message.call)
            if running is not None:
                running.cancel()
        elif isinstance(message, PingMessage):
            self.send(PongMessage(*self._handler.gossip_digest()))
            self._handler.handle_gossip_digest(
                message.configuration_version, message.members_digest, self.send
            )
        else:
            self._handler.handle_control(message, self.send)

    async def _answer(self, message: ForwardMessage) -> None:
        self._owner.calls_in_flight += 1
        try:
            reply: ReplyMessage = await self._handler.handle_forward(message)
            self.send(reply)
        finally:
            self._owner.calls_in_flight -= 1
            self._tasks_by_call.pop(message.call, None)


class PeerListener(Service):
    """Accepts connections of peers and runs each forwarded request in a task.

    Parameters
    ----------
    address : Address
        Where to listen.
    handler : PeerHandler
        Does what peers ask for.
    """

    def __init__(self, address: Address, handler: PeerHandler) -> None:
        self._address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.connections: set[_AcceptedConnection] = set()
        self.calls_in_flight = 0

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _AcceptedConnection(self, self._handler),
            self._address.host,
            self._address.port,
            backlog=BACKLOG,
        )

    def send_go_away(self) -> None:
        """Ask every peer to send no new requests."""
        for connection in self.connections:
            connection.send(GoAwayMessage())

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message on every open connection."""
        for connection in self.connections:
            connection.send(message)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.close()
