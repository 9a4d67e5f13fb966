"""Detection of failures that a retry at another server would repeat."""

__all__ = ["SystemicFailureDetector"]

# The average covers about ten requests, which one route receives at one entry node in a second or
# two.
SMOOTHING_FACTOR = 0.1
# A third of first attempts fails if one of three servers with equal shares of a service fails; the
# threshold is slightly above that.
SYSTEMIC_FAILURE_SHARE = 0.35


class SystemicFailureDetector:
    """Moving average of the share of first attempts that end in a server's failure, by route.

    Notes
    -----
    The detector prevents retries from amplifying an overload.  When a service deep in a chain
    is overloaded, most calls above it end in a failure of the server that called it.  Each
    retry then repeats all of the inner calls and displaces first attempts.  A single failing
    server among healthy ones causes a smaller share of failures, and retries then succeed.

    Examples
    --------
    >>> failures = SystemicFailureDetector()
    >>> for _ in range(10):
    ...     failures.observe("menu", True)
    >>> failures.are_systemic("menu"), failures.are_systemic("roster")
    (True, False)
    """

    def __init__(self) -> None:
        self._share_by_route: dict[str, float] = {}

    def observe(self, route: str, has_failed: bool) -> None:
        """Record whether a first attempt has failed."""
        share = self._share_by_route.get(route, 0.0)
        self._share_by_route[route] = share + SMOOTHING_FACTOR * (has_failed - share)

    def are_systemic(self, route: str) -> bool:
        """Return whether a retry at another server is likely to fail as well."""
        return self._share_by_route.get(route, 0.0) > SYSTEMIC_FAILURE_SHARE

    def forget_others(self, routes: set[str]) -> None:
        """Discard the averages of all routes but `routes`."""
        self._share_by_route = {r: s for r, s in self._share_by_route.items() if r in routes}
