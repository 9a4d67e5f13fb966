"""Conversion of deadlines to the clock of the event loop."""

import asyncio
import time

__all__ = ["to_loop_time"]


def to_loop_time(deadline: float) -> float:
    """Convert a `time.monotonic` deadline to event loop time, as `asyncio.timeout_at` expects."""
    return asyncio.get_running_loop().time() + (deadline - time.monotonic())
