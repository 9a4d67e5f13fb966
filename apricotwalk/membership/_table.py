"""Table of the member records of one service."""

import msgspec
from xxhash import xxh3_64_intdigest

from apricotwalk.core import Clock
from apricotwalk.membership._member import Member, MemberState

__all__ = ["MemberTable"]

TOMBSTONE_RETENTION_SECONDS = 7200.0
MAX_TOMBSTONE_COUNT = 64
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
    Up to 64 records of dead members are retained for two hours, so that an outdated record
    cannot revive a dead member and the parts of a partitioned fleet can reconnect.
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
        """Store a record of this service if it supersedes the held one; return whether it did."""
        known = self.members_by_instance.get(member.instance)
        if member.service != self.service:
            return False
        if known is not None and not member.supersedes(known):
            return False
        self.members_by_instance[member.instance] = member
        self._changed_at_by_instance[member.instance] = self._clock.monotonic()
        self._invalidate_cache()
        if member.state is MemberState.ALIVE:
            self._unreachable_until_by_instance.pop(member.instance, None)
        return True

    def replace_all(self, members: list[Member]) -> None:
        """Remove all members that are not in `members`, then merge `members`."""
        listed = {member.instance for member in members}
        for instance in [name for name in self.members_by_instance if name not in listed]:
            self.remove(instance)
        for member in members:
            self.merge(member)

    def remove(self, instance: str) -> None:
        """Remove the record of a member."""
        self.members_by_instance.pop(instance, None)
        self._changed_at_by_instance.pop(instance, None)
        self._unreachable_until_by_instance.pop(instance, None)
        self._invalidate_cache()

    def mark_unreachable(self, instance: str) -> None:
        """Prefer other members to this one for 3 s."""
        until = self._clock.monotonic() + UNREACHABLE_SECONDS
        self._unreachable_until_by_instance[instance] = until

    def mark_reachable(self, instance: str) -> None:
        """End the avoidance of a member that has answered."""
        self._unreachable_until_by_instance.pop(instance, None)

    def usable(self) -> list[Member]:
        """Return the members that accept new work, without unreachable ones if possible.

        Suspected members are returned only if no member is alive.
        """
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
        """Return all members that are not dead."""
        return [m for m in self.members_by_instance.values() if m.state is not MemberState.DEAD]

    def in_state(self, state: MemberState) -> list[Member]:
        """Return the members whose state is `state`."""
        return [m for m in self.members_by_instance.values() if m.state is state]

    def seconds_since_change(self, instance: str) -> float:
        """Return the time in seconds since the record of a member last changed."""
        return self._clock.monotonic() - self._changed_at_by_instance[instance]

    def expire_tombstones(self) -> None:
        """Remove the records of dead members that exceed the maximum age or count."""
        dead = self.in_state(MemberState.DEAD)
        dead.sort(key=lambda member: self.seconds_since_change(member.instance))
        for index, member in enumerate(dead):
            is_too_old = self.seconds_since_change(member.instance) > TOMBSTONE_RETENTION_SECONDS
            if is_too_old or index >= MAX_TOMBSTONE_COUNT:
                self.remove(member.instance)

    def _invalidate_cache(self) -> None:
        self._digest = None
        self._preferred = None

    def digest(self) -> int:
        """Return a nonzero hash of the members that are not dead.

        It covers their incarnations and states and does not depend on their order.
        """
        if self._digest is None:
            rows = sorted((m.instance, m.incarnation, int(m.state)) for m in self.present())
            self._digest = xxh3_64_intdigest(_encoder.encode(rows)) or 1
        return self._digest
