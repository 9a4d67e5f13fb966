"""Polling until a condition holds."""

import asyncio
from collections.abc import Callable

__all__ = ["POLL_INTERVAL_SECONDS", "wait_for"]

POLL_INTERVAL_SECONDS = 0.1


async def wait_for(timeout_seconds: float, is_done: Callable[[], bool]) -> None:
    """Poll `is_done` every 0.1 s until it returns true.

    Raises
    ------
    TimeoutError
        If `is_done` does not return true within `timeout_seconds`.
    """
    async with asyncio.timeout(timeout_seconds):
        while not is_done():
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
