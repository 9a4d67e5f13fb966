"""What services on chains said of the demand on them."""

from dataclasses import dataclass

__all__ = ["ServicePressures"]

# Ten reports, about one from each member of a service on the users' meshes.
SMOOTHING = 0.1
# A service without news for so long is taken to have room; at load, news come each few ms.
TRUST_SECONDS = 1.0
# Lower pressures call for nothing and are not worth their bytes in each reply.
LEAST_TOLD = 0.5


@dataclass(slots=True)
class _Report:
    pressure: float
    heard: float


class ServicePressures:
    """Demand over capacity by service, as replies tell it from node to node.

    Notes
    -----
    Each node repeats what it has heard of late, so what a service at the end of a chain says
    reaches the entry with the replies of the services between.
    """

    def __init__(self) -> None:
        self._reports_by_service: dict[str, _Report] = {}

    def merge(self, pressures_by_service: dict[str, float], now: float) -> None:
        """Take note of what a reply says."""
        for service, pressure in pressures_by_service.items():
            report = self._reports_by_service.get(service)
            if report is None or now - report.heard > TRUST_SECONDS:
                self._reports_by_service[service] = _Report(pressure, now)
                continue
            report.pressure += SMOOTHING * (pressure - report.pressure)
            report.heard = now

    def recent(self, now: float) -> dict[str, float]:
        """Return the pressures worth telling, by service."""
        return {
            service: round(report.pressure, 2)
            for service, report in self._reports_by_service.items()
            if now - report.heard <= TRUST_SECONDS and report.pressure >= LEAST_TOLD
        }

    def pressure(self, service: str, now: float) -> float | None:
        """Return the pressure of a service, or None without recent news."""
        report = self._reports_by_service.get(service)
        if report is None or now - report.heard > TRUST_SECONDS:
            return None
        return report.pressure
