"""Measured demand by level, and the capacity available to it."""

import math
from dataclasses import dataclass, field

from apricotwalk.admission._levels import HIGHEST_LEVEL, LEVELS_PER_RANK, MOST_URGENT_RANK

__all__ = ["DemandByLevel", "ReservedCapacity"]

MIN_CALLS_PER_SECOND = 1e-3
BACKLOG_DRAIN_SECONDS = 0.25
MOST_URGENT_TOLERANCE_FACTOR = 2.0
FREE_CAPACITY_TOLERANCE_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class ReservedCapacity:
    """Slots that are reserved for floors or needed to drain the backlog.

    Parameters
    ----------
    reserved_by_rank : dict of int to float
        Slots that floors reserve, by rank.  They are available to demand of the same rank and
        of less urgent ranks.
    backlog_by_rank : dict of int to float
        Processing time in seconds of queued calls, by rank.  A call waits only for calls of its
        own rank and of more urgent ranks.
    tolerated_backlog : float
        Backlog in seconds, above 0, that uses no slots.  The most urgent rank is allowed twice
        as much, so that it is shed only if its demand does not fit.  A less urgent rank is
        allowed up to three times as much, growing with the share of the capacity that more
        urgent demand leaves free.
    headroom_slots : float
        Slots by which demand may exceed the capacity while there is no backlog.
    """

    reserved_by_rank: dict[int, float] = field(default_factory=dict)
    backlog_by_rank: dict[int, float] = field(default_factory=dict)
    tolerated_backlog: float = 1.0
    headroom_slots: float = 0.0

    def unavailable_slots(self, rank: int, free_share: float) -> float:
        """Return the slots that are unavailable to demand of `rank`; negative for headroom.

        Parameters
        ----------
        rank : int
            0 is the most urgent.
        free_share : float
            Share of the capacity that demand of more urgent ranks leaves free, between 0 and 1.

        Returns
        -------
        float
            Number of slots.
        """
        reserved = sum(s for r, s in self.reserved_by_rank.items() if r > rank)
        backlog = sum(s for r, s in self.backlog_by_rank.items() if r <= rank)
        tolerated = self.tolerated_backlog
        if rank == MOST_URGENT_RANK:
            tolerated *= MOST_URGENT_TOLERANCE_FACTOR
        else:
            tolerated *= 1.0 + FREE_CAPACITY_TOLERANCE_FACTOR * free_share
        excess = backlog - tolerated
        if excess >= 0.0:
            return reserved + excess / BACKLOG_DRAIN_SECONDS
        return reserved + self.headroom_slots * excess / tolerated


class DemandByLevel:
    """Exponentially decaying average of the demand at each level.

    Parameters
    ----------
    time_constant_seconds : float
        Time constant of the decay; may be changed at any time.

    Notes
    -----
    Demand is stored in calls of mean cost per second, so that its cost in slots changes immediately
    when the server becomes slower or faster.  A level that is shed upstream is no longer
    observed and its demand decays, so that the highest level that fits rises until demand is
    observed there again.
    """

    def __init__(self, time_constant_seconds: float) -> None:
        self.time_constant_seconds = time_constant_seconds
        self._calls_by_level: dict[int, float] = {}
        self._updated_at = 0.0

    def add(self, level: int, calls: float, now: float) -> None:
        """Record requested work, in calls of mean cost."""
        self._decay(now)
        added = calls / self.time_constant_seconds
        self._calls_by_level[level] = self._calls_by_level.get(level, 0.0) + added

    def total(self, now: float) -> float:
        """Return the demand of all levels in calls per second."""
        self._decay(now)
        return sum(self._calls_by_level.values())

    def highest_level_within(
        self, available_slots: float, reserved: ReservedCapacity, cost_seconds: float, now: float
    ) -> int:
        """Return the highest level up to which the demand fits.

        Parameters
        ----------
        available_slots : float
            Capacity in slots.
        reserved : ReservedCapacity
            Slots that are not available to the demand.
        cost_seconds : float
            Current mean cost of a call.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        int
            Between -1 and `HIGHEST_LEVEL`; -1 if not even the most urgent level fits.
        """
        self._decay(now)
        used = 0.0
        rank = -1
        unavailable = 0.0
        for level in sorted(self._calls_by_level):
            if level // LEVELS_PER_RANK != rank:
                rank = level // LEVELS_PER_RANK
                unavailable = reserved.unavailable_slots(
                    rank, max(0.0, 1.0 - used / available_slots)
                )
            used += self._calls_by_level[level] * cost_seconds
            if used + unavailable > available_slots:
                return level - 1
        return HIGHEST_LEVEL

    def share_within(self, available: float, now: float) -> float:
        """Return the share of the demand that fits into `available`, between 0 and 1.

        Parameters
        ----------
        available : float
            Capacity in the unit of `total`.
        now : float
            Monotonic time in seconds.
        """
        total = self.total(now)
        return min(1.0, available / total) if total > 0.0 else 1.0

    def _decay(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0.0:
            return
        self._updated_at = now
        kept = math.exp(-elapsed / self.time_constant_seconds)
        self._calls_by_level = {
            level: calls * kept
            for level, calls in self._calls_by_level.items()
            if calls * kept > MIN_CALLS_PER_SECOND
        }
