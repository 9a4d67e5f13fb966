"""Encoding and authentication of control datagrams."""

import msgspec
from msgspec import Struct

from apricotwalk.control._keys import DIGEST_BYTES, KeyRing
from apricotwalk.core import WireError, decode_payload
from apricotwalk.settings import Address

__all__ = ["Envelope", "decode_envelope", "encode_envelope"]


class Envelope(Struct, frozen=True, array_like=True):
    """A control message with the fields for authentication, replay protection and dispatch.

    Parameters
    ----------
    kind : int
        Value of `ControlKind` that selects the handler.
    sender : str
        Instance that sent the message.
    address : Address
        Address to which answers are sent.
    incarnation : int
        Incarnation of the sender; it grows with each restart.
    counter : int
        Sequence number of the datagram within the incarnation.
    key_id : str
        Identifier of the key that authenticates the datagram.
    body : bytes
        The encoded message.
    """

    kind: int
    sender: str
    address: Address
    incarnation: int
    counter: int
    key_id: str
    body: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope, keys: KeyRing) -> bytes:
    """Encode `envelope` as a datagram, with its message authentication code at the end."""
    payload = _encoder.encode(envelope)
    return payload + keys.sign(payload)


def decode_envelope(datagram: bytes, keys: KeyRing) -> Envelope:
    """Decode a datagram and verify its message authentication code.

    Raises
    ------
    WireError
        If the datagram is malformed or its authentication code is wrong.  The first word of
        the error message is the cause, ``malformed`` or ``unauthentic``.
    """
    payload, digest = datagram[:-DIGEST_BYTES], datagram[-DIGEST_BYTES:]
    envelope = decode_payload(_decoder, payload, "datagram")
    if not keys.verify(envelope.key_id, payload, digest):
        raise WireError(f"unauthentic datagram of key {envelope.key_id!r}")
    return envelope
