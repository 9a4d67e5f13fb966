"""Era of the store, by which its restoration from a copy is detected."""

from collections.abc import Callable

from apricotwalk.telemetry import DecisionLog

__all__ = ["StoreEra"]


class StoreEra:
    """Newest era of the store that this node knows, from the store itself or from peers.

    Parameters
    ----------
    log : DecisionLog
        Records each restoration.

    Attributes
    ----------
    value : int
        The newest era, or 0 if none is known.

    Notes
    -----
    A restored store has lost the records that were written after the copy, and gives out their
    offsets again.  An offset is therefore valid only in the era in which it was read.
    """

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self.value = 0
        self.on_restoration: Callable[[], None] = lambda: None

    def observe(self, era: int, source: str) -> None:
        """Take note of an era; an older one than the newest known has no effect."""
        if era <= self.value:
            return
        previous, self.value = self.value, era
        if previous:
            self._log.record_state_change("store-restored", era=era, former=previous, source=source)
            self.on_restoration()
