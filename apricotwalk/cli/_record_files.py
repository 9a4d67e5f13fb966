"""Loading of templates and customers from files."""

from pathlib import Path
from typing import Any

import msgspec

from apricotwalk.core import SettingsError, new_identifier
from apricotwalk.policy import Customer, PolicyRecord, Template
from apricotwalk.settings import load_json_with_comments, locate_error

__all__ = ["load_record"]

KINDS: dict[str, type[Template] | type[Customer]] = {"template": Template, "customer": Customer}


def load_record(path: str, kind: str = "") -> PolicyRecord:
    """Load a template or a customer from a file.

    Parameters
    ----------
    path : str
        JSON file with comments.
    kind : str
        ``"template"`` or ``"customer"``.  If it is empty, the kind is read from the file; a
        file without a kind is a template if it has routes, and a customer otherwise.

    Returns
    -------
    Template or Customer
        Loaded record, with a new publish identifier if the file has none.

    Raises
    ------
    SettingsError
        If the file cannot be read or does not match the model.  The message names the file, the
        line or field path, and the expected and actual values.
    """
    raw = load_json_with_comments(path, dict[str, Any])
    expected = kind or str(raw.get("kind", "template" if "routes" in raw else "customer"))
    if expected not in KINDS or raw.setdefault("kind", expected) != expected:
        raise SettingsError(f"{path}: $.kind: expected {expected!r}, saw {raw.get('kind')!r}")
    raw.setdefault("publish_id", new_identifier())
    try:
        return msgspec.convert(raw, KINDS[expected])
    except msgspec.ValidationError as error:
        text = Path(path).read_text(encoding="utf-8")
        raise SettingsError(locate_error(path, text, str(error))) from error
