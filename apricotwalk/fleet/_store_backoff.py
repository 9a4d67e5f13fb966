"""Pauses between calls to a store that gives no answer."""

import asyncio
import random

__all__ = ["StoreBackoff"]

# A refused call is often served at the next attempt.
FIRST_SECONDS = 0.1
# A store that is back after an outage is asked again within the two seconds that operators allow.
LONGEST_SECONDS = 1.0


class StoreBackoff:
    """Pauses that double up to a second, spread at random so that nodes do not call in step.

    Parameters
    ----------
    generator : random.Random
        Source of randomness.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._seconds = FIRST_SECONDS

    async def wait(self) -> None:
        """Wait, longer each time."""
        await asyncio.sleep(self._seconds * self._random.uniform(0.7, 1.3))
        self._seconds = min(LONGEST_SECONDS, self._seconds * 2)

    def reset(self) -> None:
        """Begin with the shortest pause again, after an answer."""
        self._seconds = FIRST_SECONDS
