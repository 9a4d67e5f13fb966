"""Estimates of the processing and response times of a backend server by route."""

from dataclasses import dataclass

__all__ = ["ServiceTimes"]

# The average covers about five calls, which a service with few slots completes in 10 ms.
SMOOTHING_FACTOR = 0.2
# No processing time in the tables of the external platform is shorter; the first measurement
# replaces this value.
INITIAL_PROCESSING_SECONDS = 0.02
# An estimate that has not been confirmed for ten times the usual processing time may be out of
# date.
MAX_ESTIMATE_AGE_SECONDS = 1.0
# Four probes per second detect the end of a slow period and use little of a server's capacity.
PROBE_INTERVAL_SECONDS = 0.25
# As in RFC 6298, the initial deviation is half of the first response time.
INITIAL_DEVIATION_SHARE = 0.5


@dataclass(slots=True)
class _Times:
    processing_seconds: float
    response_seconds: float
    observed_at: float
    response_deviation_seconds: float
    probed_at: float = 0.0


class ServiceTimes:
    """Smoothed processing and response times of the backend server by route.

    Notes
    -----
    The *processing time* of a call is the time that it occupies the server, without the time
    that it waits for inner calls.  The *response time* is the time from the start of the call
    until its answer.  While no response times are observed, some calls that appear infeasible
    are run as probes, so that the end of a slow period is detected.

    The deviation is smoothed like that of round-trip times in TCP [1]_.

    References
    ----------
    .. [1] V. Paxson et al., "Computing TCP's Retransmission Timer", RFC 6298, 2011.
    """

    def __init__(self) -> None:
        self._mean_processing_seconds = INITIAL_PROCESSING_SECONDS
        self._times_by_route: dict[str, _Times] = {}

    def observe(
        self, route: str, processing_seconds: float, response_seconds: float, now: float
    ) -> None:
        """Record the processing and response time of a completed call."""
        self._mean_processing_seconds += SMOOTHING_FACTOR * (
            processing_seconds - self._mean_processing_seconds
        )
        times = self._times_by_route.get(route)
        if times is None:
            deviation = INITIAL_DEVIATION_SHARE * response_seconds
            self._times_by_route[route] = _Times(
                processing_seconds, response_seconds, now, deviation
            )
            return
        times.processing_seconds += SMOOTHING_FACTOR * (
            processing_seconds - times.processing_seconds
        )
        deviation = abs(response_seconds - times.response_seconds)
        times.response_deviation_seconds += SMOOTHING_FACTOR * (
            deviation - times.response_deviation_seconds
        )
        times.response_seconds += SMOOTHING_FACTOR * (response_seconds - times.response_seconds)
        times.observed_at = now

    def processing_time(self, route: str) -> float:
        """Return the expected processing time in seconds."""
        times = self._times_by_route.get(route)
        return INITIAL_PROCESSING_SECONDS if times is None else times.processing_seconds

    def mean_processing_time(self) -> float:
        """Return the smoothed processing time over all routes in seconds."""
        return self._mean_processing_seconds

    def response_time(self, route: str) -> float:
        """Return the expected response time in seconds, 0 before the first measurement."""
        times = self._times_by_route.get(route)
        return 0.0 if times is None else times.response_seconds

    def optimistic_response_time(self, route: str) -> float:
        """Return the response time in seconds of a call that is faster than average.

        Returns
        -------
        float
            The expected response time less its mean deviation; 0 before the first measurement.
        """
        times = self._times_by_route.get(route)
        if times is None:
            return 0.0
        return max(0.0, times.response_seconds - times.response_deviation_seconds)

    def try_probe(self, route: str, now: float) -> bool:
        """Return whether to run a call that appears infeasible, and if so record the probe.

        A probe is due at most four times per second and only while the estimate is out of date.
        """
        times = self._times_by_route.get(route)
        if times is None or now - times.observed_at < MAX_ESTIMATE_AGE_SECONDS:
            return False
        if now - times.probed_at < PROBE_INTERVAL_SECONDS:
            return False
        times.probed_at = now
        return True
