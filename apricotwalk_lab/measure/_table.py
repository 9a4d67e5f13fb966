"""Markdown table of figures, as medians over the seeds."""

import statistics
from collections import defaultdict
from pathlib import Path

import msgspec

from apricotwalk_lab.measure._figures import Figures

__all__ = ["read_figures", "to_markdown"]

HEADINGS = (
    "city",
    "scenario",
    "variant",
    "runs",
    "goodput",
    "urgent goodput",
    "recovery s",
    "wasted work",
    "least floor kept",
    "executions a request",
    "p99 ms rank 0",
    "idle share",
)


def read_figures(paths: list[Path]) -> list[Figures]:
    """Read the figures from files of JSON lines, as the measurement prints them.

    Raises
    ------
    msgspec.ValidationError
        If a line is not a JSON object of `Figures`.
    """
    decoder = msgspec.json.Decoder(Figures)
    lines = [line for path in paths for line in path.read_bytes().splitlines() if line]
    return [decoder.decode(line) for line in lines]


def to_markdown(figures: list[Figures]) -> str:
    """Format figures as a table with one row for each city, scenario and variant.

    Notes
    -----
    Starved runs are left out.  A row that has only starved runs shows their medians and is
    marked ``(starved)``.
    """
    rows: dict[tuple[str, str, str], list[Figures]] = defaultdict(list)
    for each in figures:
        rows[each.city, each.scenario, each.variant].append(each)
    lines = ["| " + " | ".join(HEADINGS) + " |", "|" + "---|" * len(HEADINGS)]
    for key, group in rows.items():
        valid = [each for each in group if not each.is_starved]
        cells = _cells(valid or group)
        if not valid:
            cells[-1] += " (starved)"
        lines.append("| " + " | ".join([*key, *cells]) + " |")
    return "\n".join(lines) + "\n"


def _cells(group: list[Figures]) -> list[str]:
    urgent_p99 = [each.p99_ms_by_rank.get(0, 0.0) for each in group]
    return [
        str(len(group)),
        f"{statistics.median(each.goodput for each in group):.3f}",
        f"{statistics.median(each.urgent_goodput for each in group):.3f}",
        _recovery(group),
        f"{statistics.median(each.wasted_work for each in group):.3f}",
        f"{statistics.median(each.least_share_kept for each in group):.2f}",
        f"{statistics.median(each.executions_per_request for each in group):.2f}",
        f"{statistics.median(urgent_p99):.0f}",
        f"{min(each.idle_share for each in group):.2f}",
    ]


def _recovery(group: list[Figures]) -> str:
    seconds = [each.recovery_seconds for each in group if each.recovery_seconds is not None]
    if len(seconds) < len(group):
        return f"never in {len(group) - len(seconds)} of {len(group)}"
    return f"{statistics.median(seconds):.1f}"
