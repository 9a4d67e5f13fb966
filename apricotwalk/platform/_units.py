"""Parsers of durations and versions in the notation of the platform."""

import re

from apricotwalk.core import parse_count

__all__ = ["parse_seconds", "parse_version"]

_DURATION = re.compile(r"(\d{1,15}(?:\.\d{1,15})?)(ms|s)", re.ASCII)
_VERSION = re.compile(r"r(\d+)", re.ASCII)
MILLISECONDS_PER_SECOND = 1000


def parse_seconds(text: str) -> float:
    """Convert a duration such as ``1500ms`` or ``2.5s`` to seconds.

    Parameters
    ----------
    text : str
        A decimal number followed by the unit ``ms`` or ``s``.

    Returns
    -------
    float
        The duration in seconds.

    Raises
    ------
    ValueError
        If the text is not a duration.

    Examples
    --------
    >>> parse_seconds("1500ms"), parse_seconds("2.5s")
    (1.5, 2.5)
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f"expected a number with the unit ms or s, saw {text[:40]!r}")
    number = float(match[1])
    return number / MILLISECONDS_PER_SECOND if match[2] == "ms" else number


def parse_version(text: str) -> int:
    """Convert a configuration version such as ``r12`` to a number.

    Parameters
    ----------
    text : str
        The letter ``r`` followed by decimal digits.

    Returns
    -------
    int
        The version number.

    Raises
    ------
    ValueError
        If the text is not a version.

    Examples
    --------
    >>> parse_version("r12")
    12
    """
    match = _VERSION.fullmatch(text)
    if match is None:
        raise ValueError(f"expected r followed by a number, got {text[:40]!r}")
    return parse_count(match[1])
