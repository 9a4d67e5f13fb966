"""Plot of the demonstration."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from apricotwalk_lab.load import RequestRecord
from apricotwalk_lab.measure import CellResult

__all__ = ["completed_shares", "plot_shares"]

STEP_SECONDS = 0.25
WINDOW_SECONDS = 1.0
PERCENT = 100.0


def completed_shares(records: list[RequestRecord], arrival_times: list[float]) -> list[float]:
    """Return the percentage of completed requests around each time.

    Parameters
    ----------
    records : list of RequestRecord
        Requests of one run.
    arrival_times : list of float
        Centers of the windows, in seconds from the start of the load.

    Returns
    -------
    list of float
        Percentage of completed requests among those that arrived within 0.5 s of each time; NaN
        where none arrived.
    """
    shares = []
    for arrival_seconds in arrival_times:
        nearby = [r for r in records if abs(r.began - arrival_seconds) <= WINDOW_SECONDS / 2]
        completed = sum(record.is_complete for record in nearby)
        shares.append(PERCENT * completed / len(nearby) if nearby else float("nan"))
    return shares


def plot_shares(
    rows: list[list[CellResult]], labels_by_variant: dict[str, str], path: Path
) -> None:
    """Plot completed requests over time with one row per city and one column per variant.

    Parameters
    ----------
    rows : list of list of CellResult
        Results of each city, in the order of the variants.
    labels_by_variant : dict of str to str
        Labels of the variants.
    path : Path
        File to write, as PNG.
    """
    figure, axes_grid = pyplot.subplots(
        len(rows), len(labels_by_variant), sharex=True, sharey=True, squeeze=False, figsize=(11, 7)
    )
    for axes_row, row in zip(axes_grid, rows, strict=True):
        for axes, result in zip(axes_row, row, strict=True):
            _draw(axes, result, labels_by_variant[result.cell.variant])
    for axes in axes_grid[-1]:
        axes.set_xlabel("time of arrival (s)")
    for axes_row in axes_grid:
        axes_row[0].set_ylabel("requests completed (%)")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)


def _draw(axes: "pyplot.Axes", result: CellResult, label: str) -> None:
    times = result.cell.times
    arrival_times = [index * STEP_SECONDS for index in range(int(times.stop / STEP_SECONDS) + 1)]
    axes.axvspan(times.begin, times.end, color="orange", alpha=0.15, label="surge")
    for rank in sorted({record.rank for record in result.records}):
        records = [record for record in result.records if record.rank == rank]
        shares = completed_shares(records, arrival_times)
        axes.plot(arrival_times, shares, label=f"rank {rank}", linewidth=2.5 if rank == 0 else 1.5)
    axes.set_ylim(-3, 105)
    axes.set_title(f"{result.cell.city.name}, {label}")
    axes.legend(loc="lower right", fontsize="small")
