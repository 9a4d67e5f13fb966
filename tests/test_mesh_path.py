"""Tests of requests that pass from callers through mesh nodes to backend servers."""

import asyncio
from dataclasses import replace

import pytest

from apricotwalk.forwarding import BackendPool
from apricotwalk.meshnode import MeshNode
from tests.mesh_fakes import (
    FakeCaller,
    FakeResponse,
    new_configuration,
    new_route,
)
from tests.mesh_harness import DISPATCH, MENU, Mesh, running_mesh
from tests.test_mesh_decisions import new_heartbeat_call


def test_request_is_forwarded_through_two_nodes_and_its_response_returned_unchanged(run):
    async def body():
        async with running_mesh(("m1", "menu-svc"), ("d1", "dispatch-svc")) as mesh:
            caller = await mesh.caller("m1")
            mesh.servers["d1"].respond = lambda request: FakeResponse(201, b"whole body")
            status, fields, content = await caller.request(
                "/dispatch/9?x=1", body=b"lunch", method="POST", request_id="q-9"
            )
            assert (status, content, fields["seal"], fields["id"]) == (
                201,
                b"whole body",
                "x",
                "q-9",
            )
            (received,) = mesh.servers["d1"].requests
            assert (received["method"], received["target"], received["body"]) == (
                "POST",
                "/dispatch/9?x=1",
                b"lunch",
            )
            assert received["fields"]["caller"] == "menu-svc"
            assert received["fields"]["expect"] == "s-d1"
            assert 0 < int(received["fields"]["deadline"]) <= 2000
            caller.close()

    run(body())


def test_pipelined_requests_run_concurrently_and_are_answered_in_order(run):
    async def body():
        async with running_mesh(("m1", "menu-svc")) as mesh:
            delays = {"/menu/1": 0.3, "/menu/2": 0.0}
            mesh.servers["m1"].respond = lambda request: FakeResponse(
                body=request["target"].encode(), delay=delays[request["target"]]
            )
            caller = await mesh.caller("m1")
            caller.send("/menu/1")
            caller.send("/menu/2")
            assert (await caller.receive())[2] == b"/menu/1"
            assert len(mesh.servers["m1"].requests) == 2
            assert (await caller.receive())[2] == b"/menu/2"
            caller.close()

    run(body())


def test_unknown_route_gets_404_and_node_without_configuration_returns_503(run):
    async def body():
        async with running_mesh(("m1", "menu-svc")) as mesh:
            caller = await mesh.caller("m1")
            assert (await caller.request("/nothing/1"))[0] == 404
            caller.close()
        mesh = Mesh()
        await mesh.add("m1", "menu-svc")
        caller = await mesh.caller("m1")
        status, fields, _ = await caller.request("/menu/1")
        assert status == 503
        assert float(fields["retry-after"]) > 0
        caller.close()
        await mesh.close()

    run(body())


def test_request_with_a_lost_response_is_retried_only_if_repeatable(run):
    async def body():
        members = [("m1", "menu-svc"), ("m2", "menu-svc"), ("d1", "dispatch-svc")]
        async with running_mesh(*members, ("d2", "dispatch-svc")) as mesh:
            seen_ids = set()

            def lose_first_response(request):
                is_first = request["fields"]["id"] not in seen_ids
                seen_ids.add(request["fields"]["id"])
                return FakeResponse(raw=b"", closes=True) if is_first else FakeResponse()

            for server in mesh.servers.values():
                server.respond = lose_first_response
            caller = await mesh.caller("m1")
            assert (await caller.request("/menu/1", request_id="safe-1"))[0] == 200
            assert (await caller.request("/dispatch/1", method="POST", body=b"x"))[0] == 502
            execution_counts = [len(mesh.servers[name].requests) for name in ("d1", "d2")]
            assert sum(execution_counts) == 1
            caller.close()

    run(body())


def test_request_refused_without_execution_is_retried_on_another_server(run):
    async def body():
        async with running_mesh(("d1", "dispatch-svc"), ("d2", "dispatch-svc")) as mesh:
            refused = FakeResponse(503, b"", fields=[("Refused", "1")])
            responses = {"d1": refused, "d2": FakeResponse()}
            for name, server in mesh.servers.items():
                server.respond = lambda request, name=name: responses[name]
            caller = await mesh.caller("d1")
            assert (await caller.request("/dispatch/1", method="POST", body=b"x"))[0] == 200
            responses["d2"] = refused
            status, fields, _ = await caller.request("/dispatch/2", method="POST", body=b"x")
            assert (status, "seal" in fields) == (503, False)
            caller.close()

    run(body())


