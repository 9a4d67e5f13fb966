"""Measure the overhead that nodes add to a call."""

import argparse
import asyncio

from apricotwalk_lab.bench._bench import run_bench
from apricotwalk_lab.bench._report import BenchRow, format_row

__all__ = ["main"]

CALLS_PER_SECOND_PER_NODE = 82.0


def _print_row(row: BenchRow) -> None:
    print(format_row(row), flush=True)


def main() -> None:
    """Run the benchmark and print one JSON object per path."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=CALLS_PER_SECOND_PER_NODE)
    parser.add_argument(
        "--seconds",
        type=float,
        default=15.0,
        help="length of the measurement of each path in seconds",
    )
    arguments = parser.parse_args()
    asyncio.run(run_bench(arguments.rate, arguments.seconds, _print_row))


if __name__ == "__main__":
    main()
