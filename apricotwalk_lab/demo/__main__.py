"""Entry point of the demonstration."""

import argparse
import asyncio
import time
from pathlib import Path

from apricotwalk_lab.cities import City, load_city
from apricotwalk_lab.demo._plot import plot_shares
from apricotwalk_lab.demo._table import RankRow, format_table, rank_rows
from apricotwalk_lab.load import RetryPolicy
from apricotwalk_lab.measure import (
    COMMIT,
    NO_CONTROL,
    Cell,
    CellResult,
    Scenario,
    Times,
    compute_figures,
    run_cell,
    start_fleet,
)

__all__ = ["main"]

CITIES = ("accra", "lisbon")
LABELS_BY_VARIANT = {NO_CONTROL: "no control", COMMIT: "with control"}
SURGE_FACTOR = 5.0
SURGE = Scenario(
    "demo",
    f"surge {SURGE_FACTOR:g}x, callers retry",
    surge=SURGE_FACTOR,
    policy=RetryPolicy(tries=3, wait_seconds=0.1),
)
TIMES = Times(begin=2.0, end=5.0, stop=9.0)
SEED = 1
PLOT_NAME = "demo.png"


class Progress:
    """Prints lines with the seconds since the start."""

    def __init__(self) -> None:
        self._began = time.monotonic()

    def say(self, text: str) -> None:
        """Print one line."""
        print(f"[{time.monotonic() - self._began:5.1f} s] {text}", flush=True)

    async def follow(self, times: Times) -> None:
        """Name each stretch of the load as it begins."""
        self.say(f"  calm, {times.begin:g} s")
        await asyncio.sleep(times.begin)
        self.say(f"  surge, {times.end - times.begin:g} s")
        await asyncio.sleep(times.end - times.begin)
        self.say(f"  recovery, {times.stop - times.end:g} s")


async def _run_variant(progress: Progress, city: City, variant: str) -> CellResult:
    progress.say(f"{city.name}, {LABELS_BY_VARIANT[variant]}: starting {len(city.plans())} nodes")
    fleet = await start_fleet(city, variant)
    try:
        cell = Cell(city, SURGE, variant, SEED, TIMES)
        result, _ = await asyncio.gather(run_cell(fleet, cell), progress.follow(TIMES))
    finally:
        await fleet.close()
    completed = sum(record.is_complete for record in result.records)
    progress.say(f"  {completed} of {len(result.records)} requests completed")
    return result


def _print_city(city: City, results: list[CellResult]) -> None:
    rows: list[RankRow] = []
    for result in results:
        rows += rank_rows(LABELS_BY_VARIANT[result.cell.variant], result.records)
    print(f"\n{city.name}: {SURGE.title}")
    print(format_table(rows))
    for result in results:
        _print_whole_run(result)


def _print_whole_run(result: CellResult) -> None:
    figures = compute_figures(result)
    recovery = figures.recovery_seconds
    recovered = "not within the run" if recovery is None else f"after {recovery:.1f} s"
    note = "; the machine was too busy for figures" if figures.is_starved else ""
    print(
        f"{LABELS_BY_VARIANT[result.cell.variant]}: recovered {recovered}, "
        f"{figures.executions_per_request:.2f} executions a request, "
        f"{figures.wasted_work:.0%} of the work wasted, "
        f"machine {result.idle_share:.0%} idle{note}"
    )


async def _demonstrate(examples: Path, out: Path) -> None:
    progress = Progress()
    results_by_city: dict[str, list[CellResult]] = {}
    cities = [load_city(examples / name) for name in CITIES]
    for city in cities:
        results_by_city[city.name] = [
            await _run_variant(progress, city, variant) for variant in LABELS_BY_VARIANT
        ]
    for city in cities:
        _print_city(city, results_by_city[city.name])
    plot_shares(list(results_by_city.values()), LABELS_BY_VARIANT, out / PLOT_NAME)
    print(f"\nplot: {out / PLOT_NAME}")
    progress.say("done")


def main() -> None:
    """Run the demonstration."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=Path, default=Path("examples"))
    parser.add_argument("--out", type=Path, default=Path("out/demo"))
    arguments = parser.parse_args()
    arguments.out.mkdir(parents=True, exist_ok=True)
    asyncio.run(_demonstrate(arguments.examples, arguments.out))


if __name__ == "__main__":
    main()
