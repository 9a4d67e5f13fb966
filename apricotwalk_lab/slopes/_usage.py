"""CPU time and memory of a process, read from ``/proc``."""

import os
from pathlib import Path

__all__ = ["cpu_seconds", "resident_megabytes"]

USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12
RESIDENT_FIELD = 1
BYTES_PER_MEGABYTE = 1_000_000


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time of a process in seconds."""
    content = Path(f"/proc/{pid}/stat").read_text()
    fields = content.rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_megabytes(pid: int) -> float:
    """Return the resident memory of a process in units of 1,000,000 bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[RESIDENT_FIELD])
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MEGABYTE
