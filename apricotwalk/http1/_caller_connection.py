"""Connection of a caller to an HTTP/1.1 listener."""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol, cast

import httptools
from loguru import logger

from apricotwalk.core import SMALL_BODY_BYTES, BodyMemory, CountedBody
from apricotwalk.http1._delivery import count_undelivered_bytes
from apricotwalk.http1._head import (
    CONNECTION_FIELDS,
    encode_field,
    encode_response_head,
    split_absolute_form,
)
from apricotwalk.http1._messages import HttpLimits, HttpRequest, HttpResponse

__all__ = ["CallerConnection", "ConnectionOwner", "RequestHandler"]

# Reading from a connection pauses while this number of its requests is in progress.
MAX_PIPELINED_REQUEST_COUNT = 32
# A body waits this long for memory before its request is refused; most bodies that it waits for
# belong to requests that end within this time.
BODY_WAIT_SECONDS = 5.0
# Callers may return to another node at once, but a large body needs memory that is freed slowly.
BODY_RETRY_AFTER_SECONDS = 1.0
# A caller closes its side within a round trip after it has received the last answer.
LINGER_SECONDS = 1.0
# A caller that reads nothing for this long has left or never reads the rest.
STALLED_WRITE_SECONDS = 10.0
BAD_REQUEST = 400
TIMEOUT = 408
BODY_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
INTERNAL_ERROR = 500
UNAVAILABLE = 503

RequestHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class _Phase(Enum):
    """Progress of a connection; the phases follow one another in this order."""

    READING = auto()  # requests are read
    FINISHING = auto()  # what is received is dropped, and the pending requests are answered
    LINGERING = auto()  # the node has closed its side and waits until the caller does, too


@dataclass(slots=True, eq=False)
class _Exchange:
    is_head: bool
    task: "asyncio.Task[None] | None" = None
    response: HttpResponse | None = None


class ConnectionOwner(Protocol):
    """The listener, as far as its connections need it."""

    handler: RequestHandler
    captured_fields: frozenset[bytes]
    dropped_fields: frozenset[bytes]
    unique_fields: frozenset[bytes]
    limits: HttpLimits
    memory: BodyMemory
    is_draining: bool
    connections: "set[CallerConnection]"


