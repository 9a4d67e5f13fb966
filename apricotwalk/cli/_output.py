"""JSON and trace output of the command-line tool."""

from pathlib import Path

import msgspec

from apricotwalk.core import SettingsError
from apricotwalk.telemetry import EventReport, to_chrome_trace

__all__ = ["print_json", "write_trace"]


def print_json(content: object) -> None:
    """Print `content` to standard output as one line of JSON."""
    print(msgspec.json.encode(content).decode())


def write_trace(path: str, events: list[EventReport]) -> None:
    """Write events to a file in the Chrome trace event format.

    Parameters
    ----------
    path : str
        File to write.
    events : list of EventReport
        Events to convert.

    Raises
    ------
    SettingsError
        If the file cannot be written.
    """
    try:
        Path(path).write_bytes(msgspec.json.encode(to_chrome_trace(events)))
    except OSError as error:
        raise SettingsError(f"{path}: cannot be written: {error}") from error
