"""Tests of backend servers that announce in their answers that they are leaving."""

import asyncio

import pytest
from msgspec.structs import replace

from apricotwalk.border import HeartbeatCall
from apricotwalk.core import Departure, ManualClock, ServerNotice
from apricotwalk.forwarding import BackendRegistry, ServerAnnouncement
from apricotwalk.meshnode import MeshNode
from apricotwalk.meshnode._node import HISTORY_WAIT_SECONDS
from apricotwalk.telemetry import DecisionLog
from tests.mesh_fakes import FakePlatform, FakeResponse, FakeStore
from tests.mesh_harness import running_mesh
from tests.test_mesh_decisions import new_heartbeat_call

LEAVING = ServerAnnouncement(None, True)
STARTED_MS = 100


@pytest.fixture
def registry():
    platform = FakePlatform(FakeStore(), "menu", "n-1")
    clock = ManualClock(50.0)
    return BackendRegistry(platform.settings, DecisionLog("n-1", "z", clock, descriptor=-1), clock)


def test_server_that_announced_its_leaving_stays_so_until_a_new_start(registry):
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS))
    registry.record_answer(registry.current, LEAVING)
    assert registry.is_leaving
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS, sequence=2))
    registry.record_answer(registry.current, ServerAnnouncement(None, False))
    assert registry.is_leaving
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS + 1))
    assert not registry.is_leaving


def test_late_heartbeat_does_not_reinstate_a_server_known_by_health_check_only(registry):
    registry.register_probed("s-1", 8)
    registry.record_answer(registry.current, LEAVING)
    registry.record_answer(registry.current, LEAVING)
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS))
    assert registry.is_leaving
    later_ms = int(registry._clock.wall() * 1000) + 1
    registry.handle_call(new_heartbeat_call(registry, started_ms=later_ms))
    assert not registry.is_leaving


def test_notice_of_a_former_start_ends_with_the_heartbeat_of_the_new_one(registry):
    registry.register_probed("s-1", 8)
    registry.apply_notice(ServerNotice("s-1", STARTED_MS, None, True))
    assert registry.is_leaving
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS))
    assert registry.is_leaving
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS + 1))
    assert not registry.is_leaving
    registry.apply_notice(ServerNotice("s-1", STARTED_MS, None, True))
    assert not registry.is_leaving


def test_departures_of_other_servers_are_remembered_while_one_repeats_its_leaving(registry):
    registry.handle_call(new_heartbeat_call(registry, "s-0", started_ms=STARTED_MS - 1))
    registry.record_answer(registry.current, LEAVING)
    registry.handle_call(new_heartbeat_call(registry, "s-1", started_ms=STARTED_MS))
    for _ in range(100):
        registry.record_answer(registry.current, LEAVING)
    registry.handle_call(new_heartbeat_call(registry, "s-0", started_ms=STARTED_MS - 1))
    assert registry.is_leaving


LEAVING_RESPONSE = FakeResponse(fields=[("Leaving", "1")])


def test_server_that_says_it_leaves_in_an_answer_gets_no_further_requests(run):
    async def body():
        async with running_mesh(("m1", "menu-svc"), ("d1", "dispatch-svc")) as mesh:
            server = mesh.servers["m1"]
            server.respond = lambda request: LEAVING_RESPONSE
            caller = await mesh.caller("d1")
            assert (await caller.request("/menu/1"))[0] == 200
            assert [(await caller.request("/menu/2"))[0] for _ in range(3)] == [503] * 3
            assert len(server.requests) == 1
            caller.close()

    run(body())


def test_restarted_node_passes_nothing_on_from_a_node_that_knows_of_the_leaving(run, monkeypatch):
    """The record that the earlier process published is lost, so only notices bind the new one."""
    monkeypatch.setattr(
        MeshNode, "_apply_own_history", lambda node, record: node.registry.settle("test")
    )

    async def body():
        members = [("m1", "menu-svc"), ("m2", "menu-svc"), ("d1", "dispatch-svc")]
        async with running_mesh(*members) as mesh:
            server = mesh.servers["m1"]
            server.respond = lambda request: LEAVING_RESPONSE
            caller = await mesh.caller("d1")
            while not server.requests:
                assert (await caller.request("/menu/1"))[0] == 200
            # The health check of the restarted node passes although the server leaves.
            await mesh.restart("m1")
            statuses = [(await caller.request(f"/menu/{i}"))[0] for i in range(40)]
            assert set(statuses) == {200}
            assert len(server.requests) == 1
            caller.close()

    run(body())


@pytest.fixture
def restarted_registry():
    """Return the registry of a process that does not know yet what an earlier one acknowledged."""
    platform = FakePlatform(FakeStore(), "menu", "n-1")
    clock = ManualClock(50.0)
    log = DecisionLog("n-1", "z", clock, descriptor=-1)
    return BackendRegistry(platform.settings, log, clock, is_settled=False)


def test_late_report_does_not_undo_what_an_earlier_process_acknowledged(restarted_registry):
    registry = restarted_registry
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS, sequence=4))
    registry.register_probed("s-1", 8)
    assert registry.current is None
    registry.restore_departure(Departure("s-1", STARTED_MS))
    registry.settle("test")
    assert registry.current is None
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS, sequence=5))
    registry.register_probed("s-1", 8)
    assert registry.current is None
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS + 1))
    assert registry.current is not None


def test_report_that_arrives_before_the_history_counts_once_it_is_known(restarted_registry):
    registry = restarted_registry
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS, sequence=2, slots=9))
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS, sequence=1, slots=8))
    registry.confirm("test")
    assert registry.current is None
    registry.settle("test")
    assert registry.current.slots == 9


