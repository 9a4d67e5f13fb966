"""An open connection to a peer and the calls that are pending on it."""

import asyncio
import time
from contextlib import suppress

from tornado.iostream import IOStream, StreamClosedError

from apricotwalk.core import (
    CallFailure,
    Mechanism,
    MechanismSwitches,
    PauseDetector,
    Verdict,
    WireError,
)
from apricotwalk.settings import Address
from apricotwalk.wire._frames import read_frame, write_frame
from apricotwalk.wire._messages import (
    AnswerMessage,
    CallMessage,
    CancelMessage,
    GoAwayMessage,
    OwnedCallMessage,
    PingMessage,
    SuspectsMessage,
)

__all__ = ["PeerConnection"]

# The silence limit is three of these intervals, so that two pings can be lost.
PING_INTERVAL_SECONDS = 0.5
# A round trip between regions takes up to 0.3 s, so an answer to the third ping is in time.
SILENCE_LIMIT_SECONDS = 1.5
# A connection without calls sends no pings, so it can die undetected.
IDLE_LIMIT_SECONDS = 10.0


class PeerConnection:
    """The calling side of one connection.

    Parameters
    ----------
    address : Address
        Address of the peer.
    stream : IOStream
        The open connection, after the handshake.
    max_frame_bytes : int
        Size in bytes above which a received frame ends the connection.
    switches : MechanismSwitches
        Mechanisms that are enabled.

    Notes
    -----
    While calls are pending, the connection sends pings and closes when nothing is received for
    1.5 s, so that a dead connection is replaced; the calls on it may have run.  Without calls it
    closes after 10 s, because a connection can die undetected while it is idle.  After the peer
    has sent a `GoAwayMessage`, no new call is sent and the connection closes after its last
    answer.
    """

    def __init__(
        self,
        address: Address,
        stream: IOStream,
        max_frame_bytes: int,
        switches: MechanismSwitches,
    ) -> None:
        self.late_answers = 0
        self._address = address
        self._stream = stream
        self._max_frame_bytes = max_frame_bytes
        self._switches = switches
        self._is_draining = False
        self._answers_by_call_id: dict[str, asyncio.Future[AnswerMessage]] = {}
        self._last_received = self._last_used = time.monotonic()
        self._tasks = [asyncio.create_task(self._read_answers())]
        if switches.is_on(Mechanism.SILENCE_DETECTION):
            self._tasks.append(asyncio.create_task(self._detect_silence()))

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self._stream.closed()

    @property
    def accepts_calls(self) -> bool:
        """Whether a new call can be sent on this connection."""
        return not self._is_draining and not self._stream.closed()

    async def close(self) -> None:
        """Close the connection; pending calls fail and may have run."""
        self._abort("closed")
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def call(
        self, message: CallMessage | OwnedCallMessage, timeout_seconds: float
    ) -> AnswerMessage:
        """Send a call and wait for its answer; see `PeerLink.call`."""
        call_id = message.call_id
        answer: asyncio.Future[AnswerMessage] = asyncio.get_running_loop().create_future()
        self._last_used = time.monotonic()
        try:
            write_frame(self._stream, message)
        except StreamClosedError as error:
            raise CallFailure(
                Verdict.NOT_RUN, "peer-unreachable", f"{self._address} closed"
            ) from error
        self._answers_by_call_id[call_id] = answer
        try:
            async with asyncio.timeout(timeout_seconds):
                return await answer
        except TimeoutError as error:
            self._cancel_call(call_id)
            raise CallFailure(
                Verdict.MAY_HAVE_RUN, "timeout", f"no answer from {self._address}", 504
            ) from error
        except asyncio.CancelledError:
            self._cancel_call(call_id)
            raise
        finally:
            self._answers_by_call_id.pop(call_id, None)
            self._last_used = time.monotonic()
            self._close_if_drained()

    def send(self, message: SuspectsMessage) -> None:
        """Send a one-way message, which is dropped if the connection is closed."""
        with suppress(StreamClosedError):
            write_frame(self._stream, message)

    async def _read_answers(self) -> None:
        try:
            while True:
                message = await read_frame(self._stream, self._max_frame_bytes)
                self._last_received = time.monotonic()
                if isinstance(message, AnswerMessage):
                    self._complete_call(message)
                elif isinstance(message, GoAwayMessage):
                    self._is_draining = True
                    self._close_if_drained()
        except (StreamClosedError, WireError) as error:
            self._abort(str(error))

    def _complete_call(self, message: AnswerMessage) -> None:
        call_id = message.call_id
        if not self._switches.is_on(Mechanism.CORRELATION):
            call_id = next(iter(self._answers_by_call_id), call_id)
        answer = self._answers_by_call_id.pop(call_id, None)
        if answer is None or answer.done():
            self.late_answers += 1
            return
        answer.set_result(message)

    async def _detect_silence(self) -> None:
        pauses = PauseDetector(
            PING_INTERVAL_SECONDS, self._switches.is_on(Mechanism.FREEZE_DETECTION)
        )
        while not self._stream.closed():
            await asyncio.sleep(PING_INTERVAL_SECONDS)
            now = time.monotonic()
            if pauses.was_paused() or not self._answers_by_call_id:
                self._last_received = now
            if not self._answers_by_call_id:
                if now - self._last_used > IDLE_LIMIT_SECONDS:
                    self._abort("idle")
                continue
            if now - self._last_received > SILENCE_LIMIT_SECONDS:
                self._abort("silent")
                return
            with suppress(StreamClosedError):
                write_frame(self._stream, PingMessage())

    def _cancel_call(self, call_id: str) -> None:
        with suppress(StreamClosedError):
            write_frame(self._stream, CancelMessage(call_id))

    def _close_if_drained(self) -> None:
        if self._is_draining and not self._answers_by_call_id:
            self._stream.close()

    def _abort(self, reason: str) -> None:
        self._stream.close()
        pending, self._answers_by_call_id = self._answers_by_call_id, {}
        for answer in pending.values():
            if answer.done():
                continue
            answer.set_exception(
                CallFailure(
                    Verdict.MAY_HAVE_RUN,
                    "connection-lost",
                    f"connection to {self._address} lost: {reason}",
                    502,
                )
            )
