"""The soak: its checks can fail, and a short seeded run of real processes keeps every promise."""

import asyncio
import random
import signal
from types import SimpleNamespace

import pytest

from apricotwalk_lab.soak import SoakPlan, draw_plan, run_soak
from apricotwalk_lab.soak._checks import check
from apricotwalk_lab.soak._fleet import NodeInstance
from apricotwalk_lab.soak._plan import Fault, FaultKind
from apricotwalk_lab.soak._records import CallerRequest, Execution, Records

CALM = SoakPlan(0, ("menu", "dispatch"), ())
# Kills, stops and configuration changes that overlap, and a store that loses answers.
SHORT_SEED = 3


def records_of(*tries, runs=(), left=(), published=()):
    records = Records(tries=list(tries))
    for request_id, server, service, at in runs:
        records.executions_by_request[request_id].append(Execution(server, service, at))
    records.left_at_by_server.update(left)
    records.published_at_by_version.update(published)
    return records


def entry_of(request_id="q", route="menu", status=200, sent=1.0, ended=1.1, **facts):
    return CallerRequest(request_id, route, 0, sent, ended, status, **facts)


@pytest.mark.parametrize(
    ("records", "plan", "expected"),
    [
        (
            records_of(
                entry_of(route="dispatch"),
                runs=[("q", "s1", "dispatch", 1.0), ("q", "s2", "dispatch", 1.1)],
            ),
            CALM,
            "twice",
        ),
        (
            records_of(entry_of(status=503), runs=[("q", "s1", "menu", 1.0)]),
            CALM,
            "refused but run",
        ),
        (
            records_of(entry_of(), runs=[("q", f"s{n}", "menu", 1.0) for n in range(3)]),
            CALM,
            "more than 2 targets",
        ),
        (records_of(entry_of(is_answer_intact=False)), CALM, "without the server's own answer"),
        (
            records_of(entry_of(), runs=[("q", "s1", "menu", 9.0)], left=[("s1", 6.9)]),
            CALM,
            "after its leaving was known",
        ),
        (
            records_of(
                *[entry_of(f"q{n}") for n in range(60)],
                runs=[(f"q{n % 60}", "s1", "menu", 1.0) for n in range(130)],
            ),
            CALM,
            "repeats beside",
        ),
        (
            records_of(
                entry_of(route="v3", status=404, sent=12.5, ended=12.6), published=[(3, 10.0)]
            ),
            CALM,
            "2.50 s after v3",
        ),
        (
            records_of(
                entry_of("q1", "v3", 200, 10.5, 10.6),
                entry_of("q2", "v3", 404, 11.0, 11.1),
                published=[(3, 10.0)],
            ),
            CALM,
            "an older version again",
        ),
        (
            records_of(
                *[entry_of(f"q{n}", status=503 if n % 5 else 200, sent=11.0) for n in range(60)]
            ),
            SoakPlan(0, ("menu",), (Fault(FaultKind.STORE_DOWN, 10.0, 4.0, 0),)),
            "48 of 60 failed without a fault of their own",
        ),
        (
            records_of(
                entry_of(status=0, sent=10.1, ended=10.2), runs=[("q", "s1", "menu", 10.15)]
            ),
            SoakPlan(0, ("menu",), (Fault(FaultKind.NODE_TERMINATED, 10.0, 1.0, 0),)),
            "cut at a planned stop",
        ),
        (
            records_of(
                entry_of(status=502, sent=10.1, ended=10.2), runs=[("q", "s1", "menu", 10.15)]
            ),
            SoakPlan(0, ("menu",), (Fault(FaultKind.NODE_TERMINATED, 10.0, 1.0, 0),)),
            "broken off at a planned stop",
        ),
    ],
)
def test_each_broken_promise_is_reported(records, plan, expected):
    broken = check(plan, records, [[0.0], [0.0]])
    assert any(expected in line for line in broken), broken


def test_permitted_outcomes_are_not_reported():
    records = records_of(
        entry_of("q1", "dispatch", 503),
        entry_of("q2", "menu", 502),
        entry_of("q3", "v3", 404, sent=11.0, ended=11.1),
        runs=[("q2", "s1", "menu", 1.0), ("q2", "s2", "menu", 1.2)],
        left=[("s1", 0.0)],
        published=[(3, 10.0)],
    )
    assert check(CALM, records, [[0.0], [0.0]]) == []


def test_seed_determines_the_plan():
    assert draw_plan(7) == draw_plan(7)
    assert draw_plan(7) != draw_plan(8)
    assert {fault.kind for seed in range(60) for fault in draw_plan(seed).faults} == set(FaultKind)


def test_planned_end_stays_expected_after_a_later_signal(tmp_path):
    """Seed 209: SIGHUP came while the node stopped after SIGTERM."""
    place = NodeInstance(
        "n0",
        "menu",
        "127.0.0.1",
        ("127.0.0.1", 1),
        tmp_path,
        Records(),
        lambda: 0.0,
        random.Random(1),
    )
    place._process = SimpleNamespace(returncode=None, send_signal=lambda number: None)
    place.send(signal.SIGHUP)
    assert not place._is_exit_expected
    place.send(signal.SIGTERM)
    place.send(signal.SIGHUP)
    assert place._is_exit_expected


@pytest.mark.processes
def test_a_short_run_of_real_processes_keeps_every_promise(tmp_path):
    report = asyncio.run(run_soak(draw_plan(SHORT_SEED, 5), tmp_path))
    assert report.broken == ()
    assert report.tries > 100
