"""Exception hierarchy of apricotwalk."""

from apricotwalk.core._verdict import Verdict

__all__ = [
    "ApricotwalkError",
    "CallFailure",
    "LogServiceError",
    "PolicyError",
    "RecordError",
    "SettingsError",
    "WireError",
]


class ApricotwalkError(Exception):
    """Base class of all errors raised by apricotwalk."""


class SettingsError(ApricotwalkError):
    """A settings file cannot be read or is invalid."""


class RecordError(ApricotwalkError):
    """A record of the log service cannot be decoded or is invalid."""


class PolicyError(ApricotwalkError):
    """A template or customer violates a rule of the policy."""


class WireError(ApricotwalkError):
    """A message of another process is malformed, truncated, too large or not authenticated."""


class LogServiceError(ApricotwalkError):
    """A call to the log service failed or returned an unusable answer.

    Parameters
    ----------
    detail : str
        Description of the call and of its outcome.
    may_have_taken_effect : bool
        True if an append may have been stored although no answer was received.
    """

    def __init__(self, detail: str, may_have_taken_effect: bool = False) -> None:
        super().__init__(detail)
        self.may_have_taken_effect = may_have_taken_effect


class CallFailure(ApricotwalkError):  # noqa: N818
    """A call ended without a complete answer.

    Parameters
    ----------
    verdict : Verdict
        Whether the work may have run.
    cause : str
        Short stable code for metrics and the timeline, such as ``"shed"``.
    detail : str
        Human-readable description.
    status : int
        HTTP status code for the caller.
    retry_after : float, optional
        Time in seconds after which the caller may retry.
    """

    def __init__(
        self,
        verdict: Verdict,
        cause: str,
        detail: str,
        status: int = 503,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.verdict = verdict
        self.cause = cause
        self.detail = detail
        self.status = status
        self.retry_after = retry_after
