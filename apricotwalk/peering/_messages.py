"""The messages that two nodes of a mesh exchange."""

import msgspec
from msgspec import Struct

from apricotwalk.core import Suspect, Verdict, decode_payload
from apricotwalk.membership import Member

__all__ = [
    "CancelMessage",
    "ConfigurationMessage",
    "ConfigurationRequest",
    "ForwardMessage",
    "GoAwayMessage",
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
    """First message on a connection, from the side that opened it.

    Parameters
    ----------
    member : Member
        The sender's own record.
    """

    member: Member


class PingMessage(Struct, frozen=True, array_like=True, tag=2):
    """Asks for a sign of life and says what the sender knows.

    Parameters
    ----------
    configuration_version : int
        Version in force at the sender, 0 for none.
    members_digest : int
        Digest of the membership records that the sender holds.
    """

    configuration_version: int
    members_digest: int


class PongMessage(Struct, frozen=True, array_like=True, tag=3):
    """Answers a ping; the fields are those of the ping."""

    configuration_version: int
    members_digest: int


class ForwardMessage(Struct, frozen=True, array_like=True, tag=4):
    """Asks the receiving node to have its backend server run a request.

    Parameters
    ----------
    call : int
        Identifies this try on its connection; the reply repeats it.
    request_id : str
        Identifies the caller's try.
    route, service : str
        Which kind of request it is and who runs it.
    rank : int
        0 is the most urgent.
    at_most_once : bool
        Whether it must not run twice.
    is_repeat : bool
        Whether it may have reached another backend server before.
    remaining_ms : float
        Time in milliseconds until the answer is of no use.
    method, target : str
        HTTP request line; the target has its query.
    fields : bytes
        End-to-end header fields, each ended by CR LF.
    body : bytes
        Whole body.
    caller_service : str
        Service beside whose backend server the request began.
    suspects : list of Suspect
        What the sender knows of requests that crash backend servers.
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


class ReplyMessage(Struct, frozen=True, array_like=True, tag=5):
    """The outcome of a forwarded request.

    Parameters
    ----------
    call : int
        The try that this answers.
    verdict : Verdict
        Whether the request may have run.
    status : int
        HTTP status of the backend server's answer, 0 if there is none.
    cause : str
        Why there is no answer, or an empty string.
    fields : bytes
        End-to-end header fields of the answer, each ended by CR LF.
    body : bytes
        Whole body.
    load : float
        Work in flight and waiting over the limit of the answering node.
    reported_load : float
        Load that the backend server reports of itself.
    suspects : list of Suspect
        Requests that the answering node suspects of crashing servers.
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


class CancelMessage(Struct, frozen=True, array_like=True, tag=6):
    """Says that nobody waits for a forwarded request any more.

    Parameters
    ----------
    call : int
        The try to cancel.
    """

    call: int


class MembersMessage(Struct, frozen=True, array_like=True, tag=7):
    """Tells membership records.

    Parameters
    ----------
    members : list of Member
        The records.
    """

    members: list[Member]


class MembersRequest(Struct, frozen=True, array_like=True, tag=8):
    """Asks for every membership record."""


class ConfigurationRequest(Struct, frozen=True, array_like=True, tag=9):
    """Asks for the configuration in force."""


class ConfigurationMessage(Struct, frozen=True, array_like=True, tag=10):
    """Tells the configuration in force.

    Parameters
    ----------
    key : str
        Key under which the operator wrote it.
    encoded : bytes
        The configuration as the operator wrote it.
    """

    key: str
    encoded: bytes


class GoAwayMessage(Struct, frozen=True, array_like=True, tag=11):
    """Says that the sender takes no new requests and will answer the rest."""


class SuspectsMessage(Struct, frozen=True, array_like=True, tag=12):
    """Tells of requests suspected of crashing servers, right after a crash.

    Parameters
    ----------
    suspects : list of Suspect
        The newest suspects of the sender.
    """

    suspects: list[Suspect]


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
)

_encoder = msgspec.msgpack.Encoder()
_decoder: "msgspec.msgpack.Decoder[PeerMessage]" = msgspec.msgpack.Decoder(PeerMessage)


def encode_peer_message(message: PeerMessage) -> bytes:
    """Return the message as MessagePack."""
    return _encoder.encode(message)


def decode_peer_message(payload: bytes) -> PeerMessage:
    """Return the message written as MessagePack.

    Raises
    ------
    WireError
        If the payload is malformed.
    """
    return decode_payload(_decoder, payload, "message of a peer")
