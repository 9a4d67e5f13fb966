"""The record of this node itself."""

import msgspec

from apricotwalk.membership._member import Member, MemberState

__all__ = ["OwnRecord"]


class OwnRecord:
    """Only this node changes its own record; each change raises the incarnation.

    Parameters
    ----------
    member : Member
        The first record.
    """

    def __init__(self, member: Member) -> None:
        self.member = member

    def offer(self, service: str) -> None:
        """Say that the backend server offers `service`."""
        self._change(self.member.incarnation + 1, service=service, state=MemberState.ALIVE)

    def leave(self) -> None:
        """Say that this node takes no new work."""
        self._change(self.member.incarnation + 1, state=MemberState.LEAVING)

    def refute(self, claim: Member) -> bool:
        """Raise the incarnation above a claim that is not this node's; return whether it was."""
        if claim.incarnation < self.member.incarnation or claim == self.member:
            return False
        self._change(claim.incarnation + 1)
        return True

    def _change(self, incarnation: int, **changes: object) -> None:
        self.member = msgspec.structs.replace(self.member, incarnation=incarnation, **changes)
