"""Selection of a member by the measurements of this node."""

import random
from collections.abc import Callable, Collection
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
CHOICE_COUNT = 2
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
        self._ejected_until_by_instance: dict[str, float] = {}

    def choose(
        self,
        members: list[Member],
        excluded: Collection[str],
        is_available: Callable[[Member], bool] = lambda member: True,
    ) -> Member | None:
        """Select one of `members`, or return None if none may be selected.

        Parameters
        ----------
        members : list of Member
            All members of the service that accept work.
        excluded : collection of str
            Instances that may not be selected.
        is_available : callable
            Returns whether a member may be selected.

        Notes
        -----
        Members are examined in random order until two are suitable, so that a choice takes about
        the same time in a service of any size unless most of its members are unsuitable.
        """
        now = self._clock.monotonic()
        ejected = self._ejected_instances(members, excluded, now)

        def is_usable(member: Member) -> bool:
            instance = member.instance
            return instance not in excluded and instance not in ejected and is_available(member)

        def is_admitted(member: Member) -> bool:
            return is_usable(member) and self._passes_slow_start(member, now)

        def is_preferred(member: Member) -> bool:
            return is_admitted(member) and self._has_local_capacity(member, now)

        local = [m for m in members if m.availability_zone == self._availability_zone]
        pair = (
            self._sample(local, is_preferred)
            or self._sample(members, is_admitted)
            or self._sample(members, is_usable)
        )
        if not pair:
            return None
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
            self._eject(instance, now)
            return
        if answer.cause in ("shed", "rate-limited"):
            return
        has_failed = bool(answer.cause) or answer.status >= MIN_SERVER_ERROR_STATUS
        statistics.observe_outcome(has_failed)
        if has_failed:
            self._eject_outlier(instance, now)
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
            self._eject(instance, now)
            return
        statistics.observe_outcome(True)
        self._eject_outlier(instance, now)

    def hold(self, instance: str, rank: int) -> None:
        """Send no more work of `rank` or less urgent to an instance that refused it for its rate.

        The hold is shorter than the longest time for which work waits there.
        """
        now = self._clock.monotonic()
        self._statistics(instance).hold(rank, now + RATE_HOLD_SECONDS, now)

    def is_held(self, instance: str, rank: int) -> bool:
        """Return whether work of `rank` is currently held back from an instance."""
        return self._statistics(instance).is_held(rank, self._clock.monotonic())

    def _sample(self, members: list[Member], is_suitable: Callable[[Member], bool]) -> list[Member]:
        """Return two random suitable members, or fewer if there are not as many."""
        sample: list[Member] = []
        remaining = members.copy()
        while remaining and len(sample) < CHOICE_COUNT:
            index = int(self._random.random() * len(remaining))
            remaining[index], remaining[-1] = remaining[-1], remaining[index]
            member = remaining.pop()
            if is_suitable(member):
                sample.append(member)
        return sample

    def _ejected_instances(
        self, members: list[Member], excluded: Collection[str], now: float
    ) -> set[str]:
        """Return the ejected members, at most half of all, those ejected for longest first."""
        if not self._ejected_until_by_instance:
            return set()
        until_by_instance = {
            instance: until
            for instance, until in self._ejected_until_by_instance.items()
            if until > now
        }
        self._ejected_until_by_instance = until_by_instance
        ejected = [
            member.instance
            for member in members
            if member.instance in until_by_instance and member.instance not in excluded
        ]
        ejected.sort(key=lambda instance: -until_by_instance[instance])
        candidate_count = len(members) - len(excluded)
        if len(ejected) >= candidate_count:
            max_count = min(candidate_count - 1, int(len(members) * MAX_EJECTED_SHARE))
        else:
            max_count = int(len(members) * MAX_EJECTED_SHARE)
        return set(ejected[: max(0, max_count)])

    def _eject(self, instance: str, now: float) -> None:
        statistics = self._statistics(instance)
        statistics.eject(now)
        self._ejected_until_by_instance[instance] = statistics.ejected_until

    def _passes_slow_start(self, member: Member, now: float) -> bool:
        """Drop a member with the probability that its slow start prescribes."""
        if not self._uses_slow_start:
            return True
        statistics = self._statistics(member.instance)
        statistics.observe_incarnation(member.incarnation, now)
        weight = statistics.slow_start_weight(now)
        return weight >= 1.0 or self._random.random() < weight

    def _has_local_capacity(self, member: Member, now: float) -> bool:
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

    def _eject_outlier(self, instance: str, now: float) -> None:
        if not self._uses_own_measurements:
            return
        statistics = self._statistics(instance)
        others = [s for s in self._statistics_by_instance.values() if s is not statistics]
        mean = sum(s.failure_rate for s in others) / len(others) if others else 0.0
        if statistics.failure_rate > max(EJECTION_FAILURE_RATE, mean + EJECTION_EXCESS_RATE):
            self._eject(instance, now)

    def _statistics(self, instance: str) -> MemberStatistics:
        statistics = self._statistics_by_instance.get(instance)
        if statistics is None:
            statistics = MemberStatistics(joined_at=self._clock.monotonic())
            self._statistics_by_instance[instance] = statistics
        return statistics
