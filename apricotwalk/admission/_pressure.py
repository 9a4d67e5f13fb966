"""Demand on one backend server over what it can carry."""

import math

__all__ = ["PressureMeter"]

# Half a second holds some thirty calls of the narrowest service of the users' meshes.
MEMORY_SECONDS = 0.5
# Calls deep in a chain leave about half a second, so a backlog has to go within half of that.
BACKLOG_DRAIN_SECONDS = 0.25


class PressureMeter:
    """The slots that arriving and waiting work needs, over the slots that there are.

    Notes
    -----
    The load pattern it answers: calls of many chains meet at one service.  In-flight work over
    slots says nothing above 1, where the excess waits or is refused; demand still grows there,
    so callers learn from it by how much to reduce what they begin.

    Examples
    --------
    >>> meter = PressureMeter()
    >>> for step in range(1, 501):
    ...     meter.add(0.04, now=step * 0.01)  # 100 calls a second of 40 ms need four slots
    >>> round(meter.pressure(slots=2, backlog_seconds=0.0, now=5.0), 1)
    2.0
    """

    def __init__(self) -> None:
        self._cost_seconds = 0.0
        self._updated = 0.0

    def add(self, cost_seconds: float, now: float) -> None:
        """Take note of work that asks to be run."""
        self._cost_seconds = self._kept(now) + cost_seconds
        self._updated = now

    def pressure(self, slots: int, backlog_seconds: float, now: float) -> float:
        """Return demand over capacity.

        Parameters
        ----------
        slots : int
            Work that the server runs at once.
        backlog_seconds : float
            Time for which the waiting work would occupy a slot.
        now : float
            Monotonic time in seconds.
        """
        needed = self._kept(now) / MEMORY_SECONDS + backlog_seconds / BACKLOG_DRAIN_SECONDS
        return needed / max(1, slots)

    def _kept(self, now: float) -> float:
        return self._cost_seconds * math.exp(-max(0.0, now - self._updated) / MEMORY_SECONDS)
