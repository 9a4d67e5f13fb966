"""Node settings, loaded from a JSON file with comments and validated."""

from apricotwalk.settings._load import load_json_with_comments, load_settings
from apricotwalk.settings._locate import locate_error
from apricotwalk.settings._models import (
    Address,
    KeySettings,
    ListenSettings,
    NodeSettings,
    StatsdSettings,
)

__all__ = [
    "Address",
    "KeySettings",
    "ListenSettings",
    "NodeSettings",
    "StatsdSettings",
    "load_json_with_comments",
    "load_settings",
    "locate_error",
]
