"""Loading of JSON files with comments into validated models."""

from pathlib import Path
from typing import Any, TypeVar

import msgspec

from apricotwalk.core import SettingsError
from apricotwalk.settings._locate import locate_error
from apricotwalk.settings._models import Address, NodeSettings

__all__ = ["load_json_with_comments", "load_settings"]

Model = TypeVar("Model")


def load_json_with_comments(path: str | Path, model: type[Model]) -> Model:
    """Load a JSON file with comments and validate it against `model`.

    Parameters
    ----------
    path : str or Path
        JSON file; comments and trailing commas are allowed.
    model : type
        msgspec type that the content must match.

    Returns
    -------
    object
        Instance of `model`.

    Raises
    ------
    SettingsError
        If the file cannot be read, is not valid JSON or does not match `model`.  The message
        names the file, the line or field path, and the expected and actual values.
    """
    import json5  # json5 is imported here because it is needed once and adds 2.6 MB of memory.

    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    try:
        content: Any = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        raise SettingsError(locate_error(path, text, str(error))) from error
    try:
        return msgspec.convert(content, model)
    except msgspec.ValidationError as error:
        raise SettingsError(locate_error(path, text, str(error))) from error


def load_settings(path: str | Path) -> NodeSettings:
    """Load and validate the settings file of a node.

    Parameters
    ----------
    path : str or Path
        JSON file with comments.

    Returns
    -------
    NodeSettings
        Validated settings.

    Raises
    ------
    SettingsError
        If the file cannot be read, does not match the model or contains an invalid address.
    """
    settings = load_json_with_comments(path, NodeSettings)
    addresses_by_path = {
        "listen.callers": settings.listen.callers,
        "listen.server": settings.listen.server,
        "listen.peers": settings.listen.peers,
        "log_service": settings.log_service,
    }
    if settings.listen.advertised is not None:
        addresses_by_path["listen.advertised"] = settings.listen.advertised
    for index, seed in enumerate(settings.seeds):
        addresses_by_path[f"seeds[{index}]"] = seed
    for field_path, text in addresses_by_path.items():
        try:
            Address.parse(text)
        except SettingsError as error:
            raise SettingsError(f"{path}: $.{field_path}: {error}") from error
    return settings
