"""Connections between the nodes of a mesh: typed messages on one connection a direction."""

from apricotwalk.peering._links import PeerLinks
from apricotwalk.peering._listener import PeerHandler, PeerListener
from apricotwalk.peering._messages import (
    CancelMessage,
    ConfigurationMessage,
    ConfigurationRequest,
    ForwardMessage,
    GoAwayMessage,
    GreetingMessage,
    MembersMessage,
    MembersRequest,
    PeerMessage,
    PingMessage,
    PongMessage,
    ReplyMessage,
    SuspectsMessage,
    decode_peer_message,
    encode_peer_message,
)

__all__ = [
    "CancelMessage",
    "ConfigurationMessage",
    "ConfigurationRequest",
    "ForwardMessage",
    "GoAwayMessage",
    "GreetingMessage",
    "MembersMessage",
    "MembersRequest",
    "PeerHandler",
    "PeerLinks",
    "PeerListener",
    "PeerMessage",
    "PingMessage",
    "PongMessage",
    "ReplyMessage",
    "SuspectsMessage",
    "decode_peer_message",
    "encode_peer_message",
]
