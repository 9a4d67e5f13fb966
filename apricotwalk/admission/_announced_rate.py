"""Rate of requests that a backend server announces as its limit."""

import math

from apricotwalk.core import Clock

__all__ = ["AnnouncedRate"]

# Tokens accumulate for this long while no request arrives, so that arrivals at random intervals
# use most of the rate.
BURST_SECONDS = 0.1
# Requests wait no longer than this for a token.  Another server answers a redirected request
# sooner than that, and a refused caller can still return within its deadline.
MAX_WAIT_SECONDS = 0.25
# A lapsed limit is noticed only by an answer, so a server that accepts nothing still gets one
# request in two seconds.
MIN_REQUESTS_PER_SECOND = 0.5


class AnnouncedRate:
    """Token bucket that paces requests to the rate which the backend server announces.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Notes
    -----
    In any interval of ``t`` seconds, at most ``t`` times the largest rate in force plus one burst
    of requests starts.  A rate that is announced while none was in force starts with an empty
    bucket, because the server has just received requests without a limit.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._per_second: float | None = None
        self._tokens = 0.0
        self._refilled_at = clock.monotonic()

    @property
    def is_limited(self) -> bool:
        """Whether a rate is in force."""
        return self._per_second is not None

    def set_rate(self, per_second: float | None) -> None:
        """Put a rate in requests per second in force, or none."""
        self._refill()
        if self._per_second is None:
            self._tokens = 0.0
        self._per_second = None if per_second is None else max(MIN_REQUESTS_PER_SECOND, per_second)
        self._tokens = min(self._tokens, self._capacity())

    def is_available(self) -> bool:
        """Return whether a request may start now."""
        self._refill()
        return self._per_second is None or self._tokens >= 1.0

    def consume(self) -> None:
        """Record that a request starts."""
        if self._per_second is not None:
            self._refill()
            self._tokens -= 1.0

    def seconds_until_available(self) -> float:
        """Return the time in seconds until a request may start, 0 if it may now."""
        if self._per_second is None or self.is_available():
            return 0.0
        return (1.0 - self._tokens) / self._per_second

    def max_queue_length(self) -> float:
        """Return how many requests can wait without exceeding the maximum wait."""
        if self._per_second is None:
            return math.inf
        return math.floor(MAX_WAIT_SECONDS * self._per_second)

    def utilization(self) -> float:
        """Return the share of the bucket that is in use, between 0 and 1."""
        if self._per_second is None:
            return 0.0
        self._refill()
        return min(1.0, max(0.0, 1.0 - self._tokens / self._capacity()))

    def _capacity(self) -> float:
        if self._per_second is None:
            return 0.0
        return max(1.0, BURST_SECONDS * self._per_second)

    def _refill(self) -> None:
        now = self._clock.monotonic()
        elapsed, self._refilled_at = now - self._refilled_at, now
        if self._per_second is not None:
            self._tokens = min(self._capacity(), self._tokens + elapsed * self._per_second)
