"""One open connection to a peer, with the calls that wait on it."""

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
    GoodbyeMessage,
    OwnedCallMessage,
    PingMessage,
    SuspectsMessage,
)

__all__ = ["PeerConnection"]

# A third of the limit on silence.
PING_INTERVAL_SECONDS = 0.5
# Between regions a round trip takes up to 0.3 s; two pings may be lost.
SILENCE_LIMIT_SECONDS = 1.5
# Connections that carry nothing cost both sides pings.
IDLE_LIMIT_SECONDS = 10.0


class PeerConnection:
    """The calling side of one connection.

    Parameters
    ----------
    address : Address
        The peer.
    stream : IOStream
        The open connection, on which the greeting was written.
    largest_frame_bytes : int
        Frames above this size end the connection.
    switches : MechanismSwitches
        Mechanisms that are on.

    Notes
    -----
    The connection pings while calls wait and closes when nothing arrives for 1.5 s, so that
    one gone silent for good is replaced; calls on it may have run.  Without calls it closes
    after 10 s, because a connection can go silent unseen while it is idle.  After the peer has
    said goodbye no new call goes out on it, and it closes with its last answer.
    """

    def __init__(
        self,
        address: Address,
        stream: IOStream,
        largest_frame_bytes: int,
        switches: MechanismSwitches,
    ) -> None:
        self.late_answers = 0
        self._address = address
        self._stream = stream
        self._largest_frame_bytes = largest_frame_bytes
        self._switches = switches
        self._is_retiring = False
        self._answers_by_call_id: dict[str, asyncio.Future[AnswerMessage]] = {}
        self._last_heard = self._last_used = time.monotonic()
        self._tasks = [asyncio.create_task(self._read_answers())]
        if switches.is_on(Mechanism.SILENCE_DETECTION):
            self._tasks.append(asyncio.create_task(self._watch_silence()))

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""
        return self._stream.closed()

    @property
    def takes_calls(self) -> bool:
        """Whether a new call can go out on this connection."""
        return not self._is_retiring and not self._stream.closed()

    async def close(self) -> None:
        """Close the connection; calls that still wait may have run."""
        self._drop("closed")
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
            self._close_if_retired()

    def send(self, message: SuspectsMessage) -> None:
        """Send a message that has no answer."""
        with suppress(StreamClosedError):
            write_frame(self._stream, message)

    async def _read_answers(self) -> None:
        try:
            while True:
                message = await read_frame(self._stream, self._largest_frame_bytes)
                self._last_heard = time.monotonic()
                if isinstance(message, AnswerMessage):
                    self._deliver(message)
                elif isinstance(message, GoodbyeMessage):
                    self._is_retiring = True
                    self._close_if_retired()
        except (StreamClosedError, WireError) as error:
            self._drop(str(error))

    def _deliver(self, message: AnswerMessage) -> None:
        call_id = message.call_id
        if not self._switches.is_on(Mechanism.CORRELATION):
            call_id = next(iter(self._answers_by_call_id), call_id)
        answer = self._answers_by_call_id.pop(call_id, None)
        if answer is None or answer.done():
            self.late_answers += 1
            return
        answer.set_result(message)

    async def _watch_silence(self) -> None:
        pauses = PauseDetector(
            PING_INTERVAL_SECONDS, self._switches.is_on(Mechanism.FREEZE_DETECTION)
        )
        while not self._stream.closed():
            await asyncio.sleep(PING_INTERVAL_SECONDS)
            now = time.monotonic()
            if pauses.was_paused() or not self._answers_by_call_id:
                self._last_heard = now
            if not self._answers_by_call_id:
                if now - self._last_used > IDLE_LIMIT_SECONDS:
                    self._drop("idle")
                continue
            if now - self._last_heard > SILENCE_LIMIT_SECONDS:
                self._drop("silent")
                return
            with suppress(StreamClosedError):
                write_frame(self._stream, PingMessage())

    def _cancel_call(self, call_id: str) -> None:
        with suppress(StreamClosedError):
            write_frame(self._stream, CancelMessage(call_id))

    def _close_if_retired(self) -> None:
        if self._is_retiring and not self._answers_by_call_id:
            self._stream.close()

    def _drop(self, reason: str) -> None:
        self._stream.close()
        waiting, self._answers_by_call_id = self._answers_by_call_id, {}
        for answer in waiting.values():
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
