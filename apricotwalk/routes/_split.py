"""Division of a route's requests among services by weight."""

import random

from apricotwalk.border import Route, ServiceShare

__all__ = ["ServiceSplitter"]


class ServiceSplitter:
    """Smooth weighted round robin over the services of each route.

    Parameters
    ----------
    generator : random.Random
        Places the start of each route's cycle, so that nodes do not move in step.

    Notes
    -----
    What is sent to each service never strays from its share by more than one request, which
    random choice exceeds for a node with little traffic.  Whether a service has room plays no
    part: the operator's weights hold also while one of them turns requests away.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._credits_by_shares: dict[tuple[ServiceShare, ...], list[float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        total = sum(share.weight for share in shares)
        credits = self._credits_by_shares.get(shares)
        if credits is None:
            credits = [self._random.uniform(0.0, total) for _ in shares]
            self._credits_by_shares[shares] = credits
        for index, share in enumerate(shares):
            credits[index] += share.weight
        chosen = max(range(len(shares)), key=credits.__getitem__)
        credits[chosen] -= total
        return shares[chosen].service

    def forget_others(self, routes: tuple[Route, ...]) -> None:
        """Drop what is held for splits that no route has any more."""
        kept = {route.shares for route in routes}
        self._credits_by_shares = {
            shares: credits for shares, credits in self._credits_by_shares.items() if shares in kept
        }
