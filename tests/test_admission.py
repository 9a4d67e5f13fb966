"""Tests of admission by rank, deadline and floor, with a manual clock."""

import asyncio
import contextlib

import pytest

from apricotwalk.admission import (
    HIGHEST_LEVEL,
    LEVELS_PER_RANK,
    ArrivalOrderController,
    ConcurrencyLimit,
    DemandByLevel,
    Outcome,
    RankQueueController,
    ReservedCapacity,
    Stream,
    UnlimitedController,
    WorkItem,
    create_admission_controller,
    level_of,
)
from apricotwalk.core import CallFailure, ManualClock, Mechanism, Verdict

SERVICE_SECONDS = 0.1
SLOTS = 2


@pytest.fixture
def clock():
    return ManualClock(100.0)


@pytest.fixture
def controller(clock):
    created = RankQueueController(clock)
    created.set_slots(SLOTS)
    return created


def item(
    rank, clock, remaining_seconds=10.0, route="route", floor=0.0, request="", customer="school"
):
    return WorkItem(
        customer=customer,
        route=route,
        rank=rank,
        deadline=clock.monotonic() + remaining_seconds,
        floor=floor,
        request_id=request or f"{rank}-{route}-{clock.monotonic():.3f}",
        entry_route=route,
    )


async def start_acquiring(controller, work):
    task = asyncio.ensure_future(controller.acquire(work))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return task


async def record_service_times(controller, clock, route, seconds=SERVICE_SECONDS, count=30):
    """Run calls one after another so that the controller measures the route's service time."""
    for _ in range(count):
        permit = await controller.acquire(item(0, clock, route=route))
        clock.advance(seconds)
        permit.release(Outcome.SUCCEEDED)


class Simulation:
    """A backend server with a fixed number of slots, simulated in steps of one millisecond."""

    def __init__(self, controller, clock, service_seconds=SERVICE_SECONDS):
        self.controller = controller
        self.clock = clock
        self.service_seconds = service_seconds
        self.true_slots = None
        self.waiting = []
        self.running = []
        self.completed = {}
        self.offered = {}
        self.resends_left = 0

    async def run(self, seconds, arrivals):
        """Offer `arrivals`, pairs of requests per second and a function that returns an item."""
        due = [self.clock.monotonic() + 1 / rate for rate, _ in arrivals]
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            now = self.clock.monotonic()
            for index, (rate, make) in enumerate(arrivals):
                while due[index] <= now:
                    due[index] += 1 / rate
                    work = make()
                    self.offered[work.route] = self.offered.get(work.route, 0) + 1
                    task = asyncio.ensure_future(self.controller.acquire(work))
                    self.waiting.append((work, task))
            await asyncio.sleep(0)
            self._collect_started()
            self._end_running()
            await asyncio.sleep(0)
            self.clock.advance(0.001)

    def _collect_started(self):
        for work, task in [pair for pair in self.waiting if pair[1].done()]:
            self.waiting.remove((work, task))
            if task.exception() is None:
                end = self.clock.monotonic() + self.service_seconds * self._slowdown()
                self.running.append((end, work, task.result()))
            elif self.resends_left:
                self.resends_left -= 1
                resend = item(work.rank, self.clock, 0.6, work.route, work.floor)
                self.waiting.append(
                    (resend, asyncio.ensure_future(self.controller.acquire(resend)))
                )

    def _slowdown(self):
        """Return the factor on service times when more calls run than the server has slots."""
        return max(1.0, (len(self.running) + 1) / self.true_slots) if self.true_slots else 1.0

    def _end_running(self):
        now = self.clock.monotonic()
        for entry in [entry for entry in self.running if entry[0] <= now]:
            self.running.remove(entry)
            entry[2].release(Outcome.SUCCEEDED)
            if now <= entry[1].deadline:
                route = entry[1].route
                self.completed[route] = self.completed.get(route, 0) + 1

    def share(self, route):
        return self.completed.get(route, 0) / self.offered[route]

    async def close(self):
        for _, task in self.waiting:
            task.cancel()
        await asyncio.gather(*(task for _, task in self.waiting), return_exceptions=True)


def source(clock, rank, route, floor=0.0, remaining_seconds=0.6):
    return lambda: item(rank, clock, remaining_seconds, route, floor)


def test_load_below_capacity_is_not_shed(run, clock, controller):
    async def body():
        simulation = Simulation(controller, clock)
        await simulation.run(4.0, [(5, source(clock, 0, "urgent")), (5, source(clock, 3, "menu"))])
        assert simulation.offered["urgent"] - simulation.completed["urgent"] <= 1
        assert simulation.offered["menu"] - simulation.completed["menu"] <= 1
        assert controller.admitted_level() == HIGHEST_LEVEL

    run(body())


