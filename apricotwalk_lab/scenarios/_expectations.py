"""Expectations of a scenario and their evaluation against the evidence of a run."""

import math
from abc import ABC, abstractmethod
from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import ClassVar

from apricotwalk_lab.scenarios._evidence import Evidence
from apricotwalk_lab.standins.backend_server import Execution

__all__ = [
    "CompletedShare",
    "CrashedBound",
    "Everywhere",
    "ExecutionsBound",
    "Expectation",
    "LastWork",
    "Never",
    "OneAccepted",
    "PublishOutcome",
    "RunShare",
    "StillInForce",
    "all_promises",
]

PROMISE_NAMES = ("second-run", "false-not-run", "wrong-answer", "falling-version")


class Expectation(ABC):
    """A condition that the evidence of a run must satisfy.

    Attributes
    ----------
    depends_on_speed : bool
        Whether the expectation can fail merely because the machine is short of CPU time.
    """

    depends_on_speed: ClassVar[bool] = False

    @abstractmethod
    def find_breach(self, evidence: Evidence) -> str | None:
        """Return a one-line description of the failure, or None if the expectation holds."""


@dataclass(frozen=True, slots=True)
class Never(Expectation):
    """An invariant: an event that must not occur during the run.

    Parameters
    ----------
    name : str
        Name of the event in the scenario language.
    """

    name: str

    def find_breach(self, evidence: Evidence) -> str | None:
        """Return a description with the first occurrence, or None."""
        return _FINDERS_BY_NAME[self.name](evidence)


def all_promises() -> list[Never]:
    """Return the invariants that the statement `expect promises` checks."""
    return [Never(name) for name in PROMISE_NAMES]


def _find_second_run(evidence: Evidence) -> str | None:
    runs_by_key: dict[tuple[str, str], list[Execution]] = defaultdict(list)
    for execution in evidence.executions:
        if execution.key and execution.path.startswith(evidence.at_most_once_paths or ("\0",)):
            runs_by_key[execution.service, execution.key].append(execution)
    duplicates = {key: runs for key, runs in runs_by_key.items() if len(runs) > 1}
    if not duplicates:
        return None
    (_, key), runs = next(iter(duplicates.items()))
    runs_text = ", ".join(f"{r.instance} at {r.began - evidence.started:.2f} s" for r in runs)
    return f"{len(duplicates)} keys ran more than once, such as {key[:40]}: {runs_text}"


def _find_false_not_run(evidence: Evidence) -> str | None:
    run_by_tag = {execution.tag: execution for execution in evidence.executions}
    reported_not_run = [(c.tag, c.instance) for c in evidence.inner_calls if c.verdict == "not-run"]
    for request in evidence.requests:
        for attempt in request.tries:
            if attempt.verdict == "not-run":
                reported_not_run += [
                    (tag, "caller") for tag in request.tags_covered_by_not_run(attempt)
                ]
    contradicted = [(tag, recipient) for tag, recipient in reported_not_run if tag in run_by_tag]
    if not contradicted:
        return None
    tag, recipient = contradicted[0]
    run = run_by_tag[tag]
    return (
        f"{len(contradicted)} of {len(reported_not_run)} 'not-run' verdicts are false, such as "
        f"try {tag} returned to {recipient}, which ran on {run.instance} at "
        f"{run.began - evidence.started:.2f} s"
    )


def _find_wrong_answer(evidence: Evidence) -> str | None:
    completed = [a for a in evidence.attempts() if a.status == 200 and a.verdict == "completed"]
    wrong = [attempt for attempt in completed if not attempt.is_whole]
    if not wrong:
        return None
    return (
        f"{len(wrong)} of {len(completed)} successful answers are not the complete answer to their "
        f"request, such as try {wrong[0].tag} at {wrong[0].entry}"
    )


def _find_falling_version(evidence: Evidence) -> str | None:
    newest: dict[tuple[str, str], int] = {}
    for sample in evidence.versions:
        for customer, version in sample.version_by_customer.items():
            sample_key = (sample.instance, customer)
            if version < newest.get(sample_key, 0):
                return (
                    f"customer {customer} fell from version {newest[sample_key]} to {version} on "
                    f"{sample.instance} at {sample.at - evidence.started:.2f} s"
                )
            newest[sample_key] = version
    return None


