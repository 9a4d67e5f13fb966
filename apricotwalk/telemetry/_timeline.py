"""Events of several processes in causal order, as text and in a trace format."""

from collections.abc import Iterable

from msgspec import Struct

from apricotwalk.telemetry._hybrid_clock import stamp_microseconds

__all__ = ["EventReport", "format_timeline", "merge_events", "to_chrome_trace"]

SPAN_ENDS = {
    "request-entered": ("request-answered", "request-failed"),
    "call-started": ("call-completed", "call-failed"),
}
MICROSECONDS_PER_MILLISECOND = 1000


class EventReport(Struct):
    """An event of the merged timeline.

    Parameters
    ----------
    stamp : int
        Hybrid logical time.
    instance, availability_zone : str
        Location of the process that recorded the event.
    kind, request_id : str
        Name of the event and identifier of the request concerned.
    fields : dict
        Further fields.
    """

    stamp: int
    instance: str
    availability_zone: str
    kind: str
    request_id: str
    fields: dict[str, object]


def merge_events(reports: Iterable[EventReport]) -> list[EventReport]:
    """Merge the events of all processes in the causal order given by their stamps."""
    return sorted(reports, key=lambda report: (report.stamp, report.instance))


def format_timeline(events: list[EventReport]) -> list[str]:
    """Format each event as a line with the milliseconds since the first event."""
    if not events:
        return []
    first = stamp_microseconds(events[0].stamp)
    width = max(len(event.instance) for event in events)
    lines = []
    for event in events:
        elapsed_ms = (stamp_microseconds(event.stamp) - first) / MICROSECONDS_PER_MILLISECOND
        field_text = " ".join(f"{name}={value}" for name, value in event.fields.items())
        location = f"{event.instance:<{width}}  {event.availability_zone}"
        lines.append(f"{elapsed_ms:10.3f} ms  {location}  {event.kind:<17} {field_text}".rstrip())
    return lines


def to_chrome_trace(events: list[EventReport]) -> dict[str, object]:
    """Return the events in the Chrome trace event format, with one process per instance.

    Notes
    -----
    A request or call that has both started and ended becomes a complete event (a span), any
    other event an instant event.  A flow event (an arrow) connects the sending of a call with
    its start on another instance.
    """
    pids = {name: pid for pid, name in enumerate(sorted({e.instance for e in events}), start=1)}
    rows: list[dict[str, object]] = [
        {"ph": "M", "name": "process_name", "pid": pid, "tid": 0, "args": {"name": name}}
        for name, pid in pids.items()
    ]
    ends = _span_ends(events)
    for event in events:
        rows.append(_trace_row(event, pids[event.instance], ends))
        rows += _flow_rows(event, pids[event.instance])
    return {"traceEvents": rows, "displayTimeUnit": "ms"}


def _span_key(event: EventReport) -> tuple[str, str, object]:
    return (event.instance, event.request_id, event.fields.get("call", ""))


def _span_ends(events: list[EventReport]) -> dict[tuple[str, str, str, object], int]:
    begins_by_end = {end: begin for begin, ends in SPAN_ENDS.items() for end in ends}
    return {
        (begins_by_end[event.kind], *_span_key(event)): event.stamp
        for event in events
        if event.kind in begins_by_end
    }


def _trace_row(
    event: EventReport, pid: int, ends: dict[tuple[str, str, str, object], int]
) -> dict[str, object]:
    began = stamp_microseconds(event.stamp)
    row: dict[str, object] = {
        "name": event.kind,
        "pid": pid,
        "tid": 1,
        "ts": began,
        "args": {"request": event.request_id, **event.fields},
    }
    end = ends.get((event.kind, *_span_key(event)))
    if event.kind in SPAN_ENDS and end is not None:
        return {**row, "ph": "X", "dur": max(1, stamp_microseconds(end) - began)}
    return {**row, "ph": "i", "s": "p"}


def _flow_rows(event: EventReport, pid: int) -> list[dict[str, object]]:
    phases = {"call-sent": "s", "call-started": "f"}
    if event.kind not in phases:
        return []
    return [
        {
            "ph": phases[event.kind],
            "bp": "e",
            "name": "call",
            "cat": "call",
            "id": str(event.fields.get("call", "")),
            "pid": pid,
            "tid": 1,
            "ts": stamp_microseconds(event.stamp),
        }
    ]
