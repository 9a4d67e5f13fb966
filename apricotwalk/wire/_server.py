"""The serving side of connections between two nodes."""

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
from apricotwalk.wire._handshake import accept_handshake
from apricotwalk.wire._messages import (
    AnswerMessage,
    CallMessage,
    CancelMessage,
    GoAwayMessage,
    OwnedCallMessage,
    PingMessage,
    PongMessage,
    SuspectsMessage,
)

__all__ = ["CallHandler", "OwnedCallHandler", "PeerServer"]

MAX_DRAIN_SECONDS = 120.0
PEER_CLOSE_TIMEOUT_SECONDS = 2.0
DRAIN_POLL_SECONDS = 0.02


class CallHandler(ABC):
    """Handles the calls of peers."""

    @abstractmethod
    async def handle_call(self, message: CallMessage) -> AnswerMessage:
        """Execute the call and return its outcome; must not raise."""

    @abstractmethod
    def handle_suspects(self, message: SuspectsMessage) -> None:
        """Record requests suspected of crashing backend servers."""


class OwnedCallHandler(ABC):
    """Handles calls whose idempotency key is owned by this node."""

    @abstractmethod
    async def handle_owned_call(self, message: OwnedCallMessage) -> AnswerMessage:
        """Have the work executed and return its outcome; must not raise."""


class PeerServer(Service, TCPServer):
    """Accepts connections from peers and handles each of their calls in a task.

    Parameters
    ----------
    address : Address
        Address to listen on.
    handler : CallHandler
        Handler of calls.
    max_frame_bytes : int
        Size in bytes above which a received frame ends its connection.
    owned_handler : OwnedCallHandler, optional
        Handler of calls whose key this node owns.
    switches : MechanismSwitches
        Mechanisms that are enabled.
    keys : KeyRing
        Keys with which both sides authenticate.
    events : EventLog, optional
        Log of rejected frames and handshakes.

    Notes
    -----
    A graceful stop sends a `GoAwayMessage` on each connection, so that the peer sends no new
    calls on it, and waits until every peer has received its last answer and has closed.  The wait
    ends 2 s after the last answer, and after 120 s in any case.
    """

    def __init__(
        self,
        address: Address,
        handler: CallHandler,
        max_frame_bytes: int,
        owned_handler: OwnedCallHandler | None = None,
        switches: MechanismSwitches = ALL_ON,
        keys: KeyRing = NO_KEYS,
        events: EventLog | None = None,
    ) -> None:
        TCPServer.__init__(self)
        self._address = address
        self._handler = handler
        self._owned_handler = owned_handler
        self._max_frame_bytes = max_frame_bytes
        self._switches = switches
        self._keys = keys
        self._events = events
        self._streams: set[IOStream] = set()
        self._established: set[IOStream] = set()
        self._calls_in_flight = 0
        self.rejected_frames = 0

    async def start(self) -> None:  # type: ignore[override]
        """Start to listen."""
        self.listen(self._address.port, self._address.host, reuse_port=False)

    async def close(self) -> None:
        """Stop listening, answer the calls in flight and close all connections."""
        self.stop()
        if self._switches.is_on(Mechanism.GRACEFUL_STOP):
            await self._drain_connections()
        for stream in list(self._streams):
            stream.close()

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one connection until it is closed."""
        stream.set_nodelay(True)
        self._streams.add(stream)
        tasks_by_call_id: dict[str, asyncio.Task[None]] = {}
        try:
            await accept_handshake(stream, self._keys)
            self._established.add(stream)
            await self._serve_stream(stream, tasks_by_call_id)
        except StreamClosedError:
            pass
        except WireError as error:
            self.rejected_frames += 1
            logger.warning("closing the connection from peer {}: {}", address, error)
            if self._events is not None:
                self._events.record_state_change(
                    "frame-rejected", peer=address[0], detail=str(error)
                )
        finally:
            stream.close()
            self._streams.discard(stream)
            self._established.discard(stream)
            for task in tasks_by_call_id.values():
                task.cancel()

    async def _serve_stream(
        self, stream: IOStream, tasks_by_call_id: dict[str, asyncio.Task[None]]
    ) -> None:
        while True:
            message = await read_frame(stream, self._max_frame_bytes)
            if isinstance(message, CallMessage | OwnedCallMessage):
                task = asyncio.create_task(self._answer_call(stream, message))
                tasks_by_call_id[message.call_id] = task
                discard_task = functools.partial(_discard_task, tasks_by_call_id, message.call_id)
                task.add_done_callback(discard_task)
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
            answer = await self._execute(message)
            with suppress(StreamClosedError):
                write_frame(stream, answer)
        finally:
            self._calls_in_flight -= 1

    async def _execute(self, message: CallMessage | OwnedCallMessage) -> AnswerMessage:
        if isinstance(message, CallMessage):
            return await self._handler.handle_call(message)
        if self._owned_handler is None:
            return AnswerMessage(
                message.call_id, Verdict.NOT_RUN, 501, "no-keys", "this node owns no keys"
            )
        return await self._owned_handler.handle_owned_call(message)

    async def _drain_connections(self) -> None:
        for stream in list(self._established):
            with suppress(StreamClosedError):
                write_frame(stream, GoAwayMessage())
        began = time.monotonic()
        last_busy = began
        while self._streams:
            now = time.monotonic()
            if self._calls_in_flight:
                last_busy = now
            if now - last_busy > PEER_CLOSE_TIMEOUT_SECONDS or now - began > MAX_DRAIN_SECONDS:
                return
            await asyncio.sleep(DRAIN_POLL_SECONDS)


def _discard_task(
    tasks_by_call_id: dict[str, asyncio.Task[None]], call_id: str, _task: asyncio.Task[None]
) -> None:
    tasks_by_call_id.pop(call_id, None)
