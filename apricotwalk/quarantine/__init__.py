"""Requests that crash each backend server that runs them."""

from apricotwalk.quarantine._board import CRASH_LIMIT, QuarantineBoard
from apricotwalk.quarantine._crash_watch import CrashWatch
from apricotwalk.quarantine._fingerprint import fingerprint

__all__ = ["CRASH_LIMIT", "CrashWatch", "QuarantineBoard", "fingerprint"]
