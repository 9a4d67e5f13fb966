"""Measurement of event loop wake-up delays, which grow when the machine is short of CPU time."""

import asyncio
import time

__all__ = ["StallMeter"]

INTERVAL_SECONDS = 0.01
MAX_MEAN_STALL_SECONDS = 0.004
MAX_STALL_SECONDS = 0.3


class StallMeter:
    """Meter that sleeps for a fixed interval repeatedly and records the delay of each wake-up."""

    def __init__(self) -> None:
        self._stalls: list[float] = []

    async def measure(self) -> None:
        """Record wake-up delays until cancelled."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(INTERVAL_SECONDS)
            self._stalls.append(time.monotonic() - began - INTERVAL_SECONDS)

    def longest_seconds(self) -> float:
        """Return the longest delay, or 0 without a measurement."""
        return max(self._stalls, default=0.0)

    def mean_seconds(self) -> float:
        """Return the mean delay, or 0 without a measurement."""
        return sum(self._stalls) / max(1, len(self._stalls))

    def is_starved(self) -> bool:
        """Return whether the delays are too long for results that depend on speed to be valid."""
        return (
            self.mean_seconds() > MAX_MEAN_STALL_SECONDS
            or self.longest_seconds() > MAX_STALL_SECONDS
        )
