"""Verdict on whether the work of a request may have run."""

from enum import StrEnum

__all__ = ["Verdict"]


class Verdict(StrEnum):
    """Whether the work of a request has run.

    Notes
    -----
    ``NOT_RUN`` is a guarantee.  A time-out, a lost answer or a closed connection after the
    request was written is never reported as ``NOT_RUN``.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    COMPLETED = "completed"

    @property
    def is_safe_to_repeat(self) -> bool:
        """Whether the work can be sent again even if it is not idempotent."""
        return self is Verdict.NOT_RUN
