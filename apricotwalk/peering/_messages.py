"""Messages exchanged between two nodes of a mesh.

Notes
-----
The tags and the order of the fields are the wire format.
"""

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct

from apricotwalk.core import MAX_COUNT, ServerNotice, Suspect, Verdict, decode_payload
from apricotwalk.membership import Member

__all__ = [
    "BodyAcceptMessage",
    "BodyOfferMessage",
    "BodyPartMessage",
    "CancelMessage",
    "ConfigurationMessage",
    "ConfigurationRequest",
    "ForwardMessage",
    "GoAwayMessage",
    "GossipDigest",
    "GreetingMessage",
    "MembersMessage",
    "MembersRequest",
    "PeerMessage",
    "PingMessage",
    "PongMessage",
    "ReplyMessage",
    "SuspectsMessage",
    "decode_peer_message",
    "encode_peer_message",
]


class GreetingMessage(Struct, frozen=True, array_like=True, tag=1):
    """First message on a connection, sent by the side that opened it.

    Parameters
    ----------
    member : Member
        Membership record of the sender.
    """

    member: Member


class GossipDigest(NamedTuple):
    """Summary of a node's state, by which peers detect what they are missing.

    Parameters
    ----------
    configuration_version : int
        Configuration version in force, 0 for none.
    members_digest : int
        Digest of the membership records.
    store_era : int
        Newest known era of the store, 0 for none.
    configuration_age_ms, members_age_ms : int or None
        Time in milliseconds since the node's configuration and membership records were known to
        be those of the store, or None if they never were.
    """

    configuration_version: int
    members_digest: int
    store_era: int
    configuration_age_ms: int | None = None
    members_age_ms: int | None = None


class _DigestMessage(Struct, frozen=True, array_like=True):
    """Message that carries the gossip digest of the sender.

    Parameters
    ----------
    configuration_version : int
        Configuration version in force at the sender, 0 for none.
    members_digest : int
        Digest of the membership records held by the sender.
    store_era : int
        Newest era of the store known to the sender, 0 for none.
    configuration_age_ms, members_age_ms : int or None
        Ages of the sender's copies, see `GossipDigest`.
    """

    configuration_version: int
    members_digest: int
    store_era: int = 0
    configuration_age_ms: Annotated[int, Meta(ge=0, le=MAX_COUNT)] | None = None
    members_age_ms: Annotated[int, Meta(ge=0, le=MAX_COUNT)] | None = None

    @property
    def digest(self) -> GossipDigest:
        """The gossip digest of the sender."""
        return GossipDigest(
            self.configuration_version,
            self.members_digest,
            self.store_era,
            self.configuration_age_ms,
            self.members_age_ms,
        )


class PingMessage(_DigestMessage, frozen=True, array_like=True, tag=2):
    """Heartbeat request that carries the gossip digest of the sender."""


class PongMessage(_DigestMessage, frozen=True, array_like=True, tag=3):
    """Answer to a ping, with the gossip digest of the answering node."""


class ForwardMessage(Struct, frozen=True, array_like=True, tag=4):
    """Request that the receiving node passes to its backend server.

    Parameters
    ----------
    call : int
        Identifier of this attempt on its connection; the reply repeats it.
    request_id : str
        Identifier of the caller's request, sent to the backend server.
    route, service : str
        Route that the request matched, and the service that runs it.
    rank : int
        Priority; 0 is the most urgent.
    at_most_once : bool
        Whether the request must not run twice.
    is_repeat : bool
        Whether an earlier attempt may have reached another backend server.
    remaining_ms : float
        Time until the deadline in milliseconds.
    method, target : str
        HTTP method and request target; the target includes the query.
    fields : bytes
        End-to-end header fields, each terminated by CR LF.
    body : bytes
        Complete body; empty on the wire if it is large, because its parts precede the message.
    caller_service : str
        Service of the instance at which the request entered the mesh.
    suspects : list of Suspect
        Requests that the sender suspects of crashing backend servers.
    notice : ServerNotice or None
        Newest notice of the receiver's backend server that the sender received in a reply.
    is_counted : bool
        Whether another node of the service has counted the first attempt of this request, which
        earns a fraction of a retry only once.
    body_length : int
        Length in bytes of a body whose parts preceded this message, otherwise 0.
    """

    call: int
    request_id: str
    route: str
    service: str
    rank: int
    at_most_once: bool
    is_repeat: bool
    remaining_ms: float
    method: str
    target: str
    fields: bytes
    body: bytes
    caller_service: str
    suspects: list[Suspect] = []
    notice: ServerNotice | None = None
    is_counted: bool = False
    body_length: Annotated[int, Meta(ge=0, le=MAX_COUNT)] = 0


