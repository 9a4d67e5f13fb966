"""Publishing of configuration records with confirmation that they were accepted."""

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

MAX_APPEND_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class PublishResult:
    """Result of publishing a record that was accepted.

    Parameters
    ----------
    offset : int
        Offset of the accepted record in the configuration stream.
    """

    offset: int


class Publisher:
    """Publishes records that are valid for the configuration in force.

    Parameters
    ----------
    log_service : LogService
        Log service to which records are appended.

    Notes
    -----
    If several operators publish the same version concurrently, the record with the smallest
    offset in the log is accepted.  After the append, the publisher reads the stream back to
    determine whether its own record was accepted.
    """

    def __init__(self, log_service: LogService) -> None:
        self._log_service = log_service

    async def read_state(self) -> PolicyState:
        """Replay the configuration stream and return the resulting state.

        Raises
        ------
        LogServiceError
            If the log service cannot be reached, or the first records of the stream have expired
            and no snapshot covers them.
        """
        replay = LogReplay()
        while True:
            page = await self._log_service.read(CONFIGURATION_STREAM, replay.next_offset)
            replay.detect_gap(page.first_offset)
            for record in page.records:
                replay.apply(record.offset, record.value)
            if not page.records or replay.next_offset >= page.next_offset:
                break
        if replay.has_gap:
            raise LogServiceError(
                "the start of the configuration stream has expired and no snapshot covers it"
            )
        return replay.state

    async def publish(self, record: PolicyRecord) -> PublishResult:
        """Append `record` and wait until it is confirmed as accepted.

        Parameters
        ----------
        record : Template or Customer
            Record to publish.

        Returns
        -------
        PublishResult
            Offset of the accepted record.

        Raises
        ------
        PolicyError
            If the record is invalid, another record with the same version precedes it, or it is
            not in the log after the append.
        LogServiceError
            If the log service cannot be reached.
        """
        state = await self.read_state()
        state.check(record)
        await self._append(record)
        return await self._find_outcome(record, state)

    async def _append(self, record: PolicyRecord) -> None:
        for attempt in range(1, MAX_APPEND_ATTEMPTS + 1):
            try:
                await self._log_service.append(CONFIGURATION_STREAM, [encode_record(record)])
                return
            except LogServiceError:
                if attempt == MAX_APPEND_ATTEMPTS:
                    raise

    async def _find_outcome(self, record: PolicyRecord, state: PolicyState) -> PublishResult:
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
