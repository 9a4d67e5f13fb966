"""Records of callers, backend servers and the poller of the nodes, collected during a run."""

from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from apricotwalk_lab.standins.backend_server import Execution, InnerCall

__all__ = [
    "AppliedFault",
    "Evidence",
    "Publish",
    "Request",
    "Attempt",
    "VersionSample",
    "read_records",
]


@dataclass(slots=True)
class Attempt:
    """One attempt of a caller to send a request, as observed by the caller.

    Parameters
    ----------
    tag : str
        Identifier of the attempt, which backend servers record.
    entry : str
        Instance to whose node the attempt was sent.
    number : int
        Attempt number that the caller sends; refused attempts are not counted.
    began, ended : float
        Unix time in seconds.
    status : int
        HTTP status code, or 0 without an answer.
    verdict, cause : str
        Verdict and cause in the answer, or empty strings.
    error : str
        Reason for a missing answer, or an empty string.
    is_whole : bool
        Whether the body of the answer is complete and belongs to the request.
    was_refused : bool
        Whether the connection was refused.
    """

    tag: str
    entry: str
    number: int
    began: float
    ended: float = 0.0
    status: int = 0
    verdict: str = ""
    cause: str = ""
    error: str = ""
    is_whole: bool = False
    was_refused: bool = False

    def is_completed(self) -> bool:
        """Return whether the caller received a complete successful answer."""
        return self.status == 200 and self.verdict == "completed" and self.is_whole


@dataclass(slots=True)
class Request:
    """A request of a load with all attempts to send it.

    Parameters
    ----------
    load, echo, key : str
        Name of the load, token that the answer must repeat, and idempotency key.
    began : float
        Unix time in seconds.
    tries : list of Attempt
        Attempts of all callers, in the order in which they began.
    """

    load: str
    echo: str
    key: str
    began: float
    tries: list[Attempt] = field(default_factory=list)

    def is_completed(self) -> bool:
        """Return whether any attempt received a complete successful answer."""
        return any(attempt.is_completed() for attempt in self.tries)

    def tags_covered_by_not_run(self, attempt: Attempt) -> list[str]:
        """Return the tags of the attempts that a `not-run` verdict for `attempt` covers.

        Notes
        -----
        With an idempotency key the verdict applies to the key, so it also covers the earlier
        attempts of the same caller.
        """
        if not self.key:
            return [attempt.tag]
        caller = attempt.tag.rsplit(".", 1)[0]
        attempts = [other for other in self.tries if other.tag.rsplit(".", 1)[0] == caller]
        return [other.tag for other in attempts if other.began <= attempt.began]


@dataclass(frozen=True, slots=True)
class VersionSample:
    """The version of each customer in force on one node, with the Unix time of the sample."""

    at: float
    instance: str
    version_by_customer: dict[str, int]


@dataclass(frozen=True, slots=True)
class AppliedFault:
    """A fault with the Unix time at which it was applied."""

    at: float
    verb: str
    target: str


@dataclass(frozen=True, slots=True)
class Publish:
    """A publish with the operator's tool, its outcome and the tool's output."""

    at: float
    record: str
    is_accepted: bool
    output: str


@dataclass(slots=True)
class Evidence:
    """All records of one run that expectations are checked against.

    Parameters
    ----------
    started : float
        Unix time of scenario second 0.
    instances : list of str
        Names of the instances.
    at_most_once_paths : tuple of str
        Path prefixes of routes with at-most-once execution.
    requests, executions, inner_calls, versions, faults, publishes : list
        Records of each kind.
    crashed_servers : list of str
        Instances whose backend server ended without a fault of the scenario having ended it.
    """

    started: float
    instances: list[str]
    at_most_once_paths: tuple[str, ...] = ()
    requests: list[Request] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    inner_calls: list[InnerCall] = field(default_factory=list)
    versions: list[VersionSample] = field(default_factory=list)
    faults: list[AppliedFault] = field(default_factory=list)
    publishes: list[Publish] = field(default_factory=list)
    crashed_servers: list[str] = field(default_factory=list)

    def requests_of(self, load: str, begin: float, end: float) -> list[Request]:
        """Return the requests of a load that began in [`begin`, `end`), in scenario seconds."""
        first, last = self.started + begin, self.started + end
        return [r for r in self.requests if r.load == load and first <= r.began < last]

    def attempts(self) -> list[Attempt]:
        """Return the attempts of all requests."""
        return [attempt for request in self.requests for attempt in request.tries]


def read_records(path: Path) -> tuple[list[Execution], list[InnerCall]]:
    """Read the executions and inner calls that a backend server recorded.

    Parameters
    ----------
    path : Path
        File with one JSON record per line; it may be missing.

    Returns
    -------
    executions : list of Execution
        The last record of each execution.
    inner_calls : list of InnerCall
        Calls that executions made to other services.

    Notes
    -----
    An incomplete last line, as a killed server leaves behind, is ignored.
    """
    executions: dict[tuple[int, int], Execution] = {}
    inner_calls: list[InnerCall] = []
    if not path.exists():
        return [], []
    for line in path.read_bytes().split(b"\n")[:-1]:
        record = msgspec.json.decode(line, type=Execution | InnerCall)
        if isinstance(record, InnerCall):
            inner_calls.append(record)
        else:
            executions[record.process, record.number] = record
    return list(executions.values()), inner_calls
