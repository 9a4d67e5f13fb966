"""Measurement of the idle CPU time of the machine."""

import os
from dataclasses import dataclass
from pathlib import Path

__all__ = ["IdleMeter"]

STAT_PATH = Path("/proc/stat")
IDLE_FIELDS = (3, 4)


@dataclass(slots=True)
class _CpuTimes:
    idle: int
    total: int


class IdleMeter:
    """Measures the idle share of all cores since its construction."""

    def __init__(self) -> None:
        self._first = _read_cpu_times()

    def idle_share(self) -> float:
        """Return the idle share of all cores since construction, between 0 and 1."""
        last = _read_cpu_times()
        total = last.total - self._first.total
        return (last.idle - self._first.idle) / total if total else 1.0


def _read_cpu_times() -> _CpuTimes:
    if not STAT_PATH.exists():
        return _CpuTimes(0, os.times().elapsed.__int__())
    fields = [int(text) for text in STAT_PATH.read_text().split("\n", 1)[0].split()[1:9]]
    return _CpuTimes(sum(fields[index] for index in IDLE_FIELDS), sum(fields))
