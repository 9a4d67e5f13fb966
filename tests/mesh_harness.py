"""Mesh of nodes that share a store in memory, for tests over loopback connections."""

import asyncio
from contextlib import asynccontextmanager

from apricotwalk.core import Execution
from apricotwalk.meshnode import MeshNode
from tests.mesh_fakes import (
    FakeCaller,
    FakePlatform,
    FakeServer,
    FakeStore,
    new_configuration,
    new_route,
)

MENU = new_route("menu", "menu-svc")
DISPATCH = new_route("dispatch", "dispatch-svc", Execution.AT_MOST_ONCE)


# A test that hangs shows less than one that fails.
CONVERGENCE_SECONDS = 30.0
FIRST_VERSION = new_configuration(1, MENU, DISPATCH)


class Mesh:
    """Mesh nodes that share a store, each with a backend server beside it."""

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

    async def restart(self, instance):
        """Replace the process of a node; the server beside it continues to run."""
        old = self.nodes.pop(instance)
        await old.close()
        platform = old._platform
        node = MeshNode(platform)
        await node.start()
        self.nodes[instance] = node
        await self.wait_until_converged(len(self.nodes))

    async def wait_until_converged(self, count):
        """Wait until every node has a configuration and lists `count` alive members."""
        async with asyncio.timeout(CONVERGENCE_SECONDS):
            while not all(self._has_converged(node, count) for node in self.nodes.values()):
                await asyncio.sleep(0.01)

    async def caller(self, instance):
        return await FakeCaller(self.nodes[instance].settings.callers).open()

    async def close(self):
        for node in self.nodes.values():
            await node.close()
        for server in self.servers.values():
            await server.close()

    def _has_converged(self, node, count):
        alive = [m for m in node.members.all_members() if m.state.name == "ALIVE"]
        return node.configuration.version > 0 and len(alive) == count


@asynccontextmanager
async def running_mesh(*members, version=FIRST_VERSION, **bounds):
    mesh = Mesh()
    mesh.store.publish(version)
    try:
        for instance, service in members:
            await mesh.add(instance, service, **bounds)
        await mesh.wait_until_converged(len(members))
        yield mesh
    finally:
        await mesh.close()
