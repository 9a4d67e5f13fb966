"""Plan of one run: faults and changes drawn from a seed."""

import random
from dataclasses import dataclass
from enum import Enum

__all__ = ["Fault", "FaultKind", "STOPS", "SoakPlan", "draw_plan"]

# Faults begin only after all nodes have joined and received a configuration, which takes less time.
WARM_UP_SECONDS = 3.0
FAULT_PHASE_SECONDS = 12.0
# The operators' bound for recovery is counted from the end of the last fault.
RECOVERY_SECONDS = 15.0
MIN_FAULT_DRAW_COUNT = 5
MAX_FAULT_DRAW_COUNT = 9
MIN_FAULT_SECONDS = 0.5
MAX_FAULT_SECONDS = 4.0


class FaultKind(Enum):
    """Kinds of faults and changes."""

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
    SERVER_LIMITED = "server-limited"
    STORE_RESTORED = "store-restored"
    HEADS_CUT = "heads-cut"
    REFUSALS_REPEATED = "refusals-repeated"
    ODD_ENTRIES = "odd-entries"
    NODES_KILLED_IN_TURN = "nodes-killed-in-turn"
    ANSWERS_ENDLESS = "answers-endless"
    SERVERS_FULL = "servers-full"
    NODE_TERMINATED_WHILE_FULL = "node-terminated-while-full"


# Each group has a random generator of its own, so that each seed still draws its other faults.
_SEPARATELY_DRAWN = {
    "separate": (FaultKind.SERVER_LIMITED, FaultKind.STORE_RESTORED),
    "foreign": (
        FaultKind.HEADS_CUT,
        FaultKind.REFUSALS_REPEATED,
        FaultKind.ODD_ENTRIES,
        FaultKind.NODES_KILLED_IN_TURN,
    ),
    "endless": (FaultKind.ANSWERS_ENDLESS,),
    "full": (FaultKind.SERVERS_FULL, FaultKind.NODE_TERMINATED_WHILE_FULL),
}
MAX_SEPARATE_DRAW_COUNT = 3
# A limit is judged in windows of 4 s that begin 3 s after it was announced.
MIN_LIMITED_SECONDS = 7.0
MAX_LIMITED_SECONDS = 10.0
# Two stops, with the rest of their stop time, fit into the time in which the servers are full.
MIN_FULL_SECONDS = 8.0
MAX_FULL_SECONDS = 12.0
FULL_STOP_DELAYS_SECONDS = (1.5, 4.0)

# Planned operations do not count as faults of the node that they concern.
STOPS = frozenset({FaultKind.NODE_TERMINATED, FaultKind.NODE_TERMINATED_WHILE_FULL})
PLANNED = STOPS | {FaultKind.NODE_RELOADED}


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault or change.

    Parameters
    ----------
    kind : FaultKind
        Kind of fault or change.
    at : float
        Start time, in seconds after the callers start.
    seconds : float
        Duration in seconds; unused by faults that happen at one moment.
    node : int
        Index of the affected node; unused by faults that affect no single node.
    """

    kind: FaultKind
    at: float
    seconds: float
    node: int


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Plan of one run.

    Parameters
    ----------
    seed : int
        Seed that the plan was drawn from.
    services : tuple of str
        Service of the backend server of each node.
    faults : tuple of Fault
        Faults in the order of their start times.
    """

    seed: int
    services: tuple[str, ...]
    faults: tuple[Fault, ...]

    @property
    def heal_at(self) -> float:
        """Time at which the last fault ends, in seconds after the callers start."""
        return max((fault.at + fault.seconds for fault in self.faults), default=WARM_UP_SECONDS)


def draw_plan(seed: int, node_count: int = 8) -> SoakPlan:
    """Draw the plan of a seed; faults come in series of up to three and may overlap."""
    generator = random.Random(seed)
    services = tuple(("menu", "dispatch", "pupil")[i % 3] for i in range(node_count))
    faults: list[Fault] = []
    separate_kinds = {kind for kinds in _SEPARATELY_DRAWN.values() for kind in kinds}
    count = generator.randint(MIN_FAULT_DRAW_COUNT, MAX_FAULT_DRAW_COUNT)
    while len(faults) < count:
        kind = generator.choice([kind for kind in FaultKind if kind not in separate_kinds])
        at = WARM_UP_SECONDS + generator.uniform(0.0, FAULT_PHASE_SECONDS)
        for repeat in range(generator.choice((1, 1, 2, 3))):
            seconds = generator.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
            node = generator.randrange(node_count)
            faults.append(Fault(kind, at + repeat * generator.uniform(0.3, 1.5), seconds, node))
    for group in _SEPARATELY_DRAWN:
        faults += _draw_separately(seed, group, node_count)
    return SoakPlan(seed, services, tuple(sorted(faults, key=lambda fault: fault.at)))


def _draw_separately(seed: int, group: str, node_count: int) -> list[Fault]:
    generator = random.Random(f"{seed} {group}")
    faults: list[Fault] = []
    for _ in range(generator.randint(0, MAX_SEPARATE_DRAW_COUNT)):
        kind = generator.choice(_SEPARATELY_DRAWN[group])
        at = WARM_UP_SECONDS + generator.uniform(0.0, FAULT_PHASE_SECONDS)
        seconds = generator.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        if kind is FaultKind.SERVER_LIMITED:
            seconds = generator.uniform(MIN_LIMITED_SECONDS, MAX_LIMITED_SECONDS)
        if kind is FaultKind.SERVERS_FULL:
            seconds = generator.uniform(MIN_FULL_SECONDS, MAX_FULL_SECONDS)
            faults += _draw_stops(generator, at, node_count)
        faults.append(Fault(kind, at, seconds, generator.randrange(node_count)))
    return faults


def _draw_stops(generator: random.Random, at: float, node_count: int) -> list[Fault]:
    """Return stops of different nodes while the servers are full."""
    nodes = generator.sample(range(node_count), len(FULL_STOP_DELAYS_SECONDS))
    return [
        Fault(FaultKind.NODE_TERMINATED_WHILE_FULL, at + delay_seconds, 0.0, node)
        for node, delay_seconds in zip(nodes, FULL_STOP_DELAYS_SECONDS, strict=True)
    ]
