"""Fault injection scenarios: parser, runner and the invariants checked after each run."""

from apricotwalk_lab.scenarios._chaos import draw_fault_pair, run_fault_pairs
from apricotwalk_lab.scenarios._errors import ScenarioError
from apricotwalk_lab.scenarios._parser import parse_scenario, read_scenario
from apricotwalk_lab.scenarios._proof import Proof, run_proofs
from apricotwalk_lab.scenarios._runner import Result, run_scenario
from apricotwalk_lab.scenarios._scenario import Scenario

__all__ = [
    "Proof",
    "Result",
    "Scenario",
    "ScenarioError",
    "draw_fault_pair",
    "parse_scenario",
    "read_scenario",
    "run_fault_pairs",
    "run_proofs",
    "run_scenario",
]
