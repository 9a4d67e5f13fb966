"""How many requests of which kind arrive when, and how their callers behave."""

from dataclasses import dataclass

from apricotwalk.policy import Treatment
from apricotwalk_lab.cities import City

__all__ = ["RetryPolicy", "Stream", "Surge", "rate_at", "streams_of"]


@dataclass(frozen=True, slots=True)
class Stream:
    """The requests of one customer and one kind.

    Parameters
    ----------
    customer : str
        Whose requests.
    treatment : Treatment
        How the customer's policy treats them.
    path : str
        Start of the path; an identifier is appended.
    per_second : float
        Calm rate in requests a second.
    """

    customer: str
    treatment: Treatment
    path: str
    per_second: float


@dataclass(frozen=True, slots=True)
class Surge:
    """A stretch of time with a higher rate.

    Parameters
    ----------
    begin, end : float
        Seconds from the start of the load.
    factor : float
        Factor on the calm rate.
    routes : frozenset of str
        Routes that surge; every route if empty.
    """

    begin: float
    end: float
    factor: float
    routes: frozenset[str] = frozenset()

    def applies(self, route: str, seconds: float) -> bool:
        """Return whether the surge raises the rate of `route` at this time."""
        return self.begin <= seconds < self.end and (not self.routes or route in self.routes)


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """What a caller does when it gets no complete answer.

    Parameters
    ----------
    tries : int
        Times that a request is sent at most, the first included.
    wait_seconds : float
        Pause before it is sent again.
    """

    tries: int = 1
    wait_seconds: float = 0.0


def rate_at(stream: Stream, surges: list[Surge], seconds: float) -> float:
    """Return the rate of `stream` in requests a second, `seconds` after the start."""
    factors = [s.factor for s in surges if s.applies(stream.treatment.route, seconds)]
    return stream.per_second * max(factors, default=1.0)


def streams_of(city: City) -> list[Stream]:
    """Return the calm load of a city.

    Raises
    ------
    ValueError
        If an arrival matches no route of its customer.
    """
    streams: list[Stream] = []
    for arrival in city.fleet.arrivals:
        policy = city.policies_by_customer[arrival.customer]
        treatment = policy.match(arrival.method, arrival.path)
        if treatment is None or treatment.route != arrival.route:
            raise ValueError(f"arrival {arrival.method} {arrival.path} is not {arrival.route}")
        streams.append(Stream(arrival.customer, treatment, arrival.path, arrival.per_second))
    return streams