@pytest.mark.parametrize("factor", [1.5, 3, 10])
def test_surge_sheds_the_least_urgent_work_first(run, clock, controller, factor):
    async def body():
        simulation = Simulation(controller, clock)
        urgent, menu = 1.8 * factor, 12 * factor
        await simulation.run(
            5.0, [(urgent, source(clock, 0, "urgent")), (menu, source(clock, 3, "menu"))]
        )
        assert simulation.offered["urgent"] - simulation.completed["urgent"] <= 2
        capacity = SLOTS / SERVICE_SECONDS * 5.0
        total = sum(simulation.completed.values())
        assert total >= 0.9 * min(capacity, sum(simulation.offered.values()))
        await simulation.close()

    run(body())


def test_level_falls_under_a_surge_and_rises_within_two_seconds(run, clock, controller):
    async def body():
        simulation = Simulation(controller, clock)
        surge = [(5, source(clock, 0, "urgent")), (100, source(clock, 3, "menu"))]
        await simulation.run(2.0, surge)
        level = controller.admitted_level()
        assert LEVELS_PER_RANK <= level < 4 * LEVELS_PER_RANK
        await simulation.run(2.0, [(5, source(clock, 0, "urgent"))])
        assert controller.admitted_level() == HIGHEST_LEVEL
        await simulation.close()

    run(body())


def test_flood_of_least_urgent_work_does_not_displace_urgent_work(run, clock, controller):
    async def body():
        simulation = Simulation(controller, clock)
        await simulation.run(
            5.0, [(6, source(clock, 0, "urgent")), (240, source(clock, 3, "menu", floor=0.05))]
        )
        assert simulation.offered["urgent"] - simulation.completed["urgent"] <= 1
        assert sum(simulation.completed.values()) >= 0.9 * SLOTS / SERVICE_SECONDS * 5.0
        await simulation.close()

    run(body())


def test_immediate_retries_do_not_displace_urgent_work(run, clock, controller):
    async def body():
        simulation = Simulation(controller, clock)
        simulation.resends_left = 2000
        load = [(6, source(clock, 0, "urgent")), (40, source(clock, 3, "menu"))]
        await simulation.run(4.0, load)
        assert simulation.resends_left < 2000
        assert simulation.offered["urgent"] - simulation.completed["urgent"] <= 1
        assert sum(simulation.completed.values()) >= 0.9 * SLOTS / SERVICE_SECONDS * 4.0
        await simulation.close()

    run(body())


def test_slow_server_lowers_the_level_but_serves_urgent_work(run, clock, controller):
    async def body():
        simulation = Simulation(controller, clock)
        load = [
            (3, source(clock, 0, "urgent", remaining_seconds=2)),
            (7, source(clock, 3, "menu", remaining_seconds=2)),
        ]
        await simulation.run(3.0, load)
        simulation.service_seconds = 5 * SERVICE_SECONDS
        simulation.completed, simulation.offered = {}, {}
        await simulation.run(6.0, load)
        assert controller.admitted_level() < 4 * LEVELS_PER_RANK
        assert simulation.share("urgent") > 0.75
        assert simulation.share("menu") < 0.3
        await simulation.close()

    run(body())


def test_flood_of_most_urgent_work_leaves_the_floor_its_share(run, clock, controller):
    async def body():
        simulation = Simulation(controller, clock)
        flood = [(100, source(clock, 0, "urgent")), (8, source(clock, 3, "menu", floor=0.2))]
        await simulation.run(5.0, flood)
        reserved = 0.2 * SLOTS / SERVICE_SECONDS * 5.0
        assert simulation.completed["menu"] >= 0.9 * reserved
        assert simulation.completed["urgent"] >= 0.7 * SLOTS / SERVICE_SECONDS * 5.0
        await simulation.close()

    run(body())


def test_flood_starves_less_urgent_work_without_fair_shares(run, clock):
    async def body():
        controller = RankQueueController(clock, [Mechanism.FAIR_SHARES])
        controller.set_slots(SLOTS)
        simulation = Simulation(controller, clock)
        flood = [(100, source(clock, 0, "urgent")), (8, source(clock, 3, "menu", floor=0.2))]
        await simulation.run(5.0, flood)
        assert simulation.completed.get("menu", 0) <= 4
        await simulation.close()

    run(body())


