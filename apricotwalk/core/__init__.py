"""Verdicts, errors, clocks and supervision shared by every other package."""

from apricotwalk.core._body_memory import SMALL_BODY_BYTES, BodyMemory, CountedBody
from apricotwalk.core._clock import Clock, ManualClock, SystemClock
from apricotwalk.core._decoding import MAX_COUNT, decode_payload, parse_count
from apricotwalk.core._departure import Departure
from apricotwalk.core._errors import (
    ApricotwalkError,
    CallFailure,
    LogServiceError,
    PolicyError,
    RecordError,
    SettingsError,
    WireError,
)
from apricotwalk.core._execution import Execution
from apricotwalk.core._identifiers import new_identifier
from apricotwalk.core._mechanisms import ALL_ON, Mechanism, MechanismSwitches
from apricotwalk.core._pause import PauseDetector
from apricotwalk.core._server_notice import ServerNotice
from apricotwalk.core._server_socket import ServerSocket
from apricotwalk.core._supervisor import Service, Supervisor
from apricotwalk.core._suspect import Suspect
from apricotwalk.core._verdict import Verdict

__all__ = [
    "ALL_ON",
    "MAX_COUNT",
    "SMALL_BODY_BYTES",
    "ApricotwalkError",
    "BodyMemory",
    "CallFailure",
    "Clock",
    "CountedBody",
    "Departure",
    "Execution",
    "LogServiceError",
    "ManualClock",
    "Mechanism",
    "MechanismSwitches",
    "PauseDetector",
    "PolicyError",
    "RecordError",
    "ServerNotice",
    "ServerSocket",
    "Service",
    "SettingsError",
    "Supervisor",
    "Suspect",
    "SystemClock",
    "Verdict",
    "WireError",
    "decode_payload",
    "new_identifier",
    "parse_count",
]
