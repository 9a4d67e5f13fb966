"""Decides at the entry which requests begin while a service on their chain has too much work."""

import math
from dataclasses import dataclass, field

from apricotwalk.core import CallFailure, Verdict
from apricotwalk.routing._pressures import ServicePressures

__all__ = ["ChainGate"]

# Above nine tenths of the slots, calls wait longer than chains of ten calls can bear.
TARGET_PRESSURE = 0.9
# Demand at a callee follows a change at the entries after about 0.5 s (half a second of memory
# and the time of the chain); a gain above pi / 2 over that delay oscillates.
GAIN_PER_SECOND = 1.5
# A share is not moved further than this by one look; looks are rare at entries with few requests.
LONGEST_STEP_SECONDS = 0.5
ADJUST_SECONDS = 0.05
# So much is begun in any case: replies are the only news of a service.
LEAST_SHARE = 0.05
# A less urgent rank keeps at least so much of the share of the next more urgent one.
LEAST_RANK_RATIO = 0.75
# Routes keep the services that made them fail for as long as a surge and its echo last.
CHAIN_MEMORY_SECONDS = 30.0
DEMAND_MEMORY_SECONDS = 2.0
# Callers that are turned away come back after the surge has moved, later the deeper it is.
LEAST_RETRY_AFTER_SECONDS = 0.5
RETRY_AFTER_SPAN_SECONDS = 2.0


@dataclass(slots=True)
class _Flow:
    """The demand of one route at this entry, and its place in the sequence of refusals."""

    rank: int = 0
    arrivals: float = 0.0
    arrived: float = 0.0
    credit: float = 1.0
    blamed_at_by_service: dict[str, float] = field(default_factory=dict)

    def demand(self, now: float) -> float:
        return self.arrivals * math.exp(-max(0.0, now - self.arrived) / DEMAND_MEMORY_SECONDS)

    def arrive(self, rank: int, now: float) -> None:
        self.rank = rank
        self.arrivals = self.demand(now) + 1.0
        self.arrived = now

    def services(self, now: float) -> list[str]:
        return [
            service
            for service, blamed_at in self.blamed_at_by_service.items()
            if now - blamed_at <= CHAIN_MEMORY_SECONDS
        ]


@dataclass(slots=True)
class _Share:
    """The part of the demand for one service that may begin."""

    value: float = 1.0
    adjusted: float = 0.0


class ChainGate:
    """Lets a part of the requests begin whose chains pass a service under pressure.

    Parameters
    ----------
    pressures : ServicePressures
        What replies say of services.

    Notes
    -----
    The load pattern it answers: each request makes many calls of a narrow service, and a surge
    asks for more than that service can take.  Refused there, most requests fail after several
    of their calls have run, and goodput falls far below what would fit.

    A route belongs to the chain of a service once a failure of its requests was put down to
    that service.  The share of requests that begin follows the pressure of the service by
    integral control.  Within the share the more urgent ranks come first; a less urgent one
    keeps three quarters of the share of the next more urgent one.  Refusals are spread evenly
    over a route's requests, so that a share holds also where few arrive.

    References
    ----------
    .. [1] J. Park et al., "TopFull: An Adaptive Top-Down Overload Control for SLO-Oriented
       Microservices", SIGCOMM 2024.
    .. [2] H. Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018.
    """

    def __init__(self, pressures: ServicePressures) -> None:
        self._pressures = pressures
        self._flows_by_route: dict[str, _Flow] = {}
        self._shares_by_service: dict[str, _Share] = {}

    def require(self, route: str, rank: int, now: float) -> None:
        """Count a request of a caller in, and refuse it if it is not to begin.

        Raises
        ------
        CallFailure
            With verdict ``NOT_RUN`` and the time after which to come back.
        """
        flow = self._flows_by_route.setdefault(route, _Flow())
        flow.arrive(rank, now)
        services = flow.services(now)
        if not services:
            return
        share, service = min((self._route_share(flow, name, now), name) for name in services)
        flow.credit = min(1.0, flow.credit + share)
        if flow.credit >= 1.0:
            flow.credit -= 1.0
            return
        raise CallFailure(
            Verdict.NOT_RUN,
            "chain-overloaded",
            f"{service} has no room for the calls of {route}, {share:.2f} of which begin",
            503,
            retry_after=LEAST_RETRY_AFTER_SECONDS + RETRY_AFTER_SPAN_SECONDS * (1.0 - share),
        )

    def blame(self, route: str, service: str, now: float) -> None:
        """Take note that a request failed because a service on its chain had no room."""
        flow = self._flows_by_route.setdefault(route, _Flow())
        flow.blamed_at_by_service[service] = now

    def forget_others(self, routes: set[str]) -> None:
        """Drop what is held for routes that are gone."""
        self._flows_by_route = {r: f for r, f in self._flows_by_route.items() if r in routes}

    def share(self, service: str, now: float) -> float:
        """Return the part of the demand for a service that may begin."""
        share = self._shares_by_service.setdefault(service, _Share(adjusted=now))
        elapsed = now - share.adjusted
        if elapsed < ADJUST_SECONDS:
            return share.value
        share.adjusted = now
        pressure = self._pressures.pressure(service, now) or 0.0
        # Without news, or far from its target, a share doubles in half a second at most.
        ratio = TARGET_PRESSURE / max(TARGET_PRESSURE / math.e, pressure)
        power = GAIN_PER_SECOND * min(LONGEST_STEP_SECONDS, elapsed)
        share.value = min(1.0, max(LEAST_SHARE, share.value * ratio**power))
        return share.value

    def _route_share(self, flow: _Flow, service: str, now: float) -> float:
        """Return the part of a route's requests that may begin for the sake of a service."""
        demand_by_rank: dict[int, float] = {}
        for other in self._flows_by_route.values():
            if service in other.services(now):
                demand = demand_by_rank.get(other.rank, 0.0)
                demand_by_rank[other.rank] = demand + other.demand(now)
        budget = self.share(service, now) * sum(demand_by_rank.values())
        return _divide(demand_by_rank, budget)[flow.rank]


def _divide(demand_by_rank: dict[int, float], budget: float) -> dict[int, float]:
    """Return the share of each rank, the most urgent first, none far below the next one."""
    shares_by_rank: dict[int, float] = {}
    ranks = sorted(demand_by_rank)
    for position, rank in enumerate(ranks):
        weighted = sum(
            demand_by_rank[other] * LEAST_RANK_RATIO**step
            for step, other in enumerate(ranks[position:])
        )
        share = min(1.0, budget / weighted) if weighted > 0.0 else 1.0
        shares_by_rank[rank] = share
        budget -= share * demand_by_rank[rank]
    return shares_by_rank
