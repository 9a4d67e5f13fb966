"""Command line of the laboratory."""

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
    """The outcome of many pairs of faults.

    Parameters
    ----------
    directory : str
        Where the scenario and the time line of each pair are kept.
    pairs : int
        Number of pairs.
    failed, inconclusive : list of int
        Seeds of pairs with a broken expectation, and of those that only a starved machine broke.
    """

    directory: str
    pairs: int
    failed: list[int] = []
    inconclusive: list[int] = []


class ProofSummary(msgspec.Struct):
    """The outcome of many proofs.

    Parameters
    ----------
    directory : str
        Where records and time lines are kept.
    proofs : int
        Number of proofs, two runs each.
    not_shown : list of str
        Those that were not red without the mechanism, or not green with it.
    """

    directory: str
    proofs: int = 0
    not_shown: list[str] = []


def main() -> None:
    """Run what the command line asks for."""
    parser = argparse.ArgumentParser(prog="apricotwalk_lab", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run", help="run one scenario file")
    run.add_argument("path", help="the scenario file")
    run.add_argument("--seed", type=int, default=1)
    run.add_argument("--json", action="store_true", help="print the result as one JSON line")
    run.add_argument("--check", action="store_true", help="only read the file")
    run.add_argument(
        "--without",
        action="append",
        default=[],
        choices=[mechanism.value for mechanism in Mechanism],
        help="switch a mechanism off; may be repeated",
    )
    run.add_argument("--directory", help="where records and the time line go")
    run.set_defaults(use=_run)
    chaos = commands.add_parser("chaos", help="run pairs of faults drawn by a seed")
    chaos.add_argument("--seed", type=int, default=1, help="seed of the first pair")
    chaos.add_argument("--count", type=int, default=10, help="number of pairs")
    chaos.add_argument("--parallel", type=int, default=3, help="fleets at a time")
    chaos.add_argument("--without", action="append", default=[], help="as for run")
    chaos.add_argument("--directory", help="where scenarios, records and time lines go")
    chaos.set_defaults(use=_chaos)
    prove = commands.add_parser("prove", help="run scenarios without and with their mechanisms")
    prove.add_argument("paths", nargs="+", type=Path, help="scenario files")
    prove.add_argument("--seed", type=int, default=1)
    prove.add_argument("--parallel", type=int, default=3, help="fleets at a time")
    prove.add_argument("--directory", help="where records and time lines go")
    prove.set_defaults(use=_prove)
    arguments = parser.parse_args()
    sys.exit(arguments.use(arguments))


def _directory(arguments: argparse.Namespace) -> Path:
    """Return the directory that was named, or a new one."""
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
