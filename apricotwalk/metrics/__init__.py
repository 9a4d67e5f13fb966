"""Prometheus metrics of a node, separate from telemetry because of the large dependency."""

from apricotwalk.metrics._mesh_metrics import MeshMetrics

__all__ = ["MeshMetrics"]