def _find_cut_request(evidence: Evidence) -> str | None:
    attempts = evidence.attempts()
    cut = [a for a in attempts if not a.was_refused and a.verdict in ("", "may-have-run")]
    if not cut:
        return None
    first = cut[0]
    return (
        f"{len(cut)} of {len(attempts)} tries were cut off, such as {first.tag} at {first.entry}: "
        f"{first.cause or first.error}"
    )


_FINDERS_BY_NAME = {
    "second-run": _find_second_run,
    "false-not-run": _find_false_not_run,
    "wrong-answer": _find_wrong_answer,
    "falling-version": _find_falling_version,
    "cut-request": _find_cut_request,
}


@dataclass(frozen=True, slots=True)
class ExecutionsBound(Expectation):
    """Maximum number of executions below a path for each request of a caller."""

    path: str
    max_count: int

    def find_breach(self, evidence: Evidence) -> str | None:
        """Return the request with the most executions if it exceeds the bound or there is none."""
        count_by_request = Counter(
            _caller_request(execution)
            for execution in evidence.executions
            if self._matches(execution)
        )
        if not count_by_request:
            return f"no execution of {self.path} was recorded"
        request, count = count_by_request.most_common(1)[0]
        if count <= self.max_count:
            return None
        return f"request {request} caused {count} executions of {self.path}"

    def _matches(self, execution: Execution) -> bool:
        return execution.path.startswith(self.path)


def _caller_request(execution: Execution) -> str:
    """Return the identifier of the caller's request that caused an execution in any attempt."""
    return execution.tag.split("/", 1)[0]


@dataclass(frozen=True, slots=True)
class CrashedBound(Expectation):
    """Maximum number of backend servers that may crash during the run."""

    max_count: int

    def find_breach(self, evidence: Evidence) -> str | None:
        """Return the crashed servers if they exceed the bound, or a message if none crashed."""
        crashed = evidence.crashed_servers
        if not crashed:
            return "no server crashed, so the bound was not tested"
        if len(crashed) <= self.max_count:
            return None
        return f"{len(crashed)} servers crashed: {', '.join(sorted(crashed))}"


@dataclass(frozen=True, slots=True, kw_only=True)
class _ShareBound(Expectation):
    """Lower or upper bound on a percentage within a span of scenario seconds."""

    depends_on_speed: ClassVar[bool] = True

    percent: float
    is_lower_bound: bool
    begin: float = 0.0
    end: float = math.inf

    def _find_share_breach(self, count: int, total: int, description: str) -> str | None:
        share = 100 * count / total
        if share >= self.percent if self.is_lower_bound else share <= self.percent:
            return None
        return f"{share:.1f} % of {description} ({count} of {total})"


@dataclass(frozen=True, slots=True)
class CompletedShare(_ShareBound):
    """Bound on the share of a load's requests with a complete successful answer."""

    load: str

    def find_breach(self, evidence: Evidence) -> str | None:
        """Return the share if it violates the bound."""
        requests = evidence.requests_of(self.load, self.begin, self.end)
        if not requests:
            return f"load {self.load} sent no request in that time"
        completed = sum(request.is_completed() for request in requests)
        return self._find_share_breach(completed, len(requests), f"{self.load} completed")


@dataclass(frozen=True, slots=True)
class RunShare(_ShareBound):
    """Bound on the share of the executions below a path that one backend server ran."""

    path: str
    instance: str

    def find_breach(self, evidence: Evidence) -> str | None:
        """Return the share if it violates the bound."""
        first, last = evidence.started + self.begin, evidence.started + self.end
        runs = [
            execution
            for execution in evidence.executions
            if execution.path.startswith(self.path) and first <= execution.began < last
        ]
        if not runs:
            return f"no execution of {self.path} in that time"
        matching = sum(execution.instance == self.instance for execution in runs)
        return self._find_share_breach(matching, len(runs), f"{self.path} ran on {self.instance}")


