"""How much the backend server may run at once, found from its latency."""

import math
import statistics
from abc import ABC, abstractmethod

__all__ = ["AnnouncedLimit", "ConcurrencyLimit", "Limit"]

# Used until the server announces its slots, which it does with its first heartbeat.
DEFAULT_SLOTS = 16
# A median of fewer samples moves by more than the slowdown that is looked for.
WINDOW_SAMPLES = 20
# Work of one route differs by about half, so less is no sign of queueing.
TOLERATED_SLOWDOWN = 1.5
# The step down of the gradient limits that the class refers to.
SHRINK_FACTOR = 0.8
# Larger than the step down undoes, so that a limit cut by mistake is back after two windows.
GROWTH_FACTOR = 1.25
# Throughput, as a share; below it more work at once only waits in the server.
LEAST_GAIN = 0.1
# Of the limit; with less in flight the limit was not what bounded the work.
SATURATED_SHARE = 0.8
# Requests; a smaller limit cannot shrink by a fifth.
LEAST_LIMIT_TO_TRY = 4
# Guards a division; the clock has microseconds.
SHORTEST_SECONDS = 1e-6
# Servers on the users' platform that slow down do so from this share of their slots on.
NEARLY_FULL_SHARE = 0.95


class Limit(ABC):
    """How much a backend server may run at once."""

    @property
    @abstractmethod
    def value(self) -> int:
        """The present limit, at least 1."""

    @abstractmethod
    def set_slots(self, slots: int) -> None:
        """Take note of how many requests the server says it can run at once."""

    @abstractmethod
    def observe(self, route: str, own_seconds: float, running: int) -> None:
        """Take note of the own time of a complete piece of work."""


class AnnouncedLimit(Limit):
    """The slots that the backend server announces, less the last ones.

    Notes
    -----
    Servers may slow down when they are nearly full, and all work that runs slows with them.
    The last twentieth of the slots adds less than that costs.

    It answers servers whose work differs in length by an order of magnitude: there the least
    latency says nothing of the usual one, and a limit that follows it sinks without cause.  Such
    a server runs its slots at full speed and queues the rest, so its slots are the limit.
    """

    def __init__(self) -> None:
        self._slots = DEFAULT_SLOTS

    @property
    def value(self) -> int:
        """The most work for which the server is not nearly full."""
        return max(1, math.ceil(NEARLY_FULL_SHARE * self._slots) - 1)

    def set_slots(self, slots: int) -> None:
        """Follow the server's word."""
        self._slots = max(1, slots)

    def observe(self, route: str, own_seconds: float, running: int) -> None:
        """Do nothing."""


class ConcurrencyLimit(Limit):
    """A limit below the announced slots that follows latency.

    Notes
    -----
    Latency is compared with the least that was seen for the same route.  If it has grown
    while the limit was used up, a smaller limit is tried for one window.  If latency then
    falls, work was waiting inside the server and the smaller limit stays; if not, the server
    itself is slower, so the limit goes back and the present latency is the new baseline.
    Work that began above the smaller limit says nothing of it and is left out.
    The limit climbs by a quarter a window while latency is at its baseline.

    References
    ----------
    .. [1] Netflix, "Performance Under Load: Adaptive Concurrency Limits", 2018.
    .. [2] N. Cardwell et al., "BBR: Congestion-Based Congestion Control", ACM Queue 14(5),
       2016.
    """

    def __init__(self) -> None:
        self._slots = DEFAULT_SLOTS
        self._limit = float(DEFAULT_SLOTS)
        self._least_by_route: dict[str, float] = {}
        self._ratios: list[float] = []
        self._used_up = 0
        self._tried_from: tuple[float, float] | None = None

    @property
    def value(self) -> int:
        """The present limit, at least 1."""
        return max(1, int(self._limit))

    @property
    def slots(self) -> int:
        """The upper bound that the server announced."""
        return self._slots

    def set_slots(self, slots: int) -> None:
        """Set the upper bound; the limit follows a bound that has changed."""
        if slots == self._slots:
            return
        self._slots = slots
        self._limit = float(slots)
        self._restart_window()

    def observe(self, route: str, own_seconds: float, running: int) -> None:
        """Take note of the own time of a complete piece of work.

        Parameters
        ----------
        route : str
            Kind of work.
        own_seconds : float
            Time without inner calls.
        running : int
            Work that ran when this piece began, itself included.
        """
        if self._tried_from is not None and running > self.value:
            return
        own_seconds = max(own_seconds, SHORTEST_SECONDS)
        least = self._least_by_route.get(route, own_seconds)
        least = min(own_seconds, least)
        self._least_by_route[route] = least
        self._ratios.append(own_seconds / least)
        self._used_up += running >= SATURATED_SHARE * self.value
        if len(self._ratios) >= WINDOW_SAMPLES:
            self._close_window()

    def _close_window(self) -> None:
        slowdown = statistics.median(self._ratios)
        is_used_up = 2 * self._used_up >= len(self._ratios)
        self._restart_window()
        if self._tried_from is not None:
            self._judge_trial(slowdown)
        elif slowdown > TOLERATED_SLOWDOWN and is_used_up:
            self._try_less(slowdown)
        elif slowdown <= TOLERATED_SLOWDOWN:
            self._limit = min(float(self._slots), self._limit * GROWTH_FACTOR)

    def _try_less(self, slowdown: float) -> None:
        if self.value < LEAST_LIMIT_TO_TRY:
            self._accept_latency(slowdown)
            return
        self._tried_from = (self._limit, slowdown)
        self._limit *= SHRINK_FACTOR

    def _judge_trial(self, slowdown: float) -> None:
        assert self._tried_from is not None
        limit, slowdown_before = self._tried_from
        self._tried_from = None
        if slowdown > slowdown_before * (1 - LEAST_GAIN):
            self._limit = limit
            self._accept_latency(slowdown)

    def _accept_latency(self, slowdown: float) -> None:
        self._least_by_route = {r: s * slowdown for r, s in self._least_by_route.items()}

    def _restart_window(self) -> None:
        self._ratios = []
        self._used_up = 0
