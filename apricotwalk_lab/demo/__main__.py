"""Run the demonstration of both cities under a surge, with and without control."""

import argparse
import asyncio
import time
from pathlib import Path

from apricotwalk_lab.cities import City, load_city
from apricotwalk_lab.demo._plot import plot_shares
from apricotwalk_lab.demo._table import RankRow, format_table, rank_rows
from apricotwalk_lab.load import RetryPolicy
from apricotwalk_lab.measure import (
    CURRENT_COMMIT,
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
LABELS_BY_VARIANT = {NO_CONTROL: "no control", CURRENT_COMMIT: "with control"}
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
    """Prints progress lines with the seconds since the start."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()

    def print_line(self, text: str) -> None:
        """Print one line with the elapsed time."""
        print(f"[{time.monotonic() - self._started_at:5.1f} s] {text}", flush=True)

    async def print_phases(self, times: Times) -> None:
        """Print the name and length of each phase of the load when it begins."""
        self.print_line(f"  calm, {times.begin:g} s")
        await asyncio.sleep(times.begin)
        self.print_line(f"  surge, {times.end - times.begin:g} s")
        await asyncio.sleep(times.end - times.begin)
        self.print_line(f"  recovery, {times.stop - times.end:g} s")


async def _run_variant(progress: Progress, city: City, variant: str) -> CellResult:
    progress.print_line(
        f"{city.name}, {LABELS_BY_VARIANT[variant]}: starting {len(city.plans())} nodes"
    )
    fleet = await start_fleet(city, variant)
    try:
        cell = Cell(city, SURGE, variant, SEED, TIMES)
        result, _ = await asyncio.gather(run_cell(fleet, cell), progress.print_phases(TIMES))
    finally:
        await fleet.close()
    completed = sum(record.is_complete for record in result.records)
    progress.print_line(f"  {completed} of {len(result.records)} requests completed")
    return result


def _print_city(city: City, results: list[CellResult]) -> None:
    rows: list[RankRow] = []
    for result in results:
        rows += rank_rows(LABELS_BY_VARIANT[result.cell.variant], result.records)
    print(f"\n{city.name}: {SURGE.title}")
    print(format_table(rows))
    for result in results:
        _print_run_summary(result)


def _print_run_summary(result: CellResult) -> None:
    figures = compute_figures(result)
    recovery = figures.recovery_seconds
    recovered = "not within the run" if recovery is None else f"after {recovery:.1f} s"
    starvation_note = "; the machine was too busy for figures" if figures.is_starved else ""
    print(
        f"{LABELS_BY_VARIANT[result.cell.variant]}: recovered {recovered}, "
        f"{figures.executions_per_request:.2f} executions a request, "
        f"{figures.wasted_work:.0%} of the work wasted, "
        f"machine {result.idle_share:.0%} idle{starvation_note}"
    )


async def _run_demo(examples: Path, out: Path) -> None:
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
    progress.print_line("done")


def main() -> None:
    """Run the demonstration, print its tables and write its plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=Path, default=Path("examples"))
    parser.add_argument("--out", type=Path, default=Path("out/demo"))
    arguments = parser.parse_args()
    arguments.out.mkdir(parents=True, exist_ok=True)
    asyncio.run(_run_demo(arguments.examples, arguments.out))


if __name__ == "__main__":
    main()
