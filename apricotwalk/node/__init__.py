"""The supervisor tree of one node."""

from apricotwalk.node._node import Node

__all__ = ["Node"]
