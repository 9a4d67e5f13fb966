"""Supervised services with explicit start and close."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from loguru import logger

__all__ = ["Service", "Supervisor"]

INITIAL_RESTART_DELAY_SECONDS = 0.05
MAX_RESTART_DELAY_SECONDS = 5.0


class Service(ABC):
    """A component that holds resources between `start` and `close`."""

    @abstractmethod
    async def start(self) -> None:
        """Acquire the resources and start to operate."""

    @abstractmethod
    async def close(self) -> None:
        """Stop operating and release the resources; calling it again has no effect."""


class Supervisor(Service):
    """Starts services in order, closes them in reverse order and restarts failed loops.

    Parameters
    ----------
    name : str
        Name in log lines and error messages.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._services: list[Service] = []
        self._loops: set[asyncio.Task[None]] = set()
        self._started: list[Service] = []

    def add(self, service: Service) -> None:
        """Add a service to be started by `start`."""
        self._services.append(service)

    async def start(self) -> None:
        """Start the services in the order in which they were added.

        Raises
        ------
        Exception
            Any exception raised by a service, after the started services have been closed.
        """
        for service in self._services:
            try:
                await service.start()
            except BaseException:
                await self.close()
                raise
            self._started.append(service)

    async def close(self) -> None:
        """Cancel the loops and close the started services in reverse order.

        Raises
        ------
        ExceptionGroup
            If services raised exceptions while closing; it contains all of them.
        """
        for loop in self._loops:
            loop.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        errors: list[Exception] = []
        while self._started:
            service = self._started.pop()
            try:
                await service.close()
            except Exception as error:
                errors.append(error)
        if errors:
            raise ExceptionGroup(f"closing {self._name}", errors)

    def run_loop(self, name: str, body: Callable[[], Awaitable[None]]) -> None:
        """Run `body` in its own task and restart it with exponential back-off when it raises."""
        task = asyncio.create_task(self._run_with_restarts(name, body), name=name)
        self._loops.add(task)
        task.add_done_callback(self._loops.discard)

    async def _run_with_restarts(self, name: str, body: Callable[[], Awaitable[None]]) -> None:
        delay = INITIAL_RESTART_DELAY_SECONDS
        while True:
            try:
                await body()
                return
            except Exception as error:
                logger.opt(exception=error).error("{}: loop {} failed", self._name, name)
            await asyncio.sleep(delay)
            delay = min(delay * 2, MAX_RESTART_DELAY_SECONDS)
