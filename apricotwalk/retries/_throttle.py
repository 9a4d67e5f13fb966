"""Bounds on retries and resends relative to first attempts."""

from collections import OrderedDict
from dataclasses import dataclass

from apricotwalk.core import CallFailure, Clock, Verdict

__all__ = ["ResendThrottle"]

# One retry for ten first attempts, as SRE practice has it.
TOKENS_PER_FIRST_ATTEMPT = 0.1
# A caller with little traffic may still retry.
TOKENS_PER_SECOND = 1.0
# Retries that a quiet time may save up for a fault.
LARGEST_BALANCE = 20.0
# Streams that one node has in use.
LARGEST_BUCKET_COUNT = 4096
# The time in which one token comes back.
RETRY_AFTER_SECONDS = 1.0


@dataclass(slots=True)
class _Bucket:
    balance: float
    refilled: float


class ResendThrottle:
    """A token bucket for each customer and called service.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Notes
    -----
    A first attempt adds a tenth of a token and a resend takes a whole one, so that resends
    stay below a tenth of the traffic, besides one a second for customers with little of it.
    The node stands for the calling service, so each bucket belongs to a pair of services.

    References
    ----------
    .. [1] B. Beyer, C. Jones, J. Petoff, N. R. Murphy, "Site Reliability Engineering",
       O'Reilly 2016, chapter 21, "Handling Overload".

    Examples
    --------
    >>> from apricotwalk.core import ManualClock
    >>> throttle = ResendThrottle(ManualClock())
    >>> sum(throttle.try_take("school", "menu") for _ in range(100))
    20
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets_by_pair: OrderedDict[tuple[str, str], _Bucket] = OrderedDict()

    def deposit(self, customer: str, service: str) -> None:
        """Take note of a first attempt."""
        bucket = self._bucket(customer, service)
        bucket.balance = min(LARGEST_BALANCE, bucket.balance + TOKENS_PER_FIRST_ATTEMPT)

    def try_withdraw(self, customer: str, service: str) -> bool:
        """Take a token for a retry and return whether there was one."""
        bucket = self._bucket(customer, service)
        if bucket.balance < 1.0:
            return False
        bucket.balance -= 1.0
        return True

    def withdraw(self, customer: str, service: str) -> None:
        """Take a token for a caller's resend.

        Raises
        ------
        CallFailure
            With verdict ``NOT_RUN`` if there is none.
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
            bucket = self._buckets_by_pair[pair] = _Bucket(LARGEST_BALANCE, now)
            if len(self._buckets_by_pair) > LARGEST_BUCKET_COUNT:
                self._buckets_by_pair.popitem(last=False)
        self._buckets_by_pair.move_to_end(pair)
        earned = (now - bucket.refilled) * TOKENS_PER_SECOND
        bucket.balance = min(LARGEST_BALANCE, bucket.balance + earned)
        bucket.refilled = now
        return bucket
