"""The outer layer of each control datagram."""

import msgspec
from msgspec import Struct

from apricotwalk.control._keys import DIGEST_BYTES, KeyRing
from apricotwalk.core import WireError, decode_payload
from apricotwalk.settings import Address

__all__ = ["Envelope", "decode_envelope", "encode_envelope"]


class Envelope(Struct, frozen=True, array_like=True):
    """A control message with what its receiver checks first.

    Parameters
    ----------
    kind : int
        Which part of the node the message is for.
    sender : str
        Instance that sent it.
    address : Address
        Where the sender takes answers.
    incarnation : int
        Start of the sender.
    counter : int
        Grows with each datagram of this incarnation.
    key_id : str
        Key under which it is signed.
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
    """Return the datagram for `envelope`."""
    payload = _encoder.encode(envelope)
    return payload + keys.sign(payload)


def decode_envelope(datagram: bytes, keys: KeyRing) -> Envelope:
    """Return the envelope in a datagram.

    Raises
    ------
    WireError
        If the datagram is malformed or its authentication code is wrong; the first word of
        the message says which.
    """
    payload, digest = datagram[:-DIGEST_BYTES], datagram[-DIGEST_BYTES:]
    envelope = decode_payload(_decoder, payload, "datagram")
    if not keys.verify(envelope.key_id, payload, digest):
        raise WireError(f"unauthentic datagram of key {envelope.key_id!r}")
    return envelope
