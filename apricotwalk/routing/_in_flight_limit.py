"""Bound on how fast the work that waits for inner calls may grow."""

import math
from collections.abc import Hashable
from dataclasses import dataclass

__all__ = ["InFlightLimit"]

# The time of a chain under load; older completions belong to another state.
MEMORY_SECONDS = 1.0
# Requests; fewer leave a server of some slots idle while rates are still unknown.
LEAST_IN_FLIGHT = 8
# Of what the deadline leaves; the rest is for answers on their way.
PATIENCE_SHARE = 0.75
# Flows that rest for longer begin anew, with nothing known.
KEPT_SECONDS = 10.0


@dataclass(slots=True)
class _Flow:
    """What is in flight of one flow, and how much was completed of late."""

    in_flight: int = 0
    completed_per_second: float = 0.0
    completed: float = 0.0

    def complete(self, now: float) -> None:
        self.completed_per_second = self.rate(now) + 1.0 / MEMORY_SECONDS
        self.completed = now

    def rate(self, now: float) -> float:
        elapsed = max(0.0, now - self.completed)
        return self.completed_per_second * math.exp(-elapsed / MEMORY_SECONDS)


class InFlightLimit:
    """Limits the requests in flight of each flow to what can be completed by their deadline.

    A flow is whatever shares a bound: a route, or one customer's use of it.

    Parameters
    ----------
    least_in_flight : int
        Requests of a flow that may be in flight at any rate.

    Notes
    -----
    What the services below can take is learned from answers, which come back later than a
    surge begins, and not at all while the work waits there.  Until then, work on the first
    server would be lost.  By Little's law, requests in flight over the rate of completed ones
    is the time that the next one will take; it may be three quarters of what its deadline
    leaves.

    References
    ----------
    .. [1] J. D. C. Little, "A Proof for the Queuing Formula L = lambda W", Operations
       Research 9(3), 1961.
    .. [2] V. Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988.
    """

    def __init__(self, least_in_flight: int = LEAST_IN_FLIGHT) -> None:
        self._least_in_flight = least_in_flight
        self._flows_by_key: dict[Hashable, _Flow] = {}

    def admits(self, key: Hashable, remaining_seconds: float, now: float) -> bool:
        """Return whether one more request of a flow may begin.

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
        if flow is None or flow.in_flight < self._least_in_flight:
            return True
        return flow.in_flight < flow.rate(now) * PATIENCE_SHARE * remaining_seconds

    def begin(self, key: Hashable, now: float) -> None:
        """Take note that a request of a flow begins."""
        if key not in self._flows_by_key:
            self._drop_unused(now)
        self._flows_by_key.setdefault(key, _Flow()).in_flight += 1

    def end(self, key: Hashable, is_complete: bool, now: float) -> None:
        """Take note that a request of a flow has ended."""
        flow = self._flows_by_key[key]
        flow.in_flight -= 1
        if is_complete:
            flow.complete(now)

    def _drop_unused(self, now: float) -> None:
        """Forget flows that have nothing in flight and completed nothing for a while."""
        self._flows_by_key = {
            key: flow
            for key, flow in self._flows_by_key.items()
            if flow.in_flight or now - flow.completed < KEPT_SECONDS
        }
