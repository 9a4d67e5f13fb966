"""A scenario in memory."""

from dataclasses import dataclass, field
from enum import StrEnum

from apricotwalk.policy import Customer, Execution, PolicyRecord, Template
from apricotwalk_lab.processes import InstancePlan
from apricotwalk_lab.scenarios._expectations import Expectation
from apricotwalk_lab.scenarios._faults import Fault, LinkFault

__all__ = ["ExpectStatement", "KeyKind", "Load", "Scenario", "TimedFault"]

DEFAULT_RETENTION_SECONDS = 86_400.0
SETTLING_SECONDS = 0.5


class KeyKind(StrEnum):
    """Where a load's idempotency keys come from."""

    NONE = "none"
    OWN = "own"
    ISSUED = "issued"


@dataclass(slots=True)
class Load:
    """Requests at a steady rate.

    Parameters
    ----------
    name, customer, method, path : str
        What is sent, for whom, and its name in expectations.
    per_second, begins, ends : float
        Rate, and scenario seconds between which requests begin.
    entries : list of str
        Instances whose nodes are called in turn; all of them if empty.
    keys : KeyKind
        Where idempotency keys come from.
    resends : int
        Further tries of a caller without a whole answer.
    timeout_seconds : float
        How long a caller waits for each try.
    body : str
        Text in each request's body.
    callers : int
        Callers that send the same request with the same key at once, each to another node.
    """

    name: str
    customer: str
    method: str
    path: str
    per_second: float
    begins: float
    ends: float
    entries: list[str] = field(default_factory=list)
    keys: KeyKind = KeyKind.NONE
    resends: int = 0
    timeout_seconds: float = 3.0
    body: str = ""
    callers: int = 1


@dataclass(frozen=True, slots=True)
class TimedFault:
    """A fault with the scenario second at which it is applied and its line in the file."""

    at: float
    fault: Fault
    line: int


@dataclass(frozen=True, slots=True)
class ExpectStatement:
    """An expectation with its text and its line in the file."""

    expectation: Expectation
    text: str
    line: int


@dataclass(slots=True)
class Scenario:
    """Processes, load, faults and expectations.

    Parameters
    ----------
    title : str
        One sentence for people.
    path : str
        File that it was read from.
    plans : list of InstancePlan
        The instances.
    records : list of PolicyRecord
        Templates and customers; those of version 1 are published before the start.
    loads, faults, expects : list
        The other statements.
    fails_without : list of str
        Mechanisms without which an expectation breaks.
    retention_seconds : float
        How long the log service keeps records.
    lasts_seconds : float
        Least length of the run.
    """

    title: str = ""
    path: str = ""
    plans: list[InstancePlan] = field(default_factory=list)
    records: list[PolicyRecord] = field(default_factory=list)
    loads: list[Load] = field(default_factory=list)
    faults: list[TimedFault] = field(default_factory=list)
    expect_statements: list[ExpectStatement] = field(default_factory=list)
    fails_without: list[str] = field(default_factory=list)
    retention_seconds: float = DEFAULT_RETENTION_SECONDS
    lasts_seconds: float = 0.0

    def duration_seconds(self) -> float:
        """Return how long the run lasts, without the last answers."""
        ends = [load.ends for load in self.loads]
        faults = [timed.at for timed in self.faults]
        return max([self.lasts_seconds, *ends, *faults]) + SETTLING_SECONDS

    def needs_links(self) -> bool:
        """Return whether a fault concerns the network between processes."""
        return any(isinstance(timed.fault, LinkFault) for timed in self.faults)

    def find_customer(self, name: str) -> Customer | None:
        """Return the newest declared customer of a name."""
        found = [r for r in self.records if isinstance(r, Customer) and r.name == name]
        return max(found, key=lambda record: record.version, default=None)

    def find_template(self, name: str, version: int) -> Template | None:
        """Return a declared version of a template."""
        for record in self.records:
            if isinstance(record, Template) and (record.name, record.version) == (name, version):
                return record
        return None

    def at_most_once_paths(self) -> tuple[str, ...]:
        """Return the path prefixes of routes whose work must not run twice."""
        templates = [record for record in self.records if isinstance(record, Template)]
        return tuple(
            route.path
            for template in templates
            for route in template.routes
            if route.execution is Execution.AT_MOST_ONCE
        )
