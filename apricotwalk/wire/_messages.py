"""Messages of the call protocol between two nodes."""

import msgspec
from msgspec import Struct

from apricotwalk.core import Suspect, Verdict, decode_payload

__all__ = [
    "AnswerMessage",
    "CallMessage",
    "CancelMessage",
    "ChallengeMessage",
    "GoAwayMessage",
    "HelloMessage",
    "Message",
    "OwnedCallMessage",
    "PingMessage",
    "PongMessage",
    "SuspectsMessage",
    "ProofMessage",
    "decode_message",
    "encode_message",
]


class HelloMessage(Struct, frozen=True, array_like=True, tag=1):
    """The initiator's first message on a connection.

    Parameters
    ----------
    instance, availability_zone : str
        Identity of the initiator.
    nonce : bytes
        Random bytes for the acceptor to sign; empty without keys.
    """

    instance: str
    availability_zone: str
    nonce: bytes = b""


class ChallengeMessage(Struct, frozen=True, array_like=True, tag=20):
    """The acceptor's reply to a hello, with its proof.

    Parameters
    ----------
    nonce : bytes
        Random bytes for the initiator to sign.
    key_id : str
        Identifier of the key of the proof.
    proof : bytes
        Authentication code of both nonces.
    """

    nonce: bytes
    key_id: str
    proof: bytes


class ProofMessage(Struct, frozen=True, array_like=True, tag=21):
    """The initiator's reply to a challenge.

    Parameters
    ----------
    key_id : str
        Identifier of the key of the proof.
    proof : bytes
        Authentication code of both nonces.
    """

    key_id: str
    proof: bytes


class PingMessage(Struct, frozen=True, array_like=True, tag=2):
    """Keep-alive request, answered with a `PongMessage`."""


class PongMessage(Struct, frozen=True, array_like=True, tag=3):
    """Reply to a `PingMessage`."""


class CancelMessage(Struct, frozen=True, array_like=True, tag=4):
    """Cancels a call that has timed out or been cancelled at its caller.

    Parameters
    ----------
    call_id : str
        Identifier of the call.
    """

    call_id: str


class CallMessage(Struct, frozen=True, array_like=True, tag=5):
    """Asks the receiving node to execute work on its backend server.

    Parameters
    ----------
    call_id : str
        Identifier of this attempt, repeated in the answer.
    request_id : str
        Identifier of the whole request on all hops.
    customer, route, service : str
        Customer and route of the work, and the service that executes it.
    rank : int
        Rank of the whole request; 0 is the most urgent.
    remaining_ms : float
        Time to the deadline in milliseconds.
    retry_budget : int
        Number of retries allocated to this call and its inner calls.
    at_most_once : bool
        Whether the work must not run more than once.
    key : str
        Idempotency key, or an empty string.
    depth : int
        Number of hops from the entry node.
    stamp : int
        Hybrid logical time of the sender.
    method, path : str
        HTTP method and path for the backend server.
    headers : list of (str, str)
        HTTP headers for the backend server.
    body : bytes
        Whole body.
    digest : int
        64-bit XXH3 of the body.
    floor : float
        Minimum share of capacity guaranteed to the customer and entry route of the whole request.
    entry_route : str
        Route on which the whole request entered the mesh.
    lineage : str
        Key from which the keys of inner calls are derived; equal for all attempts.
    is_first_attempt : bool
        Whether the caller declares that it has not sent this work before.
    suspects : list of Suspect
        The sender's entry for this request, if it is suspected of crashing servers.
    """

    call_id: str
    request_id: str
    customer: str
    route: str
    service: str
    rank: int
    remaining_ms: float
    retry_budget: int
    at_most_once: bool
    key: str
    depth: int
    stamp: int
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    digest: int
    floor: float = 0.0
    entry_route: str = ""
    lineage: str = ""
    is_first_attempt: bool = False
    suspects: list[Suspect] = []


class OwnedCallMessage(Struct, frozen=True, array_like=True, tag=7):
    """Asks the owner of a key to have its work executed, or to return the known outcome.

    Parameters
    ----------
    incarnation : str
        Incarnation of the receiving node that owns the key.
    call : CallMessage
        The work; its `key` is the owned key.
    """

    incarnation: str
    call: CallMessage

    @property
    def call_id(self) -> str:
        """Identifier of the call, repeated in the answer."""
        return self.call.call_id


class GoAwayMessage(Struct, frozen=True, array_like=True, tag=8):
    """Announces that the sender accepts no new calls and will answer those in flight."""


class SuspectsMessage(Struct, frozen=True, array_like=True, tag=9):
    """Reports requests suspected of crashing servers, sent right after a crash.

    Parameters
    ----------
    suspects : list of Suspect
        The sender's most recently changed suspects.
    """

    suspects: list[Suspect]


class AnswerMessage(Struct, frozen=True, array_like=True, tag=6):
    """The outcome of a call.

    Parameters
    ----------
    call_id : str
        Identifier of the call.
    verdict : Verdict
        Whether the work may have run.
    status : int
        HTTP status code.
    cause : str
        Code for why there is no complete answer, or an empty string.
    detail : str
        Human-readable description of `cause`.
    retry_budget : int
        Number of allocated retries that were not used.
    stamp : int
        Hybrid logical time of the sender.
    headers : list of (str, str)
        HTTP headers of the answer.
    body : bytes
        Whole body.
    digest : int
        64-bit XXH3 of the body.
    load : float
        Calls in flight and queued, divided by the concurrency limit of the answering node.
    levels : dict of str to int
        Highest level currently admitted by each service on the call's chain.
    floor_shares : dict of str to float
        Share of the demand of the request's customer and entry route that their floor covers, by
        service on the call's chain.
    suspects : list of Suspect
        Most recently changed suspects of the answering node.
    reported_load : float
        Load reported by the backend server itself.
    """

    call_id: str
    verdict: Verdict
    status: int
    cause: str = ""
    detail: str = ""
    retry_budget: int = 0
    stamp: int = 0
    headers: list[tuple[str, str]] = []
    body: bytes = b""
    digest: int = 0
    load: float = 0.0
    levels: dict[str, int] = {}
    floor_shares: dict[str, float] = {}
    suspects: list[Suspect] = []
    reported_load: float = 0.0


Message = (
    HelloMessage
    | PingMessage
    | PongMessage
    | CancelMessage
    | CallMessage
    | AnswerMessage
    | OwnedCallMessage
    | GoAwayMessage
    | SuspectsMessage
    | ChallengeMessage
    | ProofMessage
)

_encoder = msgspec.msgpack.Encoder()
_decoder: "msgspec.msgpack.Decoder[Message]" = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message as MessagePack."""
    return _encoder.encode(message)


def decode_message(payload: bytes) -> Message:
    """Decode a message from MessagePack.

    Raises
    ------
    WireError
        If the payload is malformed.
    """
    return decode_payload(_decoder, payload, "message")
