"""Detection and quarantine of requests that crash the backend servers that execute them."""

from apricotwalk.quarantine._crash_watch import CrashWatch
from apricotwalk.quarantine._fingerprint import fingerprint
from apricotwalk.quarantine._registry import CRASH_LIMIT, QuarantineRegistry

__all__ = ["CRASH_LIMIT", "CrashWatch", "QuarantineRegistry", "fingerprint"]
