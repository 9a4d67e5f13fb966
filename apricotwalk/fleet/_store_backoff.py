"""Back-off between calls to a store that does not answer."""

import asyncio
import random

__all__ = ["StoreBackoff"]

# A refused call often succeeds at the next attempt, so the first pause is short.
INITIAL_SECONDS = 0.1
# With a pause of this length at most, the first call after an outage is made within the 2 s that
# operators allow.
MAX_SECONDS = 1.0


class StoreBackoff:
    """Exponential back-off up to 1 s, with jitter so that nodes do not call simultaneously.

    Parameters
    ----------
    generator : random.Random
        Source of jitter.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._seconds = INITIAL_SECONDS

    async def wait(self) -> None:
        """Wait for the current pause, and double the next one."""
        await asyncio.sleep(self._seconds * self._random.uniform(0.7, 1.3))
        self._seconds = min(MAX_SECONDS, self._seconds * 2)

    def reset(self) -> None:
        """Return to the shortest pause after the store has answered."""
        self._seconds = INITIAL_SECONDS
