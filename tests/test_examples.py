"""Tests that every program of the gallery runs and prints the expected output in order."""

import subprocess
import sys
from pathlib import Path

import pytest

GALLERY = Path(__file__).parent.parent / "examples" / "gallery"
EXPECTED = {
    "compile_policy.py": ["allergy: rank 0, 0.8 s", "refused: customer hasty"],
    "retry_budget.py": ["243 executions", "one budget of 4 retries: 5 executions"],
    "read_timeline.py": ["call-sent", "call-started"],
}


def test_every_program_is_listed():
    assert {path.name for path in GALLERY.glob("*.py")} == EXPECTED.keys()


@pytest.mark.parametrize("name", EXPECTED)
def test_program_runs(name):
    result = subprocess.run(
        [sys.executable, str(GALLERY / name)], capture_output=True, text=True, timeout=30
    )
    assert result.returncode == 0, result.stderr
    positions = [result.stdout.find(words) for words in EXPECTED[name]]
    assert -1 not in positions, result.stdout
    assert positions == sorted(positions)
