"""Persistent HTTP/1.1 connection to a backend server."""

import asyncio
import time
from collections import deque
from dataclasses import dataclass
from typing import cast

import httptools

from apricotwalk.core import ApricotwalkError
from apricotwalk.http1._answer_memory import AnswerMemory
from apricotwalk.http1._head import CONNECTION_FIELDS

__all__ = ["ServerAnswer", "ServerConnection", "ServerConnectionLost"]

# Four times the largest head that callers may send by default.
MAX_HEAD_BYTES = 65_536
FIRST_FINAL_STATUS = 200
FIRST_ERROR_STATUS = 400
# A request is sent to the same server again within its time limit of a few seconds at most, and a
# server answers few requests on one connection in that time.
MAX_FAILED_ID_COUNT = 64
STATUSES_WITHOUT_BODY = (204, 304)


class ServerConnectionLost(ApricotwalkError):  # noqa: N818
    """Raised if a connection ends or receives invalid data before a response is complete."""


@dataclass(slots=True)
class ServerAnswer:
    """Complete response of a backend server.

    Parameters
    ----------
    status : int
        HTTP status.
    fields : bytes
        End-to-end header fields, each terminated by CR LF.
    values_by_name : dict of bytes to str
        Values of the captured header fields, by lower-case name.
    body : bytes
        Complete body.
    """

    status: int
    fields: bytes
    values_by_name: dict[bytes, str]
    body: bytes


