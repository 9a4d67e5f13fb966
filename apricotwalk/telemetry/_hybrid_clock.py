"""A hybrid logical clock, which orders events causally despite clock skew."""

from apricotwalk.core import Clock

__all__ = ["HybridClock", "stamp_microseconds"]

COUNTER_BITS = 12
MICROSECONDS_PER_SECOND = 1_000_000


class HybridClock:
    """Issues increasing time stamps that follow wall-clock time and respect causality.

    Parameters
    ----------
    clock : Clock
        Source of wall-clock time.

    Notes
    -----
    A stamp has microseconds since the Unix epoch in its upper bits and a counter in its lower
    12 bits; it fits in 63 bits until the year 2041.

    References
    ----------
    .. [1] S. Kulkarni, M. Demirbas, D. Madappa, B. Avva, M. Leone, "Logical Physical Clocks",
       OPODIS 2014.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = 0

    def now(self) -> int:
        """Return a stamp greater than every stamp returned or observed before."""
        physical = int(self._clock.wall() * MICROSECONDS_PER_SECOND) << COUNTER_BITS
        self._last = max(physical, self._last + 1)
        return self._last

    def observe(self, stamp: int) -> None:
        """Advance the clock to at least a stamp received from another process."""
        self._last = max(self._last, stamp)


def stamp_microseconds(stamp: int) -> int:
    """Return the time part of a stamp, in microseconds since the Unix epoch.

    Examples
    --------
    >>> stamp_microseconds(1_000_000 << 12 | 7)
    1000000
    """
    return stamp >> COUNTER_BITS
