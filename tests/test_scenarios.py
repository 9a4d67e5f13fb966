"""Tests that run every scenario file with a fixed seed, and tests of the scenario parser."""

import asyncio
from pathlib import Path

import pytest

from apricotwalk_lab.scenarios import (
    Result,
    ScenarioError,
    parse_scenario,
    read_scenario,
    run_scenario,
)
from apricotwalk_lab.scenarios._proof import to_proof

DIRECTORY = Path(__file__).parent / "scenarios"
SEED = 1
MAX_RUN_COUNT_WHEN_STARVED = 3
SMALL_SCENARIO = """
template mesh
  route menu GET /menu to menu rank 3 within 3 s
customer school of mesh
instances menu 1
  work /menu 5 ms
load menus GET /menu by school 5 per second from 0 s to 1 s
"""


@pytest.mark.processes
@pytest.mark.parametrize("path", sorted(DIRECTORY.glob("*.scenario")), ids=lambda path: path.stem)
def test_scenario_holds(path, tmp_path):
    for attempt in range(MAX_RUN_COUNT_WHEN_STARVED):
        directory = tmp_path / str(attempt)
        result = asyncio.run(run_scenario(read_scenario(path), SEED, directory))
        if not result.is_inconclusive:
            break
    assert result.passed, result.line()


@pytest.mark.parametrize(
    ("line", "column", "words"),
    [
        ("at 1 s explode menu-1", 8, "saw 'explode'"),
        ("at 1 s kill menu-2", 13, "expected one of menu-1, saw 'menu-2'"),
        ("expect at least 90 of menus completed", 20, "expected %"),
        ("load more GET /menu by nobody 5 per second from 0 s to 1 s", 24, "saw 'nobody'"),
        ("fails without luck", 15, "saw 'luck'"),
        ("expect promises forever", 17, "expected the end of the line"),
        ('expect publish 1 refused naming "x', 33, "saw"),
        ("at 1 s restart nodes of menu-1 menu-2 2 times every 1 s", 32, "saw 'menu-2'"),
        ("at 1 s separate region from lisbon", 29, "expected one of region, saw 'lisbon'"),
    ],
)
def test_error_names_line_and_column(line, column, words):
    with pytest.raises(ScenarioError) as caught:
        parse_scenario(f"{SMALL_SCENARIO}{line}\n", "file")
    assert str(caught.value).startswith(f"file:8:{column}: ")
    assert words in str(caught.value)


def test_instances_are_placed_in_regions():
    text = SMALL_SCENARIO + "instances menu 2 zones zone-b region lisbon\n"
    scenario = parse_scenario(text + "at 1 s separate region from lisbon\n")
    assert [plan.region for plan in scenario.plans] == ["region", "lisbon", "lisbon"]
    assert scenario.needs_links()


def test_unreadable_file_is_an_error(tmp_path):
    with pytest.raises(ScenarioError, match="cannot be read"):
        read_scenario(tmp_path / "missing.scenario")


def test_statements_are_parsed_into_a_scenario():
    scenario = parse_scenario(SMALL_SCENARIO + "at 200 ms silence menu-1\nexpect promises\n")
    assert [plan.name for plan in scenario.plans] == ["menu-1"]
    assert scenario.needs_links()
    assert scenario.faults[0].at == pytest.approx(0.2)
    assert len(scenario.expect_statements) == 4
    assert scenario.duration_seconds() == pytest.approx(1.5)


def test_scenario_lists_the_mechanisms_that_it_needs():
    scenario = parse_scenario(f"fails without claims\nfails without drain\n{SMALL_SCENARIO}")
    assert scenario.fails_without == ["claims", "drain"]


def new_result(passed, is_inconclusive=False):
    reason = "" if passed else "broken"
    return Result("a", 1, [], passed, reason, 9, 9, 9, 1.0, is_inconclusive=is_inconclusive)


@pytest.mark.parametrize(
    ("red", "green", "is_shown"),
    [
        (new_result(False), new_result(True), True),
        (new_result(True), new_result(True), False),
        (new_result(False), new_result(False), False),
        (new_result(False, is_inconclusive=True), new_result(True), False),
    ],
)
def test_proof_requires_failure_without_and_success_with_the_mechanism(red, green, is_shown):
    proof = to_proof(Path("a.scenario"), "claims", red, green)
    assert proof.is_shown is is_shown
    assert proof.line_without == red.reason
