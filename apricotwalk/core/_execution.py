"""Execution semantics of routes."""

from enum import StrEnum

__all__ = ["Execution"]


class Execution(StrEnum):
    """Whether the work of a route may run more than once."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at-most-once"
