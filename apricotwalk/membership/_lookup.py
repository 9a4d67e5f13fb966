"""Choice of the nodes to query for a service without known members."""

from collections.abc import Callable

from apricotwalk.core import Clock
from apricotwalk.membership._directory import Directory
from apricotwalk.settings import Address

__all__ = ["Lookup"]

INITIAL_BATCH_COUNT = 4
MAX_BATCH_COUNT = 32
DIRECTORY_INTERVAL_SECONDS = 2.0


class Lookup:
    """Iterates over the registered nodes of a service, newest first, then over other peers.

    Parameters
    ----------
    service : str
        The service.
    directory : Directory
        Lists the addresses at which nodes of the service registered.
    other_peers : callable
        Returns some nodes to query when no registered one is left.
    clock : Clock
        Source of time.

    Notes
    -----
    After many successive replacements, the newest records may all belong to nodes that no
    longer exist.  The batch size doubles so that few batches are needed to skip them.
    """

    def __init__(
        self,
        service: str,
        directory: Directory,
        other_peers: Callable[[], list[Address]],
        clock: Clock,
    ) -> None:
        self._service = service
        self._directory = directory
        self._other_peers = other_peers
        self._clock = clock
        self._unqueried: list[Address] = []
        self._batch_size = INITIAL_BATCH_COUNT
        self._directory_read_at = clock.monotonic() - DIRECTORY_INTERVAL_SECONDS

    @property
    def has_unqueried(self) -> bool:
        """Whether registered nodes are left that were not queried yet."""
        return bool(self._unqueried)

    def restart(self) -> None:
        """Discard the remaining addresses and restart from the newest record."""
        self._unqueried = []
        self._batch_size = INITIAL_BATCH_COUNT

    async def next_batch(self) -> list[Address]:
        """Return the addresses of the nodes to query next."""
        if not self._unqueried:
            await self._read_directory()
        if not self._unqueried:
            return self._other_peers()
        batch = self._unqueried[: self._batch_size]
        self._unqueried = self._unqueried[self._batch_size :]
        self._batch_size = min(MAX_BATCH_COUNT, 2 * self._batch_size)
        return batch

    async def _read_directory(self) -> None:
        now = self._clock.monotonic()
        if now - self._directory_read_at < DIRECTORY_INTERVAL_SECONDS:
            return
        self._directory_read_at = now
        self._unqueried = await self._directory.find(self._service)
        self._batch_size = INITIAL_BATCH_COUNT
