"""Treatment of one kind of request of one customer."""

from dataclasses import dataclass

from apricotwalk.policy._records import Execution

__all__ = ["CustomerPolicy", "Treatment"]


@dataclass(frozen=True, slots=True)
class Treatment:
    """Priority, limits and target of one kind of request of one customer.

    Parameters
    ----------
    route, service : str
        Name of the route and the service that executes its requests.
    method, path : str
        HTTP method and path prefix of the requests.
    rank : int
        Priority; 0 is the most urgent.
    deadline_seconds : float
        Time in seconds after which an answer is useless to the caller.
    retry_budget : int
        Maximum number of retries over the whole call chain.
    execution : Execution
        Whether the request may be executed more than once.
    floor : float
        Minimum share of a service's capacity, between 0 and 1, reserved under overload.
    """

    route: str
    service: str
    method: str
    path: str
    rank: int
    deadline_seconds: float
    retry_budget: int
    execution: Execution
    floor: float


@dataclass(frozen=True, slots=True)
class CustomerPolicy:
    """All treatments of one customer, sorted by descending path length."""

    customer: str
    version: int
    treatments: tuple[Treatment, ...]

    def match(self, method: str, path: str) -> Treatment | None:
        """Return the treatment with the longest matching path prefix, or None."""
        for treatment in self.treatments:
            if treatment.method == method and path.startswith(treatment.path):
                return treatment
        return None