def test_report_counts_once_the_server_has_confirmed_it(restarted_registry):
    registry = restarted_registry
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS, sequence=2))
    registry.settle("test")
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS, sequence=3))
    assert registry.current is None and registry.awaits_confirmation
    registry._clock.advance(1.5)
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS, sequence=1))
    assert registry.current is None
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS, sequence=4))
    assert registry.current is not None and not registry.awaits_confirmation


def test_report_of_a_later_start_needs_no_confirmation(restarted_registry):
    registry = restarted_registry
    registry.settle("test")
    later_ms = int(registry._clock.wall() * 1000) + 1
    registry.handle_call(new_heartbeat_call(registry, started_ms=later_ms))
    assert registry.current is not None


def test_server_that_reports_ready_again_after_draining_is_used_after_a_restart(
    restarted_registry,
):
    registry = restarted_registry
    registry.restore_departure(Departure("s-1", STARTED_MS, 7))
    registry.settle("test")
    registry.confirm("test")
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS, sequence=7))
    assert registry.current is None
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS, sequence=8))
    assert registry.current is not None


def test_departure_without_a_start_includes_every_start_up_to_now(registry):
    registry.register_probed("s-1", 8)
    registry.handle_call(HeartbeatCall("s-1", None))
    registry.handle_call(new_heartbeat_call(registry, started_ms=STARTED_MS))
    assert registry.is_leaving


@pytest.mark.parametrize("is_store_down", [False, True])
@pytest.mark.parametrize("is_draining", [False, True])
def test_restarted_node_sends_nothing_to_a_server_whose_leaving_was_acknowledged(
    run, is_store_down, is_draining
):
    """The earlier process was killed after its acknowledgement, and a late report follows."""
    members = [("m1", "menu-svc"), ("m2", "menu-svc"), ("d1", "dispatch-svc")]

    async def body():
        async with running_mesh(*members) as mesh:
            registry = mesh.nodes["m1"].registry
            registry.handle_call(
                new_heartbeat_call(registry, "s-m1", started_ms=STARTED_MS, sequence=3)
            )
            await asyncio.sleep(0.1)
            if is_store_down:
                mesh.store.configuration.set_unavailable()
                mesh.store.members.set_unavailable()
            leaving = HeartbeatCall("s-m1", None, STARTED_MS)
            if is_draining:
                leaving = new_heartbeat_call(
                    registry, "s-m1", started_ms=STARTED_MS, sequence=5, is_leaving=True
                )
            registry.handle_call(leaving)
            await asyncio.sleep(0.3)
            old = mesh.nodes["m1"]
            await old.close()
            restarted = MeshNode(old._platform)
            mesh.nodes["m1"] = restarted
            await restarted.start()
            late = new_heartbeat_call(restarted.registry, "s-m1", started_ms=STARTED_MS, sequence=4)
            restarted.registry.handle_call(late)
            caller = await mesh.caller("d1")
            for _ in range(60):
                assert (await caller.request("/menu/1"))[0] == 200
                await asyncio.sleep(0.05)
            assert mesh.servers["m1"].requests == []
            caller.close()

    run(body())


def test_own_greeting_that_a_peer_returns_does_not_end_the_wait_for_the_history():
    store = FakeStore()
    store.members.set_unavailable()
    node = MeshNode(FakePlatform(store, "menu-svc", "n-1"))
    node.registry.handle_call(new_heartbeat_call(node.registry, started_ms=STARTED_MS))
    node.registry.confirm("test")
    node._apply_own_history(node.members.own)
    assert node.registry.current is None
    earlier = replace(node.members.own, incarnation=node.members.own.incarnation - 1)
    node._apply_own_history(earlier)
    assert node.registry.current is not None


@pytest.mark.parametrize("health_status", [503, 200])
def test_node_that_learns_no_history_asks_the_server_before_it_believes_a_report(
    run, health_status
):
    """All nodes restart during an outage in which one has acknowledged that its server leaves."""
    members = [("m1", "menu-svc"), ("m2", "menu-svc"), ("d1", "dispatch-svc")]

    async def body():
        async with running_mesh(*members) as mesh:
            registry = mesh.nodes["m1"].registry
            registry.handle_call(
                new_heartbeat_call(registry, "s-m1", started_ms=STARTED_MS, sequence=3)
            )
            await asyncio.sleep(0.1)
            streams = (mesh.store.configuration, mesh.store.members)
            for stream in streams:
                stream.set_unavailable()
            if health_status == 503:
                registry.handle_call(HeartbeatCall("s-m1", None, STARTED_MS))
                mesh.servers["m1"].health_status = health_status
            for instance, node in list(mesh.nodes.items()):
                await node.close()
                mesh.nodes[instance] = MeshNode(node._platform)
            for node in mesh.nodes.values():
                await node.start()
            registry = mesh.nodes["m1"].registry
            late = new_heartbeat_call(registry, "s-m1", started_ms=STARTED_MS, sequence=2)
            registry.handle_call(late)
            await asyncio.sleep(HISTORY_WAIT_SECONDS + 0.3)
            for stream in streams:
                stream.is_down = False
            caller = await mesh.caller("d1")
            await asyncio.sleep(1.5)
            for _ in range(40):
                assert (await caller.request("/menu/1"))[0] == 200
                await asyncio.sleep(0.05)
            assert bool(mesh.servers["m1"].requests) == (health_status == 200)
            caller.close()

    run(body())
