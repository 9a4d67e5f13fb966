"""Mapping of JSON parse and validation errors to line numbers."""

import re
from pathlib import Path

__all__ = ["locate_error"]

SYNTAX_ERROR_PATTERN = re.compile(r"^<string>:(\d+) (.*)$", re.DOTALL)
DUPLICATE_KEY_PATTERN = re.compile(r'^Duplicate key "(.*)" found in object$')
UNKNOWN_FIELD_PATTERN = re.compile(r"unknown field `([^`]+)`")
FIELD_PATH_PATTERN = re.compile(r"at `\$\.?([^`]*)`")
KEY_PATTERN = re.compile(r"[A-Za-z_][A-Za-z0-9_-]*")


def locate_error(path: str | Path, text: str, message: str) -> str:
    """Prefix an error message with the file and, if it is unambiguous, the line number.

    Parameters
    ----------
    path : str or Path
        File that was parsed.
    text : str
        Content of the file.
    message : str
        Error message of the JSON parser or of msgspec.

    Returns
    -------
    str
        ``path:line: message``, or ``path: message`` if the line cannot be determined.

    Examples
    --------
    >>> text = '{"a": 1,' + chr(10) + ' "a": 2}'
    >>> locate_error("f.json", text, 'Duplicate key "a" found in object')
    'f.json:2: Duplicate key "a" found in object; first occurrence in line 1'
    """
    syntax = SYNTAX_ERROR_PATTERN.match(message)
    if syntax:
        return f"{path}:{syntax[1]}: {syntax[2]}"
    duplicate = DUPLICATE_KEY_PATTERN.match(message)
    if duplicate:
        return _locate_duplicate(path, text, message, duplicate[1])
    key = _last_key(message)
    lines = _lines_of_key(text, key) if key else []
    if len(lines) == 1:
        return f"{path}:{lines[0]}: {message}"
    return f"{path}: {message}"


def _locate_duplicate(path: str | Path, text: str, message: str, key: str) -> str:
    lines = _lines_of_key(text, key)
    if len(lines) != 2:
        return f"{path}: {message}"
    return f"{path}:{lines[1]}: {message}; first occurrence in line {lines[0]}"


def _last_key(message: str) -> str:
    unknown = UNKNOWN_FIELD_PATTERN.search(message)
    if unknown:
        return unknown[1]
    field_path = FIELD_PATH_PATTERN.search(message)
    keys = KEY_PATTERN.findall(field_path[1]) if field_path else []
    return keys[-1] if keys else ""


def _lines_of_key(text: str, key: str) -> list[int]:
    pattern = re.compile(rf"""(?<![\w-])["']?{re.escape(key)}["']?\s*:""")
    return [
        text.count("\n", 0, match.start()) + 1
        for match in pattern.finditer(text)
        if "//" not in text[text.rfind("\n", 0, match.start()) + 1 : match.start()]
    ]
