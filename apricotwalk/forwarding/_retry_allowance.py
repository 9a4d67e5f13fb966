"""Retry budget of one backend server, as its share of the budget of the service."""

from apricotwalk.admission import MOST_URGENT_RANK
from apricotwalk.core import Clock

__all__ = ["RetryAllowance"]

# The calls made by a retried execution count as retries of the services below it.  Call chains
# are four services deep on the external platform, so each service spends a quarter of the
# budget.
OWN_RETRY_SHARE = 0.25
# After a restart, each bucket allows one retry before any traffic has been seen.
INITIAL_TOKENS = 1.0


class RetryAllowance:
    """Token buckets that limit retries to one backend server.

    Parameters
    ----------
    ratio : float
        Retries allowed for the service per first attempt.
    allowance : float
        Number of retries allowed for the service in each window in addition to `ratio`.
    window_seconds : float
        Length of the window in seconds.
    clock : Clock
        Source of time.

    Notes
    -----
    Every request to a backend server passes the node beside it, so the shares of all nodes add up
    to the budget of the service without messages between nodes.  The budget prevents a retry
    storm: when a member fails, all callers retry together, and the retries keep the other members
    overloaded.

    The most urgent rank has a bucket of its own that is filled first; the tokens that exceed its
    capacity go to a bucket for all ranks.  The separate bucket matters while a service refuses
    half of its work and the calls of many chains request retries: a single retry then saves an
    urgent request, but helps little in a chain in which each of several calls must succeed.
    """

    def __init__(self, ratio: float, allowance: float, window_seconds: float, clock: Clock) -> None:
        self._tokens_per_first_attempt = ratio * OWN_RETRY_SHARE
        self._allowance = allowance * OWN_RETRY_SHARE
        self._window_seconds = window_seconds
        self._clock = clock
        self._member_count = 1
        self._urgent_tokens = INITIAL_TOKENS
        self._tokens = INITIAL_TOKENS
        self._refilled_at = clock.monotonic()

    def set_member_count(self, count: int) -> None:
        """Divide the windowed allowance of the service among `count` members."""
        self._refill()
        self._member_count = max(1, count)

    def record_first_attempt(self) -> None:
        """Credit the fraction of a token that a first attempt earns."""
        self._add(self._tokens_per_first_attempt)

    def try_acquire(self, rank: int) -> bool:
        """Consume a token for a retry of work of `rank`; return False if none is available."""
        self._refill()
        if rank == MOST_URGENT_RANK and self._urgent_tokens >= 1.0:
            self._urgent_tokens -= 1.0
            return True
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _add(self, tokens: float) -> None:
        """Fill the bucket of the most urgent rank, and the shared bucket with the remainder."""
        capacity = self._capacity()
        free_capacity = max(0.0, capacity - self._urgent_tokens)
        urgent_tokens = min(free_capacity, tokens)
        self._urgent_tokens += urgent_tokens
        self._tokens = min(capacity, self._tokens + tokens - urgent_tokens)

    def _refill(self) -> None:
        now = self._clock.monotonic()
        per_second = self._allowance / self._member_count / self._window_seconds
        self._add((now - self._refilled_at) * per_second)
        self._refilled_at = now

    def _capacity(self) -> float:
        """Return the capacity of a bucket: a quarter of one window's share, but at least 1."""
        return max(1.0, self._allowance / self._member_count / 4)
