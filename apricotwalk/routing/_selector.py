"""Choice of a member by this node's own measurements."""

import random
from collections.abc import Collection
from typing import Protocol

from apricotwalk.core import Clock, Mechanism
from apricotwalk.membership import Member
from apricotwalk.routing._statistics import EJECTION_FAILURE_RATE, MemberStatistics

__all__ = ["AnswerReport", "TargetSelector"]

# Ten answers of a route, about a second at one entry.
LATENCY_SMOOTHING = 0.1
# Of the limit; above it, a burst of one zone makes work wait while others have room.
ROOM_LOAD = 0.5
# Servers of one service differ in speed by up to three times; the slower half gives way.
ROOM_SLOWNESS = 2.0
# One ping; a member that answers nothing for longer may be frozen.
ROOM_SILENCE_SECONDS = 0.3
# Failure rate above that of the others; less is a fault of the whole service.
EJECTION_EXCESS = 0.3
# Of a service; if more of its members fail, leaving them out only moves the load.
LARGEST_EJECTED_SHARE = 0.5
SERVER_ERROR = 500


class AnswerReport(Protocol):
    """What an answer of a member says of the member."""

    @property
    def status(self) -> int:
        """HTTP status, 0 if there is no answer of the backend server."""

    @property
    def cause(self) -> str:
        """Why there is no complete answer, or an empty string."""

    @property
    def load(self) -> float:
        """Work in flight and waiting over the limit of the answering node."""

    @property
    def reported_load(self) -> float:
        """Load that the backend server reports of itself."""


class TargetSelector:
    """Picks the cheaper of two random members, near ones first while they have room.

    Parameters
    ----------
    availability_zone : str
        Zone of this node.
    generator : random.Random
        Source of randomness.
    clock : Clock
        Source of monotonic time.
    disabled : collection of Mechanism
        Mechanisms that are switched off for a proof.

    Notes
    -----
    The cost of a member is what this node has in flight there, times how slow it is beside
    the others for the same routes, times the load of the node beside it.  The load that a
    backend server reports of itself has no part in it.  A member that fails much more than
    the others is ejected for a while; at most half of a service's members are.

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
        self._has_slow_start = Mechanism.SLOW_START not in disabled
        self._has_own_measurements = Mechanism.OWN_MEASUREMENTS not in disabled
        self._statistics_by_instance: dict[str, MemberStatistics] = {}
        self._seconds_by_route: dict[str, float] = {}

    def choose(self, members: list[Member], excluded: set[str]) -> Member | None:
        """Return a member that is not in `excluded`, or None."""
        candidates = [m for m in members if m.instance not in excluded]
        if not candidates:
            return None
        now = self._clock.monotonic()
        usable = self._without_ejected(candidates, len(members), now)
        usable = self._without_cold(usable, now)
        near = [m for m in usable if self._is_near_with_room(m, now)]
        choice = near or usable
        if len(choice) == 1:
            return choice[0]
        pair = choice if len(choice) == 2 else self._random.sample(choice, 2)
        return min(pair, key=lambda member: self._cost(member.instance, now))

    def record_call_sent(self, instance: str) -> None:
        """Take note that a call was sent to `instance`."""
        self._statistics(instance).begin(self._clock.monotonic())

    def record_call_abandoned(self, instance: str) -> None:
        """Take note that nobody waits for the answer any more."""
        self._statistics(instance).end(self._clock.monotonic())

    def record_answer(
        self, instance: str, route: str, answer: AnswerReport, seconds: float
    ) -> None:
        """Take note of an answer of `instance` after `seconds`."""
        now = self._clock.monotonic()
        statistics = self._statistics(instance)
        statistics.end(now)
        statistics.observe_load(answer.load, answer.reported_load, now)
        if answer.cause in ("leaving", "backend-unreachable"):
            statistics.eject(now)
            return
        if answer.cause == "shed":
            return
        has_failed = bool(answer.cause) or answer.status >= SERVER_ERROR
        statistics.observe_outcome(has_failed)
        if has_failed:
            self._eject_outlier(statistics, now)
            return
        usual = self._seconds_by_route.get(route, seconds)
        usual += LATENCY_SMOOTHING * (seconds - usual)
        self._seconds_by_route[route] = usual
        statistics.observe_latency(seconds / max(usual, 1e-6), now)

    def record_failure(self, instance: str, is_unreachable: bool) -> None:
        """Take note that no answer came from `instance`."""
        now = self._clock.monotonic()
        statistics = self._statistics(instance)
        statistics.end(now)
        if is_unreachable:
            statistics.eject(now)
            return
        statistics.observe_outcome(True)
        self._eject_outlier(statistics, now)

    def _without_ejected(
        self, candidates: list[Member], member_count: int, now: float
    ) -> list[Member]:
        ejected = [m for m in candidates if self._statistics(m.instance).is_ejected(now)]
        most = int(member_count * LARGEST_EJECTED_SHARE)
        ejected.sort(key=lambda m: -self._statistics(m.instance).ejected_until)
        left_out = {m.instance for m in ejected[:most]}
        return [m for m in candidates if m.instance not in left_out] or candidates

    def _without_cold(self, usable: list[Member], now: float) -> list[Member]:
        """Leave a new member out of all but its share of the choices."""
        if not self._has_slow_start:
            return usable
        warm = [member for member in usable if self._random.random() < self._weight(member, now)]
        return warm or usable

    def _weight(self, member: Member, now: float) -> float:
        statistics = self._statistics(member.instance)
        statistics.observe_incarnation(member.incarnation, now)
        return statistics.weight(now)

    def _is_near_with_room(self, member: Member, now: float) -> bool:
        if member.availability_zone != self._availability_zone:
            return False
        statistics = self._statistics(member.instance)
        if not self._has_own_measurements:
            return statistics.reported_load < ROOM_LOAD
        has_room = statistics.current_load(now) < ROOM_LOAD
        has_room = has_room and statistics.silence_seconds(now) < ROOM_SILENCE_SECONDS
        return has_room and statistics.current_slowness(now) < ROOM_SLOWNESS

    def _cost(self, instance: str, now: float) -> float:
        statistics = self._statistics(instance)
        if not self._has_own_measurements:
            return statistics.reported_load
        cost = (1.0 + statistics.in_flight) * statistics.current_slowness(now)
        cost *= 1.0 + statistics.silence_seconds(now) / ROOM_SILENCE_SECONDS
        return cost * (1.0 + statistics.current_load(now))

    def _eject_outlier(self, statistics: MemberStatistics, now: float) -> None:
        if not self._has_own_measurements:
            return
        others = [s for s in self._statistics_by_instance.values() if s is not statistics]
        usual = sum(s.failure_rate for s in others) / len(others) if others else 0.0
        if statistics.failure_rate > max(EJECTION_FAILURE_RATE, usual + EJECTION_EXCESS):
            statistics.eject(now)

    def _statistics(self, instance: str) -> MemberStatistics:
        statistics = self._statistics_by_instance.get(instance)
        if statistics is None:
            statistics = MemberStatistics(joined=self._clock.monotonic())
            self._statistics_by_instance[instance] = statistics
        return statistics
