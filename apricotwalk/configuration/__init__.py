"""Replication of the configuration to each node from the log service and from peers."""

from apricotwalk.configuration._follower import ConfigurationFollower
from apricotwalk.configuration._strategy import (
    PLAIN_PULL,
    PLAIN_PUSH,
    PUSH_YOUNG_PULL_OLD,
    GossipStrategy,
)

__all__ = [
    "PLAIN_PULL",
    "PLAIN_PUSH",
    "PUSH_YOUNG_PULL_OLD",
    "ConfigurationFollower",
    "GossipStrategy",
]
