"""Kept connections to the backend server beside the node."""

import asyncio
import socket
import time
from collections import deque

from apricotwalk.core import CallFailure, Service, Verdict
from apricotwalk.http1 import (
    ServerAnswer,
    ServerConnection,
    ServerConnectionLost,
    encode_request,
    watch_transport,
)
from apricotwalk.settings import Address

__all__ = ["BackendPool"]

# The server is on the same machine; a connection that takes longer finds nobody.
CONNECT_TIMEOUT_SECONDS = 0.3
# A connection is not used in the last part of the idle time that the server grants it.
IDLE_MARGIN_SECONDS = 1.0
# Idle time of servers that state none.
DEFAULT_IDLE_SECONDS = 4.0
# Only requests that may be repeated use connections idle for longer, because the server may
# have dropped them without notice.
AT_MOST_ONCE_IDLE_SECONDS = 2.0


class BackendPool(Service):
    """Sends requests to one backend server.

    Parameters
    ----------
    address : Address
        Where it listens.
    id_field : str
        Field that identifies a request and is repeated in its answer.
    taken_fields : tuple of str
        Fields of answers whose values are needed.
    """

    def __init__(self, address: Address, id_field: str, taken_fields: tuple[str, ...]) -> None:
        self.address = address
        self._id_field = id_field.lower().encode()
        self._taken = frozenset(name.lower().encode() for name in taken_fields)
        self._idle: deque[ServerConnection] = deque()
        self._open: set[ServerConnection] = set()
        self.strays = 0

    async def start(self) -> None:
        """Do nothing; connections open on demand."""

    async def close(self) -> None:
        """Close every connection."""
        for connection in list(self._open):
            connection.close()
        self._open.clear()
        self._idle.clear()

    def drop_idle(self) -> None:
        """Close the connections that no request uses."""
        while self._idle:
            connection = self._idle.pop()
            connection.close()
            self._open.discard(connection)

    async def send(
        self,
        method: str,
        target: str,
        fields: bytes,
        body: bytes,
        request_id: str,
        at_most_once: bool,
    ) -> ServerAnswer:
        """Send a request and return its whole answer.

        Raises
        ------
        CallFailure
            ``NOT_RUN`` if nothing was written, ``MAY_HAVE_RUN`` if no whole answer came.
        """
        connection = await self._take(at_most_once)
        request = encode_request(method, target, fields, body)
        answer = connection.send(request, request_id, method == "HEAD")
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
            self._put_back(connection)

    async def is_listening(self) -> bool:
        """Return whether the server accepts connections; only a refusal counts as no."""
        try:
            connection = await self._connect()
        except CallFailure as failure:
            return not isinstance(failure.__cause__, ConnectionRefusedError)
        self._put_back(connection)
        return True

    async def _take(self, at_most_once: bool) -> ServerConnection:
        now = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            limit = connection.idle_limit_seconds - IDLE_MARGIN_SECONDS
            if limit == float("inf"):
                limit = DEFAULT_IDLE_SECONDS
            if at_most_once:
                limit = min(limit, AT_MOST_ONCE_IDLE_SECONDS)
            if connection.is_reusable and now - connection.idle_since < limit:
                return connection
            connection.close()
            self._open.discard(connection)
        return await self._connect()

    async def _connect(self) -> ServerConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                transport, connection = await loop.create_connection(
                    lambda: ServerConnection(self._id_field, self._taken),
                    self.address.host,
                    self.address.port,
                )
        except (OSError, TimeoutError) as error:
            raise CallFailure(
                Verdict.NOT_RUN, "backend-unreachable", f"cannot connect to {self.address}"
            ) from error
        handle = transport.get_extra_info("socket")
        if handle is not None:
            handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            watch_transport(handle)
        self._open.add(connection)
        return connection

    def _put_back(self, connection: ServerConnection) -> None:
        self.strays += connection.strays
        connection.strays = 0
        if connection.is_reusable:
            self._idle.append(connection)
            return
        connection.close()
        self._open.discard(connection)
