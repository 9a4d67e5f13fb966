"""Parser of the platform's settings file.

The file has one ``name=value`` per line; the items of a list are separated by commas.
"""

import os
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from apricotwalk.border import DEFAULT_MEMORY_BYTES, MeshBounds, MeshSettings
from apricotwalk.core import SettingsError
from apricotwalk.platform._names import SETTINGS_DEFAULT_PATH, SETTINGS_VARIABLE
from apricotwalk.platform._units import parse_seconds
from apricotwalk.settings import Address

__all__ = ["METRICS_PORT", "parse_settings", "read_settings_file", "settings_path"]

# The same port is set in deploy/system.toml.
METRICS_PORT = 9464
BYTES_PER_MEGABYTE = 1024 * 1024
# A node without any request in progress uses about 30 MB.
MIN_MEMORY_MEGABYTES = 64
MAX_MEMORY_MEGABYTES = 1024 * 1024

Value = TypeVar("Value")


def settings_path() -> str:
    """Return the path of the settings file, which the environment can override."""
    return os.environ.get(SETTINGS_VARIABLE, SETTINGS_DEFAULT_PATH)


def read_settings_file(path: str | Path) -> MeshSettings:
    """Read the settings in a file.

    Parameters
    ----------
    path : str or Path
        Path of the file.

    Returns
    -------
    MeshSettings
        The settings.

    Raises
    ------
    SettingsError
        If the file is unreadable or a field is missing or malformed; the message names it.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    return parse_settings(text, str(path))


def parse_settings(text: str, source: str) -> MeshSettings:
    """Parse the text of a settings file.

    Parameters
    ----------
    text : str
        Content of the file.
    source : str
        Name of the file, for error messages.

    Returns
    -------
    MeshSettings
        The settings.

    Raises
    ------
    SettingsError
        If a field is missing or malformed; the message names it.

    Notes
    -----
    Unknown fields are ignored, because newer versions of the platform add fields.
    """
    fields = _Fields(source, _split_lines(text, source))
    first_port = fields.parse("internal-ports", lambda value: int(value.split(",")[0]))
    return MeshSettings(
        instance=fields.text("node"),
        service=fields.text("service"),
        availability_zone=fields.text("zone"),
        region=fields.text("region"),
        callers=fields.parse("listen.outbound", Address.parse),
        backend=fields.parse("app-addr", Address.parse),
        readiness=fields.parse("listen.ready", Address.parse),
        heartbeats=fields.parse("listen.control", Address.parse),
        peers=fields.parse("ip", lambda value: Address(value, first_port)),
        metrics=fields.parse("ip", lambda value: Address(value, METRICS_PORT)),
        seeds=fields.parse("seeds", lambda value: _parse_seed_peers(value, first_port)),
        store=fields.parse("platform.address", Address.parse),
        heartbeat_seconds=fields.parse("heartbeat-interval", parse_seconds),
        bounds=_parse_bounds(fields),
        is_first_start=fields.parse("bootstrap", _parse_flag) if "bootstrap" in fields else False,
        memory_bytes=(
            fields.parse("limits.memory-mb", _parse_megabytes)
            if "limits.memory-mb" in fields
            else DEFAULT_MEMORY_BYTES
        ),
    )


def _parse_bounds(fields: "_Fields") -> MeshBounds:
    return MeshBounds(
        drain_seconds=fields.parse("bounds.drain-period", parse_seconds),
        stop_seconds=fields.parse("bounds.grace-period", parse_seconds),
        configuration_seconds=fields.parse("bounds.config-propagation", parse_seconds),
        retry_ratio=fields.parse("bounds.budget-ratio", float),
        retry_window_seconds=fields.parse("bounds.budget-window", parse_seconds),
        retry_allowance=fields.parse("bounds.budget-slack", float),
    )


def _parse_flag(value: str) -> bool:
    if value not in ("true", "false"):
        raise ValueError(f"expected true or false, got {value[:40]!r}")
    return value == "true"


def _parse_megabytes(value: str) -> int:
    """Return a positive number of megabytes in bytes."""
    megabytes = float(value)
    if not MIN_MEMORY_MEGABYTES <= megabytes <= MAX_MEMORY_MEGABYTES:
        raise ValueError(f"expected {MIN_MEMORY_MEGABYTES} MB or more, got {value[:40]!r}")
    return int(megabytes * BYTES_PER_MEGABYTE)


def _parse_seed_peers(value: str, port: int) -> tuple[Address, ...]:
    """Return the peer addresses of the seeds, which the file lists by heartbeat address."""
    seeds = [Address.parse(seed) for seed in value.split(",") if seed]
    return tuple(Address(seed.host, port) for seed in seeds)


def _split_lines(text: str, source: str) -> dict[str, tuple[int, str]]:
    values_by_name: dict[str, tuple[int, str]] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        name, separator, value = line.partition("=")
        if not separator:
            raise SettingsError(f"{source}:{number}: expected name=value, got {line!r}")
        name = name.strip()
        if name in values_by_name:
            raise SettingsError(
                f"{source}:{number}: {name} stands on line {values_by_name[name][0]} already"
            )
        values_by_name[name] = (number, value.strip())
    return values_by_name


class _Fields:
    def __init__(self, source: str, values_by_name: dict[str, tuple[int, str]]) -> None:
        self._source = source
        self._values_by_name = values_by_name

    def __contains__(self, name: str) -> bool:
        return name in self._values_by_name

    def text(self, name: str) -> str:
        """Return the text of a field that must not be empty."""
        value = self.parse(name, str)
        if not value:
            raise SettingsError(f"{self._source}: {name} is empty")
        return value

    def parse(self, name: str, parser: Callable[[str], Value]) -> Value:
        """Return the parsed value of a field; errors of the parser are reported with the line."""
        if name not in self._values_by_name:
            raise SettingsError(f"{self._source}: {name} is missing")
        line, value = self._values_by_name[name]
        try:
            return parser(value)
        except (ValueError, SettingsError) as error:
            raise SettingsError(f"{self._source}:{line}: {name}: {error}") from error
