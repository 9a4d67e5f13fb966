"""Reader of the answers on a connection to a backend server."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

import httptools

from apricotwalk.core import SMALL_BODY_BYTES, ApricotwalkError, BodyMemory, CountedBody
from apricotwalk.http1._head import CONNECTION_FIELDS

__all__ = ["AnswerReader", "AnswerRejected", "ServerAnswer"]

# Four times the largest head that callers may send by default.
MAX_HEAD_BYTES = 65_536
# A server that streams sends a few hundred bytes a chunk; parsing costs as much for each chunk as
# for a kilobyte.
MAX_SMALL_CHUNK_COUNT = 8192
SMALL_CHUNK_BYTES = 64
# The late answers to earlier requests that a server may send ahead of the expected one.
MAX_UNMATCHED_COUNT = 16
FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = (204, 304)


class AnswerRejected(ApricotwalkError):  # noqa: N818
    """Raised if what a server sends is no answer or exceeds a bound."""


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
    body : bytes or bytearray
        Complete body.
    """

    status: int
    fields: bytes
    values_by_name: dict[bytes, str]
    body: bytes | bytearray


class _Phase(Enum):
    """Part of an answer that is expected next."""

    HEAD = auto()
    BODY_OF_KNOWN_END = auto()  # ends after its length or its last chunk
    BODY_UNTIL_CLOSE = auto()  # ends with the connection


