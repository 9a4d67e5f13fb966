"""When a caller whose request was refused is to come back."""

import random

from apricotwalk.core import CallFailure

__all__ = ["RetryAfterPolicy"]

# What passes within a moment: a node that restarts, a member list that is being learned.
SHORT_SECONDS = 0.3
# Of the objective; a request that comes back then and runs for its usual time is still in time.
OBJECTIVE_SHARE = 0.4
# Callers that were refused together come back spread over half of the time.
LEAST_SPREAD = 0.75
LARGEST_SPREAD = 1.25
# Refusals for want of room or of repeats, which last as long as the surge or the fault.
LASTING_CAUSES = frozenset({"shed", "deadline-passed", "retry-budget", "backend-refused"})


class RetryAfterPolicy:
    """Chooses what ``Retry-After`` tells.

    Parameters
    ----------
    generator : random.Random
        Spreads the callers.

    Notes
    -----
    The load pattern it answers: a surge of seconds refuses many callers at once.  Those that
    come back at once are refused again by the same surge, and have used up their try; all that
    come back at the same later moment are the next surge.  So work with a long objective comes
    back late within it, and urgent work, whose objective is short, soon.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator

    def seconds(self, failure: CallFailure, objective_seconds: float) -> float:
        """Return the time after which the caller is to come back.

        Parameters
        ----------
        failure : CallFailure
            Why the request was refused.
        objective_seconds : float
            Time within which an answer serves the caller fully, 0 if no route is known.
        """
        if failure.cause not in LASTING_CAUSES:
            return SHORT_SECONDS
        late = OBJECTIVE_SHARE * objective_seconds
        late *= self._random.uniform(LEAST_SPREAD, LARGEST_SPREAD)
        return max(SHORT_SECONDS, late)
