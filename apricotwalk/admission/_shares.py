"""Minimum shares of a server's capacity for customers and routes."""

from dataclasses import dataclass

from apricotwalk.admission._demand import DemandByLevel
from apricotwalk.admission._interface import Stream

__all__ = ["FairShares"]

BURST_SECONDS = 0.5
MIN_BURST_COUNT = 2
RETENTION_SECONDS = 10.0


@dataclass(slots=True)
class _Share:
    floor: float
    rank: int
    # Demand is counted in seconds of processing time instead of calls, so that its total is a
    # number of slots.
    demand: DemandByLevel
    cost_seconds: float = 0.0
    credit_seconds: float = 0.0
    credited_at: float = 0.0
    used_at: float = 0.0


class FairShares:
    """Credit accounts that guarantee each stream with a floor its share of the capacity.

    Parameters
    ----------
    time_constant_seconds : float
        Time constant of the measured demand of each stream.

    Notes
    -----
    Each floor accrues credit at its share of the capacity, up to what it accrues in half a second
    or the cost of two calls, whichever is larger.  A call whose cost is covered by credit runs
    before calls of every rank.  Capacity that a floor does not use is available to the rest of
    the queue in its order.  It returns to the floor immediately on demand, because the credit is
    checked whenever a slot becomes free.

    A stream of a few requests per second has only a handful within the time constant, so the
    share that is admitted upstream includes the burst that the credit covers anyway.
    """

    def __init__(self, time_constant_seconds: float) -> None:
        self._time_constant_seconds = time_constant_seconds
        self._shares_by_stream: dict[Stream, _Share] = {}

    def record_demand(
        self, stream: Stream, floor: float, rank: int, cost_seconds: float, now: float
    ) -> None:
        """Record a call that a stream requests, with its floor, rank and expected cost."""
        share = self._shares_by_stream.get(stream)
        if share is None:
            share = _Share(floor, rank, DemandByLevel(self._time_constant_seconds), credited_at=now)
            self._shares_by_stream[stream] = share
            self._drop_unused(now)
        share.floor, share.rank, share.used_at = floor, rank, now
        share.cost_seconds = cost_seconds
        share.demand.add(0, cost_seconds, now)

    def is_due(self, stream: Stream, cost_seconds: float, limit: int, now: float) -> bool:
        """Return whether the credit of a stream covers its next call."""
        share = self._shares_by_stream.get(stream)
        if share is None:
            return False
        self._accrue_credit(share, cost_seconds, limit, now)
        return share.credit_seconds >= cost_seconds

    def charge(self, stream: Stream, cost_seconds: float, limit: int, now: float) -> None:
        """Subtract the cost of a call that begins from the credit of its stream."""
        share = self._shares_by_stream.get(stream)
        if share is not None:
            self._accrue_credit(share, cost_seconds, limit, now)
            share.credit_seconds = max(-cost_seconds, share.credit_seconds - cost_seconds)

    def reserved_by_rank(self, limit: int, now: float) -> dict[int, float]:
        """Return the slots that floors currently use, by rank."""
        reserved: dict[int, float] = {}
        for share in self._shares_by_stream.values():
            used = min(share.floor * limit, share.demand.total(now))
            reserved[share.rank] = reserved.get(share.rank, 0.0) + used
        return reserved

    def admitted_share(self, stream: Stream, limit: int, now: float) -> float:
        """Return the share of a stream's demand that its floor covers; 0 without a floor."""
        share = self._shares_by_stream.get(stream)
        if share is None:
            return 0.0
        burst = MIN_BURST_COUNT * share.cost_seconds / self._time_constant_seconds
        return share.demand.share_within(share.floor * limit + burst, now)

    def _accrue_credit(self, share: _Share, cost_seconds: float, limit: int, now: float) -> None:
        earned = share.floor * limit * (now - share.credited_at)
        share.credited_at = now
        max_credit_seconds = max(
            share.floor * limit * BURST_SECONDS, MIN_BURST_COUNT * cost_seconds
        )
        share.credit_seconds = min(max_credit_seconds, share.credit_seconds + earned)

    def _drop_unused(self, now: float) -> None:
        oldest = now - RETENTION_SECONDS
        for stream, share in list(self._shares_by_stream.items()):
            if share.used_at and share.used_at < oldest:
                del self._shares_by_stream[stream]
