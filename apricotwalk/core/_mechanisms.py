"""Mechanisms that a test run can disable."""

from collections.abc import Iterable
from enum import StrEnum

__all__ = ["ALL_ON", "Mechanism", "MechanismSwitches"]


class Mechanism(StrEnum):
    """A mechanism that one of the guarantees depends on.

    Notes
    -----
    A test scenario disables a mechanism to show that its guarantee is violated without it.  The
    setting `disabled_mechanisms` is only for such test runs and must not be used in production.
    """

    RETRY_BUDGET = "retry-budget"
    ADMISSION = "admission"
    RANK_ADMISSION = "rank-admission"
    EARLY_SHEDDING = "early-shedding"
    FAIR_SHARES = "fair-shares"
    CORRELATION = "correlation"
    COMPLETENESS = "completeness"
    VERDICTS = "verdicts"
    CLAIMS = "claims"
    DRAIN = "drain"
    GRACEFUL_STOP = "graceful-stop"
    MONOTONIC_CONFIGURATION = "monotonic-configuration"
    CONFIGURATION_SPREAD = "configuration-spread"
    QUARANTINE = "quarantine"
    SILENCE_DETECTION = "silence-detection"
    FREEZE_DETECTION = "freeze-detection"
    SLOW_START = "slow-start"
    OWN_MEASUREMENTS = "own-measurements"
    FAILURE_DETECTION = "failure-detection"


class MechanismSwitches:
    """Set of enabled mechanisms; by default all are enabled.

    Parameters
    ----------
    disabled : iterable of Mechanism
        Mechanisms to disable.

    Examples
    --------
    >>> MechanismSwitches([Mechanism.CLAIMS]).is_on(Mechanism.CLAIMS)
    False
    """

    def __init__(self, disabled: Iterable[Mechanism] = ()) -> None:
        self._disabled = frozenset(disabled)

    def is_on(self, mechanism: Mechanism) -> bool:
        """Return whether `mechanism` is enabled."""
        return mechanism not in self._disabled


ALL_ON = MechanismSwitches()
