"""Tests of the request rate that a backend server announces as its limit."""

import asyncio
import random
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotwalk.admission import AnnouncedRate, RankQueueController, WorkItem
from apricotwalk.core import CallFailure, ManualClock, ServerNotice, Verdict
from apricotwalk.forwarding import BackendRegistry, ServerAnnouncement
from apricotwalk.routing import TargetSelector
from apricotwalk.telemetry import DecisionLog
from tests.mesh_fakes import FakePlatform, FakeResponse, FakeStore
from tests.mesh_harness import running_mesh
from tests.test_mesh_decisions import new_heartbeat_call

# The operators allow one and a half times the limit and 5 requests in any 4 s.
WINDOW_SECONDS = 4.0
EXCESS_FACTOR = 1.5
EXCESS_COUNT = 5

STEPS = st.lists(
    st.tuples(
        st.floats(0.001, 2.0),
        st.integers(0, 80),
        st.one_of(st.none(), st.floats(0.0, 60.0)),
    ),
    max_size=60,
)


@given(STEPS)
def test_no_window_exceeds_the_largest_rate_in_force(steps):
    clock = ManualClock(50.0)
    rate = AnnouncedRate(clock)
    announced, starts = None, []
    for pause, arrivals, next_announced in steps:
        clock.advance(pause)
        if next_announced != announced:
            if announced is None:
                starts = []
            announced = next_announced
            rate.set_rate(announced)
            starts.append((clock.monotonic(), 0, announced))
        for _ in range(arrivals):
            if rate.is_available():
                rate.consume()
                starts.append((clock.monotonic(), 1, announced))
        if announced is None:
            continue
        begin = clock.monotonic() - WINDOW_SECONDS
        window = [s for s in starts if s[0] >= begin]
        rates_before = [s[2] for s in starts if s[0] < begin][-1:]
        highest = max(
            r for r in [announced, *rates_before, *(s[2] for s in window)] if r is not None
        )
        assert sum(s[1] for s in window) <= EXCESS_FACTOR * highest * WINDOW_SECONDS + EXCESS_COUNT


def test_rate_near_zero_still_lets_a_request_find_out_that_the_limit_lapsed():
    clock = ManualClock(50.0)
    rate = AnnouncedRate(clock)
    rate.set_rate(0.0)
    assert not rate.is_available()
    clock.advance(WINDOW_SECONDS)
    assert rate.is_available()


def new_item(clock, rank, remaining_seconds=5.0):
    return WorkItem("", f"route-{rank}", rank, clock.monotonic() + remaining_seconds)


async def start_acquiring(controller, work):
    task = asyncio.ensure_future(controller.acquire(work))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return task


def test_work_over_the_rate_is_refused_at_once_and_least_urgent_first(run):
    async def body():
        clock = ManualClock(50.0)
        controller = RankQueueController(clock)
        controller.set_slots(100)
        controller.set_announced_rate(8.0)
        waiting = [await start_acquiring(controller, new_item(clock, 5)) for _ in range(2)]
        with pytest.raises(CallFailure) as refused:
            await controller.acquire(new_item(clock, 6))
        assert (refused.value.verdict, refused.value.cause) == (Verdict.NOT_RUN, "rate-limited")
        urgent = await start_acquiring(controller, new_item(clock, 0))
        displaced = [task for task in waiting if task.done()]
        assert [task.exception().cause for task in displaced] == ["rate-limited"]
        clock.advance(0.125)
        await urgent
        for task in waiting:
            task.cancel()

    run(body())


def test_queue_is_cut_when_the_rate_falls_and_emptied_when_it_lapses(run):
    async def body():
        clock = ManualClock(50.0)
        controller = RankQueueController(clock)
        controller.set_slots(100)
        controller.set_announced_rate(40.0)
        waiting = [await start_acquiring(controller, new_item(clock, 5)) for _ in range(10)]
        controller.set_announced_rate(8.0)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert sum(task.done() for task in waiting) == 8
        controller.set_announced_rate(None)
        await asyncio.gather(*waiting, return_exceptions=True)
        assert controller.in_flight() == 2

    run(body())


@pytest.fixture
def registry():
    platform = FakePlatform(FakeStore(), "menu", "n-1")
    created = BackendRegistry(
        platform.settings, DecisionLog("n-1", "z", ManualClock(), descriptor=-1), ManualClock()
    )
    created.handle_call(new_heartbeat_call(created))
    return created


def test_notice_of_another_node_counts_only_until_the_server_answers(registry):
    registry.apply_notice(ServerNotice("s-2", 100, 5.0))
    registry.apply_notice(ServerNotice("s-1", 99, 5.0))
    assert registry.announced_rate is None
    registry.apply_notice(ServerNotice("s-1", 100, 5.0))
    assert registry.announced_rate == 5.0
    registry.record_answer(registry.current, ServerAnnouncement(None, False))
    registry.apply_notice(ServerNotice("s-1", 100, 5.0))
    assert registry.announced_rate is None


def test_limit_belongs_to_one_start_of_a_server(registry):
    first_start = registry.current
    registry.record_answer(first_start, ServerAnnouncement(5.0, False))
    registry.mark_lost("connection refused")
    registry.handle_call(new_heartbeat_call(registry, sequence=2))
    assert registry.announced_rate == 5.0
    registry.handle_call(new_heartbeat_call(registry, started_ms=200))
    assert registry.announced_rate is None
    registry.record_answer(first_start, ServerAnnouncement(5.0, False))
    assert registry.announced_rate is None


