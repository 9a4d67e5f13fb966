"""HTTP client for the local backend server, with persistent connections."""

import asyncio
import socket
import time
from collections import deque
from dataclasses import dataclass

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from apricotwalk.core import (
    ALL_ON,
    CallFailure,
    Mechanism,
    MechanismSwitches,
    Service,
    Verdict,
)
from apricotwalk.http1 import enable_keepalive
from apricotwalk.serving._answers import Answer
from apricotwalk.serving._headers import (
    VERDICT_HEADER,
    encode_head,
    forwarded_headers,
    outgoing_headers,
)
from apricotwalk.serving._no_delay_stream import NoDelayStream
from apricotwalk.settings import Address

__all__ = ["BackendClient"]

CONNECT_TIMEOUT_SECONDS = 0.5
IDLE_TIMEOUT_SECONDS = 5.0
SERVICE_UNAVAILABLE = 503
NO_HEADERS = HTTPHeaders()


class _ResponseCollector(HTTPMessageDelegate):
    def __init__(self) -> None:
        self.status = 0
        self.headers = NO_HEADERS
        self.chunks: list[bytes] = []
        self.is_complete = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        if isinstance(start_line, ResponseStartLine):
            self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.is_complete = True

    def has_bounded_body(self) -> bool:
        return (
            "Content-Length" in self.headers
            or "Transfer-Encoding" in self.headers
            or self.status in (204, 304)
        )


@dataclass(slots=True)
class _IdleStream:
    stream: IOStream
    idle_since: float


def _ignore_close() -> None:
    """Do nothing.

    tornado detects that the peer has closed an idle stream only if a close callback is set.
    """


