"""Replays a fleet of readers in simulated time: calls to the store must not grow with it."""

import heapq
import itertools
import random

import pytest

from apricotwalk.fleet import ReadingSchedule
from apricotwalk.membership import Member, MemberState
from apricotwalk.settings import Address

CALM_SECONDS = 240.0
# Far below the rates of the site files, 2,000 and 6,000 reads a second.
LARGEST_RATE = 12.0


def members_of(count):
    address = Address("127.0.0.1", 7)
    return [
        Member(f"n-{number}", "menu", "z", "r", address, 1, MemberState.ALIVE)
        for number in range(count)
    ]


def schedules_of(members, alive=None):
    present = members if alive is None else alive
    return [
        ReadingSchedule(member.instance, lambda: present, 1.2, 0.15, random.Random(number))
        for number, member in enumerate(members)
    ]


def reads_in_calm(schedules):
    """Return when each read begins while nothing changes."""
    numbers = itertools.count()
    due = [(0.0, next(numbers), schedule) for schedule in schedules]
    heapq.heapify(due)
    times = []
    while due[0][0] < CALM_SECONDS:
        now, _, schedule = heapq.heappop(due)
        times.append(now)
        read = schedule.next_read(had_records=False, had_updates=False)
        ends = now + read.pause_seconds + max(read.wait_seconds, 0.004)
        heapq.heappush(due, (ends, next(numbers), schedule))
    return times


@pytest.mark.parametrize("count", [14, 91, 300])
def test_store_read_rate_does_not_grow_with_the_fleet(count):
    times = reads_in_calm(schedules_of(members_of(count)))
    settled = [at for at in times if at > CALM_SECONDS / 2]
    assert len(settled) / (CALM_SECONDS / 2) <= LARGEST_RATE


@pytest.mark.parametrize("count", [14, 91, 300])
def test_some_node_polls_soon_even_without_long_pollers(count):
    members = members_of(count)
    schedules = [each for each in schedules_of(members) if not each.is_long_poller()]
    assert len(schedules) == count - 5
    times = [at for at in reads_in_calm(schedules) if at > CALM_SECONDS / 2]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    # The operators' bound for a configuration is 2 s; the rest is for its way between peers.
    assert max(gaps) < 1.5


def test_every_node_of_a_small_fleet_long_polls_and_lost_long_pollers_are_replaced():
    members = members_of(20)
    assert all(each.is_long_poller() for each in schedules_of(members[:5], members[:5]))
    readers = [
        member
        for member, schedule in zip(members, schedules_of(members), strict=True)
        if schedule.is_long_poller()
    ]
    others = [member for member in members if member not in readers[:2]]
    assert sum(each.is_long_poller() for each in schedules_of(others, others)) == 5


def test_polls_are_frequent_while_the_store_has_updates_missing_from_peers():
    members = members_of(91)
    poller, *_ = (each for each in schedules_of(members) if not each.is_long_poller())
    pauses = [poller.next_read(True, True).pause_seconds for _ in range(20)]
    assert max(pauses) <= 1.0
    pauses = [poller.next_read(False, False).pause_seconds for _ in range(200)]
    assert sum(pauses[10:]) / 190 > 0.8 * 0.15 * 91