def test_response_with_another_request_id_is_discarded(run):
    async def body():
        async with running_mesh(("m1", "menu-svc")) as mesh:
            unmatched = b"HTTP/1.1 200 OK\r\nId: other\r\nSeal: x\r\nContent-Length: 5\r\n\r\nstray"
            matching = b"HTTP/1.1 200 OK\r\nId: q-1\r\nSeal: x\r\nContent-Length: 3\r\n\r\ndue"
            mesh.servers["m1"].respond = lambda request: FakeResponse(
                raw=unmatched + matching + unmatched
            )
            caller = await mesh.caller("m1")
            status, _, content = await caller.request("/menu/1", request_id="q-1")
            assert (status, content) == (200, b"due")
            mesh.servers["m1"].respond = lambda request: FakeResponse(body=b"next")
            assert (await caller.request("/menu/2", request_id="q-2"))[2] == b"next"
            caller.close()

    run(body())


def test_caller_disconnect_cancels_the_request_at_the_server(run):
    async def body():
        async with running_mesh(("m1", "menu-svc"), ("d1", "dispatch-svc")) as mesh:
            server = mesh.servers["d1"]
            server.respond = lambda request: FakeResponse(delay=5.0)
            caller = await mesh.caller("m1")
            caller.send("/dispatch/1", method="POST", body=b"x", deadline_ms=9000)
            while not server.requests:
                await asyncio.sleep(0.01)
            caller.close()
            while not server.aborted_count:
                await asyncio.sleep(0.01)

    run(body())


def test_request_ends_with_504_at_the_route_timeout(run):
    async def body():
        slow = new_route("menu", "menu-svc", timeout_seconds=0.2)
        async with running_mesh(("m1", "menu-svc"), version=new_configuration(1, slow)) as mesh:
            mesh.servers["m1"].respond = lambda request: FakeResponse(delay=5.0)
            caller = await mesh.caller("m1")
            assert (await caller.request("/menu/1", deadline_ms=9000))[0] == 504
            caller.close()

    run(body())


def test_draining_node_answers_requests_that_it_has_read(run):
    async def body():
        async with running_mesh(("m1", "menu-svc"), ("m2", "menu-svc")) as mesh:
            for server in mesh.servers.values():
                server.respond = lambda request: FakeResponse(body=b"whole", delay=0.5)
            caller = await mesh.caller("m1")
            caller.send("/menu/1")
            while not any(server.requests for server in mesh.servers.values()):
                await asyncio.sleep(0.01)
            node = mesh.nodes.pop("m1")
            await asyncio.gather(node.drain(), check_response(caller))
            await node.close()
            caller.close()

    async def check_response(caller):
        status, fields, content = await caller.receive()
        assert (status, content, fields["connection"]) == (200, b"whole", "close")

    run(body())


def test_draining_node_closes_connections_in_continuous_use(run):
    async def body():
        async with running_mesh(("m1", "menu-svc"), ("m2", "menu-svc")) as mesh:
            for server in mesh.servers.values():
                server.respond = lambda request: FakeResponse(body=b"whole", delay=0.2)
            node = mesh.nodes.pop("m1")
            callers = [await FakeCaller(node.settings.callers).open() for _ in range(4)]
            drained = asyncio.create_task(node.drain())
            status_lists = await asyncio.gather(*(send_until_closed(caller) for caller in callers))
            await drained
            assert not node.is_busy
            assert all(status == 200 for statuses in status_lists for status in statuses)
            await node.close()

    async def send_until_closed(caller):
        """Send one request at a time, each on a new connection, until the node accepts no more."""
        statuses = []
        while True:
            try:
                statuses.append((await caller.request("/menu/1"))[0])
                caller.close()
                await caller.open()
            except (asyncio.IncompleteReadError, ConnectionError):
                return statuses

    run(body())


def test_new_requests_carry_the_service_of_reloaded_settings(run):
    async def body():
        async with running_mesh(("m1", "menu-svc"), ("d1", "dispatch-svc")) as mesh:
            node = mesh.nodes["m1"]
            node._platform.settings = replace(node.settings, service="roster-svc")
            node.reload()
            caller = await mesh.caller("m1")
            assert (await caller.request("/dispatch/1", method="POST", body=b"x"))[0] == 200
            assert mesh.servers["d1"].requests[0]["fields"]["caller"] == "roster-svc"
            caller.close()

    run(body())


