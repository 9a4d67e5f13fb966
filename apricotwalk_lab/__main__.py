"""Command line for running scenarios, random fault pairs and proofs of mechanisms."""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

import msgspec

from apricotwalk.core import Mechanism
from apricotwalk_lab.scenarios import (
    ScenarioError,
    read_scenario,
    run_fault_pairs,
    run_proofs,
    run_scenario,
)

__all__ = ["main"]

EXIT_FAILED = 1
EXIT_UNREADABLE = 2


class ChaosSummary(msgspec.Struct):
    """Summary of a run of random fault pairs.

    Parameters
    ----------
    directory : str
        Directory with the scenario and the timeline of each pair.
    pairs : int
        Number of pairs.
    failed, inconclusive : list of int
        Seeds of the pairs with a failed expectation, and of those that failed only in
        expectations that depend on speed, on a machine short of CPU time, or whose processes did
        not become ready.
    """

    directory: str
    pairs: int
    failed: list[int] = []
    inconclusive: list[int] = []


class ProofSummary(msgspec.Struct):
    """Summary of a run of proofs.

    Parameters
    ----------
    directory : str
        Directory with records and timelines.
    proofs : int
        Number of proofs, each of two runs.
    not_shown : list of str
        Scenario and mechanism of the proofs in which the run without the mechanism did not fail
        or the run with it did not pass.
    """

    directory: str
    proofs: int = 0
    not_shown: list[str] = []


def main() -> None:
    """Parse the command line, run its command and exit with its status."""
    parser = argparse.ArgumentParser(prog="apricotwalk_lab", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run", help="run one scenario file")
    run.add_argument("path", help="the scenario file")
    run.add_argument("--seed", type=int, default=1)
    run.add_argument("--json", action="store_true", help="print the result as one JSON line")
    run.add_argument("--check", action="store_true", help="only parse the file and check its names")
    run.add_argument(
        "--without",
        action="append",
        default=[],
        choices=[mechanism.value for mechanism in Mechanism],
        help="mechanism to disable on every node; may be repeated",
    )
    run.add_argument("--directory", help="directory for records and the time line")
    run.set_defaults(handler=_run)
    chaos = commands.add_parser("chaos", help="run random pairs of faults")
    chaos.add_argument(
        "--seed",
        type=int,
        default=1,
        help="seed of the first pair, increased by 1 for each further one",
    )
    chaos.add_argument("--count", type=int, default=10, help="number of pairs")
    chaos.add_argument("--parallel", type=int, default=3, help="number of concurrent fleets")
    chaos.add_argument("--without", action="append", default=[], help="as for run")
    chaos.add_argument("--directory", help="directory for scenarios, records and time lines")
    chaos.set_defaults(handler=_chaos)
    prove = commands.add_parser("prove", help="prove that scenarios need their mechanisms")
    prove.add_argument("paths", nargs="+", type=Path, help="scenario files")
    prove.add_argument("--seed", type=int, default=1)
    prove.add_argument("--parallel", type=int, default=3, help="number of concurrent fleets")
    prove.add_argument("--directory", help="directory for records and time lines")
    prove.set_defaults(handler=_prove)
    arguments = parser.parse_args()
    sys.exit(arguments.handler(arguments))


def _directory(arguments: argparse.Namespace) -> Path:
    """Return the directory given on the command line, or a new temporary one."""
    return Path(arguments.directory or tempfile.mkdtemp(prefix="apricotwalk-"))


def _run(arguments: argparse.Namespace) -> int:
    try:
        scenario = read_scenario(arguments.path)
    except ScenarioError as error:
        print(error, file=sys.stderr)
        return EXIT_UNREADABLE
    if arguments.check:
        print(f"{arguments.path}: ok")
        return 0
    directory = _directory(arguments)
    result = asyncio.run(run_scenario(scenario, arguments.seed, directory, arguments.without))
    text = msgspec.json.encode(result).decode() if arguments.json else result.line()
    print(text)
    return 0 if result.passed else EXIT_FAILED


def _chaos(arguments: argparse.Namespace) -> int:
    directory = _directory(arguments)
    summary = asyncio.run(_run_chaos(arguments, directory))
    print(msgspec.json.encode(summary).decode())
    return EXIT_FAILED if summary.failed else 0


async def _run_chaos(arguments: argparse.Namespace, directory: Path) -> ChaosSummary:
    seeds = list(range(arguments.seed, arguments.seed + arguments.count))
    summary = ChaosSummary(str(directory), len(seeds))
    async for result in run_fault_pairs(seeds, directory, arguments.parallel, arguments.without):
        print(msgspec.json.encode(result).decode(), flush=True)
        if result.is_inconclusive:
            summary.inconclusive.append(result.seed)
        elif not result.passed:
            summary.failed.append(result.seed)
    return summary


def _prove(arguments: argparse.Namespace) -> int:
    directory = _directory(arguments)
    try:
        summary = asyncio.run(_run_proofs(arguments, directory))
    except ScenarioError as error:
        print(error, file=sys.stderr)
        return EXIT_UNREADABLE
    print(msgspec.json.encode(summary).decode())
    return EXIT_FAILED if summary.not_shown else 0


async def _run_proofs(arguments: argparse.Namespace, directory: Path) -> ProofSummary:
    summary = ProofSummary(str(directory))
    async for proof in run_proofs(arguments.paths, arguments.seed, directory, arguments.parallel):
        print(msgspec.json.encode(proof).decode(), flush=True)
        summary.proofs += 1
        if not proof.is_shown:
            summary.not_shown.append(f"{Path(proof.scenario).stem} without {proof.mechanism}")
    return summary


if __name__ == "__main__":
    main()
