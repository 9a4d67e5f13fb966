"""Profile the entry node under load on one path."""

import argparse
import asyncio
import pstats
import signal
import tempfile
from pathlib import Path

from apricotwalk_lab.bench._bench import CUSTOMER_HEADERS, BenchFleet, bench_plans, publish
from apricotwalk_lab.bench._load import PathLoad, run_loads
from apricotwalk_lab.bench.profiled_daemon import PROFILE_SUFFIX

__all__ = ["main", "profile_path"]

ENTRY_INSTANCE = "near-1"
STOP_TIMEOUT_SECONDS = 15.0
SORT_KEYS = ("tottime", "cumulative")


class _ProfiledFleet(BenchFleet):
    def node_module(self, name: str) -> str:
        """Return the module of the profiled daemon for the entry instance."""
        if name == ENTRY_INSTANCE:
            return "apricotwalk_lab.bench.profiled_daemon"
        return super().node_module(name)


async def profile_path(service: str, rate: float, seconds: float, directory: Path) -> pstats.Stats:
    """Profile the entry node under load on one service.

    Parameters
    ----------
    service : str
        Service to call, ``near`` or ``far``.
    rate : float
        Calls per second.
    seconds : float
        Length of the load in seconds.
    directory : Path
        Directory for settings files, logs and the profile.

    Returns
    -------
    pstats.Stats
        Profile of the entry node, including its start.
    """
    fleet = _ProfiledFleet(directory, bench_plans())
    try:
        await fleet.start()
        await publish(fleet)
        entry = fleet.instances_by_name[ENTRY_INSTANCE]
        load = PathLoad(service, entry.callers, f"/{service}", CUSTOMER_HEADERS, rate)
        await asyncio.to_thread(run_loads, [load], seconds)
        assert entry.node_process is not None
        entry.node_process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(entry.node_process.wait, STOP_TIMEOUT_SECONDS)
    finally:
        await fleet.close()
    return pstats.Stats(str(directory / f"{ENTRY_INSTANCE}.json{PROFILE_SUFFIX}"))


def main() -> None:
    """Print the functions in which the entry node spends the most time."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--service", choices=("near", "far"), default="near")
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--order", choices=SORT_KEYS, default=SORT_KEYS[0])
    parser.add_argument("--lines", type=int, default=60)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="apricotwalk-profile-") as name:
        run = profile_path(arguments.service, arguments.rate, arguments.seconds, Path(name))
        asyncio.run(run).sort_stats(arguments.order).print_stats(arguments.lines)


if __name__ == "__main__":
    main()
