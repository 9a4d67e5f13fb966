"""Metrics that a node serves as text, apart from telemetry because their library is large."""

from apricotwalk.metrics._mesh_metrics import MeshMetrics

__all__ = ["MeshMetrics"]
