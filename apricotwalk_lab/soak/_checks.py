"""Compares what callers and backend servers saw with what is promised."""

from collections import defaultdict
from collections.abc import Iterator

from apricotwalk_lab.soak._pages import (
    CONFIGURATION_SECONDS,
    DRAIN_SECONDS,
    RETRY_ALLOWANCE,
    RETRY_RATIO,
    RETRY_WINDOW_SECONDS,
    STOP_SECONDS,
)
from apricotwalk_lab.soak._plan import PLANNED, Fault, FaultKind, SoakPlan
from apricotwalk_lab.soak._records import CallerRequest, Records

__all__ = ["check"]

# A node is in touch while nothing disturbed it for so long; the platform's bound.
CONTACT_SECONDS = 3.0
# What a node saw of a version counts against it so much later; the platform's bound.
VISIBLE_SECONDS = 0.25
# An unstable store stretches the bound of the configuration by so much; the platform's bound.
OUTER_SECONDS = 5.0
# A connection that ends later than this after a whole request counts as cut at a planned stop.
LOST_SECONDS = 0.2
LARGEST_TARGET_COUNT = 2
REFUSALS = frozenset({408, 421, 429, 503})
OWN_FAILURES = frozenset({502, 504})
SERVER_FAILURES = frozenset({500, 502, 503, 504})
# Restarted nodes refuse for a moment; an outage of the store alone excuses no more.
SERVED_SHARE = 0.9
LEAST_JUDGED = 50
# A started node is back after its restart pause and a second of starting on a busy machine.
START_SECONDS = 2.0

_STORE_FAULTS = frozenset(
    {
        FaultKind.STORE_DOWN,
        FaultKind.STORE_SLOW,
        FaultKind.STORE_ANSWERS_LOST,
        FaultKind.STORE_FORGETS,
        FaultKind.STORE_LINK_CUT,
        FaultKind.STORE_LINK_CUT_BACK,
    }
)
_HARMLESS = _STORE_FAULTS | PLANNED | {FaultKind.CONFIGURATION_CHANGED, FaultKind.SERVER_REPLACED}


def check(plan: SoakPlan, records: Records, starts_by_node: list[list[float]]) -> list[str]:
    """Return a line for each promise that was broken.

    Parameters
    ----------
    plan : SoakPlan
        Faults of the run.
    records : Records
        What was seen.
    starts_by_node : list of list of float
        When each node's process was started.
    """
    checks = (
        _check_runs(records),
        _check_answers(records),
        _check_leaving(records),
        _check_budget(records),
        _check_versions(plan, records, starts_by_node),
        _check_stops(plan, records),
        _check_service(plan, records),
    )
    return [line for lines in checks for line in lines]


def _check_runs(records: Records) -> Iterator[str]:
    for entry in records.tries:
        runs = records.executions_by_request.get(entry.request_id, [])
        if entry.route == "dispatch" and len(runs) > 1:
            yield f"twice: {_describe(entry, records)}"
        if len(runs) > LARGEST_TARGET_COUNT:
            yield f"more than {LARGEST_TARGET_COUNT} targets: {_describe(entry, records)}"
        if entry.status in REFUSALS and runs:
            yield f"refused but run: {_describe(entry, records)}"


def _check_answers(records: Records) -> Iterator[str]:
    for entry in records.tries:
        if not entry.is_answer_intact:
            yield f"success without the server's own answer: {_describe(entry, records)}"
    if records.strays:
        yield f"{records.strays} answers to other requests"


def _check_leaving(records: Records) -> Iterator[str]:
    for request_id, runs in records.executions_by_request.items():
        for run in runs:
            left_at = records.left_at_by_server.get(run.server)
            if left_at is not None and run.at > left_at + DRAIN_SECONDS:
                late = run.at - left_at
                yield f"{request_id} ran at {run.server} {late:.2f} s after its leaving was known"


def _check_budget(records: Records) -> Iterator[str]:
    firsts: dict[str, list[float]] = defaultdict(list)
    repeats: dict[str, list[float]] = defaultdict(list)
    for runs in records.executions_by_request.values():
        firsts[runs[0].service].append(runs[0].at)
        for run in runs[1:]:
            repeats[run.service].append(run.at)
    for service, times in repeats.items():
        for start in times:
            window = (start, start + RETRY_WINDOW_SECONDS)
            found = sum(window[0] <= at < window[1] for at in times)
            asked = sum(window[0] <= at < window[1] for at in firsts[service])
            if found > RETRY_RATIO * asked + RETRY_ALLOWANCE:
                yield f"{service}: {found} repeats beside {asked} first tries from {start:.1f} s on"


