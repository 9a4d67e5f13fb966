"""The newest configuration records, kept for peers that request them."""

from collections import deque

from apricotwalk.configuration._messages import ConfigurationRecord

__all__ = ["RecordHistory"]

MAX_HISTORY_BYTES = 262_144
MAX_BATCH_BYTES = 16_384


class RecordHistory:
    """Holds the newest consecutive records, up to 256 KiB of values."""

    def __init__(self) -> None:
        self._records: deque[ConfigurationRecord] = deque()
        self._size = 0

    def add(self, record: ConfigurationRecord) -> None:
        """Add the newest record; drop all earlier ones if its offset does not follow theirs."""
        if self._records and record.offset != self._records[-1].offset + 1:
            self._records.clear()
            self._size = 0
        self._records.append(record)
        self._size += len(record.value)
        while self._size > MAX_HISTORY_BYTES:
            self._size -= len(self._records.popleft().value)

    def since(self, offset: int) -> list[ConfigurationRecord] | None:
        """Return the records from `offset` on, up to 16 KiB, or None if they are not held."""
        if not self._records or offset < self._records[0].offset:
            return None
        batch: list[ConfigurationRecord] = []
        size = 0
        for index in range(offset - self._records[0].offset, len(self._records)):
            size += len(self._records[index].value)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(self._records[index])
        return batch
