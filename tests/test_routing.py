"""Tests of selection of members and early shedding, with a manual clock and seeded randomness."""

import random
from collections import Counter

import msgspec
import pytest

from apricotwalk.admission import HIGHEST_LEVEL, LEVELS_PER_RANK, Stream, level_of
from apricotwalk.core import ManualClock, Mechanism, Verdict
from apricotwalk.membership import Member
from apricotwalk.routing import CalleeReport, CalleeThresholds, InFlightLimit, TargetSelector
from apricotwalk.settings import Address
from apricotwalk.wire import AnswerMessage

STREAM = Stream("school", "menu")
ROUTE = "menu"


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def members():
    return [
        Member(f"maps-{n}", "maps", f"zone-{n}", "region", Address("127.0.0.1", 7000 + n), 1)
        for n in range(1, 5)
    ]


@pytest.fixture
def selector(clock):
    return TargetSelector("elsewhere", random.Random(7), clock)


def answer(status=200, cause="", load=0.1, reported_load=0.1):
    verdict = Verdict.NOT_RUN if cause else Verdict.COMPLETED
    return AnswerMessage(
        "call", verdict, status, cause=cause, load=load, reported_load=reported_load
    )


def run_calls(selector, clock, members, respond, count=400):
    """Send and answer `count` calls, and return how often each member was chosen."""
    chosen = Counter()
    for _ in range(count):
        member = selector.choose(members, set())
        chosen[member.instance] += 1
        selector.record_call_sent(member.instance)
        seconds, message = respond(member.instance)
        clock.advance(0.01)
        if message is None:
            selector.record_failure(member.instance, is_unreachable=seconds == 0.0)
        else:
            selector.record_answer(member.instance, ROUTE, message, seconds)
    return chosen


def warm_up(selector, clock, members):
    run_calls(selector, clock, members, lambda _: (0.05, answer()))
    clock.advance(10.0)


def test_load_below_capacity_is_spread_evenly(selector, clock, members):
    warm_up(selector, clock, members)
    chosen = run_calls(selector, clock, members, lambda _: (0.05, answer()))
    assert min(chosen.values()) >= 60


def test_own_zone_is_preferred_while_it_has_capacity(clock, members):
    selector = TargetSelector("zone-1", random.Random(7), clock)
    warm_up(selector, clock, members)
    chosen = run_calls(selector, clock, members, lambda _: (0.05, answer()))
    assert chosen["maps-1"] == 400
    overloaded = run_calls(selector, clock, members, lambda _: (0.05, answer(load=2.0)))
    assert overloaded["maps-1"] < 200


def respond_slowly_with_false_load(instance):
    if instance == "maps-1":
        return 0.25, answer(load=0.4, reported_load=0.0)
    return 0.05, answer(load=0.4, reported_load=0.8)


def test_false_load_report_attracts_no_traffic(selector, clock, members):
    warm_up(selector, clock, members)
    chosen = run_calls(selector, clock, members, respond_slowly_with_false_load)
    assert chosen["maps-1"] < 40


def test_false_load_report_attracts_traffic_without_own_measurements(clock, members):
    selector = TargetSelector("elsewhere", random.Random(7), clock, [Mechanism.OWN_MEASUREMENTS])
    warm_up(selector, clock, members)
    chosen = run_calls(selector, clock, members, respond_slowly_with_false_load)
    assert chosen["maps-1"] > 150


def test_server_that_fails_fast_is_ejected(selector, clock, members):
    warm_up(selector, clock, members)

    def respond(instance):
        return (0.001, answer(500)) if instance == "maps-2" else (0.05, answer())

    assert run_calls(selector, clock, members, respond)["maps-2"] < 30


def test_server_that_fails_fast_attracts_traffic_without_own_measurements(clock, members):
    selector = TargetSelector("elsewhere", random.Random(7), clock, [Mechanism.OWN_MEASUREMENTS])
    warm_up(selector, clock, members)

    def respond(instance):
        if instance == "maps-2":
            return 0.001, answer(500, reported_load=0.0)
        return 0.05, answer(reported_load=0.3)

    assert run_calls(selector, clock, members, respond)["maps-2"] > 150


def test_at_most_half_of_the_members_are_ejected(selector, clock, members):
    warm_up(selector, clock, members)

    run_calls(selector, clock, members, lambda _: (0.0, None), count=20)
    chosen = set()
    for _ in range(50):
        member = selector.choose(members, set())
        selector.record_call_sent(member.instance)
        chosen.add(member.instance)
    assert len(chosen) == 2


def test_killed_zone_is_avoided_at_once_and_ramped_up_after_its_return(selector, clock, members):
    warm_up(selector, clock, members)

    def respond(instance):
        return (0.0, None) if instance == "maps-1" else (0.05, answer())

    assert run_calls(selector, clock, members, respond, count=290)["maps-1"] <= 4
    clock.advance(1.0)
    after_return = run_calls(selector, clock, members, lambda _: (0.05, answer()), count=100)
    assert after_return["maps-1"] < 25
    clock.advance(10.0)
    assert run_calls(selector, clock, members, lambda _: (0.05, answer()))["maps-1"] > 60


