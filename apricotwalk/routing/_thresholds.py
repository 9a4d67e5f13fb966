"""Admission levels of downstream services, estimated from answers."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from apricotwalk.admission import HIGHEST_LEVEL, LEVELS_PER_RANK, Stream

__all__ = ["CalleeReport", "CalleeThresholds"]

RISE_SMOOTHING_FACTOR = 0.4
FALL_SMOOTHING_FACTOR = 0.7
REPORT_VALIDITY_SECONDS = 0.6
LEVELS_REGAINED_PER_SECOND = 128.0
LEVELS_RAISED_PER_SECOND = 1024.0
MAX_SHARE_STEP = 1.0
MAX_SHARE_COUNT = 4096
MAX_LEVEL_STEP = float(LEVELS_PER_RANK)
SHARE_REGAINED_PER_SECOND = 0.25


@dataclass(slots=True)
class CalleeReport:
    """Admission state that the services on a call chain report in answers.

    Parameters
    ----------
    levels : dict of str to int
        Highest level that each service admits, by service.
    floor_shares : dict of str to float
        Share of the stream's demand that its floor covers, by service.
    """

    levels: dict[str, int] = field(default_factory=dict)
    floor_shares: dict[str, float] = field(default_factory=dict)

    def merge(self, levels: dict[str, int], floor_shares: dict[str, float]) -> None:
        """Add a further report, which replaces earlier values of the same services."""
        self.levels.update(levels)
        self.floor_shares.update(floor_shares)


@dataclass(slots=True)
class _Estimate:
    value: float
    updated_at: float

    def update(self, value: float, max_step: float, gain_per_second: float, now: float) -> None:
        """Move the estimate towards a reported value.

        Notes
        -----
        If the report is far below the estimate, the estimate drops immediately to `max_step`
        above the report.  A rise is bounded by `max_step` and by the time since the
        previous report, so that an entry node that receives few answers recovers as fast as
        one that receives many.
        """
        self.value = min(self.value, value + max_step)
        smoothing = FALL_SMOOTHING_FACTOR if value < self.value else RISE_SMOOTHING_FACTOR
        step = max_step + gain_per_second * max(0.0, now - self.updated_at)
        self.value += smoothing * min(step, value - self.value)
        self.updated_at = now

    def relaxed(self, gain_per_second: float, now: float) -> float:
        stale_seconds = max(0.0, now - self.updated_at - REPORT_VALIDITY_SECONDS)
        return self.value + gain_per_second * stale_seconds


class CalleeThresholds:
    """Predicts whether every service on a call chain would admit a request.

    Notes
    -----
    An answer contains the services on its chain and the highest level that each admits.  A
    request is admitted if each of them admits its level or if the floor of its stream covers
    it.  The entry node decides first, and the node of the first server decides again right before
    execution, because it receives answers of the downstream services more often.  Reports of
    the members of a service are smoothed.  A report that is not renewed is relaxed gradually,
    so that the entry node probes the service again.

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
        """Update the estimates with the report in an answer to a request of a route and stream."""
        self._services_by_route.setdefault(route, set()).update(report.levels)
        for service, level in report.levels.items():
            estimate = self._levels_by_service.setdefault(service, _Estimate(level, now))
            estimate.update(level, MAX_LEVEL_STEP, LEVELS_RAISED_PER_SECOND, now)
        for service, share in report.floor_shares.items():
            key = (stream, service)
            estimate = self._shares_by_stream.setdefault(key, _Estimate(share, now))
            estimate.update(share, MAX_SHARE_STEP, SHARE_REGAINED_PER_SECOND, now)
            self._shares_by_stream.move_to_end(key)
        while len(self._shares_by_stream) > MAX_SHARE_COUNT:
            self._shares_by_stream.popitem(last=False)

    def add_callees(self, route: str, services: Iterable[str]) -> None:
        """Add services that were called during the execution of a route."""
        self._services_by_route.setdefault(route, set()).update(services)

    def has_callees(self, route: str, service: str) -> bool:
        """Return whether requests of a route are known to call services other than `service`."""
        return any(name != service for name in self._services_by_route.get(route, ()))

    def admitted_levels(self, route: str, now: float) -> dict[str, int]:
        """Return the estimated highest admitted level of each known service on a route's chain."""
        return {
            service: self._highest_level(self._levels_by_service[service], now)
            for service in self._services_by_route.get(route, ())
            if service in self._levels_by_service
        }

    def admits(self, route: str, stream: Stream, level: int, now: float) -> bool:
        """Return whether every service on the route's chain is expected to admit a request."""
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