def _check_versions(
    plan: SoakPlan, records: Records, starts_by_node: list[list[float]]
) -> Iterator[str]:
    seen: dict[tuple[int, float, str], float] = {}
    for entry in sorted(records.tries, key=lambda entry: entry.sent):
        if not entry.route.startswith("v") or not entry.status:
            continue
        published = records.published_at_by_version[int(entry.route[1:])]
        dropped = records.published_at_by_version.get(int(entry.route[1:]) + 2)
        if dropped is not None and entry.ended >= dropped:
            continue
        start = max((at for at in starts_by_node[entry.node] if at <= entry.sent), default=0.0)
        key = (entry.node, start, entry.route)
        if entry.status != 404:
            seen.setdefault(key, entry.ended)
        elif key in seen and entry.sent > seen[key] + VISIBLE_SECONDS:
            yield f"an older version again: {_describe(entry, records)}"
        elif entry.sent > published + CONFIGURATION_SECONDS + _stretch(plan, entry):
            yield f"{entry.sent - published:.2f} s after {entry.route}: {_describe(entry, records)}"


def _stretch(plan: SoakPlan, entry: CallerRequest) -> float:
    """Return how much longer than usual a version may take to reach a node."""
    for fault in plan.faults:
        is_near = fault.at <= entry.sent <= fault.at + fault.seconds + CONTACT_SECONDS
        if not is_near:
            continue
        if fault.kind in (FaultKind.STORE_DOWN, FaultKind.STORE_SLOW):
            return float("inf")
        if fault.kind in _STORE_FAULTS or fault.node == entry.node:
            if fault.kind in _STORE_FAULTS and fault.node != entry.node:
                return OUTER_SECONDS
            return float("inf")
    return 0.0


def _check_stops(plan: SoakPlan, records: Records) -> Iterator[str]:
    for stop in plan.faults:
        if stop.kind is not FaultKind.NODE_TERMINATED:
            continue
        end = stop.at + STOP_SECONDS + 1.0
        if any(_overlaps(fault, stop.at - CONTACT_SECONDS, end) for fault in plan.faults):
            continue
        for entry in records.tries:
            if entry.node == stop.node and entry.ended > stop.at and entry.sent < end:
                yield from _check_cut(entry, records)


def _check_service(plan: SoakPlan, records: Records) -> Iterator[str]:
    """Find a lack of service while nothing but the store and planned work is disturbed."""
    judged = [
        entry
        for entry in records.tries
        if entry.ended
        and not any(
            _overlaps(fault, entry.sent - CONTACT_SECONDS, entry.ended) for fault in plan.faults
        )
    ]
    failed = [entry for entry in judged if entry.status in SERVER_FAILURES or not entry.status]
    if len(judged) >= LEAST_JUDGED and len(failed) > (1.0 - SERVED_SHARE) * len(judged):
        example = _describe(failed[0], records)
        yield f"{len(failed)} of {len(judged)} failed without a fault of their own: {example}"


def _check_cut(entry: CallerRequest, records: Records) -> Iterator[str]:
    has_run = bool(records.executions_by_request.get(entry.request_id))
    is_late = entry.ended - entry.sent > LOST_SECONDS
    if not entry.status and (has_run or is_late):
        yield f"cut at a planned stop: {_describe(entry, records)}"
    if entry.status in OWN_FAILURES and has_run:
        yield f"broken off at a planned stop: {_describe(entry, records)}"


def _overlaps(fault: Fault, start: float, end: float) -> bool:
    """Return whether a fault that may cut requests by itself touches a time."""
    if fault.kind in _HARMLESS:
        return False
    return fault.at < end and fault.at + fault.seconds + START_SECONDS > start


def _describe(entry: CallerRequest, records: Records) -> str:
    runs = records.executions_by_request.get(entry.request_id, [])
    ran = ", ".join(f"{run.server} at {run.at:.2f}" for run in runs) or "nowhere"
    return (
        f"{entry.request_id} {entry.route} by node {entry.node}, sent {entry.sent:.2f}, "
        f"ended {entry.ended:.2f}, status {entry.status} {entry.detail}; ran {ran}"
    )