def test_frozen_member_is_out_of_use_before_its_calls_time_out(clock, members):
    selector = TargetSelector("zone-1", random.Random(7), clock)
    warm_up(selector, clock, members)
    chosen = Counter()
    for _ in range(300):
        member = selector.choose(members, set())
        chosen[member.instance] += 1
        selector.record_call_sent(member.instance)
        clock.advance(0.01)
        if member.instance != "maps-1":
            selector.record_answer(member.instance, ROUTE, answer(), 0.05)
    assert chosen["maps-1"] <= 31


def test_new_member_is_ramped_up(selector, clock, members):
    warm_up(selector, clock, members[:3])
    chosen = run_calls(selector, clock, members, lambda _: (0.05, answer()), count=100)
    assert chosen["maps-4"] < 20


def test_new_member_gets_its_full_share_without_slow_start(clock, members):
    selector = TargetSelector("elsewhere", random.Random(7), clock, [Mechanism.SLOW_START])
    warm_up(selector, clock, members[:3])
    chosen = run_calls(selector, clock, members, lambda _: (0.05, answer()), count=100)
    assert chosen["maps-4"] >= 20


def test_restarted_member_is_ramped_up_again(selector, clock, members):
    warm_up(selector, clock, members)
    restarted = [*members[:3], msgspec.structs.replace(members[3], incarnation=2)]
    chosen = run_calls(selector, clock, restarted, lambda _: (0.05, answer()), count=100)
    assert chosen["maps-4"] < 20
    clock.advance(10.0)
    chosen = run_calls(selector, clock, restarted, lambda _: (0.05, answer()), count=100)
    assert chosen["maps-4"] >= 20


def test_excluded_members_are_not_chosen(selector, members):
    assert selector.choose(members, {m.instance for m in members}) is None
    assert selector.choose(members, {"maps-1", "maps-2", "maps-3"}) is members[3]


def test_thresholds_without_reports_admit_everything():
    assert CalleeThresholds().admits(ROUTE, STREAM, HIGHEST_LEVEL, 0.0)


def test_route_to_an_overloaded_deep_service_is_shed_at_the_entry():
    thresholds = CalleeThresholds()
    for _ in range(10):
        report = CalleeReport({"menu": HIGHEST_LEVEL, "dietary": 2 * LEVELS_PER_RANK})
        thresholds.update(ROUTE, STREAM, report, 0.0)
        thresholds.update("ledger", STREAM, CalleeReport({"ledger": HIGHEST_LEVEL}), 0.0)
    assert thresholds.admits(ROUTE, STREAM, LEVELS_PER_RANK, 0.0)
    assert not thresholds.admits(ROUTE, STREAM, 3 * LEVELS_PER_RANK, 0.0)
    assert thresholds.admits("ledger", STREAM, 3 * LEVELS_PER_RANK, 0.0)


def test_node_of_the_first_server_applies_the_levels_of_its_callees():
    thresholds = CalleeThresholds()
    report = CalleeReport({"dietary": 2 * LEVELS_PER_RANK})
    for _ in range(5):
        thresholds.update("allergy", STREAM, report, 0.0)
    assert thresholds.admits(ROUTE, STREAM, 3 * LEVELS_PER_RANK, 0.0)
    thresholds.add_callees(ROUTE, report.levels)
    assert thresholds.admitted_levels(ROUTE, 0.0) == report.levels
    assert not thresholds.admits(ROUTE, STREAM, 3 * LEVELS_PER_RANK, 0.0)
    assert thresholds.admits(ROUTE, STREAM, LEVELS_PER_RANK, 0.0)


def test_floor_admits_its_share_of_a_shed_stream():
    thresholds = CalleeThresholds()
    for _ in range(10):
        report = CalleeReport({"dietary": LEVELS_PER_RANK}, {"dietary": 0.25})
        thresholds.update(ROUTE, STREAM, report, 0.0)
    decisions = [
        thresholds.admits(ROUTE, STREAM, level_of(3, f"request-{n}"), 0.0) for n in range(1000)
    ]
    assert sum(decisions) == pytest.approx(250, abs=60)
    other = Stream("other", "menu")
    assert not thresholds.admits(ROUTE, other, level_of(3, "request"), 0.0)


def test_number_of_stored_floor_shares_is_bounded(monkeypatch):
    monkeypatch.setattr("apricotwalk.routing._thresholds.MAX_SHARE_COUNT", 10)
    thresholds = CalleeThresholds()
    for number in range(50):
        report = CalleeReport({"dietary": LEVELS_PER_RANK}, {"dietary": 1.0})
        thresholds.update(ROUTE, Stream(f"school-{number}", "menu"), report, 0.0)
    level = 3 * LEVELS_PER_RANK
    assert thresholds.admits(ROUTE, Stream("school-49", "menu"), level, 0.0)
    assert not thresholds.admits(ROUTE, Stream("school-0", "menu"), level, 0.0)


