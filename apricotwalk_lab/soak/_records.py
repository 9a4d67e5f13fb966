"""What callers and backend servers saw."""

from collections import defaultdict
from dataclasses import dataclass, field

__all__ = ["Execution", "Records", "CallerRequest"]

SUCCESS, REDIRECTION = 200, 300


@dataclass(slots=True)
class CallerRequest:
    """One request of a caller.

    Parameters
    ----------
    request_id : str
        Its identifier.
    route : str
        Kind of request.
    node : int
        Node that it was sent to.
    sent : float
        Seconds after callers began.
    ended : float
        When its answer was whole or its connection ended, 0 while neither.
    status : int
        HTTP status, 0 if the connection ended without an answer.
    is_whole : bool
        Whether a success was the signed answer to this request.
    detail : str
        Why a connection ended.
    """

    request_id: str
    route: str
    node: int
    sent: float
    ended: float = 0.0
    status: int = 0
    is_answer_intact: bool = True
    detail: str = ""

    @property
    def is_served(self) -> bool:
        """Whether it was answered with a success."""
        return SUCCESS <= self.status < REDIRECTION


@dataclass(frozen=True, slots=True)
class Execution:
    """One arrival at a backend server that was begun."""

    server: str
    service: str
    at: float


@dataclass(slots=True)
class Records:
    """Everything that a run saw.

    Parameters
    ----------
    tries : list of Try
        Requests of callers.
    executions_by_request : dict of str to list of Execution
        Runs of each request.
    left_at_by_server : dict of str to float
        When a server's leaving was acknowledged.
    published_at_by_version : dict of int to float
        When the store acknowledged a version of the configuration.
    strays : int
        Answers that callers got for requests that were not theirs.
    """

    tries: list[CallerRequest] = field(default_factory=list)
    executions_by_request: dict[str, list[Execution]] = field(
        default_factory=lambda: defaultdict(list)
    )
    left_at_by_server: dict[str, float] = field(default_factory=dict)
    published_at_by_version: dict[int, float] = field(default_factory=dict)
    strays: int = 0
