"""Demonstration of both cities before, during and after a surge, with and without control."""

from apricotwalk_lab.demo._plot import completed_shares, plot_shares
from apricotwalk_lab.demo._table import RankRow, format_table, rank_rows

__all__ = ["RankRow", "completed_shares", "format_table", "plot_shares", "rank_rows"]
