"""Process of a node on the external platform."""

import argparse
import asyncio
import functools
import signal
import sys
from typing import Any

import uvloop
from loguru import logger

from apricotwalk.core import SettingsError
from apricotwalk.meshnode import MeshNode
from apricotwalk.platform import ExternalPlatform, open_platform
from apricotwalk.telemetry import DecisionLog

__all__ = ["run"]

EXIT_CANNOT_START = 1
EXIT_SETTINGS = 2


def run() -> None:
    """Run a node until SIGTERM or SIGINT, then drain and close it; SIGHUP reloads the settings."""
    parser = argparse.ArgumentParser(prog="apricotwalk-mesh", description=__doc__)
    parser.add_argument("--check", action="store_true", help="validate the settings and exit")
    arguments = parser.parse_args()
    try:
        platform = open_platform()
    except SettingsError as error:
        print(f"apricotwalk-mesh: {error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if arguments.check:
        print(f"{platform.settings.instance}: ok")
        return
    logger.remove()
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_run(platform))
    except OSError as error:
        print(f"apricotwalk-mesh: cannot run: {error}", file=sys.stderr)
        sys.exit(EXIT_CANNOT_START)


async def _run(platform: ExternalPlatform) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    node = MeshNode(platform)
    logger.add(
        functools.partial(_write_to_decision_log, node.log), level="INFO", format="{message}"
    )
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    await node.start()
    await stop.wait()
    await node.drain()
    await node.close()


def _write_to_decision_log(log: DecisionLog, message: Any) -> None:
    """Forward a loguru message of a library or a supervised loop to the bounded decision log."""
    record = message.record
    log_fields = {"level": record["level"].name.lower(), **record["extra"]}
    if record["exception"] is not None:
        log_fields["exception"] = repr(record["exception"].value)
        log_fields["traceback"] = str(message)
    log.record_state_change(record["message"], **log_fields)
