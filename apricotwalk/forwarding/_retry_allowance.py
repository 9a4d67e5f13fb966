"""A backend server's part of the repeats that its service allows."""

from apricotwalk.admission import MOST_URGENT_RANK
from apricotwalk.core import Clock

__all__ = ["RetryAllowance"]

# The calls of a repeated run count as repeats below it, and chains are four services deep
# on the users' meshes, so each service spends a quarter of what is allowed itself.
OWN_SHARE = 0.25
# A node that restarts may repeat a request of either kind before it has seen any traffic.
FIRST_TOKENS = 1.0


class RetryAllowance:
    """Token buckets that keep the repeats of one backend server within its part.

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

    The most urgent rank has a bucket of its own, which is filled first; what it leaves is for
    all ranks.  It answers a service that refuses half of its work while calls of many chains
    ask for repeats: there a single repeat saves urgent work, and does little for a chain that
    needs each of several calls.
    """

    def __init__(self, ratio: float, allowance: float, window_seconds: float, clock: Clock) -> None:
        self._gain = ratio * OWN_SHARE
        self._allowance = allowance * OWN_SHARE
        self._window_seconds = window_seconds
        self._clock = clock
        self._member_count = 1
        self._urgent_tokens = FIRST_TOKENS
        self._tokens = FIRST_TOKENS
        self._refilled = clock.monotonic()

    def set_member_count(self, count: int) -> None:
        """Divide the service's allowance among so many members."""
        self._refill()
        self._member_count = max(1, count)

    def record_first_attempt(self) -> None:
        """Earn a part of a token by the first try of a request."""
        self._add(self._gain)

    def try_acquire(self, rank: int) -> bool:
        """Take a token for a repeat of work of `rank` and return whether there was one."""
        self._refill()
        if rank == MOST_URGENT_RANK and self._urgent_tokens >= 1.0:
            self._urgent_tokens -= 1.0
            return True
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _add(self, tokens: float) -> None:
        """Fill the bucket of the most urgent rank, and the other one with what is left."""
        most = self._most()
        room = max(0.0, most - self._urgent_tokens)
        for_urgent = min(room, tokens)
        self._urgent_tokens += for_urgent
        self._tokens = min(most, self._tokens + tokens - for_urgent)

    def _refill(self) -> None:
        now = self._clock.monotonic()
        per_second = self._allowance / self._member_count / self._window_seconds
        self._add((now - self._refilled) * per_second)
        self._refilled = now

    def _most(self) -> float:
        """Return what a bucket holds: a quarter of the part of one window, one in any case."""
        return max(1.0, self._allowance / self._member_count / 4)
