"""Tests of the table and the plotted shares of the demonstration."""

from apricotwalk_lab.demo import completed_shares, format_table, rank_rows
from apricotwalk_lab.load import RequestRecord


def record(rank: int, status: int, milliseconds: float, tries: int = 1) -> RequestRecord:
    return RequestRecord(
        "1", "school", "menu", rank, 1.0, 1.0 + milliseconds / 1000, status, "", tries
    )


def test_rows_count_by_rank():
    records = [record(0, 200, 10), record(0, 200, 30), record(2, 503, 1, 3), record(2, 504, 1)]
    urgent, menu = rank_rows("with", records)
    assert (urgent.offered, urgent.completed, urgent.shed, urgent.late) == (2, 2, 0, 0)
    assert 29 < urgent.p99_ms < 31
    assert (menu.completed, menu.shed, menu.late, menu.retries) == (0, 1, 1, 2)


def test_table_groups_the_variants_by_rank():
    rows = rank_rows("a", [record(0, 200, 1), record(1, 200, 1)])
    rows += rank_rows("b", [record(0, 200, 1), record(1, 503, 1)])
    lines = format_table(rows).splitlines()
    assert [line.split()[:2] for line in lines[1:]] == [
        ["0", "a"],
        ["0", "b"],
        ["1", "a"],
        ["1", "b"],
    ]
    assert "100.0%" in lines[1]


def test_completed_shares_cover_requests_near_each_moment():
    records = [record(0, 200, 1), record(0, 503, 1)]
    share_without_requests, share = completed_shares(records, [0.0, 1.2])
    # Only NaN differs from itself.
    assert share_without_requests != share_without_requests
    assert share == 50.0
