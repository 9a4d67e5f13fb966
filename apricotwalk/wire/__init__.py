"""Calls between nodes: typed messages on multiplexed TCP connections."""

from apricotwalk.wire._link import PeerLink
from apricotwalk.wire._messages import (
    AnswerMessage,
    CallMessage,
    CancelMessage,
    GoAwayMessage,
    HelloMessage,
    Message,
    OwnedCallMessage,
    PingMessage,
    PongMessage,
    SuspectsMessage,
    decode_message,
    encode_message,
)
from apricotwalk.wire._pool import PeerPool
from apricotwalk.wire._server import CallHandler, OwnedCallHandler, PeerServer

__all__ = [
    "AnswerMessage",
    "CallHandler",
    "CallMessage",
    "CancelMessage",
    "GoAwayMessage",
    "HelloMessage",
    "Message",
    "OwnedCallHandler",
    "OwnedCallMessage",
    "PeerLink",
    "PeerPool",
    "PeerServer",
    "PingMessage",
    "PongMessage",
    "SuspectsMessage",
    "decode_message",
    "encode_message",
]
