"""HTTP/1.1 listener with support for pipelined requests."""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import cast

import httptools
from loguru import logger

from apricotwalk.core import Service, Supervisor
from apricotwalk.http1._head import CONNECTION_FIELDS, encode_response
from apricotwalk.http1._messages import HttpLimits, HttpRequest, HttpResponse
from apricotwalk.settings import Address

__all__ = ["HttpListener"]

# Reading from a connection pauses while this number of its requests is in progress.
MAX_PIPELINED_REQUEST_COUNT = 32
# A connection attempt that finds the accept queue full, because the event loop is busy, is
# delayed by seconds.
BACKLOG_CONNECTION_COUNT = 1024
# Time-outs are configured in whole seconds, so a delay of half a second is acceptable.
SWEEP_INTERVAL_SECONDS = 0.5
BAD_REQUEST = 400
TIMEOUT = 408
BODY_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
INTERNAL_ERROR = 500


RequestHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


@dataclass(slots=True, eq=False)
class _Exchange:
    keeps_alive: bool
    is_head: bool
    task: "asyncio.Task[None] | None" = None
    response: HttpResponse | None = field(default=None)


class _CallerConnection(asyncio.Protocol):
    """Connection of a caller; requests run concurrently and are answered in order."""

    def __init__(self, listener: "HttpListener") -> None:
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges: deque[_Exchange] = deque()
        self._is_closing = False
        self._is_paused = False
        self.idle_since = time.monotonic()
        self.head_since = 0.0
        self._target = b""
        self._fields: list[bytes] = []
        self._values: dict[bytes, str] = {}
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._arrived_at = 0.0
        self._rejection_status = 0
        self._is_rejected = False

    @property
    def is_busy(self) -> bool:
        return bool(self._exchanges)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._listener.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._listener.connections.discard(self)
        self._is_closing = True
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()

    def data_received(self, data: bytes) -> None:
        if self._is_closing or self._is_rejected:
            return
        if not self.head_since:
            self.head_since = time.monotonic()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(BAD_REQUEST)
        except httptools.HttpParserError as error:
            if not self._is_closing:
                logger.bind(detail=str(error)).info("malformed-request")
                self._reject(self._rejection_status or BAD_REQUEST)

    def on_message_begin(self) -> None:
        self._arrived_at = time.monotonic()
        self.head_since = self._arrived_at
        self._target = b""
        self._fields = []
        self._values = {}
        self._head_bytes = 0
        self._body = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._add_head_bytes(len(name) + len(value) + 4)
        lower_name = name.lower()
        if lower_name in self._listener.captured_fields:
            if lower_name in self._values and lower_name in self._listener.unique_fields:
                self._abort_parsing(BAD_REQUEST)
            self._values[lower_name] = value.decode("latin1")
        if lower_name in CONNECTION_FIELDS:
            if lower_name == b"expect" and value.lower() == b"100-continue":
                self._values[lower_name] = "100-continue"
            return
        if lower_name not in self._listener.dropped_fields:
            self._fields.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        self.head_since = 0.0
        if b"host" not in self._values and b"host" in self._listener.unique_fields:
            self._abort_parsing(BAD_REQUEST)
        if b"expect" in self._values and self._transport is not None and not self._exchanges:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._listener.limits.max_body_bytes:
            self._abort_parsing(BODY_TOO_LARGE)
        self._body.append(data)

    def on_message_complete(self) -> None:
        if self._is_closing:
            return
        request = HttpRequest(
            method=self._parser.get_method().decode("latin1"),
            target=self._target.decode("latin1"),
            fields=b"".join(self._fields),
            values_by_name=self._values,
            body=b"".join(self._body),
            arrived_at=self._arrived_at,
        )
        self._body = []
        self.head_since = 0.0
        exchange = _Exchange(self._parser.should_keep_alive(), request.method == "HEAD")
        self._exchanges.append(exchange)
        loop = asyncio.get_running_loop()
        exchange.task = loop.create_task(self._answer(exchange, request))
        if len(self._exchanges) >= MAX_PIPELINED_REQUEST_COUNT and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()

    async def _answer(self, exchange: _Exchange, request: HttpRequest) -> None:
        try:
            exchange.response = await self._listener.handler(request)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            logger.opt(exception=error).error("request {} failed", request.target)
            exchange.response = HttpResponse(INTERNAL_ERROR)
        self._flush()

    def _flush(self) -> None:
        """Write the available responses in the order of their requests."""
        transport = self._transport
        if transport is None or self._is_closing:
            return
        parts: list[bytes] = []
        while self._exchanges and (response := self._exchanges[0].response) is not None:
            exchange = self._exchanges.popleft()
            closes = response.closes or not exchange.keeps_alive
            closes = closes or (self._listener.is_draining and not self._exchanges)
            parts.append(
                encode_response(
                    response.status, response.fields, response.body, closes, exchange.is_head
                )
            )
            if closes:
                self._is_closing = True
                break
        if parts:
            transport.write(b"".join(parts))
            self.idle_since = time.monotonic()
        if self._is_closing:
            self._close()
        elif self._is_paused and len(self._exchanges) < MAX_PIPELINED_REQUEST_COUNT:
            self._is_paused = False
            transport.resume_reading()

    def _close(self) -> None:
        """Close after the last response; requests behind it count as unread and are cancelled."""
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        if self._transport is not None:
            self._transport.close()

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._listener.limits.max_head_bytes:
            self._abort_parsing(HEAD_TOO_LARGE)

    def _abort_parsing(self, status: int) -> None:
        """Raise out of the parser; `data_received` then sends the status."""
        self._rejection_status = status
        raise ValueError(f"request refused with {status}")

    def _reject(self, status: int) -> None:
        """Queue an error response behind the pending ones; nothing more is read afterwards."""
        self._rejection_status = 0
        self._is_rejected = True
        self._exchanges.append(_Exchange(False, False, None, HttpResponse(status, closes=True)))
        self._flush()

    def enforce_timeouts(self, now: float) -> None:
        """Close the connection if it is idle, or its request head incomplete, for too long."""
        limits = self._listener.limits
        if self._is_closing or self._exchanges:
            return
        if self.head_since:
            if now - self.head_since > limits.head_seconds:
                self._reject(TIMEOUT)
        elif now - self.idle_since > limits.idle_seconds:
            self._is_closing = True
            self._close()

    def close_if_unused(self) -> None:
        """Close unless a request head is being read or a request is in progress."""
        if not self._is_closing and not self._exchanges and not self.head_since:
            self._is_closing = True
            self._close()


