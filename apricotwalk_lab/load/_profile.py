"""Request rates over time and the retry policy of callers."""

from dataclasses import dataclass

from apricotwalk.policy import Treatment
from apricotwalk_lab.cities import City

__all__ = ["RetryPolicy", "Stream", "Surge", "rate_at", "streams_of"]


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one customer to one route.

    Parameters
    ----------
    customer : str
        Customer that sends the requests.
    treatment : Treatment
        Treatment of the requests under the customer's policy.
    path : str
        Path prefix, to which an identifier of the request is appended.
    per_second : float
        Base rate in requests per second, without surges.
    """

    customer: str
    treatment: Treatment
    path: str
    per_second: float


@dataclass(frozen=True, slots=True)
class Surge:
    """Interval with a higher request rate.

    Parameters
    ----------
    begin, end : float
        Bounds of the half-open interval, in seconds from the start of the load.
    factor : float
        Factor by which the base rate is multiplied.
    routes : frozenset of str
        Affected routes.  An empty set means all routes.
    """

    begin: float
    end: float
    factor: float
    routes: frozenset[str] = frozenset()

    def applies(self, route: str, seconds: float) -> bool:
        """Return True if the surge affects `route` at `seconds` from the start of the load."""
        return self.begin <= seconds < self.end and (not self.routes or route in self.routes)


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Retries of a caller that receives no complete response.

    Parameters
    ----------
    tries : int
        Maximum number of attempts per request, including the first.
    wait_seconds : float
        Pause before each retry, in seconds.
    """

    tries: int = 1
    wait_seconds: float = 0.0


def rate_at(stream: Stream, surges: list[Surge], seconds: float) -> float:
    """Return the rate of a stream at a given time.

    Parameters
    ----------
    stream : Stream
        Stream whose base rate applies outside surges.
    surges : list of Surge
        Surges of the load.  Where several overlap, the largest factor applies.
    seconds : float
        Time in seconds from the start of the load.

    Returns
    -------
    float
        Rate in requests per second.
    """
    factors = [s.factor for s in surges if s.applies(stream.treatment.route, seconds)]
    return stream.per_second * max(factors, default=1.0)


def streams_of(city: City) -> list[Stream]:
    """Return the streams of a city at their base rates.

    Raises
    ------
    ValueError
        If the method and path of an arrival do not match the route that it names.
    """
    streams: list[Stream] = []
    for arrival in city.fleet.arrivals:
        policy = city.policies_by_customer[arrival.customer]
        treatment = policy.match(arrival.method, arrival.path)
        if treatment is None or treatment.route != arrival.route:
            raise ValueError(
                f"arrival {arrival.method} {arrival.path} of customer {arrival.customer!r} "
                f"does not match route {arrival.route!r}"
            )
        streams.append(Stream(arrival.customer, treatment, arrival.path, arrival.per_second))
    return streams
