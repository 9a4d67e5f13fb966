"""Proofs that a scenario fails with a mechanism disabled and passes with it enabled."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec

from apricotwalk_lab.scenarios._parser import read_scenario
from apricotwalk_lab.scenarios._runner import Result, run_scenario

__all__ = ["Proof", "run_proofs", "to_proof"]


class Proof(msgspec.Struct):
    """The outcome of running one scenario without and with one mechanism.

    Parameters
    ----------
    scenario, mechanism : str
        Path of the scenario file, and the mechanism that one run disables.
    seed : int
        Seed of both runs.
    is_shown : bool
        Whether the run without the mechanism failed and the one with it passed.
    line_without, line_with : str
        Reason of the failure of each run, or an empty string if it passed.
    inconclusive_runs : int
        Number of runs that failed only in expectations that depend on speed, on a machine short
        of CPU time.
    """

    scenario: str
    mechanism: str
    seed: int
    is_shown: bool
    line_without: str
    line_with: str
    inconclusive_runs: int


async def run_proofs(
    paths: list[Path], seed: int, directory: Path, parallel: int
) -> AsyncIterator[Proof]:
    """Run each scenario without and with each mechanism that it names.

    Parameters
    ----------
    paths : list of Path
        Scenario files; a file that names no mechanism is skipped.
    seed : int
        Seed of every run.
    directory : Path
        Directory for records and timelines.
    parallel : int
        Maximum number of fleets that run concurrently.

    Yields
    ------
    Proof
        One for each file and mechanism, in the order of completion.

    Raises
    ------
    ScenarioError
        If any file has an error; no scenario is run in this case.
    """
    semaphore = asyncio.Semaphore(parallel)
    mechanisms_by_path = {path: read_scenario(path).fails_without for path in paths}
    proofs = [
        asyncio.create_task(_prove(path, mechanism, seed, directory, semaphore))
        for path, mechanisms in mechanisms_by_path.items()
        for mechanism in mechanisms
    ]
    for finished in asyncio.as_completed(proofs):
        yield await finished


async def _prove(
    path: Path, mechanism: str, seed: int, directory: Path, semaphore: asyncio.Semaphore
) -> Proof:
    run_directory = directory / f"{path.stem}-{mechanism}"
    async with semaphore:
        result_without = await run_scenario(
            read_scenario(path), seed, run_directory / "without", [mechanism]
        )
    async with semaphore:
        result_with = await run_scenario(read_scenario(path), seed, run_directory / "with", [])
    return to_proof(path, mechanism, result_without, result_with)


def to_proof(path: Path, mechanism: str, result_without: Result, result_with: Result) -> Proof:
    """Compare the result of a run without a mechanism with that of a run with it."""
    failed_without = not result_without.passed and not result_without.is_inconclusive
    return Proof(
        scenario=str(path),
        mechanism=mechanism,
        seed=result_without.seed,
        is_shown=failed_without and result_with.passed,
        line_without=result_without.reason,
        line_with=result_with.reason,
        inconclusive_runs=result_without.is_inconclusive + result_with.is_inconclusive,
    )
