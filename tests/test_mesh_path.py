"""The way of a request through nodes of a mesh, from callers to backend servers."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

from apricotwalk.core import Execution
from apricotwalk.meshnode import MeshNode
from tests.mesh_fakes import (
    Answer,
    FakeCaller,
    FakePlatform,
    FakeServer,
    FakeStore,
    new_configuration,
    new_route,
)

MENU = new_route("menu", "menu-svc")
DISPATCH = new_route("dispatch", "dispatch-svc", Execution.AT_MOST_ONCE)


FIRST_VERSION = new_configuration(1, MENU, DISPATCH)


class Mesh:
    """Nodes, each with a server beside it."""

    def __init__(self):
        self.store = FakeStore()
        self.nodes = {}
        self.servers = {}

    async def add(self, instance, service, zone="a", **bounds):
        platform = FakePlatform(self.store, service, instance, zone, **bounds)
        server = FakeServer(platform.settings.backend, f"s-{instance}")
        await server.start()
        self.servers[instance] = server
        node = MeshNode(platform)
        await node.start()
        self.nodes[instance] = node
        return node

    async def settle(self, count):
        """Wait until every node knows a configuration and `count` members that take work."""
        while not all(self._is_settled(node, count) for node in self.nodes.values()):
            await asyncio.sleep(0.01)

    async def caller(self, instance):
        return await FakeCaller(self.nodes[instance].settings.callers).open()

    async def close(self):
        for node in self.nodes.values():
            await node.close()
        for server in self.servers.values():
            await server.close()

    def _is_settled(self, node, count):
        usable = [m for m in node.members.all_members() if m.state.name == "ALIVE"]
        return node.configuration.version > 0 and len(usable) == count


@asynccontextmanager
async def mesh_of(*places, version=FIRST_VERSION, **bounds):
    mesh = Mesh()
    mesh.store.publish(version)
    try:
        for instance, service in places:
            await mesh.add(instance, service, **bounds)
        await mesh.settle(len(places))
        yield mesh
    finally:
        await mesh.close()


def test_a_request_crosses_two_nodes_and_its_answer_comes_back_unchanged(run):
    async def body():
        async with mesh_of(("m1", "menu-svc"), ("d1", "dispatch-svc")) as mesh:
            caller = await mesh.caller("m1")
            mesh.servers["d1"].answer = lambda request: Answer(201, b"whole body")
            status, fields, answer = await caller.ask(
                "/dispatch/9?x=1", body=b"lunch", method="POST", request_id="q-9"
            )
            assert (status, answer, fields["seal"], fields["id"]) == (
                201,
                b"whole body",
                "x",
                "q-9",
            )
            (seen,) = mesh.servers["d1"].requests
            assert (seen["method"], seen["target"], seen["body"]) == (
                "POST",
                "/dispatch/9?x=1",
                b"lunch",
            )
            assert seen["fields"]["caller"] == "menu-svc"
            assert seen["fields"]["expect"] == "s-d1"
            assert 0 < int(seen["fields"]["deadline"]) <= 2000
            caller.close()

    run(body())


def test_pipelined_requests_run_at_once_and_are_answered_in_order(run):
    async def body():
        async with mesh_of(("m1", "menu-svc")) as mesh:
            delays = {"/menu/1": 0.3, "/menu/2": 0.0}
            mesh.servers["m1"].answer = lambda request: Answer(
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


def test_unknown_routes_get_404_and_a_node_without_configuration_says_503(run):
    async def body():
        async with mesh_of(("m1", "menu-svc")) as mesh:
            caller = await mesh.caller("m1")
            assert (await caller.ask("/nothing/1"))[0] == 404
            caller.close()
        mesh = Mesh()
        await mesh.add("m1", "menu-svc")
        caller = await mesh.caller("m1")
        status, fields, _ = await caller.ask("/menu/1")
        assert status == 503
        assert float(fields["retry-after"]) > 0
        caller.close()
        await mesh.close()

    run(body())


def test_a_lost_answer_is_repeated_elsewhere_for_repeatable_work_only(run):
    async def body():
        places = [("m1", "menu-svc"), ("m2", "menu-svc"), ("d1", "dispatch-svc")]
        async with mesh_of(*places, ("d2", "dispatch-svc")) as mesh:
            seen = set()

            def lose_first(request):
                is_first = request["fields"]["id"] not in seen
                seen.add(request["fields"]["id"])
                return Answer(raw=b"", closes=True) if is_first else Answer()

            for server in mesh.servers.values():
                server.answer = lose_first
            caller = await mesh.caller("m1")
            assert (await caller.ask("/menu/1", request_id="safe-1"))[0] == 200
            assert (await caller.ask("/dispatch/1", method="POST", body=b"x"))[0] == 502
            ran = [len(mesh.servers[name].requests) for name in ("d1", "d2")]
            assert sum(ran) == 1
            caller.close()

    run(body())


def test_work_that_a_server_did_not_run_goes_to_another_one(run):
    async def body():
        async with mesh_of(("d1", "dispatch-svc"), ("d2", "dispatch-svc")) as mesh:
            refused = Answer(503, b"", fields=[("Refused", "1")])
            answers = {"d1": refused, "d2": Answer()}
            for name, server in mesh.servers.items():
                server.answer = lambda request, name=name: answers[name]
            caller = await mesh.caller("d1")
            assert (await caller.ask("/dispatch/1", method="POST", body=b"x"))[0] == 200
            answers["d2"] = refused
            status, fields, _ = await caller.ask("/dispatch/2", method="POST", body=b"x")
            assert (status, "seal" in fields) == (503, False)
            caller.close()

    run(body())


def test_a_stray_answer_belongs_to_no_request(run):
    async def body():
        async with mesh_of(("m1", "menu-svc")) as mesh:
            stray = b"HTTP/1.1 200 OK\r\nId: other\r\nSeal: x\r\nContent-Length: 5\r\n\r\nstray"
            due = b"HTTP/1.1 200 OK\r\nId: q-1\r\nSeal: x\r\nContent-Length: 3\r\n\r\ndue"
            mesh.servers["m1"].answer = lambda request: Answer(raw=stray + due + stray)
            caller = await mesh.caller("m1")
            status, _, answer = await caller.ask("/menu/1", request_id="q-1")
            assert (status, answer) == (200, b"due")
            mesh.servers["m1"].answer = lambda request: Answer(body=b"next")
            assert (await caller.ask("/menu/2", request_id="q-2"))[2] == b"next"
            caller.close()

    run(body())


def test_a_caller_that_leaves_ends_the_work_at_the_server(run):
    async def body():
        async with mesh_of(("m1", "menu-svc"), ("d1", "dispatch-svc")) as mesh:
            server = mesh.servers["d1"]
            server.answer = lambda request: Answer(delay=5.0)
            caller = await mesh.caller("m1")
            caller.send("/dispatch/1", method="POST", body=b"x", deadline_ms=9000)
            while not server.requests:
                await asyncio.sleep(0.01)
            caller.close()
            while not server.broken_off:
                await asyncio.sleep(0.01)

    run(body())


def test_the_timeout_of_the_route_ends_a_request(run):
    async def body():
        slow = new_route("menu", "menu-svc", timeout_seconds=0.2)
        async with mesh_of(("m1", "menu-svc"), version=new_configuration(1, slow)) as mesh:
            mesh.servers["m1"].answer = lambda request: Answer(delay=5.0)
            caller = await mesh.caller("m1")
            assert (await caller.ask("/menu/1", deadline_ms=9000))[0] == 504
            caller.close()

    run(body())


def test_a_stopping_node_answers_what_it_has_read(run):
    async def body():
        async with mesh_of(("m1", "menu-svc"), ("m2", "menu-svc")) as mesh:
            for server in mesh.servers.values():
                server.answer = lambda request: Answer(body=b"whole", delay=0.5)
            caller = await mesh.caller("m1")
            caller.send("/menu/1")
            while not any(server.requests for server in mesh.servers.values()):
                await asyncio.sleep(0.01)
            node = mesh.nodes.pop("m1")
            await asyncio.gather(node.drain(), self_answer(caller))
            await node.close()
            caller.close()

    async def self_answer(caller):
        status, fields, answer = await caller.receive()
        assert (status, answer, fields["connection"]) == (200, b"whole", "close")

    run(body())


def test_a_stopping_node_closes_connections_that_callers_keep_using(run):
    async def body():
        async with mesh_of(("m1", "menu-svc"), ("m2", "menu-svc")) as mesh:
            for server in mesh.servers.values():
                server.answer = lambda request: Answer(body=b"whole", delay=0.2)
            node = mesh.nodes.pop("m1")
            callers = [await FakeCaller(node.settings.callers).open() for _ in range(4)]
            drained = asyncio.create_task(node.drain())
            answers = await asyncio.gather(*(use_until_closed(caller) for caller in callers))
            await drained
            assert not node.is_busy
            assert all(status == 200 for statuses in answers for status in statuses)
            await node.close()

    async def use_until_closed(caller):
        """Keep one request in work on each connection for as long as the node takes any."""
        statuses = []
        while True:
            try:
                statuses.append((await caller.ask("/menu/1"))[0])
                caller.close()
                await caller.open()
            except (asyncio.IncompleteReadError, ConnectionError):
                return statuses

    run(body())


def test_reloaded_settings_name_the_service_of_new_requests(run):
    async def body():
        async with mesh_of(("m1", "menu-svc"), ("d1", "dispatch-svc")) as mesh:
            node = mesh.nodes["m1"]
            node._platform.settings = replace(node.settings, service="roster-svc")
            node.reload()
            caller = await mesh.caller("m1")
            assert (await caller.ask("/dispatch/1", method="POST", body=b"x"))[0] == 200
            assert mesh.servers["d1"].requests[0]["fields"]["caller"] == "roster-svc"
            caller.close()

    run(body())


def test_failures_that_every_server_repeats_are_not_tried_again(run):
    async def body():
        async with mesh_of(("m1", "menu-svc"), ("m2", "menu-svc"), retry_allowance=4e4) as mesh:
            for server in mesh.servers.values():
                server.answer = lambda request: Answer(500, b"no room below")
            caller = await mesh.caller("m1")
            for _ in range(30):
                assert (await caller.ask("/menu/1"))[0] == 500
            arrivals = sum(len(server.requests) for server in mesh.servers.values())
            assert 30 < arrivals <= 30 + 6
            caller.close()

    run(body())


def test_a_request_that_crashes_servers_reaches_three_of_them(run):
    async def body():
        places = [(f"m{number}", "menu-svc") for number in range(1, 6)]
        async with mesh_of(*places, retry_allowance=4e4) as mesh:
            for server in mesh.servers.values():
                server.answer = lambda request, server=server: (
                    server.crash() if request["target"] == "/menu/poison" else Answer()
                )
            for place in ("m4", "m5", "m4", "m5"):
                caller = await mesh.caller(place)
                status, _, _ = await caller.ask("/menu/poison")
                assert status in (502, 503)
                caller.close()
                while len(crashes_known_to(mesh)) > 1:
                    await asyncio.sleep(0.01)
            crashed = [
                request["target"] for server in mesh.servers.values() for request in server.requests
            ]
            assert crashed == ["/menu/poison"] * 3
            caller = await mesh.caller("m5")
            assert (await caller.ask("/menu/other"))[0] == 200
            caller.close()

    def crashes_known_to(mesh):
        """Return the different sets of crashes that nodes know of."""
        return {
            tuple(crash for suspect in node.quarantine.suspects() for crash in suspect.crashes)
            for node in mesh.nodes.values()
        }

    run(body())


def test_a_node_restarted_while_the_store_is_away_learns_from_peers_and_is_found(run):
    async def body():
        places = [("m1", "menu-svc"), ("d1", "dispatch-svc")]
        async with mesh_of(*places) as mesh:
            caller = await mesh.caller("m1")
            assert (await caller.ask("/dispatch/1", method="POST"))[0] == 200
            mesh.store.configuration.go_down()
            mesh.store.members.go_down()
            await mesh.nodes["d1"].drain()
            await mesh.nodes["d1"].close()
            restarted = MeshNode(mesh.nodes["d1"]._platform)
            mesh.nodes["d1"] = restarted
            await restarted.start()
            # Redialling begins after 0.4 s at most; what is asked for meanwhile is refused.
            async with asyncio.timeout(2.0):
                while (await caller.ask("/dispatch/2", method="POST"))[0] != 200:
                    await asyncio.sleep(0.05)
            assert restarted.configuration.version == 1
            other = await mesh.caller("d1")
            assert (await other.ask("/menu/1"))[0] == 200
            caller.close()
            other.close()

    run(body())


def test_a_node_without_traffic_hears_of_a_version_from_peers(run):
    async def body():
        places = [("m1", "menu-svc"), ("m2", "menu-svc"), ("d1", "dispatch-svc")]
        async with mesh_of(*places) as mesh:
            async with asyncio.timeout(2.0):
                while any(node.links.open_count < 2 for node in mesh.nodes.values()):
                    await asyncio.sleep(0.05)
            mesh.store.configuration.go_down()
            mesh.store.publish(new_configuration(2, MENU, DISPATCH))
            record = mesh.store.configuration.records[-1]
            mesh.nodes["m1"].configuration.apply(record.key, record.value, "test")
            async with asyncio.timeout(1.0):
                while any(node.configuration.version < 2 for node in mesh.nodes.values()):
                    await asyncio.sleep(0.02)

    run(body())