def test_unreadable_limit_leaves_the_last_one_in_force(registry):
    registry.record_answer(registry.current, ServerAnnouncement(5.0, False))
    registry.record_answer(
        registry.current, ServerAnnouncement(None, False, has_readable_rate=False)
    )
    assert registry.announced_rate == 5.0


RATE = 20.0
FLOOD_SECONDS = 1.5


async def flood(mesh, instances, target, until, statuses):
    """Send requests through several nodes until a monotonic time, eight at a time at each."""

    async def send_repeatedly(instance):
        caller = await mesh.caller(instance)
        while time.monotonic() < until:
            statuses.append((await caller.request(target))[0])
        caller.close()

    await asyncio.gather(*(send_repeatedly(name) for name in instances for _ in range(8)))


def allowed_count(seconds):
    return EXCESS_FACTOR * RATE * seconds + EXCESS_COUNT


LIMITED = FakeResponse(fields=[("Limit", str(RATE))], delay=0.01)


def test_server_in_need_gets_no_more_requests_than_the_limit_it_announces(run):
    async def body():
        members = [("m1", "menu-svc"), ("d1", "dispatch-svc"), ("d2", "dispatch-svc")]
        async with running_mesh(*members) as mesh:
            server = mesh.servers["m1"]
            server.respond = lambda request: LIMITED
            for instance in mesh.nodes:
                caller = await mesh.caller(instance)
                assert (await caller.request("/menu/1"))[0] == 200
                caller.close()
            server.requests.clear()
            began, statuses = time.monotonic(), []
            await flood(mesh, list(mesh.nodes), "/menu/1", began + FLOOD_SECONDS, statuses)
            assert len(server.requests) <= allowed_count(time.monotonic() - began)
            assert set(statuses) == {200, 503}
            assert statuses.count(200) == len(server.requests)

    run(body())


def test_failed_and_repeated_requests_count_against_the_limit(run):
    async def body():
        limited_failure = FakeResponse(500, fields=[("Limit", str(RATE))], delay=0.01)
        limited_refusal = FakeResponse(
            503, fields=[("Refused", "1"), ("Limit", str(RATE))], delay=0.01
        )
        members = [("m1", "menu-svc"), ("m2", "menu-svc"), ("d1", "dispatch-svc")]
        async with running_mesh(*members) as mesh:
            mesh.servers["m1"].respond = lambda request: limited_failure
            mesh.servers["m2"].respond = lambda request: limited_refusal
            while any(
                node.registry.announced_rate is None
                for node in [mesh.nodes["m1"], mesh.nodes["m2"]]
            ):
                await flood(mesh, ["d1"], "/menu/1", time.monotonic() + 0.05, [])
            for server in mesh.servers.values():
                server.requests.clear()
            began = time.monotonic()
            await flood(mesh, list(mesh.nodes), "/menu/1", began + FLOOD_SECONDS, [])
            allowed = allowed_count(time.monotonic() - began)
            assert 0 < len(mesh.servers["m1"].requests) <= allowed
            assert len(mesh.servers["m2"].requests) <= allowed

    run(body())


def test_restarted_node_applies_a_limit_that_its_callers_know(run):
    async def body():
        members = [("m1", "menu-svc"), ("d1", "dispatch-svc"), ("d2", "dispatch-svc")]
        async with running_mesh(*members) as mesh:
            server = mesh.servers["m1"]
            server.respond = lambda request: LIMITED
            for instance in ("d1", "d2"):
                caller = await mesh.caller(instance)
                assert (await caller.request("/menu/1"))[0] == 200
                caller.close()
            await mesh.restart("m1")
            # The server answers late, so that its answers cannot tell the new process the limit.
            server.respond = lambda request: FakeResponse(fields=[("Limit", str(RATE))], delay=1.0)
            server.slots = 100
            server.requests.clear()
            began = time.monotonic()
            await flood(mesh, ["d1", "d2"], "/menu/1", began + 0.8, [])
            assert 0 < len(server.requests) <= allowed_count(time.monotonic() - began)

    run(body())


def test_work_over_a_limit_is_run_by_a_server_with_capacity(run):
    async def body():
        members = [("m1", "menu-svc"), ("m2", "menu-svc"), ("d1", "dispatch-svc")]
        async with running_mesh(*members) as mesh:
            mesh.servers["m1"].respond = lambda request: LIMITED
            mesh.servers["m2"].respond = lambda request: FakeResponse(delay=0.01)
            statuses = []
            until = time.monotonic() + FLOOD_SECONDS
            await flood(mesh, list(mesh.nodes), "/menu/1", until, statuses)
            assert set(statuses) == {200}

    run(body())


def test_selector_holds_back_only_work_that_is_no_more_urgent_than_the_refused():
    clock = ManualClock(50.0)
    selector = TargetSelector("a", random.Random(1), clock)
    selector.hold("m1", 2)
    assert [selector.is_held("m1", rank) for rank in (1, 2, 3)] == [False, True, True]
    selector.hold("m1", 0)
    selector.hold("m1", 2)
    assert selector.is_held("m1", 0)
    clock.advance(1.0)
    assert not selector.is_held("m1", 3)
