"""Weighted traffic split of a route among services."""

import random

from apricotwalk.border import Route, ServiceShare

__all__ = ["ServiceSplitter"]


class ServiceSplitter:
    """Distributes the requests of each route by smooth weighted round robin.

    Parameters
    ----------
    generator : random.Random
        Randomizes the start of each route's cycle, so that nodes are not synchronized.

    Notes
    -----
    The number of requests sent to a service deviates from its share by at most one.  A random
    choice would deviate more on a node with little traffic.  The load of the services is not
    considered: the operator's weights apply even while one of the services rejects requests.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._credits_by_shares: dict[tuple[ServiceShare, ...], list[float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of `route` and advance its cycle."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        total_weight = sum(share.weight for share in shares)
        credits = self._credits_by_shares.get(shares)
        if credits is None:
            credits = [self._random.uniform(0.0, total_weight) for _ in shares]
            self._credits_by_shares[shares] = credits
        for index, share in enumerate(shares):
            credits[index] += share.weight
        chosen_index = max(range(len(shares)), key=credits.__getitem__)
        credits[chosen_index] -= total_weight
        return shares[chosen_index].service

    def forget_others(self, routes: tuple[Route, ...]) -> None:
        """Remove the state of splits that none of `routes` has."""
        kept = {route.shares for route in routes}
        self._credits_by_shares = {
            shares: credits for shares, credits in self._credits_by_shares.items() if shares in kept
        }
