"""Benchmark of the overhead that nodes add to a call."""

from apricotwalk_lab.bench._load import PathLoad, run_loads
from apricotwalk_lab.bench._processes import cpu_seconds, idle_share, resident_megabytes
from apricotwalk_lab.bench._report import BenchRow, format_row

__all__ = [
    "BenchRow",
    "PathLoad",
    "cpu_seconds",
    "format_row",
    "idle_share",
    "resident_megabytes",
    "run_loads",
]
