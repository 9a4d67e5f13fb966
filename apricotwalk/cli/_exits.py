"""Exit codes and error types of the command-line tool."""

from enum import IntEnum

from apricotwalk.core import ApricotwalkError, LogServiceError, SettingsError

__all__ = ["ExitCode", "UnreachableError", "UsageError", "exit_code_of"]


class ExitCode(IntEnum):
    """Exit codes of the command-line tool."""

    SUCCESS = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    INTERNAL = 70
    INTERRUPTED = 130


class UsageError(ApricotwalkError):
    """Raised if the command-line arguments are invalid."""


class UnreachableError(ApricotwalkError):
    """Raised if a node gives no valid answer or cannot be drained in time."""


def exit_code_of(error: ApricotwalkError) -> ExitCode:
    """Map an error to the exit code of the process.

    Examples
    --------
    >>> exit_code_of(UsageError("--wait: expected a number, saw 'x'"))
    <ExitCode.USAGE: 2>
    """
    if isinstance(error, LogServiceError | UnreachableError):
        return ExitCode.UNREACHABLE
    if isinstance(error, UsageError | SettingsError):
        return ExitCode.USAGE
    return ExitCode.REFUSED
