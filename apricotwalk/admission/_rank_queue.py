"""Admission by rank, deadline and floor under a concurrency limit."""

import asyncio
from collections.abc import Callable, Collection

from apricotwalk.admission._announced_rate import AnnouncedRate
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

# A full queue drains within eight mean processing times, which deadlines still allow.
QUEUE_LENGTH_PER_SLOT = 8
# A queue of this many requests holds a burst from the callers of one instance.
MIN_QUEUE_LENGTH = 32
# One request may be waiting when another one arrives.
MIN_FLOOR_QUEUE_LENGTH = 2
# The estimate of demand covers about ten calls of 50 ms, the usual processing time in services with
# few slots.
DEMAND_TIME_CONSTANT_SECONDS = 0.5
# Floors hold over seconds, not for single requests.
FLOOR_TIME_CONSTANT_SECONDS = 2.0
# If demand for slow calls decays more slowly, the end of a surge is detected too late.
MAX_DEMAND_TIME_CONSTANT_SECONDS = 1.5
# The mean over fewer calls is a poor estimate of demand.
DEMAND_SAMPLE_COUNT = 8.0
# Queueing at one server may use only a share of the slack before the deadline; the rest is left to
# the other calls of the chain.
TOLERATED_SLACK_SHARE = 0.25
# Waits of up to one usual processing time occur in any queue.
MIN_TOLERATED_WAIT_SECONDS = 0.05
# Callers' deadlines are seconds away; measured slack replaces this value.
INITIAL_SLACK_SECONDS = 1.0
# The average covers about ten requests, which arrive within a fraction of a second under load.
SLACK_SMOOTHING_FACTOR = 0.1
# The headroom is relative to the limit: an empty queue may grow by one call per slot.
HEADROOM_SHARE = 1.0
# The optimistic response time is still exceeded by a fifth in a fifth of the cases.
DEADLINE_MARGIN_FACTOR = 1.2
# A response takes 8 ms on the network and passes two nodes on the way to its caller; the rest is
# a margin for a busy event loop.
RESPONSE_TRANSIT_SECONDS = 0.04
# The admitted level changes no faster than in a tenth of the time constant of demand.
LEVEL_CACHE_SECONDS = 0.05
# A timer may fire slightly early, and the clock may not have advanced when it does.
MIN_TIMER_SECONDS = 0.001
# After twice the time constant of demand, the queue holds other calls.
SHED_RETRY_AFTER_SECONDS = 1.0


class _RunningWork(Permit):
    """Permit of a running call that measures how long the call occupies the server."""

    def __init__(self, controller: "RankQueueController", item: WorkItem, running: int) -> None:
        self._controller: RankQueueController | None = controller
        self.item = item
        self.running = running
        self.began = controller.clock.monotonic()
        self.paused_seconds = 0.0
        self._pauses = 0
        self._paused_at = 0.0

    def pause(self) -> None:
        """Free the slot until the last inner call has ended."""
        self._pauses += 1
        if self._pauses == 1 and self._controller is not None:
            self._paused_at = self._controller.clock.monotonic()
            self._controller.free_slot()

    def resume(self) -> None:
        """Occupy a slot again when the last inner call has ended, even above the limit."""
        self._pauses -= 1
        if self._pauses == 0 and self._controller is not None:
            self.paused_seconds += self._controller.clock.monotonic() - self._paused_at
            self._controller.occupy_slot()

    def release(self, outcome: Outcome) -> None:
        """Release the slot; only the first call has an effect."""
        controller, self._controller = self._controller, None
        if controller is None:
            return
        if self._pauses:
            self.paused_seconds += controller.clock.monotonic() - self._paused_at
        controller.complete(self, outcome, self._pauses > 0)


