"""Choice of the ``Retry-After`` value for refused requests."""

import random

from apricotwalk.core import CallFailure

__all__ = ["RetryAfterPolicy"]

# A short delay suits short-lived conditions, such as a node that restarts or has no complete member
# list yet.
MIN_RETRY_AFTER_SECONDS = 0.3
# A request that returns after this share of the route's objective and takes its usual time still
# meets the objective.
OBJECTIVE_SHARE = 0.4
# The jitter spreads the return of callers that were refused together over half of the delay.
MIN_JITTER = 0.75
MAX_JITTER = 1.25
# Refusals for lack of capacity or retry budget last as long as the surge or the fault.
LASTING_CAUSES = frozenset(
    {"shed", "rate-limited", "deadline-passed", "retry-budget", "backend-refused"}
)


class RetryAfterPolicy:
    """Computes the ``Retry-After`` delay of a refused request.

    Parameters
    ----------
    generator : random.Random
        Source of jitter.

    Notes
    -----
    During a surge of a few seconds, many callers are refused together.  Callers that return
    immediately are refused again by the same surge and have spent their retry, and callers that
    all return at the same later time cause the next surge.  Work with a long objective therefore
    returns late within it, and urgent work, whose objective is short, returns soon.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator

    def seconds(self, failure: CallFailure, objective_seconds: float) -> float:
        """Return the delay after which the caller should retry.

        Parameters
        ----------
        failure : CallFailure
            Failure that the request ended with.
        objective_seconds : float
            Time within which an answer has its full value for the caller, or 0 if no route is
            known.

        Returns
        -------
        float
            Delay in seconds.
        """
        if failure.cause not in LASTING_CAUSES:
            return MIN_RETRY_AFTER_SECONDS
        delay_seconds = OBJECTIVE_SHARE * objective_seconds
        delay_seconds *= self._random.uniform(MIN_JITTER, MAX_JITTER)
        return max(MIN_RETRY_AFTER_SECONDS, delay_seconds)
