"""Age of the copy of a stream that a node holds."""

from math import inf

from apricotwalk.core import Clock

__all__ = ["Freshness"]


class Freshness:
    """Tracks until when the copy of a stream on this node is known to be complete.

    Parameters
    ----------
    clock : Clock
        Source of time.
    max_age_seconds : float
        Age in seconds up to which the copy counts as fresh.

    Notes
    -----
    Answers of the store to any node show that its copy is complete at that time.  A node whose copy
    has the same content learns the age of that observation from pings and need not ask the store.
    An age is passed on, and not a time, because clocks of different machines differ.
    """

    def __init__(self, clock: Clock, max_age_seconds: float) -> None:
        self._clock = clock
        self._max_age_seconds = max_age_seconds
        self._complete_at = -inf

    @property
    def age_seconds(self) -> float:
        """Time in seconds since the copy was known to be complete; infinite if it never was."""
        return self._clock.monotonic() - self._complete_at

    @property
    def age_ms(self) -> int | None:
        """The age in whole milliseconds, or None if the copy was never known to be complete."""
        age_seconds = self.age_seconds
        return None if age_seconds == inf else round(age_seconds * 1000)

    @property
    def remaining_seconds(self) -> float:
        """Time in seconds for which the copy still counts as fresh; 0 if it does not."""
        return max(0.0, self._max_age_seconds - self.age_seconds)

    def observe(self, age_seconds: float) -> None:
        """Take note that the copy was complete this long ago."""
        self._complete_at = max(self._complete_at, self._clock.monotonic() - age_seconds)