def test_request_target_in_absolute_form_finds_its_route(run):
    """RFC 9112 asks servers to accept it; the request was answered 404."""

    async def body():
        async with running_mesh(("m1", "menu-svc"), ("d1", "dispatch-svc")) as mesh:
            caller = await mesh.caller("d1")
            status, _, _ = await caller.request("http://mesh/menu/1?week=2")
            assert status == 200
            assert mesh.servers["m1"].requests[0]["target"] == "/menu/1?week=2"
            caller.close()

    run(body())


def test_retries_are_limited_while_every_server_returns_500(run):
    async def body():
        async with running_mesh(
            ("m1", "menu-svc"), ("m2", "menu-svc"), retry_allowance=4e4
        ) as mesh:
            for server in mesh.servers.values():
                server.respond = lambda request: FakeResponse(500, b"no room below")
            caller = await mesh.caller("m1")
            for _ in range(30):
                assert (await caller.request("/menu/1"))[0] == 500
            arrivals = sum(len(server.requests) for server in mesh.servers.values())
            assert 30 < arrivals <= 30 + 6
            caller.close()

    run(body())


def test_request_that_crashes_servers_is_quarantined_after_three_crashes(run):
    async def body():
        members = [(f"m{number}", "menu-svc") for number in range(1, 6)]
        async with running_mesh(*members, retry_allowance=4e4) as mesh:
            for server in mesh.servers.values():
                server.respond = lambda request, server=server: (
                    server.crash() if request["target"] == "/menu/poison" else FakeResponse()
                )
            for instance in ("m4", "m5", "m4", "m5"):
                caller = await mesh.caller(instance)
                status, _, _ = await caller.request("/menu/poison")
                assert status in (502, 503)
                caller.close()
                while len(distinct_crash_records(mesh)) > 1:
                    await asyncio.sleep(0.01)
            crashing_targets = [
                request["target"] for server in mesh.servers.values() for request in server.requests
            ]
            assert crashing_targets == ["/menu/poison"] * 3
            caller = await mesh.caller("m5")
            assert (await caller.request("/menu/other"))[0] == 200
            caller.close()

    def distinct_crash_records(mesh):
        """Return the distinct sets of crashes that the nodes have recorded."""
        return {
            tuple(crash for suspect in node.quarantine.suspects() for crash in suspect.crashes)
            for node in mesh.nodes.values()
        }

    run(body())


@pytest.mark.parametrize("is_loaded", [False, True])
def test_request_that_crashes_servers_after_its_deadline_is_quarantined(run, is_loaded):
    """A caller that leaves before the crash ended the only exchange that would have shown it."""
    deadline_ms, crash_seconds = 150, 0.3

    async def body():
        members = [(f"m{number}", "menu-svc") for number in range(1, 4)]
        async with running_mesh(*members, retry_allowance=4e4) as mesh:
            crashes = []
            restarts = []

            async def crash(instance, server):
                await asyncio.sleep(crash_seconds)
                crashes.append(instance)
                server.crash()
                await asyncio.sleep(0.2)
                if is_loaded:  # another request finds the server gone
                    await send_others()
                await server.start()
                registry = mesh.nodes[instance].registry
                registry.handle_call(
                    new_heartbeat_call(registry, server.server, started_ms=1 + len(crashes))
                )

            async def send_others():
                caller = await mesh.caller("m1")
                for number in range(4):
                    await caller.request(f"/menu/{number}")
                caller.close()

            def respond(instance, server):
                def crash_later(request):
                    if request["target"] != "/menu/poison":
                        return FakeResponse()
                    restarts.append(asyncio.create_task(crash(instance, server)))
                    return FakeResponse(delay=1.0)

                return crash_later

            for instance, server in mesh.servers.items():
                server.respond = respond(instance, server)
                registry = mesh.nodes[instance].registry
                registry.handle_call(new_heartbeat_call(registry, server.server, started_ms=1))
            for _ in range(8):
                caller = await mesh.caller("m1")
                await caller.request("/menu/poison", deadline_ms=deadline_ms)
                caller.close()
                await asyncio.sleep(crash_seconds)
                await asyncio.gather(*restarts)
                await mesh.wait_until_converged(len(members))
            assert len(crashes) == 3

    run(body())


