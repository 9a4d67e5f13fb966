"""How long the backend server takes for each kind of work."""

from dataclasses import dataclass

__all__ = ["ServiceTimes"]

# Five pieces of work, of which a narrow service does as many in 10 ms.
SMOOTHING = 0.2
# The shortest work of the users' tables; it is replaced by the first measurement.
FIRST_GUESS_SECONDS = 0.02
# Ten times the usual work; a time that was not confirmed for longer may be old.
TRUST_SECONDS = 1.0
# Four probes a second find the end of a slow stretch and cost little of a server.
PROBE_INTERVAL_SECONDS = 0.25
# Of the first total time, as RFC 6298 begins.
FIRST_DEVIATION_SHARE = 0.5


@dataclass(slots=True)
class _Times:
    own: float
    total: float
    observed: float
    total_deviation: float
    probed: float = 0.0


class ServiceTimes:
    """Smoothed time that the backend server takes, by route.

    Notes
    -----
    *Own* time leaves out what the server waits for inner calls; it is what occupies the
    server.  *Total* time is what passes until the answer.  While no total time is observed,
    some work is a probe: it is tried although it seems hopeless, so that the end of a slow
    stretch is seen.

    The deviation is smoothed as the one of round trip times in TCP [1]_.

    References
    ----------
    .. [1] V. Paxson et al., "Computing TCP's Retransmission Timer", RFC 6298, 2011.
    """

    def __init__(self) -> None:
        self._mean_own = FIRST_GUESS_SECONDS
        self._times_by_route: dict[str, _Times] = {}

    def observe(self, route: str, own_seconds: float, total_seconds: float, now: float) -> None:
        """Take note of one complete piece of work."""
        self._mean_own += SMOOTHING * (own_seconds - self._mean_own)
        times = self._times_by_route.get(route)
        if times is None:
            deviation = FIRST_DEVIATION_SHARE * total_seconds
            self._times_by_route[route] = _Times(own_seconds, total_seconds, now, deviation)
            return
        times.own += SMOOTHING * (own_seconds - times.own)
        deviation = abs(total_seconds - times.total)
        times.total_deviation += SMOOTHING * (deviation - times.total_deviation)
        times.total += SMOOTHING * (total_seconds - times.total)
        times.observed = now

    def own(self, route: str) -> float:
        """Return the expected own time in seconds."""
        times = self._times_by_route.get(route)
        return FIRST_GUESS_SECONDS if times is None else times.own

    def mean_own(self) -> float:
        """Return the smoothed own time of all work in seconds."""
        return self._mean_own

    def total(self, route: str) -> float:
        """Return the expected total time in seconds, 0 while nothing is known."""
        times = self._times_by_route.get(route)
        return 0.0 if times is None else times.total

    def quick_total(self, route: str) -> float:
        """Return the total time in seconds of work that is quicker than usual.

        Returns
        -------
        float
            The expected total time less its mean deviation; 0 while nothing is known.
        """
        times = self._times_by_route.get(route)
        if times is None:
            return 0.0
        return max(0.0, times.total - times.total_deviation)

    def take_probe(self, route: str, now: float) -> bool:
        """Return whether work that seems hopeless is to be tried, at most four times a second."""
        times = self._times_by_route.get(route)
        if times is None or now - times.observed < TRUST_SECONDS:
            return False
        if now - times.probed < PROBE_INTERVAL_SECONDS:
            return False
        times.probed = now
        return True
