"""Limits on retries across a whole chain of calls."""

from apricotwalk.retries._budget import CopiedBudget, RetryBudget, new_budget
from apricotwalk.retries._systemic_failures import SystemicFailureDetector
from apricotwalk.retries._throttle import ResendThrottle

__all__ = ["CopiedBudget", "ResendThrottle", "RetryBudget", "SystemicFailureDetector", "new_budget"]
