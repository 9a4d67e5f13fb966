"""Client of the platform's log store, for its keyed topics."""

import struct

import msgspec
from msgspec import Struct
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from apricotwalk.border import (
    HistoryLostError,
    KeyedRecord,
    KeyedStream,
    StoreError,
    StreamPage,
)
from apricotwalk.settings import Address

__all__ = ["StoreClient"]

# A call takes 4 ms; half of the time in which a configuration has to be in force.
REQUEST_TIMEOUT_SECONDS = 1.0
# The store answers in 4 ms; a lost opening packet is sent again after a second anyway.
CONNECT_TIMEOUT_SECONDS = 0.5
# A read that finds nothing is answered this much after its wait at the latest; a slow store
# takes sixty times its usual 4 ms.
LATE_ANSWER_SECONDS = 0.6
# The store answers with a megabyte at most, and one record may exceed that by its own size.
LARGEST_ANSWER_BYTES = 4 * 1024 * 1024
# Two waiting reads, one write, and what has not timed out yet during an outage.
LARGEST_CALL_COUNT = 16
GONE = 410

_OFFSETS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class _Item(Struct):
    key: str
    offset: int
    value: bytes = b""  # base64 on the wire


class _NewestPage(Struct):
    items: list[_Item]
    more: bool
    end: int


_page_decoder = msgspec.json.Decoder(_NewestPage)


class StoreClient:
    """Calls to the store, each on a connection of its own.

    Parameters
    ----------
    address : Address
        Where the store listens.

    Notes
    -----
    A kept connection could go silent unseen while a read waits on it, and a new one costs the
    store nothing.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._client: SimpleAsyncHTTPClient | None = None

    def open(self, topic: str) -> KeyedStream:
        """Return the stream in partition 0 of a keyed topic."""
        return _KeyedTopic(self, topic)

    def close(self) -> None:
        """Release the connections."""
        if self._client is not None:
            self._client.close()
            self._client = None

    async def fetch(self, method: str, path: str, body: bytes | None, timeout: float) -> bytes:
        """Return the body of a successful answer.

        Raises
        ------
        HistoryLostError
            If the store no longer keeps what was asked for.
        StoreError
            If there is no successful answer.
        """
        request = HTTPRequest(
            f"http://{self._address}{path}",
            method=method,
            body=body,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            request_timeout=timeout,
        )
        try:
            response: HTTPResponse = await self._open_client().fetch(request)
        except HTTPClientError as error:
            kind = HistoryLostError if error.code == GONE else StoreError
            raise kind(f"{method} {path}: {error}") from error
        except (OSError, ValueError) as error:
            raise StoreError(f"{method} {path}: {error!r}") from error
        return response.body

    def _open_client(self) -> SimpleAsyncHTTPClient:
        if self._client is None:
            self._client = SimpleAsyncHTTPClient(
                force_instance=True,
                max_body_size=LARGEST_ANSWER_BYTES,
                max_clients=LARGEST_CALL_COUNT,
            )
        return self._client


class _KeyedTopic(KeyedStream):
    def __init__(self, client: StoreClient, topic: str) -> None:
        self._client = client
        self._place = f"topic={topic}&part=0"

    async def read_newest(self) -> StreamPage:
        """Return the newest record of each key; see `KeyedStream.read_newest`."""
        records: list[KeyedRecord] = []
        first_end: int | None = None
        after = ""
        while True:
            page = await self._read_page(after)
            # Pages are no snapshot, so reading goes on where the first one was taken.
            first_end = page.end if first_end is None else first_end
            records += [KeyedRecord(item.key, item.value) for item in page.items]
            if not page.more or not page.items:
                return StreamPage(tuple(records), first_end)
            after = f"&after={page.items[-1].key}"

    async def read(self, offset: int, wait_seconds: float) -> StreamPage:
        """Return the records from `offset` on; see `KeyedStream.read`."""
        path = f"/api/log-read?{self._place}&from={offset}&wait-ms={wait_seconds * 1000:.0f}"
        timeout = wait_seconds + LATE_ANSWER_SECONDS
        body = await self._client.fetch("GET", path, None, timeout)
        records, count = _decode_records(body)
        return StreamPage(tuple(records), offset + count)

    async def put(self, record: KeyedRecord) -> None:
        """Append a record; see `KeyedStream.put`."""
        content = _encode_record(record)
        path = f"/api/log-append?{self._place}"
        await self._client.fetch("POST", path, content, REQUEST_TIMEOUT_SECONDS)

    async def _read_page(self, after: str) -> _NewestPage:
        path = f"/api/log-newest?{self._place}{after}"
        body = await self._client.fetch("GET", path, None, REQUEST_TIMEOUT_SECONDS)
        try:
            return _page_decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise StoreError(f"GET {path}: unreadable answer: {error}") from error


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return _LENGTH.pack(len(content)) + content


def _decode_records(body: bytes) -> tuple[list[KeyedRecord], int]:
    """Return the readable records and the number of all records."""
    if len(body) < _OFFSETS.size:
        raise StoreError(f"log-read: answer of {len(body)} bytes has no offsets")
    records: list[KeyedRecord] = []
    count = 0
    position = _OFFSETS.size
    while position < len(body):
        start = position + _LENGTH.size
        if start > len(body):
            raise StoreError("log-read: answer ends inside a record's length")
        (length,) = _LENGTH.unpack_from(body, position)
        position = start + length
        if position > len(body):
            raise StoreError("log-read: answer ends inside a record")
        count += 1
        record = _decode_record(body[start:position])
        if record is not None:
            records.append(record)
    return records, count


def _decode_record(content: bytes) -> KeyedRecord | None:
    """Return a record, or None for one of another writer that cannot be read."""
    if not content or len(content) < 1 + content[0]:
        return None
    end = 1 + content[0]
    try:
        key = content[1:end].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, content[end:] or None)
