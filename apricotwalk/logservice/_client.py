"""HTTP client of the log service, built on tornado."""

from collections.abc import Sequence

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from apricotwalk.core import LogServiceError, WireError, decode_payload
from apricotwalk.logservice._interface import LogPage, LogService
from apricotwalk.settings import Address

__all__ = ["HttpLogService"]

CONNECT_TIMEOUT_SECONDS = 1.0
REQUEST_TIMEOUT_SECONDS = 3.0
MAX_PAGE_BYTES = 16 * 1024 * 1024


class _AppendResult(msgspec.Struct):
    offset: int


_append_decoder = msgspec.json.Decoder(_AppendResult)
_page_decoder = msgspec.json.Decoder(LogPage)


class HttpLogService(LogService):
    """Client of a log service with a JSON API over HTTP.

    Parameters
    ----------
    address : Address
        Address of the log service.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._client: AsyncHTTPClient | None = None

    async def append(self, stream: str, values: Sequence[bytes]) -> int:
        """Append JSON records atomically; see `LogService.append`."""
        body = b"[" + b",".join(values) + b"]"
        response = await self._fetch(f"/streams/{stream}/records", "POST", body)
        try:
            return decode_payload(_append_decoder, response.body, "answer").offset
        except WireError as error:
            raise LogServiceError(f"append to {stream}: {error}", True) from error

    async def read(self, stream: str, from_offset: int, limit: int = 200) -> LogPage:
        """Return records starting at `from_offset`; see `LogService.read`."""
        path = f"/streams/{stream}/records?from={from_offset}&limit={limit}"
        response = await self._fetch(path, "GET", None)
        try:
            return decode_payload(_page_decoder, response.body, "answer")
        except WireError as error:
            raise LogServiceError(f"read of {stream}: {error}") from error

    def close(self) -> None:
        """Close the connections of the client."""
        if self._client is not None:
            self._client.close()
            self._client = None

    async def _fetch(self, path: str, method: str, body: bytes | None) -> HTTPResponse:
        if self._client is None:
            self._client = SimpleAsyncHTTPClient(force_instance=True, max_body_size=MAX_PAGE_BYTES)
        request = HTTPRequest(
            f"http://{self._address}{path}",
            method=method,
            body=body,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            request_timeout=REQUEST_TIMEOUT_SECONDS,
        )
        try:
            return await self._client.fetch(request)
        except HTTPClientError as error:
            refused = 400 <= error.code < 500
            raise LogServiceError(f"{method} {path}: {error}", not refused) from error
        except ConnectionRefusedError as error:
            raise LogServiceError(f"{method} {path}: {error}", False) from error
        except OSError as error:
            raise LogServiceError(f"{method} {path}: {error}", True) from error
