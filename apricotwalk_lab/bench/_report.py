"""Output rows of the benchmark."""

import msgspec
from msgspec import Struct

__all__ = ["BenchRow", "format_row"]


class BenchRow(Struct):
    """Measured cost of one path.

    Parameters
    ----------
    path : str
        Name of the path: ``direct``, ``one-node``, ``two-nodes`` or ``inner-call``.
    rate : float
        Calls per second.
    p50_ms, p99_ms : float
        Percentiles of the latency of the path, in milliseconds.
    added_p50_ms, added_p99_ms : float
        Difference to the percentiles of concurrent direct calls, in milliseconds.
    cpu_us_per_call : dict of str to float
        CPU time per call above the idle consumption, in microseconds, by process.
    idle_cpu_percent : dict of str to float
        CPU usage without load, in percent of a core, by process.
    rss_mb : dict of str to float
        Resident set size of the entry node's daemon in MB: before the first measurement under the
        key "idle", after the measurement of this path under the key "loaded".
    calls, failures : int
        Number of calls made, and of those without a response of status 200.
    idle_share : float
        Fraction of CPU time that the machine was idle during the run.
    """

    path: str
    rate: float
    p50_ms: float
    p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    cpu_us_per_call: dict[str, float]
    idle_cpu_percent: dict[str, float]
    rss_mb: dict[str, float]
    calls: int
    failures: int
    idle_share: float


def format_row(row: BenchRow) -> str:
    """Return the row as one line of JSON with numbers rounded to two decimals."""
    return msgspec.json.encode(_rounded(msgspec.to_builtins(row))).decode()


def _rounded(value: object) -> object:
    if isinstance(value, float):
        return round(value, 2)
    if isinstance(value, dict):
        return {key: _rounded(each) for key, each in value.items()}
    return value
