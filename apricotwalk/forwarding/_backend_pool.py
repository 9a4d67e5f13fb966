"""Connection pool to the backend server beside the node."""

import asyncio
import socket
import time
from collections import deque

from apricotwalk.core import BodyMemory, CallFailure, Service, Verdict
from apricotwalk.http1 import (
    ServerAnswer,
    ServerConnection,
    ServerConnectionLost,
    enable_keepalive,
    encode_request_head,
)
from apricotwalk.settings import Address

__all__ = ["BackendPool"]

# The server runs on the same machine, so a connection attempt that takes longer has failed.
CONNECT_TIMEOUT_SECONDS = 0.3
# A time-out that fires later than this shows that the event loop stood still, and not that the
# server does.
MAX_TIMER_DELAY_SECONDS = 0.02
# A connection is not reused shortly before the idle timeout that the server announces, because
# the server may close it while the request is being written.
IDLE_MARGIN_SECONDS = 1.0
# This value applies to servers that announce no idle timeout.
DEFAULT_IDLE_TIMEOUT_SECONDS = 4.0
# Connections that have been idle for longer serve only requests that may be repeated, because
# the server may have dropped them without notice.
AT_MOST_ONCE_MAX_IDLE_SECONDS = 2.0
# This default is for pools that are used without a node.
DEFAULT_BODY_MEMORY_BYTES = 64 * 1024 * 1024


class BackendPool(Service):
    """Sends requests to one backend server.

    Parameters
    ----------
    address : Address
        Address on which the server listens.
    id_field : str
        Name of the header field that identifies a request; the answer repeats its value.
    captured_fields : tuple of str
        Names of the answer header fields whose values are kept.
    memory : BodyMemory, optional
        Memory for the large bodies of answers.

    Attributes
    ----------
    unmatched_response_count : int
        Number of responses that belong to no request, summed as connections are released.
    """

    def __init__(
        self,
        address: Address,
        id_field: str,
        captured_fields: tuple[str, ...],
        memory: BodyMemory | None = None,
    ) -> None:
        self.address = address
        self._id_field = id_field.lower().encode()
        self._captured_fields = frozenset(name.lower().encode() for name in captured_fields)
        self._idle: deque[ServerConnection] = deque()
        self._open: set[ServerConnection] = set()
        self._memory = memory or BodyMemory(DEFAULT_BODY_MEMORY_BYTES)
        self.unmatched_response_count = 0

    async def start(self) -> None:
        """Do nothing; connections are opened on demand."""

    async def close(self) -> None:
        """Close every connection."""
        for connection in list(self._open):
            connection.close()
        self._open.clear()
        self._idle.clear()

    def drop_idle(self) -> None:
        """Close the connections that carry no request."""
        while self._idle:
            connection = self._idle.pop()
            connection.close()
            self._open.discard(connection)

    async def send(
        self,
        method: str,
        target: str,
        fields: bytes,
        body: bytes | bytearray,
        request_id: str,
        at_most_once: bool,
    ) -> ServerAnswer:
        """Send a request and return its complete answer.

        Parameters
        ----------
        method, target : str
            HTTP request line.
        fields : bytes
            Encoded header fields.
        body : bytes or bytearray
            Complete body.
        request_id : str
            Identifier that the answer must repeat.
        at_most_once : bool
            Whether the request must not run twice.

        Returns
        -------
        ServerAnswer
            The answer of the backend server.

        Raises
        ------
        CallFailure
            With verdict ``NOT_RUN`` if no connection could be opened, and ``MAY_HAVE_RUN`` if no
            complete answer was received.
        """
        connection = await self._acquire(request_id, at_most_once)
        head = encode_request_head(method, target, fields, len(body))
        answer = connection.send(head, body, request_id, method == "HEAD")
        try:
            return await answer
        except ServerConnectionLost as error:
            raise CallFailure(
                Verdict.MAY_HAVE_RUN,
                "answer-incomplete",
                str(error),
                502,
            ) from error
        except asyncio.CancelledError:
            connection.close()
            raise
        finally:
            self._release(connection)

    async def is_listening(self) -> bool:
        """Return whether the server accepts connections; only a refused connection counts as no."""
        try:
            connection = await self._connect()
        except CallFailure as failure:
            return not isinstance(failure.__cause__, ConnectionRefusedError)
        self._release(connection)
        return True

    async def _acquire(self, request_id: str, at_most_once: bool) -> ServerConnection:
        connection = self._take_idle(request_id, at_most_once)
        return connection if connection is not None else await self._connect()

    def _take_idle(self, request_id: str, at_most_once: bool) -> ServerConnection | None:
        """Return the idle connection that was used last, or None if none is suitable."""
        now = time.monotonic()
        unsuitable: list[ServerConnection] = []
        taken: ServerConnection | None = None
        while self._idle and taken is None:
            connection = self._idle.pop()
            limit = connection.idle_limit_seconds - IDLE_MARGIN_SECONDS
            if limit == float("inf"):
                limit = DEFAULT_IDLE_TIMEOUT_SECONDS
            if at_most_once:
                limit = min(limit, AT_MOST_ONCE_MAX_IDLE_SECONDS)
            if not connection.is_reusable or now - connection.idle_since >= limit:
                connection.close()
                self._open.discard(connection)
            elif request_id and connection.has_failed(request_id):
                unsuitable.append(connection)
            else:
                taken = connection
        self._idle.extend(reversed(unsuitable))
        return taken

    async def _connect(self) -> ServerConnection:
        began = time.monotonic()
        try:
            try:
                transport, connection = await self._open_connection()
            except TimeoutError:
                delay_seconds = time.monotonic() - began - CONNECT_TIMEOUT_SECONDS
                if delay_seconds <= MAX_TIMER_DELAY_SECONDS:
                    raise
                transport, connection = await self._open_connection()
        except (OSError, TimeoutError) as error:
            raise CallFailure(
                Verdict.NOT_RUN, "backend-unreachable", f"cannot connect to {self.address}"
            ) from error
        connected_socket = transport.get_extra_info("socket")
        if connected_socket is not None:
            connected_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            enable_keepalive(connected_socket)
        self._open.add(connection)
        return connection

    async def _open_connection(self) -> tuple[asyncio.Transport, ServerConnection]:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            return await asyncio.get_running_loop().create_connection(
                lambda: ServerConnection(self._id_field, self._captured_fields, self._memory),
                self.address.host,
                self.address.port,
            )

    def _release(self, connection: ServerConnection) -> None:
        self.unmatched_response_count += connection.unmatched_response_count
        connection.unmatched_response_count = 0
        if connection.is_reusable:
            self._idle.append(connection)
            return
        connection.close()
        self._open.discard(connection)
