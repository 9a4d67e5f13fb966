"""Connections between the nodes of a mesh.

Notes
-----
Each node opens its own connection to a peer and sends its calls on it, so two nodes that call
each other hold two connections.  Messages are typed and encoded as MessagePack.
"""

from apricotwalk.peering._links import PeerLinks
from apricotwalk.peering._listener import PeerHandler, PeerListener
from apricotwalk.peering._messages import (
    CancelMessage,
    ConfigurationMessage,
    ConfigurationRequest,
    ForwardMessage,
    GoAwayMessage,
    GossipDigest,
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
    "GossipDigest",
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
