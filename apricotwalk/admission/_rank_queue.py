"""Admission by rank, deadline and floor under a limit that follows latency."""

import asyncio
from collections.abc import Collection

from apricotwalk.admission._concurrency_limit import ConcurrencyLimit, Limit
from apricotwalk.admission._demand import DemandByLevel, ReservedCapacity
from apricotwalk.admission._interface import (
    AdmissionController,
    Outcome,
    Permit,
    Stream,
    WorkItem,
)
from apricotwalk.admission._levels import HIGHEST_LEVEL
from apricotwalk.admission._service_times import ServiceTimes
from apricotwalk.admission._shares import FairShares
from apricotwalk.admission._work_queue import QueuedWork, WorkQueue
from apricotwalk.core import CallFailure, Clock, Mechanism, Verdict

__all__ = ["RankQueueController"]

# At mean work, a full queue takes eight times that to drain, which deadlines still allow.
QUEUE_LENGTH_PER_SLOT = 8
# Requests; a burst of callers of one instance fits in.
LEAST_QUEUE_LENGTH = 32
# Requests; one that waits and one that comes meanwhile.
LEAST_FLOOR_PLACES = 2
# Holds some ten calls of 50 ms, the usual work of narrow services.
DEMAND_MEMORY_SECONDS = 0.5
# Floors are kept over seconds, not over single requests.
FLOOR_MEMORY_SECONDS = 2.0
# Demand of slow work is remembered for no longer, or the end of a surge is seen too late.
LONGEST_MEMORY_SECONDS = 1.5
# Pieces of work; the mean of fewer says little of the demand.
MEMORY_WORKS = 8.0
# Of what deadlines leave after the work; the rest is for the calls of the chain.
TOLERATED_PATIENCE_SHARE = 0.25
# One piece of usual work; less than that waits in any queue.
LEAST_TOLERATED_WAIT_SECONDS = 0.05
# Deadlines of callers are seconds; it is replaced by what is measured.
FIRST_PATIENCE_SECONDS = 1.0
# Ten requests, a fraction of a second at load.
PATIENCE_SMOOTHING = 0.1
# Of the limit; an empty queue may fill up by one round of work.
HEADROOM_SHARE = 1.0
# Work that is quicker than usual still takes a fifth more in a fifth of the cases.
DEADLINE_MARGIN = 1.2
# The way of an answer to its caller, 8 ms and two nodes, with a margin for a busy loop.
ANSWER_SECONDS = 0.04
# A tenth of the memory of the demand; the level moves no faster.
LEVEL_CACHE_SECONDS = 0.05
# Twice the memory of the demand, after which the queue is another one.
SHED_RETRY_AFTER_SECONDS = 1.0


class _RunningWork(Permit):
    """The permit of work that runs, with the time for which it occupied the server."""

    def __init__(self, owner: "RankQueueController", item: WorkItem, running: int) -> None:
        self._owner: RankQueueController | None = owner
        self.item = item
        self.running = running
        self.began = owner.clock.monotonic()
        self.paused_seconds = 0.0
        self._pauses = 0
        self._paused_at = 0.0

    def pause(self) -> None:
        """Free the slot until the last inner call has ended."""
        self._pauses += 1
        if self._pauses == 1 and self._owner is not None:
            self._paused_at = self._owner.clock.monotonic()
            self._owner.free_slot()

    def resume(self) -> None:
        """Occupy a slot again, also beyond the limit."""
        self._pauses -= 1
        if self._pauses == 0 and self._owner is not None:
            self.paused_seconds += self._owner.clock.monotonic() - self._paused_at
            self._owner.occupy_slot()

    def release(self, outcome: Outcome) -> None:
        """Give the slot back, once."""
        owner, self._owner = self._owner, None
        if owner is None:
            return
        if self._pauses:
            self.paused_seconds += owner.clock.monotonic() - self._paused_at
        owner.end(self, outcome, self._pauses > 0)


