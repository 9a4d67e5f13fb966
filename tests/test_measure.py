"""Tests of the ideal schedule and of the figures computed for a measurement."""

from pathlib import Path

import pytest

from apricotwalk_lab.cities import load_city
from apricotwalk_lab.load import RequestRecord, Surge, rate_at, streams_of
from apricotwalk_lab.measure import (
    SCENARIOS,
    Cell,
    CellResult,
    IdealSchedule,
    compute_figures,
)
from apricotwalk_lab.measure._scenarios import Times
from apricotwalk_lab.measure._table import to_markdown
from apricotwalk_lab.standins.backend_server import Execution

EXAMPLES = Path(__file__).parent.parent / "examples"
TIMES = Times(1.0, 3.0, 6.0)


@pytest.fixture(params=["accra", "lisbon"])
def city(request):
    return load_city(EXAMPLES / request.param)


@pytest.fixture
def scenario():
    return next(s for s in SCENARIOS if s.short_name == "b10")


def offered_requests(city, factor, completes=lambda record: True):
    """Return evenly spaced requests at the normal rate, multiplied by `factor` during the trigger.

    A request completes with status 200 if `completes` returns true for it, else with 503.
    """
    surges = [Surge(TIMES.begin, TIMES.end, factor)]
    records = []
    for index, stream in enumerate(streams_of(city)):
        moment = 0.0
        while moment < TIMES.stop:
            treatment = stream.treatment
            record = RequestRecord(
                f"1-{index}-{len(records)}",
                stream.customer,
                treatment.route,
                treatment.rank,
                moment,
                ended=moment + 0.2,
                tries=1,
            )
            record.status = 200 if completes(record) else 503
            records.append(record)
            moment += 1 / rate_at(stream, surges, moment)
    return records


def total(ideal):
    return sum(sum(by_bin.values()) for by_bin in ideal.values())


def test_ideal_schedule_completes_load_below_capacity(city):
    records = offered_requests(city, 1.0)
    ideal = IdealSchedule(city, SCENARIOS[0], TIMES).completed(records)
    assert total(ideal) == pytest.approx(len(records))


def test_ideal_schedule_serves_the_most_urgent_rank_first(city, scenario):
    records = offered_requests(city, 10.0)
    ideal = IdealSchedule(city, scenario, TIMES).completed(records)
    assert total(ideal) < len(records)
    urgent = sum(sum(by_bin.values()) for key, by_bin in ideal.items() if key.rank == 0)
    assert urgent == pytest.approx(sum(record.rank == 0 for record in records))


def test_ideal_schedule_excludes_the_capacity_of_a_lost_zone(city):
    zone_loss = next(s for s in SCENARIOS if s.loses_zone)
    records = offered_requests(city, 10.0)
    full = IdealSchedule(city, SCENARIOS[0], TIMES).completed(records)
    reduced = IdealSchedule(city, zone_loss, TIMES).completed(records)
    assert total(reduced) < total(full)


def figures_of(city, records, executions=()):
    cell = Cell(city, SCENARIOS[0], "this-commit", 1, TIMES)
    return compute_figures(CellResult(cell, records, list(executions), 0.9, True))


def test_recovery_is_measured_from_the_end_of_the_trigger(city):
    def completes(record):
        return not TIMES.begin <= record.began < TIMES.end + 0.75

    figures = figures_of(city, offered_requests(city, 1.0, completes))
    assert figures.recovery_seconds == pytest.approx(0.75, abs=0.11)
    assert figures.goodput < 1.0


def test_service_that_stays_down_never_recovers(city):
    figures = figures_of(
        city, offered_requests(city, 1.0, lambda record: record.began < TIMES.begin)
    )
    assert figures.recovery_seconds is None
    assert figures.least_share_kept == 0.0


def test_table_shows_the_median_and_excludes_starved_runs(city):
    runs = [figures_of(city, offered_requests(city, 1.0)) for _ in range(3)]
    runs[0].goodput, runs[1].goodput, runs[2].goodput = 0.5, 0.7, 0.9
    starved = figures_of(city, offered_requests(city, 1.0))
    starved.is_starved = True
    table = to_markdown([*runs, starved])
    assert "| 3 | 0.700 |" in table
    assert "(starved)" not in table
    assert "(starved)" in to_markdown([starved])


def test_work_for_incomplete_requests_counts_as_wasted(city):
    records = offered_requests(city, 1.0)[:4]
    records[0].status = 503
    executions = [
        Execution("x", "GET", f"/menu/{r.identifier}-1", f"request-{i}", "", 0.0, worked_ms=10.0)
        for i, r in enumerate(records)
    ]
    executions.append(Execution("y", "GET", "/allergy/labels", "request-0", "", 0.0, worked_ms=20))
    assert figures_of(city, records, executions).wasted_work == pytest.approx(0.5)
