"""HTTP client of the keyed topics of the platform's store."""

import struct
from dataclasses import dataclass
from urllib.parse import quote

import msgspec
from loguru import logger
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
from apricotwalk.core import WireError, decode_payload, parse_count
from apricotwalk.platform._names import STORE_ERA_FIELD
from apricotwalk.settings import Address

__all__ = ["StoreClient"]

# The store usually answers in 4 ms.  The time-out is half of the time within which a published
# configuration must be in force.
REQUEST_TIMEOUT_SECONDS = 1.0
# The store usually answers in 4 ms.  TCP retransmits a lost SYN only after a second, so waiting
# a little longer would not help.
CONNECT_TIMEOUT_SECONDS = 0.5
# The answer to a long poll without records may take this long after the end of the wait.  A slow
# store takes sixty times its usual 4 ms.
ANSWER_GRACE_SECONDS = 0.6
# The store limits an answer to one megabyte, which a single record may exceed by its own size.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Two long polls, one append, and the calls that have not timed out yet during an outage can be open
# at the same time.
MAX_CALL_COUNT = 16
GONE_STATUS = 410

_OFFSETS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class _Item(Struct):
    key: str
    value: bytes = b""  # The value is encoded in base64 on the wire.


class _Key(Struct):
    key: str


class _NewestPage(Struct):
    items: list[msgspec.Raw]  # Items are decoded one by one, so that one cannot spoil the others.
    more: bool
    end: int


_page_decoder = msgspec.json.Decoder(_NewestPage)
_item_decoder = msgspec.json.Decoder(_Item)
_key_decoder = msgspec.json.Decoder(_Key)


@dataclass(frozen=True, slots=True)
class _Answer:
    body: bytes
    era: int


class StoreClient:
    """HTTP client of the store, with a separate connection for each call.

    Parameters
    ----------
    address : Address
        Address on which the store listens.

    Notes
    -----
    A persistent connection could fail unnoticed while a read waits for its answer, whereas a new
    connection costs the store nothing.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._client: SimpleAsyncHTTPClient | None = None

    def open(self, topic: str) -> KeyedStream:
        """Open the stream in partition 0 of a keyed topic."""
        return _KeyedTopic(self, topic)

    def close(self) -> None:
        """Close the HTTP client and its connections; the next call opens a new one."""
        if self._client is not None:
            self._client.close()
            self._client = None

    async def fetch(self, method: str, path: str, body: bytes | None, timeout: float) -> _Answer:
        """Call the store and return its answer.

        Parameters
        ----------
        method, path : str
            Method and request target of the HTTP request.
        body : bytes or None
            Body of the request.
        timeout : float
            Time-out of the request in seconds.

        Returns
        -------
        _Answer
            Body and era of a successful answer.

        Raises
        ------
        HistoryLostError
            If the store no longer retains the requested records.
        StoreError
            If the store returned no successful answer.
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
            error_type = HistoryLostError if error.code == GONE_STATUS else StoreError
            raise error_type(f"{method} {path}: {error}") from error
        except (OSError, ValueError) as error:
            raise StoreError(f"{method} {path}: {error!r}") from error
        return _Answer(response.body, _parse_era(response.headers.get(STORE_ERA_FIELD, "")))

    def _open_client(self) -> SimpleAsyncHTTPClient:
        if self._client is None:
            self._client = SimpleAsyncHTTPClient(
                force_instance=True,
                max_body_size=MAX_ANSWER_BYTES,
                max_clients=MAX_CALL_COUNT,
            )
        return self._client


