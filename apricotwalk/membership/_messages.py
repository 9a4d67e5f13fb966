"""The control messages of membership."""

import msgspec
from msgspec import Struct

from apricotwalk.core import decode_payload
from apricotwalk.membership._member import Member
from apricotwalk.settings import Address

__all__ = [
    "MAX_ANSWER_MEMBER_COUNT",
    "AckMessage",
    "ChangesMessage",
    "IndirectProbeMessage",
    "MembershipMessage",
    "Peer",
    "ProbeMessage",
    "SampleMessage",
    "WatchAnswerMessage",
    "WatchMessage",
    "decode_membership",
]

MAX_ANSWER_MEMBER_COUNT = 48


class Peer(Struct, frozen=True, array_like=True):
    """A node of any service with which samples and configuration are exchanged.

    Parameters
    ----------
    address : Address
        Address at which it listens for peers.
    region : str
        Region of the node.
    """

    address: Address
    region: str


class ProbeMessage(Struct, frozen=True, array_like=True, tag=1):
    """Probes a member of the same service.

    Parameters
    ----------
    sequence : int
        Number that the acknowledgement repeats.
    changes : list of Member
        Records to gossip: recent changes, periodically the sender's own record, and a record
        of the receiver that it may refute.
    piggyback : list of bytes
        State of other components, in the order in which they were added.
    """

    sequence: int
    changes: list[Member]
    piggyback: list[bytes] = []


class AckMessage(Struct, frozen=True, array_like=True, tag=2):
    """Acknowledges a probe; the fields are those of `ProbeMessage`."""

    sequence: int
    changes: list[Member]
    piggyback: list[bytes] = []


class IndirectProbeMessage(Struct, frozen=True, array_like=True, tag=3):
    """Requests a probe of another member and the forwarding of its acknowledgement.

    Parameters
    ----------
    sequence : int
        Number that the forwarded acknowledgement repeats.
    target : Address
        Address of the member to probe.
    """

    sequence: int
    target: Address


class ChangesMessage(Struct, frozen=True, array_like=True, tag=4):
    """Notifies the receiver of changed records without waiting for a probe.

    Parameters
    ----------
    changes : list of Member
        The changed records.
    """

    changes: list[Member]


class WatchMessage(Struct, frozen=True, array_like=True, tag=5):
    """Queries the members of a service and optionally subscribes to changes.

    Parameters
    ----------
    service : str
        The service.
    digest : int
        Digest of the members that the sender holds, or 0 to receive the members in any case.
    subscribes : bool
        Whether the sender subscribes to changes.
    """

    service: str
    digest: int
    subscribes: bool


class WatchAnswerMessage(Struct, frozen=True, array_like=True, tag=6):
    """Answers a `WatchMessage`.

    Parameters
    ----------
    service : str
        The service.
    digest : int
        Digest of all members of the service, or 0 if the sender knows none.
    next_after_ms : int
        Time in milliseconds after which to repeat the query.
    members : list of Member or None
        At most `MAX_ANSWER_MEMBER_COUNT` members, or None if the digest of the query matches.
    """

    service: str
    digest: int
    next_after_ms: int
    members: list[Member] | None = None


class SampleMessage(Struct, frozen=True, array_like=True, tag=7):
    """Exchanges a random sample of peers.

    Parameters
    ----------
    peers : list of Peer
        The sender, followed by a random subset of its sample.
    is_answer : bool
        Whether this message answers another `SampleMessage`.
    """

    peers: list[Peer]
    is_answer: bool = False


MembershipMessage = (
    ProbeMessage
    | AckMessage
    | IndirectProbeMessage
    | ChangesMessage
    | WatchMessage
    | WatchAnswerMessage
    | SampleMessage
)

_decoder: "msgspec.msgpack.Decoder[MembershipMessage]" = msgspec.msgpack.Decoder(MembershipMessage)


def decode_membership(body: bytes) -> MembershipMessage:
    """Decode a membership message from MessagePack.

    Raises
    ------
    WireError
        If the body is malformed.
    """
    return decode_payload(_decoder, body, "membership message")
