"""Selection of a member by the measurements of this node."""

import random
from collections.abc import Collection
from typing import Protocol

from apricotwalk.core import Clock, Mechanism
from apricotwalk.membership import Member
from apricotwalk.routing._statistics import EJECTION_FAILURE_RATE, MemberStatistics

__all__ = ["AnswerReport", "TargetSelector"]

# The average covers about ten answers of a route, which take about one second at a single entry.
LATENCY_SMOOTHING_FACTOR = 0.1
# Above half of its concurrency limit, a burst within one zone would queue at the member while
# other zones have spare capacity.
MAX_LOCAL_LOAD = 0.5
# Servers of one service differ in speed by a factor of up to three.  The slower half loses the
# preference for its zone.
MAX_LOCAL_SLOWNESS = 2.0
# A member that completes no call for longer than one ping interval may be frozen.
MAX_LOCAL_SILENCE_SECONDS = 0.3
# The failure rate of a member is compared with the mean of the other members; a smaller excess
# indicates a fault of the whole service.
EJECTION_EXCESS_RATE = 0.3
# If more than half of a service's members fail, ejecting them only shifts their load to the rest.
MAX_EJECTED_SHARE = 0.5
MIN_SERVER_ERROR_STATUS = 500
# Shorter than the 0.25 s for which work may wait for the rate of a server.
RATE_HOLD_SECONDS = 0.2


class AnswerReport(Protocol):
    """Properties of an answer that inform the selection of members."""

    @property
    def status(self) -> int:
        """HTTP status, or 0 if the backend server did not answer."""

    @property
    def cause(self) -> str:
        """Cause of the failure, or an empty string if the answer is complete."""

    @property
    def load(self) -> float:
        """Requests in flight and queued at the answering node, relative to its limit."""

    @property
    def reported_load(self) -> float:
        """Load that the backend server reports about itself."""


