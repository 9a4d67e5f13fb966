"""Continuous reading of a keyed stream through outages of the store."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import suppress

from apricotwalk.border import HistoryLostError, KeyedRecord, KeyedStream, StoreError
from apricotwalk.core import Service, Supervisor
from apricotwalk.fleet._freshness import Freshness
from apricotwalk.fleet._reading_schedule import NextRead, ReadingSchedule
from apricotwalk.fleet._store_backoff import StoreBackoff
from apricotwalk.fleet._store_era import StoreEra
from apricotwalk.telemetry import DecisionLog

__all__ = ["RecordConsumer", "StreamFollower"]


class RecordConsumer(ABC):
    """Applies the records of a stream."""

    @abstractmethod
    def apply_record(self, record: KeyedRecord) -> bool:
        """Apply a record and return whether it changed anything; must not raise if malformed."""

    def apply_snapshot(self, records: tuple[KeyedRecord, ...]) -> bool:
        """Apply the newest record of each key and return whether any changed anything."""
        return any([self.apply_record(record) for record in records])


class StreamFollower(Service):
    """Reads the newest record of each key of a stream, and then every later record.

    Parameters
    ----------
    name : str
        Name of the stream in log lines.
    stream : KeyedStream
        Stream that is read.
    consumer : RecordConsumer
        Applies the records.
    log : DecisionLog
        Records when the store becomes unavailable and available again.
    generator : random.Random
        Source of the back-off jitter, which spreads the attempts of many nodes.
    schedule : ReadingSchedule
        Decides when to read and how long each read waits for records.
    store_era : StoreEra
        Newest known era of the store.
    freshness : Freshness
        Age of the copy that the consumer holds.  A poll is postponed while the copy is fresh.
    first_read_delay_seconds : float
        Time in seconds for which the first read waits for `request_read`.
    count_call : callable
        Called with the kind of each call to the store: ``newest`` or ``read``.

    Notes
    -----
    Offsets are valid in one era only.  In a later era, the follower reads the newest records
    again, because the offset that it reached may belong to other records by then.
    """

    def __init__(
        self,
        name: str,
        stream: KeyedStream,
        consumer: RecordConsumer,
        log: DecisionLog,
        generator: random.Random,
        schedule: ReadingSchedule,
        store_era: StoreEra,
        freshness: Freshness,
        first_read_delay_seconds: float = 0.0,
        count_call: Callable[[str], None] = lambda kind: None,
    ) -> None:
        self._freshness = freshness
        self._count_call = count_call
        self._first_read_delay_seconds = first_read_delay_seconds
        self.on_answer: Callable[[], None] = lambda: None
        self._read_requested = asyncio.Event()
        self._schedule = schedule
        self._name = name
        self._stream = stream
        self._consumer = consumer
        self._log = log
        self._store_era = store_era
        self._era = 0
        self._offset: int | None = None
        self._had_records = False
        self._had_updates = False
        self._is_store_lost = False
        self._backoff = StoreBackoff(generator)
        self._supervisor = Supervisor(f"follower of {name}")

    @property
    def is_connected(self) -> bool:
        """Whether the last call to the store succeeded."""
        return self._offset is not None and not self._is_store_lost

    async def start(self) -> None:
        """Start reading."""
        self._supervisor.run_loop("read", self._follow)

    async def close(self) -> None:
        """Stop reading."""
        await self._supervisor.close()

    def request_read(self) -> None:
        """Read the stream as soon as possible, whatever the schedule says."""
        self._read_requested.set()

    async def _follow(self) -> None:
        if self._first_read_delay_seconds:
            await self._wait_for_request(self._first_read_delay_seconds)
            self._read_requested.clear()
        while True:
            try:
                await self._read_once()
            except HistoryLostError as error:
                self._log.record_state_change("history-lost", stream=self._name, detail=str(error))
                self._offset = None
            except StoreError as error:
                await self._handle_store_error(error)
            else:
                self._handle_store_answer()

    async def _read_once(self) -> None:
        if self._offset is None:
            self._count_call("newest")
            page = await self._stream.read_newest()
            self._era = page.era
            self._store_era.observe(page.era, "store")
            self._had_updates = self._consumer.apply_snapshot(page.records)
        else:
            read = await self._wait_for_next_read()
            self._count_call("read")
            page = await self._stream.read(self._offset, read.wait_seconds)
            self._store_era.observe(page.era, "store")
            if page.era != self._era:
                raise HistoryLostError(f"offset of era {self._era} in a store of era {page.era}")
            self._had_updates = any(
                [self._consumer.apply_record(record) for record in page.records]
            )
        self._had_records = bool(page.records)
        self._offset = page.next_offset
        self._freshness.observe(0.0)
        self.on_answer()

    async def _wait_for_next_read(self) -> NextRead:
        """Wait until a read is due, which for a poll is after the copy has become stale.

        Notes
        -----
        A copy can stay fresh for as long as other nodes read, so a node that has become one of
        those that long-poll meanwhile does not wait any longer.
        """
        read = self._schedule.next_read(self._had_records, self._had_updates)
        seconds = read.pause_seconds
        while not self._read_requested.is_set():
            await self._wait_for_request(seconds)
            fresh_seconds = self._freshness.remaining_seconds
            if read.wait_seconds or not fresh_seconds:
                break
            if self._schedule.is_long_poller():
                read = self._schedule.next_read(False, False)
                break
            seconds = fresh_seconds + self._schedule.stale_delay()
        self._read_requested.clear()
        return read

    async def _wait_for_request(self, max_seconds: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(max_seconds):
                await self._read_requested.wait()

    async def _handle_store_error(self, error: StoreError) -> None:
        if not self._is_store_lost:
            self._is_store_lost = True
            self._log.record_state_change("store-lost", stream=self._name, detail=str(error))
        self._had_records = self._had_updates = False
        if self._offset is None or self._schedule.is_long_poller():
            await self._backoff.wait()

    def _handle_store_answer(self) -> None:
        self._backoff.reset()
        if self._is_store_lost:
            self._is_store_lost = False
            self._log.record_state_change("store-regained", stream=self._name)