class ServerConnection(asyncio.Protocol):
    """Connection that sends one request at a time and matches its response by identifier.

    Parameters
    ----------
    id_field : bytes
        Lower-case name of the header field in which a response repeats the identifier of its
        request.
    captured_fields : frozenset of bytes
        Lower-case names of further header fields to capture in `ServerAnswer.values_by_name`.
    memory : AnswerMemory, optional
        Bound on the memory that incomplete answers use; by default one of this connection alone.
    requires_id : bool
        Whether the peer repeats the identifier in each response, as backend servers do.

    Notes
    -----
    A response with another identifier belongs to an earlier request: it is dropped, and the
    connection is not reused after the response to the current request.  The same applies to a
    response without an identifier, unless the connection has carried no other request.  A server
    can repeat the answer to an earlier request, so an identifier that was answered with an error
    should not be sent again on the same connection, see `has_failed`.  The connection is not
    reused either if bytes follow a complete response, if a response arrives before the request is
    written completely, or if the end of a response is marked by the end of the connection.
    """

    def __init__(
        self,
        id_field: bytes,
        captured_fields: frozenset[bytes],
        memory: AnswerMemory | None = None,
        requires_id: bool = True,
    ) -> None:
        self._memory = memory or AnswerMemory()
        self._requires_id = requires_id
        self._id_field = id_field
        self._captured_fields = captured_fields | {id_field}
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer: asyncio.Future[ServerAnswer] | None = None
        self._request_id = ""
        self._request_count = 0
        self._failed_ids: deque[str] = deque(maxlen=MAX_FAILED_ID_COUNT)
        self._is_head = False
        self._must_close = False
        self._has_known_length = False
        self._in_message = False
        self._in_head = True
        self._is_head_new = False
        self._head_bytes = 0
        self._fields: list[bytes] = []
        self._values: dict[bytes, str] = {}
        self._body: list[bytes] = []
        self.is_closed = False
        self.idle_since = time.monotonic()
        self.idle_limit_seconds = float("inf")
        self.unmatched_response_count = 0

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is idle and may send another request."""
        return not self.is_closed and not self._must_close and self._answer is None

    def has_failed(self, request_id: str) -> bool:
        """Return whether a request with this identifier was answered with an error here."""
        return request_id in self._failed_ids

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)

    def send(
        self, request: bytes, request_id: str, is_head: bool
    ) -> "asyncio.Future[ServerAnswer]":
        """Write a request and return a future for its response.

        Raises
        ------
        ServerConnectionLost
            Set on the future if no complete response arrives.
        """
        assert self._transport is not None
        self._answer = asyncio.get_running_loop().create_future()
        self._request_id = request_id
        self._request_count += 1
        self._is_head = is_head
        self._in_head = True
        self._head_bytes = 0
        self._transport.write(request)
        return self._answer

    def close(self) -> None:
        """Abort the connection, upon which the server may cancel the request."""
        self.is_closed = True
        self._memory.release(self._drop_oversized)
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received data; called by the event loop."""
        if self._answer is None:
            self._must_close = True
            self.unmatched_response_count += 1
            self.close()
            return
        self._memory.add(self._drop_oversized, len(data))
        if self.is_closed:
            return
        try:
            self._parser.feed_data(data)
            self._check_head(len(data))
        except httptools.HttpParserUpgrade:
            self._fail("the answer changes the protocol")
        except httptools.HttpParserError as error:
            if self._answer is not None:
                self._fail(f"what came is no answer: {error}")
            self._must_close = True
            self.close()

    def _check_head(self, received_count: int) -> None:
        """Drop an answer whose head does not end."""
        if self._answer is None or not self._in_head:
            return
        if self._is_head_new:
            self._is_head_new = False  # the bytes may contain the end of an earlier answer
            return
        self._head_bytes += received_count
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail(f"head of more than {MAX_HEAD_BYTES} bytes")
            self.close()

    def _drop_oversized(self) -> None:
        self._fail("answers exceed the memory for incomplete answers")
        self.close()

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the connection.

        Called by the event loop.
        """
        is_head_complete = self._in_message and not self._in_head
        if is_head_complete and not self._has_known_length and self._answer is not None:
            self._must_close = True
            self._complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the pending request; called by the event loop."""
        self.is_closed = True
        self._fail(f"connection lost: {error or 'closed by the server'}")

    def on_message_begin(self) -> None:
        """Reset the state for a new response; called by the parser."""
        if self._answer is None:
            self._must_close = True
            self.unmatched_response_count += 1
        self._in_message = True
        self._in_head = self._is_head_new = True
        self._head_bytes = 0
        self._has_known_length = False
        self._fields = []
        self._values = {}
        self._body = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; called by the parser."""
        lower_name = name.lower()
        if lower_name in self._captured_fields:
            self._values[lower_name] = value.decode("latin1")
        if lower_name not in CONNECTION_FIELDS:
            self._fields.append(b"%b: %b\r\n" % (name, value))
        elif lower_name in (b"content-length", b"transfer-encoding"):
            self._has_known_length = True
        elif lower_name == b"connection" and value.lower() == b"close":
            self._must_close = True
        elif lower_name == b"keep-alive":
            self.idle_limit_seconds = _parse_keep_alive_timeout(value)

    def on_headers_complete(self) -> None:
        """Complete responses that have no body after their head; called by the parser."""
        self._in_head = False
        status = self._parser.get_status_code()
        if status in STATUSES_WITHOUT_BODY or status < FIRST_FINAL_STATUS:
            self._has_known_length = True
        if self._is_head and status >= FIRST_FINAL_STATUS:
            self._must_close = True
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body; called by the parser."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Complete a final response of known length; called by the parser."""
        if self._parser.get_status_code() < FIRST_FINAL_STATUS or not self._in_message:
            return
        if not self._has_known_length:
            return  # the response ends with the connection, see eof_received
        self._complete()

    def _complete(self) -> None:
        self._in_message = False
        answer = self._answer
        if answer is None:
            return
        if not self._belongs_to_request(self._values.get(self._id_field)):
            self._must_close = True
            self.unmatched_response_count += 1
            return
        self._answer = None
        if self._parser.get_status_code() >= FIRST_ERROR_STATUS:
            self._failed_ids.append(self._request_id)
        self._memory.release(self._drop_oversized)
        self.idle_since = time.monotonic()
        if self._transport is not None and self._transport.get_write_buffer_size():
            self._must_close = True
        if not answer.done():
            answer.set_result(
                ServerAnswer(
                    self._parser.get_status_code(),
                    b"".join(self._fields),
                    self._values,
                    b"".join(self._body),
                )
            )

    def _belongs_to_request(self, echoed_id: str | None) -> bool:
        if echoed_id is None:
            return not self._requires_id or self._request_count == 1 or not self._request_id
        return echoed_id == self._request_id

    def _fail(self, detail: str) -> None:
        answer, self._answer = self._answer, None
        self._must_close = True
        self._memory.release(self._drop_oversized)
        if answer is not None and not answer.done():
            answer.set_exception(ServerConnectionLost(detail))


def _parse_keep_alive_timeout(value: bytes) -> float:
    """Return the timeout of a Keep-Alive field in seconds, or infinity if it has none."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return float("inf")