class _KeyedTopic(KeyedStream):
    def __init__(self, client: StoreClient, topic: str) -> None:
        self._client = client
        self._topic_query = f"topic={topic}&part=0"

    async def read_newest(self) -> StreamPage:
        """Read the newest record of each key; see `KeyedStream.read_newest`."""
        records: list[KeyedRecord] = []
        first_end: int | None = None
        first_era: int | None = None
        after = ""
        while True:
            page, era = await self._read_page(after)
            first_era = era if first_era is None else first_era
            if era != first_era:
                raise HistoryLostError(f"the store went from era {first_era} to {era} in between")
            # The pages are not one consistent snapshot, so reading continues from the end offset
            # of the first page.
            first_end = page.end if first_end is None else first_end
            records += _decode_items(page.items)
            if not page.more or not page.items:
                return StreamPage(tuple(records), first_end, era)
            after = f"&after={quote(_last_key(page.items), safe='')}"

    async def read(self, offset: int, wait_seconds: float) -> StreamPage:
        """Read the records from an offset on; see `KeyedStream.read`."""
        path = f"/api/log-read?{self._topic_query}&from={offset}&wait-ms={wait_seconds * 1000:.0f}"
        timeout = wait_seconds + ANSWER_GRACE_SECONDS
        answer = await self._client.fetch("GET", path, None, timeout)
        records, count = _decode_records(answer.body)
        return StreamPage(tuple(records), offset + count, answer.era)

    async def put(self, record: KeyedRecord) -> int:
        """Append a record to the topic; see `KeyedStream.put`."""
        content = _encode_record(record)
        path = f"/api/log-append?{self._topic_query}"
        answer = await self._client.fetch("POST", path, content, REQUEST_TIMEOUT_SECONDS)
        return answer.era

    async def _read_page(self, after: str) -> tuple[_NewestPage, int]:
        path = f"/api/log-newest?{self._topic_query}{after}"
        answer = await self._client.fetch("GET", path, None, REQUEST_TIMEOUT_SECONDS)
        try:
            return decode_payload(_page_decoder, answer.body, "page"), answer.era
        except WireError as error:
            raise StoreError(f"GET {path}: {error}") from error


def _parse_era(text: str) -> int:
    """Return the era in a header field, or 0 if the store states none."""
    try:
        return parse_count(text)
    except ValueError:
        return 0


def _decode_items(items: list[msgspec.Raw]) -> list[KeyedRecord]:
    """Return the readable items of a page; the store also holds records of other writers."""
    records: list[KeyedRecord] = []
    for encoded in items:
        try:
            item = decode_payload(_item_decoder, encoded, "item")
        except WireError as error:
            logger.warning("store returned a malformed item: {}", error)
        else:
            records.append(KeyedRecord(item.key, item.value))
    return records


def _last_key(items: list[msgspec.Raw]) -> str:
    """Return the last readable key of a page, from which the next page continues.

    Raises
    ------
    StoreError
        If no key is readable.
    """
    for encoded in reversed(items):
        try:
            return decode_payload(_key_decoder, encoded, "key").key
        except WireError:
            continue  # already logged as a malformed item
    raise StoreError(f"log-newest: no readable key among {len(items)} items")


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.value or b"")
    return _LENGTH.pack(len(content)) + content


def _decode_records(body: bytes) -> tuple[list[KeyedRecord], int]:
    """Return the readable records and the number of all records, readable or not."""
    if len(body) < _OFFSETS.size:
        raise StoreError(
            f"log-read: expected at least {_OFFSETS.size} bytes of offsets, got {len(body)} bytes"
        )
    records: list[KeyedRecord] = []
    count = 0
    position = _OFFSETS.size
    while position < len(body):
        start = position + _LENGTH.size
        if start > len(body):
            raise StoreError(
                f"log-read: answer of {len(body)} bytes truncated in the length of a record"
            )
        (length,) = _LENGTH.unpack_from(body, position)
        position = start + length
        if position > len(body):
            raise StoreError(
                f"log-read: answer of {len(body)} bytes truncated in a record of {length} bytes"
            )
        count += 1
        record = _decode_record(body[start:position])
        if record is not None:
            records.append(record)
    return records, count


def _decode_record(content: bytes) -> KeyedRecord | None:
    """Return the record, or None if it is malformed, which records of other writers may be."""
    if not content or len(content) < 1 + content[0]:
        return None
    end = 1 + content[0]
    try:
        key = content[1:end].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, content[end:] or None)
