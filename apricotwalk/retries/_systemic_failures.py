"""Tells failures that another server would repeat from those that it would not."""

__all__ = ["SystemicFailureDetector"]

# About ten requests are remembered, a second or two of one route at one entry.
SMOOTHING = 0.1
# One failing server of three that share a service evenly makes a third of first tries fail.
SYSTEMIC_SHARE = 0.35


class SystemicFailureDetector:
    """The share of first tries that ended in a server's own failure, by route.

    Notes
    -----
    The load pattern it answers: a service deep in a chain has no room, so most work above it
    ends in a failure of the server that called it.  Each repeat then makes all of its calls
    again and takes room from first tries.  A failing server among sound ones shows as a smaller
    share, and there repeats pay.

    Examples
    --------
    >>> failures = SystemicFailures()
    >>> for _ in range(10):
    ...     failures.observe("menu", True)
    >>> failures.are_systemic("menu"), failures.are_systemic("roster")
    (True, False)
    """

    def __init__(self) -> None:
        self._share_by_route: dict[str, float] = {}

    def observe(self, route: str, has_failed: bool) -> None:
        """Take note of the outcome of a first try."""
        share = self._share_by_route.get(route, 0.0)
        self._share_by_route[route] = share + SMOOTHING * (has_failed - share)

    def are_systemic(self, route: str) -> bool:
        """Return whether another server would fail as well."""
        return self._share_by_route.get(route, 0.0) > SYSTEMIC_SHARE

    def forget_others(self, routes: set[str]) -> None:
        """Drop what is held for routes that are gone."""
        self._share_by_route = {r: s for r, s in self._share_by_route.items() if r in routes}
