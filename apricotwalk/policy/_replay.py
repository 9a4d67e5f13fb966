"""Reading of the configuration stream, also when its beginning has expired."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from apricotwalk.core import PolicyError, RecordError
from apricotwalk.policy._records import Snapshot, StreamRecord, decode_record
from apricotwalk.policy._snapshot_parts import SnapshotAssembly, without_content
from apricotwalk.policy._state import PolicyState

__all__ = ["LogReplay", "Outcome", "OutcomeKind"]


class OutcomeKind(StrEnum):
    """What became of a record."""

    ACCEPTED = "record-accepted"
    REJECTED = "record-rejected"
    UNREADABLE = "record-unreadable"
    SNAPSHOT = "snapshot-seen"
    SNAPSHOT_PART = "snapshot-part-seen"


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of the record at one offset.

    Parameters
    ----------
    offset : int
        Offset of the record.
    kind : OutcomeKind
        What became of it.
    reason : str
        Why it was not accepted.
    snapshot : Snapshot or None
        For a snapshot or a part of one, the record without its content.
    """

    offset: int
    kind: OutcomeKind
    reason: str = ""
    snapshot: Snapshot | None = None


class LogReplay:
    """Applies records in order and bridges an expired beginning by a snapshot.

    Notes
    -----
    Where records between the applied prefix and the first one still kept are gone, later
    records wait until every part of a snapshot that covers the missing ones is read.  What was
    in force before stays in force meanwhile.
    """

    def __init__(self) -> None:
        self.state = PolicyState()
        self._gap_end: int | None = None
        self._waiting_by_offset: dict[int, StreamRecord] = {}
        self._assembly = SnapshotAssembly()
        self._read_offset = 0

    @property
    def next_offset(self) -> int:
        """Offset from which to read on."""
        return self.state.next_offset if self._gap_end is None else self._read_offset

    @property
    def has_gap(self) -> bool:
        """Whether records are missing and no snapshot has covered them yet."""
        return self._gap_end is not None

    def detect_gap(self, first_kept_offset: int) -> None:
        """Take note of the oldest offset that the stream still keeps."""
        if first_kept_offset > self.next_offset:
            self._gap_end = first_kept_offset
            self._read_offset = first_kept_offset
            self._waiting_by_offset.clear()
            self._assembly = SnapshotAssembly()

    def apply(self, offset: int, value: bytes | msgspec.Raw) -> list[Outcome]:
        """Take the record at `offset` and return what became of each applied record."""
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
            self._waiting_by_offset[offset] = record
            return []
        self._waiting_by_offset[offset] = without_content(record)
        whole = self._assembly.take(record)
        if whole is not None and self._gap_end <= whole.next_offset <= offset:
            return self._close_gap(offset, whole)
        return []

    def discard_gap(self) -> None:
        """Go on from the applied prefix, because somebody still has the missing records."""
        self._gap_end = None
        self._waiting_by_offset.clear()
        self._assembly = SnapshotAssembly()

    def install(self, snapshot: Snapshot, is_monotonic: bool = True) -> None:
        """Take over a snapshot that a peer has sent.

        Raises
        ------
        PolicyError
            If it is older than what is held or breaks a rule.
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
            return self._apply_snapshot(offset, without_content(record))
        return Outcome(offset, OutcomeKind.ACCEPTED)

    def _apply_snapshot(self, offset: int, snapshot: Snapshot) -> Outcome:
        is_complete = self._assembly.take(snapshot) is not None
        kind = OutcomeKind.SNAPSHOT if is_complete else OutcomeKind.SNAPSHOT_PART
        return Outcome(offset, kind, snapshot=snapshot)

    def _close_gap(self, offset: int, snapshot: Snapshot) -> list[Outcome]:
        try:
            self.state.install(snapshot)
        except PolicyError as error:
            return [Outcome(offset, OutcomeKind.REJECTED, str(error))]
        waiting, self._waiting_by_offset = self._waiting_by_offset, {}
        self._assembly = SnapshotAssembly()
        self._gap_end = None
        outcomes = [
            self._apply_now(waiting_offset, record)
            for waiting_offset, record in sorted(waiting.items())
            if waiting_offset >= snapshot.next_offset
        ]
        self.state.next_offset = max(self.state.next_offset, self._read_offset)
        return outcomes
