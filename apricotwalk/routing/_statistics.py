"""Measurements of one member by this node."""

import math
from dataclasses import dataclass

__all__ = ["EJECTION_FAILURE_RATE", "MemberStatistics"]

# The average covers about five answers, so that a single slow request does not divert traffic.
SMOOTHING_FACTOR = 0.2
# The average covers about two answers, so that a member that has recovered is used again promptly.
IMPROVEMENT_SMOOTHING_FACTOR = 0.5
# The average covers about five calls, so that four consecutive failures eject a member without
# earlier failures.
FAILURE_SMOOTHING_FACTOR = 0.2
# At about ten answers per second, a load reported one second ago is outdated.
DECAY_SECONDS = 1.0
# A member that is five times slower than the others gets almost no traffic in any case.
MAX_SLOWNESS = 5.0
# Servers on the external platform run cold for this long after their start.
SLOW_START_SECONDS = 3.0
# This share of the traffic suffices to measure a new member.
MIN_SLOW_START_WEIGHT = 0.1
# A member that fails every second call causes more retries than it saves.
EJECTION_FAILURE_RATE = 0.5
# A killed node is restarted within about one second.
FIRST_EJECTION_SECONDS = 1.0
# Grey failures on the external platform last five to ten seconds.
MAX_EJECTION_SECONDS = 10.0


@dataclass(slots=True)
class MemberStatistics:
    """Decaying measurements of one member, and its ejection state.

    Parameters
    ----------
    joined_at : float
        Monotonic time in seconds from which the member receives work; start of its slow start.
    in_flight : int
        Number of calls of this node that wait for an answer of the member.
    slowness : float
        Smoothed ratio of its latency to the mean latency of all members on the same route.
    failure_rate : float
        Smoothed share of calls that failed, between 0 and 1.
    load : float
        Smoothed load of the member's node, as stated in its answers.
    reported_load : float
        Most recent load that the backend server reports about itself.
    observed_at : float
        Monotonic time of the most recent measurement.
    waiting_since : float
        Monotonic time of the most recent end of a call, or of the first call sent after an idle
        period.
    ejected_until : float
        Monotonic time at which the member receives work again.
    consecutive_ejections : int
        Number of ejections since the last success; each one doubles the length of the next, up
        to `MAX_EJECTION_SECONDS`.
    incarnation : int
        Newest known incarnation of the member.
    held_until : float
        Monotonic time until which work of `held_rank` or less urgent is not sent to the member.
    held_rank : int
        Rank of the most urgent work that the member refused during the current hold.
    """

    joined_at: float
    in_flight: int = 0
    slowness: float = 1.0
    failure_rate: float = 0.0
    load: float = 0.0
    reported_load: float = 0.0
    observed_at: float = 0.0
    waiting_since: float = 0.0
    ejected_until: float = 0.0
    consecutive_ejections: int = 0
    incarnation: int = 0
    held_until: float = 0.0
    held_rank: int = 0

    def begin(self, now: float) -> None:
        """Count a call that was sent to the member."""
        if not self.in_flight:
            self.waiting_since = now
        self.in_flight += 1

    def end(self, now: float) -> None:
        """Remove a call from those in flight, whatever its outcome."""
        self.in_flight -= 1
        self.waiting_since = now

    def silence_seconds(self, now: float) -> float:
        """Return the seconds for which calls have been in flight without any of them ending."""
        return now - self.waiting_since if self.in_flight else 0.0

    def observe_latency(self, ratio: float, now: float) -> None:
        """Update the slowness with the ratio of a call's latency to the mean of its route."""
        self.slowness = self.current_slowness(now)
        smoothing = SMOOTHING_FACTOR if ratio > self.slowness else IMPROVEMENT_SMOOTHING_FACTOR
        self.slowness += smoothing * (min(MAX_SLOWNESS, ratio) - self.slowness)
        self.observed_at = now

    def observe_outcome(self, has_failed: bool) -> None:
        """Update the failure rate with the outcome of a call."""
        self.failure_rate += FAILURE_SMOOTHING_FACTOR * (has_failed - self.failure_rate)
        if not has_failed:
            self.consecutive_ejections = 0

    def observe_load(self, load: float, reported_load: float, now: float) -> None:
        """Update the loads with those stated in an answer."""
        self.load = self.current_load(now)
        self.load += SMOOTHING_FACTOR * (load - self.load)
        self.reported_load = reported_load
        self.observed_at = now

    def current_slowness(self, now: float) -> float:
        """Return the slowness, which decays to 1 while no answers arrive."""
        return 1.0 + (self.slowness - 1.0) * self._decay(now)

    def current_load(self, now: float) -> float:
        """Return the load, which decays to 0 while no answers arrive."""
        return self.load * self._decay(now)

    def slow_start_weight(self, now: float) -> float:
        """Return the share of its regular traffic that a member receives, between 0.1 and 1."""
        return min(1.0, max(MIN_SLOW_START_WEIGHT, (now - self.joined_at) / SLOW_START_SECONDS))

    def observe_incarnation(self, incarnation: int, now: float) -> None:
        """Restart the slow start of a member that was restarted or announced again."""
        if incarnation > self.incarnation:
            self.incarnation = incarnation
            self.joined_at = now

    def is_ejected(self, now: float) -> bool:
        """Return whether the member receives no work at present."""
        return now < self.ejected_until

    def eject(self, now: float) -> None:
        """Stop sending work to the member for 1 to 10 s, followed by a slow start.

        Notes
        -----
        The failure rate is set to the ejection threshold, so a single failure afterwards ejects
        the member again.
        """
        if self.is_ejected(now):
            return
        seconds = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**self.consecutive_ejections)
        self.consecutive_ejections += 1
        self.ejected_until = now + seconds
        self.joined_at = self.ejected_until
        self.failure_rate = EJECTION_FAILURE_RATE

    def hold(self, rank: int, until: float, now: float) -> None:
        """Hold back work of `rank` or less urgent until a monotonic time."""
        self.held_rank = min(rank, self.held_rank) if now < self.held_until else rank
        self.held_until = until

    def is_held(self, rank: int, now: float) -> bool:
        """Return whether work of `rank` is held back at present."""
        return now < self.held_until and rank >= self.held_rank

    def _decay(self, now: float) -> float:
        return math.exp(-max(0.0, now - self.observed_at) / DECAY_SECONDS)
