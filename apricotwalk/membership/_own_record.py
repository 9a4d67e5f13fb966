"""Membership record of this node itself."""

import msgspec

from apricotwalk.membership._member import Member, MemberState

__all__ = ["OwnRecord"]


class OwnRecord:
    """Holds the record of this node and increases its incarnation with each change.

    Parameters
    ----------
    member : Member
        Initial record.
    """

    def __init__(self, member: Member) -> None:
        self.member = member

    def set_service(self, service: str) -> None:
        """Set the service that the backend server offers and the state ALIVE."""
        self._change(self.member.incarnation + 1, service=service, state=MemberState.ALIVE)

    def leave(self) -> None:
        """Set the state LEAVING: this node accepts no new work."""
        self._change(self.member.incarnation + 1, state=MemberState.LEAVING)

    def refute(self, received: Member) -> bool:
        """Raise the incarnation above that of a differing record of this node.

        Returns False, without a change, if `received` is older than the held record or equal
        to it.
        """
        if received.incarnation < self.member.incarnation or received == self.member:
            return False
        self._change(received.incarnation + 1)
        return True

    def _change(self, incarnation: int, **changes: object) -> None:
        self.member = msgspec.structs.replace(self.member, incarnation=incarnation, **changes)