class RankQueueController(AdmissionController):
    """Runs what fits the limit, the most urgent first, and keeps every floor.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    disabled : collection of Mechanism
        Mechanisms that are switched off for a proof or a baseline.
    limit : Limit, optional
        How much may run at once; by default it follows latency.

    Notes
    -----
    Work that waits for an inner call occupies no slot, so a slow callee does not stop its
    callers.  Work that cannot be complete by its deadline, as judged by measured times, is
    shed before it runs.

    The admitted level is the highest one up to which the measured demand fits the limit,
    less what is needed to shorten the queue.

    References
    ----------
    .. [1] H. Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018.
    .. [2] I. Cho et al., "Overload Control for us-scale RPCs with Breakwater", OSDI 2020.
    """

    def __init__(
        self,
        clock: Clock,
        disabled: Collection[Mechanism] = (),
        limit: Limit | None = None,
    ) -> None:
        self.clock = clock
        self._has_shares = Mechanism.FAIR_SHARES not in disabled
        self._has_levels = Mechanism.EARLY_SHEDDING not in disabled
        self._limit = limit or ConcurrencyLimit()
        self._times = ServiceTimes()
        self._demand = DemandByLevel(DEMAND_MEMORY_SECONDS)
        self._shares = FairShares(FLOOR_MEMORY_SECONDS)
        self._waiting = WorkQueue()
        self._patience = FIRST_PATIENCE_SECONDS
        self._permits = 0
        self._occupied = 0
        self._level = HIGHEST_LEVEL
        self._level_until = 0.0

    async def acquire(self, item: WorkItem) -> Permit:
        """Wait for a slot; see `AdmissionController.acquire`."""
        now = self.clock.monotonic()
        cost = self._times.own(item.route)
        if self._has_levels:
            self._take_note_of_demand(item, cost, now)
        if self._is_hopeless(item, now) and not self._times.take_probe(item.route, now):
            raise _deadline_failure()
        if self._occupied < self._limit.value and not len(self._waiting):
            return self._grant(item, cost)
        self._make_room(item)
        work = QueuedWork(item, cost, asyncio.get_running_loop().create_future())
        self._waiting.add(work)
        self._serve_waiting()
        await self._wait(work)
        return self._to_permit(item)

    def set_slots(self, slots: int) -> None:
        """Set the upper bound of the limit."""
        self._limit.set_slots(slots)
        self._serve_waiting()

    def load(self) -> float:
        """Return work in flight and waiting over the limit."""
        return (self._occupied + len(self._waiting)) / self._limit.value

    def in_flight(self) -> int:
        """Return the number of permits that are out."""
        return self._permits

    def admitted_level(self) -> int:
        """Return the highest level whose demand fits the server."""
        now = self.clock.monotonic()
        if now >= self._level_until:
            self._level_until = now + LEVEL_CACHE_SECONDS
            self._level = self._find_level(now)
        return self._level

    def floor_share(self, stream: Stream) -> float:
        """Return the share of a stream's demand that its floor pays for."""
        if not self._has_shares:
            return 0.0
        return self._shares.admitted_share(stream, self._limit.value, self.clock.monotonic())

    def free_slot(self) -> None:
        """Take note that work in flight no longer occupies the server."""
        self._occupied -= 1
        self._serve_waiting()

    def occupy_slot(self) -> None:
        """Take note that work in flight occupies the server again."""
        self._occupied += 1

    def end(self, work: _RunningWork, outcome: Outcome, was_paused: bool) -> None:
        """Take note of the end of work and let the next work run."""
        self._permits -= 1
        if outcome is Outcome.SUCCEEDED:
            total = self.clock.monotonic() - work.began
            own = max(0.0, total - work.paused_seconds)
            self._times.observe(work.item.route, own, total, self.clock.monotonic())
            self._limit.observe(work.item.route, own, work.running)
            self._remember_longer_if_slow()
        if was_paused:
            self._serve_waiting()
        else:
            self.free_slot()

    def _remember_longer_if_slow(self) -> None:
        """Keep about as many pieces of work in memory whatever they cost."""
        wanted = MEMORY_WORKS * self._times.mean_own()
        memory = min(LONGEST_MEMORY_SECONDS, max(DEMAND_MEMORY_SECONDS, wanted))
        self._demand.memory_seconds = memory

    def _take_note_of_demand(self, item: WorkItem, cost: float, now: float) -> None:
        patience = item.deadline - now - self._times.total(item.route)
        self._patience += PATIENCE_SMOOTHING * (max(0.0, patience) - self._patience)
        self._demand.add(item.level, cost / self._times.mean_own(), now)
        if self._has_shares and item.floor:
            self._shares.ask(item.stream, item.floor, item.rank, cost, now)

    def _find_level(self, now: float) -> int:
        limit = self._limit.value
        reserved = ReservedCapacity(
            reserved_by_rank=self._shares.reserved_by_rank(limit, now) if self._has_shares else {},
            backlog_by_rank=self._waiting.cost_by_rank(),
            tolerated_backlog=limit * self._tolerated_wait(),
            headroom_slots=limit * HEADROOM_SHARE,
        )
        return self._demand.highest_level_within(limit, reserved, self._times.mean_own(), now)

    def _tolerated_wait(self) -> float:
        """Return the wait in seconds that costs little of what deadlines leave."""
        return max(LEAST_TOLERATED_WAIT_SECONDS, TOLERATED_PATIENCE_SHARE * self._patience)

    def _is_hopeless(self, item: WorkItem, now: float) -> bool:
        least = self._times.quick_total(item.route)
        if not least:
            return now >= item.deadline
        return now + DEADLINE_MARGIN * least + ANSWER_SECONDS > item.deadline

    def _grant(self, item: WorkItem, cost: float) -> Permit:
        self._begin(item, cost)
        return self._to_permit(item)

    def _begin(self, item: WorkItem, cost: float) -> None:
        self._permits += 1
        self._occupied += 1
        if item.floor:
            self._shares.charge(item.stream, cost, self._limit.value, self.clock.monotonic())

    def _to_permit(self, item: WorkItem) -> Permit:
        return _RunningWork(self, item, self._occupied)

    async def _wait(self, work: QueuedWork) -> None:
        remaining = work.item.deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                await work.turn
        except BaseException as error:
            self._take_back(work)
            if isinstance(error, TimeoutError):
                raise _deadline_failure() from error
            raise

    def _take_back(self, work: QueuedWork) -> None:
        turn = work.turn
        if turn.done() and not turn.cancelled() and turn.exception() is None:
            self._permits -= 1
            self.free_slot()

    def _make_room(self, item: WorkItem) -> None:
        if len(self._waiting) < self._longest_queue() or self._is_protected(item):
            return
        last = self._waiting.last(self._is_protected)
        if last is None or (item.rank, item.deadline) >= (last.item.rank, last.item.deadline):
            raise _shed_failure("the queue is full")
        last.turn.set_exception(_shed_failure("gave way to more urgent work"))

    def _longest_queue(self) -> int:
        return max(LEAST_QUEUE_LENGTH, QUEUE_LENGTH_PER_SLOT * self._limit.value)

    def _is_protected(self, item: WorkItem) -> bool:
        """Return whether the floor of the item's stream gives it a place in a full queue."""
        if not self._has_shares or not item.floor:
            return False
        places = max(LEAST_FLOOR_PLACES, item.floor * self._longest_queue())
        return self._waiting.count(item.stream) <= places

    def _serve_waiting(self) -> None:
        while self._occupied < self._limit.value:
            work = self._next_due_to_floor() or self._waiting.first()
            if work is None:
                return
            if self._is_hopeless(work.item, self.clock.monotonic()):
                work.turn.set_exception(_deadline_failure())
                continue
            self._begin(work.item, work.cost_seconds)
            work.turn.set_result(None)

    def _next_due_to_floor(self) -> QueuedWork | None:
        if not self._has_shares:
            return None
        return self._waiting.first_with_floor(self._is_floor_due)

    def _is_floor_due(self, stream: Stream, cost_seconds: float) -> bool:
        now = self.clock.monotonic()
        return self._shares.is_due(stream, cost_seconds, self._limit.value, now)


def _shed_failure(detail: str) -> CallFailure:
    return CallFailure(Verdict.NOT_RUN, "shed", detail, 503, retry_after=SHED_RETRY_AFTER_SECONDS)


def _deadline_failure() -> CallFailure:
    return CallFailure(Verdict.NOT_RUN, "deadline-passed", "cannot be done by its deadline", 504)
