"""Scenarios: the overloads and faults whose effect is measured."""

from dataclasses import dataclass

from apricotwalk_lab.cities import City
from apricotwalk_lab.load import RetryPolicy, Surge

__all__ = ["FULL_TIMES", "QUICK_TIMES", "SCENARIOS", "Scenario", "Times"]

FLOOD_FACTOR = 20.0
SLOWDOWN_FACTOR = 5.0
NO_RETRIES = RetryPolicy()
AGGRESSIVE_RETRIES = RetryPolicy(tries=6, wait_seconds=0.05)


@dataclass(frozen=True, slots=True)
class Times:
    """Phases of a run, in seconds from the start of the load.

    Parameters
    ----------
    begin, end : float
        When the trigger begins and ends.
    stop : float
        When the load stops.
    """

    begin: float
    end: float
    stop: float


FULL_TIMES = Times(1.5, 4.0, 7.0)
QUICK_TIMES = Times(1.0, 3.5, 6.5)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A trigger (a surge or a fault) and the behavior of the callers.

    Parameters
    ----------
    short_name, title : str
        Name in flags and file names, and name in titles of plots.
    surge : float
        Factor on the arrival rate while the trigger lasts.
    flood : str
        ``"least"`` or ``"most"`` if only the least or most urgent route surges; empty if all
        routes surge.
    policy : RetryPolicy
        How callers retry requests without a complete answer.
    slows_deep_service : bool
        Whether the deep service takes five times as long while the trigger lasts.
    loses_zone : bool
        Whether the first availability zone is killed when the trigger begins and started again
        when it ends.
    misreports_load : bool
        Whether the first backend server of each service takes five times as long and reports a
        load of 0 while the trigger lasts.
    """

    short_name: str
    title: str
    surge: float = 1.0
    flood: str = ""
    policy: RetryPolicy = NO_RETRIES
    slows_deep_service: bool = False
    loses_zone: bool = False
    misreports_load: bool = False

    def surges(self, city: City, times: Times) -> list[Surge]:
        """Return the surge of the trigger, or an empty list if the rate does not change."""
        if self.surge == 1.0:
            return []
        routes: frozenset[str] = frozenset()
        if self.flood:
            is_least_urgent = self.flood == "least"
            routes = frozenset(
                {city.fleet.least_urgent if is_least_urgent else city.fleet.most_urgent}
            )
        return [Surge(times.begin, times.end, self.surge, routes)]

    def speed(self, city: City, service: str, index: int) -> float:
        """Return the speed of a backend server under the trigger, relative to its normal speed."""
        zones = city.fleet.availability_zones
        if self.loses_zone and index % len(zones) == 0:
            return 0.0
        if self.slows_deep_service and service == city.fleet.deep_service:
            return 1.0 / SLOWDOWN_FACTOR
        if self.misreports_load and index == 0:
            return 1.0 / SLOWDOWN_FACTOR
        return 1.0


SCENARIOS = [
    Scenario("a", "calm"),
    Scenario("b1.5", "surge 1.5x", surge=1.5),
    Scenario("b3", "surge 3x", surge=3.0),
    Scenario("b10", "surge 10x", surge=10.0),
    Scenario("c", "deep service slows fivefold", slows_deep_service=True),
    Scenario("d", "surge 3x, callers retry hard", surge=3.0, policy=AGGRESSIVE_RETRIES),
    Scenario("e", "least urgent floods", surge=FLOOD_FACTOR, flood="least"),
    Scenario("f", "most urgent floods", surge=2 * FLOOD_FACTOR, flood="most"),
    Scenario("g", "a zone is gone", loses_zone=True),
    Scenario("h", "load reports lie", misreports_load=True),
]
