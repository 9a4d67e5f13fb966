"""Stand-in for the platform's log service: in-memory streams served over HTTP.

``POST /streams/NAME/records`` appends the records of a JSON array atomically and returns
``{"offset": first}``.  ``GET /streams/NAME/records?from=N&limit=M`` returns ``first_offset``,
``next_offset`` and ``records``.  ``POST /faults`` sets the faults from a JSON object with the
fields of `Faults`; ``GET /faults`` returns the numbers of appends, reads and refused requests.
"""

import argparse
import asyncio
import json
import time
from collections import defaultdict
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, HTTPError, RequestHandler


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the log service.

    Parameters
    ----------
    is_down : bool
        Whether to refuse every request with status 503.
    delay_seconds : float
        Delay before each answer, in seconds.
    lose_answers : int
        Number of further appends that take effect but whose connection closes unanswered.
    """

    is_down: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0


class StoredRecord(msgspec.Struct):
    """A record with the time of its append, in seconds of the monotonic clock."""

    offset: int
    value: msgspec.Raw
    appended_at: float


class LogStore:
    """Store the streams of the log service in memory.

    Parameters
    ----------
    retention_seconds : float
        Age in seconds above which a record is dropped.
    """

    def __init__(self, retention_seconds: float) -> None:
        self.faults = Faults()
        self.appends = 0
        self.reads = 0
        self.refused = 0
        self._retention_seconds = retention_seconds
        self._records_by_stream: dict[str, list[StoredRecord]] = defaultdict(list)
        self._next_offset_by_stream: dict[str, int] = defaultdict(int)

    def append(self, stream: str, values: list[msgspec.Raw]) -> int:
        """Append the values to a stream and return the offset of the first."""
        self.appends += 1
        first = self._next_offset_by_stream[stream]
        now = time.monotonic()
        for index, value in enumerate(values):
            self._records_by_stream[stream].append(StoredRecord(first + index, value, now))
        self._next_offset_by_stream[stream] = first + len(values)
        return first

    def read(self, stream: str, from_offset: int, limit: int) -> dict[str, Any]:
        """Return up to `limit` records of a stream, starting at `from_offset`."""
        self.reads += 1
        self._expire_old_records(stream)
        records = self._records_by_stream[stream]
        next_offset = self._next_offset_by_stream[stream]
        first = records[0].offset if records else next_offset
        start = max(0, from_offset - first)
        page = records[start : start + limit]
        return {
            "first_offset": first,
            "next_offset": next_offset,
            "records": [{"offset": r.offset, "value": r.value} for r in page],
        }

    def _expire_old_records(self, stream: str) -> None:
        oldest_kept_at = time.monotonic() - self._retention_seconds
        records = self._records_by_stream[stream]
        kept = [record for record in records if record.appended_at >= oldest_kept_at]
        if len(kept) != len(records):
            self._records_by_stream[stream] = kept


class RecordsHandler(RequestHandler):
    """Handle appends to and reads from one stream."""

    def initialize(self, store: LogStore) -> None:
        """Set the store to serve."""
        self._store = store

    async def prepare(self) -> None:
        """Delay or refuse the request according to the active faults."""
        if self._store.faults.delay_seconds:
            await asyncio.sleep(self._store.faults.delay_seconds)
        if self._store.faults.is_down:
            self._store.refused += 1
            raise HTTPError(503)

    def get(self, stream: str) -> None:
        """Return a page of records."""
        page = self._store.read(
            stream, int(self.get_argument("from", "0")), int(self.get_argument("limit", "1000"))
        )
        self.finish(msgspec.json.encode(page))

    def post(self, stream: str) -> None:
        """Append a JSON array of records."""
        values = msgspec.json.decode(self.request.body, type=list[msgspec.Raw])
        copies = [msgspec.Raw(bytes(value)) for value in values]
        offset = self._store.append(stream, copies)
        if self._store.faults.lose_answers > 0:
            self._store.faults.lose_answers -= 1
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.finish(json.dumps({"offset": offset}))


class FaultsHandler(RequestHandler):
    """Set the faults and report request counts."""

    def initialize(self, store: LogStore) -> None:
        """Set the store whose faults change."""
        self._store = store

    def post(self) -> None:
        """Replace the faults by those in the body."""
        self._store.faults = msgspec.json.decode(self.request.body, type=Faults)
        self.finish("{}")

    def get(self) -> None:
        """Return the number of appends, reads and refused requests."""
        store = self._store
        counts = {"appends": store.appends, "reads": store.reads, "refused": store.refused}
        self.finish(counts)


async def serve(host: str, port: int, retention_seconds: float) -> None:
    """Serve the log service until the process is terminated."""
    store = LogStore(retention_seconds)
    application = Application(
        [
            (r"/streams/([A-Za-z0-9._-]+)/records", RecordsHandler, {"store": store}),
            (r"/faults", FaultsHandler, {"store": store}),
        ],
        log_function=lambda handler: None,
    )
    HTTPServer(application).listen(port, host)
    await asyncio.Event().wait()


def main() -> None:
    """Parse the command line and serve the log service."""
    parser = argparse.ArgumentParser(description="stand-in log service")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--retention-seconds", type=float, default=86_400.0)
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.host, arguments.port, arguments.retention_seconds))


if __name__ == "__main__":
    main()
