"""How often a piece of work may run."""

from enum import StrEnum

__all__ = ["Execution"]


class Execution(StrEnum):
    """How often the work of a route may run."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at-most-once"
