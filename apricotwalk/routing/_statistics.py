"""What this node has measured of one member."""

import math
from dataclasses import dataclass

__all__ = ["EJECTION_FAILURE_RATE", "MemberStatistics"]

# Five answers, so that one slow piece of work does not turn traffic away.
SMOOTHING = 0.2
# Two answers; a member that is quick again is to be used at once.
IMPROVEMENT_SMOOTHING = 0.5
# Five calls; four failures in a row eject a sound member.
FAILURE_SMOOTHING = 0.2
# A load that was told a second ago says little at some ten answers a second.
FORGET_SECONDS = 1.0
# Beyond five times, a member gets next to nothing in any case.
LARGEST_SLOWNESS = 5.0
# The time for which a new server is cold on the users' platform.
RAMP_SECONDS = 3.0
# Of a full share; enough to measure a new member.
LEAST_WEIGHT = 0.1
# A member that fails every second call costs more tries than it saves.
EJECTION_FAILURE_RATE = 0.5
# A node is back about a second after it was killed.
FIRST_EJECTION_SECONDS = 1.0
# Grey failures of the users' platform last five to ten seconds.
LONGEST_EJECTION_SECONDS = 10.0


@dataclass(slots=True)
class MemberStatistics:
    """Own measurements of one member.

    Parameters
    ----------
    joined : float
        Monotonic time since which it takes work, for the slow start.
    in_flight : int
        Calls of this node that wait for its answer.
    slowness : float
        Latency over that of all members for the same route.
    failure_rate : float
        Smoothed share of calls that failed.
    load : float
        Load of the node beside it, as its answers say.
    reported_load : float
        Load that the backend server reports of itself.
    observed : float
        When an answer was last learned from.
    waiting_since : float
        Since when no call has ended although some wait.
    ejected_until : float
        When the member is to get work again.
    ejections : int
        Ejections in a row, which make the next one longer.
    incarnation : int
        Newest incarnation of the member that was offered work.
    """

    joined: float
    in_flight: int = 0
    slowness: float = 1.0
    failure_rate: float = 0.0
    load: float = 0.0
    reported_load: float = 0.0
    observed: float = 0.0
    waiting_since: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0
    incarnation: int = 0

    def begin(self, now: float) -> None:
        """Take note of a call that was sent."""
        if not self.in_flight:
            self.waiting_since = now
        self.in_flight += 1

    def end(self, now: float) -> None:
        """Take note of a call that has ended in some way."""
        self.in_flight -= 1
        self.waiting_since = now

    def silence_seconds(self, now: float) -> float:
        """Return how long calls have waited without any of them ending."""
        return now - self.waiting_since if self.in_flight else 0.0

    def observe_latency(self, ratio: float, now: float) -> None:
        """Take note of the latency of a complete answer over the usual one."""
        self.slowness = self.current_slowness(now)
        smoothing = SMOOTHING if ratio > self.slowness else IMPROVEMENT_SMOOTHING
        self.slowness += smoothing * (min(LARGEST_SLOWNESS, ratio) - self.slowness)
        self.observed = now

    def observe_outcome(self, has_failed: bool) -> None:
        """Take note of whether a call failed."""
        self.failure_rate += FAILURE_SMOOTHING * (has_failed - self.failure_rate)
        if not has_failed:
            self.ejections = 0

    def observe_load(self, load: float, reported_load: float, now: float) -> None:
        """Take note of the load that an answer carries."""
        self.load = self.current_load(now)
        self.load += SMOOTHING * (load - self.load)
        self.reported_load = reported_load
        self.observed = now

    def current_slowness(self, now: float) -> float:
        """Return the slowness, drawn to 1 while nothing is observed."""
        return 1.0 + (self.slowness - 1.0) * self._kept(now)

    def current_load(self, now: float) -> float:
        """Return the load, drawn to 0 while nothing is observed."""
        return self.load * self._kept(now)

    def weight(self, now: float) -> float:
        """Return the share of its work that a new member gets, between 0.1 and 1."""
        return min(1.0, max(LEAST_WEIGHT, (now - self.joined) / RAMP_SECONDS))

    def observe_incarnation(self, incarnation: int, now: float) -> None:
        """Begin the slow start anew for a member that was started or announced again."""
        if incarnation > self.incarnation:
            self.incarnation = incarnation
            self.joined = now

    def is_ejected(self, now: float) -> bool:
        """Return whether the member is to get no work."""
        return now < self.ejected_until

    def eject(self, now: float) -> None:
        """Give the member no work for a while, longer each time; then a slow start.

        Notes
        -----
        A single failure after that ejects it again.
        """
        if self.is_ejected(now):
            return
        seconds = min(LONGEST_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + seconds
        self.joined = self.ejected_until
        self.failure_rate = EJECTION_FAILURE_RATE

    def _kept(self, now: float) -> float:
        return math.exp(-max(0.0, now - self.observed) / FORGET_SECONDS)
