"""When a node of a fleet reads a stream of the store."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from apricotwalk.membership import Member

__all__ = ["NextRead", "ReadingSchedule"]

# Nodes that wait at the store for news.  One is enough while all is well; the others cover for
# those that are cut off, stopped or refused by the store.
READER_COUNT = 5
# A node that hears of something at the store first asks again soon, as while a fleet starts.
FIRST_POLL_SECONDS = 0.5
# Six polls lead from half a second to the pause of a fleet of a hundred nodes.
POLL_GROWTH = 2.0
# Pauses between half of the mean and half more keep nodes that started together from asking
# together; pauses that differ more leave longer gaps.
LEAST_JITTER = 0.5
LARGEST_JITTER = 1.5
# Records that come one after the other are read together.
REST_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class NextRead:
    """The next read of a stream.

    Parameters
    ----------
    pause_seconds : float
        Time until it begins.
    wait_seconds : float
        Time for which it waits for a record at the store.
    """

    pause_seconds: float
    wait_seconds: float


class ReadingSchedule:
    """Lets a few nodes wait for news at the store, and the others ask now and then.

    Parameters
    ----------
    own : str
        Instance of this node.
    live_members : callable
        Returns the members that are taken to run, this node included.
    wait_seconds : float
        Time for which a read of a waiting node lasts, and so the time after which it notices
        that its connection has gone silent.
    poll_gap_seconds : float
        Time in which all nodes that do not wait ask once together; the usual time until news are
        found where no reader has a connection.
    generator : random.Random
        Spreads the reads of many nodes.

    Notes
    -----
    Calls per second do not grow with the fleet: the readers are those with the least hashes of
    their names, and the time between two polls of the others grows with the number of nodes.
    What a reader learns reaches the others from peer to peer.  A poll that brings what peers
    did not tell shortens the next one's pause, because then peers are not enough.

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
    ) -> None:
        self._own = own
        self._own_hash = _hash(own)
        self._live_members = live_members
        self._wait_seconds = wait_seconds
        self._poll_gap_seconds = poll_gap_seconds
        self._random = generator
        self._poll_seconds = FIRST_POLL_SECONDS

    def is_long_poller(self) -> bool:
        """Return whether this node waits at the store."""
        return self._is_reader_of(self._live_members())

    def next_read(self, had_records: bool, had_updates: bool) -> NextRead:
        """Return when to read next and how long to wait then.

        Parameters
        ----------
        had_records : bool
            Whether the last read brought any record.
        had_news : bool
            Whether it brought one that this node had not heard of.
        """
        members = self._live_members()
        if self._is_reader_of(members):
            self._poll_seconds = FIRST_POLL_SECONDS
            return NextRead(REST_SECONDS if had_records else 0.0, self._wait_seconds)
        longest = max(FIRST_POLL_SECONDS, self._poll_gap_seconds * len(members))
        grown = FIRST_POLL_SECONDS if had_updates else self._poll_seconds * POLL_GROWTH
        self._poll_seconds = min(longest, grown)
        jitter = self._random.uniform(LEAST_JITTER, LARGEST_JITTER)
        return NextRead(self._poll_seconds * jitter, 0.0)

    def _is_reader_of(self, members: list[Member]) -> bool:
        before = sum(
            _hash(member.instance) < self._own_hash
            for member in members
            if member.instance != self._own
        )
        return before < READER_COUNT


def _hash(instance: str) -> int:
    return xxh3_64_intdigest(instance.encode())
