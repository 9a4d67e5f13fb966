"""Goodput, latency, recovery and wasted work of one cell."""

from collections import defaultdict

import msgspec
from hdrh.histogram import HdrHistogram

from apricotwalk_lab.load import RequestRecord
from apricotwalk_lab.measure._cell import CellResult
from apricotwalk_lab.measure._ideal import BIN_SECONDS, IdealSchedule, StreamKey

__all__ = ["Figures", "compute_figures"]

MAX_LATENCY_MS = 60_000
SIGNIFICANT_DIGIT_COUNT = 3
RECOVERED_SHARE = 0.95
RECOVERY_STEP_SECONDS = 0.1
RECOVERY_WINDOW_SECONDS = 1.0
STARVED_IDLE_SHARE = 0.25


class Figures(msgspec.Struct):
    """The figures of one cell, printed as one JSON object.

    Parameters
    ----------
    scenario, title, city, variant : str
        Short name and title of the scenario, city and variant that ran.
    seed : int
        Seed of the arrivals.
    goodput : float
        Completed requests divided by those that the ideal schedule completes.
    urgent_goodput : float
        Goodput of rank 0, the most urgent rank.
    offered_by_rank, completed_by_rank, ideal_by_rank : dict
        Number of requests that arrived, were completed, and that the ideal schedule completes.
    p50_ms_by_rank, p99_ms_by_rank : dict
        Median and 99th percentile of the latency of complete answers, in milliseconds.
    recovery_seconds : float, optional
        Seconds from the end of the trigger until 95% of the requests are completed, both in the
        next second and in the rest of the run; None if that does not happen within the run.
    executions_per_request : float
        Executions on all backend servers divided by requests.
    wasted_work : float
        Share of the servers' work that was spent on requests without a complete answer.
    least_share_kept : float
        Lowest ratio, over all streams with a floor, of completed requests to the requests that
        the floor guarantees while the trigger lasts.
    idle_share : float
        Idle share of the machine while the load ran, between 0 and 1.
    is_starved : bool
        Whether the machine was too busy (less than 25% idle) for the figures to be valid.
    causes : dict of str to int
        Number of failed requests by ``RANK:CAUSE:STATUS``.
    """

    scenario: str
    title: str
    city: str
    variant: str
    seed: int
    goodput: float
    urgent_goodput: float
    offered_by_rank: dict[int, int]
    completed_by_rank: dict[int, int]
    ideal_by_rank: dict[int, float]
    p50_ms_by_rank: dict[int, float]
    p99_ms_by_rank: dict[int, float]
    recovery_seconds: float | None
    executions_per_request: float
    wasted_work: float
    least_share_kept: float
    idle_share: float
    is_starved: bool
    causes: dict[str, int]


def compute_figures(result: CellResult) -> Figures:
    """Compute the figures of a cell from its records and executions."""
    cell = result.cell
    schedule = IdealSchedule(cell.city, cell.scenario, cell.times)
    ideal = schedule.completed(result.records)
    ideal_by_rank: dict[int, float] = defaultdict(float)
    for key, by_bin in ideal.items():
        ideal_by_rank[key.rank] += sum(by_bin.values())
    offered = _count_by_rank(result.records)
    completed = _count_by_rank([record for record in result.records if record.is_complete])
    percentiles = _percentiles(result.records)
    return Figures(
        scenario=cell.scenario.short_name,
        title=cell.scenario.title,
        city=cell.city.name,
        variant=cell.variant,
        seed=cell.seed,
        goodput=_ratio(sum(completed.values()), sum(ideal_by_rank.values())),
        urgent_goodput=_ratio(completed.get(0, 0), ideal_by_rank[0]),
        offered_by_rank=offered,
        completed_by_rank=completed,
        ideal_by_rank={rank: round(value, 1) for rank, value in sorted(ideal_by_rank.items())},
        p50_ms_by_rank=percentiles[0],
        p99_ms_by_rank=percentiles[1],
        recovery_seconds=_recovery_seconds(result),
        executions_per_request=_ratio(len(result.executions), len(result.records)),
        wasted_work=_wasted_work(result),
        least_share_kept=_least_share_kept(result, schedule),
        idle_share=round(result.idle_share, 3),
        is_starved=result.idle_share < STARVED_IDLE_SHARE,
        causes=_count_causes(result.records),
    )


