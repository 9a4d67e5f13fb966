"""Deadlines on the clock of the event loop."""

import asyncio
import time

__all__ = ["to_loop_time"]


def to_loop_time(deadline: float) -> float:
    """Return a monotonic time as the event loop counts it, for `asyncio.timeout_at`."""
    return asyncio.get_running_loop().time() + (deadline - time.monotonic())