class TargetSelector:
    """Selects the cheaper of two random members, preferring the local zone while it has capacity.

    Parameters
    ----------
    availability_zone : str
        Availability zone of this node.
    generator : random.Random
        Random number generator for the choice of candidates.
    clock : Clock
        Source of monotonic time.
    disabled : collection of Mechanism
        Mechanisms that are disabled for an ablation test.

    Notes
    -----
    The cost of a member is one plus the number of calls of this node in flight there,
    multiplied by its latency relative to other members on the same routes, by a factor that
    grows while none of its calls end, and by one plus the load of its node.  The load that a
    backend server reports about itself is not part of the cost.  A member whose failure rate is
    much higher than that of the others is ejected temporarily; at most half of a service's
    members are ejected at a time.

    References
    ----------
    .. [1] M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
       IEEE TPDS 12(10), 2001.
    """

    def __init__(
        self,
        availability_zone: str,
        generator: random.Random,
        clock: Clock,
        disabled: Collection[Mechanism] = (),
    ) -> None:
        self._availability_zone = availability_zone
        self._random = generator
        self._clock = clock
        self._uses_slow_start = Mechanism.SLOW_START not in disabled
        self._uses_own_measurements = Mechanism.OWN_MEASUREMENTS not in disabled
        self._statistics_by_instance: dict[str, MemberStatistics] = {}
        self._mean_seconds_by_route: dict[str, float] = {}

    def choose(self, members: list[Member], excluded: set[str]) -> Member | None:
        """Select one of `members` whose instance is not in `excluded`, or return None."""
        candidates = [m for m in members if m.instance not in excluded]
        if not candidates:
            return None
        now = self._clock.monotonic()
        usable = self._without_ejected(candidates, len(members), now)
        usable = self._apply_slow_start(usable, now)
        local = [m for m in usable if self._is_local_with_capacity(m, now)]
        preferred = local or usable
        if len(preferred) == 1:
            return preferred[0]
        pair = preferred if len(preferred) == 2 else self._random.sample(preferred, 2)
        return min(pair, key=lambda member: self._cost(member.instance, now))

    def record_call_sent(self, instance: str) -> None:
        """Record that a call was sent to `instance`."""
        self._statistics(instance).begin(self._clock.monotonic())

    def record_call_abandoned(self, instance: str) -> None:
        """Record that a call to `instance` was cancelled before its answer arrived."""
        self._statistics(instance).end(self._clock.monotonic())

    def record_answer(
        self, instance: str, route: str, answer: AnswerReport, seconds: float
    ) -> None:
        """Record an answer of `instance` to a call of `route` that took `seconds`."""
        now = self._clock.monotonic()
        statistics = self._statistics(instance)
        statistics.end(now)
        statistics.observe_load(answer.load, answer.reported_load, now)
        if answer.cause in ("leaving", "backend-unreachable"):
            statistics.eject(now)
            return
        if answer.cause in ("shed", "rate-limited"):
            return
        has_failed = bool(answer.cause) or answer.status >= MIN_SERVER_ERROR_STATUS
        statistics.observe_outcome(has_failed)
        if has_failed:
            self._eject_outlier(statistics, now)
            return
        mean = self._mean_seconds_by_route.get(route, seconds)
        mean += LATENCY_SMOOTHING_FACTOR * (seconds - mean)
        self._mean_seconds_by_route[route] = mean
        statistics.observe_latency(seconds / max(mean, 1e-6), now)

    def record_failure(self, instance: str, is_unreachable: bool) -> None:
        """Record that a call to `instance` ended without an answer.

        An unreachable instance is ejected immediately, any other only if its failure rate is an
        outlier.
        """
        now = self._clock.monotonic()
        statistics = self._statistics(instance)
        statistics.end(now)
        if is_unreachable:
            statistics.eject(now)
            return
        statistics.observe_outcome(True)
        self._eject_outlier(statistics, now)

    def hold(self, instance: str, rank: int) -> None:
        """Send no more work of `rank` or less urgent to an instance that refused it for its rate.

        The hold is shorter than the longest time for which work waits there.
        """
        now = self._clock.monotonic()
        self._statistics(instance).hold(rank, now + RATE_HOLD_SECONDS, now)

    def is_held(self, instance: str, rank: int) -> bool:
        """Return whether work of `rank` is currently held back from an instance."""
        return self._statistics(instance).is_held(rank, self._clock.monotonic())

    def _without_ejected(
        self, candidates: list[Member], member_count: int, now: float
    ) -> list[Member]:
        ejected = [m for m in candidates if self._statistics(m.instance).is_ejected(now)]
        max_ejected_count = int(member_count * MAX_EJECTED_SHARE)
        ejected.sort(key=lambda m: -self._statistics(m.instance).ejected_until)
        ejected_instances = {m.instance for m in ejected[:max_ejected_count]}
        return [m for m in candidates if m.instance not in ejected_instances] or candidates

    def _apply_slow_start(self, usable: list[Member], now: float) -> list[Member]:
        """Drop each member with the probability that its slow start prescribes."""
        if not self._uses_slow_start:
            return usable
        admitted = [
            member
            for member in usable
            if self._random.random() < self._slow_start_weight(member, now)
        ]
        return admitted or usable

    def _slow_start_weight(self, member: Member, now: float) -> float:
        statistics = self._statistics(member.instance)
        statistics.observe_incarnation(member.incarnation, now)
        return statistics.slow_start_weight(now)

    def _is_local_with_capacity(self, member: Member, now: float) -> bool:
        if member.availability_zone != self._availability_zone:
            return False
        statistics = self._statistics(member.instance)
        if not self._uses_own_measurements:
            return statistics.reported_load < MAX_LOCAL_LOAD
        has_capacity = statistics.current_load(now) < MAX_LOCAL_LOAD
        has_capacity = has_capacity and statistics.silence_seconds(now) < MAX_LOCAL_SILENCE_SECONDS
        return has_capacity and statistics.current_slowness(now) < MAX_LOCAL_SLOWNESS

    def _cost(self, instance: str, now: float) -> float:
        statistics = self._statistics(instance)
        if not self._uses_own_measurements:
            return statistics.reported_load
        cost = (1.0 + statistics.in_flight) * statistics.current_slowness(now)
        cost *= 1.0 + statistics.silence_seconds(now) / MAX_LOCAL_SILENCE_SECONDS
        return cost * (1.0 + statistics.current_load(now))

    def _eject_outlier(self, statistics: MemberStatistics, now: float) -> None:
        if not self._uses_own_measurements:
            return
        others = [s for s in self._statistics_by_instance.values() if s is not statistics]
        mean = sum(s.failure_rate for s in others) / len(others) if others else 0.0
        if statistics.failure_rate > max(EJECTION_FAILURE_RATE, mean + EJECTION_EXCESS_RATE):
            statistics.eject(now)

    def _statistics(self, instance: str) -> MemberStatistics:
        statistics = self._statistics_by_instance.get(instance)
        if statistics is None:
            statistics = MemberStatistics(joined_at=self._clock.monotonic())
            self._statistics_by_instance[instance] = statistics
        return statistics
