"""Priority queue of calls that wait for a slot."""

import asyncio
import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from apricotwalk.admission._interface import Stream, WorkItem

__all__ = ["QueuedWork", "WorkQueue"]


@dataclass(slots=True, eq=False)
class QueuedWork:
    """Call that waits for a slot.

    Parameters
    ----------
    item : WorkItem
        The call.
    cost_seconds : float
        Expected processing time.
    slot_granted : asyncio.Future
        Done when the call is granted a slot or shed; cancelled when its caller stops waiting.
    """

    item: WorkItem
    cost_seconds: float
    slot_granted: "asyncio.Future[None]" = field(repr=False)

    @property
    def is_settled(self) -> bool:
        """Whether the call was granted a slot, shed or cancelled."""
        return self.slot_granted.done()


class WorkQueue:
    """Queued calls in the order of rank and then deadline, and by stream."""

    def __init__(self) -> None:
        self._sequence = itertools.count()
        self._heap: list[tuple[int, float, int, QueuedWork]] = []
        self._queues_by_stream: dict[Stream, deque[QueuedWork]] = {}
        self._count = 0
        self._cost_by_rank: dict[int, float] = {}
        self._count_by_stream: dict[Stream, int] = {}

    def __len__(self) -> int:
        return self._count

    def cost_by_rank(self) -> dict[int, float]:
        """Return the processing time in seconds of all queued calls, by rank."""
        return dict(self._cost_by_rank)

    def add(self, work: QueuedWork) -> None:
        """Add a call, which leaves the counts as soon as it is settled."""
        item = work.item
        heapq.heappush(self._heap, (item.rank, item.deadline, next(self._sequence), work))
        if item.floor:
            self._queues_by_stream.setdefault(item.stream, deque()).append(work)
            self._count_by_stream[item.stream] = self.count(item.stream) + 1
        self._count += 1
        cost = self._cost_by_rank.get(item.rank, 0.0)
        self._cost_by_rank[item.rank] = cost + work.cost_seconds
        work.slot_granted.add_done_callback(lambda _: self._subtract_from_counts(work))

    def count(self, stream: Stream) -> int:
        """Return the number of queued calls of a stream that has a floor."""
        return self._count_by_stream.get(stream, 0)

    def first(self) -> QueuedWork | None:
        """Return the most urgent queued call, or None."""
        while self._heap:
            work = self._heap[0][3]
            if not work.is_settled:
                return work
            heapq.heappop(self._heap)
        return None

    def last(self, is_protected: Callable[[WorkItem], bool]) -> QueuedWork | None:
        """Return the least urgent queued call that is not protected, or None."""
        waiting = [
            entry
            for entry in self._heap
            if not entry[3].is_settled and not is_protected(entry[3].item)
        ]
        return max(waiting)[3] if waiting else None

    def waiting(self) -> list[QueuedWork]:
        """Return the queued calls in no particular order."""
        return [entry[3] for entry in self._heap if not entry[3].is_settled]

    def first_with_floor(self, is_due: Callable[[Stream, float], bool]) -> QueuedWork | None:
        """Return the first queued call of a stream for which `is_due` holds, or None."""
        for stream, work in list(self._heads()):
            if is_due(stream, work.cost_seconds):
                return work
        return None

    def _heads(self) -> Iterator[tuple[Stream, QueuedWork]]:
        for stream, works in list(self._queues_by_stream.items()):
            while works and works[0].is_settled:
                works.popleft()
            if works:
                yield stream, works[0]
            else:
                del self._queues_by_stream[stream]

    def _subtract_from_counts(self, work: QueuedWork) -> None:
        self._count -= 1
        item = work.item
        self._cost_by_rank[item.rank] -= work.cost_seconds
        if not item.floor:
            return
        self._count_by_stream[item.stream] -= 1
        if not self._count_by_stream[item.stream]:
            del self._count_by_stream[item.stream]
