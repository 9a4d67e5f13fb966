"""Entry point of `apricotwalkd`."""

import argparse
import asyncio
import signal
import sys

from loguru import logger

from apricotwalk.core import SettingsError
from apricotwalk.node import Node
from apricotwalk.settings import NodeSettings, load_settings

__all__ = ["main"]

EXIT_CANNOT_START = 1
EXIT_SETTINGS = 2


def main() -> None:
    """Run a node until SIGTERM or SIGINT, then drain and close it.

    Notes
    -----
    Arguments are parsed with `argparse`, because `fire`, which the operator's command-line tool
    uses, would add 13 MB of memory to each node.
    """
    parser = argparse.ArgumentParser(prog="apricotwalkd", description=__doc__)
    parser.add_argument("settings", help="settings file, JSON with comments")
    parser.add_argument("--check", action="store_true", help="validate the settings and exit")
    arguments = parser.parse_args()
    try:
        settings = load_settings(arguments.settings)
    except SettingsError as error:
        print(f"apricotwalkd: {error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if arguments.check:
        print(f"{arguments.settings}: ok")
        return
    logger.remove()
    logger.add(
        sys.stderr, level=settings.log_level, serialize=True, backtrace=False, diagnose=False
    )
    try:
        asyncio.run(_run(settings))
    except OSError as error:
        print(f"apricotwalkd: {arguments.settings}: cannot run: {error}", file=sys.stderr)
        sys.exit(EXIT_CANNOT_START)


async def _run(settings: NodeSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    node = Node(settings)
    await node.start()
    await stop.wait()
    await node.drain()
    await node.close()


if __name__ == "__main__":
    main()
