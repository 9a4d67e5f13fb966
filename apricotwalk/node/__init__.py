"""Node process: the supervised services that run beside one backend server instance."""

from apricotwalk.node._node import Node

__all__ = ["Node"]
