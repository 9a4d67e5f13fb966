"""Measurement of overload control under load, with real processes on the loopback interface."""

from apricotwalk_lab.measure._cell import Cell, CellResult, run_cell
from apricotwalk_lab.measure._figures import Figures, compute_figures
from apricotwalk_lab.measure._fleets import start_fleet
from apricotwalk_lab.measure._ideal import IdealSchedule
from apricotwalk_lab.measure._machine import IdleMeter
from apricotwalk_lab.measure._plots import plot_goodput
from apricotwalk_lab.measure._scenarios import SCENARIOS, Scenario, Times
from apricotwalk_lab.measure._variants import CURRENT_COMMIT, NO_CONTROL, VARIANTS

__all__ = [
    "CURRENT_COMMIT",
    "NO_CONTROL",
    "SCENARIOS",
    "VARIANTS",
    "Cell",
    "CellResult",
    "Figures",
    "IdealSchedule",
    "IdleMeter",
    "Scenario",
    "Times",
    "compute_figures",
    "plot_goodput",
    "run_cell",
    "start_fleet",
]