def test_unused_floor_is_available_to_others_and_reclaimed_at_once(run, clock, controller):
    async def body():
        simulation = Simulation(controller, clock)
        urgent = (100, source(clock, 0, "urgent"))
        await simulation.run(3.0, [urgent])
        assert simulation.completed["urgent"] >= 0.9 * SLOTS / SERVICE_SECONDS * 3.0
        await simulation.run(1.0, [urgent, (8, source(clock, 3, "menu", floor=0.2))])
        assert simulation.completed["menu"] >= 3
        await simulation.close()

    run(body())


def test_remaining_server_serves_urgent_work_after_a_zone_is_lost(run, clock):
    """Two of three servers are lost, and the third gets three times its load until they return."""

    async def body():
        controller = RankQueueController(clock)
        controller.set_slots(SLOTS)
        simulation = Simulation(controller, clock)
        load = [(3, source(clock, 0, "urgent")), (9, source(clock, 3, "menu", floor=0.1))]
        await simulation.run(3.0, load)
        simulation.completed, simulation.offered = {}, {}
        await simulation.run(3.0, [(3 * rate, make) for rate, make in load])
        assert simulation.offered["urgent"] - simulation.completed["urgent"] <= 2
        assert simulation.completed["menu"] >= 0.9 * 0.1 * SLOTS / SERVICE_SECONDS * 3.0
        await simulation.run(1.0, load)
        simulation.completed, simulation.offered = {}, {}
        await simulation.run(3.0, load)
        assert sum(simulation.offered.values()) - sum(simulation.completed.values()) <= 3
        await simulation.close()

    run(body())


def test_server_that_announces_too_many_slots_still_serves_urgent_work(run, clock):
    async def body():
        controller = RankQueueController(clock)
        controller.set_slots(16 * SLOTS)
        simulation = Simulation(controller, clock)
        simulation.true_slots = 2 * SLOTS
        normal_load = [(6, source(clock, 0, "urgent")), (6, source(clock, 3, "menu"))]
        surge = [normal_load[0], (100, normal_load[1][1])]
        await simulation.run(3.0, normal_load)
        await simulation.run(12.0, surge)
        simulation.completed, simulation.offered = {}, {}
        await simulation.run(6.0, surge)
        assert simulation.offered["urgent"] - simulation.completed["urgent"] <= 2
        capacity = simulation.true_slots / SERVICE_SECONDS * 6.0
        assert sum(simulation.completed.values()) >= 0.8 * capacity
        await simulation.close()

    run(body())


def test_queue_is_ordered_by_rank_then_deadline(run, clock, controller):
    async def body():
        running = [await controller.acquire(item(3, clock)) for _ in range(SLOTS)]
        order = []
        works = {"late": (0, 5.0), "soon": (0, 1.0), "menu": (3, 0.5)}
        tasks = {}
        for name in ("menu", "late", "soon"):
            tasks[name] = await start_acquiring(
                controller, item(*works[name][:1], clock, works[name][1])
            )
            tasks[name].add_done_callback(lambda _, name=name: order.append(name))
        for permit in running:
            permit.release(Outcome.SUCCEEDED)
        await asyncio.sleep(0.01)
        assert order == ["soon", "late"]
        tasks["menu"].cancel()

    run(body())


def test_work_that_cannot_meet_its_deadline_does_not_run(run, clock, controller):
    async def body():
        await record_service_times(controller, clock, "route")
        with pytest.raises(CallFailure) as raised:
            await controller.acquire(item(0, clock, remaining_seconds=SERVICE_SECONDS / 2))
        assert raised.value.verdict is Verdict.NOT_RUN
        assert raised.value.cause == "deadline-passed"

    run(body())


def test_work_that_often_meets_its_deadline_runs(run, clock, controller):
    async def body():
        for number in range(30):
            permit = await controller.acquire(item(0, clock))
            clock.advance(0.08 + 0.12 * (number % 4) / 3)
            permit.release(Outcome.SUCCEEDED)
        permit = await controller.acquire(item(0, clock, remaining_seconds=0.195))
        permit.release(Outcome.CANCELLED)

    run(body())


def test_one_slow_answer_does_not_make_near_deadlines_infeasible(run, clock, controller):
    async def body():
        await record_service_times(controller, clock, "route", seconds=0.18, count=1)
        permit = await controller.acquire(item(0, clock, remaining_seconds=0.195))
        permit.release(Outcome.CANCELLED)

    run(body())


def test_infeasible_work_is_only_probed_while_nothing_completes(run, clock, controller):
    async def body():
        await record_service_times(controller, clock, "route")
        clock.advance(3.0)
        begun = 0
        for _ in range(100):
            clock.advance(0.01)
            with contextlib.suppress(CallFailure):
                permit = await controller.acquire(item(0, clock, remaining_seconds=0.08))
                permit.release(Outcome.TIMED_OUT)
                begun += 1
        assert 3 <= begun <= 4

    run(body())