class HttpListener(Service):
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
    """

    def __init__(
        self,
        address: Address,
        handler: RequestHandler,
        captured_fields: tuple[str, ...] = (),
        dropped_fields: tuple[str, ...] = (),
        requires_host: bool = False,
    ) -> None:
        self._address = address
        self.handler = handler
        self.captured_fields = frozenset(name.lower().encode() for name in captured_fields)
        self.dropped_fields = frozenset(name.lower().encode() for name in dropped_fields)
        self.unique_fields = self.captured_fields if requires_host else frozenset()
        self.limits = HttpLimits()
        self.connections: set[_CallerConnection] = set()
        self.is_draining = False
        self._server: asyncio.Server | None = None
        self._supervisor = Supervisor(f"listener {address}")

    @property
    def is_busy(self) -> bool:
        """Whether any request is in progress."""
        return any(connection.is_busy for connection in self.connections)

    async def start(self) -> None:
        """Start to accept connections and to enforce the time-outs."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallerConnection(self),
            self._address.host,
            self._address.port,
            backlog=BACKLOG_CONNECTION_COUNT,
        )
        self._supervisor.run_loop("sweep", self._sweep)

    def start_draining(self) -> None:
        """Close each connection after its last pending response from now on."""
        self.is_draining = True

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or is in progress."""
        for connection in list(self.connections):
            connection.close_if_unused()

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones are kept."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def close(self) -> None:
        """Stop listening and close the idle connections."""
        self.stop_listening()
        self.close_idle()
        await self._supervisor.close()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            now = time.monotonic()
            for connection in list(self.connections):
                connection.enforce_timeouts(now)
