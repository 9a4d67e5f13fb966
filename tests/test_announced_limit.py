"""Tests of the announced limit in a simulated surge on a server that slows when nearly full."""

import heapq
import random

import pytest

from apricotwalk.admission import AnnouncedLimit

# These figures describe the service with the least capacity in the external platform's mesh in
# Lisbon, where a surge offers 1.5 times the load that the service can process.
SLOTS = 19
WORK_SECONDS = 0.04
SLOWDOWN = 1.3
SLOWS_FROM_SHARE = 0.95
SURGE_SECONDS = 20.0
SURGE_RATE = 1.5 * SLOTS / WORK_SECONDS


def completed_in_surge(limit, seed):
    """Return the number of calls that complete while the offered load exceeds the capacity."""
    generator = random.Random(seed)
    now, waiting, completed = 0.0, 0, 0
    end_times = []
    next_arrival = 0.0
    while now < SURGE_SECONDS:
        if not end_times or next_arrival <= end_times[0]:
            now = next_arrival
            waiting += 1
            next_arrival += generator.expovariate(SURGE_RATE)
        else:
            now = heapq.heappop(end_times)
            completed += 1
        while waiting and len(end_times) < limit:
            waiting -= 1
            is_nearly_full = len(end_times) + 1 >= SLOWS_FROM_SHARE * SLOTS
            slowdown = SLOWDOWN if is_nearly_full else 1.0
            seconds = generator.lognormvariate(0.0, 0.5) * WORK_SECONDS * slowdown
            heapq.heappush(end_times, now + seconds)
    return completed


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_limit_below_the_slowdown_completes_more_work(seed):
    limit = AnnouncedLimit()
    limit.set_slots(SLOTS)
    completed_with_limit = completed_in_surge(limit.value, seed)
    completed_with_all_slots = completed_in_surge(SLOTS, seed)
    assert completed_with_limit >= 1.15 * completed_with_all_slots


@pytest.mark.parametrize(("slots", "expected"), [(1, 1), (2, 1), (8, 7), (19, 18), (152, 144)])
def test_at_most_a_twentieth_of_the_slots_plus_one_is_kept_free(slots, expected):
    limit = AnnouncedLimit()
    limit.set_slots(slots)
    assert limit.value == expected
    assert limit.value >= slots - slots / 20 - 1
