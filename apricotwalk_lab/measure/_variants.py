"""Variants that a run compares, each with the mechanisms that it disables."""

from apricotwalk.core import Mechanism

__all__ = ["CURRENT_COMMIT", "NO_CONTROL", "STATIC_LIMIT", "VARIANTS"]

NO_CONTROL = "no-control"
STATIC_LIMIT = "static-limit"
CURRENT_COMMIT = "this-commit"

VARIANTS: dict[str, list[Mechanism]] = {
    NO_CONTROL: [
        Mechanism.ADMISSION,
        Mechanism.EARLY_SHEDDING,
        Mechanism.FAIR_SHARES,
        Mechanism.RETRY_BUDGET,
    ],
    STATIC_LIMIT: [
        Mechanism.RANK_ADMISSION,
        Mechanism.EARLY_SHEDDING,
        Mechanism.FAIR_SHARES,
    ],
    CURRENT_COMMIT: [],
}
