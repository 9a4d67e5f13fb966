"""Choice of the backend server that does a piece of work, and of what is not sent at all."""

from apricotwalk.routing._in_flight_limit import InFlightLimit
from apricotwalk.routing._selector import AnswerReport, TargetSelector
from apricotwalk.routing._thresholds import CalleeReport, CalleeThresholds

__all__ = ["AnswerReport", "CalleeReport", "CalleeThresholds", "InFlightLimit", "TargetSelector"]