class BackendClient(Service):
    """Sends requests to one backend server over persistent connections.

    Parameters
    ----------
    address : Address
        Address on which the backend server listens.
    max_body_bytes : int
        Size limit for the body of an answer; a larger one is rejected.
    switches : MechanismSwitches
        Mechanisms that are enabled.
    """

    def __init__(
        self, address: Address, max_body_bytes: int, switches: MechanismSwitches = ALL_ON
    ) -> None:
        self.address = address
        self._host = str(address)
        self._switches = switches
        self._idle: deque[_IdleStream] = deque()
        self._open: set[IOStream] = set()
        self._parameters = HTTP1ConnectionParameters(
            no_keep_alive=False, max_body_size=max_body_bytes, decompress=False
        )

    async def start(self) -> None:
        """Do nothing; connections are opened on demand."""

    async def close(self) -> None:
        """Close every connection."""
        for stream in list(self._open):
            stream.close()
        self._open.clear()
        self._idle.clear()

    def drop_idle(self) -> None:
        """Close the idle connections, because their peer may no longer respond."""
        if not self._switches.is_on(Mechanism.SILENCE_DETECTION):
            return
        while self._idle:
            stream = self._idle.pop().stream
            stream.close()
            self._open.discard(stream)

    async def send(
        self, method: str, path: str, headers: list[tuple[str, str]], body: bytes
    ) -> Answer:
        """Send a request and return the complete answer.

        Raises
        ------
        CallFailure
            With verdict ``NOT_RUN`` if no connection was established or the server states
            that it did not run the request; with ``MAY_HAVE_RUN`` if no complete answer was
            received.
        """
        stream = await self._acquire_stream()
        collector = _ResponseCollector()
        try:
            await self._exchange(stream, collector, method, path, headers, body)
        except asyncio.CancelledError:
            stream.close()
            raise
        except StreamClosedError:
            stream.close()
        finally:
            self._release_stream(stream, collector)
        return self._to_answer(collector)

    async def is_listening(self) -> bool:
        """Return whether the backend server accepts connections, or True if that is uncertain."""
        try:
            stream = await TCPClient().connect(
                self.address.host, self.address.port, timeout=CONNECT_TIMEOUT_SECONDS
            )
        except StreamClosedError as error:
            return not isinstance(error.real_error, ConnectionRefusedError)
        except (OSError, TimeoutError) as error:
            return not isinstance(error, ConnectionRefusedError)
        stream.close()
        return True

    async def _acquire_stream(self) -> IOStream:
        oldest_idle_since = time.monotonic() - IDLE_TIMEOUT_SECONDS
        while self._idle:
            idle = self._idle.pop()
            is_reusable = idle.idle_since >= oldest_idle_since or not self._switches.is_on(
                Mechanism.SILENCE_DETECTION
            )
            if is_reusable and not idle.stream.closed():
                idle.stream.set_close_callback(None)
                return idle.stream
            idle.stream.close()
            self._open.discard(idle.stream)
        stream = await self._connect()
        stream.set_nodelay(True)
        self._watch_transport(stream)
        self._open.add(stream)
        return stream

    async def _connect(self) -> IOStream:
        family = socket.AF_INET6 if ":" in self.address.host else socket.AF_INET
        stream = NoDelayStream(socket.socket(family, socket.SOCK_STREAM))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await stream.connect((self.address.host, self.address.port))
        except (OSError, TimeoutError) as error:
            stream.close()
            raise CallFailure(
                Verdict.NOT_RUN, "backend-unreachable", f"cannot connect to {self.address}", 503
            ) from error
        except asyncio.CancelledError:
            stream.close()
            raise
        return stream

    async def _exchange(
        self,
        stream: IOStream,
        collector: _ResponseCollector,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        connection = HTTP1Connection(stream, is_client=True, params=self._parameters)
        fields = [*headers, ("Host", self._host), ("Content-Length", str(len(body)))]
        if method == "HEAD":
            # The parser has to know the method, because the answer to HEAD has a
            # Content-Length but no body.
            start_line = RequestStartLine(method, path, "HTTP/1.1")
            write = connection.write_headers(start_line, outgoing_headers(fields), body)
            write.add_done_callback(lambda future: future.exception())
        else:
            stream.write(encode_head(f"{method} {path} HTTP/1.1", fields) + body)
        connection.finish()
        await connection.read_response(collector)

    def _release_stream(self, stream: IOStream, collector: _ResponseCollector) -> None:
        is_not_written = stream.closed() or stream.writing()
        if is_not_written or not collector.is_complete or not collector.has_bounded_body():
            stream.close()
            self._open.discard(stream)
            return
        if collector.headers.get("Connection", "").lower() == "close":
            stream.close()
            self._open.discard(stream)
            return
        stream.set_close_callback(_ignore_close)
        self._idle.append(_IdleStream(stream, time.monotonic()))

    def _watch_transport(self, stream: IOStream) -> None:
        """Have the operating system close the connection if its peer stops acknowledging."""
        if not self._switches.is_on(Mechanism.SILENCE_DETECTION):
            return
        enable_keepalive(stream.socket)

    def _to_answer(self, collector: _ResponseCollector) -> Answer:
        is_complete = collector.is_complete and collector.has_bounded_body()
        if not is_complete and not self._accepts_partial(collector):
            raise CallFailure(
                Verdict.MAY_HAVE_RUN,
                "answer-incomplete",
                f"the answer of backend server {self.address} broke off",
                502,
            )
        server_verdict = collector.headers.get(VERDICT_HEADER)
        if collector.status == SERVICE_UNAVAILABLE and server_verdict == Verdict.NOT_RUN.value:
            raise CallFailure(
                Verdict.NOT_RUN, "backend-refused", "the backend server did not run it", 503
            )
        return Answer(
            verdict=Verdict.COMPLETED,
            status=collector.status,
            headers=forwarded_headers(collector.headers),
            body=b"".join(collector.chunks),
        )

    def _accepts_partial(self, collector: _ResponseCollector) -> bool:
        return collector.status > 0 and not self._switches.is_on(Mechanism.COMPLETENESS)
