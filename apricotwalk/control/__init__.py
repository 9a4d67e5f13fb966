"""Authenticated UDP datagrams that carry control messages between nodes."""

from apricotwalk.control._envelope import Envelope, decode_envelope, encode_envelope
from apricotwalk.control._keys import NO_KEYS, KeyRing
from apricotwalk.control._replay import ReplayGuard
from apricotwalk.control._socket import ControlHandler, ControlKind, ControlSocket, Sender

__all__ = [
    "NO_KEYS",
    "ControlHandler",
    "ControlKind",
    "ControlSocket",
    "Envelope",
    "KeyRing",
    "ReplayGuard",
    "Sender",
    "decode_envelope",
    "encode_envelope",
]
