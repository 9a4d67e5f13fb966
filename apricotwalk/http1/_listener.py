"""Listener for callers, who may send further requests before the first is answered."""

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

# Requests of one connection that may be in work; further ones stay unread.
LARGEST_PIPELINE = 32
# Callers that open connections while the event loop is busy; a full queue costs them seconds.
BACKLOG = 1024
# Limits are given in whole seconds, so half a second of lateness does not matter.
SWEEP_SECONDS = 0.5
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
    """One connection; requests run at once and are answered in order."""

    def __init__(self, owner: "HttpListener") -> None:
        self._owner = owner
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
        self._arrived = 0.0
        self._refusal = 0
        self._is_refused = False

    @property
    def is_busy(self) -> bool:
        return bool(self._exchanges)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._owner.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._owner.connections.discard(self)
        self._is_closing = True
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()

    def data_received(self, data: bytes) -> None:
        if self._is_closing or self._is_refused:
            return
        if not self.head_since:
            self.head_since = time.monotonic()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(BAD_REQUEST)
        except httptools.HttpParserError as error:
            if not self._is_closing:
                logger.bind(detail=str(error)).info("malformed-request")
                self._refuse(self._refusal or BAD_REQUEST)

    def on_message_begin(self) -> None:
        self._arrived = time.monotonic()
        self.head_since = self._arrived
        self._target = b""
        self._fields = []
        self._values = {}
        self._head_bytes = 0
        self._body = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value) + 4)
        lowered = name.lower()
        if lowered in self._owner.captured_fields:
            if lowered in self._values and lowered in self._owner.single_fields:
                self._stop(BAD_REQUEST)
            self._values[lowered] = value.decode("latin1")
        if lowered in CONNECTION_FIELDS:
            if lowered == b"expect" and value.lower() == b"100-continue":
                self._values[lowered] = "100-continue"
            return
        if lowered not in self._owner.dropped_fields:
            self._fields.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        self.head_since = 0.0
        if b"host" not in self._values and b"host" in self._owner.single_fields:
            self._stop(BAD_REQUEST)
        if b"expect" in self._values and self._transport is not None and not self._exchanges:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._owner.limits.largest_body_bytes:
            self._stop(BODY_TOO_LARGE)
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
            arrived_at=self._arrived,
        )
        self._body = []
        self.head_since = 0.0
        exchange = _Exchange(self._parser.should_keep_alive(), request.method == "HEAD")
        self._exchanges.append(exchange)
        loop = asyncio.get_running_loop()
        exchange.task = loop.create_task(self._answer(exchange, request))
        if len(self._exchanges) >= LARGEST_PIPELINE and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()

    async def _answer(self, exchange: _Exchange, request: HttpRequest) -> None:
        try:
            exchange.response = await self._owner.handler(request)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            logger.opt(exception=error).error("request {} failed", request.target)
            exchange.response = HttpResponse(INTERNAL_ERROR)
        self._flush()

    def _flush(self) -> None:
        """Write the answers that are due, in the order of their requests."""
        transport = self._transport
        if transport is None or self._is_closing:
            return
        parts: list[bytes] = []
        while self._exchanges and (response := self._exchanges[0].response) is not None:
            exchange = self._exchanges.popleft()
            closes = response.closes or not exchange.keeps_alive
            closes = closes or (self._owner.is_draining and not self._exchanges)
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
            self._end()
        elif self._is_paused and len(self._exchanges) < LARGEST_PIPELINE:
            self._is_paused = False
            transport.resume_reading()

    def _end(self) -> None:
        """Close; requests behind the last answer count as not read, so nothing runs for them."""
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        if self._transport is not None:
            self._transport.close()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._owner.limits.largest_head_bytes:
            self._stop(HEAD_TOO_LARGE)

    def _stop(self, status: int) -> None:
        """Leave the parser; the status is sent once it has returned."""
        self._refusal = status
        raise ValueError(f"request refused with {status}")

    def _refuse(self, status: int) -> None:
        """Refuse what cannot be read, behind the answers that are still due."""
        self._refusal = 0
        self._is_refused = True
        self._exchanges.append(_Exchange(False, False, None, HttpResponse(status, closes=True)))
        self._flush()

    def close_if_idle(self, now: float) -> None:
        """Close a connection that has been idle for too long or does not finish a head."""
        limits = self._owner.limits
        if self._is_closing or self._exchanges:
            return
        if self.head_since:
            if now - self.head_since > limits.head_seconds:
                self._refuse(TIMEOUT)
        elif now - self.idle_since > limits.idle_seconds:
            self._is_closing = True
            self._end()

    def start_draining(self) -> None:
        """Close unless something has been read or is being answered."""
        if not self._is_closing and not self._exchanges and not self.head_since:
            self._is_closing = True
            self._end()


class HttpListener(Service):
    """Serves HTTP/1.1 on one address.

    Parameters
    ----------
    address : Address
        Where to listen.
    handler : callable
        Returns the answer to a request.
    taken_fields : iterable of str
        Fields whose values the handler needs.
    dropped_fields : iterable of str
        Fields that are not passed on.
    needs_host : bool
        Whether a request without a host is refused.
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
        self.single_fields = self.captured_fields if requires_host else frozenset()
        self.limits = HttpLimits()
        self.connections: set[_CallerConnection] = set()
        self.is_draining = False
        self._server: asyncio.Server | None = None
        self._supervisor = Supervisor(f"listener {address}")

    @property
    def is_busy(self) -> bool:
        """Whether any request is in work."""
        return any(connection.is_busy for connection in self.connections)

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallerConnection(self), self._address.host, self._address.port, backlog=BACKLOG
        )
        self._supervisor.run_loop("sweep", self._sweep)

    def start_draining(self) -> None:
        """Close each connection with its next answer from now on."""
        self.is_draining = True

    def close_idle(self) -> None:
        """Close the connections on which nothing is being read or answered."""
        for connection in list(self.connections):
            connection.start_draining()

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def close(self) -> None:
        """Stop listening and close every connection."""
        self.stop_listening()
        self.close_idle()
        await self._supervisor.close()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            now = time.monotonic()
            for connection in list(self.connections):
                connection.close_if_idle(now)
