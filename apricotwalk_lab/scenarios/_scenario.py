"""Data model of a parsed scenario."""

from dataclasses import dataclass, field
from enum import StrEnum

from apricotwalk.policy import Customer, Execution, PolicyRecord, Template
from apricotwalk_lab.processes import InstancePlan
from apricotwalk_lab.scenarios._expectations import Expectation
from apricotwalk_lab.scenarios._faults import Fault, LinkFault

__all__ = ["ExpectStatement", "KeyKind", "Load", "Scenario", "TimedFault"]

DEFAULT_RETENTION_SECONDS = 86_400.0
END_MARGIN_SECONDS = 0.5


class KeyKind(StrEnum):
    """The source of a load's idempotency keys: none, chosen by the caller, or issued by a node."""

    NONE = "none"
    OWN = "own"
    ISSUED = "issued"


@dataclass(slots=True)
class Load:
    """Requests that callers send at a constant rate.

    Parameters
    ----------
    name, customer, method, path : str
        Name of the load in expectations, customer of its requests, HTTP method and path.
    per_second, begins, ends : float
        Requests per second, and the scenario seconds between which they begin.
    entries : list of str
        Instances whose nodes accept the requests; all instances if empty.
    keys : KeyKind
        Source of the idempotency keys.
    resends : int
        Maximum number of further attempts of a caller without a complete successful answer.
    timeout_seconds : float
        Time-out of each attempt.
    body : str
        Body of each request.
    callers : int
        Number of callers that send the same request with the same key concurrently, each to a
        different node.
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
    """A fault, the scenario second at which it is applied, and its line in the file."""

    at: float
    fault: Fault
    line: int


@dataclass(frozen=True, slots=True)
class ExpectStatement:
    """An expectation with the text and the line of its statement in the file."""

    expectation: Expectation
    text: str
    line: int


@dataclass(slots=True)
class Scenario:
    """The processes, loads, faults and expectations of one scenario file.

    Parameters
    ----------
    title : str
        Title of the scenario.
    path : str
        Path of the file.
    plans : list of InstancePlan
        Instances to start.
    records : list of PolicyRecord
        Templates and customers; those of version 1 are published before the nodes start.
    loads, faults, expect_statements : list
        Loads, timed faults and expectations, in the order of the file.
    fails_without : list of str
        Mechanisms without which the scenario is expected to fail.
    retention_seconds : float
        Retention time of the log service.
    min_duration_seconds : float
        Minimum length of the run.
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
    min_duration_seconds: float = 0.0

    def duration_seconds(self) -> float:
        """Return the length of the run in seconds, without the wait for the last answers."""
        ends = [load.ends for load in self.loads]
        faults = [timed.at for timed in self.faults]
        return max([self.min_duration_seconds, *ends, *faults]) + END_MARGIN_SECONDS

    def needs_links(self) -> bool:
        """Return whether any fault affects the network between processes."""
        return any(isinstance(timed.fault, LinkFault) for timed in self.faults)

    def find_customer(self, name: str) -> Customer | None:
        """Return the newest declared version of a customer, or None."""
        found = [r for r in self.records if isinstance(r, Customer) and r.name == name]
        return max(found, key=lambda record: record.version, default=None)

    def find_template(self, name: str, version: int) -> Template | None:
        """Return a declared version of a template, or None."""
        for record in self.records:
            if isinstance(record, Template) and (record.name, record.version) == (name, version):
                return record
        return None

    def at_most_once_paths(self) -> tuple[str, ...]:
        """Return the path prefixes of routes with at-most-once execution."""
        templates = [record for record in self.records if isinstance(record, Template)]
        return tuple(
            route.path
            for template in templates
            for route in template.routes
            if route.execution is Execution.AT_MOST_ONCE
        )
