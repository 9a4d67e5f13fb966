"""In-memory test doubles for the interfaces between the components of a node."""

import asyncio

from apricotwalk.core import CallFailure, LogServiceError, ManualClock, Verdict
from apricotwalk.logservice import LogPage, LogRecord, LogService
from apricotwalk.membership import Member
from apricotwalk.settings import Address
from apricotwalk.telemetry import EventLog, HybridClock
from apricotwalk.wire import AnswerMessage, OwnedCallMessage


def new_events(instance="a"):
    return EventLog(instance, "zone-a", HybridClock(ManualClock()))


class FakeLog(LogService):
    """An in-memory log service with fault injection.

    While `is_down` is set, every operation fails; while `is_open` is cleared, reads wait. The next
    `lose_answers` appends take effect and fail as ambiguous, and the next `delay_appends` appends
    fail likewise but take effect only in `apply_delayed_appends`.
    """

    def __init__(self):
        self.records_by_stream = {}
        self.first_offset_by_stream = {}
        self.is_down = False
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.lose_answers = 0
        self.delayed = []
        self.delay_appends = 0

    async def append(self, stream, values):
        if self.is_down:
            raise LogServiceError("down", False)
        if self.delay_appends:
            self.delay_appends -= 1
            self.delayed.append((stream, list(values)))
            raise LogServiceError("timed out", True)
        offset = self._store(stream, values)
        if self.lose_answers:
            self.lose_answers -= 1
            raise LogServiceError("answer lost", True)
        return offset

    async def read(self, stream, from_offset, limit=1000):
        await self.is_open.wait()
        if self.is_down:
            raise LogServiceError("down")
        records = self.records_by_stream.get(stream, [])
        first = self.first_offset_by_stream.get(stream, 0)
        start = max(first, from_offset)
        page = [LogRecord(i, records[i]) for i in range(start, len(records))][:limit]
        return LogPage(first, len(records), page)

    def apply_delayed_appends(self):
        delayed, self.delayed = self.delayed, []
        for stream, values in delayed:
            self._store(stream, values)

    def expire_all_records(self):
        for stream, records in self.records_by_stream.items():
            self.first_offset_by_stream[stream] = len(records)

    def _store(self, stream, values):
        records = self.records_by_stream.setdefault(stream, [])
        records.extend(bytes(value) for value in values)
        return len(records) - len(values)


class FakeMembership:
    """A fixed list of instances, each of which offers every service."""

    def __init__(self, instances):
        self.instances = instances

    def members(self, service):
        return [
            Member(name, service, "zone-a", "region", Address("127.0.0.1", 7000 + index), 1)
            for index, name in enumerate(self.instances)
        ]

    async def find(self, service, timeout_seconds):
        return self.members(service)


class FakeExecutor:
    """Counts executions by key and answers each call with `verdict`.

    While `is_open` is cleared, calls that have begun execution wait.
    """

    def __init__(self, executions_by_key):
        self.executions_by_key = executions_by_key
        self.verdict = "completed"
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def handle_call(self, message):
        if self.verdict == "not-run":
            return AnswerMessage(message.call_id, Verdict.NOT_RUN, 503, "shed", "shed")
        count = self.executions_by_key.get(message.key, 0)
        self.executions_by_key[message.key] = count + 1
        await self.is_open.wait()
        if self.verdict == "may-have-run":
            return AnswerMessage(message.call_id, Verdict.MAY_HAVE_RUN, 502, "lost", "lost")
        return AnswerMessage(message.call_id, Verdict.COMPLETED, 200, digest=0x2D06800538D394C2)


class FakePool:
    """Passes owned calls to the handler registered for an address.

    Calls to `unreachable_addresses` fail without running; the next `lose_answers` answers are lost
    after their call has run.
    """

    def __init__(self):
        self.handlers_by_address = {}
        self.unreachable_addresses = set()
        self.lose_answers = 0

    def link(self, address):
        return FakeLink(self, address)


class FakeLink:
    def __init__(self, pool, address):
        self.pool = pool
        self.address = address

    async def call(self, message, timeout_seconds):
        assert isinstance(message, OwnedCallMessage)
        handler = self.pool.handlers_by_address.get(self.address)
        if handler is None or self.address in self.pool.unreachable_addresses:
            raise CallFailure(Verdict.NOT_RUN, "peer-unreachable", "cut")
        answer = await handler.handle_owned_call(message)
        if self.pool.lose_answers:
            self.pool.lose_answers -= 1
            raise CallFailure(Verdict.MAY_HAVE_RUN, "connection-lost", "lost")
        return answer
