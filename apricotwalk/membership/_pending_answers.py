"""Questions to other nodes that wait for an answer."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["PendingAnswers"]

Answer = TypeVar("Answer")


class PendingAnswers(Generic[Answer]):
    """Connects answers that arrive by datagram with the tasks that wait for them."""

    def __init__(self) -> None:
        self._futures_by_key: dict[object, asyncio.Future[Answer]] = {}

    async def ask(
        self, key: object, send: Callable[[], None], timeout_seconds: float
    ) -> Answer | None:
        """Send a question and return its answer, or None if none came in time."""
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._futures_by_key[key] = future
        try:
            send()
            async with asyncio.timeout(timeout_seconds):
                return await future
        except TimeoutError:
            return None
        finally:
            if self._futures_by_key.get(key) is future:
                del self._futures_by_key[key]

    def resolve(self, key: object, answer: Answer) -> None:
        """Hand an answer to the task that waits for it, if there still is one."""
        future = self._futures_by_key.get(key)
        if future is not None and not future.done():
            future.set_result(answer)
