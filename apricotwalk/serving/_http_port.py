"""HTTP listener that handles each request in a separate task."""

import asyncio
import socket
import time
from abc import abstractmethod
from collections.abc import Callable
from contextlib import suppress

from loguru import logger
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError
from tornado.netutil import add_accept_handler, bind_sockets

from apricotwalk.core import (
    ALL_ON,
    CallFailure,
    Mechanism,
    MechanismSwitches,
    Service,
    Verdict,
)
from apricotwalk.serving._answers import Answer, answer_from_failure
from apricotwalk.serving._error_response_stream import ErrorResponseStream
from apricotwalk.serving._headers import VERDICT_HEADER, encode_head, outgoing_headers
from apricotwalk.serving._http_connections import HttpConnections
from apricotwalk.serving._request import Request
from apricotwalk.settings import Address

__all__ = ["HttpPort"]

DRAIN_TIMEOUT_SECONDS = 120.0
DRAIN_IDLE_TIMEOUT_SECONDS = 1.0
DRAIN_CHECK_INTERVAL_SECONDS = 0.02
ACCEPT_BACKLOG = 1024
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class HttpPort(Service):
    """HTTP listener on one address, whose subclasses answer the requests.

    Parameters
    ----------
    address : Address
        Address to listen on.
    max_body_bytes : int
        Size limit for the body of a request; a larger one is rejected.
    switches : MechanismSwitches
        Mechanisms that are enabled.
    """

    def __init__(
        self, address: Address, max_body_bytes: int, switches: MechanismSwitches = ALL_ON
    ) -> None:
        self._address = address
        self._switches = switches
        self._connections = HttpConnections(self._receive, max_body_bytes)
        self._tasks: set[asyncio.Task[None]] = set()
        self._sockets: list[socket.socket] = []
        self._stop_accepting: list[Callable[[], None]] = []
        self.is_draining = False

    @abstractmethod
    async def answer(self, request: Request) -> Answer:
        """Return the answer to a request.

        Raises
        ------
        CallFailure
            If the request failed; the caller receives an error response with the verdict.
        """

    async def start(self) -> None:
        """Start to accept connections."""
        self._sockets = bind_sockets(self._address.port, self._address.host, backlog=ACCEPT_BACKLOG)
        self._stop_accepting = [add_accept_handler(s, self._accept) for s in self._sockets]

    def start_draining(self) -> None:
        """Close each connection after its next answer, which contains ``Connection: close``."""
        self.is_draining = True
        self._connections.start_draining()

    async def close(self) -> None:
        """Stop listening, complete the requests in flight and close the connections.

        Notes
        -----
        Connections that the operating system has already accepted are served before the
        listening sockets are closed.  Connections that are still open when no request has
        been in flight for 1 s are closed.  After 120 s, all connections are closed.
        """
        self.start_draining()
        self._close_listeners()
        if self._switches.is_on(Mechanism.GRACEFUL_STOP):
            await self._finish_requests()
        await self._connections.close()

    def _accept(self, connection: socket.socket, address: tuple[str, int]) -> None:
        stream = ErrorResponseStream(connection)
        stream.set_nodelay(True)
        self._connections.serve(stream, address)

    def _close_listeners(self) -> None:
        for stop in self._stop_accepting:
            stop()
        for listener in self._sockets:
            with suppress(BlockingIOError, ConnectionError):
                while True:
                    self._accept(*listener.accept())
            listener.close()
        self._stop_accepting = []
        self._sockets = []

    async def _finish_requests(self) -> None:
        stop_at = time.monotonic() + DRAIN_TIMEOUT_SECONDS
        idle_since = time.monotonic()
        while time.monotonic() < stop_at:
            now = time.monotonic()
            if self._tasks:
                idle_since = now
            if not len(self._connections) or now - idle_since > DRAIN_IDLE_TIMEOUT_SECONDS:
                return
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_SECONDS)

    def _receive(self, request: Request) -> None:
        task = asyncio.create_task(self._serve(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        request.connection.set_close_callback(lambda: _cancel(task))

    async def _serve(self, request: Request) -> None:
        try:
            answer = await self.answer(request)
        except CallFailure as failure:
            answer = answer_from_failure(failure)
        except Exception as error:
            logger.opt(exception=error).error("request {} failed", request.path)
            answer = answer_from_failure(
                CallFailure(Verdict.MAY_HAVE_RUN, "internal-error", "see the node's log", 500)
            )
        await self._write(request, answer)

    async def _write(self, request: Request, answer: Answer) -> None:
        connection = request.connection
        fields = [*answer.headers, (VERDICT_HEADER, answer.verdict.value)]
        if self.is_draining:
            fields.append(("Connection", "close"))
        fields.append(("Content-Length", str(len(answer.body))))
        try:
            if _has_plain_head(request, answer):
                head = encode_head(f"HTTP/1.1 {answer.status} -", fields)
                await connection.stream.write(head + answer.body)
                connection.finish()
            else:
                start_line = ResponseStartLine("HTTP/1.1", answer.status, "-")
                headers = outgoing_headers(fields)
                written = connection.write_headers(start_line, headers, answer.body)
                connection.finish()
                await written
            if self.is_draining:
                connection.close()
        except StreamClosedError:
            return


def _has_plain_head(request: Request, answer: Answer) -> bool:
    """Return whether the head of the answer does not depend on the request."""
    if request.version != "HTTP/1.1" or request.method == "HEAD":
        return False
    return answer.status not in STATUSES_WITHOUT_BODY and "Connection" not in request.headers


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
