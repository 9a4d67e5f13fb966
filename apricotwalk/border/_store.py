"""Keyed streams of the platform's store, of which the newest record of a key is kept."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from apricotwalk.core import ApricotwalkError

__all__ = ["HistoryLostError", "KeyedRecord", "KeyedStream", "StoreError", "StreamPage"]


class StoreError(ApricotwalkError):
    """The store gave no usable answer.

    Parameters
    ----------
    detail : str
        What was asked and what came back.
    """


class HistoryLostError(StoreError):
    """Records that were asked for by offset are no longer kept."""


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record.

    Parameters
    ----------
    key : str
        What it is about.
    value : bytes or None
        Its content; None if the key was dropped.
    """

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class StreamPage:
    """Records and where to go on reading.

    Parameters
    ----------
    records : tuple of KeyedRecord
        The records in order.
    next_offset : int
        Offset after the last of them.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int


class KeyedStream(ABC):
    """One keyed stream."""

    @abstractmethod
    async def read_newest(self) -> StreamPage:
        """Return the newest record of each key.

        Raises
        ------
        StoreError
            If the store gave no usable answer.
        """

    @abstractmethod
    async def read(self, offset: int, wait_seconds: float) -> StreamPage:
        """Return the records from `offset` on, waiting for the first one.

        Raises
        ------
        HistoryLostError
            If records from `offset` on are no longer kept.
        StoreError
            If the store gave no usable answer.
        """

    @abstractmethod
    async def put(self, record: KeyedRecord) -> None:
        """Append a record.

        Raises
        ------
        StoreError
            If the store gave no usable answer; the record may be stored all the same.
        """
