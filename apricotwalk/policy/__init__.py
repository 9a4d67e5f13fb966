"""Templates, customers and the treatment of requests that results from them."""

from apricotwalk.policy._compile import compile_customer
from apricotwalk.policy._records import (
    CONFIGURATION_STREAM,
    Customer,
    Execution,
    Parameter,
    PolicyRecord,
    Route,
    Snapshot,
    StreamRecord,
    Template,
    decode_record,
    encode_record,
)
from apricotwalk.policy._replay import LogReplay, Outcome, OutcomeKind
from apricotwalk.policy._snapshot_parts import split_snapshot
from apricotwalk.policy._state import PolicyState, Rejection
from apricotwalk.policy._treatment import CustomerPolicy, Treatment

__all__ = [
    "CONFIGURATION_STREAM",
    "Customer",
    "CustomerPolicy",
    "Execution",
    "LogReplay",
    "Outcome",
    "OutcomeKind",
    "Parameter",
    "PolicyRecord",
    "PolicyState",
    "Rejection",
    "Route",
    "Snapshot",
    "StreamRecord",
    "Template",
    "Treatment",
    "compile_customer",
    "decode_record",
    "encode_record",
    "split_snapshot",
]
