"""Entry point of ``python -m apricotwalk_lab.measure``."""

import argparse
import asyncio
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from apricotwalk_lab.cities import City, load_city
from apricotwalk_lab.measure._cell import Cell, CellResult, run_cell
from apricotwalk_lab.measure._figures import compute_figures
from apricotwalk_lab.measure._fleets import start_fleet
from apricotwalk_lab.measure._plots import plot_goodput
from apricotwalk_lab.measure._scenarios import (
    FULL_TIMES,
    QUICK_TIMES,
    SCENARIOS,
    Scenario,
    Times,
)
from apricotwalk_lab.measure._table import read_figures, to_markdown
from apricotwalk_lab.measure._variants import VARIANTS

__all__ = ["main"]

QUICK_SCENARIOS = "b3"


@dataclass(slots=True)
class Plan:
    """The combinations that one run measures.

    Parameters
    ----------
    cities : list of City
        Cities whose fleets are started one after another.
    scenarios : list of Scenario
        Scenarios that run on each city.
    variants : list of str
        Names of the variants; each runs every scenario.
    seeds : list of int
        Seeds of the arrivals; each scenario runs once per seed.
    times : Times
        When the trigger begins and ends and the load stops.
    directory : Path
        Directory for the plots.
    results : list of CellResult
        Results so far, in the order of the runs.
    """

    cities: list[City]
    scenarios: list[Scenario]
    variants: list[str]
    seeds: list[int]
    times: Times
    directory: Path
    results: list[CellResult] = field(default_factory=list)


def main() -> None:
    """Run every cell, print its figures as one line of JSON and plot goodput."""
    parser = argparse.ArgumentParser(description="measure overload control under load")
    parser.add_argument(
        "--quick", action="store_true", help="short run of every variant on one city"
    )
    parser.add_argument("--cities", default="accra,lisbon")
    parser.add_argument("--scenarios", default="")
    parser.add_argument("--variants", default=",".join(VARIANTS))
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--examples", default="examples", help="directory that holds the cities")
    parser.add_argument("--out", default="out/measure")
    parser.add_argument(
        "--table", nargs="+", help="print a table of the figures in these files instead"
    )
    arguments = parser.parse_args()
    if arguments.table:
        print(to_markdown(read_figures([Path(path) for path in arguments.table])), end="")
        return
    asyncio.run(_measure(_plan(arguments)))


def _plan(arguments: argparse.Namespace) -> Plan:
    quick = arguments.quick
    short_names = (arguments.scenarios or (QUICK_SCENARIOS if quick else "")).split(",")
    selected = [s for s in SCENARIOS if short_names == [""] or s.short_name in short_names]
    names = "accra" if quick else arguments.cities
    return Plan(
        cities=[load_city(Path(arguments.examples) / name) for name in names.split(",")],
        scenarios=selected,
        variants=arguments.variants.split(","),
        seeds=[int(seed) for seed in arguments.seeds.split(",")],
        times=QUICK_TIMES if quick else FULL_TIMES,
        directory=Path(arguments.out),
    )


async def _measure(plan: Plan) -> None:
    plan.directory.mkdir(parents=True, exist_ok=True)
    for city in plan.cities:
        for variant in plan.variants:
            await _measure_variant(plan, city, variant)
        _plot(plan, city)


async def _measure_variant(plan: Plan, city: City, variant: str) -> None:
    fleet = await start_fleet(city, variant)
    try:
        for scenario in plan.scenarios:
            for seed in plan.seeds:
                cell = Cell(city, scenario, variant, seed, plan.times)
                result = await run_cell(fleet, cell)
                plan.results.append(result)
                print(msgspec.json.encode(compute_figures(result)).decode(), flush=True)
                if not result.is_settled:
                    await fleet.close()
                    fleet = await start_fleet(city, variant)
    finally:
        await fleet.close()


def _plot(plan: Plan, city: City) -> None:
    for scenario in plan.scenarios:
        results = [
            result
            for result in plan.results
            if result.cell.city is city
            and result.cell.scenario is scenario
            and result.cell.seed == plan.seeds[0]
        ]
        plot_goodput(results, plan.directory / f"{city.name}-{scenario.short_name}.png")


if __name__ == "__main__":
    main()
