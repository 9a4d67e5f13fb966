"""Random pairs of faults, drawn with a seed and applied under a standard load."""

import asyncio
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass
from importlib.resources import files
from pathlib import Path

from apricotwalk_lab.scenarios._parser import read_scenario
from apricotwalk_lab.scenarios._runner import Result, not_ready_result, run_scenario

__all__ = ["draw_fault_pair", "run_fault_pairs"]

INSTANCES = ("ledger-1", "ledger-2", "records-1", "records-2", "roster-1")
SERVICES = ("ledger", "records")
EARLIEST_BEGIN_SECONDS = 0.5
LATEST_BEGIN_SECONDS = 2.0
MIN_FAULT_SECONDS = 0.5
LATEST_END_SECONDS = 3.5
DRAIN_BEGIN_SECONDS = 0.5
POISON_LOAD = (
    'load deadly POST /poison by school 1 per second from 1 s to 3 s body "deadly" resends 2'
)

STANDARD_STATEMENTS = (
    files("apricotwalk_lab.scenarios").joinpath("standard.scenario").read_text("utf-8")
)


@dataclass(frozen=True, slots=True)
class _Span:
    """Scenario seconds at which a fault is applied and reverted."""

    begins: float
    ends: float

    def statement_at_begin(self, fault: str) -> str:
        """Return `fault` as a statement timed at the beginning."""
        return f"at {self.begins:.2f} s {fault}"

    def statement_at_end(self, fault: str) -> str:
        """Return `fault` as a statement timed at the end."""
        return f"at {self.ends:.2f} s {fault}"


def draw_fault_pair(seed: int) -> str:
    """Generate a scenario with two random faults.

    Parameters
    ----------
    seed : int
        Seed of the random generator; the same seed gives the same scenario.

    Returns
    -------
    str
        Text in the scenario language.
    """
    generator = random.Random(seed)
    kinds = generator.sample(sorted(_FAULTS_BY_KIND), 2)
    lines = [f'scenario "Pair {seed}: {kinds[0]} and {kinds[1]}"', STANDARD_STATEMENTS]
    for number, kind in enumerate(kinds):
        begins = generator.uniform(EARLIEST_BEGIN_SECONDS, LATEST_BEGIN_SECONDS)
        ends = generator.uniform(begins + MIN_FAULT_SECONDS, LATEST_END_SECONDS)
        lines += _draw_statements(kind, _Span(begins, ends), 2 + number, generator)
    lines.append("expect at least 80 % of later completed")
    return "\n".join(lines) + "\n"


async def run_fault_pairs(
    seeds: list[int], directory: Path, parallel: int, without: list[str]
) -> AsyncIterator[Result]:
    """Run the fault pair of each seed, with bounded concurrency.

    Parameters
    ----------
    seeds : list of int
        Seeds, one for each pair.
    directory : Path
        Directory for the scenario and the records of each pair.
    parallel : int
        Maximum number of fleets that run concurrently.
    without : list of str
        Names of the mechanisms that are disabled on every node.

    Yields
    ------
    Result
        One for each seed, in the order of completion.
    """
    semaphore = asyncio.Semaphore(parallel)
    runs = [asyncio.create_task(_run_pair(seed, directory, semaphore, without)) for seed in seeds]
    for finished in asyncio.as_completed(runs):
        yield await finished


async def _run_pair(
    seed: int, directory: Path, semaphore: asyncio.Semaphore, without: list[str]
) -> Result:
    run_directory = directory / f"pair-{seed}"
    run_directory.mkdir(parents=True, exist_ok=True)
    path = run_directory / "pair.scenario"
    path.write_text(draw_fault_pair(seed), encoding="utf-8")
    async with semaphore:
        try:
            return await run_scenario(read_scenario(path), seed, run_directory, without)
        except TimeoutError:
            return not_ready_result(str(path), seed, without)


def _draw_statements(kind: str, span: _Span, version: int, generator: random.Random) -> list[str]:
    name, other = generator.sample(INSTANCES, 2)
    placeholders = {
        "name": name,
        "other": other,
        "service": generator.choice(SERVICES),
        "count": str(generator.randint(1, 6)),
        "version": str(version),
    }
    begin_fault, end_fault = _FAULTS_BY_KIND[kind]
    if kind == "drain":
        span = _Span(DRAIN_BEGIN_SECONDS, span.ends)
    if kind == "crash":
        return [
            POISON_LOAD,
            span.statement_at_begin('crash records on "deadly"'),
            span.statement_at_end("replace records-1"),
            span.statement_at_end("replace records-2"),
        ]
    lines = [span.statement_at_begin(begin_fault.format(**placeholders))]
    if end_fault:
        lines.append(span.statement_at_end(end_fault.format(**placeholders)))
    if kind == "drain":
        lines.append(f"expect last work on {name} within 3 s of leaving")
    return lines


# Each kind has a fault that begins it and a fault that ends it; an empty string stands for no
# fault.  The statements of `crash` are built separately.
_FAULTS_BY_KIND: dict[str, tuple[str, str]] = {
    "kill": ("kill {name}", "start {name}"),
    "kill-node": ("kill node of {name}", "start node of {name}"),
    "kill-server": ("kill server of {name}", "start server of {name}"),
    "freeze": ("freeze {name}", "thaw {name}"),
    "freeze-node": ("freeze node of {name}", "thaw node of {name}"),
    "freeze-server": ("freeze server of {name}", "thaw server of {name}"),
    "stop": ("stop {name}", "start {name}"),
    "replace": ("replace {name}", ""),
    "roll": ("roll {service}", ""),
    "drain": ("drain {name}", "replace {name}"),
    "cut": ("cut {name} from {other}", "heal {name}"),
    "cut-log": ("cut {name} from log", "heal log of {name}"),
    "cut-server": ("cut {name} from server", "heal server of {name}"),
    "cut-all": ("cut {name} from all", "heal all"),
    "silence": ("silence {name}", ""),
    "silence-server": ("silence server of {name}", ""),
    "silence-log": ("silence log of {name}", ""),
    "break": ("break {name}", "break {name}"),
    "break-server": ("break server of {name}", "break server of {name}"),
    "delay": ("delay {name} by 150 ms", "heal {name}"),
    "delay-server": ("delay server of {name} by 150 ms", "heal server of {name}"),
    "lose": ("lose 40 % to {name}", "heal {name}"),
    "log-down": ("log down", "log up"),
    "log-slow": ("log slow by 400 ms", "log up"),
    "log-loses": ("log loses {count} answers", "log loses {count} answers"),
    "log-frozen": ("freeze log", "thaw log"),
    "slow": ("slow {name} by 10", "slow {name} by 1"),
    "fail": ("fail {name}", "replace server of {name}"),
    "truncate": ("truncate {count} answers of {name}", "truncate {count} answers of {name}"),
    "lie": ("lie {name} slots 500", "lie {name} slots 8"),
    "lie-load": ("lie {name} load 0", ""),
    "crash": ("", ""),
    "publish": ("publish customer school version {version} with patience_ms = 1500", ""),
    "race": (
        "publish customer school version {version} with patience_ms = 1500",
        "publish customer school version {version} with patience_ms = 1700",
    ),
}
