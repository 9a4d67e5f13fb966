"""Node of a mesh on the users' platform."""

from apricotwalk.meshnode._node import MeshNode

__all__ = ["MeshNode"]
