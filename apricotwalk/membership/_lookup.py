"""Whom to ask for the members of a service of which none is known."""

from collections.abc import Callable

from apricotwalk.core import Clock
from apricotwalk.membership._directory import Directory
from apricotwalk.settings import Address

__all__ = ["Lookup"]

FIRST_BATCH_SIZE = 4
LARGEST_BATCH_SIZE = 32
DIRECTORY_INTERVAL_SECONDS = 2.0


class Lookup:
    """Goes from the newest listed nodes of a service on to older ones, then to other peers.

    Parameters
    ----------
    service : str
        The service.
    directory : Directory
        Lists where nodes of the service listened when they started.
    other_peers : callable
        Returns some nodes to ask while no listed one is left.
    clock : Clock
        Source of time.

    Notes
    -----
    Where many nodes were replaced in a row the newest records may all be of nodes that are
    gone.  The batches double, so that a long list of them is passed over in a few steps.
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
        self._unasked: list[Address] = []
        self._batch_size = FIRST_BATCH_SIZE
        self._read_at = clock.monotonic() - DIRECTORY_INTERVAL_SECONDS

    @property
    def has_unqueried(self) -> bool:
        """Whether listed nodes are left that were not asked yet."""
        return bool(self._unasked)

    def restart(self) -> None:
        """Begin with the newest record again."""
        self._unasked = []
        self._batch_size = FIRST_BATCH_SIZE

    async def next_batch(self) -> list[Address]:
        """Return the nodes to ask next."""
        if not self._unasked:
            await self._read_directory()
        if not self._unasked:
            return self._other_peers()
        batch = self._unasked[: self._batch_size]
        self._unasked = self._unasked[self._batch_size :]
        self._batch_size = min(LARGEST_BATCH_SIZE, 2 * self._batch_size)
        return batch

    async def _read_directory(self) -> None:
        now = self._clock.monotonic()
        if now - self._read_at < DIRECTORY_INTERVAL_SECONDS:
            return
        self._read_at = now
        self._unasked = await self._directory.find(self._service)
        self._batch_size = FIRST_BATCH_SIZE
