"""The platform's settings file: one ``name=value`` a line, lists joined by commas."""

import os
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from apricotwalk.border import MeshBounds, MeshSettings
from apricotwalk.core import SettingsError
from apricotwalk.platform._names import SETTINGS_DEFAULT_PATH, SETTINGS_VARIABLE
from apricotwalk.platform._units import parse_seconds
from apricotwalk.settings import Address

__all__ = ["METRICS_PORT", "parse_settings", "read_settings_file", "settings_path"]

# deploy/system.toml names the same port.
METRICS_PORT = 9464

Value = TypeVar("Value")


def settings_path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(SETTINGS_VARIABLE, SETTINGS_DEFAULT_PATH)


def read_settings_file(path: str | Path) -> MeshSettings:
    """Return the settings in a file.

    Raises
    ------
    SettingsError
        If the file is unreadable or a field is missing or malformed, naming it.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    return parse_settings(text, str(path))


def parse_settings(text: str, place: str) -> MeshSettings:
    """Return the settings in `text`; `place` is named in errors.

    Notes
    -----
    Unknown fields are ignored, because newer platforms add some.
    """
    fields = _Fields(place, _read_lines(text, place))
    instance_ip = fields.text("ip")
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
        peers=Address(instance_ip, first_port),
        metrics=Address(instance_ip, METRICS_PORT),
        seeds=fields.parse("seeds", lambda value: _peers_of_seeds(value, first_port)),
        store=fields.parse("platform.address", Address.parse),
        heartbeat_seconds=fields.parse("heartbeat-interval", parse_seconds),
        bounds=_parse_bounds(fields),
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


def _peers_of_seeds(value: str, port: int) -> tuple[Address, ...]:
    """Return peer addresses of seeds, which are given by their heartbeat addresses."""
    seeds = [Address.parse(seed) for seed in value.split(",") if seed]
    return tuple(Address(seed.host, port) for seed in seeds)


def _read_lines(text: str, place: str) -> dict[str, tuple[int, str]]:
    found: dict[str, tuple[int, str]] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        name, separator, value = line.partition("=")
        if not separator:
            raise SettingsError(f"{place}:{number}: expected name=value, saw {line!r}")
        name = name.strip()
        if name in found:
            raise SettingsError(f"{place}:{number}: {name} stands on line {found[name][0]} already")
        found[name] = (number, value.strip())
    return found


class _Fields:
    def __init__(self, place: str, values_by_name: dict[str, tuple[int, str]]) -> None:
        self._place = place
        self._values_by_name = values_by_name

    def text(self, name: str) -> str:
        """Return a field that must not be empty."""
        value = self.parse(name, str)
        if not value:
            raise SettingsError(f"{self._place}: {name} is empty")
        return value

    def parse(self, name: str, parser: Callable[[str], Value]) -> Value:
        """Return a field as `parser` reads it."""
        if name not in self._values_by_name:
            raise SettingsError(f"{self._place}: {name} is missing")
        line, value = self._values_by_name[name]
        try:
            return parser(value)
        except (ValueError, SettingsError) as error:
            raise SettingsError(f"{self._place}:{line}: {name}: {error}") from error
