"""Checks the records of callers and backend servers against the guarantees of the platform."""

from collections import defaultdict
from collections.abc import Iterator

from apricotwalk_lab.soak._plan import PLANNED, STOPS, Fault, FaultKind, SoakPlan
from apricotwalk_lab.soak._platform import (
    CONFIGURATION_SECONDS,
    DRAIN_SECONDS,
    RETRY_ALLOWANCE,
    RETRY_RATIO,
    RETRY_WINDOW_SECONDS,
    STOP_SECONDS,
)
from apricotwalk_lab.soak._records import CallerRequest, Records

__all__ = ["check"]

# A node counts as connected after this long without a fault.  The platform sets this bound.
UNDISTURBED_SECONDS = 3.0
# A node must not revert to an older version this long after it first served a newer one.  The
# platform sets this bound.
VERSION_SETTLING_SECONDS = 0.25
# While the store is unstable, a configuration may take this much longer to propagate.  The platform
# sets this bound.
UNSTABLE_STORE_EXTRA_SECONDS = 5.0
# During a planned stop, a connection without an answer that ends later than this after its
# request was sent counts as cut.
LATE_CUT_SECONDS = 0.2
MAX_TARGET_COUNT = 2
# A server with a limit may get one and a half times the limit and five requests in each window.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_EXCESS_FACTOR = 1.5
LIMIT_EXCESS_COUNT = 5
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
NODE_FAILURE_STATUSES = frozenset({502, 504})
FAILURE_STATUSES = frozenset({500, 502, 503, 504})
# At least this share of the requests must not fail.  Restarted nodes refuse requests for a moment;
# an outage of the store alone permits no further failures.
SERVED_SHARE = 0.9
MIN_JUDGED_COUNT = 50
# A restarted node needs its restart pause and about a second to start on a busy machine.
START_SECONDS = 2.0

_STORE_FAULTS = frozenset(
    {
        FaultKind.ODD_ENTRIES,
        FaultKind.STORE_DOWN,
        FaultKind.STORE_SLOW,
        FaultKind.STORE_ANSWERS_LOST,
        FaultKind.STORE_FORGETS,
        FaultKind.STORE_RESTORED,
        FaultKind.STORE_LINK_CUT,
        FaultKind.STORE_LINK_CUT_BACK,
    }
)
_NON_DISRUPTIVE = (
    _STORE_FAULTS | PLANNED | {FaultKind.CONFIGURATION_CHANGED, FaultKind.SERVER_REPLACED}
)


def check(plan: SoakPlan, records: Records, starts_by_node: list[list[float]]) -> list[str]:
    """Return one line for each violation of a guarantee.

    Parameters
    ----------
    plan : SoakPlan
        Plan of the run, with its faults.
    records : Records
        Requests, executions and events that were observed.
    starts_by_node : list of list of float
        Start times of the process of each node, in seconds after the callers started.
    """
    checks = (
        _check_executions(records),
        _check_answers(records),
        _check_drain(records),
        _check_limits(records),
        _check_retry_budget(records),
        _check_versions(plan, records, starts_by_node),
        _check_graceful_stops(plan, records),
        _check_availability(plan, records),
    )
    return [line for lines in checks for line in lines]


def _check_executions(records: Records) -> Iterator[str]:
    for request in records.tries:
        executions = records.executions_by_request.get(request.request_id, [])
        if request.route == "dispatch" and len(executions) > 1:
            yield f"twice: {_describe(request, records)}"
        if len(executions) > MAX_TARGET_COUNT:
            yield f"more than {MAX_TARGET_COUNT} targets: {_describe(request, records)}"
        if request.status in REFUSAL_STATUSES and executions:
            yield f"refused but run: {_describe(request, records)}"


def _check_answers(records: Records) -> Iterator[str]:
    for request in records.tries:
        if not request.is_answer_intact:
            yield f"success without the server's own answer: {_describe(request, records)}"
    if records.mismatched_answers:
        yield f"callers received {records.mismatched_answers} answers to other requests"


def _check_drain(records: Records) -> Iterator[str]:
    for request_id, executions in records.executions_by_request.items():
        for execution in executions:
            left_at = records.left_at_by_server.get(execution.server)
            if left_at is not None and execution.at > left_at + DRAIN_SECONDS:
                late_seconds = execution.at - left_at
                yield (
                    f"{request_id} ran at {execution.server} {late_seconds:.2f} s "
                    "after its leaving was known"
                )


def _check_limits(records: Records) -> Iterator[str]:
    for server, changes in records.limit_changes_by_server.items():
        ends = [at for at, _ in changes[1:]] + [float("inf")]
        for (announced_at, rate), end in zip(changes, ends, strict=True):
            if rate is None:
                continue
            arrivals = [
                at
                for at in sorted(records.arrivals_by_server[server])
                if announced_at + UNDISTURBED_SECONDS <= at < end
            ]
            allowed = LIMIT_EXCESS_FACTOR * rate * LIMIT_WINDOW_SECONDS + LIMIT_EXCESS_COUNT
            for start in arrivals:
                count = sum(start <= at < start + LIMIT_WINDOW_SECONDS for at in arrivals)
                if count > allowed:
                    yield (
                        f"{server} announced {rate} requests per second and got {count} in "
                        f"{LIMIT_WINDOW_SECONDS} s from {start:.1f} s on"
                    )
                    break


