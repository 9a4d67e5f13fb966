"""Detection of pauses in the execution of this process."""

from apricotwalk.core._clock import Clock, SystemClock

__all__ = ["PauseDetector"]

MAX_SCHEDULING_DELAY_SECONDS = 0.75


class PauseDetector:
    """Detects that a periodic loop resumed much later than scheduled.

    Parameters
    ----------
    interval_seconds : float
        Time that the loop sleeps between two checks.
    is_enabled : bool
        Whether pauses are reported; if not, `was_paused` always returns False.
    clock : Clock, optional
        Source of monotonic time; the system clock by default.

    Notes
    -----
    After a process was stopped or starved of CPU time, time-outs that have passed say nothing
    about the remote side.  A loop that checks time-outs first calls `was_paused` and, if it
    returns True, restarts its measurement.

    Examples
    --------
    >>> from apricotwalk.core import ManualClock
    >>> clock = ManualClock()
    >>> detector = PauseDetector(0.5, clock=clock)
    >>> clock.advance(0.6)
    >>> detector.was_paused()
    False
    >>> clock.advance(4.0)
    >>> detector.was_paused()
    True
    """

    def __init__(
        self, interval_seconds: float, is_enabled: bool = True, clock: Clock | None = None
    ) -> None:
        self._clock = clock or SystemClock()
        self._limit_seconds = interval_seconds + MAX_SCHEDULING_DELAY_SECONDS
        self._is_enabled = is_enabled
        self._last_check = self._clock.monotonic()

    def was_paused(self) -> bool:
        """Return whether the process was paused since the previous check."""
        previous_check, self._last_check = self._last_check, self._clock.monotonic()
        return self._is_enabled and self._last_check - previous_check > self._limit_seconds
