"""Tests of publishing with concurrent publishers and lost answers."""

import asyncio

import msgspec
import pytest

from apricotwalk.cli._publisher import Publisher
from apricotwalk.core import LogServiceError, PolicyError
from apricotwalk.logservice import LogPage, LogRecord, LogService
from apricotwalk.policy import Customer, Route, Template, encode_record


class MemoryLog(LogService):
    """An in-memory log; the next `lose_answers` appends take effect but raise an error."""

    def __init__(self) -> None:
        self.values: list[bytes] = []
        self.lose_answers = 0
        self.page_size = 1000

    async def append(self, stream, values):
        await asyncio.sleep(0)
        self.values += values
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise LogServiceError("answer lost", may_have_taken_effect=True)
        return len(self.values) - len(values)

    async def read(self, stream, from_offset, limit=1000):
        await asyncio.sleep(0)
        chosen = range(from_offset, min(len(self.values), from_offset + self.page_size))
        records = [LogRecord(offset, msgspec.Raw(self.values[offset])) for offset in chosen]
        return LogPage(0, len(self.values), records)


def template(publish_id: str = "t") -> Template:
    return Template("chain", 1, [Route("a", "GET", "/a", "menu", 1, 100.0)], publish_id=publish_id)


def customer(publish_id: str, version: int = 1) -> Customer:
    return Customer("school", version, "chain", 1, publish_id=publish_id)


@pytest.fixture
def log():
    log = MemoryLog()
    log.values.append(encode_record(template()))
    return log


def test_publish_with_lost_answers_takes_effect_once(run, log):
    log.lose_answers = 2
    result = run(Publisher(log).publish(customer("one")))
    assert result.offset == 1
    state = run(Publisher(log).read_state())
    assert state.customers_by_name["school"].version == 1


def test_one_of_concurrent_publishes_succeeds_and_the_others_report_why(run, log):
    async def publish_concurrently():
        publishers = [Publisher(log).publish(customer(f"id-{i}")) for i in range(5)]
        return await asyncio.gather(*publishers, return_exceptions=True)

    results = run(publish_concurrently())
    rejections = [result for result in results if isinstance(result, PolicyError)]
    assert len(rejections) == 4
    for rejection in rejections:
        assert "lost to an earlier record" in str(rejection)
        assert "version 2 is next" in str(rejection)


def test_publish_skips_unreadable_records_and_reads_every_page(run, log):
    log.page_size = 1
    log.values += [b'{"kind": "surprise"}', b"[1, 2]"]
    assert run(Publisher(log).publish(customer("one"))).offset == 3


def test_unreachable_log_is_reported(run, log):
    log.lose_answers = 3
    with pytest.raises(LogServiceError):
        run(Publisher(log).publish(customer("one")))
