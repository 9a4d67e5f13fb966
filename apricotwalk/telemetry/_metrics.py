"""Metrics sent to a StatsD collector over UDP."""

from typing import Any

from apricotwalk.settings import Address, StatsdSettings

__all__ = ["Metrics"]

MAX_NAME_COUNT = 128
OVERFLOW_NAME = "metrics.overflow"


class Metrics:
    """Counters and timings with a bounded number of names.

    Parameters
    ----------
    settings : StatsdSettings or None
        Address of the collector and prefix of the names; None disables the metrics.
    """

    def __init__(self, settings: StatsdSettings | None) -> None:
        self._client: Any = None
        self._names: set[str] = set()
        if settings is None:
            return
        from statsd import StatsClient  # statsd is imported only if metrics are enabled.

        address = Address.parse(settings.address)
        self._client = StatsClient(address.host, address.port, prefix=settings.prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Increment the counter `name` by `amount`."""
        if self._client is not None:
            self._client.incr(self._bounded_name(name), amount)

    def time(self, name: str, seconds: float) -> None:
        """Record a duration in seconds under `name`."""
        if self._client is not None:
            self._client.timing(self._bounded_name(name), seconds * 1000)

    def close(self) -> None:
        """Release the socket."""
        if self._client is not None:
            self._client.close()

    def _bounded_name(self, name: str) -> str:
        if name not in self._names:
            if len(self._names) >= MAX_NAME_COUNT:
                return OVERFLOW_NAME
            self._names.add(name)
        return name
