"""Entry point of `apricotwalk`."""

import argparse
import sys

import fire
from loguru import logger

from apricotwalk.cli._commands import Commands
from apricotwalk.cli._exits import ExitCode, exit_code_of
from apricotwalk.core import ApricotwalkError

__all__ = ["main"]

DEFAULT_LOG_SERVICE = "127.0.0.1:7000"
FLAGS = ("json", "offline")


def main() -> None:
    """Run one command; report each error as one line on standard error, without a traceback."""
    logger.remove()
    log, command = _split_arguments(sys.argv[1:])
    try:
        fire.Fire(Commands(log), command=command, name="apricotwalk")
    except ApricotwalkError as error:
        _exit_with_error(str(error), exit_code_of(error))
    except KeyboardInterrupt:
        _exit_with_error("interrupted", ExitCode.INTERRUPTED)
    except Exception as error:
        _exit_with_error(f"internal error: {type(error).__name__}: {error}", ExitCode.INTERNAL)


def _split_arguments(arguments: list[str]) -> tuple[str, list[str]]:
    """Split off the log service address and normalize boolean flags.

    Parameters
    ----------
    arguments : list of str
        Command-line arguments without the program name.

    Returns
    -------
    tuple of str and list of str
        Address of the log service, and the arguments for `fire`.

    Notes
    -----
    A flag such as ``--json`` may appear anywhere.  If it has no value, `fire` would interpret
    the following argument as its value, so flags are passed on as ``--json=True``.
    """
    parser = argparse.ArgumentParser(add_help=False, allow_abbrev=False)
    parser.add_argument("--log", default=DEFAULT_LOG_SERVICE)
    for flag in FLAGS:
        parser.add_argument(f"--{flag}", action="store_true")
    parser.add_argument("-h", "--help", action="store_true")
    parsed, command = parser.parse_known_args(arguments)
    if parsed.help:
        words = [word for word in command if not word.startswith("-")]
        return parsed.log, [*words, "--", "--help"]
    command += [f"--{flag}=True" for flag in FLAGS if getattr(parsed, flag)]
    return parsed.log, command


def _exit_with_error(reason: str, code: ExitCode) -> None:
    print(f"apricotwalk: {reason}", file=sys.stderr)
    sys.exit(code)


if __name__ == "__main__":
    main()
