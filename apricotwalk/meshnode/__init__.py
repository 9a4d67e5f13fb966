"""Node of a mesh on the external platform."""

from apricotwalk.meshnode._node import MeshNode

__all__ = ["MeshNode"]
