"""Prints the figures of each fleet size as one line of JSON; run by ``make slopes``."""

import argparse
import asyncio
import os
import signal
import sys

import msgspec

from apricotwalk_lab.slopes._faults import PartitionFigures, ReplacementFigures
from apricotwalk_lab.slopes._messages import OutageFigures, SizeFigures
from apricotwalk_lab.slopes._run import (
    Plan,
    measure,
    measure_outage,
    measure_partition,
    measure_replacements,
)
from apricotwalk_lab.slopes._state import measure_state
from apricotwalk_lab.slopes.light_node import RULES_BY_NAME

__all__ = ["main"]

EXIT_TERMINATED = 143


def main() -> None:
    """Parse the arguments and measure each fleet size in turn."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[10, 30, 100, 300])
    parser.add_argument("--loss", type=float, default=0.05, help="share of datagrams dropped")
    parser.add_argument("--rule", default="push-young-pull-old", choices=sorted(RULES_BY_NAME))
    parser.add_argument("--called", type=int, default=5, help="services that each node calls")
    parser.add_argument(
        "--state", action="store_true", help="measure the memory of records instead"
    )
    parser.add_argument(
        "--separate", action="store_true", help="measure a network partition of two regions instead"
    )
    parser.add_argument(
        "--outage", action="store_true", help="measure an outage of the log service instead"
    )
    parser.add_argument(
        "--replacements",
        type=int,
        default=0,
        help="measure this number of consecutive node replacements instead",
    )
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    if arguments.state:
        for state in measure_state(os.getpid()):
            print(msgspec.json.encode(state).decode(), flush=True)
        return
    for size in arguments.sizes:
        plan = Plan(size, arguments.loss, arguments.rule, arguments.called, arguments.seed)
        figures: SizeFigures | ReplacementFigures | PartitionFigures | OutageFigures
        if arguments.separate:
            figures = asyncio.run(measure_partition(plan))
        elif arguments.outage:
            figures = asyncio.run(measure_outage(plan))
        elif arguments.replacements:
            figures = asyncio.run(measure_replacements(plan, arguments.replacements))
        else:
            figures = asyncio.run(measure(plan))
        print(msgspec.json.encode(figures).decode(), flush=True)


if __name__ == "__main__":
    main()
