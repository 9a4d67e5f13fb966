"""Transfer of snapshots to peers that need records which are no longer held."""

import math

import msgspec

from apricotwalk.configuration._messages import SnapshotPartMessage, SnapshotPullMessage
from apricotwalk.core import Clock, decode_payload
from apricotwalk.policy import PolicyState, Snapshot

__all__ = ["SnapshotReceiver", "SnapshotSender"]

PART_BYTES = 32_768
MAX_PART_COUNT = 1024
SNAPSHOT_CACHE_SECONDS = 30.0

_decoder = msgspec.msgpack.Decoder(Snapshot)


class SnapshotSender:
    """Encodes a snapshot and serves its parts.

    The encoded snapshot is reused for 30 s so that the parts that a peer requests one after
    another belong to the same snapshot.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._next_offset = -1
        self._content = b""
        self._encoded_at = -math.inf

    def part(self, message: SnapshotPullMessage, state: PolicyState) -> SnapshotPartMessage | None:
        """Return the requested part, or None if the snapshot has no such part."""
        if message.next_offset != self._next_offset:
            self._encode(state)
        parts = max(1, math.ceil(len(self._content) / PART_BYTES))
        part = message.part if message.next_offset == self._next_offset else 0
        if part >= parts:
            return None
        content = self._content[part * PART_BYTES : (part + 1) * PART_BYTES]
        return SnapshotPartMessage(self._next_offset, part, parts, content)

    def _encode(self, state: PolicyState) -> None:
        now = self._clock.monotonic()
        is_recent = now - self._encoded_at < SNAPSHOT_CACHE_SECONDS
        if self._next_offset == state.next_offset or is_recent:
            return
        self._content = msgspec.msgpack.encode(state.snapshot(self._clock.wall()))
        self._next_offset = state.next_offset
        self._encoded_at = now


class SnapshotReceiver:
    """Assembles a snapshot from its parts."""

    def __init__(self) -> None:
        self._next_offset = -1
        self._contents: list[bytes] = []

    def add_part(self, message: SnapshotPartMessage) -> Snapshot | SnapshotPullMessage:
        """Add a part; return the complete snapshot, or else the request for the next part.

        Raises
        ------
        WireError
            If the assembled content is malformed.
        """
        if message.part == 0:
            self._next_offset = message.next_offset
            self._contents = []
        is_next = message.next_offset == self._next_offset and message.part == len(self._contents)
        if is_next and message.parts <= MAX_PART_COUNT:
            self._contents.append(message.content)
        if len(self._contents) < message.parts:
            return SnapshotPullMessage(self._next_offset, len(self._contents))
        content, self._contents = b"".join(self._contents), []
        return decode_payload(_decoder, content, "snapshot")