def test_connection_attempt_that_times_out_is_not_a_crash(run, monkeypatch):
    """A server that does not answer in time can still be executing its requests."""

    async def body():
        async with running_mesh(("m1", "menu-svc"), ("d1", "dispatch-svc")) as mesh:
            mesh.servers["m1"].respond = lambda request: FakeResponse(delay=0.5)
            first, second = await mesh.caller("d1"), await mesh.caller("d1")
            first.send("/menu/1")
            await asyncio.sleep(0.1)

            async def time_out(pool):
                raise TimeoutError

            monkeypatch.setattr(BackendPool, "_open_connection", time_out)
            assert (await second.request("/menu/2"))[0] == 503
            assert (await first.receive())[0] == 200
            assert mesh.nodes["m1"].quarantine.suspects() == []
            first.close()
            second.close()

    run(body())


@pytest.mark.parametrize("status", [503, 500])
def test_crashing_request_that_a_failing_server_answers_stays_suspected(run, status):
    """A rejection and the error of a failing server do not show that the request was executed."""
    members = [(f"m{number}", "menu-svc") for number in range(1, 5)]

    async def body():
        async with running_mesh(*members) as mesh:
            is_failing = False

            def respond(server):
                def crash_or_fail(request):
                    if is_failing:
                        fields = [("Refused", "full")] if status == 503 else []
                        return FakeResponse(status, b"", fields=fields)
                    return server.crash()

                return crash_or_fail

            for server in mesh.servers.values():
                server.respond = respond(server)
            caller = await mesh.caller("m1")
            await caller.request("/menu/poison")
            suspects = [node.quarantine.suspects() for node in mesh.nodes.values()]
            fingerprint = next(each[0].fingerprint for each in suspects if each)
            is_failing = True
            await caller.request("/menu/poison")
            await asyncio.sleep(0.1)
            assert all(node.quarantine.is_suspected(fingerprint) for node in mesh.nodes.values())
            caller.close()

    run(body())


def test_node_restarted_during_a_store_outage_pulls_state_from_peers_and_is_reachable(run):
    async def body():
        members = [("m1", "menu-svc"), ("d1", "dispatch-svc")]
        async with running_mesh(*members) as mesh:
            caller = await mesh.caller("m1")
            assert (await caller.request("/dispatch/1", method="POST"))[0] == 200
            mesh.store.configuration.set_unavailable()
            mesh.store.members.set_unavailable()
            await mesh.nodes["d1"].drain()
            await mesh.nodes["d1"].close()
            restarted = MeshNode(mesh.nodes["d1"]._platform)
            mesh.nodes["d1"] = restarted
            await restarted.start()
            # Nodes start to reconnect after 0.4 s at most; requests until then are refused.
            async with asyncio.timeout(2.0):
                while (await caller.request("/dispatch/2", method="POST"))[0] != 200:
                    await asyncio.sleep(0.05)
            assert restarted.configuration.version == 1
            other = await mesh.caller("d1")
            assert (await other.request("/menu/1"))[0] == 200
            caller.close()
            other.close()

    run(body())


def test_node_opens_connections_to_different_peers(run):
    """A node that drew the same peer each time would never have a second connection."""

    async def body():
        members = [("m1", "menu-svc"), ("m2", "menu-svc"), ("d1", "dispatch-svc")]
        async with running_mesh(*members) as mesh:
            for node in mesh.nodes.values():
                node._random.choice = lambda items: items[0]
            async with asyncio.timeout(2.0):
                while any(node.links.open_count < 2 for node in mesh.nodes.values()):
                    await asyncio.sleep(0.05)

    run(body())


def test_idle_node_receives_a_configuration_version_from_peers(run):
    async def body():
        members = [("m1", "menu-svc"), ("m2", "menu-svc"), ("d1", "dispatch-svc")]
        async with running_mesh(*members) as mesh:
            async with asyncio.timeout(2.0):
                while any(node.links.open_count < 2 for node in mesh.nodes.values()):
                    await asyncio.sleep(0.05)
            mesh.store.configuration.set_unavailable()
            mesh.store.publish(new_configuration(2, MENU, DISPATCH))
            record = mesh.store.configuration.records[-1]
            mesh.nodes["m1"].configuration.apply(record.key, record.value, "test")
            async with asyncio.timeout(1.0):
                while any(node.configuration.version < 2 for node in mesh.nodes.values()):
                    await asyncio.sleep(0.02)

    run(body())
