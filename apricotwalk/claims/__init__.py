"""At-most-once execution: idempotency keys, their ownership and their stored outcomes."""

from apricotwalk.claims._claim_log import ClaimLog
from apricotwalk.claims._keys import IssuedKey, KeyIssuer, derive_key
from apricotwalk.claims._outcomes import RESEND_WINDOW_SECONDS, OutcomeStore
from apricotwalk.claims._owner import ClaimOwner

__all__ = [
    "RESEND_WINDOW_SECONDS",
    "ClaimLog",
    "ClaimOwner",
    "IssuedKey",
    "KeyIssuer",
    "OutcomeStore",
    "derive_key",
]
