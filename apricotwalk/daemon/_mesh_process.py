"""Process of a node on the external platform."""

import argparse
import asyncio
import functools
import os
import signal
import sys
import time
from typing import Any, NoReturn

import uvloop
from loguru import logger

from apricotwalk.core import SettingsError
from apricotwalk.meshnode import MeshNode
from apricotwalk.platform import ExternalPlatform, open_platform
from apricotwalk.telemetry import DecisionLog

__all__ = ["run"]

EXIT_CANNOT_START = 1
EXIT_SETTINGS = 2
# The platform writes the settings while it starts the process; after this time an operator has to
# correct them.
SETTINGS_WAIT_SECONDS = 30.0
SETTINGS_RETRY_SECONDS = 0.1


def run() -> None:
    """Run a node until SIGTERM or SIGINT, then drain and close it; SIGHUP reloads the settings."""
    parser = argparse.ArgumentParser(prog="apricotwalk-mesh", description=__doc__)
    parser.add_argument("--check", action="store_true", help="validate the settings and exit")
    arguments = parser.parse_args()
    try:
        platform = open_platform() if arguments.check else _wait_for_platform()
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


def _wait_for_platform() -> ExternalPlatform:
    """Open the platform as soon as its settings are complete.

    Raises
    ------
    SettingsError
        If they are still missing or malformed after `SETTINGS_WAIT_SECONDS`.
    """
    deadline = time.monotonic() + SETTINGS_WAIT_SECONDS
    reported = ""
    while True:
        try:
            return open_platform()
        except SettingsError as error:
            if time.monotonic() >= deadline:
                raise
            if str(error) != reported:
                reported = str(error)
                print(f"apricotwalk-mesh: waiting for settings: {error}", file=sys.stderr)
        time.sleep(SETTINGS_RETRY_SECONDS)


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
    _exit_process()


def _exit_process() -> NoReturn:
    """End the process while its signal handlers are still installed.

    Notes
    -----
    The event loop restores the default actions of signals when it closes, and a further SIGHUP or
    SIGTERM would then end the process with an error status.  Blocking the signals does not help,
    because the threads that resolve names receive them too.
    """
    sys.stderr.flush()
    os._exit(0)


def _write_to_decision_log(log: DecisionLog, message: Any) -> None:
    """Forward a loguru message of a library or a supervised loop to the bounded decision log."""
    record = message.record
    log_fields = {"level": record["level"].name.lower(), **record["extra"]}
    if record["exception"] is not None:
        log_fields["exception"] = repr(record["exception"].value)
        log_fields["traceback"] = str(message)
    log.record_state_change(record["message"], **log_fields)
