"""Clock interfaces, which let tests control the time."""

import time
from abc import ABC, abstractmethod

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(ABC):
    """A source of monotonic and wall-clock time, both in seconds."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return the time in seconds of a clock that never goes backwards."""

    @abstractmethod
    def wall(self) -> float:
        """Return the wall-clock time in seconds since the Unix epoch."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return the system's monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the system's wall-clock time in seconds since the Unix epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock that advances only on request.

    Parameters
    ----------
    start : float
        Initial monotonic and wall-clock time in seconds.

    Examples
    --------
    >>> clock = ManualClock(10.0)
    >>> clock.advance(2.5)
    >>> clock.monotonic()
    12.5
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def monotonic(self) -> float:
        """Return the current manual time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the current manual time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the monotonic and the wall-clock time by `seconds`."""
        self._now += seconds
