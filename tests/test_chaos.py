"""Tests of scenarios that inject a pair of faults drawn at random from a seed."""

import pytest

from apricotwalk_lab.scenarios import draw_fault_pair, parse_scenario


@pytest.mark.parametrize("seed", range(0, 200, 8))
def test_drawn_pair_is_a_scenario_that_checks_every_promise(seed):
    scenario = parse_scenario(draw_fault_pair(seed), "pair")
    texts = [expect.text for expect in scenario.expect_statements]
    assert texts.count("expect promises") == 4
    assert len(scenario.faults) >= 2
    assert max(timed.at for timed in scenario.faults) <= 4.0


def test_seed_determines_the_pair():
    assert draw_fault_pair(7) == draw_fault_pair(7)
    assert draw_fault_pair(7) != draw_fault_pair(8)
