"""Open connections of an HTTP listener, and the requests that arrive on them."""

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
LONGEST_SILENCE_SECONDS = 3600.0
SWEEP_INTERVAL_SECONDS = 60.0

RequestCallback = Callable[[Request], None]


class HttpConnections(HTTPServerConnectionDelegate):
    """Hands over each request once its whole body has arrived.

    Parameters
    ----------
    receive : callable
        Takes a whole request; called in the order of arrival.
    largest_body_bytes : int
        A request with a larger body is refused.

    Notes
    -----
    Bodies are carried as they are, so a form that is malformed is the backend server's to judge.
    The time limit for a head is kept by a sweep as connections are accepted; tornado's own limit
    would cost each request a timer and a turn of the event loop.
    """

    def __init__(self, receive: RequestCallback, largest_body_bytes: int) -> None:
        self._receive = receive
        self._parameters = HTTP1ConnectionParameters(
            max_body_size=largest_body_bytes, body_timeout=BODY_TIMEOUT_SECONDS
        )
        self._open: set[HTTP1ServerConnection] = set()
        self._waiting_since: dict[HTTP1ServerConnection, float] = {}
        self._next_sweep = 0.0

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def serve(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve the requests on a connection until it ends."""
        self._sweep()
        connection = HTTP1ServerConnection(stream, self._parameters, address)
        self._open.add(connection)
        connection.start_serving(self)

    def start_draining(self) -> None:
        """End each connection with the answer to its next request."""
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
        """Return the collector of one request."""
        connection = cast(HTTP1ServerConnection, server_conn)
        self._waiting_since[connection] = time.monotonic()
        return _RequestCollector(self, connection, cast(HTTP1Connection, request_conn))

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has ended."""
        connection = cast(HTTP1ServerConnection, server_conn)
        self._open.discard(connection)
        self._waiting_since.pop(connection, None)

    def take_head(self, connection: HTTP1ServerConnection) -> None:
        """Take note that a request's head has arrived."""
        self._waiting_since.pop(connection, None)

    def take_request(self, request: Request) -> None:
        """Hand over a whole request."""
        self._receive(request)

    def _sweep(self) -> None:
        """Close the connections on which no request came for an hour."""
        now = time.monotonic()
        if now < self._next_sweep:
            return
        self._next_sweep = now + SWEEP_INTERVAL_SECONDS
        for connection, since in list(self._waiting_since.items()):
            if now - since > LONGEST_SILENCE_SECONDS:
                connection.stream.close()


class _RequestCollector(HTTPMessageDelegate):
    def __init__(
        self, owner: HttpConnections, server: HTTP1ServerConnection, connection: HTTP1Connection
    ) -> None:
        self._owner = owner
        self._server = server
        self._connection = connection
        self._request: Request | None = None
        self._chunks: list[bytes] = []

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        self._owner.take_head(self._server)
        self._request = new_request(self._connection, cast(RequestStartLine, start_line), headers)

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        assert self._request is not None
        self._request.body = b"".join(self._chunks)
        self._owner.take_request(self._request)

    def on_connection_close(self) -> None:
        self._chunks.clear()
