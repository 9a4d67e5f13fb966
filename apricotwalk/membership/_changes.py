"""Queue of member changes to be gossiped."""

from dataclasses import dataclass
from math import ceil, log2

from apricotwalk.membership._member import Member

__all__ = ["ChangeQueue"]

SENDS_PER_DOUBLING = 3
MAX_BATCH_COUNT = 8


@dataclass(slots=True)
class _Change:
    member: Member
    remaining_sends: int


class ChangeQueue:
    """Queues each change for a number of sends logarithmic in the group size.

    References
    ----------
    .. [1] A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style
       Process Group Membership Protocol", DSN 2002.
    """

    def __init__(self) -> None:
        self._changes_by_instance: dict[str, _Change] = {}

    def add(self, member: Member, group_size: int) -> None:
        """Queue a change, replacing an older one of the same member."""
        sends = SENDS_PER_DOUBLING * ceil(log2(group_size + 1))
        self._changes_by_instance[member.instance] = _Change(member, sends)

    def next_batch(self) -> list[Member]:
        """Return the changes with the most sends remaining and count one send of each."""
        queued = sorted(
            self._changes_by_instance.values(), key=lambda change: -change.remaining_sends
        )
        batch = queued[:MAX_BATCH_COUNT]
        for change in batch:
            change.remaining_sends -= 1
            if change.remaining_sends <= 0:
                del self._changes_by_instance[change.member.instance]
        return [change.member for change in batch]
