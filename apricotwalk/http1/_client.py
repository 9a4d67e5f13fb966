"""Persistent HTTP/1.1 connection to a backend server."""

import asyncio
import time
from collections import deque
from typing import cast

from apricotwalk.core import SMALL_BODY_BYTES, ApricotwalkError, BodyMemory
from apricotwalk.http1._answer_reader import AnswerReader, AnswerRejected, ServerAnswer

__all__ = ["ServerConnection", "ServerConnectionLost"]

FIRST_ERROR_STATUS = 400
# A request is sent to the same server again within its time limit of a few seconds at most, and a
# server answers few requests on one connection in that time.
MAX_FAILED_ID_COUNT = 64
# This default is for connections that are used alone, as by tools.
DEFAULT_BODY_MEMORY_BYTES = 64 * 1024 * 1024


class ServerConnectionLost(ApricotwalkError):  # noqa: N818
    """Raised if a connection ends or receives invalid data before a response is complete."""


class ServerConnection(asyncio.Protocol):
    """Connection that sends one request at a time and matches its response by identifier.

    Parameters
    ----------
    id_field : bytes
        Lower-case name of the header field in which a response repeats the identifier of its
        request.
    captured_fields : frozenset of bytes
        Lower-case names of further header fields to capture in `ServerAnswer.values_by_name`.
    memory : BodyMemory, optional
        Memory for large bodies; by default one of this connection alone.
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
        memory: BodyMemory | None = None,
        requires_id: bool = True,
    ) -> None:
        self._requires_id = requires_id
        self._id_field = id_field
        self._reader = AnswerReader(
            captured_fields | {id_field},
            memory or BodyMemory(DEFAULT_BODY_MEMORY_BYTES),
            self._accept,
            self._give_up,
        )
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[ServerAnswer] | None = None
        self._request_id = ""
        self._request_count = 0
        self._failed_ids: deque[str] = deque(maxlen=MAX_FAILED_ID_COUNT)
        self._must_close = False
        self.is_closed = False
        self.idle_since = time.monotonic()
        self.unmatched_response_count = 0

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is idle and may send another request."""
        is_open = not self.is_closed and not self._must_close and not self._reader.is_last
        return is_open and self._answer is None

    @property
    def idle_limit_seconds(self) -> float:
        """Time after which the server closes the connection when it is idle, in seconds."""
        return self._reader.idle_limit_seconds

    def has_failed(self, request_id: str) -> bool:
        """Return whether a request with this identifier was answered with an error here."""
        return request_id in self._failed_ids

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)
        self._reader.set_transport(self._transport)

    def send(
        self, head: bytes, body: bytes | bytearray, request_id: str, is_head: bool
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
        self._reader.expect_answer(is_head)
        if len(body) <= SMALL_BODY_BYTES:
            self._transport.write(head + body)
        else:
            self._transport.write(head)
            self._transport.write(body)
        return self._answer

    def close(self) -> None:
        """Abort the connection, upon which the server may cancel the request."""
        self.is_closed = True
        self._reader.drop()
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received data; called by the event loop."""
        if self.is_closed:
            return
        if self._answer is None:
            self._must_close = True
            self.unmatched_response_count += 1
            self.close()
            return
        try:
            self._reader.feed(data)
        except AnswerRejected as rejection:
            self._give_up(str(rejection))

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the connection.

        Called by the event loop.
        """
        if self._answer is not None:
            self._reader.end()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the pending request; called by the event loop."""
        self.is_closed = True
        self._fail(f"connection lost: {error or 'closed by the server'}")

    def _accept(self, answer: ServerAnswer) -> bool:
        """Deliver an answer if it is the expected one, and return whether it is."""
        pending = self._answer
        echoed_id = answer.values_by_name.get(self._id_field)
        if pending is None or not self._belongs_to_request(echoed_id):
            self._must_close = True
            self.unmatched_response_count += 1
            return False
        self._answer = None
        if answer.status >= FIRST_ERROR_STATUS:
            self._failed_ids.append(self._request_id)
        self.idle_since = time.monotonic()
        if self._transport is not None and self._transport.get_write_buffer_size():
            self._must_close = True
        if not pending.done():
            pending.set_result(answer)
        return True

    def _belongs_to_request(self, echoed_id: str | None) -> bool:
        if echoed_id is None:
            return not self._requires_id or self._request_count == 1 or not self._request_id
        return echoed_id == self._request_id

    def _give_up(self, detail: str) -> None:
        self._fail(detail)
        self.close()

    def _fail(self, detail: str) -> None:
        pending, self._answer = self._answer, None
        self._must_close = True
        self._reader.drop()
        if pending is not None and not pending.done():
            pending.set_exception(ServerConnectionLost(detail))
