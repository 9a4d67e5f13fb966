"""Tests of time stamps, the merged timeline, the trace file, log lines and metrics."""

import json
import socket

import pytest
from loguru import logger

from apricotwalk.core import ManualClock
from apricotwalk.settings import StatsdSettings
from apricotwalk.telemetry import (
    EventLog,
    EventReport,
    HybridClock,
    Metrics,
    format_timeline,
    merge_events,
    to_chrome_trace,
)
from apricotwalk.telemetry._metrics import MAX_NAME_COUNT, OVERFLOW_NAME


def report(stamp: int, instance: str, kind: str, **fields: object) -> EventReport:
    return EventReport(stamp, instance, "zone-a", kind, "r1", fields)


def test_effect_follows_its_cause_although_the_clock_is_behind():
    sender, receiver = HybridClock(ManualClock(100.0)), HybridClock(ManualClock(50.0))
    sent = sender.now()
    receiver.observe(sent)
    received = receiver.now()
    events = merge_events([report(received, "b", "call-started"), report(sent, "a", "call-sent")])
    assert [event.kind for event in events] == ["call-sent", "call-started"]


def test_timeline_starts_at_the_first_event():
    events = [report(1000 << 12, "a", "call-sent", call="c"), report(3500 << 12, "b", "x")]
    lines = format_timeline(events)
    assert "0.000 ms" in lines[0]
    assert "call=c" in lines[0]
    assert "2.500 ms" in lines[1]


def test_trace_has_spans_instants_and_arrows():
    events = [
        report(1000 << 12, "a", "call-sent", call="c"),
        report(2000 << 12, "b", "call-started", call="c"),
        report(5000 << 12, "b", "call-completed", call="c"),
    ]
    rows = to_chrome_trace(events)["traceEvents"]
    spans = [row for row in rows if row["ph"] == "X"]
    assert [(span["name"], span["dur"]) for span in spans] == [("call-started", 3000)]
    assert [row["id"] for row in rows if row["ph"] in ("s", "f")] == ["c", "c"]
    assert {row["args"]["name"] for row in rows if row["ph"] == "M"} == {"a", "b"}


@pytest.fixture
def log_lines():
    lines = []
    handle = logger.add(lambda text: lines.append(json.loads(text)["record"]), serialize=True)
    yield lines
    logger.remove(handle)


@pytest.mark.parametrize(("writes", "kinds"), [(True, ["shed", "left"]), (False, ["left"])])
def test_lines_carry_instance_zone_request_and_cause(log_lines, writes, kinds):
    events = EventLog("menu-1", "zone-a", HybridClock(ManualClock(1.0)), writes)
    events.record("shed", "r1", cause="queue-full")
    events.record_state_change("left")
    assert [line["message"] for line in log_lines] == kinds
    assert all(
        {"instance", "zone", "request", "cause"} <= line["extra"].keys() for line in log_lines
    )
    if writes:
        assert log_lines[0]["extra"]["request"] == "r1"
        assert log_lines[0]["extra"]["cause"] == "queue-full"


def test_number_of_metric_names_is_bounded():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as collector:
        collector.bind(("127.0.0.1", 0))
        collector.settimeout(2)
        metrics = Metrics(StatsdSettings(f"127.0.0.1:{collector.getsockname()[1]}", "test"))
        for index in range(MAX_NAME_COUNT + 1):
            metrics.count(f"name-{index}")
        received = [collector.recv(1000).decode() for _ in range(MAX_NAME_COUNT + 1)]
        metrics.close()
    assert received[0] == "test.name-0:1|c"
    assert received[-1] == f"test.{OVERFLOW_NAME}:1|c"


def test_stored_event_holds_the_recorded_fields():
    events = EventLog("menu-1", "zone-a", HybridClock(ManualClock(1.0)))
    events.record("call-started", "r1", call="c", rank=2, load=0.5)
    events.record("call-failed", "r2", cause=ValueError("odd"))
    (event,) = events.newest("r1")
    assert (event.kind, event.request_id) == ("call-started", "r1")
    assert event.fields == {"call": "c", "rank": 2, "load": 0.5}
    assert events.newest()[-1].fields == {"cause": "odd"}
    assert events.newest(limit=1)[0].stamp > event.stamp
