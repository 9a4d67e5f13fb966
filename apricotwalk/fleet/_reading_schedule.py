"""Schedule by which the nodes of a fleet read a stream of the store."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from apricotwalk.membership import Member

__all__ = ["NextRead", "ReadingSchedule"]

# A node that finds a record at the store before a peer has sent it polls again soon, as happens
# while a fleet starts.
INITIAL_POLL_SECONDS = 0.5
# Doubling reaches the pause of a fleet of a hundred nodes from 0.5 s in about six polls.
POLL_GROWTH = 2.0
# Jitter of half the mean pause in each direction desynchronizes nodes that started together; a
# wider range would leave longer gaps between polls.
MIN_JITTER = 0.5
MAX_JITTER = 1.5
# A pause after a read that returned records lets the next read return several records together.
BATCH_PAUSE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class NextRead:
    """The next read of a stream.

    Parameters
    ----------
    pause_seconds : float
        Delay before the read starts.
    wait_seconds : float
        Time for which the store holds the read until a record arrives.
    """

    pause_seconds: float
    wait_seconds: float


class ReadingSchedule:
    """Selects a few nodes that long-poll the store, while the others poll infrequently.

    Parameters
    ----------
    own : str
        Name of this instance.
    live_members : callable
        Returns the members that are considered alive, including this node.
    wait_seconds : float
        Duration of a long poll, and therefore the time after which a node detects that its
        connection no longer delivers data.
    poll_gap_seconds : float
        Mean time between two polls by any of the nodes that do not long-poll; the usual time until
        a new record is found while no long-polling node is connected.
    generator : random.Random
        Source of jitter, which spreads the reads of many nodes.
    long_poller_count : int
        Number of nodes that long-poll the store.

    Notes
    -----
    The number of calls per second does not grow with the fleet: the long-polling nodes are those
    with the smallest hashes of their names [1]_, and the poll interval of the others grows with the
    number of nodes.  Records read by a long-polling node reach the others by gossip.  A poll that
    returns a record not received from peers shortens the next pause, because gossip alone is then
    too slow.  A node that is not yet listed among the members does not long-poll: while a fleet
    starts, every node knows too few members to tell whether it is one of those nodes.

    A record ends the long polls of all nodes at once.  The next ones end in turn, so that the
    answers, which show the other nodes that their copies are complete, are spread evenly.

    References
    ----------
    .. [1] D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
       IEEE/ACM TON 6(1), 1998.
    """

    def __init__(
        self,
        own: str,
        live_members: Callable[[], list[Member]],
        wait_seconds: float,
        poll_gap_seconds: float,
        generator: random.Random,
        long_poller_count: int,
    ) -> None:
        self._long_poller_count = long_poller_count
        self._own = own
        self._own_hash = _hash(own)
        self._live_members = live_members
        self._wait_seconds = wait_seconds
        self._poll_gap_seconds = poll_gap_seconds
        self._random = generator
        self._poll_seconds = INITIAL_POLL_SECONDS
        self._was_long_poller = False

    def is_long_poller(self) -> bool:
        """Return whether this node is one of those that long-poll the store."""
        return self._position_among(self._live_members()) < self._long_poller_count

    def next_read(self, had_records: bool, had_updates: bool) -> NextRead:
        """Return when the next read starts and how long it waits for a record.

        Parameters
        ----------
        had_records : bool
            Whether the last read returned any record.
        had_updates : bool
            Whether it returned a record that was new to this node.

        Returns
        -------
        NextRead
            Pause and wait of the next read; a wait of 0 returns immediately.
        """
        members = self._live_members()
        position = self._position_among(members)
        is_first_long_poll = not self._was_long_poller
        self._was_long_poller = position < self._long_poller_count
        if self._was_long_poller:
            self._poll_seconds = INITIAL_POLL_SECONDS
            wait_seconds = self._wait_seconds
            if had_records or is_first_long_poll:
                wait_seconds *= (position + 1) / self._long_poller_count
            return NextRead(BATCH_PAUSE_SECONDS if had_records else 0.0, wait_seconds)
        max_poll_seconds = max(INITIAL_POLL_SECONDS, self._poll_gap_seconds * len(members))
        next_poll_seconds = (
            INITIAL_POLL_SECONDS if had_updates else self._poll_seconds * POLL_GROWTH
        )
        self._poll_seconds = min(max_poll_seconds, next_poll_seconds)
        jitter = self._random.uniform(MIN_JITTER, MAX_JITTER)
        return NextRead(self._poll_seconds * jitter, 0.0)

    def stale_delay(self) -> float:
        """Return how long a poll waits in seconds after the copy of the stream has become stale.

        Notes
        -----
        All copies can become stale at the same time.  The delays of all nodes together are spread
        evenly over the mean poll interval of a node, so that one of them polls soon, and the others
        learn from it that their copies are complete.
        """
        return self._random.uniform(0.0, self._poll_seconds)

    def _position_among(self, members: list[Member]) -> int:
        """Return the position of this node by hash, behind all others if it is not listed."""
        if all(member.instance != self._own for member in members):
            return max(len(members), self._long_poller_count)
        return sum(_hash(member.instance) < self._own_hash for member in members)


def _hash(instance: str) -> int:
    return xxh3_64_intdigest(instance.encode())