class ReplyMessage(Struct, frozen=True, array_like=True, tag=5):
    """Outcome of a forwarded request.

    Parameters
    ----------
    call : int
        Identifier of the attempt, copied from the `ForwardMessage`.
    verdict : Verdict
        Whether the request may have run.
    status : int
        HTTP status of the backend server's response, 0 if there is none.
    cause : str
        Cause of the failure, empty if the backend server responded.
    fields : bytes
        End-to-end header fields of the response, each terminated by CR LF.
    body : bytes
        Complete body; empty on the wire if it is large, because its parts precede the message.
    load : float
        Work in flight and queued at the answering node, divided by its limit.
    reported_load : float
        Load reported by the backend server.
    suspects : list of Suspect
        Requests that the answering node suspects of crashing backend servers.
    notice : ServerNotice or None
        What the backend server currently announces, None if that is nothing or is not known.
    body_length : int
        Length in bytes of a body whose parts preceded this message, otherwise 0.
    """

    call: int
    verdict: Verdict
    status: int = 0
    cause: str = ""
    fields: bytes = b""
    body: bytes = b""
    load: float = 0.0
    reported_load: float = 0.0
    suspects: list[Suspect] = []
    notice: ServerNotice | None = None
    body_length: Annotated[int, Meta(ge=0, le=MAX_COUNT)] = 0


class CancelMessage(Struct, frozen=True, array_like=True, tag=6):
    """Cancellation of a forwarded request whose reply is no longer awaited.

    Parameters
    ----------
    call : int
        Identifier of the attempt to cancel.
    """

    call: int


class MembersMessage(Struct, frozen=True, array_like=True, tag=7):
    """Membership records, as a change or as the complete list.

    Parameters
    ----------
    members : list of Member
        Records known to the sender.
    """

    members: list[Member]


class MembersRequest(Struct, frozen=True, array_like=True, tag=8):
    """Request for all membership records of the receiver."""


class ConfigurationRequest(Struct, frozen=True, array_like=True, tag=9):
    """Request for the configuration in force at the receiver."""


class ConfigurationMessage(Struct, frozen=True, array_like=True, tag=10):
    """Configuration in force at the sender.

    Parameters
    ----------
    key : str
        Key under which the operator stored the configuration.
    encoded : bytes
        Configuration in the encoding that the operator stored.
    """

    key: str
    encoded: bytes


class GoAwayMessage(Struct, frozen=True, array_like=True, tag=11):
    """Notice that the sender accepts no new requests and answers the pending ones.

    Parameters
    ----------
    withdrawn_request_ids : list of str
        Identifiers of requests that the sender has forwarded and that must not start any more,
        because it ends before they would complete.
    """

    withdrawn_request_ids: list[str] = []


class SuspectsMessage(Struct, frozen=True, array_like=True, tag=12):
    """Requests suspected of crashing backend servers, sent right after a crash.

    Parameters
    ----------
    suspects : list of Suspect
        Newest suspects of the sender.
    """

    suspects: list[Suspect]


class BodyOfferMessage(Struct, frozen=True, array_like=True, tag=13):
    """Announcement of the large body of a request or reply, which precedes that message.

    Parameters
    ----------
    call : int
        Identifier of the attempt to which the body belongs.
    length : int
        Number of bytes.
    """

    call: int
    length: Annotated[int, Meta(ge=0, le=MAX_COUNT)]


class BodyAcceptMessage(Struct, frozen=True, array_like=True, tag=14):
    """Notice that the sender has the memory for an offered body.

    Parameters
    ----------
    call : int
        Identifier of the attempt to which the body belongs.
    """

    call: int


class BodyPartMessage(Struct, frozen=True, array_like=True, tag=15):
    """Next part of a body that the receiver has accepted.

    Parameters
    ----------
    call : int
        Identifier of the attempt to which the body belongs.
    data : bytes
        The part.
    """

    call: int
    data: bytes


PeerMessage = (
    GreetingMessage
    | PingMessage
    | PongMessage
    | ForwardMessage
    | ReplyMessage
    | CancelMessage
    | MembersMessage
    | MembersRequest
    | ConfigurationRequest
    | ConfigurationMessage
    | GoAwayMessage
    | SuspectsMessage
    | BodyOfferMessage
    | BodyAcceptMessage
    | BodyPartMessage
)

_encoder = msgspec.msgpack.Encoder()
_decoder: "msgspec.msgpack.Decoder[PeerMessage]" = msgspec.msgpack.Decoder(PeerMessage)


def encode_peer_message(message: PeerMessage) -> bytes:
    """Return `message` encoded as MessagePack."""
    return _encoder.encode(message)


def decode_peer_message(payload: bytes) -> PeerMessage:
    """Decode a message from MessagePack.

    Raises
    ------
    WireError
        If the payload is not a valid message.
    """
    return decode_payload(_decoder, payload, "peer message")
