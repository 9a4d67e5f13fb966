"""Load balancing among the members of a service, and early shedding of requests."""

from apricotwalk.routing._in_flight_limit import InFlightLimit
from apricotwalk.routing._selector import AnswerReport, TargetSelector
from apricotwalk.routing._thresholds import CalleeReport, CalleeThresholds

__all__ = ["AnswerReport", "CalleeReport", "CalleeThresholds", "InFlightLimit", "TargetSelector"]
