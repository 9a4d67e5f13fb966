"""Open-loop load generator for the caller listeners of a fleet."""

from apricotwalk_lab.load._generator import LoadGenerator
from apricotwalk_lab.load._profile import RetryPolicy, Stream, Surge, rate_at, streams_of
from apricotwalk_lab.load._record import RequestRecord

__all__ = [
    "RetryPolicy",
    "LoadGenerator",
    "RequestRecord",
    "Stream",
    "Surge",
    "rate_at",
    "streams_of",
]
