"""How much work is asked for, by level."""

import math
from dataclasses import dataclass, field

from apricotwalk.admission._levels import HIGHEST_LEVEL, LEVELS_PER_RANK, MOST_URGENT_RANK

__all__ = ["ReservedCapacity", "DemandByLevel"]

FORGOTTEN_CALLS = 1e-3
BACKLOG_DRAIN_SECONDS = 0.25
URGENT_TOLERANCE = 2.0
FREE_CAPACITY_TOLERANCE = 2.0


@dataclass(frozen=True, slots=True)
class ReservedCapacity:
    """Slots that are spoken for beside the demand itself.

    Parameters
    ----------
    reserved_by_rank : dict of int to float
        Slots that floors keep for ranks, free for a rank itself and the ones below it.
    backlog_by_rank : dict of int to float
        Own time in seconds of waiting work; a rank waits for the more urgent ones only.
    tolerated_backlog : float
        Backlog in seconds, above 0, that costs no slots; the most urgent rank may have twice
        as much, so that it is shed only if it does not fit.  A less urgent rank may have up to
        three times as much, the more of the capacity more urgent demand leaves.
    headroom_slots : float
        Slots by which demand may exceed the capacity while there is no backlog.
    """

    reserved_by_rank: dict[int, float] = field(default_factory=dict)
    backlog_by_rank: dict[int, float] = field(default_factory=dict)
    tolerated_backlog: float = 1.0
    headroom_slots: float = 0.0

    def at(self, rank: int, free_share: float) -> float:
        """Return the slots that are lost to demand of `rank`.

        Parameters
        ----------
        rank : int
            0 is the most urgent.
        free_share : float
            Share of the capacity that demand of more urgent ranks leaves, between 0 and 1.
        """
        reserved = sum(s for r, s in self.reserved_by_rank.items() if r > rank)
        backlog = sum(s for r, s in self.backlog_by_rank.items() if r <= rank)
        tolerated = self.tolerated_backlog
        if rank == MOST_URGENT_RANK:
            tolerated *= URGENT_TOLERANCE
        else:
            tolerated *= 1.0 + FREE_CAPACITY_TOLERANCE * free_share
        excess = backlog - tolerated
        if excess >= 0.0:
            return reserved + excess / BACKLOG_DRAIN_SECONDS
        return reserved + self.headroom_slots * excess / tolerated


class DemandByLevel:
    """Rate of demanded work by level, forgotten exponentially.

    Parameters
    ----------
    memory_seconds : float
        Time constant of forgetting; may be changed at any time.

    Notes
    -----
    Demand is kept in calls of the usual cost a second, so that it follows at once when the
    server becomes slower or faster.  A level that is
    shed upstream is no longer seen and is forgotten, so that the highest level that fits
    rises until the demand there is seen again.
    """

    def __init__(self, memory_seconds: float) -> None:
        self.memory_seconds = memory_seconds
        self._calls_by_level: dict[int, float] = {}
        self._updated = 0.0

    def add(self, level: int, calls: float, now: float) -> None:
        """Take note of work that is asked for, in calls of the usual cost."""
        self._forget(now)
        added = calls / self.memory_seconds
        self._calls_by_level[level] = self._calls_by_level.get(level, 0.0) + added

    def total(self, now: float) -> float:
        """Return the demand of all levels in calls a second."""
        self._forget(now)
        return sum(self._calls_by_level.values())

    def highest_level_within(
        self, available_slots: float, reserved: ReservedCapacity, cost_seconds: float, now: float
    ) -> int:
        """Return the highest level up to which the demand fits.

        Parameters
        ----------
        available_slots : float
            Capacity in slots.
        claims : CapacityClaims
            What the capacity has to carry besides.
        cost_seconds : float
            Usual cost of a call at present.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        int
            -1 if not even the most urgent level fits.
        """
        self._forget(now)
        used = 0.0
        rank = -1
        claimed = 0.0
        for level in sorted(self._calls_by_level):
            if level // LEVELS_PER_RANK != rank:
                rank = level // LEVELS_PER_RANK
                claimed = reserved.at(rank, max(0.0, 1.0 - used / available_slots))
            used += self._calls_by_level[level] * cost_seconds
            if used + claimed > available_slots:
                return level - 1
        return HIGHEST_LEVEL

    def share_within(self, available: float, now: float) -> float:
        """Return the share of the demand that fits, between 0 and 1."""
        total = self.total(now)
        return min(1.0, available / total) if total > 0.0 else 1.0

    def _forget(self, now: float) -> None:
        elapsed = now - self._updated
        if elapsed <= 0.0:
            return
        self._updated = now
        kept = math.exp(-elapsed / self.memory_seconds)
        self._calls_by_level = {
            level: calls * kept
            for level, calls in self._calls_by_level.items()
            if calls * kept > FORGOTTEN_CALLS
        }
