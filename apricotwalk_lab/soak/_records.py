"""Records of requests, executions and events of a run."""

from collections import defaultdict
from dataclasses import dataclass, field

__all__ = ["Execution", "Records", "CallerRequest"]

SUCCESS_STATUS, REDIRECTION_STATUS = 200, 300


@dataclass(slots=True)
class CallerRequest:
    """One request of a caller and its outcome.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    route : str
        First segment of the request's path.
    node : int
        Index of the node that the request was sent to.
    sent : float
        Time of sending, in seconds after the callers started.
    ended : float
        Time at which the answer was complete or the connection ended; 0 before that.
    status : int
        HTTP status; 0 if the connection ended without an answer.
    is_answer_intact : bool
        Whether a successful answer carried the valid signature for this request.
    detail : str
        Error that ended the connection, if any.
    is_pipelined : bool
        Whether it was sent behind a request that had not been answered.
    """

    request_id: str
    route: str
    node: int
    sent: float
    ended: float = 0.0
    status: int = 0
    is_answer_intact: bool = True
    detail: str = ""
    is_pipelined: bool = False

    @property
    def is_served(self) -> bool:
        """Whether the request was answered with a 2xx status."""
        return SUCCESS_STATUS <= self.status < REDIRECTION_STATUS


@dataclass(frozen=True, slots=True)
class Execution:
    """Start of an execution at a backend server."""

    server: str
    service: str
    at: float


@dataclass(slots=True)
class Records:
    """Observations of a run.

    Parameters
    ----------
    tries : list of CallerRequest
        Requests of callers.
    executions_by_request : dict of str to list of Execution
        Executions of each request, in order of their start.
    left_at_by_server : dict of str to float
        Time at which the node acknowledged that a server is leaving.
    published_at_by_version : dict of int to float
        Time at which the store accepted each version of the configuration.
    arrivals_by_server : dict of str to list of float
        Times at which requests reached each server, whether they ran or not.
    limit_changes_by_server : dict of str to list of (float, float or None)
        Times at which each server announced another limit, in requests per second or None.
    callers_closed_at : float
        Time at which the run closes the connections of its callers.
    mismatched_answers : int
        Number of answers that callers received for requests they had not sent.
    """

    tries: list[CallerRequest] = field(default_factory=list)
    executions_by_request: dict[str, list[Execution]] = field(
        default_factory=lambda: defaultdict(list)
    )
    left_at_by_server: dict[str, float] = field(default_factory=dict)
    published_at_by_version: dict[int, float] = field(default_factory=dict)
    arrivals_by_server: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    limit_changes_by_server: dict[str, list[tuple[float, float | None]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    callers_closed_at: float = float("inf")
    mismatched_answers: int = 0
