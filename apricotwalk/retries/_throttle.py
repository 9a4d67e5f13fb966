"""Limits on retries and resends relative to first attempts."""

from collections import OrderedDict
from dataclasses import dataclass

from apricotwalk.core import CallFailure, Clock, Verdict

__all__ = ["ResendThrottle"]

# Reference [1] of `ResendThrottle` allows one retry per ten first attempts.
TOKENS_PER_FIRST_ATTEMPT = 0.1
# Callers with little traffic may still retry.
TOKENS_PER_SECOND = 1.0
# Retries can accumulate in a quiet period for use during a fault.
MAX_BALANCE_TOKENS = 20.0
# This number of buckets suffices for the pairs of customer and service that one node has in use.
MAX_BUCKET_COUNT = 4096
# One token is refilled in this time.
RETRY_AFTER_SECONDS = 1.0


@dataclass(slots=True)
class _Bucket:
    balance: float
    refilled_at: float


class ResendThrottle:
    """Token buckets for retries and resends, one for each pair of customer and called service.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Notes
    -----
    A first attempt adds a tenth of a token, and a retry or resend removes a whole one, so that
    both together stay below a tenth of the first attempts, plus one per second for customers
    with little traffic.  A node acts for its calling service, so each bucket belongs to a pair
    of services.

    References
    ----------
    .. [1] B. Beyer, C. Jones, J. Petoff, N. R. Murphy, "Site Reliability Engineering",
       O'Reilly 2016, chapter 21, "Handling Overload".

    Examples
    --------
    >>> from apricotwalk.core import ManualClock
    >>> throttle = ResendThrottle(ManualClock())
    >>> sum(throttle.try_withdraw("school", "menu") for _ in range(100))
    20
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets_by_pair: OrderedDict[tuple[str, str], _Bucket] = OrderedDict()

    def deposit(self, customer: str, service: str) -> None:
        """Add the tokens that a first attempt earns."""
        bucket = self._bucket(customer, service)
        bucket.balance = min(MAX_BALANCE_TOKENS, bucket.balance + TOKENS_PER_FIRST_ATTEMPT)

    def try_withdraw(self, customer: str, service: str) -> bool:
        """Remove one token for a retry if one is available, and return whether one was."""
        bucket = self._bucket(customer, service)
        if bucket.balance < 1.0:
            return False
        bucket.balance -= 1.0
        return True

    def withdraw(self, customer: str, service: str) -> None:
        """Remove one token for a resend by a caller.

        Raises
        ------
        CallFailure
            With verdict ``NOT_RUN`` if no token is available.
        """
        if not self.try_withdraw(customer, service):
            raise CallFailure(
                Verdict.NOT_RUN,
                "resends-exhausted",
                f"customer {customer} resends too much to service {service}",
                retry_after=RETRY_AFTER_SECONDS,
            )

    def _bucket(self, customer: str, service: str) -> _Bucket:
        pair = (customer, service)
        now = self._clock.monotonic()
        bucket = self._buckets_by_pair.get(pair)
        if bucket is None:
            bucket = self._buckets_by_pair[pair] = _Bucket(MAX_BALANCE_TOKENS, now)
            if len(self._buckets_by_pair) > MAX_BUCKET_COUNT:
                self._buckets_by_pair.popitem(last=False)
        self._buckets_by_pair.move_to_end(pair)
        earned = (now - bucket.refilled_at) * TOKENS_PER_SECOND
        bucket.balance = min(MAX_BALANCE_TOKENS, bucket.balance + earned)
        bucket.refilled_at = now
        return bucket