class RankQueueController(AdmissionController):
    """Run calls within a concurrency limit and an announced rate, the most urgent first.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    disabled : collection of Mechanism
        Mechanisms that are disabled for an ablation test or a baseline measurement.
    limit : Limit, optional
        Limit on the number of concurrent calls; by default a `ConcurrencyLimit`, which adapts
        to latency.

    Notes
    -----
    A call that waits for an inner call occupies no slot, so a slow callee does not block its
    callers.  A call that cannot complete by its deadline, according to measured times, is shed
    before it runs.

    While the server announces a rate, calls also start no faster than that, whatever their
    number in flight, and only as many wait as can start soon.  Calls beyond that are refused with
    cause ``rate-limited``, the least urgent first.  Every floor is guaranteed within the limits.

    The admitted level is the highest level up to which the measured demand fits into the limit,
    less the slots reserved for floors and those needed to drain the queue.

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
        self._uses_fair_shares = Mechanism.FAIR_SHARES not in disabled
        self._uses_early_shedding = Mechanism.EARLY_SHEDDING not in disabled
        self._limit = limit or ConcurrencyLimit()
        self._times = ServiceTimes()
        self._demand = DemandByLevel(DEMAND_TIME_CONSTANT_SECONDS)
        self._shares = FairShares(FLOOR_TIME_CONSTANT_SECONDS)
        self._queue = WorkQueue()
        self._rate = AnnouncedRate(clock)
        self._rate_timer: asyncio.TimerHandle | None = None
        self._slack_seconds = INITIAL_SLACK_SECONDS
        self._permit_count = 0
        self._occupied_slots = 0
        self._level = HIGHEST_LEVEL
        self._level_expires_at = 0.0

    async def acquire(self, item: WorkItem) -> Permit:
        """Wait for a slot; see `AdmissionController.acquire`."""
        now = self.clock.monotonic()
        cost = self._times.processing_time(item.route)
        if self._uses_early_shedding:
            self._record_demand(item, cost, now)
        if self._is_infeasible(item, now) and not self._times.try_probe(item.route, now):
            raise _deadline_failure()
        if self._may_start() and not len(self._queue):
            return self._grant(item, cost)
        self._ensure_queue_space(item)
        work = QueuedWork(item, cost, asyncio.get_running_loop().create_future())
        self._queue.add(work)
        self._start_queued()
        await self._wait_for_slot(work)
        return self._to_permit(item)

    def set_slots(self, slots: int) -> None:
        """Set the announced slots of the limit and start queued calls that now fit."""
        self._limit.set_slots(slots)
        self._start_queued()

    def set_announced_rate(self, requests_per_second: float | None) -> None:
        """Set the rate that the server announces, shed excess calls and start those that fit."""
        self._rate.set_rate(requests_per_second)
        excess_count = int(max(0, len(self._queue) - self._max_queue_length()))
        for _ in range(excess_count):
            last = self._queue.last(self._is_protected)
            if last is None:
                break
            last.slot_granted.set_exception(self._full_queue_failure("the limit has fallen"))
        self._start_queued()

    def refuse_queued(
        self, is_refused: Callable[[WorkItem], bool], new_failure: Callable[[], CallFailure]
    ) -> int:
        """Refuse the queued calls that match a condition, and return their number.

        Parameters
        ----------
        is_refused : callable
            Returns whether a call is refused.
        new_failure : callable
            Returns the failure of one refused call.

        Notes
        -----
        A call that has been granted a slot is not queued any more, so its answer is not affected.
        """
        refused = [work for work in self._queue.waiting() if is_refused(work.item)]
        for work in refused:
            work.slot_granted.set_exception(new_failure())
        return len(refused)

    def load(self) -> float:
        """Return the load relative to the limit, or to the announced rate if that is higher."""
        slot_load = (self._occupied_slots + len(self._queue)) / self._limit.value
        if not self._rate.is_limited:
            return slot_load
        rate_load = self._rate.utilization() + len(self._queue) / max(1, self._max_queue_length())
        return max(slot_load, rate_load)

    def in_flight(self) -> int:
        """Return the number of permits that are not yet released."""
        return self._permit_count

    def admitted_level(self) -> int:
        """Return the highest level up to which the demand fits the server."""
        now = self.clock.monotonic()
        if now >= self._level_expires_at:
            self._level_expires_at = now + LEVEL_CACHE_SECONDS
            self._level = self._compute_level(now)
        return self._level

    def floor_share(self, stream: Stream) -> float:
        """Return the share of a stream's demand that its floor covers."""
        if not self._uses_fair_shares:
            return 0.0
        return self._shares.admitted_share(stream, self._limit.value, self.clock.monotonic())

    def free_slot(self) -> None:
        """Free the slot of a running call and start queued calls."""
        self._occupied_slots -= 1
        self._start_queued()

    def occupy_slot(self) -> None:
        """Occupy a slot for a running call whose inner calls have ended."""
        self._occupied_slots += 1

    def complete(self, work: _RunningWork, outcome: Outcome, was_paused: bool) -> None:
        """Record the outcome of a call and start queued calls."""
        self._permit_count -= 1
        if outcome is Outcome.SUCCEEDED:
            response_seconds = self.clock.monotonic() - work.began
            processing_seconds = max(0.0, response_seconds - work.paused_seconds)
            self._times.observe(
                work.item.route, processing_seconds, response_seconds, self.clock.monotonic()
            )
            self._limit.observe(work.item.route, processing_seconds, work.running)
            self._adjust_demand_time_constant()
        if was_paused:
            self._start_queued()
        else:
            self.free_slot()

    def _adjust_demand_time_constant(self) -> None:
        """Adapt the time constant of demand so that it covers a constant number of calls."""
        wanted = DEMAND_SAMPLE_COUNT * self._times.mean_processing_time()
        time_constant = min(
            MAX_DEMAND_TIME_CONSTANT_SECONDS, max(DEMAND_TIME_CONSTANT_SECONDS, wanted)
        )
        self._demand.time_constant_seconds = time_constant

    def _record_demand(self, item: WorkItem, cost: float, now: float) -> None:
        slack_seconds = item.deadline - now - self._times.response_time(item.route)
        self._slack_seconds += SLACK_SMOOTHING_FACTOR * (
            max(0.0, slack_seconds) - self._slack_seconds
        )
        self._demand.add(item.level, cost / self._times.mean_processing_time(), now)
        if self._uses_fair_shares and item.floor:
            self._shares.record_demand(item.stream, item.floor, item.rank, cost, now)

    def _compute_level(self, now: float) -> int:
        limit = self._limit.value
        reserved = ReservedCapacity(
            reserved_by_rank=(
                self._shares.reserved_by_rank(limit, now) if self._uses_fair_shares else {}
            ),
            backlog_by_rank=self._queue.cost_by_rank(),
            tolerated_backlog=limit * self._tolerated_wait(),
            headroom_slots=limit * HEADROOM_SHARE,
        )
        return self._demand.highest_level_within(
            limit, reserved, self._times.mean_processing_time(), now
        )

    def _tolerated_wait(self) -> float:
        """Return the queueing time in seconds that uses a small share of the slack."""
        return max(MIN_TOLERATED_WAIT_SECONDS, TOLERATED_SLACK_SHARE * self._slack_seconds)

    def _is_infeasible(self, item: WorkItem, now: float) -> bool:
        optimistic_seconds = self._times.optimistic_response_time(item.route)
        if not optimistic_seconds:
            return now >= item.deadline
        return (
            now + DEADLINE_MARGIN_FACTOR * optimistic_seconds + RESPONSE_TRANSIT_SECONDS
            > item.deadline
        )

    def _grant(self, item: WorkItem, cost: float) -> Permit:
        self._begin(item, cost)
        return self._to_permit(item)

    def _begin(self, item: WorkItem, cost: float) -> None:
        self._permit_count += 1
        self._occupied_slots += 1
        self._rate.consume()
        if item.floor:
            self._shares.charge(item.stream, cost, self._limit.value, self.clock.monotonic())

    def _to_permit(self, item: WorkItem) -> Permit:
        return _RunningWork(self, item, self._occupied_slots)

    async def _wait_for_slot(self, work: QueuedWork) -> None:
        remaining = work.item.deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                await work.slot_granted
        except BaseException as error:
            self._revoke_grant(work)
            if isinstance(error, TimeoutError):
                raise _deadline_failure() from error
            raise

    def _revoke_grant(self, work: QueuedWork) -> None:
        slot_granted = work.slot_granted
        if (
            slot_granted.done()
            and not slot_granted.cancelled()
            and slot_granted.exception() is None
        ):
            self._permit_count -= 1
            self.free_slot()

    def _ensure_queue_space(self, item: WorkItem) -> None:
        if len(self._queue) < self._max_queue_length() or self._is_protected(item):
            return
        last = self._queue.last(self._is_protected)
        if last is None or (item.rank, item.deadline) >= (last.item.rank, last.item.deadline):
            raise self._full_queue_failure("the queue is full")
        last.slot_granted.set_exception(self._full_queue_failure("gave way to more urgent work"))

    def _max_queue_length(self) -> float:
        slot_length = max(MIN_QUEUE_LENGTH, QUEUE_LENGTH_PER_SLOT * self._limit.value)
        return min(slot_length, self._rate.max_queue_length())

    def _full_queue_failure(self, detail: str) -> CallFailure:
        cause = "rate-limited" if self._rate.is_limited else "shed"
        return CallFailure(
            Verdict.NOT_RUN, cause, detail, 503, retry_after=SHED_RETRY_AFTER_SECONDS
        )

    def _may_start(self) -> bool:
        return self._occupied_slots < self._limit.value and self._rate.is_available()

    def _is_protected(self, item: WorkItem) -> bool:
        """Return whether the floor of the item's stream reserves a place in a full queue."""
        if not self._uses_fair_shares or not item.floor:
            return False
        reserved_length = max(MIN_FLOOR_QUEUE_LENGTH, item.floor * self._max_queue_length())
        return self._queue.count(item.stream) <= reserved_length

    def _start_queued(self) -> None:
        while self._may_start():
            work = self._first_due_by_floor() or self._queue.first()
            if work is None:
                return
            if self._is_infeasible(work.item, self.clock.monotonic()):
                work.slot_granted.set_exception(_deadline_failure())
                continue
            self._begin(work.item, work.cost_seconds)
            work.slot_granted.set_result(None)
        self._schedule_start()

    def _schedule_start(self) -> None:
        """Start the next queued call when the announced rate allows it."""
        if self._rate_timer is not None or self._queue.first() is None:
            return
        if self._occupied_slots >= self._limit.value:
            return  # the next call that completes starts it
        delay_seconds = max(MIN_TIMER_SECONDS, self._rate.seconds_until_available())
        self._rate_timer = asyncio.get_running_loop().call_later(
            delay_seconds, self._start_on_timer
        )

    def _start_on_timer(self) -> None:
        self._rate_timer = None
        self._start_queued()

    def _first_due_by_floor(self) -> QueuedWork | None:
        if not self._uses_fair_shares:
            return None
        return self._queue.first_with_floor(self._is_floor_due)

    def _is_floor_due(self, stream: Stream, cost_seconds: float) -> bool:
        now = self.clock.monotonic()
        return self._shares.is_due(stream, cost_seconds, self._limit.value, now)


def _deadline_failure() -> CallFailure:
    return CallFailure(Verdict.NOT_RUN, "deadline-passed", "cannot be done by its deadline", 504)