def test_infeasible_work_leaves_the_queue_when_a_slot_is_released(run, clock, controller):
    async def body():
        await record_service_times(controller, clock, "route")
        running = [await controller.acquire(item(0, clock)) for _ in range(SLOTS)]
        stale = [
            await start_acquiring(controller, item(0, clock, remaining_seconds=0.3))
            for _ in range(5)
        ]
        fresh = await start_acquiring(controller, item(3, clock, remaining_seconds=9.0))
        clock.advance(0.25)
        running[0].release(Outcome.SUCCEEDED)
        await asyncio.sleep(0.01)
        assert all(isinstance(task.exception(), CallFailure) for task in stale)
        assert fresh.done() and fresh.exception() is None

    run(body())


def test_cancelled_work_leaves_the_queue_and_second_release_is_ignored(run, clock, controller):
    async def body():
        running = [await controller.acquire(item(0, clock)) for _ in range(SLOTS)]
        waiting = await start_acquiring(controller, item(0, clock))
        waiting.cancel()
        await asyncio.sleep(0.01)
        assert controller.load() == 1.0
        for permit in running:
            permit.release(Outcome.CANCELLED)
            permit.release(Outcome.CANCELLED)
        assert controller.in_flight() == 0

    run(body())


def test_work_that_waits_for_an_inner_call_occupies_no_slot(run, clock, controller):
    async def body():
        permits = [await controller.acquire(item(0, clock)) for _ in range(SLOTS)]
        waiting = await start_acquiring(controller, item(0, clock))
        assert not waiting.done()
        permits[0].pause()
        await asyncio.sleep(0.01)
        assert waiting.done()
        permits[0].resume()
        assert controller.load() == (SLOTS + 1) / SLOTS

    run(body())


def test_more_urgent_work_displaces_less_urgent_work_from_a_full_queue(run, clock, controller):
    async def body():
        running = [await controller.acquire(item(3, clock)) for _ in range(SLOTS)]
        menus = [await start_acquiring(controller, item(3, clock)) for _ in range(40)]
        urgent = await start_acquiring(controller, item(0, clock))
        running[0].release(Outcome.SUCCEEDED)
        await asyncio.sleep(0.01)
        assert urgent.done() and urgent.exception() is None
        shed = [task for task in menus if task.done()]
        assert shed and all(task.exception().cause == "shed" for task in shed)
        for task in menus:
            task.cancel()

    run(body())


def test_limit_shrinks_when_work_waits_inside_the_server():
    limit = ConcurrencyLimit()
    limit.set_slots(40)
    for _ in range(100):
        limit.observe("route", 0.1, 4)
    for _ in range(2000):
        running = limit.value
        limit.observe("route", 0.1 * max(1.0, running / 10), running)
    assert limit.value <= 16


def test_limit_stays_when_the_server_itself_is_slow():
    limit = ConcurrencyLimit()
    limit.set_slots(40)
    for _ in range(100):
        limit.observe("route", 0.1, 4)
    for _ in range(400):
        limit.observe("route", 0.5, limit.value)
    assert limit.value >= 30


def test_limit_recovers_quickly():
    limit = ConcurrencyLimit()
    limit.set_slots(40)
    for _ in range(2000):
        limit.observe("route", 0.1 * max(1.0, limit.value / 10), limit.value)
    for _ in range(160):
        limit.observe("route", 0.1, limit.value)
    assert limit.value == 40


def test_levels_of_ranks_do_not_overlap():
    levels = [level_of(rank, f"request-{n}") for rank in (0, 3) for n in range(200)]
    assert max(levels[:200]) < LEVELS_PER_RANK
    assert min(levels[200:]) >= 3 * LEVELS_PER_RANK


def test_highest_level_excludes_capacity_reserved_for_floors():
    demand = DemandByLevel(0.5)
    for level in range(LEVELS_PER_RANK):
        demand.add(level, 0.5 * 10 / LEVELS_PER_RANK, 0.0)
    free = demand.highest_level_within(5.0, ReservedCapacity(tolerated_backlog=1.0), 1.0, 0.0)
    floors = ReservedCapacity({3: 2.0})
    reserved = demand.highest_level_within(5.0, floors, 1.0, 0.0)
    assert free == pytest.approx(LEVELS_PER_RANK / 2, abs=1.5)
    assert reserved == pytest.approx(LEVELS_PER_RANK * 0.3, abs=1.5)