def test_threshold_follows_recovery_and_is_relaxed_without_answers():
    thresholds = CalleeThresholds()
    menu = 3 * LEVELS_PER_RANK + 32
    for _ in range(10):
        thresholds.update(ROUTE, STREAM, CalleeReport({"dietary": LEVELS_PER_RANK}), 0.0)
    assert not thresholds.admits(ROUTE, STREAM, menu, 0.2)
    assert thresholds.admits(ROUTE, STREAM, menu, 2.0)
    for _ in range(10):
        thresholds.update(ROUTE, STREAM, CalleeReport({"dietary": HIGHEST_LEVEL}), 0.3)
    assert thresholds.admits(ROUTE, STREAM, menu, 0.3)


def test_admission_at_the_entry_holds_for_the_whole_chain():
    thresholds = CalleeThresholds()
    levels = {"menu": 3 * LEVELS_PER_RANK + 40, "dietary": 3 * LEVELS_PER_RANK + 20}
    for _ in range(20):
        thresholds.update(ROUTE, STREAM, CalleeReport(levels), 0.0)
    for number in range(300):
        level = level_of(3, f"request-{number}")
        if thresholds.admits(ROUTE, STREAM, level, 0.0):
            assert all(level <= admitted + 1 for admitted in levels.values())


def begin_calls_until_refused(limit, now, remaining=1.5):
    count = 0
    while count < 1000 and limit.admits(ROUTE, remaining, now):
        limit.begin(ROUTE, now)
        count += 1
    return count


def test_surge_without_answers_is_bounded_at_the_first_server():
    limit = InFlightLimit()
    assert begin_calls_until_refused(limit, 0.0) == 8
    assert not limit.admits(ROUTE, 1.5, 10.0)
    limit.end(ROUTE, False, 10.0)
    assert begin_calls_until_refused(limit, 10.0) == 1


def test_in_flight_limit_follows_the_completion_rate():
    limit = InFlightLimit()
    for number in range(300):
        limit.begin(ROUTE, number / 50)
        limit.end(ROUTE, True, number / 50)
    assert begin_calls_until_refused(limit, 6.0) == pytest.approx(0.75 * 1.5 * 50, abs=2)
    assert not limit.admits(ROUTE, 0.5, 6.0)
    assert not limit.admits(ROUTE, 1.5, 7.0)


def test_route_within_its_in_flight_limit_is_admitted():
    limit = InFlightLimit()
    generator = random.Random(5)
    ends = []
    now = 0.0
    for _ in range(1000):
        now += generator.expovariate(7.0)
        while ends and ends[0] <= now:
            limit.end(ROUTE, True, ends.pop(0))
        assert limit.admits(ROUTE, 1.5, now)
        limit.begin(ROUTE, now)
        ends.append(now + 0.2)


class CountedMembers(list):
    """Members of a service whose availability checks are counted."""

    def __init__(self, count):
        address = Address("127.0.0.1", 1)
        super().__init__(
            Member(f"m{number}", "s", f"zone-{number % 5}", "r", address, 1)
            for number in range(count)
        )
        self.checked = 0

    def is_available(self, member):
        self.checked += 1
        return True


@pytest.mark.parametrize("count", [10, 68, 300])
def test_choice_examines_few_members_of_a_large_service(count):
    """Examining each of hundreds of members for each request exhausts the processor in a burst."""
    clock = ManualClock()
    selector = TargetSelector("zone-1", random.Random(1), clock)
    members = CountedMembers(count)
    for member in members:
        selector.choose([member], ())
    clock.advance(60.0)
    members.checked = 0
    for _ in range(100):
        selector.choose(members, (), members.is_available)
    assert members.checked <= 100 * 2


def test_choice_spreads_evenly_over_the_members_of_the_local_zone():
    clock = ManualClock()
    selector = TargetSelector("zone-1", random.Random(1), clock)
    members = CountedMembers(50)
    for member in members:
        selector.choose([member], ())
    clock.advance(60.0)
    chosen = Counter(selector.choose(members, ()).instance for _ in range(2000))
    assert len(chosen) == 10
    assert max(chosen.values()) < 2 * min(chosen.values())


def test_unavailable_members_are_passed_over_however_many_they_are():
    selector = TargetSelector("zone-1", random.Random(1), ManualClock())
    members = CountedMembers(50)
    for _ in range(20):
        chosen = selector.choose(members, {"m3"}, lambda member: member.instance in ("m3", "m4"))
        assert chosen.instance == "m4"
    assert selector.choose(members, (), lambda member: False) is None


def test_most_members_can_be_ejected_only_by_half():
    clock = ManualClock()
    selector = TargetSelector("zone-9", random.Random(1), clock)
    members = CountedMembers(8)
    for member in members[:7]:
        selector.record_call_sent(member.instance)
        selector.record_failure(member.instance, is_unreachable=True)
    clock.advance(0.1)
    chosen = {selector.choose(members, ()).instance for _ in range(300)}
    assert len(chosen) == 4
    assert "m7" in chosen
