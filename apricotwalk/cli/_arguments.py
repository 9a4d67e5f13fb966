"""Parsing and validation of command-line arguments."""

import math
from pathlib import Path

from apricotwalk.cli._exits import UsageError
from apricotwalk.core import SettingsError
from apricotwalk.settings import Address, load_json_with_comments

__all__ = ["parse_flag", "parse_nodes", "parse_number", "parse_numbers"]


def parse_flag(name: str, value: object) -> bool:
    """Parse a boolean flag.

    Parameters
    ----------
    name : str
        Name of the flag, for the error message.
    value : object
        Value to parse; its text must be ``true`` or ``false`` in any case.

    Returns
    -------
    bool
        Value of the flag.

    Raises
    ------
    UsageError
        If `value` is neither true nor false.
    """
    text = str(value).lower()
    if text not in ("true", "false"):
        raise UsageError(f"--{name}: expected no value, saw {value!r}")
    return text == "true"


def parse_number(name: str, value: object) -> float:
    """Parse a finite number.

    Parameters
    ----------
    name : str
        Name of the argument, for the error message.
    value : object
        Value whose text is parsed.

    Returns
    -------
    float
        Parsed number.

    Raises
    ------
    UsageError
        If `value` is not a finite number; the message names the argument and the value.
    """
    try:
        number = float(str(value))
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise UsageError(f"--{name}: expected a number, saw {str(value)!r}")
    return number


def parse_numbers(values: dict[str, object]) -> dict[str, float]:
    """Parse the parameters of a customer as finite numbers, keyed by name."""
    return {name: parse_number(name, value) for name, value in values.items()}


def parse_nodes(value: object) -> list[Address]:
    """Parse node addresses from a comma-separated list or from a JSON file.

    Parameters
    ----------
    value : object
        Text of the form ``host:port,host:port``, or the path of a file with a JSON list.

    Returns
    -------
    list of Address
        Addresses in the given order.

    Raises
    ------
    UsageError
        If `value` is empty or its list contains an invalid address.
    SettingsError
        If the file cannot be read or contains an invalid address.
    """
    text = str(value)
    if not text:
        raise UsageError("--nodes: expected host:port,host:port or a file with a JSON list")
    if Path(text).is_file():
        return [Address.parse(address) for address in load_json_with_comments(text, list[str])]
    try:
        return [Address.parse(address.strip()) for address in text.strip("()[]").split(",")]
    except SettingsError as error:
        raise UsageError(f"--nodes: {error}") from error
