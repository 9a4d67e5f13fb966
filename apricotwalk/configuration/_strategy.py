"""Parameters of the gossip: push fanout, number of rounds and poll interval."""

import math
from dataclasses import dataclass

__all__ = ["NO_GOSSIP", "PLAIN_PULL", "PLAIN_PUSH", "PUSH_YOUNG_PULL_OLD", "GossipStrategy"]


@dataclass(frozen=True, slots=True)
class GossipStrategy:
    """Parameters of the gossip of configuration between nodes.

    Parameters
    ----------
    fanout : int
        Peers to which a node pushes a record that is new to it.
    push_rounds : int
        Number of successive nodes that push a record; after them it is not pushed on.
    age_fanout, age_rounds : int
        The same for the age of the newest read of the log and of the newest failed one.
    interval_seconds : float
        Mean time between two version messages that poll a peer for newer records.

    References
    ----------
    .. [1] R. Karp, C. Schindelhauer, S. Shenker, B. Vöcking, "Randomized Rumor Spreading",
       FOCS 2000.
    .. [2] "Optimal push-pull gossip dissemination in the generalized random phone call
       model", which pushes while a record is young and pulls when it is old.
    """

    fanout: int
    push_rounds: int
    age_fanout: int
    age_rounds: int
    interval_seconds: float


NO_GOSSIP = GossipStrategy(0, 0, 0, 0, interval_seconds=math.inf)
PLAIN_PULL = GossipStrategy(0, 0, 0, 0, interval_seconds=1.0)
PLAIN_PUSH = GossipStrategy(4, 1000, 4, 1000, interval_seconds=10.0)
PUSH_YOUNG_PULL_OLD = GossipStrategy(4, 5, 3, 10, interval_seconds=1.0)
