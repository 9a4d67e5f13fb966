"""Admission under a fixed limit with a FIFO queue, a baseline for measurements."""

import asyncio
from collections import deque

from apricotwalk.admission._interface import (
    AdmissionController,
    Outcome,
    Permit,
    WorkItem,
)
from apricotwalk.core import CallFailure, Clock, Verdict

__all__ = ["ArrivalOrderController"]

QUEUE_LENGTH_PER_SLOT = 4


class _SlotPermit(Permit):
    def __init__(self, controller: "ArrivalOrderController") -> None:
        self._controller: ArrivalOrderController | None = controller

    def release(self, outcome: Outcome) -> None:
        """Release the slot; only the first call has an effect."""
        controller, self._controller = self._controller, None
        if controller is not None:
            controller.release_slot()

    def pause(self) -> None:
        """Do nothing; the slot stays occupied during inner calls."""

    def resume(self) -> None:
        """Do nothing; the slot stayed occupied during inner calls."""


class ArrivalOrderController(AdmissionController):
    """Run as many calls concurrently as there are slots and queue the rest in order of arrival.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._slots = 1
        self._running = 0
        self._queue: deque[asyncio.Future[None]] = deque()

    async def acquire(self, item: WorkItem) -> Permit:
        """Wait for a slot; see `AdmissionController.acquire`."""
        if self._running < self._slots and not self._queue:
            self._running += 1
            return _SlotPermit(self)
        if len(self._queue) >= QUEUE_LENGTH_PER_SLOT * self._slots:
            raise CallFailure(Verdict.NOT_RUN, "shed", "queue is full", 503, retry_after=1.0)
        slot_granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queue.append(slot_granted)
        try:
            async with asyncio.timeout(max(0.0, item.deadline - self._clock.monotonic())):
                await slot_granted
        except BaseException as error:
            if slot_granted.done() and not slot_granted.cancelled():
                self.release_slot()
            if not isinstance(error, TimeoutError):
                raise
            raise CallFailure(
                Verdict.NOT_RUN, "deadline-passed", "deadline passed in the queue", 504
            ) from error
        return _SlotPermit(self)

    def set_slots(self, slots: int) -> None:
        """Set the limit to the announced slots and start queued calls that now fit."""
        self._slots = max(1, slots)
        self._start_queued()

    def load(self) -> float:
        """Return the number of running and queued calls relative to the limit."""
        return (self._running + len(self._queue)) / self._slots

    def in_flight(self) -> int:
        """Return the number of permits that are not yet released."""
        return self._running

    def release_slot(self) -> None:
        """Free a slot and grant it to the first call in the queue."""
        self._running -= 1
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and self._running < self._slots:
            slot_granted = self._queue.popleft()
            if slot_granted.done():
                continue
            self._running += 1
            slot_granted.set_result(None)
