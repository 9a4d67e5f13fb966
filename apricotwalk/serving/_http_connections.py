"""Open connections of an HTTP listener and assembly of the requests received on them."""

import time
from collections.abc import Callable
from typing import cast

from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
    HTTP1ServerConnection,
)
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from apricotwalk.serving._request import Request, new_request

__all__ = ["HttpConnections"]

BODY_TIMEOUT_SECONDS = 10.0
IDLE_TIMEOUT_SECONDS = 3600.0
SWEEP_INTERVAL_SECONDS = 60.0

RequestCallback = Callable[[Request], None]


class HttpConnections(HTTPServerConnectionDelegate):
    """Open connections of a listener, which pass on each request when its body is complete.

    Parameters
    ----------
    receive : callable
        Called with each complete request, in the order of arrival.
    max_body_bytes : int
        Size limit for the body of a request; a larger one is rejected.

    Notes
    -----
    Bodies are not parsed, so a malformed form is left to the backend server to reject.  The
    time limit for the head of a request is enforced by a sweep when connections are accepted,
    because tornado's own limit would need a timer and an event loop iteration per request.
    """

    def __init__(self, receive: RequestCallback, max_body_bytes: int) -> None:
        self._receive = receive
        self._parameters = HTTP1ConnectionParameters(
            max_body_size=max_body_bytes, body_timeout=BODY_TIMEOUT_SECONDS
        )
        self._open: set[HTTP1ServerConnection] = set()
        self._idle_since: dict[HTTP1ServerConnection, float] = {}
        self._next_sweep = 0.0

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def serve(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve the requests on a connection until it is closed."""
        self._sweep()
        connection = HTTP1ServerConnection(stream, self._parameters, address)
        self._open.add(connection)
        connection.start_serving(self)

    def start_draining(self) -> None:
        """Close each connection after the answer to its next request."""
        self._parameters.no_keep_alive = True

    async def close(self) -> None:
        """Close every connection."""
        while self._open:
            connection = next(iter(self._open))
            await connection.close()
            self._open.discard(connection)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that assembles one request."""
        connection = cast(HTTP1ServerConnection, server_conn)
        self._idle_since[connection] = time.monotonic()
        return _RequestCollector(self, connection, cast(HTTP1Connection, request_conn))

    def on_close(self, server_conn: object) -> None:
        """Remove a connection that has been closed."""
        connection = cast(HTTP1ServerConnection, server_conn)
        self._open.discard(connection)
        self._idle_since.pop(connection, None)

    def handle_head(self, connection: HTTP1ServerConnection) -> None:
        """Record that the head of a request has arrived, so that the connection is not idle."""
        self._idle_since.pop(connection, None)

    def handle_request(self, request: Request) -> None:
        """Pass on a complete request."""
        self._receive(request)

    def _sweep(self) -> None:
        """Close the connections on which no request has arrived for an hour."""
        now = time.monotonic()
        if now < self._next_sweep:
            return
        self._next_sweep = now + SWEEP_INTERVAL_SECONDS
        for connection, since in list(self._idle_since.items()):
            if now - since > IDLE_TIMEOUT_SECONDS:
                connection.stream.close()


class _RequestCollector(HTTPMessageDelegate):
    def __init__(
        self,
        connections: HttpConnections,
        server_connection: HTTP1ServerConnection,
        connection: HTTP1Connection,
    ) -> None:
        self._connections = connections
        self._server_connection = server_connection
        self._connection = connection
        self._request: Request | None = None
        self._chunks: list[bytes] = []

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        self._connections.handle_head(self._server_connection)
        self._request = new_request(self._connection, cast(RequestStartLine, start_line), headers)

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        assert self._request is not None
        self._request.body = b"".join(self._chunks)
        self._connections.handle_request(self._request)

    def on_connection_close(self) -> None:
        self._chunks.clear()
