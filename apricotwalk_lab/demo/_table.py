"""Table of the demonstration."""

from dataclasses import dataclass

from apricotwalk_lab.load import RequestRecord

__all__ = ["RankRow", "format_table", "rank_rows"]

SHED_STATUS = 503
MILLISECONDS_PER_SECOND = 1000
HEADER = (
    f"{'rank':>4} {'variant':<12} {'offered':>8} {'goodput':>8} {'p50 ms':>8} {'p99 ms':>8} "
    f"{'shed':>6} {'late':>6} {'retries':>8}"
)


@dataclass(frozen=True, slots=True)
class RankRow:
    """Outcomes of the requests of one rank.

    Parameters
    ----------
    rank : int
        Rank of the requests; 0 is the most urgent.
    variant : str
        Label of the variant, with or without control.
    offered, completed : int
        Number of requests, and of those with a complete response before the timeout.
    p50_ms, p99_ms : float
        Percentiles of the latency of completed requests, in milliseconds; NaN if there are none.
    shed, late : int
        Number of requests rejected with status 503, and of those that failed in another way.
    retries : int
        Number of attempts after the first, over all requests.
    """

    rank: int
    variant: str
    offered: int
    completed: int
    p50_ms: float
    p99_ms: float
    shed: int
    late: int
    retries: int


def rank_rows(variant: str, records: list[RequestRecord]) -> list[RankRow]:
    """Return one row per rank, the most urgent first.

    Parameters
    ----------
    variant : str
        Label of the variant.
    records : list of RequestRecord
        Requests of one run of that variant.

    Returns
    -------
    list of RankRow
        Rows in ascending order of rank.
    """
    ranks = sorted({record.rank for record in records})
    return [_rank_row(variant, rank, [r for r in records if r.rank == rank]) for rank in ranks]


def format_table(rows: list[RankRow]) -> str:
    """Return the rows as a text table, sorted by rank with the variants of each rank adjacent."""
    ordered = sorted(rows, key=lambda row: row.rank)
    return "\n".join([HEADER, *map(_format_row, ordered)])


def _rank_row(variant: str, rank: int, records: list[RequestRecord]) -> RankRow:
    latencies = sorted(r.ended - r.began for r in records if r.is_complete)
    shed = sum(record.status == SHED_STATUS for record in records)
    return RankRow(
        rank=rank,
        variant=variant,
        offered=len(records),
        completed=len(latencies),
        p50_ms=_percentile_ms(latencies, 0.5),
        p99_ms=_percentile_ms(latencies, 0.99),
        shed=shed,
        late=len(records) - len(latencies) - shed,
        retries=sum(record.tries - 1 for record in records),
    )


def _percentile_ms(ordered: list[float], share: float) -> float:
    if not ordered:
        return float("nan")
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[index] * MILLISECONDS_PER_SECOND


def _format_row(row: RankRow) -> str:
    goodput = row.completed / max(1, row.offered)
    return (
        f"{row.rank:>4} {row.variant:<12} {row.offered:>8} {goodput:>8.1%} {row.p50_ms:>8.0f} "
        f"{row.p99_ms:>8.0f} {row.shed:>6} {row.late:>6} {row.retries:>8}"
    )
