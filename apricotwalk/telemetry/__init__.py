"""Events, metrics, the decision log and the merged timeline of all processes."""

from apricotwalk.telemetry._decision_log import DecisionLog
from apricotwalk.telemetry._events import Event, EventLog
from apricotwalk.telemetry._hybrid_clock import HybridClock
from apricotwalk.telemetry._metrics import Metrics
from apricotwalk.telemetry._node_status import NodeStatus
from apricotwalk.telemetry._timeline import (
    EventReport,
    format_timeline,
    merge_events,
    to_chrome_trace,
)

__all__ = [
    "DecisionLog",
    "Event",
    "EventLog",
    "EventReport",
    "HybridClock",
    "Metrics",
    "NodeStatus",
    "format_timeline",
    "merge_events",
    "to_chrome_trace",
]
