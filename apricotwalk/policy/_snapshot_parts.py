"""Splitting of snapshots into records of bounded size, and their reassembly."""

from collections.abc import Iterator

import msgspec
from msgspec import structs

from apricotwalk.policy._records import Customer, Snapshot, Template

__all__ = ["MAX_PART_BYTES", "SnapshotAssembler", "split_snapshot", "without_records"]

MAX_PART_BYTES = 65_536
ENVELOPE_BYTES = 512
MAX_INCOMPLETE_COUNT = 8

_Key = tuple[str, int, int]

_encoder = msgspec.json.Encoder()


def split_snapshot(snapshot: Snapshot, max_bytes: int = MAX_PART_BYTES) -> list[Snapshot]:
    """Split a snapshot into parts of bounded size as JSON text.

    Parameters
    ----------
    snapshot : Snapshot
        Snapshot to split.
    max_bytes : int
        Upper bound on the size of a part in bytes; a part exceeds it only if it consists of a
        single larger record.
    """
    contents = list(_partition(snapshot, max_bytes - ENVELOPE_BYTES))
    return [
        structs.replace(
            snapshot,
            templates=[record for record in content if isinstance(record, Template)],
            customers=[record for record in content if isinstance(record, Customer)],
            part=index,
            parts=len(contents),
        )
        for index, content in enumerate(contents)
    ]


def without_records(snapshot: Snapshot) -> Snapshot:
    """Return a copy of a snapshot or part without its templates and customers."""
    return structs.replace(snapshot, templates=[], customers=[])


class SnapshotAssembler:
    """Reassembles snapshots from their parts, including several that are appended concurrently.

    Notes
    -----
    Duplicate parts are ignored.  At most eight incomplete snapshots are held; a ninth evicts the
    oldest one.
    """

    def __init__(self) -> None:
        self._parts_by_key: dict[_Key, dict[int, Snapshot]] = {}

    def add(self, part: Snapshot) -> Snapshot | None:
        """Add a part, and return the snapshot if this part completes it."""
        if part.part >= part.parts:
            return None
        key = (part.publish_id, part.next_offset, part.parts)
        held = self._parts_by_key.setdefault(key, {})
        held.setdefault(part.part, part)
        if len(held) == part.parts:
            del self._parts_by_key[key]
            return _join([held[index] for index in range(part.parts)])
        if len(self._parts_by_key) > MAX_INCOMPLETE_COUNT:
            del self._parts_by_key[next(iter(self._parts_by_key))]
        return None


def _partition(snapshot: Snapshot, max_bytes: int) -> Iterator[list[Template | Customer]]:
    content: list[Template | Customer] = []
    size = 0
    records: list[Template | Customer] = [*snapshot.templates, *snapshot.customers]
    for record in records:
        record_size = len(_encoder.encode(record)) + 1
        if content and size + record_size > max_bytes:
            yield content
            content, size = [], 0
        content.append(record)
        size += record_size
    yield content


def _join(parts: list[Snapshot]) -> Snapshot:
    return structs.replace(
        parts[0],
        templates=[template for part in parts for template in part.templates],
        customers=[customer for part in parts for customer in part.customers],
        part=0,
        parts=1,
    )
