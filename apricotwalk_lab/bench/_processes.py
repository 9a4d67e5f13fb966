"""CPU time and memory of processes, read from ``/proc``."""

from pathlib import Path

__all__ = ["cpu_seconds", "idle_share", "machine_times", "resident_megabytes"]

NANOSECONDS_PER_SECOND = 1e9
KILOBYTES_PER_MEGABYTE = 1024
IDLE_FIELD_INDEX = 3


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process in seconds, summed over its current threads."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / NANOSECONDS_PER_SECOND


def resident_megabytes(pid: int) -> float:
    """Return the resident set size of a process in units of 1024 kB, 0 if none is reported."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KILOBYTES_PER_MEGABYTE
    return 0.0


def machine_times() -> list[int]:
    """Return the CPU time of the whole machine in clock ticks, in the order of ``/proc/stat``."""
    first = Path("/proc/stat").read_text().splitlines()[0]
    return [int(field) for field in first.split()[1:]]


def idle_share(before: list[int], after: list[int]) -> float:
    """Return the fraction of CPU time that the machine was idle between two readings.

    Parameters
    ----------
    before, after : list of int
        Readings of `machine_times`.

    Returns
    -------
    float
        Fraction between 0 and 1.

    Examples
    --------
    >>> idle_share([0, 0, 0, 0], [10, 0, 10, 80])
    0.8
    """
    elapsed_ticks = [
        tick_after - tick_before for tick_before, tick_after in zip(before, after, strict=True)
    ]
    return elapsed_ticks[IDLE_FIELD_INDEX] / max(1, sum(elapsed_ticks))
