"""A backend server's part of the repeats that its service allows."""

from apricotwalk.core import Clock

__all__ = ["RepeatAllowance"]

# The calls of a repeated run count as repeats below it, and chains are four services deep
# on the users' meshes, so each service spends a quarter of what is allowed itself.
OWN_SHARE = 0.25
# A node that restarts may repeat one request before it has seen any traffic.
FIRST_TOKENS = 1.0


class RepeatAllowance:
    """A token bucket that keeps the repeats of one backend server within its part.

    Parameters
    ----------
    ratio : float
        Repeats allowed for the service, relative to first tries.
    allowance : float
        Repeats allowed for the service besides, in each window.
    window_seconds : float
        Length of the window.
    clock : Clock
        Source of time.

    Notes
    -----
    Every arrival at a backend server passes the node beside it, so parts that add up to the
    whole need no message between nodes.  The load pattern it answers: a failing member makes
    every entry repeat at once, and the repeats keep the others overloaded.
    """

    def __init__(self, ratio: float, allowance: float, window_seconds: float, clock: Clock) -> None:
        self._gain = ratio * OWN_SHARE
        self._allowance = allowance * OWN_SHARE
        self._window_seconds = window_seconds
        self._clock = clock
        self._member_count = 1
        self._tokens = FIRST_TOKENS
        self._refilled = clock.monotonic()

    def set_member_count(self, count: int) -> None:
        """Divide the service's allowance among so many members."""
        self._refill()
        self._member_count = max(1, count)

    def take_note_of_first(self) -> None:
        """Earn a part of a token by the first try of a request."""
        self._tokens = min(self._most(), self._tokens + self._gain)

    def try_take(self) -> bool:
        """Take a token for a repeat and return whether there was one."""
        self._refill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self) -> None:
        now = self._clock.monotonic()
        per_second = self._allowance / self._member_count / self._window_seconds
        self._tokens = min(self._most(), self._tokens + (now - self._refilled) * per_second)
        self._refilled = now

    def _most(self) -> float:
        """Return the largest balance: half of the part of one window, and one in any case."""
        return max(1.0, self._allowance / self._member_count / 2)
