"""Publishing of records and reading back of their fate."""

from dataclasses import dataclass

from apricotwalk.core import LogServiceError, PolicyError, RecordError
from apricotwalk.logservice import LogRecord, LogService
from apricotwalk.policy import (
    CONFIGURATION_STREAM,
    LogReplay,
    PolicyRecord,
    PolicyState,
    decode_record,
    encode_record,
)

__all__ = ["PublishResult", "Publisher"]

APPEND_TRIES = 3


@dataclass(frozen=True, slots=True)
class PublishResult:
    """A record that was accepted.

    Parameters
    ----------
    offset : int
        Offset at which the record is in force.
    """

    offset: int


class Publisher:
    """Publishes a record only if the configuration would accept it.

    Parameters
    ----------
    log_service : LogService
        Where records go.

    Notes
    -----
    The log decides between operators who publish the same version: the record with the
    smaller offset is accepted.  A publisher reads its own record back, so it knows.
    """

    def __init__(self, log_service: LogService) -> None:
        self._log_service = log_service

    async def read_state(self) -> PolicyState:
        """Return the configuration that results from the whole stream."""
        replay = LogReplay()
        while True:
            page = await self._log_service.read(CONFIGURATION_STREAM, replay.next_offset)
            replay.detect_gap(page.first_offset)
            for record in page.records:
                replay.apply(record.offset, record.value)
            if not page.records or replay.next_offset >= page.next_offset:
                break
        if replay.has_gap:
            raise LogServiceError("the stream's beginning has expired and no snapshot covers it")
        return replay.state

    async def publish(self, record: PolicyRecord) -> PublishResult:
        """Append `record` and return once it is known to be accepted.

        Raises
        ------
        PolicyError
            If the record is refused, or another record won its version.
        LogServiceError
            If the log service cannot be reached.
        """
        state = await self.read_state()
        state.check(record)
        await self._append(record)
        return await self._find_fate(record, state)

    async def _append(self, record: PolicyRecord) -> None:
        for attempt in range(1, APPEND_TRIES + 1):
            try:
                await self._log_service.append(CONFIGURATION_STREAM, [encode_record(record)])
                return
            except LogServiceError:
                if attempt == APPEND_TRIES:
                    raise

    async def _find_fate(self, record: PolicyRecord, state: PolicyState) -> PublishResult:
        while True:
            page = await self._log_service.read(CONFIGURATION_STREAM, state.next_offset)
            for entry in page.records:
                if self._is_accepted(entry, record, state):
                    return PublishResult(entry.offset)
            if not page.records or state.next_offset >= page.next_offset:
                raise PolicyError("the published record is not in the log; publish again")

    def _is_accepted(self, entry: LogRecord, record: PolicyRecord, state: PolicyState) -> bool:
        try:
            published = decode_record(entry.value)
        except RecordError:
            state.next_offset = entry.offset + 1
            return False
        rejection = state.apply(entry.offset, published)
        if published.publish_id != record.publish_id:
            return False
        if rejection is not None:
            raise PolicyError(f"lost to an earlier record: {rejection.reason}")
        return True