def test_backlog_of_less_urgent_ranks_does_not_reduce_urgent_capacity():
    demand = DemandByLevel(0.5)
    demand.add(0, 0.5, 0.0)
    reserved = ReservedCapacity(backlog_by_rank={3: 9.0}, tolerated_backlog=0.6)
    assert demand.highest_level_within(2.0, reserved, 1.0, 0.0) == HIGHEST_LEVEL
    demand.add(3 * LEVELS_PER_RANK, 0.5, 0.0)
    assert demand.highest_level_within(2.0, reserved, 1.0, 0.0) == 3 * LEVELS_PER_RANK - 1


def test_demand_follows_the_speed_of_the_server_at_once():
    demand = DemandByLevel(0.5)
    for level in range(LEVELS_PER_RANK):
        demand.add(level, 0.5 * 10 / LEVELS_PER_RANK, 0.0)
    reserved = ReservedCapacity()
    assert demand.highest_level_within(2.0, reserved, 0.1, 0.0) == HIGHEST_LEVEL
    assert demand.highest_level_within(2.0, reserved, 0.4, 0.0) < LEVELS_PER_RANK


def test_small_backlog_leaves_headroom():
    demand = DemandByLevel(0.5)
    demand.add(0, 0.5 * 2.4, 0.0)
    idle = ReservedCapacity(tolerated_backlog=0.6, headroom_slots=0.6)
    late = ReservedCapacity({}, {0: 1.2}, tolerated_backlog=0.6, headroom_slots=0.6)
    assert demand.highest_level_within(2.0, idle, 1.0, 0.0) == HIGHEST_LEVEL
    assert demand.highest_level_within(2.0, late, 1.0, 0.0) == -1


@pytest.mark.parametrize("urgent, longest", [(0.0, 1.8), (1.0, 1.2), (1.9, 0.66)])
def test_less_urgent_backlog_may_be_longer_while_urgent_work_leaves_capacity(urgent, longest):
    demand = DemandByLevel(0.5)
    menu = 3 * LEVELS_PER_RANK
    demand.add(0, 0.5 * urgent, 0.0)
    demand.add(menu, 0.5 * (2.0 - urgent), 0.0)
    short = ReservedCapacity({}, {3: longest - 0.02}, tolerated_backlog=0.6, headroom_slots=2.0)
    long = ReservedCapacity({}, {3: longest + 0.02}, tolerated_backlog=0.6, headroom_slots=2.0)
    assert demand.highest_level_within(2.0, short, 1.0, 0.0) == HIGHEST_LEVEL
    assert demand.highest_level_within(2.0, long, 1.0, 0.0) == menu - 1


def test_mechanism_switches_select_the_baseline_controllers(clock):
    assert isinstance(
        create_admission_controller(clock, [Mechanism.ADMISSION]), UnlimitedController
    )
    assert isinstance(
        create_admission_controller(clock, [Mechanism.RANK_ADMISSION]), ArrivalOrderController
    )
    assert isinstance(create_admission_controller(clock, []), RankQueueController)


def test_arrival_order_serves_earlier_work_before_more_urgent_work(run, clock):
    async def body():
        controller = ArrivalOrderController(clock)
        controller.set_slots(1)
        running = await controller.acquire(item(3, clock))
        menu = await start_acquiring(controller, item(3, clock))
        urgent = await start_acquiring(controller, item(0, clock))
        running.release(Outcome.SUCCEEDED)
        await asyncio.sleep(0.01)
        assert menu.done() and not urgent.done()
        urgent.cancel()

    run(body())


def test_floor_share_is_zero_without_a_floor(controller):
    assert controller.floor_share(Stream("school", "menu")) == 0.0


def test_floor_share_stays_full_for_small_bursts(run, clock, controller):
    async def body():
        await record_service_times(controller, clock, "menu")
        stream = Stream("school", "menu")
        shares = []
        for number in range(60):
            permit = await controller.acquire(item(5, clock, route="menu", floor=0.5))
            permit.release(Outcome.CANCELLED)
            shares.append(controller.floor_share(stream))
            clock.advance(0.01 if number % 3 else 0.38)
        assert min(shares) == 1.0

    run(body())


def test_floor_share_falls_when_a_stream_exceeds_its_floor(run, clock, controller):
    async def body():
        await record_service_times(controller, clock, "menu")
        for _ in range(400):
            permit = await controller.acquire(item(5, clock, route="menu", floor=0.1))
            permit.release(Outcome.CANCELLED)
            clock.advance(0.01)
        assert controller.floor_share(Stream("school", "menu")) < 0.1

    run(body())