class AnswerReader:
    """Assembles answers from the bytes on a connection, within a bound for each of their parts.

    Parameters
    ----------
    captured_fields : frozenset of bytes
        Lower-case names of header fields to capture in `ServerAnswer.values_by_name`.
    memory : BodyMemory
        Memory for large bodies.
    on_answer : callable
        Called with each final answer; returns whether it is the expected one.
    give_up : callable
        Called with a reason if another answer needs the memory of this one.

    Attributes
    ----------
    is_last : bool
        Whether the server closes the connection after the current answer.
    idle_limit_seconds : float
        Time after which the server closes the connection when it is idle, in seconds.

    Notes
    -----
    Bytes that do not advance a body (heads of final and interim answers, trailer fields, chunk
    extensions, blank lines) are bounded by `MAX_HEAD_BYTES` in a row.  Trailer fields are dropped.
    """

    def __init__(
        self,
        captured_fields: frozenset[bytes],
        memory: BodyMemory,
        on_answer: Callable[[ServerAnswer], bool],
        give_up: Callable[[str], None],
    ) -> None:
        self._captured_fields = captured_fields
        self._memory = memory
        self._on_answer = on_answer
        self._give_up = give_up
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self.is_last = False
        self.idle_limit_seconds = float("inf")
        self._is_expecting = False
        self._is_head_request = False
        self._overhead_bytes = 0
        self._unmatched_count = 0
        self._rejection = ""
        self._phase = _Phase.HEAD
        self._has_progress = False
        self._fields: list[bytes] = []
        self._values: dict[bytes, str] = {}
        self._has_known_end = False
        self._content_length: int | None = None
        self._body = bytearray()
        self._chunk_count = 0

    def set_transport(self, transport: asyncio.Transport) -> None:
        """Set the transport on which reading pauses while a body waits for memory."""
        self._transport = transport

    def expect_answer(self, is_head_request: bool) -> None:
        """Prepare for the answer to a request that is sent now."""
        self._is_expecting = True
        self._is_head_request = is_head_request
        self._overhead_bytes = 0
        self._unmatched_count = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        AnswerRejected
            If they are no answer or exceed a bound; the reader cannot be used afterwards.
        """
        self._has_progress = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise AnswerRejected("the answer changes the protocol") from error
        except httptools.HttpParserError as error:
            raise AnswerRejected(self._rejection or f"what came is no answer: {error}") from error
        self._overhead_bytes = 0 if self._has_progress else self._overhead_bytes + len(data)
        if self._overhead_bytes > MAX_HEAD_BYTES:
            raise AnswerRejected(f"{self._overhead_bytes} bytes of heads or trailers in a row")

    def end(self) -> None:
        """Complete an answer that ends with the connection."""
        if self._phase is _Phase.BODY_UNTIL_CLOSE:
            self.is_last = True
            self._complete()

    def drop(self) -> None:
        """Release the memory of an incomplete answer."""
        if isinstance(self._body, CountedBody):
            self._memory.stop_waiting(self._body)
            self._memory.remove_growing(self._body)
        self._body = bytearray()

    def on_message_begin(self) -> None:
        """Reset the state for a new answer; called by the parser."""
        if not self._is_expecting:
            self.is_last = True
        self._phase = _Phase.HEAD
        self._fields = []
        self._values = {}
        self._has_known_end = False
        self._content_length = None
        self._body = bytearray()
        self._chunk_count = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field and ignore a trailer field; called by the parser."""
        if self._phase is not _Phase.HEAD:
            return
        lower_name = name.lower()
        if lower_name in self._captured_fields:
            self._values[lower_name] = value.decode("latin1")
        if lower_name not in CONNECTION_FIELDS:
            self._fields.append(b"%b: %b\r\n" % (name, value))
        elif lower_name == b"content-length":
            self._has_known_end = True
            self._content_length = int(value)
        elif lower_name == b"transfer-encoding":
            self._has_known_end = True
        elif lower_name == b"connection" and value.lower() == b"close":
            self.is_last = True
        elif lower_name == b"keep-alive":
            self.idle_limit_seconds = _parse_keep_alive_timeout(value)

    def on_headers_complete(self) -> None:
        """Prepare for the body, or complete an answer that has none; called by the parser."""
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        if status in STATUSES_WITHOUT_BODY or self._is_head_request:
            self._has_known_end = True
        self._phase = _Phase.BODY_OF_KNOWN_END if self._has_known_end else _Phase.BODY_UNTIL_CLOSE
        if self._is_head_request:
            self.is_last = True
            self._complete()
        elif (self._content_length or 0) > SMALL_BODY_BYTES:
            self._reserve_body(self._content_length or 0)

    def _reserve_body(self, length: int) -> None:
        """Count a body of known length, and pause reading until its memory is available."""
        if length > self._memory.max_bytes:
            self._reject(f"body of {length} bytes exceeds {self._memory.max_bytes} bytes")
        body = CountedBody(self._memory)
        self._body = body
        if not self._memory.try_acquire(body, length) and self._transport is not None:
            self._transport.pause_reading()
            self._memory.acquire_later(body, length, self._resume_reading)

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def on_chunk_header(self) -> None:
        """Bound the number of small chunks; called by the parser."""
        self._chunk_count += 1
        is_too_many = self._chunk_count > MAX_SMALL_CHUNK_COUNT
        if is_too_many and len(self._body) < self._chunk_count * SMALL_CHUNK_BYTES:
            self._reject(f"body of {len(self._body)} bytes in {self._chunk_count} chunks")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body; called by the parser."""
        self._has_progress = True
        length = len(self._body) + len(data)
        if length > SMALL_BODY_BYTES and self._content_length is None:
            self._grow_body(length)
        self._body += data

    def _grow_body(self, length: int) -> None:
        if not isinstance(self._body, CountedBody):
            body = CountedBody(self._memory)
            body += self._body
            self._body = body
            self._memory.add_growing(body, self._give_up_body)
        if not self._memory.grow(self._body, length):
            self._reject("answers of unknown length exceed the memory for them")

    def _give_up_body(self) -> None:
        self.drop()
        self._give_up("another answer needs the memory of this one, which does not end")

    def on_message_complete(self) -> None:
        """Complete a final answer of known length; called by the parser."""
        if self._phase is _Phase.BODY_OF_KNOWN_END:
            self._complete()

    def _complete(self) -> None:
        self._phase = _Phase.HEAD
        body, self._body = self._body, bytearray()
        if isinstance(body, CountedBody):
            self._memory.remove_growing(body)
        answer = ServerAnswer(
            self._parser.get_status_code(),
            b"".join(self._fields),
            self._values,
            body if isinstance(body, CountedBody) else bytes(body),
        )
        if self._on_answer(answer):
            self._is_expecting = False
            return
        self._unmatched_count += 1
        if self._unmatched_count > MAX_UNMATCHED_COUNT:
            self._reject(f"{self._unmatched_count} answers to other requests")

    def _reject(self, detail: str) -> None:
        """Raise out of the parser; `feed` then reports the detail."""
        self._rejection = detail
        raise ValueError(detail)


def _parse_keep_alive_timeout(value: bytes) -> float:
    """Return the timeout of a Keep-Alive field in seconds, or infinity if it has none."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return float("inf")
