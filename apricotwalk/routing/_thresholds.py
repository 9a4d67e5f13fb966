"""What each service can take, learned from answers."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from apricotwalk.admission import HIGHEST_LEVEL, LEVELS_PER_RANK, Stream

__all__ = ["CalleeReport", "CalleeThresholds"]

RISE_SMOOTHING = 0.4
FALL_SMOOTHING = 0.7
TRUST_SECONDS = 0.6
LEVELS_REGAINED_PER_SECOND = 128.0
LEVELS_RAISED_PER_SECOND = 1024.0
LARGEST_SHARE_STEP = 1.0
LARGEST_SHARE_COUNT = 4096
LARGEST_LEVEL_STEP = float(LEVELS_PER_RANK)
SHARE_REGAINED_PER_SECOND = 0.25


@dataclass(slots=True)
class CalleeReport:
    """What the services on a chain said of themselves.

    Parameters
    ----------
    levels : dict of str to int
        Highest level that each service admits.
    floor_shares : dict of str to float
        Share of the stream's demand that its floor pays for, by service.
    """

    levels: dict[str, int] = field(default_factory=dict)
    floor_shares: dict[str, float] = field(default_factory=dict)

    def merge(self, levels: dict[str, int], floor_shares: dict[str, float]) -> None:
        """Add a further report; the newest one of a service counts."""
        self.levels.update(levels)
        self.floor_shares.update(floor_shares)


@dataclass(slots=True)
class _Estimate:
    value: float
    learned: float

    def update(self, value: float, largest_step: float, gain_per_second: float, now: float) -> None:
        """Move to a report.

        Notes
        -----
        A report far below counts at once as far as `largest_step` above it.  The rise is
        bounded by that step and by the time since the report before, so that an entry with
        few answers regains a level as soon as one with many.
        """
        self.value = min(self.value, value + largest_step)
        smoothing = FALL_SMOOTHING if value < self.value else RISE_SMOOTHING
        step = largest_step + gain_per_second * max(0.0, now - self.learned)
        self.value += smoothing * min(step, value - self.value)
        self.learned = now

    def relaxed(self, gain_per_second: float, now: float) -> float:
        unheard = max(0.0, now - self.learned - TRUST_SECONDS)
        return self.value + gain_per_second * unheard


class CalleeThresholds:
    """Decides before work begins whether every service on a chain would admit a request.

    Notes
    -----
    An answer names the services on its chain and the highest level that each admits.  A
    request is admitted if each of them admits its level, or its floor pays for it.  The entry
    decides, and the node beside the first server decides again right before the work, because
    it hears from the services below more often.  Reports of the members of a service are
    smoothed; one that is not renewed is relaxed step by step, so that the entry tries again.

    References
    ----------
    .. [1] H. Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018.
    .. [2] J. Park et al., "TopFull: An Adaptive Top-Down Overload Control for SLO-Oriented
       Microservices", SIGCOMM 2024.
    """

    def __init__(self) -> None:
        self._services_by_route: dict[str, set[str]] = {}
        self._levels_by_service: dict[str, _Estimate] = {}
        self._shares_by_stream: OrderedDict[tuple[Stream, str], _Estimate] = OrderedDict()

    def update(self, route: str, stream: Stream, report: CalleeReport, now: float) -> None:
        """Take note of what an answer said of the services on its chain."""
        self._services_by_route.setdefault(route, set()).update(report.levels)
        for service, level in report.levels.items():
            estimate = self._levels_by_service.setdefault(service, _Estimate(level, now))
            estimate.update(level, LARGEST_LEVEL_STEP, LEVELS_RAISED_PER_SECOND, now)
        for service, share in report.floor_shares.items():
            key = (stream, service)
            estimate = self._shares_by_stream.setdefault(key, _Estimate(share, now))
            estimate.update(share, LARGEST_SHARE_STEP, SHARE_REGAINED_PER_SECOND, now)
            self._shares_by_stream.move_to_end(key)
        while len(self._shares_by_stream) > LARGEST_SHARE_COUNT:
            self._shares_by_stream.popitem(last=False)

    def add_callees(self, route: str, services: Iterable[str]) -> None:
        """Take note of the services that were called while a route was worked on."""
        self._services_by_route.setdefault(route, set()).update(services)

    def has_callees(self, route: str, service: str) -> bool:
        """Return whether work of a route is known to call other services than its own."""
        return any(name != service for name in self._services_by_route.get(route, ()))

    def admitted_levels(self, route: str, now: float) -> dict[str, int]:
        """Return the levels that services on a route's chain are taken to admit."""
        return {
            service: self._highest_level(self._levels_by_service[service], now)
            for service in self._services_by_route.get(route, ())
            if service in self._levels_by_service
        }

    def admits(self, route: str, stream: Stream, level: int, now: float) -> bool:
        """Return whether every service on the route's chain would admit a request."""
        services = self._services_by_route.get(route, ())
        return all(self._service_admits(service, stream, level, now) for service in services)

    def _service_admits(self, service: str, stream: Stream, level: int, now: float) -> bool:
        estimate = self._levels_by_service.get(service)
        if estimate is None:
            return True
        if level <= self._highest_level(estimate, now):
            return True
        share = self._shares_by_stream.get((stream, service))
        if share is None:
            return False
        position = (level % LEVELS_PER_RANK + 0.5) / LEVELS_PER_RANK
        return position <= share.relaxed(SHARE_REGAINED_PER_SECOND, now)

    def _highest_level(self, estimate: _Estimate, now: float) -> int:
        return min(HIGHEST_LEVEL, int(estimate.relaxed(LEVELS_REGAINED_PER_SECOND, now)))
