"""Choice of the backend server that does a piece of work, and of what is not sent at all."""

from apricotwalk.routing._chain_gate import ChainGate
from apricotwalk.routing._failure_causes import FailureCauses
from apricotwalk.routing._growth_bound import GrowthBound
from apricotwalk.routing._pressures import ServicePressures
from apricotwalk.routing._selector import AnswerReport, TargetSelector
from apricotwalk.routing._thresholds import CalleeReport, CalleeThresholds

__all__ = [
    "AnswerReport",
    "CalleeReport",
    "CalleeThresholds",
    "ChainGate",
    "FailureCauses",
    "GrowthBound",
    "ServicePressures",
    "TargetSelector",
]
