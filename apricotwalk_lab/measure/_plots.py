"""Plots of goodput over time."""

from collections import defaultdict
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from apricotwalk_lab.measure._cell import CellResult

__all__ = ["plot_goodput"]

PLOT_BIN_SECONDS = 0.25


def plot_goodput(results: list[CellResult], path: Path) -> None:
    """Write a PNG with one panel per result: offered load and goodput of each rank over time."""
    figure, panels = pyplot.subplots(
        len(results), 1, sharex=True, squeeze=False, figsize=(8, 2.6 * len(results))
    )
    for panel, result in zip(panels[:, 0], results, strict=True):
        _draw(panel, result)
    panels[-1, 0].set_xlabel("time of arrival (s)")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)


def _draw(panel: "pyplot.Axes", result: CellResult) -> None:
    times = result.cell.times
    bins = int(times.stop / PLOT_BIN_SECONDS)
    offered = [0.0] * bins
    completed: dict[int, list[float]] = defaultdict(lambda: [0.0] * bins)
    for record in result.records:
        index = min(bins - 1, int(record.began / PLOT_BIN_SECONDS))
        offered[index] += 1 / PLOT_BIN_SECONDS
        completed[record.rank][index] += record.is_complete / PLOT_BIN_SECONDS
    bin_centers = [(index + 0.5) * PLOT_BIN_SECONDS for index in range(bins)]
    panel.plot(bin_centers, offered, color="lightgrey", label="offered")
    for rank in sorted(completed):
        panel.plot(bin_centers, completed[rank], label=f"rank {rank}")
    panel.axvspan(times.begin, times.end, color="orange", alpha=0.15)
    highest = max((max(values) for values in completed.values()), default=1.0)
    panel.set_ylim(0, 1.6 * max(highest, 1.0))
    cell = result.cell
    panel.set_title(f"{cell.city.name}: {cell.scenario.title}, {cell.variant}")
    panel.set_ylabel("requests/s")
    panel.legend(loc="upper right", fontsize="small")
