"""Admission without a limit, a baseline for measurements."""

from apricotwalk.admission._interface import (
    AdmissionController,
    Outcome,
    Permit,
    WorkItem,
)

__all__ = ["UnlimitedController"]


class _CountedPermit(Permit):
    def __init__(self, controller: "UnlimitedController") -> None:
        self._controller: UnlimitedController | None = controller

    def release(self, outcome: Outcome) -> None:
        """Count the call as ended; only the first release has an effect."""
        controller, self._controller = self._controller, None
        if controller is not None:
            controller.running -= 1

    def pause(self) -> None:
        """Do nothing; the call counts as running during inner calls."""

    def resume(self) -> None:
        """Do nothing; the call counted as running during inner calls."""


class UnlimitedController(AdmissionController):
    """Admit every call without waiting."""

    def __init__(self) -> None:
        self.running = 0
        self._slots = 1

    async def acquire(self, item: WorkItem) -> Permit:
        """Admit the call immediately; see `AdmissionController.acquire`."""
        self.running += 1
        return _CountedPermit(self)

    def set_slots(self, slots: int) -> None:
        """Set the announced slots, which only `load` uses."""
        self._slots = slots

    def load(self) -> float:
        """Return the number of running calls relative to the slots."""
        return self.running / self._slots

    def in_flight(self) -> int:
        """Return the number of permits that are not yet released."""
        return self.running
