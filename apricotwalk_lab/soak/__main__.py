"""Run soak tests by seed: ``python -m apricotwalk_lab.soak --seed 1 --count 50 --jobs 2``."""

import argparse
import asyncio
import json
import logging
import signal
import sys
from dataclasses import asdict
from pathlib import Path

from apricotwalk_lab.soak._plan import draw_plan
from apricotwalk_lab.soak._run import SoakReport, run_soak


def main() -> int:
    """Print one JSON line per seed and a summary; return 1 if any guarantee was violated."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=10, help="number of seeds")
    parser.add_argument("--nodes", type=int, default=8, help="number of nodes in each run")
    parser.add_argument("--jobs", type=int, default=1, help="number of concurrent runs")
    parser.add_argument(
        "--out", type=Path, default=Path("out/soak"), help="directory for the output of the nodes"
    )
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.count)
    directories_by_seed = {seed: arguments.out / f"seed-{seed}" for seed in seeds}
    for directory in directories_by_seed.values():
        directory.mkdir(parents=True, exist_ok=True)
    reports = asyncio.run(_run_seeds(directories_by_seed, arguments.nodes, arguments.jobs))
    failed_seeds = [report.seed for report in reports if report.broken]
    print(
        f"{len(reports) - len(failed_seeds)} passed, {len(failed_seeds)} failed; "
        f"red seeds: {failed_seeds}"
    )
    return 1 if failed_seeds else 0


async def _run_seeds(
    directories_by_seed: dict[int, Path], node_count: int, jobs: int
) -> list[SoakReport]:
    semaphore = asyncio.Semaphore(jobs)
    # On SIGTERM the runs are cancelled, so that their node processes end before the soak exits.
    main_task = asyncio.current_task()
    assert main_task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, main_task.cancel)
    # Callers and nodes disconnect during requests in every run, so the access log is suppressed.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)

    async def run_seed(seed: int) -> SoakReport:
        async with semaphore:
            plan = draw_plan(seed, node_count)
            report = await run_soak(plan, directories_by_seed[seed])
        print(json.dumps(asdict(report)), flush=True)
        return report

    return await asyncio.gather(*(run_seed(seed) for seed in directories_by_seed))


if __name__ == "__main__":
    sys.exit(main())
