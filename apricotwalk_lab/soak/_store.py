"""Stand-in for the platform's store: keyed topics over HTTP, with fault injection."""

import asyncio
import base64
import bisect
import struct
import time
from collections import defaultdict

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from apricotwalk.core import Service
from apricotwalk_lab.soak._platform import STORE_ERA_FIELD

__all__ = ["StoreStandIn"]

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
# An append whose answer is lost takes effect after this delay.
LATE_APPEND_SECONDS = 1.0
PAGE_ITEM_COUNT = 500
GONE = 410
UNAVAILABLE = 503


class _Topic:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.stored_at: list[float] = []
        self.first = 0
        self.changed = asyncio.Event()

    def append(self, records: list[bytes]) -> int:
        offset = len(self.records)
        self.records += records
        self.stored_at += [time.monotonic()] * len(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def restore(self, copied_at: float) -> None:
        """Lose the records that were stored after a monotonic time."""
        kept_count = bisect.bisect(self.stored_at, copied_at)
        del self.records[kept_count:], self.stored_at[kept_count:]
        self.first = min(self.first, kept_count)
        self.changed.set()
        self.changed = asyncio.Event()

    def newest_by_key(self) -> dict[str, tuple[int, bytes]]:
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(self.records):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = (offset, record[1 + record[0] :])
        return {key: row for key, row in newest.items() if row[1]}


class StoreStandIn(Service):
    """Serve the keyed topics of one run.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host, self._port = host, port
        self._topics: dict[str, _Topic] = defaultdict(_Topic)
        self._server: HTTPServer | None = None
        self.era = 1
        self.is_down = False
        self.delay_seconds = 0.0
        self.loses_answers = False

    async def start(self) -> None:
        """Start listening."""
        handlers = [(r"/api/log-(append|read|newest)", _TopicHandler, {"store": self})]
        self._server = HTTPServer(Application(handlers))
        self._server.listen(self._port, self._host)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
            self._server = None

    def drop_history(self) -> None:
        """Drop the history of every topic; the newest record of each key remains readable."""
        for topic in self._topics.values():
            topic.first = len(topic.records)

    def restore(self, age_seconds: float) -> None:
        """Restore every topic from a copy of the given age; offsets are given out again."""
        self.era += 1
        for topic in self._topics.values():
            topic.restore(time.monotonic() - age_seconds)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record, as the operator's tool does."""
        encoded = key.encode()
        self._topics[topic].append([bytes([len(encoded)]) + encoded + value])

    def topic(self, name: str) -> _Topic:
        """Return a topic, creating it on first use."""
        return self._topics[name]


class _TopicHandler(RequestHandler):
    def initialize(self, store: StoreStandIn) -> None:
        self._store = store

    def prepare(self) -> None:
        """State the era in each answer."""
        self.set_header(STORE_ERA_FIELD, str(self._store.era))

    async def get(self, call: str) -> None:
        if not await self._check_available():
            return
        topic = self._store.topic(self.get_argument("topic"))
        if call == "newest":
            self._answer_newest(topic)
            return
        offset = int(self.get_argument("from"))
        if not topic.first <= offset <= len(topic.records):
            self.set_status(GONE)
            self.finish({"first": topic.first})
            return
        if offset >= len(topic.records):
            await self._wait_for_records(topic)
            self.prepare()
        body = _OFFSETS.pack(len(topic.records), topic.first)
        for record in topic.records[offset:]:
            body += _LENGTH.pack(len(record)) + record
        self.finish(body)

    async def post(self, call: str) -> None:
        if not await self._check_available():
            return
        topic = self._store.topic(self.get_argument("topic"))
        records = _split_records(self.request.body)
        if self._store.loses_answers:
            await asyncio.sleep(LATE_APPEND_SECONDS)
            topic.append(records)
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        offset = topic.append(records)
        self.finish({"offset": offset, "end": len(topic.records)})

    async def _check_available(self) -> bool:
        await asyncio.sleep(self._store.delay_seconds)
        if self._store.is_down:
            self.set_status(UNAVAILABLE)
            self.finish()
            return False
        return True

    async def _wait_for_records(self, topic: _Topic) -> None:
        wait = float(self.get_argument("wait-ms", "0")) / 1000
        try:
            async with asyncio.timeout(wait):
                await topic.changed.wait()
        except TimeoutError:
            return  # No record arrived in time, so the answer contains none.

    def _answer_newest(self, topic: _Topic) -> None:
        after = self.get_argument("after", "")
        rows = [row for row in sorted(topic.newest_by_key().items()) if row[0] > after]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in rows[:PAGE_ITEM_COUNT]
        ]
        self.finish(
            {"items": items, "more": len(rows) > PAGE_ITEM_COUNT, "end": len(topic.records)}
        )


def _split_records(body: bytes) -> list[bytes]:
    records: list[bytes] = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records