@dataclass(frozen=True, slots=True)
class LastWork(Expectation):
    """Maximum time from when an instance leaves until its last execution begins."""

    depends_on_speed: ClassVar[bool] = True

    instance: str
    seconds: float

    def find_breach(self, evidence: Evidence) -> str | None:
        """Return the time of the last execution if it began too late."""
        left_at = self._find_leave(evidence)
        if left_at is None:
            return f"{self.instance} never left"
        returned_at = self._find_return(evidence, left_at)
        late = [
            execution.began - left_at
            for execution in evidence.executions
            if execution.instance == self.instance and left_at < execution.began < returned_at
        ]
        if max(late, default=0.0) <= self.seconds:
            return None
        return f"{self.instance} got new work {max(late):.2f} s after it left"

    def _find_leave(self, evidence: Evidence) -> float | None:
        leaves = ("drain", "stop", "kill", "roll")
        times = [f.at for f in evidence.faults if f.target == self.instance and f.verb in leaves]
        return min(times, default=None)

    def _find_return(self, evidence: Evidence, left_at: float) -> float:
        times = [
            f.at
            for f in evidence.faults
            if f.target == self.instance and f.verb in ("start", "replace") and f.at > left_at
        ]
        return min(times, default=math.inf)


@dataclass(frozen=True, slots=True)
class Everywhere(Expectation):
    """Maximum time until every node has at least a given version of a customer in force."""

    depends_on_speed: ClassVar[bool] = True

    customer: str
    version: int
    within_seconds: float
    since_seconds: float

    def find_breach(self, evidence: Evidence) -> str | None:
        """Return the first node without the version by the deadline."""
        deadline = evidence.started + self.since_seconds + self.within_seconds
        first_by_instance: dict[str, float] = {}
        for sample in evidence.versions:
            if sample.version_by_customer.get(self.customer, 0) >= self.version:
                first_by_instance.setdefault(sample.instance, sample.at)
        for instance in evidence.instances:
            first = first_by_instance.get(instance)
            if first is None:
                return f"{instance} never had version {self.version} of {self.customer}"
            if first > deadline:
                seconds = first - evidence.started - self.since_seconds
                return f"{instance} had version {self.version} after {seconds:.2f} s"
        return None


@dataclass(frozen=True, slots=True)
class StillInForce(Expectation):
    """A version of a customer that every node must have in force at the end of the run."""

    depends_on_speed: ClassVar[bool] = True

    customer: str
    version: int

    def find_breach(self, evidence: Evidence) -> str | None:
        """Return the first node with another version."""
        last_by_instance = {sample.instance: sample for sample in evidence.versions}
        for instance in evidence.instances:
            sample = last_by_instance.get(instance)
            seen = sample.version_by_customer.get(self.customer, 0) if sample else 0
            if seen != self.version:
                return f"{instance} ended with version {seen} of {self.customer}"
        return None


@dataclass(frozen=True, slots=True)
class PublishOutcome(Expectation):
    """The expected outcome of one publish.

    Parameters
    ----------
    number : int
        Number of the publish, counted from 1 in the order in which publishes begin.
    is_accepted : bool
        Whether the publish must be accepted.
    expected_text : str
        Text that the output of the operator's tool must contain.
    """

    number: int
    is_accepted: bool
    expected_text: str = ""

    def find_breach(self, evidence: Evidence) -> str | None:
        """Return the outcome if it differs from the expected one."""
        if self.number > len(evidence.publishes):
            return f"there were only {len(evidence.publishes)} publishes"
        publish = evidence.publishes[self.number - 1]
        if publish.is_accepted != self.is_accepted:
            outcome = "accepted" if publish.is_accepted else "refused"
            return f"publish of {publish.record} was {outcome}: {publish.output}"
        if self.expected_text not in publish.output:
            return f"the refusal does not name {self.expected_text!r}: {publish.output}"
        return None


@dataclass(frozen=True, slots=True)
class OneAccepted(Expectation):
    """Exactly one of several publishes is accepted, and every refusal states a reason."""

    count: int

    def find_breach(self, evidence: Evidence) -> str | None:
        """Return the mismatch in the number of publishes, acceptances or stated reasons."""
        publishes = evidence.publishes
        accepted = [publish for publish in publishes if publish.is_accepted]
        if len(publishes) != self.count:
            return f"there were {len(publishes)} publishes"
        if len(accepted) != 1:
            return f"{len(accepted)} publishes were accepted"
        unexplained = [p for p in publishes if not p.is_accepted and not p.output]
        return "a refused publish got no reason" if unexplained else None
