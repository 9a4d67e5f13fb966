"""Errors of scenario files."""

from apricotwalk.core import ApricotwalkError

__all__ = ["ScenarioError"]


class ScenarioError(ApricotwalkError):
    """A scenario file cannot be read or has an error in it.

    Parameters
    ----------
    file : str
        Path of the file.
    line, column : int
        Position of the error, counted from 1.
    reason : str
        What was expected and what was found.
    """

    def __init__(self, file: str, line: int, column: int, reason: str) -> None:
        super().__init__(f"{file}:{line}:{column}: {reason}")
        self.line = line
        self.column = column
