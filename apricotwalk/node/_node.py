"""The supervisor tree of one node."""

import asyncio
import time

from apricotwalk.core import Mechanism, Service, Supervisor
from apricotwalk.node._announcements import ServerRegistry
from apricotwalk.node._call_plane import CallPlane
from apricotwalk.node._context import create_node_context
from apricotwalk.node._control_plane import ControlPlane
from apricotwalk.node._server_port import ServerPort
from apricotwalk.node._status import StatusReporter
from apricotwalk.serving import CallerPort, InnerCalls
from apricotwalk.settings import Address, NodeSettings
from apricotwalk.wire import PeerServer

__all__ = ["Node"]

LEAVE_NOTICE_SECONDS = 1.0
DRAIN_CHECK_SECONDS = 0.02
LONGEST_DRAIN_SECONDS = 120.0


class Node(Service):
    """One node beside one backend server instance.

    Parameters
    ----------
    settings : NodeSettings
        Everything the node has to be told.

    Notes
    -----
    The tree: the control plane, the call plane, the registry of the backend server, and the
    three listeners, started in this order and closed in reverse.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._context = create_node_context(settings)
        self._control = ControlPlane(self._context)
        self._calls = CallPlane(self._context, self._control.membership)
        self._registry = ServerRegistry(
            self._calls.executor,
            self._calls.admission,
            self._control.membership,
            self._context.events,
            settings.largest_body_bytes,
            self._context.switches,
        )
        self._caller_port = self._build_caller_port()
        self._supervisor = Supervisor("node")
        self._supervisor.add(self._control)
        self._supervisor.add(self._calls)
        self._supervisor.add(self._registry)
        self._supervisor.add(self._build_server_port())
        self._supervisor.add(self._build_peer_server())
        self._supervisor.add(self._caller_port)

    async def start(self) -> None:
        """Start every service of the node."""
        await self._supervisor.start()
        self._context.events.announce("node-started")

    async def drain(self) -> None:
        """Leave, let other nodes take note, and wait for the work in flight."""
        if not self._context.switches.is_on(Mechanism.GRACEFUL_STOP):
            return
        self._registry.stop()
        self._caller_port.start_draining()
        await asyncio.sleep(LEAVE_NOTICE_SECONDS)
        give_up = time.monotonic() + LONGEST_DRAIN_SECONDS
        while self._calls.is_busy() and time.monotonic() < give_up:
            await asyncio.sleep(DRAIN_CHECK_SECONDS)

    async def close(self) -> None:
        """Close every service of the node."""
        self._context.events.announce("node-closing")
        await self._supervisor.close()
        self._context.close()

    def _build_caller_port(self) -> CallerPort:
        settings = self._context.settings
        return CallerPort(
            Address.parse(settings.listen.callers),
            settings.largest_body_bytes,
            self._control.configuration,
            self._calls.keyed,
            self._calls.throttle,
            self._context.events,
            self._context.switches,
        )

    def _build_server_port(self) -> ServerPort:
        settings, switches = self._context.settings, self._context.switches
        status = StatusReporter(
            self._control.configuration,
            self._control.membership,
            self._calls.admission,
            self._calls.executor,
            self._context.events,
            self._calls.pool,
        )
        inner_calls = InnerCalls(
            self._control.configuration, self._calls.active_calls, self._calls.keyed, switches
        )
        return ServerPort(
            Address.parse(settings.listen.server),
            settings.largest_body_bytes,
            inner_calls,
            self._registry,
            status,
            switches,
        )

    def _build_peer_server(self) -> PeerServer:
        return PeerServer(
            Address.parse(self._context.settings.listen.peers),
            self._calls.executor,
            self._calls.largest_frame_bytes,
            self._calls.keyed,
            self._context.switches,
            self._context.keys,
            self._context.events,
        )
