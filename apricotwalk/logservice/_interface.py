"""Interface of the log service."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from msgspec import Raw, Struct

__all__ = ["LogPage", "LogRecord", "LogService"]


class LogRecord(Struct, frozen=True):
    """One record of a stream.

    Parameters
    ----------
    offset : int
        Position in the stream; offsets increase strictly.
    value : Raw
        Content of the record, encoded as JSON.
    """

    offset: int
    value: Raw


class LogPage(Struct, frozen=True):
    """A run of consecutive records.

    Parameters
    ----------
    first_offset : int
        Oldest offset that the stream still retains.
    next_offset : int
        Offset of the next record to be appended.
    records : list of LogRecord
        The records in ascending order of offset.
    """

    first_offset: int
    next_offset: int
    records: list[LogRecord]


class LogService(ABC):
    """An append-only log with offsets and limited retention."""

    @abstractmethod
    async def append(self, stream: str, values: Sequence[bytes]) -> int:
        """Append JSON records atomically and return the offset of the first.

        Raises
        ------
        LogServiceError
            If the append failed; `may_have_taken_effect` is False only if it is certain that
            nothing was stored.
        """

    @abstractmethod
    async def read(self, stream: str, from_offset: int, limit: int = 200) -> LogPage:
        """Return up to `limit` records starting at `from_offset`.

        Raises
        ------
        LogServiceError
            If no valid answer was received.
        """