class CallerConnection(asyncio.Protocol):
    """Connection of a caller; requests run concurrently and are answered in order.

    Parameters
    ----------
    owner : ConnectionOwner
        Listener that accepted the connection.

    Notes
    -----
    A connection never closes while the caller may still have to read an answer.  The node closes
    its own side after the last answer and drops what the caller sends until it closes too, because
    closing with unread bytes resets the connection, which discards answers that are in transit.  It
    does so until the caller has acknowledged the last answer, because a caller that has not read it
    yet can still send requests, and because the machine can go away after the process.
    Requests behind the last answer count as unread, so callers send them again elsewhere.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges: deque[_Exchange] = deque()
        self._phase = _Phase.READING
        self._is_paused = False
        self._last_received_at = self.idle_since = time.monotonic()
        self.head_since = 0.0
        self._unsent_bytes = 0
        self._written_at = self.idle_since
        self._target = b""
        self._fields: list[bytes] = []
        self._values: dict[bytes, str] = {}
        self._head_bytes = 0
        self._head_began = False
        self._overhead_bytes = 0
        self._in_body = False
        self._content_length: int | None = None
        self._body = bytearray()
        self._waits_for_memory_since = 0.0
        self._arrived_at = 0.0
        self._rejection_status = 0

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes of answers that the kernel has not taken yet."""
        transport = self._transport
        return transport.get_write_buffer_size() if transport is not None else 0

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or the caller may not have all of its answer."""
        is_lingering = self._phase is _Phase.LINGERING
        return bool(self._exchanges) or is_lingering or self.unsent_bytes > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)
        self._owner.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the requests in progress; called by the event loop."""
        self._owner.connections.discard(self)
        self._phase = _Phase.LINGERING
        self._transport = None
        self._drop_body()
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()

    def data_received(self, data: bytes) -> None:
        """Parse received data; called by the event loop."""
        if self._phase is not _Phase.READING:
            return
        self._last_received_at = time.monotonic()
        if not self.head_since and not self._in_body:
            self.head_since = self._last_received_at
        self._head_began = False
        length_before = len(self._body)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(BAD_REQUEST)
        except httptools.HttpParserError as error:
            if self._phase is _Phase.READING:
                logger.bind(detail=str(error)).info("malformed-request")
                self._reject(self._rejection_status or BAD_REQUEST)
        else:
            if self._head_began or len(self._body) > length_before:
                self._overhead_bytes = 0
            else:
                self._add_overhead(len(data))

    def _add_overhead(self, count: int) -> None:
        """Reject a request whose head or trailer does not end."""
        if not self.head_since and not self._in_body:
            self._overhead_bytes = 0
            return
        self._overhead_bytes += count
        if self._overhead_bytes > self._owner.limits.max_head_bytes:
            self._reject(HEAD_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Reset the state for a new request; called by the parser."""
        if self._phase is not _Phase.READING:
            raise ValueError("no further request is read from this connection")
        self._arrived_at = time.monotonic()
        self.head_since = self._arrived_at
        self._head_began = True
        self._target = b""
        self._fields = []
        self._values = {}
        self._head_bytes = 0
        self._content_length = None
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target; called by the parser."""
        self._target += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field and ignore a trailer field; called by the parser."""
        self._add_head_bytes(len(name) + len(value) + 4)
        if self._in_body:
            return
        lower_name = name.lower()
        if lower_name in self._owner.captured_fields:
            if lower_name in self._values and lower_name in self._owner.unique_fields:
                self._abort_parsing(BAD_REQUEST)
            self._values[lower_name] = value.decode("latin1")
        if lower_name in CONNECTION_FIELDS:
            if lower_name == b"expect" and value.lower() == b"100-continue":
                self._values[lower_name] = "100-continue"
            elif lower_name == b"content-length":
                self._content_length = int(value)
            return
        if lower_name not in self._owner.dropped_fields:
            self._fields.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Check the head and reserve memory for a large body; called by the parser."""
        self.head_since = 0.0
        self._in_body = True
        if b"host" not in self._values and b"host" in self._owner.unique_fields:
            self._abort_parsing(BAD_REQUEST)
        length = self._content_length or 0
        if length > self._owner.limits.max_body_bytes:
            self._abort_parsing(BODY_TOO_LARGE)
        if length > SMALL_BODY_BYTES:
            self._reserve_body(length)
        if not self._waits_for_memory_since:
            self._continue_body()

    def _reserve_body(self, length: int) -> None:
        memory = self._owner.memory
        if length > memory.max_bytes:
            self._log_refused_body(length)
            self._abort_parsing(UNAVAILABLE)
        body = CountedBody(memory)
        self._body = body
        if not memory.try_acquire(body, length):
            self._waits_for_memory_since = time.monotonic()
            memory.acquire_later(body, length, self._resume_body)
            self._update_reading()

    def _resume_body(self) -> None:
        if self._waits_for_memory_since:
            self._waits_for_memory_since = 0.0
            self._continue_body()
            self._update_reading()

    def _continue_body(self) -> None:
        """Ask the caller for the body if it waits for that."""
        if self._values.get(b"expect") != "100-continue" or self._exchanges:
            return
        if self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body; called by the parser."""
        length = len(self._body) + len(data)
        if length > self._owner.limits.max_body_bytes:
            self._abort_parsing(BODY_TOO_LARGE)
        if self._content_length is None and length > SMALL_BODY_BYTES:
            self._grow_body(length)
        self._body += data

    def _grow_body(self, length: int) -> None:
        """Count a body of unknown length in the memory for large bodies."""
        memory = self._owner.memory
        if not isinstance(self._body, CountedBody):
            body = CountedBody(memory)
            body += self._body
            self._body = body
            memory.add_growing(body, self._refuse_growing_body)
        if not memory.grow(self._body, length):
            self._log_refused_body(length)
            self._abort_parsing(UNAVAILABLE)

    def _refuse_growing_body(self) -> None:
        self._log_refused_body(len(self._body))
        self._reject(UNAVAILABLE)

    def _log_refused_body(self, length: int) -> None:
        logger.bind(bytes=length, max_bytes=self._owner.memory.max_bytes).warning("body-refused")

    def on_message_complete(self) -> None:
        """Start to answer a complete request; called by the parser."""
        if self._phase is not _Phase.READING:
            return
        target, authority = split_absolute_form(self._target.decode("latin1"))
        if authority is not None and b"host" in self._values:
            self._values[b"host"] = authority
        request = HttpRequest(
            method=self._parser.get_method().decode("latin1"),
            target=target,
            fields=b"".join(self._fields),
            values_by_name=self._values,
            body=self._take_body(),
            arrived_at=self._arrived_at,
        )
        self.head_since = 0.0
        self._in_body = False
        exchange = _Exchange(request.method == "HEAD")
        self._exchanges.append(exchange)
        exchange.task = asyncio.get_running_loop().create_task(self._answer(exchange, request))
        if not self._parser.should_keep_alive() or self._owner.is_draining:
            self._phase = _Phase.FINISHING
        if len(self._exchanges) >= MAX_PIPELINED_REQUEST_COUNT:
            self._update_reading()

    def _take_body(self) -> bytes | bytearray:
        body, self._body = self._body, bytearray()
        if not isinstance(body, CountedBody):
            return bytes(body)
        self._owner.memory.remove_growing(body)
        return body

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
        """Write the available responses in the order of their requests."""
        transport = self._transport
        if transport is None or self._phase is _Phase.LINGERING:
            return
        parts: list[bytes] = []
        while self._exchanges and (response := self._exchanges[0].response) is not None:
            exchange = self._exchanges.popleft()
            if response.closes:
                self._phase = _Phase.FINISHING
            closes = self._phase is _Phase.FINISHING and not self._exchanges
            parts.append(
                encode_response_head(response.status, response.fields, len(response.body), closes)
            )
            if exchange.is_head:
                continue
            if len(response.body) <= SMALL_BODY_BYTES:
                parts.append(bytes(response.body))
                continue
            transport.write(b"".join(parts))
            transport.write(response.body)
            parts = []
        if parts:
            transport.write(b"".join(parts))
        self.idle_since = time.monotonic()
        if self._phase is _Phase.FINISHING and not self._exchanges:
            self._linger()
        elif self._is_paused:
            self._update_reading()

    def _linger(self) -> None:
        """Close the node's side, and drop what the caller sends until it closes its own."""
        self._phase = _Phase.LINGERING
        self._drop_body()
        self._written_at = time.monotonic()
        self._update_reading()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write_eof()

    def _drop_body(self) -> None:
        self._waits_for_memory_since = 0.0
        if isinstance(self._body, CountedBody):
            self._owner.memory.stop_waiting(self._body)
            self._owner.memory.remove_growing(self._body)
        self._body = bytearray()

    def _update_reading(self) -> None:
        """Pause reading while too much is in progress; what is dropped is always read."""
        is_full = len(self._exchanges) >= MAX_PIPELINED_REQUEST_COUNT
        should_pause = self._phase is _Phase.READING and (
            is_full or bool(self._waits_for_memory_since)
        )
        if should_pause == self._is_paused or self._transport is None:
            return
        if self._transport.is_closing():
            return
        self._is_paused = should_pause
        if should_pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._owner.limits.max_head_bytes:
            self._abort_parsing(HEAD_TOO_LARGE)

    def _abort_parsing(self, status: int) -> None:
        """Raise out of the parser; `data_received` then sends the status."""
        self._rejection_status = status
        raise ValueError(f"request refused with {status}")

    def _reject(self, status: int) -> None:
        """Queue an error response behind the pending ones; nothing more is read afterwards."""
        if self._phase is not _Phase.READING:
            return
        self._rejection_status = 0
        self._drop_body()
        self._phase = _Phase.FINISHING
        fields = b""
        if status == UNAVAILABLE:
            fields = encode_field("Retry-After", f"{BODY_RETRY_AFTER_SECONDS:.2f}")
        response = HttpResponse(status, fields, closes=True)
        self._exchanges.append(_Exchange(False, None, response))
        self._flush()

    def enforce_timeouts(self, now: float) -> None:
        """End what takes too long: an idle connection, an incomplete request, a stalled answer."""
        unsent_bytes = self.unsent_bytes
        if unsent_bytes:
            self._abort_if_stalled(unsent_bytes, now)
        elif self._phase is _Phase.LINGERING:
            self._end_lingering(now)
        elif self._phase is _Phase.READING and not self._exchanges:
            self._enforce_reading_limits(now)

    def _end_lingering(self, now: float) -> None:
        """Close if the caller has had the last answer for a while and does not close itself."""
        if self._transport is None:
            return
        undelivered_bytes = count_undelivered_bytes(self._transport)
        if undelivered_bytes:
            self._abort_if_stalled(undelivered_bytes, now)
        elif now - self._written_at > LINGER_SECONDS:
            self.close_if_written()

    def _abort_if_stalled(self, unsent_bytes: int, now: float) -> None:
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._written_at = now
        elif now - self._written_at > STALLED_WRITE_SECONDS and self._transport is not None:
            logger.bind(bytes=unsent_bytes).warning("caller-reads-nothing")
            self._transport.abort()

    def _enforce_reading_limits(self, now: float) -> None:
        limits = self._owner.limits
        if self._waits_for_memory_since:
            if now - self._waits_for_memory_since > BODY_WAIT_SECONDS:
                self._log_refused_body(self._content_length or 0)
                self._reject(UNAVAILABLE)
        elif self.head_since:
            if now - self.head_since > limits.head_seconds:
                self._reject(TIMEOUT)
        elif self._in_body:
            if now - self._last_received_at > limits.idle_seconds:
                self._reject(TIMEOUT)
        elif now - self.idle_since > limits.idle_seconds:
            self._linger()

    def start_draining(self) -> None:
        """Close after the pending requests, or after the next one if none is pending."""
        if self._phase is _Phase.READING and self._exchanges:
            self._phase = _Phase.FINISHING
            self._drop_body()
            self._update_reading()

    def close_if_written(self) -> None:
        """Close without waiting for the caller if the kernel has taken the last answer."""
        is_written = self._phase is _Phase.LINGERING and not self.unsent_bytes
        if is_written and self._transport is not None:
            self._transport.close()

    def close_if_unused(self) -> None:
        """Close unless a request is in progress, and refuse one that is not complete yet."""
        if self._phase is not _Phase.READING or self._exchanges:
            return
        if self.head_since or self._in_body:
            self._reject(UNAVAILABLE)
        else:
            self._linger()