def _check_retry_budget(records: Records) -> Iterator[str]:
    first_tries_by_service: dict[str, list[float]] = defaultdict(list)
    retries_by_service: dict[str, list[float]] = defaultdict(list)
    for executions in records.executions_by_request.values():
        first_tries_by_service[executions[0].service].append(executions[0].at)
        for execution in executions[1:]:
            retries_by_service[execution.service].append(execution.at)
    for service, times in retries_by_service.items():
        for start in times:
            window = (start, start + RETRY_WINDOW_SECONDS)
            retry_count = sum(window[0] <= at < window[1] for at in times)
            first_try_count = sum(
                window[0] <= at < window[1] for at in first_tries_by_service[service]
            )
            if retry_count > RETRY_RATIO * first_try_count + RETRY_ALLOWANCE:
                yield (
                    f"{service}: {retry_count} repeats beside {first_try_count} first tries "
                    f"from {start:.1f} s on"
                )


def _check_versions(
    plan: SoakPlan, records: Records, starts_by_node: list[list[float]]
) -> Iterator[str]:
    first_seen_at: dict[tuple[int, float, str], float] = {}
    for request in sorted(records.tries, key=lambda request: request.sent):
        if not request.route.startswith("v") or not request.status:
            continue
        published_at = records.published_at_by_version[int(request.route[1:])]
        removed_at = records.published_at_by_version.get(int(request.route[1:]) + 2)
        if removed_at is not None and request.ended >= removed_at:
            continue
        start = max((at for at in starts_by_node[request.node] if at <= request.sent), default=0.0)
        key = (request.node, start, request.route)
        if request.status != 404:
            first_seen_at.setdefault(key, request.ended)
        elif key in first_seen_at and request.sent > first_seen_at[key] + VERSION_SETTLING_SECONDS:
            yield f"an older version again: {_describe(request, records)}"
        elif request.sent > published_at + CONFIGURATION_SECONDS + _extra_propagation_seconds(
            plan, request
        ):
            yield (
                f"{request.sent - published_at:.2f} s after {request.route}: "
                f"{_describe(request, records)}"
            )


def _extra_propagation_seconds(plan: SoakPlan, request: CallerRequest) -> float:
    """Return the time beyond the usual bound within which a version must reach a node."""
    for fault in plan.faults:
        is_near = fault.at <= request.sent <= fault.at + fault.seconds + UNDISTURBED_SECONDS
        if not is_near:
            continue
        if fault.kind in (FaultKind.STORE_DOWN, FaultKind.STORE_SLOW):
            return float("inf")
        if fault.kind in _STORE_FAULTS or fault.node == request.node:
            if fault.kind in _STORE_FAULTS and fault.node != request.node:
                return UNSTABLE_STORE_EXTRA_SECONDS
            return float("inf")
    return 0.0


def _check_graceful_stops(plan: SoakPlan, records: Records) -> Iterator[str]:
    for stop in plan.faults:
        if stop.kind not in STOPS:
            continue
        end = stop.at + STOP_SECONDS + 1.0
        disturbing = [
            fault for fault in plan.faults if _overlaps(fault, stop.at - UNDISTURBED_SECONDS, end)
        ]
        if any(_ends_connections_of(stop.node, fault) for fault in disturbing):
            continue
        for request in records.tries:
            if request.ended >= records.callers_closed_at:
                continue  # the run itself ended its connection
            if request.node == stop.node and request.ended > stop.at and request.sent < end:
                yield from _check_cut(request, records, is_calm=not disturbing)


def _check_availability(plan: SoakPlan, records: Records) -> Iterator[str]:
    """Report too many failed requests outside the faults that can fail requests."""
    judged = [
        request
        for request in records.tries
        if request.ended
        and not any(
            _overlaps(fault, request.sent - UNDISTURBED_SECONDS, request.ended)
            for fault in plan.faults
        )
    ]
    failed = [
        request for request in judged if request.status in FAILURE_STATUSES or not request.status
    ]
    if len(judged) >= MIN_JUDGED_COUNT and len(failed) > (1.0 - SERVED_SHARE) * len(judged):
        example = _describe(failed[0], records)
        yield f"{len(failed)} of {len(judged)} failed without a fault of their own: {example}"


def _ends_connections_of(node: int, fault: Fault) -> bool:
    """Return whether a fault can end the connections of callers to a node."""
    return fault.kind is FaultKind.NODES_KILLED_IN_TURN or (
        fault.node == node and fault.kind in (FaultKind.NODE_KILLED, FaultKind.NODE_FROZEN)
    )


def _check_cut(request: CallerRequest, records: Records, is_calm: bool) -> Iterator[str]:
    was_executed = bool(records.executions_by_request.get(request.request_id))
    # A request behind the last answer of a connection counts as unread, however long it waited.
    is_late = request.ended - request.sent > LATE_CUT_SECONDS and not request.is_pipelined
    if not request.status and (was_executed or (is_late and is_calm)):
        yield f"cut at a planned stop: {_describe(request, records)}"
    if is_calm and request.status in NODE_FAILURE_STATUSES and was_executed:
        yield f"broken off at a planned stop: {_describe(request, records)}"


def _overlaps(fault: Fault, start: float, end: float) -> bool:
    """Return whether a fault that can fail requests overlaps the interval [start, end]."""
    if fault.kind in _NON_DISRUPTIVE:
        return False
    return fault.at < end and fault.at + fault.seconds + START_SECONDS > start


def _describe(request: CallerRequest, records: Records) -> str:
    executions = records.executions_by_request.get(request.request_id, [])
    executions_text = (
        ", ".join(f"{execution.server} at {execution.at:.2f}" for execution in executions)
        or "nowhere"
    )
    return (
        f"{request.request_id} {request.route} by node {request.node}, sent {request.sent:.2f}, "
        f"ended {request.ended:.2f}, status {request.status} {request.detail}; "
        f"ran {executions_text}"
    )
