"""Membership record of one node and its backend server."""

from enum import IntEnum
from typing import Annotated

from msgspec import Meta, Struct

from apricotwalk.core import Departure
from apricotwalk.settings import Address

__all__ = ["Member", "MemberState"]

# A node that finds its record superseded continues from the larger incarnation, which must remain
# below the largest integer that MessagePack can encode.
MAX_INCARNATION = 2**62


class MemberState(IntEnum):
    """State of a member; the larger value takes precedence at the same incarnation."""

    ALIVE = 0
    SUSPECTED = 1
    LEAVING = 2
    DEAD = 3


class Member(Struct, frozen=True, array_like=True):
    """Record of a node and the service that its backend server offers.

    Parameters
    ----------
    instance : str
        Name of the instance.
    service : str
        Service that the backend server offers, or an empty string before it is announced.
    availability_zone, region : str
        Location of the instance.
    address : Address
        Address at which the node listens for peers.
    incarnation : int
        Version of the record, increased by each start of the node, each announcement, each
        leave and each refuted suspicion.
    state : MemberState
        State of the member.
    departure : Departure or None
        Latest departure of a backend server that the node has acknowledged.
    """

    instance: str
    service: str
    availability_zone: str
    region: str
    address: Address
    incarnation: Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
    state: MemberState = MemberState.ALIVE
    departure: Departure | None = None

    def supersedes(self, other: "Member") -> bool:
        """Return whether this record is newer than `other` of the same instance."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)
