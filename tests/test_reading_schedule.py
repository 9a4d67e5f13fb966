"""Tests of the schedule of store reads, simulated for a whole fleet.

The rate of calls to the store must not grow with the number of nodes.
"""

import heapq
import itertools
import random

import pytest

from apricotwalk.fleet import ReadingSchedule
from apricotwalk.membership import Member, MemberState
from apricotwalk.settings import Address

IDLE_SECONDS = 240.0
LONG_POLLER_COUNT = 5
# The site files of the external platform give rates of 2,000 and 6,000 reads per second, far above
# this bound.
MAX_READS_PER_SECOND = 12.0


def new_members(count):
    address = Address("127.0.0.1", 7)
    return [
        Member(f"n-{number}", "menu", "z", "r", address, 1, MemberState.ALIVE)
        for number in range(count)
    ]


def new_schedules(members, alive=None):
    listed = members if alive is None else alive
    return [
        ReadingSchedule(
            member.instance, lambda: listed, 1.2, 0.15, random.Random(number), LONG_POLLER_COUNT
        )
        for number, member in enumerate(members)
    ]


def simulate_idle_reads(schedules):
    """Return the start time of each read, in seconds, while the store has no changes."""
    numbers = itertools.count()
    queue = [(0.0, next(numbers), schedule) for schedule in schedules]
    heapq.heapify(queue)
    times = []
    while queue[0][0] < IDLE_SECONDS:
        now, _, schedule = heapq.heappop(queue)
        times.append(now)
        read = schedule.next_read(had_records=False, had_updates=False)
        next_read_seconds = now + read.pause_seconds + max(read.wait_seconds, 0.004)
        heapq.heappush(queue, (next_read_seconds, next(numbers), schedule))
    return times


@pytest.mark.parametrize("count", [14, 91, 300])
def test_store_read_rate_does_not_grow_with_the_fleet(count):
    times = simulate_idle_reads(new_schedules(new_members(count)))
    steady_times = [at for at in times if at > IDLE_SECONDS / 2]
    assert len(steady_times) / (IDLE_SECONDS / 2) <= MAX_READS_PER_SECOND


@pytest.mark.parametrize("count", [14, 91, 300])
def test_some_node_polls_soon_even_without_long_pollers(count):
    members = new_members(count)
    schedules = [each for each in new_schedules(members) if not each.is_long_poller()]
    assert len(schedules) == count - LONG_POLLER_COUNT
    times = [at for at in simulate_idle_reads(schedules) if at > IDLE_SECONDS / 2]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    # Operators require a configuration to spread within 2 s; gossip has the remaining 0.5 s.
    assert max(gaps) < 1.5


def test_every_node_of_a_small_fleet_long_polls_and_lost_long_pollers_are_replaced():
    members = new_members(20)
    assert all(each.is_long_poller() for each in new_schedules(members[:5], members[:5]))
    long_pollers = [
        member
        for member, schedule in zip(members, new_schedules(members), strict=True)
        if schedule.is_long_poller()
    ]
    remaining = [member for member in members if member not in long_pollers[:2]]
    assert sum(each.is_long_poller() for each in new_schedules(remaining, remaining)) == 5


def test_node_that_is_not_yet_a_member_does_not_long_poll():
    own = new_members(1)
    assert not new_schedules(own, [])[0].is_long_poller()
    assert new_schedules(own, own)[0].is_long_poller()


@pytest.mark.parametrize("count", [14, 91, 300])
def test_some_node_polls_soon_after_every_copy_has_become_stale(count):
    schedules = new_schedules(new_members(count))
    for schedule in schedules:
        for _ in range(10):
            schedule.next_read(had_records=False, had_updates=False)
    first_delays = [min(each.stale_delay() for each in schedules) for _ in range(100)]
    # Of the 2 s bound on configuration changes, 0.8 s may pass until a copy counts as stale, and
    # gossip takes 0.5 s.
    assert sorted(first_delays)[95] < 0.7


def test_polls_are_frequent_while_the_store_has_updates_missing_from_peers():
    members = new_members(91)
    poller, *_ = (each for each in new_schedules(members) if not each.is_long_poller())
    pauses = [poller.next_read(True, True).pause_seconds for _ in range(20)]
    assert max(pauses) <= 1.0
    pauses = [poller.next_read(False, False).pause_seconds for _ in range(200)]
    assert sum(pauses[10:]) / 190 > 0.8 * 0.15 * 91
