"""Root of the supervision tree of a node: startup, drain and shutdown."""

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
DRAIN_CHECK_INTERVAL_SECONDS = 0.02
DRAIN_TIMEOUT_SECONDS = 120.0


class Node(Service):
    """Overload control node that runs beside one backend server instance.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings of the node.

    Notes
    -----
    The supervised services are the control plane, the call plane, the registry of the backend
    server, and the listeners for the backend server, for peers and for callers.  They start in
    this order and close in reverse.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._context = create_node_context(settings)
        self._control_plane = ControlPlane(self._context)
        self._call_plane = CallPlane(self._context, self._control_plane.membership)
        self._registry = ServerRegistry(
            self._call_plane.executor,
            self._call_plane.admission,
            self._control_plane.membership,
            self._context.events,
            settings.largest_body_bytes,
            self._context.switches,
        )
        self._caller_port = self._build_caller_port()
        self._supervisor = Supervisor("node")
        self._supervisor.add(self._control_plane)
        self._supervisor.add(self._call_plane)
        self._supervisor.add(self._registry)
        self._supervisor.add(self._build_server_port())
        self._supervisor.add(self._build_peer_server())
        self._supervisor.add(self._caller_port)

    async def start(self) -> None:
        """Start all services in dependency order."""
        await self._supervisor.start()
        self._context.events.record_state_change("node-started")

    async def drain(self) -> None:
        """Stop accepting work, wait until peers are notified, and finish work in flight.

        Notes
        -----
        Does nothing if the graceful-stop mechanism is disabled.  Work that is still in flight
        after ``DRAIN_TIMEOUT_SECONDS`` is abandoned.
        """
        if not self._context.switches.is_on(Mechanism.GRACEFUL_STOP):
            return
        self._registry.stop()
        self._caller_port.start_draining()
        await asyncio.sleep(LEAVE_NOTICE_SECONDS)
        deadline = time.monotonic() + DRAIN_TIMEOUT_SECONDS
        while self._call_plane.is_busy() and time.monotonic() < deadline:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_SECONDS)

    async def close(self) -> None:
        """Close all services in reverse order, then the shared connections."""
        self._context.events.record_state_change("node-closing")
        await self._supervisor.close()
        self._context.close()

    def _build_caller_port(self) -> CallerPort:
        settings = self._context.settings
        return CallerPort(
            Address.parse(settings.listen.callers),
            settings.largest_body_bytes,
            self._control_plane.configuration,
            self._call_plane.keyed_dispatcher,
            self._call_plane.throttle,
            self._context.events,
            self._context.switches,
        )

    def _build_server_port(self) -> ServerPort:
        settings, switches = self._context.settings, self._context.switches
        status = StatusReporter(
            self._control_plane.configuration,
            self._control_plane.membership,
            self._call_plane.admission,
            self._call_plane.executor,
            self._context.events,
            self._call_plane.pool,
        )
        inner_calls = InnerCalls(
            self._control_plane.configuration,
            self._call_plane.active_calls,
            self._call_plane.keyed_dispatcher,
            switches,
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
            self._call_plane.executor,
            self._call_plane.max_frame_bytes,
            self._call_plane.keyed_dispatcher,
            self._context.switches,
            self._context.keys,
            self._context.events,
        )
