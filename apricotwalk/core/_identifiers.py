"""Random identifiers."""

import os

__all__ = ["new_identifier"]

IDENTIFIER_BYTES = 8


def new_identifier() -> str:
    """Return an unguessable random identifier of 16 hexadecimal digits."""
    return os.urandom(IDENTIFIER_BYTES).hex()
