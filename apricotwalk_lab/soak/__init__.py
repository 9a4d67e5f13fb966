"""Randomized soak test of real mesh node processes under externally injected faults."""

from apricotwalk_lab.soak._plan import SoakPlan, draw_plan
from apricotwalk_lab.soak._run import SoakReport, run_soak

__all__ = ["SoakPlan", "SoakReport", "draw_plan", "run_soak"]
