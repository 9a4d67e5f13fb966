"""Following of a keyed stream through outages of the store."""

import asyncio
import random
from abc import ABC, abstractmethod

from apricotwalk.border import HistoryLostError, KeyedRecord, KeyedStream, StoreError
from apricotwalk.core import Service, Supervisor
from apricotwalk.fleet._reading_schedule import ReadingSchedule
from apricotwalk.fleet._store_backoff import StoreBackoff
from apricotwalk.telemetry import DecisionLog

__all__ = ["RecordConsumer", "StreamFollower"]


class RecordConsumer(ABC):
    """Takes the records of a stream."""

    @abstractmethod
    def apply_record(self, record: KeyedRecord) -> bool:
        """Take a record and return whether it was news; must not raise for a malformed one."""

    def apply_snapshot(self, records: tuple[KeyedRecord, ...]) -> bool:
        """Take the newest record of each key and return whether any was news."""
        return any([self.apply_record(record) for record in records])


class StreamFollower(Service):
    """Reads a stream from its newest records on and keeps reading.

    Parameters
    ----------
    name : str
        Name of the stream in log lines.
    stream : KeyedStream
        The stream.
    taker : RecordTaker
        Takes the records.
    log : DecisionLog
        Receives the loss and the return of the store.
    generator : random.Random
        Spreads the attempts of many nodes.
    schedule : ReadingSchedule
        Decides when to read and how long to wait for records.
    """

    def __init__(
        self,
        name: str,
        stream: KeyedStream,
        taker: RecordConsumer,
        log: DecisionLog,
        generator: random.Random,
        schedule: ReadingSchedule,
    ) -> None:
        self._schedule = schedule
        self._name = name
        self._stream = stream
        self._taker = taker
        self._log = log
        self._offset: int | None = None
        self._had_records = False
        self._had_news = False
        self._is_lost = False
        self._pause = StoreBackoff(generator)
        self._supervisor = Supervisor(f"follower of {name}")

    @property
    def is_connected(self) -> bool:
        """Whether the last call to the store succeeded."""
        return self._offset is not None and not self._is_lost

    async def start(self) -> None:
        """Begin to read."""
        self._supervisor.run_loop("read", self._follow)

    async def close(self) -> None:
        """Stop reading."""
        await self._supervisor.close()

    async def _follow(self) -> None:
        while True:
            try:
                await self._read_once()
            except HistoryLostError as error:
                self._log.believe("history-lost", stream=self._name, detail=str(error))
                self._offset = None
            except StoreError as error:
                await self._take_note_of_loss(error)
            else:
                self._take_note_of_answer()

    async def _read_once(self) -> None:
        if self._offset is None:
            page = await self._stream.newest()
            self._had_news = self._taker.apply_snapshot(page.records)
        else:
            read = self._schedule.next_read(self._had_records, self._had_news)
            await asyncio.sleep(read.pause_seconds)
            page = await self._stream.read(self._offset, read.wait_seconds)
            self._had_news = any([self._taker.apply_record(record) for record in page.records])
        self._had_records = bool(page.records)
        self._offset = page.next_offset

    async def _take_note_of_loss(self, error: StoreError) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._log.believe("store-lost", stream=self._name, detail=str(error))
        self._had_records = self._had_news = False
        if self._offset is None or self._schedule.is_long_poller():
            await self._pause.wait()

    def _take_note_of_answer(self) -> None:
        self._pause.reset()
        if self._is_lost:
            self._is_lost = False
            self._log.believe("store-regained", stream=self._name)
