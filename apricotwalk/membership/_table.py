"""The records of one service's members."""

import msgspec
from xxhash import xxh3_64_intdigest

from apricotwalk.core import Clock
from apricotwalk.membership._member import Member, MemberState

__all__ = ["MemberTable"]

TOMBSTONE_SECONDS = 7200.0
LARGEST_TOMBSTONE_COUNT = 64
UNREACHABLE_SECONDS = 3.0

_encoder = msgspec.msgpack.Encoder()


class MemberTable:
    """Keeps the newest record of each member of one service.

    Parameters
    ----------
    service : str
        The service.
    clock : Clock
        Source of time.

    Notes
    -----
    Records of dead members are kept for two hours, at most 64, so that an old record cannot
    bring a dead member back and so that halves of a divided fleet find each other again.
    """

    def __init__(self, service: str, clock: Clock) -> None:
        self.service = service
        self.members_by_instance: dict[str, Member] = {}
        self._clock = clock
        self._changed_at_by_instance: dict[str, float] = {}
        self._unreachable_until_by_instance: dict[str, float] = {}
        self._digest: int | None = None
        self._preferred: list[Member] | None = None

    def merge(self, member: Member) -> bool:
        """Take a record if it is newer than the one held; return whether it was."""
        known = self.members_by_instance.get(member.instance)
        if member.service != self.service:
            return False
        if known is not None and not member.supersedes(known):
            return False
        self.members_by_instance[member.instance] = member
        self._changed_at_by_instance[member.instance] = self._clock.monotonic()
        self._forget_derived()
        if member.state is MemberState.ALIVE:
            self._unreachable_until_by_instance.pop(member.instance, None)
        return True

    def replace_all(self, members: list[Member]) -> None:
        """Hold exactly `members`, with the newer record where one is held already."""
        listed = {member.instance for member in members}
        for instance in [name for name in self.members_by_instance if name not in listed]:
            self.remove(instance)
        for member in members:
            self.merge(member)

    def remove(self, instance: str) -> None:
        """Drop the record of a member."""
        self.members_by_instance.pop(instance, None)
        self._changed_at_by_instance.pop(instance, None)
        self._unreachable_until_by_instance.pop(instance, None)
        self._forget_derived()

    def mark_unreachable(self, instance: str) -> None:
        """Prefer other members for 3 s."""
        until = self._clock.monotonic() + UNREACHABLE_SECONDS
        self._unreachable_until_by_instance[instance] = until

    def mark_reachable(self, instance: str) -> None:
        """Take note of a sign of life."""
        self._unreachable_until_by_instance.pop(instance, None)

    def usable(self) -> list[Member]:
        """Return the members that take new work, or the suspected ones if there is no other."""
        if self._preferred is None:
            alive = self.in_state(MemberState.ALIVE)
            self._preferred = alive or self.in_state(MemberState.SUSPECTED)
        if not self._unreachable_until_by_instance:
            return self._preferred
        now = self._clock.monotonic()
        reachable = [
            member
            for member in self._preferred
            if self._unreachable_until_by_instance.get(member.instance, now) <= now
        ]
        return reachable or self._preferred

    def present(self) -> list[Member]:
        """Return every member that is not known to be dead."""
        return [m for m in self.members_by_instance.values() if m.state is not MemberState.DEAD]

    def in_state(self, state: MemberState) -> list[Member]:
        """Return the members in one state."""
        return [m for m in self.members_by_instance.values() if m.state is state]

    def held_for(self, instance: str) -> float:
        """Return the seconds since the record of a member changed."""
        return self._clock.monotonic() - self._changed_at_by_instance[instance]

    def expire_tombstones(self) -> None:
        """Drop records of members that died long ago."""
        dead = self.in_state(MemberState.DEAD)
        dead.sort(key=lambda member: self.held_for(member.instance))
        for index, member in enumerate(dead):
            too_old = self.held_for(member.instance) > TOMBSTONE_SECONDS
            if too_old or index >= LARGEST_TOMBSTONE_COUNT:
                self.remove(member.instance)

    def _forget_derived(self) -> None:
        self._digest = None
        self._preferred = None

    def digest(self) -> int:
        """Return a number that is equal on two nodes that hold the same members."""
        if self._digest is None:
            rows = sorted((m.instance, m.incarnation, int(m.state)) for m in self.present())
            self._digest = xxh3_64_intdigest(_encoder.encode(rows)) or 1
        return self._digest
