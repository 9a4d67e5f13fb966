"""One kept connection to a backend server."""

import asyncio
import time
from dataclasses import dataclass
from typing import cast

import httptools

from apricotwalk.core import ApricotwalkError
from apricotwalk.http1._head import CONNECTION_FIELDS

__all__ = ["ServerAnswer", "ServerConnection", "ServerConnectionLost"]

FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = (204, 304)


class ServerConnectionLost(ApricotwalkError):  # noqa: N818
    """A connection ended, or brought what is no answer, before the answer was whole."""


@dataclass(slots=True)
class ServerAnswer:
    """A whole answer of a backend server.

    Parameters
    ----------
    status : int
        HTTP status.
    fields : bytes
        End-to-end header fields, each ended by CR LF.
    values_by_name : dict of bytes to str
        Fields that were asked for, by lower-case name.
    body : bytes
        Whole body.
    """

    status: int
    fields: bytes
    values_by_name: dict[bytes, str]
    body: bytes


class ServerConnection(asyncio.Protocol):
    """Sends one request at a time and recognizes its answer.

    Parameters
    ----------
    id_field : bytes
        Lower-case name of the field in which an answer repeats the identifier of its request.
    taken_fields : frozenset of bytes
        Lower-case names of further fields whose values are needed.

    Notes
    -----
    An answer that repeats another identifier belongs to an earlier request; it is dropped, and
    the connection is used for nothing more after the answer that is due.  So it is after bytes
    behind a whole answer, after an answer that came before the request was written whole, and
    after one whose end is the end of the connection.
    """

    def __init__(self, id_field: bytes, captured_fields: frozenset[bytes]) -> None:
        self._id_field = id_field
        self._taken_fields = captured_fields | {id_field}
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer: asyncio.Future[ServerAnswer] | None = None
        self._request_id = ""
        self._is_head = False
        self._is_spoilt = False
        self._has_length = False
        self._in_message = False
        self._fields: list[bytes] = []
        self._values: dict[bytes, str] = {}
        self._body: list[bytes] = []
        self.is_closed = False
        self.idle_since = time.monotonic()
        self.idle_limit_seconds = float("inf")
        self.strays = 0

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        return not self.is_closed and not self._is_spoilt and self._answer is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)

    def send(
        self, request: bytes, request_id: str, is_head: bool
    ) -> "asyncio.Future[ServerAnswer]":
        """Write a request and return its answer to wait for.

        Raises
        ------
        ServerConnectionLost
            Set on the future, if no whole answer comes.
        """
        assert self._transport is not None
        self._answer = asyncio.get_running_loop().create_future()
        self._request_id = request_id
        self._is_head = is_head
        self._transport.write(request)
        return self._answer

    def close(self) -> None:
        """Close at once, which makes the server drop the request if it can."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Read an answer; called by the event loop."""
        if self._answer is None:
            self._is_spoilt = True
            self.strays += 1
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("the answer changes the protocol")
        except httptools.HttpParserError as error:
            if self._answer is not None:
                self._fail(f"what came is no answer: {error}")
            self._is_spoilt = True
            self.close()

    def eof_received(self) -> bool:
        """Complete an answer that ends with its connection; called by the event loop."""
        if self._in_message and not self._has_length and self._answer is not None:
            self._is_spoilt = True
            self._complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request that waits; called by the event loop."""
        self.is_closed = True
        self._fail(f"connection lost: {error or 'closed by the server'}")

    def on_message_begin(self) -> None:
        """Begin an answer; called by the parser."""
        if self._answer is None:
            self._is_spoilt = True
            self.strays += 1
        self._in_message = True
        self._has_length = False
        self._fields = []
        self._values = {}
        self._body = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a field; called by the parser."""
        lowered = name.lower()
        if lowered in self._taken_fields:
            self._values[lowered] = value.decode("latin1")
        if lowered not in CONNECTION_FIELDS:
            self._fields.append(b"%b: %b\r\n" % (name, value))
        elif lowered in (b"content-length", b"transfer-encoding"):
            self._has_length = True
        elif lowered == b"connection" and value.lower() == b"close":
            self._is_spoilt = True
        elif lowered == b"keep-alive":
            self.idle_limit_seconds = _parse_timeout(value)

    def on_headers_complete(self) -> None:
        """Take note of a complete head; called by the parser."""
        status = self._parser.get_status_code()
        if status in STATUSES_WITHOUT_BODY or status < FIRST_FINAL_STATUS:
            self._has_length = True
        if self._is_head and status >= FIRST_FINAL_STATUS:
            self._is_spoilt = True
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Take part of a body; called by the parser."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Take a whole answer; called by the parser."""
        if self._parser.get_status_code() < FIRST_FINAL_STATUS or not self._in_message:
            return
        if not self._has_length:
            return  # its end is the end of the connection
        self._complete()

    def _complete(self) -> None:
        self._in_message = False
        answer = self._answer
        if answer is None:
            return
        repeated = self._values.get(self._id_field)
        if repeated is not None and repeated != self._request_id:
            self._is_spoilt = True
            self.strays += 1
            return
        self._answer = None
        self.idle_since = time.monotonic()
        if self._transport is not None and self._transport.get_write_buffer_size():
            self._is_spoilt = True
        if not answer.done():
            answer.set_result(
                ServerAnswer(
                    self._parser.get_status_code(),
                    b"".join(self._fields),
                    self._values,
                    b"".join(self._body),
                )
            )

    def _fail(self, detail: str) -> None:
        answer, self._answer = self._answer, None
        self._is_spoilt = True
        if answer is not None and not answer.done():
            answer.set_exception(ServerConnectionLost(detail))


def _parse_timeout(value: bytes) -> float:
    """Return the idle time that a keep-alive field states, or no limit."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return float("inf")