def _ratio(part: float, whole: float) -> float:
    return round(part / whole, 4) if whole else 1.0


def _count_by_rank(records: list[RequestRecord]) -> dict[int, int]:
    counts: dict[int, int] = defaultdict(int)
    for record in records:
        counts[record.rank] += 1
    return dict(sorted(counts.items()))


def _count_causes(records: list[RequestRecord]) -> dict[str, int]:
    counts: dict[str, int] = defaultdict(int)
    for record in records:
        if not record.is_complete:
            counts[f"{record.rank}:{record.cause}:{record.status}"] += 1
    return dict(sorted(counts.items()))


def _percentiles(records: list[RequestRecord]) -> tuple[dict[int, float], dict[int, float]]:
    histograms: dict[int, HdrHistogram] = {}
    for record in records:
        if record.is_complete:
            histogram = histograms.setdefault(
                record.rank, HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGIT_COUNT)
            )
            histogram.record_value(max(1, round((record.ended - record.began) * 1000)))
    ranks = sorted(histograms)
    return (
        {rank: histograms[rank].get_value_at_percentile(50) for rank in ranks},
        {rank: histograms[rank].get_value_at_percentile(99) for rank in ranks},
    )


def _recovery_seconds(result: CellResult) -> float | None:
    times = result.cell.times
    elapsed = 0.0
    while times.end + elapsed + RECOVERY_WINDOW_SECONDS <= times.stop:
        begin = times.end + elapsed
        window_share = _completed_share(result.records, begin, begin + RECOVERY_WINDOW_SECONDS)
        remaining_share = _completed_share(result.records, begin, times.stop)
        if min(window_share, remaining_share) >= RECOVERED_SHARE:
            return round(elapsed, 1)
        elapsed += RECOVERY_STEP_SECONDS
    return None


def _completed_share(records: list[RequestRecord], begin: float, end: float) -> float:
    arrived = [record for record in records if begin <= record.began < end]
    return _ratio(sum(record.is_complete for record in arrived), len(arrived))


def _wasted_work(result: CellResult) -> float:
    complete = {
        f"{record.identifier}-{record.tries}" for record in result.records if record.is_complete
    }
    # The last path segment of a request from the load generator is RUN-STREAM-COUNT-TRY; paths of
    # inner calls have no such segment.  All work for a request is attributed to that attempt.
    attempt_by_request = {
        execution.request: execution.path.rsplit("/", 1)[1]
        for execution in result.executions
        if execution.path.rsplit("/", 1)[1].count("-") == 3
    }
    total = sum(execution.worked_ms for execution in result.executions)
    wasted = sum(
        execution.worked_ms
        for execution in result.executions
        if attempt_by_request.get(execution.request) not in complete
    )
    return _ratio(wasted, total) if total else 0.0


def _least_share_kept(result: CellResult, schedule: IdealSchedule) -> float:
    times = result.cell.times
    first, last = round(times.begin / BIN_SECONDS), round(times.end / BIN_SECONDS)
    offered: dict[StreamKey, float] = defaultdict(float)
    completed: dict[StreamKey, float] = defaultdict(float)
    for record in result.records:
        if times.begin <= record.began < times.end:
            key = StreamKey(record.customer, record.route, record.rank)
            offered[key] += 1
            completed[key] += record.is_complete
    shares = [1.0]
    for key, count in offered.items():
        if schedule.floor_of(key):
            guaranteed = sum(schedule.floor_requests(key, index) for index in range(first, last))
            shares.append(_ratio(completed[key], min(count, guaranteed)))
    return min(shares)
