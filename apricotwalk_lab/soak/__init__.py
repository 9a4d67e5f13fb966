"""A randomized soak of real mesh nodes, with faults from outside them."""

from apricotwalk_lab.soak._plan import SoakPlan, draw_plan
from apricotwalk_lab.soak._run import SoakReport, run_soak

__all__ = ["SoakPlan", "SoakReport", "draw_plan", "run_soak"]
