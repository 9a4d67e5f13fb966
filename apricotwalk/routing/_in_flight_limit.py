"""Limit on the requests in flight that wait for inner calls."""

import math
from collections.abc import Hashable
from dataclasses import dataclass

__all__ = ["InFlightLimit"]

# A call chain takes about this long under load; earlier completions reflect an earlier state.
RATE_DECAY_SECONDS = 1.0
# A lower limit leaves a server with a few slots idle until completion rates are known.
MIN_LIMIT_COUNT = 8
# A part of the time until the deadline is reserved for the transfer of answers.
DEADLINE_SHARE = 0.75
# A flow that has been idle for longer is evicted and starts again without a known rate.
IDLE_FLOW_SECONDS = 10.0


@dataclass(slots=True)
class _Flow:
    """Requests in flight and recent completion rate of one flow."""

    in_flight: int = 0
    completed_per_second: float = 0.0
    completed_at: float = 0.0

    def complete(self, now: float) -> None:
        self.completed_per_second = self.rate(now) + 1.0 / RATE_DECAY_SECONDS
        self.completed_at = now

    def rate(self, now: float) -> float:
        elapsed = max(0.0, now - self.completed_at)
        return self.completed_per_second * math.exp(-elapsed / RATE_DECAY_SECONDS)


class InFlightLimit:
    """Limits the requests in flight of each flow to what can be completed by their deadline.

    A flow is a set of requests that share one limit: those of a route, or those of one
    customer on a route.

    Parameters
    ----------
    min_limit_count : int
        Lower bound of the limit: requests of a flow that may be in flight whatever its
        completion rate.

    Notes
    -----
    The admission thresholds of downstream services are known only from answers, which arrive
    after a surge has begun, and not at all while the requests are queued downstream.  Until
    then, work done by the first server would be wasted.  By Little's law, the number of
    requests in flight divided by the completion rate is the expected latency of the next
    request.  The request is admitted if this latency is below three quarters of the time until
    its deadline.

    References
    ----------
    .. [1] J. D. C. Little, "A Proof for the Queuing Formula L = lambda W", Operations
       Research 9(3), 1961.
    .. [2] V. Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988.
    """

    def __init__(self, min_limit_count: int = MIN_LIMIT_COUNT) -> None:
        self._min_limit_count = min_limit_count
        self._flows_by_key: dict[Hashable, _Flow] = {}

    def admits(self, key: Hashable, remaining_seconds: float, now: float) -> bool:
        """Return whether one more request of a flow may start.

        Parameters
        ----------
        key : hashable
            Flow of the request.
        remaining_seconds : float
            Time until its deadline.
        now : float
            Monotonic time in seconds.
        """
        flow = self._flows_by_key.get(key)
        if flow is None or flow.in_flight < self._min_limit_count:
            return True
        return flow.in_flight < flow.rate(now) * DEADLINE_SHARE * remaining_seconds

    def begin(self, key: Hashable, now: float) -> None:
        """Count a request of a flow as in flight."""
        if key not in self._flows_by_key:
            self._evict_idle(now)
        self._flows_by_key.setdefault(key, _Flow()).in_flight += 1

    def end(self, key: Hashable, is_complete: bool, now: float) -> None:
        """Remove a request from those in flight, and update the rate if it was completed."""
        flow = self._flows_by_key[key]
        flow.in_flight -= 1
        if is_complete:
            flow.complete(now)

    def _evict_idle(self, now: float) -> None:
        """Evict flows with nothing in flight and no completion within `IDLE_FLOW_SECONDS`."""
        self._flows_by_key = {
            key: flow
            for key, flow in self._flows_by_key.items()
            if flow.in_flight or now - flow.completed_at < IDLE_FLOW_SECONDS
        }
