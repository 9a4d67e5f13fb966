"""Outcome of one request as observed by its caller."""

from dataclasses import dataclass

__all__ = ["RequestRecord"]


@dataclass(slots=True)
class RequestRecord:
    """Request of a caller and its outcome.

    Parameters
    ----------
    identifier : str
        Identifier of the request, which is part of its path and its idempotency key.
    customer, route : str
        Customer that sent the request, and its route.
    rank : int
        Rank of the request; 0 is the most urgent.
    began, ended : float
        Times of the first attempt and of the outcome, in seconds from the start of the load.
    status : int
        HTTP status of the last attempt, 0 without a response.
    cause : str
        Cause of the failure of the last attempt, empty after a response with status 200.
    tries : int
        Number of attempts made.
    """

    identifier: str
    customer: str
    route: str
    rank: int
    began: float
    ended: float = 0.0
    status: int = 0
    cause: str = ""
    tries: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether the caller received a complete response with status 200."""
        return self.status == 200
