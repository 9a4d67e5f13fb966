"""Interface to the keyed streams of the platform's store.

A keyed stream is an append-only log in which at least the newest record of each key is retained.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from apricotwalk.core import ApricotwalkError

__all__ = ["HistoryLostError", "KeyedRecord", "KeyedStream", "StoreError", "StreamPage"]


class StoreError(ApricotwalkError):
    """The store returned no usable answer.

    Notes
    -----
    The message names the request and the answer or failure.
    """


class HistoryLostError(StoreError):
    """Records requested by offset are no longer retained by the store."""


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record of a keyed stream.

    Parameters
    ----------
    key : str
        Key of the record.
    value : bytes or None
        Content of the record, or None if the record deletes the key.
    """

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class StreamPage:
    """Records of a keyed stream and the offset at which to continue reading.

    Parameters
    ----------
    records : tuple of KeyedRecord
        The records, in the order in which the store returned them.
    next_offset : int
        Offset from which the next read continues; valid in this era only.
    era : int
        Era of the store, which rises each time that the store is restored from a copy.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    era: int = 0


class KeyedStream(ABC):
    """A keyed stream of the platform's store."""

    @abstractmethod
    async def read_newest(self) -> StreamPage:
        """Read the newest record of each key.

        Returns
        -------
        StreamPage
            The newest records, and an offset from which `read` misses no later record.

        Raises
        ------
        StoreError
            If the store returned no usable answer.
        """

    @abstractmethod
    async def read(self, offset: int, wait_seconds: float) -> StreamPage:
        """Read the records from an offset on, waiting until there is one.

        Parameters
        ----------
        offset : int
            Offset of the first record to read.
        wait_seconds : float
            Maximum time in seconds to wait for a record.

        Returns
        -------
        StreamPage
            The records, none if the wait ended without one.

        Raises
        ------
        HistoryLostError
            If records from `offset` on are no longer retained.
        StoreError
            If the store returned no usable answer.
        """

    @abstractmethod
    async def put(self, record: KeyedRecord) -> int:
        """Append a record to the stream and return the era of the store.

        Parameters
        ----------
        record : KeyedRecord
            Record to append.

        Returns
        -------
        int
            Era in which the record was stored.

        Raises
        ------
        StoreError
            If the store returned no usable answer; the record may have been stored nevertheless.
        """
