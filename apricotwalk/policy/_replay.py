"""Replay of the configuration stream, including one whose first records have expired."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from apricotwalk.core import PolicyError, RecordError
from apricotwalk.policy._records import Snapshot, StreamRecord, decode_record
from apricotwalk.policy._snapshot_parts import SnapshotAssembler, without_records
from apricotwalk.policy._state import PolicyState

__all__ = ["LogReplay", "Outcome", "OutcomeKind"]


class OutcomeKind(StrEnum):
    """Kinds of outcome of reading one record."""

    ACCEPTED = "record-accepted"
    REJECTED = "record-rejected"
    UNREADABLE = "record-unreadable"
    SNAPSHOT = "snapshot-seen"
    SNAPSHOT_PART = "snapshot-part-seen"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of reading the record at one offset.

    Parameters
    ----------
    offset : int
        Offset of the record.
    kind : OutcomeKind
        Kind of the outcome.
    reason : str
        Reason why the record was not accepted, or an empty string.
    snapshot : Snapshot, optional
        For a snapshot or a part of one, the record without its templates and customers.
    """

    offset: int
    kind: OutcomeKind
    reason: str = ""
    snapshot: Snapshot | None = None


class LogReplay:
    """Applies records in log order and replaces expired ones by a snapshot.

    Notes
    -----
    If records between the applied prefix and the oldest retained one have expired, later records
    are deferred until every part of a snapshot that covers the gap has been read.  The previous
    configuration stays in force until then.
    """

    def __init__(self) -> None:
        self.state = PolicyState()
        self._gap_end: int | None = None
        self._deferred_by_offset: dict[int, StreamRecord] = {}
        self._assembler = SnapshotAssembler()
        self._read_offset = 0

    @property
    def next_offset(self) -> int:
        """Offset of the next record to read."""
        return self.state.next_offset if self._gap_end is None else self._read_offset

    @property
    def has_gap(self) -> bool:
        """Whether records have expired unread and no snapshot has covered them yet."""
        return self._gap_end is not None

    def detect_gap(self, first_kept_offset: int) -> None:
        """Start deferring records if the stream has expired some that were not read.

        Parameters
        ----------
        first_kept_offset : int
            Oldest offset that the stream still retains.
        """
        if first_kept_offset > self.next_offset:
            self._gap_end = first_kept_offset
            self._read_offset = first_kept_offset
            self._deferred_by_offset.clear()
            self._assembler = SnapshotAssembler()

    def apply(self, offset: int, value: bytes | msgspec.Raw) -> list[Outcome]:
        """Apply or defer the record at `offset`, and return the outcome of each applied record."""
        if offset < self.next_offset:
            return []
        try:
            record = decode_record(value)
        except RecordError as error:
            self._skip(offset)
            return [Outcome(offset, OutcomeKind.UNREADABLE, str(error))]
        if self._gap_end is None:
            return [self._apply_now(offset, record)]
        self._read_offset = offset + 1
        if not isinstance(record, Snapshot):
            self._deferred_by_offset[offset] = record
            return []
        self._deferred_by_offset[offset] = without_records(record)
        complete = self._assembler.add(record)
        if complete is not None and self._gap_end <= complete.next_offset <= offset:
            return self._close_gap(offset, complete)
        return []

    def discard_gap(self) -> None:
        """Stop waiting for a snapshot, and resume reading after the applied prefix.

        This is called when a peer supplies the expired records or a snapshot that covers them.
        """
        self._gap_end = None
        self._deferred_by_offset.clear()
        self._assembler = SnapshotAssembler()

    def install(self, snapshot: Snapshot, is_monotonic: bool = True) -> None:
        """Install a snapshot received from a peer.

        Raises
        ------
        PolicyError
            If the snapshot is older than the current state or is inconsistent.
        """
        self.state.install(snapshot, is_monotonic)
        self.discard_gap()

    def _skip(self, offset: int) -> None:
        if self._gap_end is None:
            self.state.next_offset = offset + 1
        else:
            self._read_offset = offset + 1

    def _apply_now(self, offset: int, record: StreamRecord) -> Outcome:
        rejection = self.state.apply(offset, record)
        if rejection is not None:
            return Outcome(offset, OutcomeKind.REJECTED, rejection.reason)
        if isinstance(record, Snapshot):
            return self._apply_snapshot(offset, without_records(record))
        return Outcome(offset, OutcomeKind.ACCEPTED)

    def _apply_snapshot(self, offset: int, snapshot: Snapshot) -> Outcome:
        is_complete = self._assembler.add(snapshot) is not None
        kind = OutcomeKind.SNAPSHOT if is_complete else OutcomeKind.SNAPSHOT_PART
        return Outcome(offset, kind, snapshot=snapshot)

    def _close_gap(self, offset: int, snapshot: Snapshot) -> list[Outcome]:
        try:
            self.state.install(snapshot)
        except PolicyError as error:
            return [Outcome(offset, OutcomeKind.REJECTED, str(error))]
        deferred, self._deferred_by_offset = self._deferred_by_offset, {}
        self._assembler = SnapshotAssembler()
        self._gap_end = None
        outcomes = [
            self._apply_now(deferred_offset, record)
            for deferred_offset, record in sorted(deferred.items())
            if deferred_offset >= snapshot.next_offset
        ]
        self.state.next_offset = max(self.state.next_offset, self._read_offset)
        return outcomes
