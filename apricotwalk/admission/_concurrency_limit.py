"""Limits on the number of calls that a backend server runs concurrently."""

import math
import statistics
from abc import ABC, abstractmethod

__all__ = ["AnnouncedLimit", "ConcurrencyLimit", "Limit"]

# The server announces its slots with its first heartbeat; this number is used until then.
DEFAULT_SLOTS = 16
# The median of fewer samples varies by more than the slowdown to be detected.
WINDOW_SAMPLE_COUNT = 20
# Processing times of one route vary by about half, so a smaller slowdown is no sign of queueing.
TOLERATED_SLOWDOWN = 1.5
# The gradient limits in reference [1] of `ConcurrencyLimit` use the same decrease factor.
SHRINK_FACTOR = 0.8
# One increase reverses one decrease, so that a limit reduced by mistake is restored after two
# windows.
GROWTH_FACTOR = 1.25
# If latency falls by at least this share when the limit falls by a fifth, the calls above the lower
# limit raised throughput by an eighth at most: most of them only waited inside the server.
MIN_LATENCY_REDUCTION_SHARE = 0.1
# With a smaller share of the limit in flight, the limit did not constrain concurrency.
SATURATED_SHARE = 0.8
# A limit of fewer requests cannot be reduced by a fifth.
MIN_LIMIT_TO_SHRINK = 4
# A latency of 0 would cause a division by zero; the resolution of the clock is one microsecond.
MIN_LATENCY_SECONDS = 1e-6
# Servers on the external platform that slow down do so once this share of their slots is in use.
NEARLY_FULL_SHARE = 0.95


class Limit(ABC):
    """Limit on the number of calls that a backend server runs concurrently."""

    @property
    @abstractmethod
    def value(self) -> int:
        """The current limit, at least 1."""

    @abstractmethod
    def set_slots(self, slots: int) -> None:
        """Set the number of concurrent requests that the server announces."""

    @abstractmethod
    def observe(self, route: str, processing_seconds: float, running: int) -> None:
        """Record the processing time of a completed call.

        Parameters
        ----------
        route : str
            Route of the call.
        processing_seconds : float
            Time that the call occupied the server, without inner calls.
        running : int
            Calls that were running when this call began, itself included.
        """


class AnnouncedLimit(Limit):
    """Concurrency limit slightly below the slots that the backend server announces.

    Notes
    -----
    A server may slow down when nearly all of its slots are in use, which delays every running
    call.  The throughput of the last twentieth of the slots is smaller than this loss.

    This limit is meant for servers whose processing times differ by an order of magnitude.
    Their minimum latency does not predict the usual latency, and a limit that adapts to it
    decreases without cause.  Such a server runs calls in its slots at full speed and queues
    the rest, so the number of slots is the right limit.
    """

    def __init__(self) -> None:
        self._slots = DEFAULT_SLOTS

    @property
    def value(self) -> int:
        """The largest number of running calls for which the server is not nearly full."""
        return max(1, math.ceil(NEARLY_FULL_SHARE * self._slots) - 1)

    def set_slots(self, slots: int) -> None:
        """Set the number of slots from which the limit is derived, at least 1."""
        self._slots = max(1, slots)

    def observe(self, route: str, processing_seconds: float, running: int) -> None:
        """Do nothing; the limit does not depend on latency."""


class ConcurrencyLimit(Limit):
    """Concurrency limit that adapts to latency and is bounded by the announced slots.

    Notes
    -----
    Latency is compared with the minimum observed for the same route.  If it has grown while
    the limit was saturated, a smaller limit is tried for one window.  If latency then falls,
    calls were queueing inside the server and the smaller limit is kept.  Otherwise the server
    itself is slower: the previous limit is restored and the current latency becomes the new
    baseline.  Calls that began while more than the smaller limit were running are not evidence
    for the trial and are ignored.  The limit grows by a quarter per window while latency is at
    its baseline.

    References
    ----------
    .. [1] Netflix, "Performance Under Load: Adaptive Concurrency Limits", 2018.
    .. [2] N. Cardwell et al., "BBR: Congestion-Based Congestion Control", ACM Queue 14(5),
       2016.
    """

    def __init__(self) -> None:
        self._slots = DEFAULT_SLOTS
        self._limit = float(DEFAULT_SLOTS)
        self._min_seconds_by_route: dict[str, float] = {}
        self._slowdowns: list[float] = []
        self._saturated_count = 0
        self._trial_baseline: tuple[float, float] | None = None

    @property
    def value(self) -> int:
        """The current limit, at least 1."""
        return max(1, int(self._limit))

    @property
    def slots(self) -> int:
        """The slots that the server announced, the upper bound of the limit."""
        return self._slots

    def set_slots(self, slots: int) -> None:
        """Set the upper bound; if it differs from the previous one, reset the limit to it."""
        if slots == self._slots:
            return
        self._slots = slots
        self._limit = float(slots)
        self._restart_window()

    def observe(self, route: str, processing_seconds: float, running: int) -> None:
        """Record the processing time of a completed call; see `Limit.observe`.

        Parameters
        ----------
        route : str
            Route of the call.
        processing_seconds : float
            Time that the call occupied the server, without inner calls.
        running : int
            Calls that were running when this call began, itself included.
        """
        if self._trial_baseline is not None and running > self.value:
            return
        processing_seconds = max(processing_seconds, MIN_LATENCY_SECONDS)
        min_seconds = self._min_seconds_by_route.get(route, processing_seconds)
        min_seconds = min(processing_seconds, min_seconds)
        self._min_seconds_by_route[route] = min_seconds
        self._slowdowns.append(processing_seconds / min_seconds)
        self._saturated_count += running >= SATURATED_SHARE * self.value
        if len(self._slowdowns) >= WINDOW_SAMPLE_COUNT:
            self._close_window()

    def _close_window(self) -> None:
        slowdown = statistics.median(self._slowdowns)
        is_saturated = 2 * self._saturated_count >= len(self._slowdowns)
        self._restart_window()
        if self._trial_baseline is not None:
            self._evaluate_trial(slowdown)
        elif slowdown > TOLERATED_SLOWDOWN and is_saturated:
            self._start_trial(slowdown)
        elif slowdown <= TOLERATED_SLOWDOWN:
            self._limit = min(float(self._slots), self._limit * GROWTH_FACTOR)

    def _start_trial(self, slowdown: float) -> None:
        if self.value < MIN_LIMIT_TO_SHRINK:
            self._rebase_latency(slowdown)
            return
        self._trial_baseline = (self._limit, slowdown)
        self._limit *= SHRINK_FACTOR

    def _evaluate_trial(self, slowdown: float) -> None:
        assert self._trial_baseline is not None
        limit, slowdown_before = self._trial_baseline
        self._trial_baseline = None
        if slowdown > slowdown_before * (1 - MIN_LATENCY_REDUCTION_SHARE):
            self._limit = limit
            self._rebase_latency(slowdown)

    def _rebase_latency(self, slowdown: float) -> None:
        self._min_seconds_by_route = {
            r: s * slowdown for r, s in self._min_seconds_by_route.items()
        }

    def _restart_window(self) -> None:
        self._slowdowns = []
        self._saturated_count = 0
