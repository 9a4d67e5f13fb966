"""Times and versions as the platform writes them."""

import re

__all__ = ["parse_seconds", "parse_version"]

_TIME = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_VERSION = re.compile(r"r(\d+)")
MILLISECONDS_PER_SECOND = 1000


def parse_seconds(text: str) -> float:
    """Return a time such as ``1500ms`` or ``2.5s`` in seconds.

    Raises
    ------
    ValueError
        If the text is no time.

    Examples
    --------
    >>> parse_seconds("1500ms"), parse_seconds("2.5s")
    (1.5, 2.5)
    """
    match = _TIME.fullmatch(text)
    if match is None:
        raise ValueError(f"expected a number with the unit ms or s, saw {text!r}")
    number = float(match[1])
    return number / MILLISECONDS_PER_SECOND if match[2] == "ms" else number


def parse_version(text: str) -> int:
    """Return a configuration version such as ``r12`` as a number.

    Raises
    ------
    ValueError
        If the text is no version.

    Examples
    --------
    >>> parse_version("r12")
    12
    """
    match = _VERSION.fullmatch(text)
    if match is None:
        raise ValueError(f"expected r and a number, saw {text!r}")
    return int(match[1])
