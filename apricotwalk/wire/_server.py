"""The answering side of connections between two nodes."""

import asyncio
import functools
import time
from abc import ABC, abstractmethod
from contextlib import suppress

from loguru import logger
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from apricotwalk.control import NO_KEYS, KeyRing
from apricotwalk.core import ALL_ON, Mechanism, MechanismSwitches, Service, Verdict, WireError
from apricotwalk.settings import Address
from apricotwalk.telemetry import EventLog
from apricotwalk.wire._frames import read_frame, write_frame
from apricotwalk.wire._handshake import accept_peer
from apricotwalk.wire._messages import (
    AnswerMessage,
    CallMessage,
    CancelMessage,
    GoodbyeMessage,
    OwnedCallMessage,
    PingMessage,
    PongMessage,
    SuspectsMessage,
)

__all__ = ["CallHandler", "OwnedCallHandler", "PeerServer"]

LONGEST_STOP_SECONDS = 120.0
LONGEST_GOODBYE_SECONDS = 2.0
GOODBYE_CHECK_SECONDS = 0.02


class CallHandler(ABC):
    """Does the work that a peer asks for."""

    @abstractmethod
    async def handle_call(self, message: CallMessage) -> AnswerMessage:
        """Return the outcome of the call; must not raise."""

    @abstractmethod
    def handle_suspects(self, message: SuspectsMessage) -> None:
        """Take note of requests that crash backend servers."""


class OwnedCallHandler(ABC):
    """Gets work done for whose key this node is the owner."""

    @abstractmethod
    async def handle_owned_call(self, message: OwnedCallMessage) -> AnswerMessage:
        """Return the outcome of the work; must not raise."""


class PeerServer(Service, TCPServer):
    """Accepts connections of peers and runs each of their calls in a task.

    Parameters
    ----------
    address : Address
        Where to listen.
    handler : CallHandler
        Does the work.
    largest_frame_bytes : int
        A frame above this size ends its connection.
    owned_handler : OwnedCallHandler, optional
        Does the work of keys that this node owns.
    switches : MechanismSwitches
        Mechanisms that are on.
    keys : KeyRing
        Keys with which both sides prove who they are.
    events : EventLog, optional
        Receives rejected connections.

    Notes
    -----
    A planned stop says goodbye on each connection, so that its peer sends no new call on it,
    and waits until every peer has its last answer and closes.
    """

    def __init__(
        self,
        address: Address,
        handler: CallHandler,
        largest_frame_bytes: int,
        owned_handler: OwnedCallHandler | None = None,
        switches: MechanismSwitches = ALL_ON,
        keys: KeyRing = NO_KEYS,
        events: EventLog | None = None,
    ) -> None:
        TCPServer.__init__(self)
        self._address = address
        self._handler = handler
        self._owned_handler = owned_handler
        self._largest_frame_bytes = largest_frame_bytes
        self._switches = switches
        self._keys = keys
        self._events = events
        self._streams: set[IOStream] = set()
        self._greeted: set[IOStream] = set()
        self._calls_in_flight = 0
        self.rejected_frames = 0

    async def start(self) -> None:  # type: ignore[override]
        """Listen."""
        self.listen(self._address.port, self._address.host, reuse_port=False)

    async def close(self) -> None:
        """Stop listening, answer the calls in flight and close every connection."""
        self.stop()
        if self._switches.is_on(Mechanism.GRACEFUL_STOP):
            await self._say_goodbye()
        for stream in list(self._streams):
            stream.close()

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one connection until it ends."""
        stream.set_nodelay(True)
        self._streams.add(stream)
        tasks_by_call_id: dict[str, asyncio.Task[None]] = {}
        try:
            await accept_peer(stream, self._keys)
            self._greeted.add(stream)
            await self._serve_stream(stream, tasks_by_call_id)
        except StreamClosedError:
            pass
        except WireError as error:
            self.rejected_frames += 1
            logger.warning("peer {}: {}", address, error)
            if self._events is not None:
                self._events.record_state_change(
                    "frame-rejected", peer=address[0], detail=str(error)
                )
        finally:
            stream.close()
            self._streams.discard(stream)
            self._greeted.discard(stream)
            for task in tasks_by_call_id.values():
                task.cancel()

    async def _serve_stream(
        self, stream: IOStream, tasks_by_call_id: dict[str, asyncio.Task[None]]
    ) -> None:
        while True:
            message = await read_frame(stream, self._largest_frame_bytes)
            if isinstance(message, CallMessage | OwnedCallMessage):
                task = asyncio.create_task(self._answer_call(stream, message))
                tasks_by_call_id[message.call_id] = task
                forget = functools.partial(_forget_task, tasks_by_call_id, message.call_id)
                task.add_done_callback(forget)
            elif isinstance(message, CancelMessage):
                cancelled = tasks_by_call_id.get(message.call_id)
                if cancelled is not None:
                    cancelled.cancel()
            elif isinstance(message, PingMessage):
                write_frame(stream, PongMessage())
            elif isinstance(message, SuspectsMessage):
                self._handler.handle_suspects(message)

    async def _answer_call(self, stream: IOStream, message: CallMessage | OwnedCallMessage) -> None:
        self._calls_in_flight += 1
        try:
            answer = await self._do(message)
            with suppress(StreamClosedError):
                write_frame(stream, answer)
        finally:
            self._calls_in_flight -= 1

    async def _do(self, message: CallMessage | OwnedCallMessage) -> AnswerMessage:
        if isinstance(message, CallMessage):
            return await self._handler.handle_call(message)
        if self._owned_handler is None:
            return AnswerMessage(
                message.call_id, Verdict.NOT_RUN, 501, "no-keys", "this node owns no keys"
            )
        return await self._owned_handler.handle_owned_call(message)

    async def _say_goodbye(self) -> None:
        for stream in list(self._greeted):
            with suppress(StreamClosedError):
                write_frame(stream, GoodbyeMessage())
        began = time.monotonic()
        answered = began
        while self._streams:
            now = time.monotonic()
            if self._calls_in_flight:
                answered = now
            if now - answered > LONGEST_GOODBYE_SECONDS or now - began > LONGEST_STOP_SECONDS:
                return
            await asyncio.sleep(GOODBYE_CHECK_SECONDS)


def _forget_task(
    tasks_by_call_id: dict[str, asyncio.Task[None]], call_id: str, _task: asyncio.Task[None]
) -> None:
    tasks_by_call_id.pop(call_id, None)
