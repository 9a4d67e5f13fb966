"""Nodes that subscribe to member changes of this node's service."""

from apricotwalk.core import Clock
from apricotwalk.settings import Address

__all__ = ["Watchers"]

MIN_INTERVAL_SECONDS = 5.0
MAX_ANSWERS_PER_SECOND = 20.0
EXPIRY_INTERVAL_COUNT = 3
MAX_WATCHER_COUNT = 4096


class Watchers:
    """Registers watchers and sets the interval of their queries.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    The interval grows with the number of watchers, so that a member answers at most about 20
    queries per second however many nodes call its service.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._expiry_by_address: dict[Address, float] = {}

    def add(self, address: Address) -> float:
        """Register or renew a watcher and return the time in seconds until its next query."""
        interval = max(MIN_INTERVAL_SECONDS, len(self._expiry_by_address) / MAX_ANSWERS_PER_SECOND)
        if address in self._expiry_by_address or self._has_room():
            self._expiry_by_address[address] = (
                self._clock.monotonic() + EXPIRY_INTERVAL_COUNT * interval
            )
        return interval

    def current(self) -> list[Address]:
        """Remove expired watchers and return the others."""
        now = self._clock.monotonic()
        kept = {address: until for address, until in self._expiry_by_address.items() if until > now}
        self._expiry_by_address = kept
        return list(kept)

    def _has_room(self) -> bool:
        if len(self._expiry_by_address) < MAX_WATCHER_COUNT:
            return True
        return len(self.current()) < MAX_WATCHER_COUNT
