"""Mutual authentication when a connection between two nodes is opened."""

import asyncio
import secrets

import msgspec
from tornado.iostream import IOStream

from apricotwalk.control import KeyRing
from apricotwalk.core import WireError
from apricotwalk.wire._frames import read_frame, write_frame
from apricotwalk.wire._messages import ChallengeMessage, HelloMessage, ProofMessage

__all__ = ["accept_handshake", "initiate_handshake"]

NONCE_BYTES = 16
MAX_HANDSHAKE_FRAME_BYTES = 1024
HANDSHAKE_TIMEOUT_SECONDS = 1.0


async def initiate_handshake(stream: IOStream, hello: HelloMessage, keys: KeyRing) -> None:
    """Send the hello and, where keys are configured, authenticate both sides.

    Raises
    ------
    WireError
        If the acceptor does not prove that it has one of the keys.
    StreamClosedError
        If the acceptor closes the connection.
    TimeoutError
        If the acceptor sends no challenge within 1 s.

    Notes
    -----
    Each side signs both nonces with a label for its role, which prevents replay and reflection
    of a proof.
    """
    if not keys.is_keyed:
        write_frame(stream, hello)
        return
    try:
        await _authenticate_as_initiator(stream, hello, keys)
    except (WireError, TimeoutError):
        stream.close()
        raise


async def _authenticate_as_initiator(stream: IOStream, hello: HelloMessage, keys: KeyRing) -> None:
    nonce = secrets.token_bytes(NONCE_BYTES)
    write_frame(stream, msgspec.structs.replace(hello, nonce=nonce))
    async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
        challenge = await read_frame(stream, MAX_HANDSHAKE_FRAME_BYTES)
    if not isinstance(challenge, ChallengeMessage):
        raise WireError("unauthentic peer sent no challenge")
    signed = _signed_bytes(b"accepting", nonce, challenge.nonce, hello.instance)
    if not keys.verify(challenge.key_id, signed, challenge.proof):
        raise WireError(f"unauthentic peer with key {challenge.key_id!r}")
    signed = _signed_bytes(b"opening", nonce, challenge.nonce, hello.instance)
    write_frame(stream, ProofMessage(keys.signing_id, keys.sign(signed)))


async def accept_handshake(stream: IOStream, keys: KeyRing) -> None:
    """Authenticate the initiator of a connection, where keys are configured.

    Raises
    ------
    WireError
        If the initiator does not prove within 1 s that it has one of the keys.
    StreamClosedError
        If the initiator closes the connection.

    Notes
    -----
    Without keys nothing is read: the caller receives the hello as the first message.
    """
    if not keys.is_keyed:
        return
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
            await _authenticate_initiator(stream, keys)
    except TimeoutError as error:
        raise WireError("unauthentic peer did not finish its handshake") from error


async def _authenticate_initiator(stream: IOStream, keys: KeyRing) -> None:
    hello = await read_frame(stream, MAX_HANDSHAKE_FRAME_BYTES)
    if not isinstance(hello, HelloMessage) or len(hello.nonce) != NONCE_BYTES:
        raise WireError("unauthentic peer sent no hello with a nonce")
    nonce = secrets.token_bytes(NONCE_BYTES)
    signed = _signed_bytes(b"accepting", hello.nonce, nonce, hello.instance)
    write_frame(stream, ChallengeMessage(nonce, keys.signing_id, keys.sign(signed)))
    proof = await read_frame(stream, MAX_HANDSHAKE_FRAME_BYTES)
    signed = _signed_bytes(b"opening", hello.nonce, nonce, hello.instance)
    if not isinstance(proof, ProofMessage) or not keys.verify(proof.key_id, signed, proof.proof):
        raise WireError(f"unauthentic peer claims to be {hello.instance}")


def _signed_bytes(
    label: bytes, initiator_nonce: bytes, acceptor_nonce: bytes, instance: str
) -> bytes:
    return b"\0".join((label, initiator_nonce, acceptor_nonce, instance.encode()))
