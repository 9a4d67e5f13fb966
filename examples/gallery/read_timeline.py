"""Merge the events of two instances whose clocks differ by a second into causal order.

Run it with ``python examples/gallery/read_timeline.py``.
"""

from apricotwalk.core import ManualClock
from apricotwalk.telemetry import EventReport, HybridClock, format_timeline, merge_events


def main() -> None:
    """Print the merged timeline of one call."""
    menu, diet = HybridClock(ManualClock(100.0)), HybridClock(ManualClock(99.0))
    sent = EventReport(menu.now(), "menu-1", "zone-a", "call-sent", "r1", {"target": "diet-1"})
    diet.observe(sent.stamp)
    started = EventReport(diet.now(), "diet-1", "zone-b", "call-started", "r1", {"rank": 0})
    print("\n".join(format_timeline(merge_events([started, sent]))))


if __name__ == "__main__":
    main()
