"""HTTP/1.1 listener with support for pipelined requests."""

import asyncio
import time

from apricotwalk.core import BodyMemory, ServerSocket, Service, Supervisor
from apricotwalk.http1._caller_connection import (
    CallerConnection,
    ConnectionOwner,
    RequestHandler,
)
from apricotwalk.http1._messages import HttpLimits
from apricotwalk.settings import Address

__all__ = ["HttpListener"]

# A connection attempt that finds the accept queue full, because the event loop is busy, is
# delayed by seconds.
BACKLOG_CONNECTION_COUNT = 1024
# Time-outs are configured in whole seconds, so a delay of half a second is acceptable.
SWEEP_INTERVAL_SECONDS = 0.5
# This default is for ports whose callers send and receive short bodies only.
DEFAULT_BODY_MEMORY_BYTES = 1024 * 1024


class HttpListener(Service, ConnectionOwner):
    """Serves HTTP/1.1 on one address.

    Parameters
    ----------
    address : Address
        Address to listen on.
    handler : callable
        Coroutine function that returns the response to a request.
    captured_fields : tuple of str
        Names of header fields to capture in `HttpRequest.values_by_name`.
    dropped_fields : tuple of str
        Names of header fields to leave out of `HttpRequest.fields`.
    requires_host : bool
        Whether requests without a ``Host`` field, or with a captured field that occurs twice, are
        rejected.  ``Host`` is only checked if it is a captured field.
    memory : BodyMemory, optional
        Memory for the large bodies that callers send.
    """

    def __init__(
        self,
        address: Address,
        handler: RequestHandler,
        captured_fields: tuple[str, ...] = (),
        dropped_fields: tuple[str, ...] = (),
        requires_host: bool = False,
        memory: BodyMemory | None = None,
    ) -> None:
        self._address = address
        self.handler = handler
        self.memory = memory or BodyMemory(DEFAULT_BODY_MEMORY_BYTES)
        self.captured_fields = frozenset(name.lower().encode() for name in captured_fields)
        self.dropped_fields = frozenset(name.lower().encode() for name in dropped_fields)
        self.unique_fields = self.captured_fields if requires_host else frozenset()
        self.limits = HttpLimits()
        self.connections: set[CallerConnection] = set()
        self.is_draining = False
        self._socket = ServerSocket(
            address.host, address.port, lambda: CallerConnection(self), BACKLOG_CONNECTION_COUNT
        )
        self._supervisor = Supervisor(f"listener {address}")

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._socket.is_open

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or a caller may not have all of its answer."""
        return any(connection.is_busy for connection in self.connections)

    async def start(self) -> None:
        """Start to accept connections and to enforce the time-outs."""
        await self._socket.start()
        self._supervisor.run_loop("sweep", self._sweep)

    def start_draining(self) -> None:
        """Read no further request behind those that are pending, and one from other connections.

        Notes
        -----
        Each connection closes after its last answer.
        """
        self.is_draining = True
        for connection in list(self.connections):
            connection.start_draining()

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or is in progress."""
        for connection in list(self.connections):
            connection.close_if_unused()

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones are kept."""
        self._socket.stop_listening()

    async def close(self) -> None:
        """Stop listening and close the connections that are idle or have been answered."""
        await self._socket.close()
        self.close_idle()
        for connection in list(self.connections):
            connection.close_if_written()
        await self._supervisor.close()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            now = time.monotonic()
            for connection in list(self.connections):
                connection.enforce_timeouts(now)
