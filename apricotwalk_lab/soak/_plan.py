"""The faults and changes of one run, drawn from a seed."""

import random
from dataclasses import dataclass
from enum import Enum

__all__ = ["Fault", "FaultKind", "SoakPlan", "draw_plan"]

# Nodes know each other and a configuration well before; faults begin after that.
CALM_SECONDS = 3.0
FAULTS_SECONDS = 12.0
# The operators' bound for recovery, after the last fault has ended.
RECOVERY_SECONDS = 15.0
LEAST_FAULT_COUNT = 5
LARGEST_FAULT_COUNT = 9
SHORTEST_FAULT_SECONDS = 0.5
LONGEST_FAULT_SECONDS = 4.0


class FaultKind(Enum):
    """What happens to a part of the system."""

    NODE_TERMINATED = "node-terminated"
    NODE_KILLED = "node-killed"
    NODE_FROZEN = "node-frozen"
    NODE_RELOADED = "node-reloaded"
    SERVER_CRASHED = "server-crashed"
    SERVER_REPLACED = "server-replaced"
    SERVER_SLOW = "server-slow"
    ANSWERS_LOST = "answers-lost"
    ANSWERS_CUT = "answers-cut"
    SERVER_LINK_SILENT = "server-link-silent"
    SERVER_LINK_RESET = "server-link-reset"
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    STORE_ANSWERS_LOST = "store-answers-lost"
    STORE_FORGETS = "store-forgets"
    STORE_LINK_CUT = "store-link-cut"
    STORE_LINK_CUT_BACK = "store-link-cut-back"
    CONFIGURATION_CHANGED = "configuration-changed"
    BURST = "burst"


# Planned work does not count as a disturbance of the node that it concerns.
PLANNED = frozenset({FaultKind.NODE_TERMINATED, FaultKind.NODE_RELOADED})


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault or change.

    Parameters
    ----------
    kind : FaultKind
        What happens.
    at : float
        Seconds after callers begin.
    seconds : float
        How long it lasts, where it lasts.
    node : int
        Position of the node that it concerns, where it concerns one.
    """

    kind: FaultKind
    at: float
    seconds: float
    node: int


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """One run.

    Parameters
    ----------
    seed : int
        What it was drawn from.
    services : tuple of str
        Service beside each node.
    faults : tuple of Fault
        In order of time.
    """

    seed: int
    services: tuple[str, ...]
    faults: tuple[Fault, ...]

    @property
    def heal_at(self) -> float:
        """When the last fault has ended, in seconds after callers begin."""
        return max((fault.at + fault.seconds for fault in self.faults), default=CALM_SECONDS)


def draw_plan(seed: int, node_count: int = 8) -> SoakPlan:
    """Return the run of a seed; faults come in series and overlap."""
    chance = random.Random(seed)
    services = tuple(("menu", "dispatch", "pupil")[i % 3] for i in range(node_count))
    faults: list[Fault] = []
    count = chance.randint(LEAST_FAULT_COUNT, LARGEST_FAULT_COUNT)
    while len(faults) < count:
        kind = chance.choice(list(FaultKind))
        at = CALM_SECONDS + chance.uniform(0.0, FAULTS_SECONDS)
        for repeat in range(chance.choice((1, 1, 2, 3))):
            seconds = chance.uniform(SHORTEST_FAULT_SECONDS, LONGEST_FAULT_SECONDS)
            node = chance.randrange(node_count)
            faults.append(Fault(kind, at + repeat * chance.uniform(0.3, 1.5), seconds, node))
    return SoakPlan(seed, services, tuple(sorted(faults, key=lambda fault: fault.at)))
