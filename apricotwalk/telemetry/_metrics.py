"""Metrics sent to a statsd collector over UDP."""

from typing import Any

from apricotwalk.settings import Address, StatsdSettings

__all__ = ["Metrics"]

MAX_NAME_COUNT = 128
OVERFLOW_NAME = "metrics.overflow"


class Metrics:
    """Counters and timings under a bounded set of names.

    Parameters
    ----------
    settings : StatsdSettings or None
        Where to send; without it every call returns at once.
    """

    def __init__(self, settings: StatsdSettings | None) -> None:
        self._client: Any = None
        self._names: set[str] = set()
        if settings is None:
            return
        from statsd import StatsClient  # loaded only where metrics are sent

        address = Address.parse(settings.address)
        self._client = StatsClient(address.host, address.port, prefix=settings.prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        if self._client is not None:
            self._client.incr(self._bounded(name), amount)

    def time(self, name: str, seconds: float) -> None:
        """Record a duration in seconds under `name`."""
        if self._client is not None:
            self._client.timing(self._bounded(name), seconds * 1000)

    def close(self) -> None:
        """Release the socket."""
        if self._client is not None:
            self._client.close()

    def _bounded(self, name: str) -> str:
        if name not in self._names:
            if len(self._names) >= MAX_NAME_COUNT:
                return OVERFLOW_NAME
            self._names.add(name)
        return name
