"""Requests to other nodes that are answered by datagram."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["PendingAnswers"]

Answer = TypeVar("Answer")


class PendingAnswers(Generic[Answer]):
    """Matches answers that arrive by datagram to the tasks that await them."""

    def __init__(self) -> None:
        self._futures_by_key: dict[object, asyncio.Future[Answer]] = {}

    async def request(
        self, key: object, send: Callable[[], None], timeout_seconds: float
    ) -> Answer | None:
        """Send a request and return its answer, or None if it timed out."""
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
        """Pass an answer to the task that awaits it; ignore it if no task does."""
        future = self._futures_by_key.get(key)
        if future is not None and not future.done():
            future.set_result(answer)
