"""Tests of backend servers that announce in their answers that they are leaving."""

import pytest

from apricotwalk.core import ManualClock, ServerNotice
from apricotwalk.forwarding import BackendRegistry, ServerAnnouncement
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


def test_restarted_node_passes_nothing_on_from_a_node_that_knows_of_the_leaving(run):
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
